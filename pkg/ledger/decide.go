package ledger

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
)

// This file implements the decisions on the calls of routers: Reserve, Extend
// and Settle.

// Decision is the result of a call. The caller must apply the records at once
// and in order, and must not send the answer before they are durable.
type Decision struct {
	// Records are the changes to apply.
	Records []Record
	// Grant is the answer to a reservation. It is valid when Err is nil.
	Grant poplar.Grant
	// Err is nil, or a *poplar.Error that refuses the call.
	Err error
	// Takeover means that the records start an attempt while the outcome of the
	// previous one is unknown. The request may have run, so this attempt cannot
	// be settled as not run.
	Takeover bool
	// ClaimRequest, when not nil, is a claim request that the home domain must decide
	// before the call is answered.
	ClaimRequest *claim.Request
	// Home is the domain that receives ClaimRequest.
	Home poplar.Domain
	// ForwardTo, when set, is the domain that has the claim. The call must be
	// forwarded to it.
	ForwardTo poplar.Domain
}

func refuse(err error) Decision { return Decision{Err: err} }

// Reserve decides on a router's reservation request. The home domain of a
// keyed request is one of domains.
func (m *Machine) Reserve(req poplar.ReserveRequest, domains []poplar.Domain, now time.Time) Decision {
	if err := checkReserve(req); err != nil {
		return refuse(err)
	}
	id := poplar.NewRequest(req.Workspace, req.Key)
	record := m.claims.Record(id)
	if record == nil {
		if err := m.checkNew(id, req, now); err != nil {
			return refuse(err)
		}
		return m.startAttempt(req, nil, poplar.VerdictRun, domains, now)
	}
	verdict, err := record.Decide(req)
	switch {
	case err != nil:
		return refuse(err)
	case verdict == poplar.VerdictReplay:
		return Decision{Grant: poplar.Grant{
			Verdict: verdict, Attempt: record.Attempt(), Epoch: m.epoch, Upstream: record.Upstream(),
			Response: record.Answer(), Billed: record.Spent(),
		}}
	case verdict == poplar.VerdictWait:
		return Decision{Grant: m.waitGrant(record)}
	}
	return m.startAttempt(req, record, verdict, domains, now)
}

func checkReserve(req poplar.ReserveRequest) error {
	invalid := func(problem string) error {
		return poplar.Failf(poplar.StepReserve, poplar.CodeInvalid, "%s", problem).Ran(poplar.RunNo)
	}
	switch {
	case req.Workspace == "" || req.Budget == "" || req.Key == "" || req.Router == "":
		return invalid("a reservation needs a workspace, a budget, a key and a router")
	case req.MaxTokens < 1:
		return invalid("a reservation needs at least 1 token")
	case !req.Keyed && !req.Idempotent:
		return poplar.Failf(poplar.StepReserve, poplar.CodeKey, "a non-idempotent request needs an idempotency key").
			Ran(poplar.RunNo)
	}
	return nil
}

// waitGrant returns the answer to a call for a request that is running.
func (m *Machine) waitGrant(record *claim.Record) poplar.Grant {
	return poplar.Grant{
		Verdict: poplar.VerdictWait, Attempt: record.Attempt(), Epoch: m.epoch,
		Upstream: record.Upstream(), Router: record.Router(), Reserved: record.Reserved(),
	}
}

// checkNew returns an error when a request without a record may have run
// before.
func (m *Machine) checkNew(id poplar.Request, req poplar.ReserveRequest, now time.Time) error {
	if !req.Keyed {
		return nil
	}
	if err := m.claims.CheckNew(id, req.Idempotent); err != nil {
		return err
	}
	if req.Idempotent || !m.MayBeLost(req.Key, now) {
		return nil
	}
	return poplar.Failf(poplar.StepClaim, poplar.CodeUnknown,
		"the ledger lost all records before %s; the request with key %q may have run", m.recordsLostAt.UTC().Format(time.RFC3339), req.Key).
		After(m.recordsLostAt.Add(m.limits.Window))
}

