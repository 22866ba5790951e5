package holder

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// Limits and intervals of reports to home domains.
const (
	// maxReportClaims limits the claim requests in one report.
	maxReportClaims = 512
	// maxReportRounds limits the reports in one round of upkeep.
	maxReportRounds = 8
	// homeRetryDelay is the pause after a home domain did not answer.
	homeRetryDelay = 5 * time.Second
	// outcomeQueryInterval is the time between two queries for unknown outcomes.
	outcomeQueryInterval = time.Minute
)

// loopUpkeep runs the upkeep every Tick.
func (h *Replica) loopUpkeep() {
	defer h.loops.Done()
	ticker := time.NewTicker(h.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		// The next tick retries after an error; Status reports a failed journal.
		_ = h.Upkeep(h.ctx)
	}
}

// Upkeep runs one round of maintenance: it expires records older than the record
// window, ends requests whose router is gone, returns tokens that the log
// recalls, and reports outcomes to home domains.
func (h *Replica) Upkeep(ctx context.Context) error {
	now := h.config.Clock.Now()
	h.mu.Lock()
	err := h.checkServing()
	if err == nil {
		records := h.machine.SettleOrphans(now.Add(-h.config.ResumePeriod), now)
		if now.Sub(h.machine.Claims().Horizon()) > h.config.Limits.Window+h.config.Limits.Window/16 {
			records = append(records, h.machine.Expire(now)...)
		}
		records = append(records, h.issueShares()...)
		records = append(records, h.machine.ReturnRecalled()...)
		err = h.apply(records)
	}
	queryOutcomes := !now.Before(h.nextOutcomeQuery)
	if queryOutcomes {
		h.nextOutcomeQuery = now.Add(outcomeQueryInterval)
	}
	h.mu.Unlock()
	if err != nil {
		return h.withPeer(err)
	}
	for range maxReportRounds {
		claims, domains := h.dueClaims(now, queryOutcomes)
		if e := h.reportClaims(ctx, domains, claims, now); e != nil {
			err = e
		}
		if len(claims) < maxReportClaims {
			break
		}
	}
	return err
}

// dueClaims returns the claim requests for home domains that are not paused, and
// the current list of domains. It includes unknown outcomes when queryOutcomes is set.
func (h *Replica) dueClaims(now time.Time, queryOutcomes bool) ([]claim.Request, []poplar.Domain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	claims := h.machine.PendingClaimRequests(maxReportClaims, func(r *claim.Record) bool {
		home := claim.Home(r.Request(), h.domains)
		return (queryOutcomes || r.State() != claim.Unknown) && !now.Before(h.homeRetry[home])
	})
	return claims, h.domains
}

// reportClaims sends claim requests to their home domains. Model step: Merge.
func (h *Replica) reportClaims(ctx context.Context, domains []poplar.Domain, claims []claim.Request, now time.Time) error {
	byHome := map[poplar.Domain][]claim.Request{}
	for _, c := range claims {
		home := claim.Home(c.Request(), domains)
		byHome[home] = append(byHome[home], c)
	}
	var lastErr error
	for home, part := range byHome {
		request := ledger.ClaimBatch{From: h.config.Domain, Requests: part}
		reply, err := h.requestClaims(ctx, home, request)
		if err != nil {
			lastErr = err
			h.mu.Lock()
			h.homeRetry[home] = now.Add(homeRetryDelay)
			h.mu.Unlock()
			continue
		}
		if err := h.applyClaimReplies(part, reply.Replies); err != nil {
			lastErr = err
		}
	}
	return lastErr
}

// requestClaims sends a request to a home domain, which may be this domain after
// a change of the list of domains.
func (h *Replica) requestClaims(ctx context.Context, home poplar.Domain, request ledger.ClaimBatch) (ledger.ClaimBatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.Timeout)
	defer cancel()
	switch {
	case home == h.config.Domain:
		return h.ServeClaim(ctx, request)
	case h.config.Peers == nil:
		return ledger.ClaimBatchReply{}, poplar.Failf(poplar.StepClaim, poplar.CodeUnreachable, "cannot reach home domain %q: no peers are configured", home)
	}
	return h.config.Peers.Claim(ctx, home, request)
}

func (h *Replica) applyClaimReplies(claims []claim.Request, replies []claim.Reply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.checkServing(); err != nil {
		return err
	}
	now := h.config.Clock.Now()
	for i := range min(len(claims), len(replies)) {
		if err := h.apply(h.machine.DecideClaimReply(claims[i], replies[i], now)); err != nil {
			return err
		}
	}
	return nil
}

// RouterRemoved marks the open requests of a router that is gone, so that idempotent
// ones may be resumed at another router. It also notifies the domains that own
// requests of this router.
func (h *Replica) RouterRemoved(ctx context.Context, router poplar.Daemon) error {
	err := h.markRouterGone(router)
	h.mu.Lock()
	owners := map[poplar.Domain]bool{}
	for request, at := range h.remote {
		if at.router == router {
			owners[at.domain] = true
			delete(h.remote, request)
		}
	}
	h.mu.Unlock()
	for domain := range owners {
		if _, e := h.config.Peers.Forward(ctx, domain, Call{RemovedRouter: router}); e != nil && err == nil {
			err = e
		}
	}
	return err
}

func (h *Replica) markRouterGone(router poplar.Daemon) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.checkServing(); err != nil {
		return h.withPeer(err)
	}
	return h.apply(h.machine.OrphanRequests(router, h.config.Clock.Now()))
}

// Return returns up to amount tokens of a budget to the log. Shares includes
// them in the cumulative counter once the record is durable.
func (h *Replica) Return(ctx context.Context, budget poplar.Budget, amount poplar.Tokens) error {
	h.mu.Lock()
	err := h.checkServing()
	if err == nil {
		err = h.apply(h.machine.Return(budget, amount))
	}
	done := h.addWaiter()
	h.mu.Unlock()
	if err != nil {
		return h.withPeer(err)
	}
	return h.awaitDurable(ctx, done)
}
