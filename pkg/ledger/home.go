package ledger

import (
	"sort"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
)

// This file implements the claim protocol between a domain and the home domain
// of a request.

func claimRecord(req claim.Request, now time.Time) Record {
	return Record{
		Kind: KindClaimRequest, Workspace: req.Workspace, Key: req.Key, Domain: req.Domain, Digest: req.Digest,
		Nonce: req.Nonce, Flags: flagIf(req.Idempotent, flagIdempotent), OutcomeOrOp: string(req.Op), Tokens: req.Spent,
		At: now.UnixMilli(),
	}
}

// decideClaim decides on req as its home domain and reports whether the decision
// changes the state. A claim of a non-idempotent request whose record may be
// lost is refused.
func (m *Machine) decideClaim(req claim.Request, now time.Time) (claim.Reply, bool) {
	if req.Op == claim.OpClaim && !req.Idempotent && m.claims.Claim(req.Request()) == nil && m.MayBeLost(req.Key, now) {
		return claim.Reply{Decision: claim.DecisionRecordsLost, Nonce: req.Nonce}, false
	}
	return m.claims.Decide(req)
}

// DecideClaim decides on a claim request of another domain. This domain must be its
// home.
func (m *Machine) DecideClaim(req claim.Request, now time.Time) ([]Record, claim.Reply) {
	reply, change := m.decideClaim(req, now)
	if !change {
		return nil, reply
	}
	return []Record{claimRecord(req, now)}, reply
}

// MarkProvisional decides that attempt runs without a claim. Only an idempotent
// request may do so. The caller of the method checks that the home domain, or
// the domain that has the claim, is unreachable.
func (m *Machine) MarkProvisional(id poplar.Request, attempt poplar.Attempt) Decision {
	record := m.claims.Record(id)
	if err := checkLatest(record, id.Key(), attempt); err != nil {
		return refuse(err)
	}
	if !record.Idempotent() {
		return refuse(poplar.Failf(poplar.StepClaim, poplar.CodeUnreachable,
			"a non-idempotent request needs a claim from its home domain"))
	}
	return Decision{Records: []Record{{Kind: KindProvisional, Workspace: id.Workspace(), Key: id.Key()}}}
}

// PendingClaimRequests returns up to limit claim requests, sorted by workspace and key, that
// report outcomes to home domains or ask them about unknown outcomes. It
// considers the records for which match returns true.
func (m *Machine) PendingClaimRequests(limit int, match func(*claim.Record) bool) []claim.Request {
	records := m.claims.Unconfirmed(limit, match)
	reqs := make([]claim.Request, 0, len(records))
	for _, record := range records {
		req := claim.Request{
			Workspace: record.Request().Workspace(), Key: record.Request().Key(), Domain: m.domain,
			Digest: record.Digest(), Nonce: record.Nonce(), Idempotent: record.Idempotent(), Spent: record.Spent(),
			Op: claim.OpSettle,
		}
		switch record.State() {
		case claim.Idle:
			req.Op = claim.OpRelease
		case claim.Unknown:
			req.Op = claim.OpCheck
		}
		reqs = append(reqs, req)
	}
	sort.Slice(reqs, func(i, j int) bool {
		a, b := reqs[i], reqs[j]
		return a.Workspace < b.Workspace || a.Workspace == b.Workspace && a.Key < b.Key
	})
	return reqs
}

// DecideClaimReply decides on the reply to a claim request of
// PendingClaimRequests. A reply changes nothing when the record has changed since
// the claim request was sent.
func (m *Machine) DecideClaimReply(req claim.Request, reply claim.Reply, now time.Time) []Record {
	record := m.claims.Record(req.Request())
	if record == nil || record.Nonce() != req.Nonce || record.Reported() {
		return nil
	}
	confirm := Record{Kind: KindConfirm, Workspace: req.Workspace, Key: req.Key, At: now.UnixMilli()}
	otherWon := reply.Decision == claim.DecisionTaken && reply.Settled && reply.Domain != m.domain
	switch {
	case req.Op == claim.OpRelease && record.State() == claim.Idle:
		return []Record{confirm}
	case req.Op == claim.OpSettle && record.State() == claim.Settled && reply.Decision == claim.DecisionGranted:
		return []Record{confirm}
	case req.Op == claim.OpSettle && record.State() == claim.Settled && otherWon,
		req.Op == claim.OpCheck && record.State() == claim.Unknown && otherWon:
		confirm.Kind = KindVoid
		return []Record{confirm}
	}
	return nil
}
