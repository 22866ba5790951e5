package holder

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// maxRemote limits the stored requests that another domain owns.
const maxRemote = 64 << 10

// remoteRequest is a request from a router of this domain that another domain
// owns.
type remoteRequest struct {
	domain poplar.Domain
	router poplar.Daemon
}

// Reserve implements poplar.Ledger. An error means that nothing was granted: the
// router must not dispatch the request, and its reservation is released.
func (h *Replica) Reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	return h.reserve(ctx, ask, true)
}

// reserve serves a reservation call. With forward false, for a call that another
// ledger forwarded, it does not forward the call again.
func (h *Replica) reserve(ctx context.Context, ask poplar.ReserveRequest, forward bool) (poplar.Grant, error) {
	if err := h.awaitRunRecord(ctx); err != nil {
		return poplar.Grant{}, h.refusal(err, ask.Keyed)
	}
	h.mu.Lock()
	decision, done, err := h.decide(ask)
	h.mu.Unlock()
	if err != nil {
		return poplar.Grant{}, h.refusal(err, ask.Keyed)
	}
	var pending *pendingClaim
	if decision.ClaimRequest != nil {
		pending = h.sendClaim(ctx, decision.Home, *decision.ClaimRequest)
	}
	err = h.awaitDurable(ctx, done)
	if err == nil && !ask.Idempotent {
		err = h.checkLogContact()
	}
	if err != nil {
		h.releaseReservation(decision)
		return poplar.Grant{}, h.refusal(err, ask.Keyed)
	}
	if pending == nil && decision.ForwardTo == "" {
		return h.answer(decision)
	}
	return h.resolveClaim(ctx, ask, decision, pending, forward)
}

// awaitRunRecord waits until the record that starts the run is durable, when this
// daemon has just become primary.
func (h *Replica) awaitRunRecord(ctx context.Context) error {
	h.mu.Lock()
	if h.role != RolePrimary || h.durableSeq >= h.startSeq {
		h.mu.Unlock()
		return nil
	}
	done := h.addWaiter()
	h.mu.Unlock()
	return h.awaitDurable(ctx, done)
}

// decide decides on ask and applies the decision. The caller holds mu.
func (h *Replica) decide(ask poplar.ReserveRequest) (ledger.Decision, chan error, error) {
	if err := h.checkServing(); err != nil {
		return ledger.Decision{}, nil, err
	}
	h.countAsked(ask)
	decision := h.machine.Reserve(ask, h.domains, h.config.Clock.Now())
	if poplar.CodeOf(decision.Err) == poplar.CodeBudget {
		h.countRefused(ask)
	}
	if err := h.apply(decision.Records); err != nil {
		return ledger.Decision{}, nil, err
	}
	return decision, h.addWaiter(), nil
}

func (h *Replica) answer(decision ledger.Decision) (poplar.Grant, error) {
	if decision.Err != nil {
		return poplar.Grant{}, h.withPeer(decision.Err)
	}
	return decision.Grant, nil
}

// withPeer sets this daemon as the peer of an error that has none.
func (h *Replica) withPeer(err error) error {
	e, ok := err.(*poplar.Error) //nolint:errorlint // decisions return the type itself
	if ok && e.Peer() == "" {
		return e.At(string(h.config.Self))
	}
	return err
}

// refusal returns the error for a call that the ledger could not serve. A
// generated key cannot have run before; a caller's key may have.
func (h *Replica) refusal(err error, keyed bool) error {
	run := poplar.RunNo
	if keyed {
		run = poplar.RunUnknown
	}
	return poplar.Fail(poplar.StepReserve, poplar.CodeOf(err), err).At(string(h.config.Self)).Ran(run)
}

// checkServing returns an error unless this daemon is the primary and ready to
// decide. The caller holds mu.
func (h *Replica) checkServing() error {
	switch {
	case h.broken != nil:
		return h.broken
	case h.closing:
		return h.closedError()
	case h.role != RolePrimary:
		return poplar.Failf(poplar.StepReserve, poplar.CodeStale,
			"this daemon is %s in epoch %d; the primary is %q", h.role, h.pair.Epoch, h.pair.Primary.Name)
	case h.durableSeq < h.startSeq:
		// After a crash, the nonce of an earlier claim must not be reused.
		return poplar.Failf(poplar.StepReserve, poplar.CodeBusy, "the start of epoch %d is not durable yet", h.pair.Epoch)
	}
	return nil
}

