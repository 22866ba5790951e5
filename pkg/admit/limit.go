package admit

import (
	"math"
	"time"
)

const (
	// bindFree is the fraction of the slots that must be free for a limit not to bind.
	// It is what rank.DefaultSettings keeps free for the most urgent rank: below it, a
	// less urgent request takes a slot that an urgent one needs.
	bindFree = 0.05
	// liftFree is the fraction of the slots that must be free for a binding limit to be
	// lifted. Routers with waiting requests together keep about an eighth of the slots
	// free for urgent ranks, which must not lift the limit that keeps them free.
	liftFree = 0.25
	// calmFree is the fraction of the slots that lifts a limit that has refused nothing for
	// calmPeriod: the demand fits then. calmPeriod is a time in which a queue of requests
	// with the usual latency targets is served or refused.
	calmFree   = 2 * bindFree
	calmPeriod = time.Second
	// raiseFraction is the fraction by which a limit rises in a step towards being
	// lifted. If all routers take the step at once, it takes no more than is free.
	raiseFraction = liftFree / (1 - liftFree)
	// minReports is the number of recent reports from which the load of the whole
	// service is inferred. A single full upstream says little about the others.
	minReports = 4
)

// routerPeriod is the time in which a binding limit takes over the part of one router that
// is no longer listed. The part is not lost meanwhile, since routers take what is unused.
const routerPeriod = 5 * time.Second

// Limit decides how many requests one router may run at the upstreams of one service.
// It is not safe for concurrent use.
//
// Load: more requests than the upstreams of the service run at once. As long as recent
// reports show free slots, and without recent reports, there is no limit, however
// uneven the demand of the routers is. Once the reports show that nearly all slots are
// taken, the limit binds at what this router runs then, and Share regulates it. When
// they show free slots again, it is lifted once nothing waits or nothing was refused for
// a while, and else rises in steps: all routers see the same free slots, and would fill
// them many times over.
type Limit struct {
	share *Share
	bound bool
	value float64 // invariant: >= 1; the last limit, or Unlimited if not bound
	// routers is the number of routers that share the capacity while the limit binds. It
	// falls by one in routerPeriod at most: many routers that are no longer listed at once
	// are partitioned from this one, and may still send requests.
	routers   int
	routersAt time.Time // when routers was last changed
	refused   uint64    // Local.Refused at the last update
	calmAt    time.Time // when the limit can be lifted if it refuses nothing more
}

// NewLimit returns a limit that does not bind.
func NewLimit() *Limit { return &Limit{share: NewShare(), value: Unlimited} }

// Local is what a router knows of its own requests to a service.
type Local struct {
	Routers  int     // live routers, including this one
	Open     int     // requests of this router that are admitted and have not ended
	Waiting  bool    // whether further requests wait
	Refused  uint64  // requests that were not started, since the start of the router
	Headroom float64 // slots that this router leaves free for urgent requests
}

// Update applies a tally and returns the number of requests that the router may run
// concurrently, or Unlimited.
func (l *Limit) Update(t *Tally, local Local) float64 {
	l.countRouters(local.Routers, t.now)
	if local.Refused != l.refused {
		l.refused, l.calmAt = local.Refused, t.now.Add(calmPeriod)
	}
	held := t.Held()
	free := 1 - held/max(t.capacity, 1)
	enough := t.recent > 0 && t.recent >= min(minReports, t.upstreams)
	switch {
	case !enough || t.capacity <= 0 || !l.bound && free > bindFree:
		l.lift()
	case !l.bound:
		l.bind(t, local, held)
	case free > liftFree && !local.Waiting, free > calmFree && !t.now.Before(l.calmAt):
		l.lift()
	case free > liftFree:
		l.raise(t)
	case held <= t.capacity || float64(local.Open) <= l.value+1:
		// Otherwise the last step has not taken effect: more requests run than it allows.
		f := NewFeedback(t.capacity, held, t.Queued(), l.routers, t.now.Add(-t.Age()))
		l.value = l.share.Update(f.WithLocal(local.Open, local.Waiting).WithHeadroom(local.Headroom), t.now)
	}
	return l.value
}

// countRouters follows the number of live routers.
func (l *Limit) countRouters(live int, now time.Time) {
	switch {
	case !l.bound || live >= l.routers:
		l.routers, l.routersAt = max(live, 1), now
	case now.Sub(l.routersAt) >= routerPeriod:
		l.routers, l.routersAt = l.routers-1, now
	}
}

func (l *Limit) lift() { l.bound, l.value = false, Unlimited }

// bind sets the limit to what the router runs now, less its part of what the upstreams
// hold too much, at least its equal share.
func (l *Limit) bind(t *Tally, local Local, held float64) {
	even := t.capacity / float64(l.routers)
	l.bound, l.calmAt = true, t.now.Add(calmPeriod)
	l.share = &Share{evenScale: 1, stepFactor: 1, proportional: true, updated: t.now}
	fit := float64(local.Open) * min(t.capacity/max(held, 1), 1)
	l.share.extra = max(fit-even, 0)
	l.value = max(even+l.share.extra, 1)
}

// raise raises a limit that makes requests wait although many slots are free, once for
// each time that the reports show the last step.
func (l *Limit) raise(t *Tally) {
	if !t.now.Add(-t.Age()).After(l.share.updated) {
		return
	}
	l.share.updated = t.now
	l.share.extra += raiseFraction * l.value
	l.value += raiseFraction * l.value
}

// Bound reports whether the limit binds.
func (l *Limit) Bound() bool { return l.bound }

// Unlimited is the limit of a gate that lets any number of requests run.
var Unlimited = math.Inf(1)
