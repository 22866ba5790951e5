package ledger

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
)

// This file holds the decisions on a router's calls.

// Decision is what a call leads to. The records must be applied at once, in
// order, and be durable before the answer is given.
type Decision struct {
	// Records are the changes.
	Records []Record
	// Grant is the answer to a reservation, when Err is nil.
	Grant poplar.Grant
	// Err is the refusal, an *poplar.Error, or nil.
	Err error
	// Takeover means that the records open a new attempt over one whose outcome
	// is not known, so that they cannot be undone as never run.
	Takeover bool
	// Plea, when not nil, must be put to the home domain before the answer.
	Plea *claim.Request
	// Home is the domain that Plea goes to.
	Home poplar.Domain
	// Elsewhere, when set, is the domain that holds the request; the call has
	// to be forwarded to it.
	Elsewhere poplar.Domain
}

func refuse(err error) Decision { return Decision{Err: err} }

// Reserve decides on a router's ask. The home of a keyed request is chosen
// among domains.
func (m *Machine) Reserve(ask poplar.ReserveRequest, domains []poplar.Domain, now time.Time) Decision {
	if err := checkAsk(ask); err != nil {
		return refuse(err)
	}
	request := poplar.NewRequest(ask.Workspace, ask.Key)
	record := m.claim.Record(request)
	if record == nil {
		if err := m.fresh(request, ask, now); err != nil {
			return refuse(err)
		}
		return m.start(ask, nil, poplar.VerdictRun, domains, now)
	}
	verdict, err := record.Decide(ask)
	switch {
	case err != nil:
		return refuse(err)
	case verdict == poplar.VerdictReplay:
		return Decision{Grant: poplar.Grant{
			Verdict: verdict, Attempt: record.Attempt(), Epoch: m.epoch, Upstream: record.Upstream(),
			Response: record.Answer(), Billed: record.Spent(),
		}}
	case verdict == poplar.VerdictWait:
		return Decision{Grant: m.wait(record)}
	}
	return m.start(ask, record, verdict, domains, now)
}

func checkAsk(ask poplar.ReserveRequest) error {
	invalid := func(what string) error {
		return poplar.Failf(poplar.StepReserve, poplar.CodeInvalid, "%s", what).Ran(poplar.RunNo)
	}
	switch {
	case ask.Workspace == "" || ask.Budget == "" || ask.Key == "" || ask.Router == "":
		return invalid("an ask needs workspace, budget, key and router")
	case ask.MaxTokens < 1:
		return invalid("an ask reserves at least 1 token")
	case !ask.Keyed && !ask.Idempotent:
		return poplar.Failf(poplar.StepReserve, poplar.CodeKey, "a non-idempotent request needs a key").
			Ran(poplar.RunNo)
	}
	return nil
}

// wait answers a request that runs now.
func (m *Machine) wait(record *claim.Record) poplar.Grant {
	return poplar.Grant{
		Verdict: poplar.VerdictWait, Attempt: record.Attempt(), Epoch: m.epoch,
		Upstream: record.Upstream(), Router: record.Router(), Reserved: record.Reserved(),
	}
}

// fresh returns an error when a request without a record may be an old one.
func (m *Machine) fresh(request poplar.Request, ask poplar.ReserveRequest, now time.Time) error {
	if !ask.Keyed {
		return nil
	}
	if err := m.claim.CheckNew(request, ask.Idempotent); err != nil {
		return err
	}
	if ask.Idempotent || !m.Darkens(ask.Key, now) {
		return nil
	}
	return poplar.Failf(poplar.StepClaim, poplar.CodeUnknown,
		"the ledger lost its records before %s: key %q may have run", m.dark.UTC().Format(time.RFC3339), ask.Key).
		After(m.dark.Add(m.limits.Window))
}

// Darkens reports whether key may belong to a record that was lost with the
// previous ledger.
func (m *Machine) Darkens(key poplar.Key, now time.Time) bool {
	if m.dark.IsZero() || !now.Before(m.dark.Add(m.limits.Window)) {
		return false
	}
	at, dated := claim.KeyTime(key)
	return !dated || at.Before(m.dark)
}

