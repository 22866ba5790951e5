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
	// leaseDuration is the duration of the lease by any clock.
	leaseDuration = 10 * time.Second
	// clockTolerance is more than two clocks may diverge during a lease.
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
func (k *leaseTracker) held(now time.Time) bool { return now.Before(k.expiry) }

// observe records the lease that is known at now. It ignores outdated updates.
func (k *leaseTracker) observe(l state.Lease, now time.Time) {
	newer := l.Fence > k.seen.Fence || l.Fence == k.seen.Fence && l.Count > k.seen.Count
	if newer || k.seenAt.IsZero() {
		k.seen, k.seenAt = l, now
	}
	if l.Fence > k.fence {
		k.drop()
	}
}

// drop ends the own lease in this process.
func (k *leaseTracker) drop() { k.expiry = time.Time{} }

// vacant reports whether nobody holds the topic.
func (k *leaseTracker) vacant() bool { return k.seen.Fence == 0 || k.seen.Release }

// nextCommand returns the command that is due at now.
//
// If the log names this daemon as holder of a lease that this process does not
// have, the lease belongs to an earlier process or the reply to its grant was
// lost. It is released after its duration, because a renewal would grant the old
// fence again.
func (k *leaseTracker) nextCommand(now time.Time) (state.Lease, bool) {
	c := state.Lease{Topic: k.topic, Holder: k.self, Until: now.Add(leaseDuration)}
	switch {
	case k.seenAt.IsZero():
		return c, false
	case k.held(now):
		return c, !now.Before(k.renewAt)
	case k.vacant():
		return c, true
	case now.Sub(k.seenAt) <= leaseDuration+clockTolerance:
		return c, false
	case k.seen.Holder == k.self:
		return k.releaseCommand(), true
	}
	c.Fence, c.Count = k.seen.Fence, k.seen.Count
	return c, true
}

// releaseCommand returns the command that releases the lease.
func (k *leaseTracker) releaseCommand() state.Lease {
	return state.Lease{Topic: k.topic, Holder: k.self, Release: true}
}

// applyReply applies the reply to a command that was sent at sent and answered at
// now. It reports whether a new lease begins.
//
// A new lease directly follows the one that was seen. Any other grant renewed a
// lease of an earlier process, whose fence must not be used.
func (k *leaseTracker) applyReply(c state.Lease, r state.Reply, sent, now time.Time) bool {
	if r.Lease == nil {
		return false
	}
	had, waited := k.seen, k.seenAt
	granted := r.Code == "" && !c.Release && r.Lease.Holder == k.self && !r.Lease.Release
	renewed := granted && k.held(sent) && r.Lease.Fence == k.fence
	first := granted && !renewed && r.Lease.Fence == had.Fence+1 && r.Lease.Count == had.Count+1
	if first {
		k.fence = r.Lease.Fence
		k.clearAt = time.Time{}
		if !had.Release && had.Fence > 0 {
			k.clearAt = waited.Add(leaseDuration + clockTolerance + maxOrderDelay)
		}
	}
	k.observe(*r.Lease, now)
	if !renewed && !first {
		k.drop()
		return false
	}
	k.expiry = sent.Add(leaseDuration - clockTolerance)
	k.renewAt = sent.Add(renewalInterval)
	return first && k.held(now)
}
