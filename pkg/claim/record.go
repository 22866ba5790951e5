package claim

import (
	"time"

	"poplarbend.example/poplar"
)

// This file implements the record of a request at the ledger of the domain that
// runs it.

// State is the state of a request record.
type State uint8

// The states.
const (
	// Idle means that no attempt is in flight and no attempt ran: the latest
	// one was settled as not run. The record remains, so that attempt numbers
	// keep increasing.
	Idle State = iota
	// Open means that a live router runs an attempt.
	Open
	// Orphan means that the router of the attempt left the fleet or restarted.
	Orphan
	// Unknown means that the upstream may have run the attempt. The whole
	// reservation counts as spent until the outcome is proven.
	Unknown
	// Settled means that the request is billed.
	Settled
)

var stateNames = [...]string{"idle", "open", "orphan", "unknown", "settled"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Record is the record of one request at the ledger of one domain. It is
// changed only by methods of Store and Record.
type Record struct {
	request  poplar.Request
	budget   poplar.Budget
	caller   poplar.Caller
	router   poplar.Daemon
	upstream poplar.Upstream
	digest   uint64
	// nonce is the number of the claim for this request at its home domain. It
	// increases with each new claim, so that a delayed release of an earlier
	// claim can be recognized.
	nonce        uint64
	callID       uint64        // number of the router call that started the latest attempt
	budgetSerial uint64        // serial number of the budget that is charged
	reserved     poplar.Tokens // invariant: 0 unless Open, Orphan or Unknown
	spent        poplar.Tokens // invariant: 0 unless Settled
	attempt      poplar.Attempt
	state        State
	rank         poplar.Rank
	keyed        bool
	idempotent   bool
	// provisional means that the request ran without a claim because the home
	// domain was unreachable. Invariant: implies idempotent.
	provisional bool
	// reported means that the home domain knows the outcome.
	reported bool
	// void means that the charge was cancelled because another domain billed the
	// request. Invariant: implies Settled with spent 0.
	void      bool
	outcome   poplar.Outcome
	answer    []byte
	changedAt time.Time // time of the last change of state
}

// Request returns the identity of the request.
func (r *Record) Request() poplar.Request { return r.request }

// Budget returns the budget that is charged.
func (r *Record) Budget() poplar.Budget { return r.budget }

// Router returns the router of the latest attempt.
func (r *Record) Router() poplar.Daemon { return r.router }

// Upstream returns the upstream of the latest attempt.
func (r *Record) Upstream() poplar.Upstream { return r.upstream }

// Digest returns the digest of the request body.
func (r *Record) Digest() uint64 { return r.digest }

// Nonce returns the number of the latest claim for the request.
func (r *Record) Nonce() uint64 { return r.nonce }

// CallID returns the number of the router call that started the latest attempt,
// or 0.
func (r *Record) CallID() uint64 { return r.callID }

// BudgetSerial returns the serial number of the budget that is charged. Each creation
// of a budget gets a new number.
func (r *Record) BudgetSerial() uint64 { return r.budgetSerial }

// Attempt returns the number of the latest attempt.
func (r *Record) Attempt() poplar.Attempt { return r.attempt }

// State returns the state.
func (r *Record) State() State { return r.state }

// Reserved returns the reserved tokens.
func (r *Record) Reserved() poplar.Tokens { return r.reserved }

// Spent returns the tokens that the request was billed for.
func (r *Record) Spent() poplar.Tokens { return r.spent }

// Keyed reports whether the caller chose the key.
func (r *Record) Keyed() bool { return r.keyed }

// Idempotent reports whether the request is idempotent.
func (r *Record) Idempotent() bool { return r.idempotent }

// Provisional reports whether the request ran without a claim from its home
// domain.
func (r *Record) Provisional() bool { return r.provisional }

// Reported reports whether the home domain knows the outcome.
func (r *Record) Reported() bool { return r.reported }

// Void reports whether the charge was cancelled because another domain billed
// the request.
func (r *Record) Void() bool { return r.void }

// Outcome returns how the latest attempt ended.
func (r *Record) Outcome() poplar.Outcome { return r.outcome }

// Answer returns the stored answer, or nil.
func (r *Record) Answer() []byte { return r.answer }

// ChangedAt returns the time of the last change of state.
func (r *Record) ChangedAt() time.Time { return r.changedAt }

// Valid reports whether the record satisfies its invariants.
func (r *Record) Valid() bool {
	reserving := r.state == Open || r.state == Orphan || r.state == Unknown
	return (reserving || r.reserved == 0) &&
		(r.state == Settled || r.spent == 0) &&
		(!r.provisional || r.idempotent) &&
		(!r.void || r.state == Settled && r.spent == 0) &&
		r.reserved >= 0 && r.spent >= 0
}

// Resent reports whether req repeats the call that started the open attempt,
// because the reply was lost. Its router received no grant, so nothing was sent
// to any upstream. A request with a generated key can arrive twice only as such
// a repeated call.
func (r *Record) Resent(req poplar.ReserveRequest) bool {
	sameCall := req.CallID != 0 && req.CallID == r.callID || !req.Keyed
	return r.state == Open && sameCall && req.Router == r.router
}

// Decide returns what a router that asks to run the request has to do.
// VerdictRun and VerdictResume require a new attempt with the next number; the
// other verdicts change nothing. The error is CodeConflict if the key was used
// with another body, and CodeUnknown if the request may have run and is not
// idempotent.
func (r *Record) Decide(req poplar.ReserveRequest) (poplar.Verdict, error) {
	if r.digest != req.Digest {
		return "", poplar.Failf(poplar.StepClaim, poplar.CodeConflict,
			"key %q was used for another body", req.Key).Ran(poplar.RunNo)
	}
	switch {
	case r.state == Idle || r.Resent(req):
		return poplar.VerdictRun, nil
	case r.state == Settled:
		return poplar.VerdictReplay, nil
	case r.state == Open:
		return poplar.VerdictWait, nil
	}
	if !r.idempotent || !req.Idempotent {
		return "", poplar.Failf(poplar.StepClaim, poplar.CodeUnknown,
			"attempt %d at upstream %q may have run, and the request is not idempotent", r.attempt, r.upstream).
			At(string(r.router))
	}
	if r.state == Orphan {
		return poplar.VerdictResume, nil
	}
	return poplar.VerdictRun, nil
}

// Bill returns the charge of a settled record.
func (r *Record) Bill(domain poplar.Domain) poplar.Bill {
	return poplar.Bill{
		Workspace: r.request.Workspace(), Budget: r.budget, Key: r.request.Key(), Domain: domain,
		Attempt: r.attempt, Tokens: r.spent, Outcome: r.outcome, At: r.changedAt,
	}
}