// MayBeLost reports whether the record of key may have been lost with the
// previous ledger. The answer is false once the record window has passed since
// the loss, and for a key whose time is not before the loss.
func (m *Machine) MayBeLost(key poplar.Key, now time.Time) bool {
	if m.recordsLostAt.IsZero() || !now.Before(m.recordsLostAt.Add(m.limits.Window)) {
		return false
	}
	at, hasTime := claim.KeyTime(key)
	return !hasTime || at.Before(m.recordsLostAt)
}

// startAttempt starts the next attempt. It takes over the reservation of an
// earlier attempt whose outcome is unknown, since a request has one reservation
// and one bill. A call that is sent again also starts a new attempt, so that any
// later message about the first one is stale.
func (m *Machine) startAttempt(
	req poplar.ReserveRequest, record *claim.Record, verdict poplar.Verdict, domains []poplar.Domain, now time.Time,
) Decision {
	var attempt poplar.Attempt
	var oldReserved poplar.Tokens
	upstream := req.Upstream
	runState := poplar.RunNo
	if record != nil {
		attempt, oldReserved = record.Attempt(), record.Reserved()
		if hasReservation(record.State()) {
			req.Budget, runState = record.Budget(), poplar.RunUnknown
		}
		if verdict == poplar.VerdictResume {
			upstream = record.Upstream()
		}
	}
	reserved := max(oldReserved, req.MaxTokens)
	if err := m.checkBudget(req.Budget, reserved-oldReserved, runState); err != nil {
		return m.refuseBudget(req, err, domains)
	}
	account, _ := m.budgets.Account(req.Budget)
	nonce := m.run<<nonceRunShift | (m.seq + 1)
	decision := Decision{
		Records: []Record{{
			Kind: KindReserve, Workspace: req.Workspace, Key: req.Key, Budget: req.Budget, Caller: req.Caller,
			Router: req.Router, Upstream: upstream, Digest: req.Digest, Nonce: nonce, Rank: uint64(req.Rank),
			Flags:   flagIf(req.Keyed, flagKeyed) | flagIf(req.Idempotent, flagIdempotent),
			Attempt: attempt + 1, Tokens: reserved, At: now.UnixMilli(), Seq: account.Serial(),
			Call: req.CallID,
		}},
		Grant: poplar.Grant{
			Verdict: verdict, Attempt: attempt + 1, Epoch: m.epoch, Reserved: reserved,
			Upstream: upstream, Router: req.Router,
		},
	}
	decision.Takeover = record != nil && hasReservation(record.State()) && !record.Resent(req)
	if !req.Keyed || verdict == poplar.VerdictResume {
		return decision
	}
	claimReq := newClaimRequest(req, m.domain, nonce, claim.OpClaim)
	return m.routeClaim(decision, claimReq, domains, now)
}

// nonceRunShift leaves 40 bits for the record number in a nonce. The run is in
// the higher bits, so nonces increase even after records were lost: no claim
// request is sent before the record that sets the run is durable.
// Model: models/claims.pml, rule RUN.
const nonceRunShift = 40

// NextRun returns the number of a new run in epoch. It is higher than every run
// of a lower epoch, even when the records of that ledger are lost, as long as
// primaries start fewer than 1,024 times in one epoch.
func (m *Machine) NextRun(epoch poplar.Epoch) uint64 {
	return max(m.run+1, uint64(epoch)<<10)
}

func newClaimRequest(req poplar.ReserveRequest, domain poplar.Domain, nonce uint64, op claim.Op) claim.Request {
	return claim.Request{
		Workspace: req.Workspace, Key: req.Key, Domain: domain, Digest: req.Digest, Nonce: nonce,
		Idempotent: req.Idempotent, Op: op,
	}
}

// routeClaim decides on claimReq when this domain is home. Otherwise the
// decision carries claimReq for the home domain.
func (m *Machine) routeClaim(decision Decision, claimReq claim.Request, domains []poplar.Domain, now time.Time) Decision {
	home := claim.Home(claimReq.Request(), domains)
	if home == "" {
		home = m.domain
	}
	if home != m.domain {
		decision.ClaimRequest, decision.Home = &claimReq, home
		return decision
	}
	reply, change := m.decideClaim(claimReq, now)
	switch reply.Decision {
	case claim.DecisionGranted:
		if change {
			decision.Records = append(decision.Records, claimRecord(claimReq, now))
		}
		return decision
	case claim.DecisionTaken:
		decision.ForwardTo = reply.Domain
		return decision
	}
	return refuse(ClaimError(reply, claimReq.Key))
}

