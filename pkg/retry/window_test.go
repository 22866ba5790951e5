package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestWindowBoundsRetriesInEverySpan generates requests and retries at random
// times and checks every period as long as the window.
func TestWindowBoundsRetriesInEverySpan(t *testing.T) {
	const span = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		slack := rapid.Float64Range(0, 20).Draw(t, "slack")
		w := NewWindow(span)
		now := time.Unix(1_000_000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
			}
			if rapid.Bool().Draw(t, "repeat") && w.AllowRetry(ratio, slack, now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			// The bucket in which the period begins counts in full, so requests
			// of up to one bucket before the period count as well.
			allowed := ratio*float64(countWithin(requests, end, span+span/buckets)) + slack
			got := countWithin(retries, end, span)
			if float64(got) > allowed {
				t.Fatalf("%d retries up to %v, want at most %g", got, end, allowed)
			}
		}
	})
}

func countWithin(times []time.Time, end time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < span {
			n++
		}
	}
	return n
}

func TestWindowExpiresRetries(t *testing.T) {
	w := NewWindow(10 * time.Second)
	now := time.Unix(1_000_000, 0)
	assert.Assert(t, w.AllowRetry(0, 1, now))
	assert.Assert(t, !w.AllowRetry(0, 1, now.Add(9*time.Second)))
	assert.Assert(t, w.AllowRetry(0, 1, now.Add(11*time.Second)))
}
