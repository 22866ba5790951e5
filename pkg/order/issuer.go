package order

import (
	"time"

	"poplarbend.example/poplar"
)

// maxClockDrift is the largest difference that can arise between two clocks
// during a lease, as a fraction of its length.
const maxClockDrift = 0.01

// Issuer is the lease of one daemon to issue orders, under a fencing number
// that the log assigned to it. It is not safe for concurrent use.
type Issuer struct {
	fence       poplar.Fence
	leaseEnd    time.Time // end of this issuer's lease
	oldLeaseEnd time.Time // when the previous issuer's lease has ended on every clock
	lastNumber  uint64    // number of the latest order
}

// NewIssuer returns an issuer with the given fencing number, whose lease ends
// at leaseEnd. The lease of the previous issuer, of length oldLease, ends at
// oldLeaseEnd, measured on this daemon's clock from the time at which the log
// granted it. The zero time means that there was no previous issuer.
func NewIssuer(fence poplar.Fence, leaseEnd, oldLeaseEnd time.Time, oldLease time.Duration) *Issuer {
	i := &Issuer{fence: fence, leaseEnd: leaseEnd}
	if !oldLeaseEnd.IsZero() {
		i.oldLeaseEnd = oldLeaseEnd.Add(time.Duration(maxClockDrift * float64(oldLease)))
	}
	return i
}

// Fence returns the fencing number.
func (i *Issuer) Fence() poplar.Fence { return i.fence }

// Renew extends the lease. An end before the current one has no effect.
func (i *Issuer) Renew(leaseEnd time.Time) {
	if leaseEnd.After(i.leaseEnd) {
		i.leaseEnd = leaseEnd
	}
}

// CanIssue reports whether an order to e may be sent at now. An engine that
// ignores fencing numbers gets no orders until the lease of the previous issuer
// has ended.
func (i *Issuer) CanIssue(e *Engine, now time.Time) bool {
	return now.Before(i.leaseEnd) && (e.Fenced || !now.Before(i.oldLeaseEnd))
}

// assign sets the fence and the next number of an order.
func (i *Issuer) assign(o Order) Order {
	i.lastNumber++
	o.Fence, o.Number = i.fence, i.lastNumber
	return o
}
