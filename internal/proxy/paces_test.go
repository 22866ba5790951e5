package proxy

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
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
