package holder

import (
	"context"
	"errors"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// pendingClaim is a claim request that was sent to a home domain.
type pendingClaim struct {
	home    poplar.Domain
	request claim.Request
	reply   claim.Reply
	err     error
	done    chan struct{}
}

// sendClaim sends a claim request concurrently with the journal sync.
func (h *Replica) sendClaim(ctx context.Context, home poplar.Domain, request claim.Request) *pendingClaim {
	p := &pendingClaim{home: home, request: request, done: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config.Peers == nil || h.closing {
		p.err = poplar.Failf(poplar.StepClaim, poplar.CodeUnreachable, "cannot claim at home domain %q: no peers, or the ledger is closing", home)
		close(p.done)
		return p
	}
	h.loops.Add(1)
	go h.runClaim(ctx, p)
	return p
}

func (h *Replica) runClaim(ctx context.Context, p *pendingClaim) {
	defer h.loops.Done()
	defer close(p.done)
	ctx, cancel := context.WithTimeout(ctx, h.config.Timeout)
	defer cancel()
	request := ledger.ClaimBatch{From: h.config.Domain, Requests: []claim.Request{p.request}}
	reply, err := h.config.Peers.Claim(ctx, p.home, request)
	switch {
	case err != nil:
		p.err = err
	case len(reply.Replies) != 1 || reply.Replies[0].Nonce != p.request.Nonce:
		p.err = poplar.Failf(poplar.StepClaim, poplar.CodeUnreachable, "home domain %q did not answer this claim request", p.home)
	default:
		p.reply = reply.Replies[0]
	}
}

// resolveClaim answers a call whose reservation is durable and whose claim is
// decided in another domain. Model step: Dispatch.
func (h *Replica) resolveClaim(
	ctx context.Context, ask poplar.ReserveRequest, decision ledger.Decision, p *pendingClaim, forward bool,
) (poplar.Grant, error) {
	elsewhere := decision.ForwardTo
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
			h.releaseReservation(decision)
			return poplar.Grant{}, h.withPeer(ledger.ClaimError(p.reply, ask.Key))
		}
	}
	if elsewhere == h.config.Domain {
		h.releaseReservation(decision)
		return poplar.Grant{}, poplar.Failf(poplar.StepClaim, poplar.CodeUnknown,
			"the home domain records a run of key %q in this domain, but its record is lost", ask.Key).At(string(h.config.Self))
	}
	if !forward || h.config.Peers == nil {
		return h.provision(ctx, ask, decision, unreachableError(elsewhere))
	}
	return h.forward(ctx, ask, decision, elsewhere)
}

func unreachableError(domain poplar.Domain) error {
	return poplar.Failf(poplar.StepClaim, poplar.CodeUnreachable, "domain %q owns the request and was not reached", domain).At(string(domain))
}

// forward sends the call to the domain that owns the request.
func (h *Replica) forward(
	ctx context.Context, ask poplar.ReserveRequest, decision ledger.Decision, domain poplar.Domain,
) (poplar.Grant, error) {
	callCtx, cancel := context.WithTimeout(ctx, h.config.Timeout)
	defer cancel()
	grant, err := h.config.Peers.Forward(callCtx, domain, Call{Ask: &ask})
	if isUnreachable(err) {
		return h.provision(ctx, ask, decision, err)
	}
	// The local attempt and the remote one may have the same number. The local
	// attempt must be durably ended, or after a restart this ledger would apply
	// the settlement of the remote attempt to it.
	h.releaseReservation(decision)
	h.mu.Lock()
	done := h.addWaiter()
	h.mu.Unlock()
	if e := h.awaitDurable(ctx, done); err == nil {
		err = e
	}
	if err != nil {
		return poplar.Grant{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.remote) < maxRemote && (grant.Verdict == poplar.VerdictRun || grant.Verdict == poplar.VerdictResume) {
		h.remote[poplar.NewRequest(ask.Workspace, ask.Key)] = remoteRequest{domain, ask.Router}
	}
	return grant, nil
}

// isUnreachable reports whether err means that a peer was not reached or did not
// answer.
func isUnreachable(err error) bool {
	if err == nil {
		return false
	}
	code := poplar.CodeOf(err)
	return code == poplar.CodeUnreachable || code == poplar.CodeTimeout ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// provision grants an idempotent request without a claim and refuses any other.
// A refusal has run state "unknown", because the key may have run in another
// domain. Model step: Provision.
func (h *Replica) provision(
	ctx context.Context, ask poplar.ReserveRequest, decision ledger.Decision, cause error,
) (poplar.Grant, error) {
	if decision.Err != nil {
		return poplar.Grant{}, h.refusal(decision.Err, true)
	}
	if !ask.Idempotent {
		h.releaseReservation(decision)
		return poplar.Grant{}, poplar.Fail(poplar.StepClaim, poplar.CodeUnreachable, cause).At(string(h.config.Self))
	}
	h.mu.Lock()
	err := h.checkServing()
	if err == nil {
		request := poplar.NewRequest(ask.Workspace, ask.Key)
		change := h.machine.MarkProvisional(request, decision.Grant.Attempt)
		if err = change.Err; err == nil {
			err = h.apply(change.Records)
		}
	}
	done := h.addWaiter()
	h.mu.Unlock()
	if err == nil {
		err = h.awaitDurable(ctx, done)
	}
	if err != nil {
		h.releaseReservation(decision)
		return poplar.Grant{}, h.refusal(err, true)
	}
	return decision.Grant, nil
}

// ServeClaim decides claim requests as the home domain. It refuses a request
// whose home by this daemon's list of domains is another domain.
func (h *Replica) ServeClaim(ctx context.Context, request ledger.ClaimBatch) (ledger.ClaimBatchReply, error) {
	var reply ledger.ClaimBatchReply
	err := h.awaitRunRecord(ctx)
	h.mu.Lock()
	if err == nil {
		err = h.checkServing()
	}
	now := h.config.Clock.Now()
	for _, c := range request.Requests {
		if err != nil {
			break
		}
		c.Domain = request.From
		if claim.Home(c.Request(), h.domains) != h.config.Domain {
			err = poplar.Failf(poplar.StepClaim, poplar.CodeStale,
				"domain %q is not the home of key %q in its list of domains", h.config.Domain, c.Key)
			break
		}
		records, decision := h.machine.DecideClaim(c, now)
		err = h.apply(records)
		reply.Replies = append(reply.Replies, decision)
	}
	done := h.addWaiter()
	h.mu.Unlock()
	if err == nil {
		err = h.awaitDurable(ctx, done)
	}
	if err == nil {
		err = h.checkLogContact()
	}
	if err != nil {
		// The requester must not take this error for a decision.
		return ledger.ClaimBatchReply{}, poplar.Fail(poplar.StepClaim, poplar.CodeUnreachable, err).At(string(h.config.Self))
	}
	return reply, nil
}

// ServeForward serves a router's call that the ledger of another domain
// forwarded.
func (h *Replica) ServeForward(ctx context.Context, call Call) (poplar.Grant, error) {
	switch {
	case call.Ask != nil:
		return h.reserve(ctx, *call.Ask, false)
	case call.Extend != nil:
		return poplar.Grant{}, h.extend(ctx, *call.Extend, false)
	case call.Settle != nil:
		return poplar.Grant{}, h.settle(ctx, *call.Settle, false)
	case call.RemovedRouter != "":
		return poplar.Grant{}, h.markRouterGone(call.RemovedRouter)
	}
	return poplar.Grant{}, poplar.Failf(poplar.StepPeer, poplar.CodeInvalid, "forwarded call has no field set").Ran(poplar.RunNo)
}
