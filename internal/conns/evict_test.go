package conns

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/pkg/memory"
)

// TestEvictedCallEnds plays an upstream that begins a long answer and pauses. When others
// need the memory, the read must end although no byte arrives, and the connection must not
// be used again.
func TestEvictedCallEnds(t *testing.T) {
	limit := memory.NewLimit(100_000)
	s, p := newServer(t), NewPool(limit)
	c, err := p.Get(t.Context(), s.address(), time.Now().Add(time.Second), time.Time{})
	assert.NilError(t, err)
	k := p.Send(t.Context(), c, &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}})
	upstream := <-s.accepted
	write(t, upstream, "HTTP/1.1 200 OK\nId: 1\n\n")
	resp, err := k.Answer(http.MethodPost, func(*http.Response) bool { return true })
	assert.NilError(t, err)
	go (&longAnswer{t: t, server: upstream}).run()
	failed := make(chan error, 1)
	go func() {
		_, err := k.Memory().Read(resp.Body, resp.ContentLength, 1<<20)
		k.Finish(err == nil)
		failed <- err
	}()
	for limit.Used() < 50_000 {
		time.Sleep(time.Millisecond)
	}
	other := limit.Open("other", nil)
	// The other holds less, so that the call is the one to go.
	assert.NilError(t, other.Grow(55_000))
	assert.Assert(t, <-failed != nil)
	assert.Assert(t, k.Evicted())
	assert.Equal(t, len(p.idle[s.address()]), 0)
	assert.Assert(t, other.Close())
	assert.Equal(t, limit.Used(), int64(0))
}

// longAnswer sends a part of a body.
type longAnswer struct {
	t      *testing.T
	server interface{ Write([]byte) (int, error) }
}

func (l *longAnswer) run() {
	_, err := l.server.Write(make([]byte, 40_000))
	assert.Check(l.t, err)
}
