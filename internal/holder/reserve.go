package holder

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file holds the calls of routers.

// maxRemote bounds the requests of which another domain is known to hold them.
const maxRemote = 64 << 10

// elsewhere tells which domain holds a request of a router of this one.
type elsewhere struct {
	domain poplar.Domain
	router poplar.Daemon
}

// Reserve implements poplar.Ledger. A call that returns an error granted
// nothing: the router must not dispatch, and what was reserved is released.
func (h *Holder) Reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	return h.reserve(ctx, ask, true)
}

// reserve serves an ask; one that another ledger forwarded is not forwarded
// again.
func (h *Holder) reserve(ctx context.Context, ask poplar.ReserveRequest, forward bool) (poplar.Grant, error) {
	if err := h.begin(ctx); err != nil {
		return poplar.Grant{}, h.unserved(err, ask.Keyed)
	}
	h.mu.Lock()
	decision, done, err := h.decide(ask)
	h.mu.Unlock()
	if err != nil {
		return poplar.Grant{}, h.unserved(err, ask.Keyed)
	}
	var plea *pleading
	if decision.Plea != nil {
		plea = h.plead(ctx, decision.Home, *decision.Plea)
	}
	err = h.await(ctx, done)
	if err == nil && !ask.Idempotent {
		err = h.alone()
	}
	if err != nil {
		h.undo(decision)
		return poplar.Grant{}, h.unserved(err, ask.Keyed)
	}
	if plea == nil && decision.Elsewhere == "" {
		return h.answer(decision)
	}
	return h.settleClaim(ctx, ask, decision, plea, forward)
}

// begin waits until the record that names the run is durable, when this daemon
// has just become primary.
func (h *Holder) begin(ctx context.Context) error {
	h.mu.Lock()
	if h.role != RolePrimary || h.durable >= h.start {
		h.mu.Unlock()
		return nil
	}
	done := h.queue()
	h.mu.Unlock()
	return h.await(ctx, done)
}

// decide takes the decision on ask. The caller holds mu.
func (h *Holder) decide(ask poplar.ReserveRequest) (ledger.Decision, chan error, error) {
	if err := h.serving(); err != nil {
		return ledger.Decision{}, nil, err
	}
	h.want(ask)
	decision := h.machine.Reserve(ask, h.domains, h.config.Clock.Now())
	if poplar.CodeOf(decision.Err) == poplar.CodeBudget {
		h.lack(ask)
	}
	if err := h.apply(decision.Records); err != nil {
		return ledger.Decision{}, nil, err
	}
	return decision, h.queue(), nil
}

func (h *Holder) answer(decision ledger.Decision) (poplar.Grant, error) {
	if decision.Err != nil {
		return poplar.Grant{}, h.at(decision.Err)
	}
	return decision.Grant, nil
}

// at sets the peer of an error that has none.
func (h *Holder) at(err error) error {
	e, ok := err.(*poplar.Error) //nolint:errorlint // decisions return the type itself
	if ok && e.Peer() == "" {
		return e.At(string(h.config.Self))
	}
	return err
}

// unserved refuses a call that the ledger could not serve. A generated key
// cannot have run before; of a caller's key that is not known.
func (h *Holder) unserved(err error, keyed bool) error {
	run := poplar.RunNo
	if keyed {
		run = poplar.RunUnknown
	}
	return poplar.Fail(poplar.StepReserve, poplar.CodeOf(err), err).At(string(h.config.Self)).Ran(run)
}

// serving returns an error unless this daemon decides for the domain. The
// caller holds mu.
func (h *Holder) serving() error {
	switch {
	case h.broken != nil:
		return h.broken
	case h.closing:
		return h.closed()
	case h.role != RolePrimary:
		return poplar.Failf(poplar.StepReserve, poplar.CodeStale,
			"this daemon is %s in epoch %d; the primary is %q", h.role, h.pair.Epoch, h.pair.Primary.Name)
	case h.durable < h.start:
		// A claim's nonce must not be used again after a crash.
		return poplar.Failf(poplar.StepReserve, poplar.CodeBusy, "epoch %d is not durable yet", h.pair.Epoch)
	}
	return nil
}

