package admit

import "time"

const (
	// growthFraction is the fraction of the free capacity that all daemons together
	// take after one report.
	growthFraction = 0.5
	// shrinkFraction is the fraction of its extra capacity that a daemon releases
	// after a report of an overload, or while it does not use it.
	shrinkFraction = 0.5
	// overloadFactor is the factor on the even share after a report that the
	// upstreams queue requests, when the daemon has no extra capacity left.
	overloadFactor = 0.9
	// minUtilization is the fraction of its share that a daemon must use before it
	// takes more. Below it, something other than the share limits the daemon.
	minUtilization = 0.9
	// minReleaseFraction is the minimum fraction of its extra capacity that a daemon
	// releases when the slots reserved for urgent requests are in use.
	minReleaseFraction = 0.5
	// steadyFraction is the fraction of the free capacity that must still be free
	// after a step for the next step to be twice as large.
	steadyFraction = 0.75
	// recoveryStep is the amount by which evenScale recovers per report.
	recoveryStep = 0.02
)

// Feedback is what a daemon knows about the upstreams it sends requests to, from
// their latest reports.
type Feedback struct {
	capacity   float64   // requests that the upstreams can run well concurrently
	held       float64   // requests that they reported to hold
	queued     float64   // those of held that wait in queues of the upstreams
	routers    int       // live daemons that send requests to them
	open       int       // requests of this daemon that run there now
	hasWaiting bool      // whether requests wait at this daemon
	headroom   float64   // slots that this daemon leaves free for urgent requests
	readAt     time.Time // when the oldest report was read
}

// NewFeedback returns the feedback from reports read at the given time. capacity, held
// and queued are numbers of requests, summed over all upstreams. routers is the number
// of live daemons, including this one.
func NewFeedback(capacity, held, queued float64, routers int, at time.Time) Feedback {
	return Feedback{capacity: max(capacity, 1), held: held, queued: queued, routers: max(routers, 1), readAt: at}
}

// WithLocal returns a copy of f with the number of running requests of this daemon
// and whether further requests wait.
func (f Feedback) WithLocal(open int, hasWaiting bool) Feedback {
	f.open, f.hasWaiting = open, hasWaiting
	return f
}

// WithHeadroom returns a copy of f with the number of slots that this daemon leaves
// free for more urgent ranks, which is Status.Headroom of the least urgent rank.
func (f Feedback) WithHeadroom(slots float64) Feedback {
	f.headroom = max(slots, 0)
	return f
}

// free returns the number of slots that no daemon uses or reserves. It assumes that the
// daemons reserve slots in proportion to the requests they hold.
func (f Feedback) free() float64 {
	daemons := min(f.held/float64(max(f.open, 1)), float64(f.routers))
	return f.capacity - f.held - f.headroom*max(daemons, 1)
}

// Share determines the share of the upstreams' capacity that one daemon admits. It is
// not safe for concurrent use.
//
// A daemon may always admit its even share, capacity / routers. If the load balancer
// sends it more requests than others, it takes extra capacity: a fraction of the
// reported free capacity, divided by the number of daemons, so that all daemons acting
// on one report take no more than was free. It releases extra capacity when the
// upstreams queue requests. The daemons exchange no messages for this.
type Share struct {
	extra     float64   // invariant: >= 0; capacity beyond the even share
	evenScale float64   // invariant: in (0, 1]; factor on the even share
	updated   time.Time // when the last report was applied
	// stepFactor multiplies the amount of free capacity that this daemon takes in a
	// step. It doubles while the free capacity hardly changes.
	stepFactor float64 // invariant: >= 1
	lastFree   float64 // free capacity at the last growth
	// proportional makes the share shrink by as much as the upstreams hold too much.
	proportional bool
}

// NewShare returns a Share without extra capacity.
func NewShare() *Share { return &Share{evenScale: 1, stepFactor: 1} }

// Update applies feedback and returns the number of requests that the daemon may run
// concurrently, at least 1. Reports that were read before the last change do not show
// its effect yet, and change only the even share.
func (s *Share) Update(f Feedback, now time.Time) float64 {
	even := f.capacity / float64(f.routers)
	if f.readAt.After(s.updated) {
		s.updated = now
		s.apply(f, even)
	}
	s.extra = min(s.extra, f.capacity-even)
	return max(even*s.evenScale+s.extra, 1)
}

// apply adjusts the share to one new report.
func (s *Share) apply(f Feedback, even float64) {
	free := f.free()
	limit := even*s.evenScale + s.extra - f.headroom
	switch {
	case f.held > f.capacity && s.extra > 0:
		s.stepFactor = 1
		s.extra -= s.release(f, even)
		if s.extra < 0.5 {
			s.extra = 0
		}
	case f.held > f.capacity && f.queued > f.capacity/10:
		s.evenScale = max(s.evenScale*overloadFactor, 0.25)
	case free < 0 && s.extra > 0:
		s.stepFactor = 1
		s.extra -= min(s.extra, max(minReleaseFraction*s.extra, -free/float64(f.routers)))
	case free > 0 && f.hasWaiting && float64(f.open)+1 > minUtilization*limit:
		s.grow(f, free)
	case free > 0:
		s.stepFactor = 1
		over := max(float64(f.open)-even, 0)
		s.extra = max(over, s.extra-shrinkFraction*(s.extra-over))
		s.evenScale = min(s.evenScale+recoveryStep, 1)
	}
}

// release returns how much of its extra capacity the daemon releases after a report of an
// overload.
func (s *Share) release(f Feedback, even float64) float64 {
	if !s.proportional {
		return shrinkFraction * s.extra
	}
	return min(s.extra, (even*s.evenScale+s.extra)*(f.held-f.capacity)/f.held)
}

// grow takes a fraction of the free capacity. If the free capacity hardly changed since
// the last step, few daemons are taking any, and the step doubles. If all daemons took
// capacity, the first step would halve the free capacity, and no step would double.
func (s *Share) grow(f Feedback, free float64) {
	if free >= steadyFraction*s.lastFree && s.lastFree > 0 {
		s.stepFactor = min(2*s.stepFactor, float64(f.routers))
	} else {
		s.stepFactor = 1
	}
	s.lastFree = free
	s.extra += growthFraction * s.stepFactor * free / float64(f.routers)
	s.evenScale = min(s.evenScale+recoveryStep, 1)
}
