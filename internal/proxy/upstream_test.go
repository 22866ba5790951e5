package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/internal/conns"
)

// TestRetriesUseNewConnections resumes a stream at an upstream to which there
// is an idle connection: the retry must not use it, because the failure of the
// first attempt may have affected idle connections as well.
func TestRetriesUseNewConnections(t *testing.T) {
	h := newHarness(t, script{"a": {"ok", "stream 3"}, "b": {"ok", "stream 6"}})
	for _, u := range h.proxy.view.Load().services["s"] {
		if u.name == "b" {
			u.domain = "far" // makes the router prefer the other upstream
		}
		c, err := h.proxy.conns.Get(t.Context(), u.address, time.Now().Add(testTimeout), time.Time{})
		assert.NilError(t, err)
		call := h.proxy.conns.Send(t.Context(), c, &conns.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		resp, err := call.Answer(http.MethodGet, func(*http.Response) bool { return true })
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		call.Finish(true)
	}
	got := h.call(t.Context(), http.MethodPost, "resumable", "k")
	assert.NilError(t, got.err)
	assert.DeepEqual(t, h.arrivals()[2:], []string{"a", "b 3"})
	idle := h.remoteAddrs[:2]
	assert.Assert(t, slices.Contains(idle, h.remoteAddrs[2]), "a first attempt must use an idle connection")
	assert.Assert(t, !slices.Contains(idle, h.remoteAddrs[3]), "a retry must use a new connection")
}

// TestConnectionsStayWithinUpstreamLimit opens as many requests as this
// router's share of an upstream's connection limit allows. The next request
// must be refused without being sent, because the upstream resets connections
// beyond its limit.
func TestConnectionsStayWithinUpstreamLimit(t *testing.T) {
	h := newHarness(t, script{"a": {"mute"}})
	next := testPlan()
	next.Revision, next.Services[0].MaxConnections = 2, 7
	h.proxy.applyPlan(next)
	h.proxy.addRouters([]string{"r", "r2", "r3"}, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan received, 2)
	for range 2 {
		c := &pendingCall{harness: h, ctx: ctx, done: done}
		go c.run()
	}
	for len(h.arrivals()) < 2 {
		time.Sleep(time.Millisecond)
	}
	got := h.call(t.Context(), http.MethodPost, "unsafe", "k")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(h.arrivals()), 2)
	cancel()
	<-done
	<-done
}

// pendingCall is a call in progress.
type pendingCall struct {
	harness *harness
	ctx     context.Context
	done    chan received
}

func (c *pendingCall) run() { c.done <- c.harness.call(c.ctx, http.MethodPost, "unsafe", "k") }
