package ledger

import (
	"sort"

	"google.golang.org/protobuf/encoding/protowire"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
	"poplarbend.example/poplar/pkg/claim"
)

// This file implements the snapshot of a machine: a sequence of length-prefixed
// records of the snapshot kinds, starting with the header.

// Snapshot returns the encoded state of the machine.
func (m *Machine) Snapshot() []byte {
	var out, encoded []byte
	put := func(r Record) {
		encoded = r.Append(encoded[:0])
		out = protowire.AppendBytes(out, encoded)
	}
	head := Record{
		Kind: KindHeader, Epoch: m.epoch, Seq: m.seq, Router: m.primary, Backup: m.backup, Domain: m.domain,
		Nonce: uint64(m.revision), Tokens: poplar.Tokens(toUnixMilli(m.claims.Horizon())), At: toUnixMilli(m.recordsLostAt),
		Digest: m.run,
	}
	put(head)
	m.budgets.Each(func(name poplar.Budget) {
		put(accountRecord(name, m.budgets.State(name)))
	})
	for _, lease := range m.budgets.Leases() {
		put(Record{
			Kind: KindRouterLease, Budget: lease.Budget, Router: lease.Router,
			Tokens: lease.Lease.Granted(), Spent: lease.Lease.Spent(), Returned: lease.Lease.Returned(),
		})
	}
	for _, state := range m.sortedRecords() {
		put(requestRecord(state))
	}
	for _, c := range m.sortedClaims() {
		put(Record{
			Kind: KindClaim, Workspace: c.Request().Workspace(), Key: c.Request().Key(), Domain: c.Domain(),
			Digest: c.Digest(), Nonce: c.Nonce(), Tokens: c.Spent(), At: toUnixMilli(c.ChangedAt()),
			Flags: flagIf(c.Idempotent(), flagIdempotent) | flagIf(c.Settled(), flagSettled),
		})
	}
	m.claims.Tombstones().Each(func(fingerprint uint64, domain poplar.Domain, idempotent bool) {
		put(Record{Kind: KindTombstone, Digest: fingerprint, Domain: domain, Flags: flagIf(idempotent, flagIdempotent)})
	})
	return out
}

// sortedRecords returns all request records, oldest first, so that stored answers
// are evicted in the same order after a restart.
func (m *Machine) sortedRecords() []claim.RecordState {
	states := make([]claim.RecordState, 0, m.claims.Len())
	m.claims.Each(func(r *claim.Record) bool {
		states = append(states, r.Export())
		return true
	})
	sort.Slice(states, func(i, j int) bool {
		a, b := &states[i], &states[j]
		if !a.At.Equal(b.At) {
			return a.At.Before(b.At)
		}
		return a.Workspace < b.Workspace || a.Workspace == b.Workspace && a.Key < b.Key
	})
	return states
}

// sortedClaims returns all claims, oldest first.
func (m *Machine) sortedClaims() []*claim.Claim {
	claims := make([]*claim.Claim, 0, m.claims.Claims())
	m.claims.EachClaim(func(c *claim.Claim) { claims = append(claims, c) })
	sort.Slice(claims, func(i, j int) bool { return claims[i].ChangedAt().Before(claims[j].ChangedAt()) })
	return claims
}

func accountRecord(name poplar.Budget, state budget.AccountState) Record {
	return Record{
		Kind: KindAccount, Budget: name, Tokens: state.Issued, Returned: state.Returned, Spent: state.Settled,
		Open: state.Open, Leased: state.Leased, Lost: state.Lost, Nonce: uint64(state.Recall), Seq: state.Serial,
		Flags: flagIf(state.Closed, flagClosed),
	}
}

