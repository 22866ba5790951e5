package holder

import (
	"context"
	"errors"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file holds the claims at home domains, as asker and as home.

// pleading is a plea on its way.
type pleading struct {
	home  poplar.Domain
	plea  claim.Request
	reply claim.Reply
	err   error
	done  chan struct{}
}

// plead sends a plea while the journal syncs.
func (h *Holder) plead(ctx context.Context, home poplar.Domain, plea claim.Request) *pleading {
	p := &pleading{home: home, plea: plea, done: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config.Peers == nil || h.closing {
		p.err = poplar.Failf(poplar.StepClaim, poplar.CodeCut, "home domain %q is not asked", home)
		close(p.done)
		return p
	}
	h.loops.Add(1)
	go h.runPlea(ctx, p)
	return p
}

func (h *Holder) runPlea(ctx context.Context, p *pleading) {
	defer h.loops.Done()
	defer close(p.done)
	ctx, cancel := context.WithTimeout(ctx, h.config.Timeout)
	defer cancel()
	request := ledger.ClaimRequest{From: h.config.Domain, Pleas: []claim.Request{p.plea}}
	reply, err := h.config.Peers.Claim(ctx, p.home, request)
	switch {
	case err != nil:
		p.err = err
	case len(reply.Replies) != 1 || reply.Replies[0].Nonce != p.plea.Nonce:
		p.err = poplar.Failf(poplar.StepClaim, poplar.CodeCut, "home domain %q answered another plea", p.home)
	default:
		p.reply = reply.Replies[0]
	}
}

// settleClaim answers an ask whose reservation is durable but whose claim is
// not settled here. Model step: Dispatch.
func (h *Holder) settleClaim(
	ctx context.Context, ask poplar.ReserveRequest, decision ledger.Decision, p *pleading, forward bool,
) (poplar.Grant, error) {
	elsewhere := decision.Elsewhere
	if p != nil {
		<-p.done
		switch {
		case p.err != nil:
			return h.provision(ctx, ask, decision, p.err)
		case p.reply.Decision == claim.DecisionGranted:
			return h.answer(decision)
		case p.reply.Decision == claim.DecisionTaken:
			elsewhere = p.reply.Domain
		default:
			h.undo(decision)
			return poplar.Grant{}, h.at(ledger.RulingError(p.reply, ask.Key))
		}
	}
	if elsewhere == h.config.Domain {
		h.undo(decision)
		return poplar.Grant{}, poplar.Failf(poplar.StepClaim, poplar.CodeUnknown,
			"key %q ran in this domain and its record is lost", ask.Key).At(string(h.config.Self))
	}
	if !forward || h.config.Peers == nil {
		return h.provision(ctx, ask, decision, cut(elsewhere))
	}
	return h.forward(ctx, ask, decision, elsewhere)
}

func cut(domain poplar.Domain) error {
	return poplar.Failf(poplar.StepClaim, poplar.CodeCut, "domain %q holds the request", domain).At(string(domain))
}

// forward asks the domain that holds the request.
func (h *Holder) forward(
	ctx context.Context, ask poplar.ReserveRequest, decision ledger.Decision, domain poplar.Domain,
) (poplar.Grant, error) {
	call, cancel := context.WithTimeout(ctx, h.config.Timeout)
	defer cancel()
	grant, err := h.config.Peers.Forward(call, domain, Call{Ask: &ask})
	if unreached(err) {
		return h.provision(ctx, ask, decision, err)
	}
	// The attempt here and the one there may have the same number. The one here
	// must be over for good, or a restart would take the settlement for its own.
	h.undo(decision)
	h.mu.Lock()
	done := h.queue()
	h.mu.Unlock()
	if e := h.await(ctx, done); err == nil {
		err = e
	}
	if err != nil {
		return poplar.Grant{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.remote) < maxRemote && (grant.Verdict == poplar.VerdictRun || grant.Verdict == poplar.VerdictResume) {
		h.remote[poplar.NewRequest(ask.Workspace, ask.Key)] = elsewhere{domain, ask.Router}
	}
	return grant, nil
}

// unreached reports whether err means that a peer was not reached.
func unreached(err error) bool {
	if err == nil {
		return false
	}
	code := poplar.CodeOf(err)
	return code == poplar.CodeCut || code == poplar.CodeTimeout ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// provision runs an idempotent request without a claim and refuses any other.
// A refusal says "unknown": the key may have run in another domain. Model step:
// Provision.
func (h *Holder) provision(
	ctx context.Context, ask poplar.ReserveRequest, decision ledger.Decision, cause error,
) (poplar.Grant, error) {
	if decision.Err != nil {
		return poplar.Grant{}, h.unserved(decision.Err, true)
	}
	if !ask.Idempotent {
		h.undo(decision)
		return poplar.Grant{}, poplar.Fail(poplar.StepClaim, poplar.CodeCut, cause).At(string(h.config.Self))
	}
	h.mu.Lock()
	err := h.serving()
	if err == nil {
		request := poplar.NewRequest(ask.Workspace, ask.Key)
		change := h.machine.Provision(request, decision.Grant.Attempt)
		if err = change.Err; err == nil {
			err = h.apply(change.Records)
		}
	}
	done := h.queue()
	h.mu.Unlock()
	if err == nil {
		err = h.await(ctx, done)
	}
	if err != nil {
		h.undo(decision)
		return poplar.Grant{}, h.unserved(err, true)
	}
	return decision.Grant, nil
}

// ServeClaim rules on pleas of other domains, as their home. A plea from a
// domain whose list of domains gives another home is not ruled on.
func (h *Holder) ServeClaim(ctx context.Context, request ledger.ClaimRequest) (ledger.ClaimReply, error) {
	var reply ledger.ClaimReply
	err := h.begin(ctx)
	h.mu.Lock()
	if err == nil {
		err = h.serving()
	}
	now := h.config.Clock.Now()
	for _, plea := range request.Pleas {
		if err != nil {
			break
		}
		plea.Domain = request.From
		if claim.Home(plea.Request(), h.domains) != h.config.Domain {
			err = poplar.Failf(poplar.StepClaim, poplar.CodeStale,
				"domain %q is not the home of key %q by its list of domains", h.config.Domain, plea.Key)
			break
		}
		records, ruling := h.machine.Plead(plea, now)
		err = h.apply(records)
		reply.Replies = append(reply.Replies, ruling)
	}
	done := h.queue()
	h.mu.Unlock()
	if err == nil {
		err = h.await(ctx, done)
	}
	if err == nil {
		err = h.alone()
	}
	if err != nil {
		// The asker must not take this for a ruling.
		return ledger.ClaimReply{}, poplar.Fail(poplar.StepClaim, poplar.CodeCut, err).At(string(h.config.Self))
	}
	return reply, nil
}

// ServeForward serves a router's call that the ledger of another domain
// forwards.
func (h *Holder) ServeForward(ctx context.Context, call Call) (poplar.Grant, error) {
	switch {
	case call.Ask != nil:
		return h.reserve(ctx, *call.Ask, false)
	case call.Extend != nil:
		return poplar.Grant{}, h.extend(ctx, *call.Extend, false)
	case call.Settle != nil:
		return poplar.Grant{}, h.settle(ctx, *call.Settle, false)
	case call.Gone != "":
		return poplar.Grant{}, h.gone(call.Gone)
	}
	return poplar.Grant{}, poplar.Failf(poplar.StepPeer, poplar.CodeInvalid, "a call without a message").Ran(poplar.RunNo)
}
