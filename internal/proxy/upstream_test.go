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

// TestRepeatsGoOutOnNewConnections resumes a stream at an upstream to which an idle
// connection is kept.
func TestRepeatsGoOutOnNewConnections(t *testing.T) {
	r := newRig(t, script{"a": {"ok", "stream 3"}, "b": {"ok", "stream 6"}})
	for _, u := range r.proxy.view.Load().services["s"] {
		if u.name == "b" {
			u.domain = "far" // the other one is preferred
		}
		c, err := r.proxy.conns.Get(t.Context(), u.address, time.Now().Add(patience), time.Time{})
		assert.NilError(t, err)
		call := r.proxy.conns.Send(t.Context(), c, &conns.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		resp, err := call.Answer(http.MethodGet, func(*http.Response) bool { return true })
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		call.Finish(true)
	}
	got := r.call(t.Context(), http.MethodPost, "resumable", "k")
	assert.NilError(t, got.err)
	assert.DeepEqual(t, r.arrivals()[2:], []string{"a", "b 3"})
	kept := r.from[:2]
	assert.Assert(t, slices.Contains(kept, r.from[2]), "a first attempt goes out on a kept connection")
	assert.Assert(t, !slices.Contains(kept, r.from[3]), "a repeat does not")
}

// TestConnectionsStayWithinThoseOfTheUpstream opens as many requests as an upstream
// takes connections for, divided by the routers: one more is refused, not run.
func TestConnectionsStayWithinThoseOfTheUpstream(t *testing.T) {
	r := newRig(t, script{"a": {"mute"}})
	next := testPlan()
	next.Revision, next.Services[0].Connections = 2, 7
	r.proxy.enact(next)
	r.proxy.meet([]string{"r", "r2", "r3"}, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan reply, 2)
	for range 2 {
		c := &calling{rig: r, ctx: ctx, done: done}
		go c.run()
	}
	for len(r.arrivals()) < 2 {
		time.Sleep(time.Millisecond)
	}
	got := r.call(t.Context(), http.MethodPost, "unsafe", "k")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(r.arrivals()), 2)
	cancel()
	<-done
	<-done
}

// calling is a call that is open.
type calling struct {
	rig  *rig
	ctx  context.Context
	done chan reply
}

func (c *calling) run() { c.done <- c.rig.call(c.ctx, http.MethodPost, "unsafe", "k") }