// ClaimError returns the error for a claim request that was not granted.
func ClaimError(reply claim.Reply, key poplar.Key) error {
	switch reply.Decision {
	case claim.DecisionClash:
		return poplar.Failf(poplar.StepClaim, poplar.CodeConflict, "key %q was used for another body", key).
			Ran(poplar.RunNo)
	case claim.DecisionExpired:
		return poplar.Failf(poplar.StepClaim, poplar.CodeExpired, "key %q is past the record window", key)
	default:
		return poplar.Failf(poplar.StepClaim, poplar.CodeUnknown,
			"the home domain lost its records; the request with key %q may have run", key)
	}
}

// checkBudget returns an error with runState unless amount can be reserved.
func (m *Machine) checkBudget(name poplar.Budget, amount poplar.Tokens, runState poplar.RunState) error {
	if m.budgets.Closed(name) && amount > 0 {
		return poplar.Failf(poplar.StepReserve, poplar.CodeDenied, "budget %q is closed", name).Ran(runState)
	}
	err := m.budgets.Check(name, amount)
	if err == nil {
		return nil
	}
	return poplar.Fail(poplar.StepReserve, poplar.CodeOf(err), err).Ran(runState)
}

// refuseBudget refuses a reservation that the budget does not cover. The keyed
// request may have run in another domain, so it is reported as not run only
// after the home domain has been asked.
func (m *Machine) refuseBudget(req poplar.ReserveRequest, err error, domains []poplar.Domain) Decision {
	decision := refuse(err)
	id := poplar.NewRequest(req.Workspace, req.Key)
	if !req.Keyed || m.claims.Record(id) != nil {
		return decision
	}
	claimReq := newClaimRequest(req, m.domain, 0, claim.OpCheck)
	home := claim.Home(id, domains)
	if home != "" && home != m.domain {
		decision.ClaimRequest, decision.Home = &claimReq, home
		return decision
	}
	if reply, _ := m.claims.Decide(claimReq); reply.Decision == claim.DecisionTaken && reply.Domain != m.domain {
		return Decision{ForwardTo: reply.Domain, Err: err}
	}
	return decision
}

// Extend decides on more tokens, or another upstream, for an open attempt. A
// call that is sent again reserves the tokens again. Settle releases the
// surplus.
func (m *Machine) Extend(extend poplar.Extend) Decision {
	record := m.claims.Record(poplar.NewRequest(extend.Workspace, extend.Key))
	if err := checkLatest(record, extend.Key, extend.Attempt); err != nil {
		return refuse(err)
	}
	if !hasReservation(record.State()) || extend.More < 0 {
		return refuse(poplar.Failf(poplar.StepReserve, poplar.CodeInvalid,
			"cannot extend by %d tokens a request in state %s", extend.More, record.State()))
	}
	if err := m.budgets.Check(record.Budget(), extend.More); err != nil {
		return refuse(err)
	}
	return Decision{Records: []Record{{
		Kind: KindExtend, Workspace: extend.Workspace, Key: extend.Key, Attempt: extend.Attempt,
		Upstream: extend.Upstream, Tokens: record.Reserved() + extend.More,
	}}}
}

// checkLatest returns an error unless attempt is the latest attempt of record.
func checkLatest(record *claim.Record, key poplar.Key, attempt poplar.Attempt) error {
	if record == nil {
		return poplar.Failf(poplar.StepSettle, poplar.CodeMissing, "no record of key %q", key)
	}
	if record.Attempt() != attempt {
		return poplar.Failf(poplar.StepSettle, poplar.CodeStale,
			"attempt %d of key %q is stale: the latest attempt is %d", attempt, key, record.Attempt())
	}
	return nil
}

