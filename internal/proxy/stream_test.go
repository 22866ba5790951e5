package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// TestSlowStreamGoesOnWithoutRetry pauses a stream for longer than the stall
// timeout while the retry limit is used up. Nothing could replace the attempt, so
// it must not be cut.
func TestSlowStreamGoesOnWithoutRetry(t *testing.T) {
	h := newHarness(t, script{"a": {"pause"}, "b": {"pause"}})
	h.proxy.settings.RetryBudget.Ratio, h.proxy.settings.RetryBudget.Slack = 0, 0
	got := h.call(t.Context(), http.MethodPost, "resumable", "k")
	assert.NilError(t, got.err)
	assert.Equal(t, strings.Count(got.body, "data"), 2, "%q", got.body)
	assert.Equal(t, len(h.arrivals()), 1)
}

// TestStalledStreamIsReplaced is the same with a retry that is allowed.
func TestStalledStreamIsReplaced(t *testing.T) {
	h := newHarness(t, script{"a": {"pause", "stream 6"}, "b": {"pause", "stream 6"}})
	got := h.call(t.Context(), http.MethodPost, "resumable", "k")
	assert.Equal(t, len(h.arrivals()), 2, "%v", got)
	assert.Equal(t, <-h.cancelled, "id-resumable")
}

// laterReady lets an upstream take work after a delay.
type laterReady struct {
	proxy    *Proxy
	upstream poplar.Upstream
	delay    time.Duration
}

func (l laterReady) run() {
	time.Sleep(l.delay)
	l.proxy.upstreamNamed(l.upstream).leaving.Store(false)
}

func (p *Proxy) upstreamNamed(name poplar.Upstream) *upstream {
	for _, u := range p.view.Load().services["s"] {
		if u.name == name {
			return u
		}
	}
	return nil
}

// TestBrokenStreamWaitsForUpstream breaks a stream off while no other upstream
// takes work. One does soon after, and the stream is resumed there.
func TestBrokenStreamWaitsForUpstream(t *testing.T) {
	h := newHarness(t, script{"a": {"stream 3"}, "b": {"stream 6"}})
	h.proxy.upstreamNamed("b").leaving.Store(true)
	go laterReady{proxy: h.proxy, upstream: "b", delay: 4 * resumeRetryDelay}.run()
	got := h.call(t.Context(), http.MethodPost, "resumable", "k")
	assert.NilError(t, got.err)
	assert.Equal(t, strings.Count(got.body, "data"), 6, "%q", got.body)
	assert.DeepEqual(t, h.arrivals(), []string{"a", "b 3"})
}

// TestEndlessEventEndsTheAttempt plays an upstream whose event has no end: the
// attempt ends long before the deadline, and the caller gets no whole answer.
func TestEndlessEventEndsTheAttempt(t *testing.T) {
	h := newHarness(t, script{"a": {"endless"}, "b": {"endless"}})
	start := time.Now()
	got := h.call(t.Context(), http.MethodPost, "stream", "k")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Assert(t, time.Since(start) < testPlan().Routes[0].Timeout)
	<-h.cancelled
}