func requestRecord(state claim.RecordState) Record {
	return Record{
		Kind: KindRequest, Workspace: state.Workspace, Key: state.Key, Budget: state.Budget, Caller: state.Caller,
		Router: state.Router, Upstream: state.Upstream, OutcomeOrOp: string(state.Outcome), Digest: state.Digest, Nonce: state.Nonce,
		Rank: uint64(state.Rank), State: uint64(state.State), Attempt: state.Attempt, Tokens: state.Reserved, Spent: state.Spent,
		At: toUnixMilli(state.At), Answer: state.Answer, Seq: state.Serial, Call: state.CallID,
		Flags: flagIf(state.Keyed, flagKeyed) | flagIf(state.Idempotent, flagIdempotent) | flagIf(state.Provisional, flagProvisional) |
			flagIf(state.Reported, flagReported) | flagIf(state.Void, flagVoid),
	}
}

func (r *Record) recordState() claim.RecordState {
	return claim.RecordState{
		Workspace: r.Workspace, Key: r.Key, Budget: r.Budget, Caller: r.Caller, Router: r.Router,
		Upstream: r.Upstream, Outcome: poplar.Outcome(r.OutcomeOrOp), Digest: r.Digest, Nonce: r.Nonce,
		Rank: poplar.Rank(r.Rank), State: claim.State(r.State), Attempt: r.Attempt, Reserved: r.Tokens,
		Spent: r.Spent, At: r.timestamp(), Answer: r.Answer, Serial: r.Seq, CallID: r.Call,
		Keyed: r.hasFlag(flagKeyed), Idempotent: r.hasFlag(flagIdempotent), Provisional: r.hasFlag(flagProvisional),
		Reported: r.hasFlag(flagReported), Void: r.hasFlag(flagVoid),
	}
}

// Restore returns a machine with the state in snapshot. An empty snapshot gives
// the empty machine of domain. Errors have CodeCorrupt.
func Restore(domain poplar.Domain, limits claim.Limits, snapshot []byte) (*Machine, error) {
	m := New(domain, limits)
	for index := 0; len(snapshot) > 0; index++ {
		data, n := protowire.ConsumeBytes(snapshot)
		if n < 0 {
			return nil, corruptf("decode snapshot record %d: %w", index, protowire.ParseError(n))
		}
		snapshot = snapshot[n:]
		record, err := Decode(data)
		if err != nil {
			return nil, err
		}
		if (index == 0) != (record.Kind == KindHeader) {
			return nil, corruptf("snapshot record %d has kind %d, but exactly the first must be the header", index, record.Kind)
		}
		if err := m.restoreRecord(&record); err != nil {
			return nil, err
		}
	}
	m.claims.FinishRestore()
	return m, nil
}

func (m *Machine) restoreRecord(r *Record) error {
	switch r.Kind {
	case KindHeader:
		if r.Domain != m.domain {
			return corruptf("snapshot belongs to domain %q, not to domain %q", r.Domain, m.domain)
		}
		m.epoch, m.seq, m.primary, m.backup = r.Epoch, r.Seq, r.Router, r.Backup
		m.revision = poplar.Revision(r.Nonce)
		m.recordsLostAt, m.run = fromUnixMilli(r.At), r.Digest
		m.claims.RestoreHorizon(fromUnixMilli(int64(r.Tokens)))
	case KindAccount:
		return m.budgets.Restore(r.Budget, budget.AccountState{
			Issued: r.Tokens, Returned: r.Returned, Settled: r.Spent, Open: r.Open, Leased: r.Leased, Lost: r.Lost,
			Recall: poplar.Tokens(r.Nonce), Serial: r.Seq, Closed: r.hasFlag(flagClosed),
		})
	case KindRouterLease:
		m.budgets.RestoreLease(r.Budget, r.Router, r.Tokens, r.Spent, r.Returned)
	case KindRequest:
		if !m.claims.Restore(r.recordState()) {
			return corruptf("record of request %s violates its invariant", r.Request())
		}
	case KindClaim:
		req := r.claimRequest()
		req.Op = claim.OpClaim
		if r.hasFlag(flagSettled) {
			req.Op = claim.OpSettle
		}
		m.claims.Apply(req, r.timestamp())
	case KindTombstone:
		m.claims.Tombstones().Restore(r.Digest, r.Domain, r.hasFlag(flagIdempotent))
	default:
		return corruptf("record kind %d is not allowed in a snapshot", r.Kind)
	}
	return nil
}
