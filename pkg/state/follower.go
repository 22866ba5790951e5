package state

import (
	"fmt"

	"poplarbend.example/poplar"
)

// Follower mirrors the part of a State that one failure domain needs. The
// domain's ledger makes it durable, and the routers of the domain follow it in
// turn. It only moves forward: a delta that is late, repeated or from a lagging
// replica changes nothing.
type Follower struct {
	fleetState
	domain poplar.Domain
	mark   Mark
	shares map[poplar.Budget]ShareItem
	staged map[string]file // invariant: files of the running pass, not yet in force
	reset  bool            // invariant: the running pass contains all files
}

// NewFollower returns an empty follower for domain.
func NewFollower(domain poplar.Domain) *Follower {
	return &Follower{
		fleetState: newFleetState(), domain: domain,
		shares: map[poplar.Budget]ShareItem{}, staged: map[string]file{},
	}
}

// Domain returns the domain that the follower serves.
func (f *Follower) Domain() poplar.Domain { return f.domain }

// Mark returns the mark to request the next delta with.
func (f *Follower) Mark() Mark { return f.mark }

// Share returns the domain's share of a budget and whether it has one.
func (f *Follower) Share(budget poplar.Budget) (ShareItem, bool) {
	item, ok := f.shares[budget]
	return item, ok
}

// Shares returns the number of budgets of which the domain has a share.
func (f *Follower) Shares() int { return len(f.shares) }

// Apply applies a delta and reports whether anything changed. A delta that starts
// from another mark is ignored without an error. A delta for another domain, or
// one that no State produces, is refused with poplar.CodeInvalid.
// Model: step hear of models/shares.pml and models/pairs.pml, for the pairs.
func (f *Follower) Apply(d Delta) (bool, error) {
	if d.Domain != f.domain {
		return false, poplar.Failf(poplar.StepPropose, poplar.CodeInvalid, "delta for domain %q applied to the follower of %q", d.Domain, f.domain)
	}
	if d.From != f.mark || d.Empty() {
		return false, nil
	}
	if err := d.validate(); err != nil {
		return false, err
	}
	if d.From.Upto == 0 {
		clear(f.staged)
		f.reset = d.Reset
	}
	f.reset = f.reset || d.Reset
	for _, item := range d.Files {
		f.staged[item.Name] = file{Content: item.Content, At: item.At}
	}
	f.mergeFleetState(d)
	for _, item := range d.Shares {
		f.mergeShare(item)
	}
	f.mark = d.Mark
	if d.Done {
		f.activate(d)
	}
	return true, nil
}

// validate refuses a delta that no State produces.
func (d *Delta) validate() error {
	if d.Mark.Index < d.From.Index || d.Done && (d.Mark.Upto != 0 || d.Mark.Index <= d.From.Index) {
		return poplar.Fail(poplar.StepPropose, poplar.CodeInvalid, fmt.Errorf("invalid delta from mark %+v to mark %+v", d.From, d.Mark))
	}
	if !d.Done && d.Mark.Index != d.From.Index {
		return poplar.Failf(poplar.StepPropose, poplar.CodeInvalid, "unfinished delta moves the index to %d", d.Mark.Index)
	}
	for _, s := range d.Shares {
		if s.Issued < 0 || s.Returned < 0 || s.Lost < 0 || s.Returned > s.Issued || s.Lost > s.Issued-s.Returned {
			return poplar.Failf(poplar.StepPropose, poplar.CodeInvalid, "invalid share of budget %q: %+v", s.Budget, s)
		}
	}
	return nil
}

// mergeFleetState stores pairs, leases and members that are newer than the
// stored ones.
func (f *Follower) mergeFleetState(d Delta) {
	for _, p := range d.Pairs {
		if prev := f.pairs[p.Domain]; p.Epoch > prev.Epoch || p.Epoch == prev.Epoch && p.At > prev.At {
			f.pairs[p.Domain] = p
		}
	}
	for _, l := range d.Leases {
		prev := f.leases[l.Lease.Topic]
		if l.Lease.Fence > prev.Lease.Fence || l.Lease.Fence == prev.Lease.Fence && l.Lease.Count > prev.Lease.Count {
			f.leases[l.Lease.Topic] = l
		}
	}
	for _, m := range d.Members {
		if m.At > f.members[m.Member.Name].At {
			f.members[m.Member.Name] = m
		}
	}
}

// mergeShare keeps the share with the newer serial. For equal serials it keeps
// the larger counters.
func (f *Follower) mergeShare(item ShareItem) {
	prev, ok := f.shares[item.Budget]
	if ok && (item.Serial < prev.Serial || item.Serial == prev.Serial && item.At < prev.At) {
		return
	}
	if ok && item.Serial == prev.Serial {
		item.Issued = max(item.Issued, prev.Issued)
		item.Returned = max(item.Returned, prev.Returned)
	}
	f.shares[item.Budget] = item
}

// activate puts the staged files into force, all at once.
func (f *Follower) activate(d Delta) {
	if d.Revision >= f.revision {
		if f.reset {
			clear(f.files)
		}
		for name, x := range f.staged {
			f.files[name] = x
		}
		f.revision, f.configAt = d.Revision, max(f.configAt, d.ConfigAt)
	}
	f.floor = max(f.floor, d.Floor)
	f.index = max(f.index, d.Mark.Index)
	f.reset = false
	clear(f.staged)
	f.prune()
}

// RemoveShare removes the share of a deleted budget after the domain has sent its final
// return.
func (f *Follower) RemoveShare(budget poplar.Budget) {
	if f.shares[budget].Deleted {
		delete(f.shares, budget)
	}
}

// Delta returns the next changes after mark for a router of the domain. It has
// no shares, since routers reserve tokens at the ledger.
func (f *Follower) Delta(mark Mark) Delta {
	d := f.delta(mark, nil)
	d.Domain = f.domain
	return d
}
