// Package shed decides which requests a router diverts to its peer routers, the other
// routers of its failure domain, because they exceed the capacity of its own link.
//
// It handles the load of a few callers that send one router more than its link carries
// while its peer routers are idle. The code takes state and time and returns decisions.
// Its types are not safe for concurrent use.
package shed

import "time"

const (
	// maxPrediction limits the length of a queue that predicts. No latency target needs a
	// longer prediction, and a longer queue would still divert requests after the load has
	// ended.
	maxPrediction = 2 * time.Second
	// maxBacklog is the same for the queue of what was sent, which decides on refusals: no
	// caller waits longer.
	maxBacklog = time.Minute
)

// Queue is a virtual queue: bytes enter it as they pass a link and leave it at a fixed
// rate.
type Queue struct {
	rate    float64       // invariant: > 0; bytes per second
	longest time.Duration // invariant: > 0; what exceeds it is not queued
	emptyAt time.Time     // when the queue is empty if nothing is added
}

// NewQueue returns an empty queue that drains at the given rate in bytes per second and
// holds what it drains in the given time.
func NewQueue(rate float64, longest time.Duration) Queue { return Queue{rate: rate, longest: longest} }

// Add adds bytes to the queue. A negative number removes bytes that will not pass.
func (q *Queue) Add(bytes float64, now time.Time) {
	if q.emptyAt.Before(now) {
		q.emptyAt = now
	}
	seconds := min(bytes/q.rate, q.longest.Seconds())
	q.emptyAt = q.emptyAt.Add(time.Duration(seconds * float64(time.Second)))
	if latest := now.Add(q.longest); q.emptyAt.After(latest) {
		q.emptyAt = latest
	}
}

// Delay returns the time that a byte added now takes to leave the queue.
func (q *Queue) Delay(now time.Time) time.Duration { return max(0, q.emptyAt.Sub(now)) }
