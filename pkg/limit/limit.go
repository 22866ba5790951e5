package limit

import (
	"math"
	"time"
)

const (
	// minExpectedSeconds is the lower bound on predicted times. Below it,
	// network jitter would count as a slowdown.
	minExpectedSeconds = 0.1
	// decreaseFactor multiplies the limit after a slow period.
	decreaseFactor = 0.8
	// slowStartShare is the initial limit as a share of the slots.
	slowStartShare = 0.125
	// maxLimitFactor is the upper bound of the limit as a multiple of the
	// slots. It exceeds 1 because engines keep a short queue of their own, from
	// which a free slot is filled at once.
	maxLimitFactor = 1.25
	// increaseShare is the additive increase per period, as a share of the
	// slots.
	increaseShare = 1.0 / 16
	// slowdownWeight is the weight of one request in the moving average of the
	// slowdown. It is small because a router sends few requests to one
	// upstream, so that a single outlier must not count as a slowdown.
	slowdownWeight = 0.1
	// longSlowdownWeight is the weight of one request in the longer moving
	// average that decides on ejections. A short overload must not cause an
	// ejection.
	longSlowdownWeight = 0.03
	// minDecreaseInterval is the minimum time between two decreases, so that
	// the first can take effect.
	minDecreaseInterval = time.Second
	// idleDecay is the factor per period by which the excess of the slowdown
	// over 1 shrinks while there are no samples, so that a slow upstream is
	// tried again.
	idleDecay = 0.98
)

// Sample is the measurement of one request at an upstream, from the time it is
// sent.
type Sample struct {
	sent     time.Time
	expected float64 // seconds; invariant: >= minExpectedSeconds
	gotFirst bool    // true once the first token has arrived
	index    int     // position in Limit.pending; -1 when not pending
}

// Limit adapts the number of concurrent requests at one upstream, counted over
// all routers. It is not safe for concurrent use.
type Limit struct {
	slots        float64   // invariant: >= 1
	limit        float64   // invariant: 1 <= limit <= slots * maxLimitFactor
	slowdown     float64   // moving average of the ratio of measured to predicted times
	longSlowdown float64   // the same ratio, averaged over a longer time
	decreasedAt  time.Time // time of the last decrease
	slowStart    bool      // true until the limit first reaches the slots
	pending      []*Sample
	elapsed      float64 // seconds to first token, summed over this period
	expected     float64 // predicted seconds for the same requests
	count        int     // number of these requests
	succeeded    bool    // true if a request succeeded in this period
	failures     int     // consecutive failures
}

// NewLimit returns a Limit in slow start for an upstream with the given number
// of slots.
func NewLimit(slots int) *Limit {
	l := &Limit{slots: max(float64(slots), 1)}
	l.Restart()
	return l
}

// Restart puts the upstream back into slow start, as after an ejection.
func (l *Limit) Restart() {
	l.limit = max(l.slots*slowStartShare, 1)
	l.slowdown, l.longSlowdown = 1, 1
	l.slowStart = true
	l.failures = 0
}

// Value returns the maximum number of concurrent requests at the upstream.
func (l *Limit) Value() float64 { return l.limit }

// Slowdown returns the moving average of the ratio of the measured to the
// predicted time to first token.
func (l *Limit) Slowdown() float64 { return l.slowdown }

// LongSlowdown returns the same ratio as Slowdown, averaged over a longer time.
func (l *Limit) LongSlowdown() float64 { return l.longSlowdown }

// Failures returns the number of failures since the last success.
func (l *Limit) Failures() int { return l.failures }

// RecordSent records a request that is sent at now. expected is the predicted
// time to first token at an upstream of nominal speed.
func (l *Limit) RecordSent(expected time.Duration, now time.Time) *Sample {
	s := &Sample{sent: now, expected: max(expected.Seconds(), minExpectedSeconds), index: len(l.pending)}
	l.pending = append(l.pending, s)
	return s
}

// FirstToken records the arrival of the first token. Further calls for the same
// sample have no effect.
func (l *Limit) FirstToken(s *Sample, now time.Time) {
	if s.gotFirst {
		return
	}
	s.gotFirst = true
	l.removePending(s)
	l.elapsed += now.Sub(s.sent).Seconds()
	l.expected += s.expected
	l.count++
}

// RecordEnd records the end of a request. failed is true if the upstream failed;
// it is false for a request that was invalid or was cancelled.
func (l *Limit) RecordEnd(s *Sample, failed bool) {
	l.removePending(s)
	if failed {
		l.failures++
		return
	}
	if s.gotFirst {
		l.failures = 0
		l.succeeded = true
	}
}

// removePending removes s from the pending list.
func (l *Limit) removePending(s *Sample) {
	if s.index < 0 {
		return
	}
	last := len(l.pending) - 1
	l.pending[s.index] = l.pending[last]
	l.pending[s.index].index = s.index
	l.pending[last] = nil
	l.pending = l.pending[:last]
	s.index = -1
}

// Update closes a period and adapts the limit. The limit decreases while first
// tokens take longer than tolerance times the predicted time.
func (l *Limit) Update(tolerance float64, now time.Time) {
	ratio, count := l.ratio(now)
	l.elapsed, l.expected, l.count = 0, 0, 0
	if count == 0 {
		l.slowdown += (1 - idleDecay) * (1 - l.slowdown)
		l.longSlowdown += (1 - idleDecay) * (1 - l.longSlowdown)
		l.increase(tolerance)
		return
	}
	l.slowdown += (1 - math.Pow(1-slowdownWeight, float64(count))) * (ratio - l.slowdown)
	l.longSlowdown += (1 - math.Pow(1-longSlowdownWeight, float64(count))) * (ratio - l.longSlowdown)
	switch {
	case l.slowdown > tolerance:
		l.decrease(now)
	case l.slowStart && l.succeeded:
		l.limit *= 2
		l.slowStart = l.limit < l.slots
	default:
		l.increase(tolerance)
	}
	l.succeeded = false
	l.limit = min(l.limit, l.slots*maxLimitFactor)
}

// increase raises the limit by one step, unless the upstream is slow. It does
// not depend on requests of this router: where other routers keep the upstream
// above this router's limit, this router would never send one.
func (l *Limit) increase(tolerance float64) {
	if l.slowdown <= tolerance {
		l.limit = min(l.limit+max(l.slots*increaseShare, 0.25), l.slots*maxLimitFactor)
	}
}

// decrease lowers the limit, unless the last decrease is more recent than
// minDecreaseInterval.
func (l *Limit) decrease(now time.Time) {
	l.slowStart = false
	if now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.limit = max(l.limit*decreaseFactor, 1)
}

// ratio returns the ratio of the measured to the predicted time and the number
// of samples. The times of the period are summed first, so that short
// predictions do not weigh more than long ones. A pending request that has
// waited longer than predicted counts with the time it has waited.
func (l *Limit) ratio(now time.Time) (ratio float64, count int) {
	elapsed, expected, count := l.elapsed, l.expected, l.count
	for _, s := range l.pending {
		if waited := now.Sub(s.sent).Seconds(); waited > s.expected {
			elapsed += waited
			expected += s.expected
			count++
		}
	}
	if count == 0 {
		return 0, 0
	}
	return elapsed / expected, count
}
