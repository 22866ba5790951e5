package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateListener accepts connections only once it is opened, as a router without processor
// time does.
type lateListener struct {
	net.Listener
	opened chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.opened
	return l.Listener.Accept()
}

// TestRequestOfGoneCallerIsNotSent guards against work for callers that had left before
// their requests were read.
func TestRequestOfGoneCallerIsNotSent(t *testing.T) {
	h := newHarness(t, script{"a": {"ok"}})
	late := h.serveLate()
	const callers = 400
	for i := range callers {
		c, err := net.Dial("tcp4", late.Addr().String())
		assert.NilError(t, err)
		kind := []string{"safe", "unsafe", "stream", "resumable"}[i%4]
		_, err = fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: gone-%d\r\nKey: k\r\nContent-Length: 3\r\n\r\nask", kind, i)
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
	}
	close(late.opened)
	ended := func() bool {
		n := h.proxy.metrics.requests.Get("cancelled")
		return n != nil && n.String() == strconv.Itoa(callers)
	}
	for end := time.Now().Add(testTimeout); !ended(); {
		assert.Assert(t, time.Now().Before(end), "outcomes: %v", h.proxy.metrics.requests)
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(h.arrivals()), 0)
}

// TestConnectionsBeyondTheLimitAreClosed guards against connections of callers that take so
// much memory that the router does nothing but collect garbage.
func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	h := newHarness(t, script{"a": {"ok"}})
	h.proxy.settings.MaxCallers = 3
	for i, closes := range []bool{false, false, false, true, true} {
		h.proxy.NoteConn(nil, http.StateNew)
		got := h.call(t.Context(), http.MethodPost, "unsafe", "k")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.closes, closes, "%d connections", i+1)
	}
	h.proxy.NoteConn(nil, http.StateClosed)
	h.proxy.NoteConn(nil, http.StateClosed)
	assert.Assert(t, !h.call(t.Context(), http.MethodPost, "unsafe", "k").closes)
}
