package ledger

import (
	"sort"

	"google.golang.org/protobuf/encoding/protowire"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
	"poplarbend.example/poplar/pkg/claim"
)

// This file holds the snapshot of a machine: a sequence of length-prefixed
// records of the snapshot kinds, the head first.

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	var out, one []byte
	put := func(r Record) {
		one = r.Append(one[:0])
		out = protowire.AppendBytes(out, one)
	}
	head := Record{
		Kind: KindHead, Epoch: m.epoch, Seq: m.seq, Router: m.primary, Backup: m.backup, Domain: m.domain,
		Nonce: uint64(m.revision), Tokens: poplar.Tokens(milli(m.claim.Horizon())), At: milli(m.dark),
		Digest: m.run,
	}
	put(head)
	m.budget.Each(func(name poplar.Budget) {
		put(accountRecord(name, m.budget.Image(name)))
	})
	for _, held := range m.budget.Leases() {
		put(Record{
			Kind: KindHeld, Budget: held.Budget, Router: held.Router,
			Tokens: held.Lease.Granted(), Spent: held.Lease.Spent(), Back: held.Lease.Back(),
		})
	}
	for _, image := range m.images() {
		put(requestRecord(image))
	}
	for _, c := range m.claims() {
		put(Record{
			Kind: KindClaim, Workspace: c.Request().Workspace(), Key: c.Request().Key(), Domain: c.Domain(),
			Digest: c.Digest(), Nonce: c.Nonce(), Tokens: c.Spent(), At: milli(c.At()),
			Flags: flag(c.Idempotent(), flagRepeat) | flag(c.Settled(), flagSettled),
		})
	}
	m.claim.Tombstones().Each(func(mark uint64, domain poplar.Domain, repeat bool) {
		put(Record{Kind: KindTomb, Digest: mark, Domain: domain, Flags: flag(repeat, flagRepeat)})
	})
	return out
}

// images returns all request records, the oldest first, so that kept answers
// are dropped in the same order after a restart.
func (m *Machine) images() []claim.RecordState {
	images := make([]claim.RecordState, 0, m.claim.Len())
	m.claim.Each(func(r *claim.Record) bool {
		images = append(images, r.Export())
		return true
	})
	sort.Slice(images, func(i, j int) bool {
		a, b := &images[i], &images[j]
		if !a.At.Equal(b.At) {
			return a.At.Before(b.At)
		}
		return a.Workspace < b.Workspace || a.Workspace == b.Workspace && a.Key < b.Key
	})
	return images
}

// claims returns all claims, the oldest first.
func (m *Machine) claims() []*claim.Claim {
	claims := make([]*claim.Claim, 0, m.claim.Claims())
	m.claim.EachClaim(func(c *claim.Claim) { claims = append(claims, c) })
	sort.Slice(claims, func(i, j int) bool { return claims[i].At().Before(claims[j].At()) })
	return claims
}

func accountRecord(name poplar.Budget, image budget.Image) Record {
	return Record{
		Kind: KindAccount, Budget: name, Tokens: image.Issued, Back: image.Returned, Spent: image.Settled,
		Open: image.Open, Leased: image.Leased, Lost: image.Lost, Nonce: uint64(image.Recall), Seq: image.Serial,
		Flags: flag(image.Closed, flagClosed),
	}
}

func requestRecord(i claim.RecordState) Record {
	return Record{
		Kind: KindRequest, Workspace: i.Workspace, Key: i.Key, Budget: i.Budget, Caller: i.Caller,
		Router: i.Router, Upstream: i.Upstream, Word: string(i.Outcome), Digest: i.Digest, Nonce: i.Nonce,
		Rank: uint64(i.Rank), State: uint64(i.State), Attempt: i.Attempt, Tokens: i.Reserved, Spent: i.Spent,
		At: milli(i.At), Answer: i.Answer, Seq: i.Serial, Call: i.CallID,
		Flags: flag(i.Keyed, flagKeyed) | flag(i.Idempotent, flagRepeat) | flag(i.Provisional, flagProvisional) |
			flag(i.Reported, flagReported) | flag(i.Void, flagVoid),
	}
}

func (r *Record) image() claim.RecordState {
	return claim.RecordState{
		Workspace: r.Workspace, Key: r.Key, Budget: r.Budget, Caller: r.Caller, Router: r.Router,
		Upstream: r.Upstream, Outcome: poplar.Outcome(r.Word), Digest: r.Digest, Nonce: r.Nonce,
		Rank: poplar.Rank(r.Rank), State: claim.State(r.State), Attempt: r.Attempt, Reserved: r.Tokens,
		Spent: r.Spent, At: r.time(), Answer: r.Answer, Serial: r.Seq, CallID: r.Call,
		Keyed: r.has(flagKeyed), Idempotent: r.has(flagRepeat), Provisional: r.has(flagProvisional),
		Reported: r.has(flagReported), Void: r.has(flagVoid),
	}
}

// Restore returns the machine that wrote snapshot. An empty snapshot gives the
// empty machine of domain. Errors have CodeCorrupt.
func Restore(domain poplar.Domain, limits claim.Limits, snapshot []byte) (*Machine, error) {
	m := New(domain, limits)
	for at := 0; len(snapshot) > 0; at++ {
		data, n := protowire.ConsumeBytes(snapshot)
		if n < 0 {
			return nil, corrupt("snapshot record %d: %w", at, protowire.ParseError(n))
		}
		snapshot = snapshot[n:]
		record, err := Decode(data)
		if err != nil {
			return nil, err
		}
		if (at == 0) != (record.Kind == KindHead) {
			return nil, corrupt("snapshot record %d has kind %d", at, record.Kind)
		}
		if err := m.restore(&record); err != nil {
			return nil, err
		}
	}
	m.claim.Restored()
	return m, nil
}

func (m *Machine) restore(r *Record) error {
	switch r.Kind {
	case KindHead:
		if r.Domain != m.domain {
			return corrupt("snapshot of domain %q in domain %q", r.Domain, m.domain)
		}
		m.epoch, m.seq, m.primary, m.backup = r.Epoch, r.Seq, r.Router, r.Backup
		m.revision = poplar.Revision(r.Nonce)
		m.dark, m.run = timeOf(r.At), r.Digest
		m.claim.RestoreHorizon(timeOf(int64(r.Tokens)))
	case KindAccount:
		return m.budget.Restore(r.Budget, budget.Image{
			Issued: r.Tokens, Returned: r.Back, Settled: r.Spent, Open: r.Open, Leased: r.Leased, Lost: r.Lost,
			Recall: poplar.Tokens(r.Nonce), Serial: r.Seq, Closed: r.has(flagClosed),
		})
	case KindHeld:
		m.budget.RestoreLease(r.Budget, r.Router, r.Tokens, r.Spent, r.Back)
	case KindRequest:
		if !m.claim.Restore(r.image()) {
			return corrupt("record of request %s breaks its invariant", r.Request())
		}
	case KindClaim:
		plea := r.plea()
		plea.Op = claim.OpClaim
		if r.has(flagSettled) {
			plea.Op = claim.OpSettle
		}
		m.claim.Apply(plea, r.time())
	case KindTomb:
		m.claim.Tombstones().Restore(r.Digest, r.Domain, r.has(flagRepeat))
	default:
		return corrupt("kind %d in a snapshot", r.Kind)
	}
	return nil
}
