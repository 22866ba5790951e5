package conns

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endless is an upstream that sends the same bytes again and again until its
// connection is closed.
type endless struct {
	server *server
	start  string
	repeat string
	closed chan struct{} // closed when the connection is
}

func (e *endless) run() {
	c := <-e.server.accepted
	_, err := c.Write([]byte(e.start))
	block := []byte(strings.Repeat(e.repeat, 1+4096/len(e.repeat)))
	for err == nil {
		_, err = c.Write(block)
	}
	close(e.closed)
}

// TestEndlessAnswerEndsTheCall plays upstreams that send without end where a head,
// a body that is dropped, a chunk size or a trailer is due. The attempt must end
// after few bytes, long before the caller leaves, and its connection be closed.
func TestEndlessAnswerEndsTheCall(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	for _, test := range []struct{ name, start, repeat string }{
		{"status line", "", "x"},
		{"header line", head + "X: ", "x"},
		{"header lines", head, "X: y\r\n"},
		{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"other answers", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
		{"body of another answer", "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "x"},
		{"body that is dropped", head + "\r\n", "x"},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, p := newServer(t), NewPool(nil)
			e := &endless{server: s, start: test.start, repeat: test.repeat, closed: make(chan struct{})}
			go e.run()
			conn, err := p.Get(t.Context(), s.address(), time.Now().Add(time.Second), time.Time{})
			assert.NilError(t, err)
			k := p.Send(t.Context(), conn, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}})
			_, err = k.Answer(http.MethodPost, func(r *http.Response) bool { return r.Header.Get("Id") == "1" })
			if err == nil {
				err = k.Drop(time.Now().Add(time.Minute))
			}
			assert.Assert(t, err != nil, "the answer has no end")
			k.Finish(err == nil)
			assert.Equal(t, len(p.idle[s.address()]), 0)
			select {
			case <-e.closed:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// TestSlowRefusalIsDropped ends a call whose body nobody needs and which a byte now
// and then keeps open.
func TestSlowRefusalIsDropped(t *testing.T) {
	s, p := newServer(t), NewPool(nil)
	conn, err := p.Get(t.Context(), s.address(), time.Now().Add(time.Second), time.Time{})
	assert.NilError(t, err)
	k := p.Send(t.Context(), conn, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}})
	upstream := <-s.accepted
	write(t, upstream, "HTTP/1.1 503 Service Unavailable\nContent-Length: 100\n\nx")
	_, err = k.Answer(http.MethodPost, func(*http.Response) bool { return true })
	assert.NilError(t, err)
	err = k.Drop(time.Now().Add(10 * time.Millisecond))
	assert.Assert(t, err != nil)
	k.Finish(false)
}

// TestLateDropClosesTheConnection drops a whole body whose limit has passed: the end
// of the limit may close the connection at any moment, so it must not be used again.
func TestLateDropClosesTheConnection(t *testing.T) {
	s, p := newServer(t), NewPool(nil)
	conn, err := p.Get(t.Context(), s.address(), time.Now().Add(time.Second), time.Time{})
	assert.NilError(t, err)
	k := p.Send(t.Context(), conn, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}})
	upstream := <-s.accepted
	write(t, upstream, "HTTP/1.1 503 Service Unavailable\nContent-Length: 0\n\n")
	_, err = k.Answer(http.MethodPost, func(*http.Response) bool { return true })
	assert.NilError(t, err)
	// The timer of a limit that has passed ends at once, but on a busy machine mostly
	// after the body.
	for start := time.Now(); err == nil && time.Since(start) < 10*time.Second; {
		err = k.Drop(time.Now().Add(-time.Second))
	}
	assert.Assert(t, err != nil)
	k.Finish(err == nil)
	assert.Equal(t, len(p.idle[s.address()]), 0)
}
