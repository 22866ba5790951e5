package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// TestCallerLearnsWhenPausesEnd has upstreams that pause: they get no other request, and
// callers are told when the first of them takes one.
func TestCallerLearnsWhenPausesEnd(t *testing.T) {
	h := newHarness(t, script{"a": {"wait 30"}, "b": {"wait 60"}})
	for range 3 {
		got := h.call(t.Context(), http.MethodPost, "unsafe", "k")
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		// A third of the five seconds for which the caller waits bounds the time.
		assert.Assert(t, seconds > 1.5 && seconds < 1.7, "Retry-After is %v", seconds)
	}
	assert.Equal(t, len(h.arrivals()), 2)
}

// TestPauseIsKeptWhenTheRosterChanges announces a pausing upstream anew.
func TestPauseIsKeptWhenTheRosterChanges(t *testing.T) {
	h := newHarness(t, script{"a": {"wait 30", "ok"}})
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusServiceUnavailable)
	entries := h.entriesAfterRestart("")
	h.proxy.setUpstreams(nil)
	h.proxy.setUpstreams(entries)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusServiceUnavailable)
	h.restart("a")
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusOK)
}

// TestOtherUpstreamSetsNoPace hears what another upstream at the same address asks for.
func TestOtherUpstreamSetsNoPace(t *testing.T) {
	h := newHarness(t, script{"a": {"ok"}})
	u, now := h.proxy.upstreamNamed("a"), time.Now()
	asks := poplar.Head{NotRun: true, WrongUpstream: true, Leaving: true, HasLimit: true, Limit: 1, Pause: time.Minute}
	h.proxy.hearPace(u, asks, now, now)
	assert.Assert(t, h.proxy.pacer(h.proxy.view.Load(), now).allows(u))
	asks.WrongUpstream = false
	h.proxy.hearPace(u, asks, now, now)
	assert.Assert(t, !h.proxy.pacer(h.proxy.view.Load(), now).allows(u))
}
