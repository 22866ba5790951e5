package shed

import "time"

const (
	// highFraction is the fraction of its latency target that a request may wait here, so
	// that the rest is left for the upstream, and for the retry at a peer router if the
	// request is diverted.
	highFraction = 0.2
	// lowFraction is the fraction of a latency target that a request may wait at a peer
	// router which has headroom for it.
	lowFraction = 0.1
	// retryCost is what a retry at a peer router takes of a caller's time: its own pause and
	// a new connection. A request that waits for less here is not served earlier there.
	retryCost = 100 * time.Millisecond
)

// Verdict is the decision about a request.
type Verdict uint8

// The verdicts.
const (
	// Keep: the request is served here.
	Keep Verdict = iota
	// Divert: the request is refused, so that its caller retries at a peer router.
	Divert
	// Refuse: the request cannot be served in time, and the peer routers have no headroom.
	Refuse
)

// Request is what a decision needs to know about a request.
type Request struct {
	Target time.Duration // latency target of the route, 0 if it has none
	Left   time.Duration // time left to the deadline
}

// target returns the latency target, or the time left for a route without one.
func (r Request) target() time.Duration {
	if r.Target > 0 {
		return r.Target
	}
	return r.Left
}

// Patience returns the time that a request with the given target may wait here while
// peer routers have headroom.
func (r Request) Patience() time.Duration { return max(fraction(highFraction, r.target()), retryCost) }

// Decider decides which requests are kept. Its state is the hysteresis.
type Decider struct {
	// late is the longest target that is diverted until the predicted delay is below half
	// of what its requests may wait. Shorter targets are diverted as well.
	late time.Duration
}

// Exceeds reports whether the predicted delay is too long for the request.
func (d *Decider) Exceeds(r Request, delay time.Duration) bool {
	target := r.target()
	switch {
	case delay > r.Patience():
		d.late = max(d.late, target)
		return true
	case target > d.late:
		return false
	case delay > r.Patience()/2:
		return true
	}
	d.late = target - 1
	return false
}

// Decide decides about a request at the given load. One that may not be diverted is kept
// or refused, see Returns.
func (d *Decider) Decide(r Request, l Load, peers *Peers, mayDivert bool, now time.Time) Verdict {
	switch {
	case !d.Exceeds(r, l.Delay()):
		return Keep
	case mayDivert && peers.Headroom(r, now):
		return Divert
	case l.Backlog >= r.Left:
		return Refuse
	}
	return Keep
}

// RetryAt returns when a refused request may be sent again: when the backlog has shrunk
// to what the request may wait.
func RetryAt(r Request, l Load, now time.Time) time.Time {
	return now.Add(max(0, l.Backlog-r.Patience()))
}

func fraction(f float64, d time.Duration) time.Duration { return time.Duration(f * float64(d)) }
