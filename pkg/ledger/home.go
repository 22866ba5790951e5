package ledger

import (
	"sort"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
)

// This file holds the decisions between a domain and the home of a request.

func pleaRecord(plea claim.Request, now time.Time) Record {
	return Record{
		Kind: KindPlea, Workspace: plea.Workspace, Key: plea.Key, Domain: plea.Domain, Digest: plea.Digest,
		Nonce: plea.Nonce, Flags: flag(plea.Idempotent, flagRepeat), Word: string(plea.Op), Tokens: plea.Spent,
		At: now.UnixMilli(),
	}
}

// rule is the ruling of this home domain, which cannot vouch for a key that
// may belong to a lost record.
func (m *Machine) rule(plea claim.Request, now time.Time) (claim.Reply, bool) {
	if plea.Op == claim.OpClaim && !plea.Idempotent && m.claim.Claim(plea.Request()) == nil && m.Darkens(plea.Key, now) {
		return claim.Reply{Decision: claim.DecisionRecordsLost, Nonce: plea.Nonce}, false
	}
	return m.claim.Decide(plea)
}

// Plead decides on a plea of another domain for which this one is home.
func (m *Machine) Plead(plea claim.Request, now time.Time) ([]Record, claim.Reply) {
	reply, change := m.rule(plea, now)
	if !change {
		return nil, reply
	}
	return []Record{pleaRecord(plea, now)}, reply
}

// Provision decides that attempt of request runs without a claim. Only an
// idempotent request may; the caller checks that the home domain, or the
// domain that holds the claim, is unreachable.
func (m *Machine) Provision(request poplar.Request, attempt poplar.Attempt) Decision {
	record := m.claim.Record(request)
	if err := current(record, request.Key(), attempt); err != nil {
		return refuse(err)
	}
	if !record.Idempotent() {
		return refuse(poplar.Failf(poplar.StepClaim, poplar.CodeCut,
			"a non-idempotent request needs a claim at its home domain"))
	}
	return Decision{Records: []Record{{Kind: KindProvision, Workspace: request.Workspace(), Key: request.Key()}}}
}

// Pleas returns up to limit pleas that report outcomes to their home domains,
// or ask them about unknown ones, in the order of their requests. The records
// are those that want selects.
func (m *Machine) Pleas(limit int, want func(*claim.Record) bool) []claim.Request {
	records := m.claim.Unconfirmed(limit, want)
	pleas := make([]claim.Request, 0, len(records))
	for _, record := range records {
		plea := claim.Request{
			Workspace: record.Request().Workspace(), Key: record.Request().Key(), Domain: m.domain,
			Digest: record.Digest(), Nonce: record.Nonce(), Idempotent: record.Idempotent(), Spent: record.Spent(),
			Op: claim.OpSettle,
		}
		switch record.State() {
		case claim.Idle:
			plea.Op = claim.OpRelease
		case claim.Unknown:
			plea.Op = claim.OpCheck
		}
		pleas = append(pleas, plea)
	}
	sort.Slice(pleas, func(i, j int) bool {
		a, b := pleas[i], pleas[j]
		return a.Workspace < b.Workspace || a.Workspace == b.Workspace && a.Key < b.Key
	})
	return pleas
}

// Ruled decides on the answer to a plea of Pleas. An answer that is late,
// because the record changed since, changes nothing.
func (m *Machine) Ruled(plea claim.Request, reply claim.Reply, now time.Time) []Record {
	record := m.claim.Record(plea.Request())
	if record == nil || record.Nonce() != plea.Nonce || record.Reported() {
		return nil
	}
	confirm := Record{Kind: KindConfirm, Workspace: plea.Workspace, Key: plea.Key, At: now.UnixMilli()}
	lost := reply.Decision == claim.DecisionTaken && reply.Settled && reply.Domain != m.domain
	switch {
	case plea.Op == claim.OpRelease && record.State() == claim.Idle:
		return []Record{confirm}
	case plea.Op == claim.OpSettle && record.State() == claim.Settled && reply.Decision == claim.DecisionGranted:
		return []Record{confirm}
	case plea.Op == claim.OpSettle && record.State() == claim.Settled && lost,
		plea.Op == claim.OpCheck && record.State() == claim.Unknown && lost:
		confirm.Kind = KindVoid
		return []Record{confirm}
	}
	return nil
}