// checkLogContact returns an error when a primary without a backup had no contact
// with the log for so long that another primary may have been named. No backup
// would refuse its records, so it must not grant non-idempotent requests.
func (h *Replica) checkLogContact() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config.LogTimeout == 0 || h.pair.Backup.Name != "" {
		return nil
	}
	if deadline := h.logContact.Add(h.config.LogTimeout); h.config.Clock.Now().After(deadline) {
		return poplar.Failf(poplar.StepReserve, poplar.CodeUnreachable,
			"the ledger has no backup and has had no contact with the log since %s", h.logContact.UTC().Format(time.RFC3339))
	}
	return nil
}

// releaseReservation releases the reservation of a decision whose call is refused.
func (h *Replica) releaseReservation(decision ledger.Decision) {
	if len(decision.Records) == 0 {
		return
	}
	first := &decision.Records[0]
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.broken != nil || h.role != RolePrimary {
		return
	}
	settle := poplar.Settlement{
		Workspace: first.Workspace, Key: first.Key, Attempt: first.Attempt, Outcome: poplar.OutcomeNotRun,
	}
	if decision.Takeover {
		settle.Outcome = poplar.OutcomeUnknown
	}
	settled := h.machine.Settle(settle, h.domains, h.config.Clock.Now())
	_ = h.apply(settled.Records)
}

// Extend implements poplar.Ledger.
func (h *Replica) Extend(ctx context.Context, extend poplar.Extend) error {
	return h.extend(ctx, extend, true)
}

func (h *Replica) extend(ctx context.Context, extend poplar.Extend, forward bool) error {
	request := poplar.NewRequest(extend.Workspace, extend.Key)
	return h.changeAttempt(ctx, request, Call{Extend: &extend}, forward, func(time.Time) ledger.Decision {
		return h.machine.Extend(extend)
	})
}

// Settle implements poplar.Ledger.
func (h *Replica) Settle(ctx context.Context, settle poplar.Settlement) error {
	return h.settle(ctx, settle, true)
}

func (h *Replica) settle(ctx context.Context, settle poplar.Settlement, forward bool) error {
	request := poplar.NewRequest(settle.Workspace, settle.Key)
	return h.changeAttempt(ctx, request, Call{Settle: &settle}, forward, func(now time.Time) ledger.Decision {
		return h.machine.Settle(settle, h.domains, now)
	})
}

// changeAttempt serves a call on an attempt, here or at the domain that owns it.
func (h *Replica) changeAttempt(
	ctx context.Context, request poplar.Request, call Call, forward bool, decide func(time.Time) ledger.Decision,
) error {
	if err := h.awaitRunRecord(ctx); err != nil {
		return h.withPeer(err)
	}
	h.mu.Lock()
	if remote, ok := h.remote[request]; ok && forward {
		h.mu.Unlock()
		return h.forwardChange(ctx, remote.domain, request, call)
	}
	err := h.checkServing()
	var decision ledger.Decision
	if err == nil {
		decision = decide(h.config.Clock.Now())
		err = h.apply(decision.Records)
	}
	if err != nil {
		h.mu.Unlock()
		return h.withPeer(err)
	}
	done := h.addWaiter()
	record := h.machine.Claims().Record(request)
	absent := record == nil || record.State() == claim.Idle
	h.mu.Unlock()
	if err := h.awaitDurable(ctx, done); err != nil {
		return h.withPeer(err)
	}
	if decision.Err != nil && absent && forward {
		if domain := h.locateRequest(ctx, request); domain != "" {
			return h.forwardChange(ctx, domain, request, call)
		}
	}
	if decision.Err != nil {
		return h.withPeer(decision.Err)
	}
	return nil
}

func (h *Replica) forwardChange(ctx context.Context, domain poplar.Domain, request poplar.Request, call Call) error {
	_, err := h.config.Peers.Forward(ctx, domain, call)
	if err == nil && call.Settle != nil {
		h.mu.Lock()
		delete(h.remote, request)
		h.mu.Unlock()
	}
	return err
}

// locateRequest asks the home domain which domain owns a request without an open
// attempt here. This happens when this ledger restarted after it forwarded the
// request.
func (h *Replica) locateRequest(ctx context.Context, request poplar.Request) poplar.Domain {
	h.mu.Lock()
	home := claim.Home(request, h.domains)
	h.mu.Unlock()
	if home == "" || home == h.config.Domain || h.config.Peers == nil {
		return ""
	}
	query := claim.Request{
		Workspace: request.Workspace(), Key: request.Key(), Domain: h.config.Domain, Op: claim.OpLookup,
	}
	reply, err := h.config.Peers.Claim(ctx, home, ledger.ClaimBatch{From: h.config.Domain, Requests: []claim.Request{query}})
	if err != nil || len(reply.Replies) != 1 || reply.Replies[0].Decision != claim.DecisionTaken {
		return ""
	}
	return reply.Replies[0].Domain
}
