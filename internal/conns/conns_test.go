package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/pkg/memory"
)

// server is an upstream whose answers a test writes byte by byte.
type server struct {
	listener net.Listener
	accepted chan net.Conn
}

func newServer(t *testing.T) *server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{listener: l, accepted: make(chan net.Conn, 8)}
	go s.run()
	t.Cleanup(func() { l.Close() })
	return s
}

func (s *server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted <- c
	}
}

func (s *server) address() string { return s.listener.Addr().String() }

// exchange makes one request on a connection of the pool and returns the body of
// its answer.
func (s *server) exchange(t *testing.T, p *Pool, id string, reply func(c net.Conn)) (string, *Conn, error) {
	t.Helper()
	now := time.Now()
	c, err := p.Get(t.Context(), s.address(), now.Add(time.Second), time.Time{})
	assert.NilError(t, err)
	k := p.Send(t.Context(), c, &Request{Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: memory.Blocks{[]byte("body")}})
	if reply != nil {
		reply(nil)
	}
	resp, err := k.Answer(http.MethodPost, func(r *http.Response) bool { return r.Header.Get("Id") == id })
	if err != nil {
		k.Finish(false)
		return "", c, err
	}
	body, err := io.ReadAll(resp.Body)
	k.Finish(err == nil)
	return string(body), c, err
}

// take reads one request on the next or the given connection.
func (s *server) take(t *testing.T, c net.Conn) (net.Conn, string) {
	t.Helper()
	if c == nil {
		c = <-s.accepted
	}
	r, err := http.ReadRequest(bufio.NewReader(c))
	assert.NilError(t, err)
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body")
	assert.Equal(t, r.RequestURI, "/x?y=1")
	return c, r.Header.Get("Id")
}

// idle makes one exchange and returns the server's end of its connection, which
// is idle then.
func (s *server) idle(t *testing.T, p *Pool) net.Conn {
	t.Helper()
	var c net.Conn
	_, _, err := s.exchange(t, p, "1", func(net.Conn) {
		c, _ = s.take(t, nil)
		write(t, c, "HTTP/1.1 200 OK\nId: 1\nContent-Length: 0\n\n")
	})
	assert.NilError(t, err)
	return c
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := c.Write([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
	assert.NilError(t, err)
}

func TestConnectionIsUsedAgain(t *testing.T) {
	s, p := newServer(t), NewPool(nil)
	var c net.Conn
	body, first, err := s.exchange(t, p, "1", func(net.Conn) {
		c, _ = s.take(t, nil)
		write(t, c, "HTTP/1.1 200 OK\nId: 1\nContent-Length: 3\n\none")
	})
	assert.NilError(t, err)
	assert.Equal(t, body, "one")
	body, second, err := s.exchange(t, p, "2", func(net.Conn) {
		s.take(t, c)
		write(t, c, "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\nId: 2\nTransfer-Encoding: chunked\n\n3\ntwo\n0\n\n")
	})
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
	assert.Assert(t, first == second && second.Reused())
}

// TestStrayAnswerIsSkipped sends a second answer to the first request where the
// answer to the second is due.
func TestStrayAnswerIsSkipped(t *testing.T) {
	s, p := newServer(t), NewPool(nil)
	c := s.idle(t, p)
	body, conn, err := s.exchange(t, p, "2", func(net.Conn) {
		s.take(t, c)
		write(t, c, "HTTP/1.1 200 OK\nId: 1\nContent-Length: 5\n\nstray"+"HTTP/1.1 200 OK\nId: 2\nContent-Length: 3\n\ntwo")
	})
	assert.NilError(t, err)
	assert.Equal(t, body, "two")
	assert.Assert(t, conn.Reused())
}

// TestUnsoundConnectionIsNotUsed covers what may lie on an idle connection: bytes
// that belong to no request, and its end.
func TestUnsoundConnectionIsNotUsed(t *testing.T) {
	for name, spoil := range map[string]func(c net.Conn){
		"bytes": func(c net.Conn) { write(t, c, "HTTP/1.1 200 OK\nId: 1\nContent-Length: 0\n\n") },
		"end":   func(c net.Conn) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			s, p := newServer(t), NewPool(nil)
			c := s.idle(t, p)
			idle := p.idle[s.address()][0]
			spoil(c)
			for idle.sound() {
				time.Sleep(time.Millisecond)
			}
			_, conn, err := s.exchange(t, p, "2", func(net.Conn) {
				c, _ := s.take(t, nil)
				write(t, c, "HTTP/1.1 200 OK\nId: 2\nContent-Length: 0\n\n")
			})
			assert.NilError(t, err)
			assert.Assert(t, !conn.Reused())
		})
	}
}

// TestCutAnswerIsAnError covers answers that end before they are whole, and one
// that may end with its connection.
func TestCutAnswerIsAnError(t *testing.T) {
	for _, test := range []struct {
		name, answer string
		reset, fails bool
	}{
		{"short", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\n\none", false, true},
		{"chunk", "HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n3\none\n", false, true},
		{"unbounded", "HTTP/1.1 200 OK\nId: 1\n\none", false, false},
		{"unbounded and reset", "HTTP/1.1 200 OK\nId: 1\n\none", true, true},
		{"no answer", "I am not HTTP\n\n", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, p := newServer(t), NewPool(nil)
			_, _, err := s.exchange(t, p, "1", func(net.Conn) {
				c, _ := s.take(t, nil)
				write(t, c, test.answer)
				if test.reset {
					assert.NilError(t, c.(*net.TCPConn).SetLinger(0))
				}
				c.Close()
			})
			assert.Equal(t, err != nil, test.fails, "%v", err)
			assert.Equal(t, len(p.idle[s.address()]), 0)
		})
	}
}

// TestEndOfContextEndsTheCall ends a call whose upstream is silent.
func TestEndOfContextEndsTheCall(t *testing.T) {
	s, p := newServer(t), NewPool(nil)
	ctx, cancel := context.WithCancel(t.Context())
	c, err := p.Get(ctx, s.address(), time.Now().Add(time.Second), time.Time{})
	assert.NilError(t, err)
	k := p.Send(ctx, c, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: memory.Blocks{make([]byte, 8<<20)}})
	upstream := <-s.accepted
	cancel()
	_, err = k.Answer(http.MethodPost, func(*http.Response) bool { return true })
	assert.Assert(t, err != nil)
	k.Finish(false)
	_, err = io.Copy(io.Discard, upstream)
	_ = err // a reset or an end: either tells the upstream
}
