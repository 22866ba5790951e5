package issuer

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// Decisions on when the lease is taken, renewed and released, without a clock,
// lock or network.

// Durations of the lease.
const (
	// leaseDuration is the duration of the lease on each daemon's own clock.
	leaseDuration = 10 * time.Second
	// clockTolerance exceeds the divergence of two clocks during a lease.
	clockTolerance = leaseDuration / 100
	// renewalInterval is the time between two renewals.
	renewalInterval = leaseDuration / 3
	// maxOrderDelay is how long a written order may take to arrive.
	maxOrderDelay = 2 * time.Second
)

// Topic returns the topic of the lease of a domain's issuer.
func Topic(domain poplar.Domain) string { return "orders/" + string(domain) }

// leaseTracker tracks the lease of one topic for one candidate.
//
// A command whose reply is lost changes nothing here. The holder counts its lease
// from before it sent the last renewal that it knows to be granted; a candidate
// counts its wait from after it saw the last renewal.
type leaseTracker struct {
	topic   string
	self    poplar.Daemon
	seen    state.Lease // the newest known lease
	seenAt  time.Time   // invariant: when seen was first seen; zero before the first call of observe
	fence   poplar.Fence
	expiry  time.Time // invariant: the expiry of the own lease; zero without one
	renewAt time.Time // when the own lease is due for renewal
	clearAt time.Time // invariant: orders of the preceding holder may arrive until then
}

func newLeaseTracker(domain poplar.Domain, self poplar.Daemon) *leaseTracker {
	return &leaseTracker{topic: Topic(domain), self: self}
}

// held reports whether the own lease is certainly in force at now.
func (t *leaseTracker) held(now time.Time) bool { return now.Before(t.expiry) }

// observe records the lease that is known at now. It ignores outdated updates.
func (t *leaseTracker) observe(l state.Lease, now time.Time) {
	newer := l.Fence > t.seen.Fence || l.Fence == t.seen.Fence && l.Count > t.seen.Count
	if newer || t.seenAt.IsZero() {
		t.seen, t.seenAt = l, now
	}
	if l.Fence > t.fence {
		t.drop()
	}
}

// drop ends the own lease in this process.
func (t *leaseTracker) drop() { t.expiry = time.Time{} }

// vacant reports whether nobody holds the topic.
func (t *leaseTracker) vacant() bool { return t.seen.Fence == 0 || t.seen.Release }

// nextCommand returns the command that is due at now.
//
// If the log names this daemon as holder of a lease that this process does not
// have, the lease belongs to an earlier process or the reply to its grant was
// lost. It is released after its duration, because a renewal would grant the old
// fence again.
func (t *leaseTracker) nextCommand(now time.Time) (state.Lease, bool) {
	c := state.Lease{Topic: t.topic, Holder: t.self, Until: now.Add(leaseDuration)}
	switch {
	case t.seenAt.IsZero():
		return c, false
	case t.held(now):
		return c, !now.Before(t.renewAt)
	case t.vacant():
		return c, true
	case now.Sub(t.seenAt) <= leaseDuration+clockTolerance:
		return c, false
	case t.seen.Holder == t.self:
		return t.releaseCommand(), true
	}
	c.Fence, c.Count = t.seen.Fence, t.seen.Count
	return c, true
}

// releaseCommand returns the command that releases the lease.
func (t *leaseTracker) releaseCommand() state.Lease {
	return state.Lease{Topic: t.topic, Holder: t.self, Release: true}
}

// applyReply applies the reply to a command that was sent at sent and answered at
// now. It reports whether a new lease begins.
//
// A new lease has the fence and the count that follow those of the lease that was
// seen. Any other grant renewed a lease of an earlier process, whose fence must
// not be used.
func (t *leaseTracker) applyReply(c state.Lease, r state.Reply, sent, now time.Time) bool {
	if r.Lease == nil {
		return false
	}
	previous, previousSeenAt := t.seen, t.seenAt
	granted := r.Code == "" && !c.Release && r.Lease.Holder == t.self && !r.Lease.Release
	renewed := granted && t.held(sent) && r.Lease.Fence == t.fence
	first := granted && !renewed && r.Lease.Fence == previous.Fence+1 && r.Lease.Count == previous.Count+1
	if first {
		t.fence = r.Lease.Fence
		t.clearAt = time.Time{}
		if !previous.Release && previous.Fence > 0 {
			t.clearAt = previousSeenAt.Add(leaseDuration + clockTolerance + maxOrderDelay)
		}
	}
	t.observe(*r.Lease, now)
	if !renewed && !first {
		t.drop()
		return false
	}
	t.expiry = sent.Add(leaseDuration - clockTolerance)
	t.renewAt = sent.Add(renewalInterval)
	return first && t.held(now)
}