// start opens the next attempt. The reservation of an earlier one, whose
// outcome is not known, is taken over: one request has one reservation and one
// bill. A call that was sent again opens the next attempt, too, so that whatever
// still goes on for the first one is stale.
func (m *Machine) start(
	ask poplar.ReserveRequest, record *claim.Record, verdict poplar.Verdict, domains []poplar.Domain, now time.Time,
) Decision {
	var attempt poplar.Attempt
	var before poplar.Tokens
	upstream := ask.Upstream
	run := poplar.RunNo
	if record != nil {
		attempt, before = record.Attempt(), record.Reserved()
		if holds(record.State()) {
			ask.Budget, run = record.Budget(), poplar.RunUnknown
		}
		if verdict == poplar.VerdictResume {
			upstream = record.Upstream()
		}
	}
	most := max(before, ask.MaxTokens)
	if err := m.afford(ask.Budget, most-before, run); err != nil {
		return m.unaffordable(ask, err, domains)
	}
	account, _ := m.budget.Account(ask.Budget)
	nonce := m.run<<runShift | (m.seq + 1)
	decision := Decision{
		Records: []Record{{
			Kind: KindReserve, Workspace: ask.Workspace, Key: ask.Key, Budget: ask.Budget, Caller: ask.Caller,
			Router: ask.Router, Upstream: upstream, Digest: ask.Digest, Nonce: nonce, Rank: uint64(ask.Rank),
			Flags:   flag(ask.Keyed, flagKeyed) | flag(ask.Idempotent, flagRepeat),
			Attempt: attempt + 1, Tokens: most, At: now.UnixMilli(), Seq: account.Serial(),
			Call: ask.CallID,
		}},
		Grant: poplar.Grant{
			Verdict: verdict, Attempt: attempt + 1, Epoch: m.epoch, Reserved: most,
			Upstream: upstream, Router: ask.Router,
		},
	}
	decision.Takeover = record != nil && holds(record.State()) && !record.Resent(ask)
	if !ask.Keyed || verdict == poplar.VerdictResume {
		return decision
	}
	plea := pleaOf(ask, m.domain, nonce, claim.OpClaim)
	return m.plead(decision, plea, domains, now)
}

// runShift leaves 40 bits for the record number in a nonce. The run before it
// makes nonces grow also when records were lost: nothing is pleaded before the
// record that names the run is durable.
// Model: models/claims.pml, rule RUN.
const runShift = 40

// NextRun returns the number of a new run under epoch. It is higher than that
// of any run under a lower epoch, also of a ledger whose records are lost, as
// long as a primary starts fewer than 1,024 times in one epoch.
func (m *Machine) NextRun(epoch poplar.Epoch) uint64 {
	return max(m.run+1, uint64(epoch)<<10)
}

func pleaOf(ask poplar.ReserveRequest, domain poplar.Domain, nonce uint64, wish claim.Op) claim.Request {
	return claim.Request{
		Workspace: ask.Workspace, Key: ask.Key, Domain: domain, Digest: ask.Digest, Nonce: nonce,
		Idempotent: ask.Idempotent, Op: wish,
	}
}

// plead rules on the plea here when this domain is home, else leaves it to be
// sent.
func (m *Machine) plead(decision Decision, plea claim.Request, domains []poplar.Domain, now time.Time) Decision {
	home := claim.Home(plea.Request(), domains)
	if home == "" {
		home = m.domain
	}
	if home != m.domain {
		decision.Plea, decision.Home = &plea, home
		return decision
	}
	reply, change := m.rule(plea, now)
	switch reply.Decision {
	case claim.DecisionGranted:
		if change {
			decision.Records = append(decision.Records, pleaRecord(plea, now))
		}
		return decision
	case claim.DecisionTaken:
		decision.Elsewhere = reply.Domain
		return decision
	}
	return refuse(RulingError(reply, plea.Key))
}

// RulingError returns the refusal of a plea that was not granted.
func RulingError(reply claim.Reply, key poplar.Key) error {
	switch reply.Decision {
	case claim.DecisionClash:
		return poplar.Failf(poplar.StepClaim, poplar.CodeClash, "key %q was used for another body", key).
			Ran(poplar.RunNo)
	case claim.DecisionExpired:
		return poplar.Failf(poplar.StepClaim, poplar.CodeExpired, "key %q is past the record window", key)
	default:
		return poplar.Failf(poplar.StepClaim, poplar.CodeUnknown,
			"the home domain lost its records: key %q may have run", key)
	}
}

func (m *Machine) afford(name poplar.Budget, amount poplar.Tokens, run poplar.RunState) error {
	if m.budget.Closed(name) && amount > 0 {
		return poplar.Failf(poplar.StepReserve, poplar.CodeDenied, "budget %q is closed", name).Ran(run)
	}
	err := m.budget.Check(name, amount)
	if err == nil {
		return nil
	}
	return poplar.Fail(poplar.StepReserve, poplar.CodeOf(err), err).Ran(run)
}

// unaffordable refuses for want of budget. A caller's key may have run in
// another domain, so "not run" is said only once the home domain was asked.
func (m *Machine) unaffordable(ask poplar.ReserveRequest, err error, domains []poplar.Domain) Decision {
	decision := refuse(err)
	request := poplar.NewRequest(ask.Workspace, ask.Key)
	if !ask.Keyed || m.claim.Record(request) != nil {
		return decision
	}
	plea := pleaOf(ask, m.domain, 0, claim.OpCheck)
	home := claim.Home(request, domains)
	if home != "" && home != m.domain {
		decision.Plea, decision.Home = &plea, home
		return decision
	}
	if reply, _ := m.claim.Decide(plea); reply.Decision == claim.DecisionTaken && reply.Domain != m.domain {
		return Decision{Elsewhere: reply.Domain, Err: err}
	}
	return decision
}