// Settle decides on the outcome of an attempt. Repeating a call succeeds and
// changes nothing. An attempt that is not the latest is refused with CodeStale.
func (m *Machine) Settle(settle poplar.Settlement, domains []poplar.Domain, now time.Time) Decision {
	record := m.claims.Record(poplar.NewRequest(settle.Workspace, settle.Key))
	if record == nil && settle.Outcome == poplar.OutcomeNotRun {
		return Decision{}
	}
	if err := checkLatest(record, settle.Key, settle.Attempt); err != nil {
		return refuse(err)
	}
	if settled, err := alreadySettled(record, settle); settled {
		return refuse(err)
	}
	if err := checkSettle(record, settle); err != nil {
		return refuse(err)
	}
	if settle.Outcome == poplar.OutcomeNotRun {
		settle.Spent = 0
	}
	decision := Decision{Records: []Record{{
		Kind: KindSettle, Workspace: settle.Workspace, Key: settle.Key, Attempt: settle.Attempt,
		OutcomeOrOp: string(settle.Outcome), Tokens: settle.Spent, Answer: m.retainedAnswer(record, settle.Response), At: now.UnixMilli(),
	}}}
	if settle.Outcome == poplar.OutcomeUnknown {
		decision.Records[0].Tokens = 0
		return decision
	}
	return m.settleLocalClaim(decision, record, settle, domains, now)
}

// alreadySettled reports whether the attempt has ended, so that settle changes
// nothing. The error is not nil when settle contradicts the stored outcome.
func alreadySettled(record *claim.Record, settle poplar.Settlement) (bool, error) {
	switch {
	case hasReservation(record.State()) && (record.State() != claim.Unknown || settle.Outcome != poplar.OutcomeUnknown):
		return false, nil
	case record.Void() || settle.Outcome == record.Outcome() && (record.Spent() == settle.Spent || record.Spent() == 0):
		return true, nil
	}
	return true, poplar.Failf(poplar.StepSettle, poplar.CodeConflict,
		"attempt %d of key %q is already settled as %s with %d tokens", settle.Attempt, settle.Key, record.Outcome(), record.Spent())
}

func checkSettle(record *claim.Record, settle poplar.Settlement) error {
	switch settle.Outcome {
	case poplar.OutcomeDone, poplar.OutcomeIncomplete, poplar.OutcomeNotRun, poplar.OutcomeUnknown:
	default:
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid, "unknown outcome %q", settle.Outcome)
	}
	if settle.Spent < 0 || settle.Spent > record.Reserved() {
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid,
			"spent %d tokens, but %d are reserved for key %q", settle.Spent, record.Reserved(), settle.Key)
	}
	return nil
}

// retainedAnswer returns answer when it is stored for retries, and nil when it
// is not, so that the journal and the backup do not store it either.
func (m *Machine) retainedAnswer(record *claim.Record, answer []byte) []byte {
	if !record.Keyed() || len(answer) > m.limits.AnswerBytes {
		return nil
	}
	return answer
}

// settleLocalClaim also settles the claim of the request, in the same records,
// when this domain is home.
func (m *Machine) settleLocalClaim(
	decision Decision, record *claim.Record, settle poplar.Settlement, domains []poplar.Domain, now time.Time,
) Decision {
	home := claim.Home(record.Request(), domains)
	if !record.Keyed() || home != "" && home != m.domain {
		return decision
	}
	op := claim.OpSettle
	if settle.Outcome == poplar.OutcomeNotRun {
		op = claim.OpRelease
	}
	claimReq := claim.Request{
		Workspace: settle.Workspace, Key: settle.Key, Domain: m.domain, Digest: record.Digest(),
		Nonce: record.Nonce(), Idempotent: record.Idempotent(), Op: op, Spent: settle.Spent,
	}
	reply, change := m.claims.Decide(claimReq)
	if change {
		decision.Records = append(decision.Records, claimRecord(claimReq, now))
	}
	kind := KindConfirm
	if reply.Decision == claim.DecisionTaken && op == claim.OpSettle {
		kind = KindVoid
	}
	decision.Records = append(decision.Records, Record{
		Kind: kind, Workspace: settle.Workspace, Key: settle.Key, At: now.UnixMilli(),
	})
	return decision
}
