package speed

import (
	"math"
	"time"
)

// baseTime is how long a lowest time is used at least, and half of how long at most.
const baseTime = 10 * time.Second

// Base tracks the part of the times to first events that is not prefill: the network and
// the router. It is the lowest recent excess over the prediction at any upstream of the
// service. It is not safe for concurrent use.
type Base struct {
	lowest, older float64 // invariant: milliseconds, those of two periods of baseTime
	until         time.Time
}

// Add records a time to a first event, in milliseconds, and returns the base.
func (b *Base) Add(took, predicted float64, now time.Time) float64 {
	if !now.Before(b.until) {
		b.older, b.lowest = b.lowest, math.Inf(1)
		if b.until.IsZero() || now.Sub(b.until) > baseTime {
			b.older = math.Inf(1)
		}
		b.until = now.Add(baseTime)
	}
	b.lowest = min(b.lowest, max(0, took-predicted))
	return min(b.lowest, b.older)
}