// Extend decides on more tokens, or another upstream, for an open attempt. A
// call that is sent again reserves again; the surplus is released when the
// attempt is settled.
func (m *Machine) Extend(extend poplar.Extend) Decision {
	record := m.claim.Record(poplar.NewRequest(extend.Workspace, extend.Key))
	if err := current(record, extend.Key, extend.Attempt); err != nil {
		return refuse(err)
	}
	if !holds(record.State()) || extend.More < 0 {
		return refuse(poplar.Failf(poplar.StepReserve, poplar.CodeInvalid,
			"extend by %d a request that is %s", extend.More, record.State()))
	}
	if err := m.budget.Check(record.Budget(), extend.More); err != nil {
		return refuse(err)
	}
	return Decision{Records: []Record{{
		Kind: KindExtend, Workspace: extend.Workspace, Key: extend.Key, Attempt: extend.Attempt,
		Upstream: extend.Upstream, Tokens: record.Reserved() + extend.More,
	}}}
}

// current returns an error unless attempt is the latest of record.
func current(record *claim.Record, key poplar.Key, attempt poplar.Attempt) error {
	if record == nil {
		return poplar.Failf(poplar.StepSettle, poplar.CodeMissing, "no record of key %q", key)
	}
	if record.Attempt() != attempt {
		return poplar.Failf(poplar.StepSettle, poplar.CodeStale,
			"attempt %d of key %q is not the latest, which is %d", attempt, key, record.Attempt())
	}
	return nil
}

// Settle decides on the end of an attempt. The same call again succeeds and
// changes nothing; another attempt is refused with CodeStale.
func (m *Machine) Settle(settle poplar.Settlement, domains []poplar.Domain, now time.Time) Decision {
	record := m.claim.Record(poplar.NewRequest(settle.Workspace, settle.Key))
	if record == nil && settle.Outcome == poplar.OutcomeNotRun {
		return Decision{}
	}
	if err := current(record, settle.Key, settle.Attempt); err != nil {
		return refuse(err)
	}
	if done, err := again(record, settle); done {
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
		Word: string(settle.Outcome), Tokens: settle.Spent, Answer: m.keep(record, settle.Response), At: now.UnixMilli(),
	}}}
	if settle.Outcome == poplar.OutcomeUnknown {
		decision.Records[0].Tokens = 0
		return decision
	}
	return m.reportHere(decision, record, settle, domains, now)
}

// again reports whether the settlement changes nothing, and with which error.
func again(record *claim.Record, settle poplar.Settlement) (bool, error) {
	switch {
	case holds(record.State()) && (record.State() != claim.Unknown || settle.Outcome != poplar.OutcomeUnknown):
		return false, nil
	case record.Void() || settle.Outcome == record.Outcome() && (record.Spent() == settle.Spent || record.Spent() == 0):
		return true, nil
	}
	return true, poplar.Failf(poplar.StepSettle, poplar.CodeClash,
		"attempt %d of key %q was settled as %s with %d tokens", settle.Attempt, settle.Key, record.Outcome(), record.Spent())
}

func checkSettle(record *claim.Record, settle poplar.Settlement) error {
	switch settle.Outcome {
	case poplar.OutcomeDone, poplar.OutcomeCut, poplar.OutcomeNotRun, poplar.OutcomeUnknown:
	default:
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid, "outcome %q", settle.Outcome)
	}
	if settle.Spent < 0 || settle.Spent > record.Reserved() {
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid,
			"spent %d of %d reserved for key %q", settle.Spent, record.Reserved(), settle.Key)
	}
	return nil
}

// keep returns the answer when it is kept for a retry, so that the journal and
// the copy carry no more than that.
func (m *Machine) keep(record *claim.Record, answer []byte) []byte {
	if !record.Keyed() || len(answer) > m.limits.AnswerBytes {
		return nil
	}
	return answer
}

// reportHere settles the claim in the same records when this domain is home.
func (m *Machine) reportHere(
	decision Decision, record *claim.Record, settle poplar.Settlement, domains []poplar.Domain, now time.Time,
) Decision {
	home := claim.Home(record.Request(), domains)
	if !record.Keyed() || home != "" && home != m.domain {
		return decision
	}
	wish := claim.OpSettle
	if settle.Outcome == poplar.OutcomeNotRun {
		wish = claim.OpRelease
	}
	plea := claim.Request{
		Workspace: settle.Workspace, Key: settle.Key, Domain: m.domain, Digest: record.Digest(),
		Nonce: record.Nonce(), Idempotent: record.Idempotent(), Op: wish, Spent: settle.Spent,
	}
	reply, change := m.claim.Decide(plea)
	if change {
		decision.Records = append(decision.Records, pleaRecord(plea, now))
	}
	kind := KindConfirm
	if reply.Decision == claim.DecisionTaken && wish == claim.OpSettle {
		kind = KindVoid
	}
	decision.Records = append(decision.Records, Record{
		Kind: kind, Workspace: settle.Workspace, Key: settle.Key, At: now.UnixMilli(),
	})
	return decision
}