// alone returns an error when a primary without a backup has not heard from
// the log for so long that another one may have been named. No copy would
// refuse its records, so it must not run what may run once only.
func (h *Holder) alone() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config.Alone == 0 || h.pair.Backup.Name != "" {
		return nil
	}
	if deadline := h.heard.Add(h.config.Alone); h.config.Clock.Now().After(deadline) {
		return poplar.Failf(poplar.StepReserve, poplar.CodeCut,
			"the ledger has no backup and has not heard from the log since %s", h.heard.UTC().Format(time.RFC3339))
	}
	return nil
}

// undo releases the reservation of a decision whose answer is a refusal.
func (h *Holder) undo(decision ledger.Decision) {
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
	again := h.machine.Settle(settle, h.domains, h.config.Clock.Now())
	_ = h.apply(again.Records)
}

// Extend implements poplar.Ledger.
func (h *Holder) Extend(ctx context.Context, extend poplar.Extend) error {
	return h.extend(ctx, extend, true)
}

func (h *Holder) extend(ctx context.Context, extend poplar.Extend, forward bool) error {
	request := poplar.NewRequest(extend.Workspace, extend.Key)
	return h.change(ctx, request, Call{Extend: &extend}, forward, func(time.Time) ledger.Decision {
		return h.machine.Extend(extend)
	})
}

// Settle implements poplar.Ledger.
func (h *Holder) Settle(ctx context.Context, settle poplar.Settlement) error {
	return h.settle(ctx, settle, true)
}

func (h *Holder) settle(ctx context.Context, settle poplar.Settlement, forward bool) error {
	request := poplar.NewRequest(settle.Workspace, settle.Key)
	return h.change(ctx, request, Call{Settle: &settle}, forward, func(now time.Time) ledger.Decision {
		return h.machine.Settle(settle, h.domains, now)
	})
}

// change serves a call for an attempt, here or at the domain that holds it.
func (h *Holder) change(
	ctx context.Context, request poplar.Request, call Call, forward bool, decide func(time.Time) ledger.Decision,
) error {
	if err := h.begin(ctx); err != nil {
		return h.at(err)
	}
	h.mu.Lock()
	if at, ok := h.remote[request]; ok && forward {
		h.mu.Unlock()
		return h.changeAt(ctx, at.domain, request, call)
	}
	err := h.serving()
	var decision ledger.Decision
	if err == nil {
		decision = decide(h.config.Clock.Now())
		err = h.apply(decision.Records)
	}
	if err != nil {
		h.mu.Unlock()
		return h.at(err)
	}
	done := h.queue()
	record := h.machine.Claims().Record(request)
	absent := record == nil || record.State() == claim.Idle
	h.mu.Unlock()
	if err := h.await(ctx, done); err != nil {
		return h.at(err)
	}
	if decision.Err != nil && absent && forward {
		if domain := h.whereabouts(ctx, request); domain != "" {
			return h.changeAt(ctx, domain, request, call)
		}
	}
	if decision.Err != nil {
		return h.at(decision.Err)
	}
	return nil
}

func (h *Holder) changeAt(ctx context.Context, domain poplar.Domain, request poplar.Request, call Call) error {
	_, err := h.config.Peers.Forward(ctx, domain, call)
	if err == nil && call.Settle != nil {
		h.mu.Lock()
		delete(h.remote, request)
		h.mu.Unlock()
	}
	return err
}

// whereabouts asks the home domain who holds a request that does not run here:
// this ledger was restarted since it forwarded the request.
func (h *Holder) whereabouts(ctx context.Context, request poplar.Request) poplar.Domain {
	h.mu.Lock()
	home := claim.Home(request, h.domains)
	h.mu.Unlock()
	if home == "" || home == h.config.Domain || h.config.Peers == nil {
		return ""
	}
	plea := claim.Request{
		Workspace: request.Workspace(), Key: request.Key(), Domain: h.config.Domain, Op: claim.OpLookup,
	}
	reply, err := h.config.Peers.Claim(ctx, home, ledger.ClaimRequest{From: h.config.Domain, Pleas: []claim.Request{plea}})
	if err != nil || len(reply.Replies) != 1 || reply.Replies[0].Decision != claim.DecisionTaken {
		return ""
	}
	return reply.Replies[0].Domain
}
