package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
)

// TestSlowCallers sends bodies too slowly, and malformed or oversized headers.
// Each request must end in time, and nothing may stay reserved.
func TestSlowCallers(t *testing.T) {
	h := newHarness(t, 100000)
	h.limits = defaultLimits
	h.limits.Read, h.limits.Write, h.limits.Header = 100*time.Millisecond, 200*time.Millisecond, 8<<10
	e, s := h.startDaemon("a")
	engine := h.startEngine(fake.Settings{Name: "e"})
	head := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + callerKey + "\r\n"
	cases := []struct{ name, send, want string }{
		{"body stops", head + "Content-Length: 100\r\n\r\n{", "HTTP/1.1 400"},
		{"chunked body stops", head + "Transfer-Encoding: chunked\r\n\r\n5\r\n{", "HTTP/1.1 400"},
		{"large header", head + "X: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", "HTTP/1.1 431"},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n{}", "HTTP/1.1 400"},
		{"bad header", head + "Idempotency-Key\r\n\r\n", "HTTP/1.1 400"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = io.WriteString(conn, c.send)
			assert.NilError(t, err)
			line, err := bufio.NewReader(conn).ReadString('\n')
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(line, c.want), line)
		})
	}
	assert.Equal(t, engine.Started(), uint64(0))
	eventually(t, "the requests to end", func() bool { return e.Open() == 0 })
	assert.Equal(t, h.ledger.open(), 0)
}

// TestCallerThatNeverReads requests a large stream and does not read it. The
// exchange with the upstream must end, and what was sent must be billed.
func TestCallerThatNeverReads(t *testing.T) {
	h := newHarness(t, 100000)
	h.limits = defaultLimits
	h.limits.Write = 100 * time.Millisecond
	e, s := h.startDaemon("a")
	disconnected := make(chan struct{})
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer close(disconnected)
		event := fmt.Appendf(nil, "data: {\"x\":%q}\n\n", bytes.Repeat([]byte("x"), 64<<10))
		for range 1000 {
			if _, err := w.Write(event); err != nil {
				return
			}
		}
	}))
	defer upstream.Close()
	h.announce(withNextSequence(testAnnouncement(upstream)))
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	body := completionBody(1000)
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", callerKey, len(body), body)
	eventually(t, "the request to end", func() bool { n, _ := h.ledger.bills(); return n == 1 && e.Open() == 0 })
	<-disconnected
	assert.Equal(t, h.ledger.open(), 0)
}

// TestTraceIsForwardedWithoutCredentials checks that the upstream receives the
// trace of the caller, but neither its credentials nor hop-by-hop headers.
func TestTraceIsForwardedWithoutCredentials(t *testing.T) {
	h := newHarness(t, 1000)
	_, s := h.startDaemon("a")
	seen := make(chan http.Header, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { seen <- req.Header }))
	defer upstream.Close()
	n := testAnnouncement(upstream)
	n.Kind, n.Models, n.Services = poplar.KindService, nil, []poplar.Service{"desk"}
	h.announce(withNextSequence(n))
	const trace = "0af7651916cd43dd8448eb211c80319c"
	h.request(s, "GET", "/svc/desk/status/1", "", "Traceparent", "00-"+trace+"-b7ad6b7169203331-01", "Cookie", "c=1", "Connection", "X-Hop", "X-Hop", "1", "X-Own", "1")
	header := <-seen
	assert.Assert(t, strings.HasPrefix(header.Get("Traceparent"), "00-"+trace), header)
	assert.Equal(t, header.Get("X-Own"), "1")
	assert.Equal(t, header.Get(poplar.HeaderRank), "normal")
	for _, name := range []string{"Authorization", "Cookie", "X-Hop", "Idempotency-Key"} {
		assert.Equal(t, header.Get(name), "", name)
	}
}
