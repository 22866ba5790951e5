package state

import (
	"slices"

	"poplarbend.example/poplar"
)

// This file applies the commands on ledger pairs, members and leases.

// applyLedger enforces that the epochs of a domain are consecutive, that the first
// proposal for an epoch wins, and that only a holder of every acknowledged record
// becomes primary.
// Model: models/shares.pml, step takeover; models/pairs.pml, step name.
func (s *State) applyLedger(l Ledger) Reply {
	if l.Domain == "" || len(l.Domain) > MaxName || l.Primary.Name == "" || l.Primary == l.Backup {
		return refuse(poplar.CodeInvalid, "ledger needs a domain, a primary and a different backup")
	}
	current, ok := s.pairs[l.Domain]
	if !ok && len(s.pairs) >= MaxDomains {
		return refuse(poplar.CodeLarge, "domain limit is reached: there are %d", len(s.pairs))
	}
	if l.Epoch == current.Epoch && l.Primary == current.Primary && l.Backup == current.Backup && l.Force == current.Forced {
		return Reply{Duplicate: true, Pair: &current}
	}
	if l.Epoch != current.Epoch+1 {
		r := refuse(poplar.CodeStale, "epoch %d of %s is not applied: %q named %q and %q in epoch %d", l.Epoch, l.Domain, current.Proposer, current.Primary.Name, current.Backup.Name, current.Epoch)
		r.Pair, r.Operator = &current, string(current.Proposer)
		return r
	}
	if current.Epoch > 0 && !l.Force && !slices.Contains(current.Sound, l.Primary) {
		r := refuse(poplar.CodeDenied, "epoch %d of %s is not applied: %q does not hold every record; holders that do: %v", l.Epoch, l.Domain, l.Primary.Name, current.Sound)
		r.Pair = &current
		return r
	}
	next := Pair{
		Domain: l.Domain, Epoch: l.Epoch, Primary: l.Primary, Backup: l.Backup,
		Proposer: l.Proposer, Forced: l.Force, At: s.index, Sound: slices.Clone(current.Sound),
	}
	switch {
	case l.Force || current.Epoch == 0:
		// The ledger is empty, so both holders store all of it.
		next.Sound = next.holders()
		s.writeOff(l.Domain)
	case l.Backup == Holder{} || slices.Contains(current.Sound, l.Backup):
		next.Sound = next.holders()
	}
	s.pairs[l.Domain] = next
	return Reply{Pair: &next}
}

func (p Pair) holders() []Holder {
	if (p.Backup == Holder{}) {
		return []Holder{p.Primary}
	}
	return []Holder{p.Primary, p.Backup}
}

// applyReady adds both holders of the pair to Sound, so that the primary can
// acknowledge records.
// Model: step ready of models/shares.pml and models/pairs.pml.
func (s *State) applyReady(c Ready) Reply {
	current := s.pairs[c.Domain]
	if current.Epoch == 0 || current.Epoch != c.Epoch {
		r := refuse(poplar.CodeStale, "epoch %d of %s is not in force: the current epoch is %d", c.Epoch, c.Domain, current.Epoch)
		r.Pair = &current
		return r
	}
	if current.Ready() {
		return Reply{Duplicate: true, Pair: &current}
	}
	current.Sound, current.At = current.holders(), s.index
	s.pairs[c.Domain] = current
	return Reply{Pair: &current}
}

func (s *State) applyMember(m Member) Reply {
	if m.Name == "" || len(m.Name) > MaxName || len(m.Domain) > MaxName {
		return refuse(poplar.CodeInvalid, "member name or domain is invalid: at most %d bytes each, and the name is required", MaxName)
	}
	if len(m.Addresses) > 8 || len(m.Addresses) > 0 && len(slices.MaxFunc(m.Addresses, compareLengths)) > MaxName {
		return refuse(poplar.CodeLarge, "member %q has too many addresses or one that is too long", m.Name)
	}
	prev, ok := s.members[m.Name]
	if ok && m.Life < prev.Member.Life {
		return refuse(poplar.CodeStale, "member %q has incarnation %d, not %d", m.Name, prev.Member.Life, m.Life)
	}
	if ok && m.Life == prev.Member.Life && prev.Member.Leave && !m.Leave {
		return refuse(poplar.CodeStale, "incarnation %d of member %q has left", m.Life, m.Name)
	}
	if ok && equalMember(prev.Member, m) {
		return Reply{Duplicate: true}
	}
	s.members[m.Name] = MemberItem{Member: m, At: s.index}
	s.prune()
	return Reply{}
}

func compareLengths(a, b string) int { return len(a) - len(b) }

func equalMember(a, b Member) bool {
	return a.Domain == b.Domain && a.Life == b.Life && a.Leave == b.Leave && slices.Equal(a.Addresses, b.Addresses)
}

// maxTopics is the largest number of lease topics.
const maxTopics = 256

// applyLease grants, renews or releases a lease. The fence increases when the
// lease is acquired, never when it is renewed.
func (s *State) applyLease(l Lease) Reply {
	if l.Topic == "" || len(l.Topic) > MaxName || l.Holder == "" || len(l.Holder) > MaxName {
		return refuse(poplar.CodeInvalid, "lease needs a topic and a holder, and neither may be too long")
	}
	prev, ok := s.leases[l.Topic]
	if !ok && len(s.leases) >= maxTopics {
		return refuse(poplar.CodeLarge, "topic limit is reached: there are %d", len(s.leases))
	}
	current := prev.Lease
	vacant := !ok || current.Release
	isHolder := !vacant && current.Holder == l.Holder
	notRenewed := !vacant && current.Fence == l.Fence && current.Count == l.Count
	if l.Release && !isHolder {
		return Reply{Duplicate: true, Lease: &current}
	}
	if !vacant && !isHolder && !notRenewed {
		r := refuse(poplar.CodeBusy, "topic %q is held by %q under fence %d", l.Topic, current.Holder, current.Fence)
		r.Lease = &current
		return r
	}
	next := Lease{Topic: l.Topic, Holder: l.Holder, Fence: current.Fence, Count: current.Count + 1, Until: l.Until, Release: l.Release}
	if !isHolder {
		next.Fence++
	}
	s.leases[l.Topic] = LeaseItem{Lease: next, At: s.index}
	return Reply{Lease: &next}
}
