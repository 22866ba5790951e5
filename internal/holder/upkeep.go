package holder

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file holds the upkeep: lost routers, the record window, give-back and
// the reports to home domains.

// The bounds of reports to home domains.
const (
	// maxReport bounds the pleas of one report.
	maxReport = 512
	// maxRounds bounds the reports of one round of upkeep.
	maxRounds = 8
	// pauseHome is how long a home domain that did not answer is left alone.
	pauseHome = 5 * time.Second
	// pauseLook is the time between two questions about an unknown outcome.
	pauseLook = time.Minute
)

// loopUpkeep runs the upkeep every Tick.
func (h *Holder) loopUpkeep() {
	defer h.loops.Done()
	ticker := time.NewTicker(h.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		// What fails is done again at the next tick; a broken journal shows in
		// the status.
		_ = h.Upkeep(h.ctx)
	}
}

// Upkeep runs one round: it forgets what is past the window, gives up orphans,
// gives back what the log recalls, and reports outcomes to home domains.
func (h *Holder) Upkeep(ctx context.Context) error {
	now := h.config.Clock.Now()
	h.mu.Lock()
	err := h.serving()
	if err == nil {
		records := h.machine.Sweep(now.Add(-h.config.Sweep), now)
		if now.Sub(h.machine.Claims().Horizon()) > h.config.Limits.Window+h.config.Limits.Window/16 {
			records = append(records, h.machine.Expire(now)...)
		}
		records = append(records, h.issue()...)
		records = append(records, h.machine.GiveBack()...)
		err = h.apply(records)
	}
	look := !now.Before(h.look)
	if look {
		h.look = now.Add(pauseLook)
	}
	h.mu.Unlock()
	if err != nil {
		return h.at(err)
	}
	for range maxRounds {
		pleas, domains := h.due(now, look)
		if e := h.report(ctx, domains, pleas, now); e != nil {
			err = e
		}
		if len(pleas) < maxReport {
			break
		}
	}
	return err
}

// due returns pleas to homes that are not left alone, and the domains in force.
// Unknown outcomes are among them when look is set.
func (h *Holder) due(now time.Time, look bool) ([]claim.Request, []poplar.Domain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pleas := h.machine.Pleas(maxReport, func(r *claim.Record) bool {
		home := claim.Home(r.Request(), h.domains)
		return (look || r.State() != claim.Unknown) && !now.Before(h.silent[home])
	})
	return pleas, h.domains
}

// report puts pleas to their home domains. Model step: Merge.
func (h *Holder) report(ctx context.Context, domains []poplar.Domain, pleas []claim.Request, now time.Time) error {
	byHome := map[poplar.Domain][]claim.Request{}
	for _, plea := range pleas {
		home := claim.Home(plea.Request(), domains)
		byHome[home] = append(byHome[home], plea)
	}
	var failed error
	for home, part := range byHome {
		request := ledger.ClaimRequest{From: h.config.Domain, Pleas: part}
		reply, err := h.ask(ctx, home, request)
		if err != nil {
			failed = err
			h.mu.Lock()
			h.silent[home] = now.Add(pauseHome)
			h.mu.Unlock()
			continue
		}
		if err := h.takeReplies(part, reply.Replies); err != nil {
			failed = err
		}
	}
	return failed
}

// ask puts a request to a home domain, which may be this one since the list of
// domains changed.
func (h *Holder) ask(ctx context.Context, home poplar.Domain, request ledger.ClaimRequest) (ledger.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.Timeout)
	defer cancel()
	switch {
	case home == h.config.Domain:
		return h.ServeClaim(ctx, request)
	case h.config.Peers == nil:
		return ledger.ClaimReply{}, poplar.Failf(poplar.StepClaim, poplar.CodeCut, "home domain %q has no address", home)
	}
	return h.config.Peers.Claim(ctx, home, request)
}

func (h *Holder) takeReplies(pleas []claim.Request, replies []claim.Reply) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.serving(); err != nil {
		return err
	}
	now := h.config.Clock.Now()
	for i := range min(len(pleas), len(replies)) {
		if err := h.apply(h.machine.Ruled(pleas[i], replies[i], now)); err != nil {
			return err
		}
	}
	return nil
}

// RouterGone marks the open requests of a router that is gone: idempotent ones
// may be resumed elsewhere. It also tells the domains that hold requests of
// this one's routers.
func (h *Holder) RouterGone(ctx context.Context, router poplar.Daemon) error {
	err := h.gone(router)
	h.mu.Lock()
	held := map[poplar.Domain]bool{}
	for request, at := range h.remote {
		if at.router == router {
			held[at.domain] = true
			delete(h.remote, request)
		}
	}
	h.mu.Unlock()
	for domain := range held {
		if _, e := h.config.Peers.Forward(ctx, domain, Call{Gone: router}); e != nil && err == nil {
			err = e
		}
	}
	return err
}

func (h *Holder) gone(router poplar.Daemon) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.serving(); err != nil {
		return h.at(err)
	}
	return h.apply(h.machine.RouterGone(router, h.config.Clock.Now()))
}

// GiveBack returns up to amount of a budget to the log. The cumulative counter
// is in Shares once it is durable.
func (h *Holder) GiveBack(ctx context.Context, budget poplar.Budget, amount poplar.Tokens) error {
	h.mu.Lock()
	err := h.serving()
	if err == nil {
		err = h.apply(h.machine.Return(budget, amount))
	}
	done := h.queue()
	h.mu.Unlock()
	if err != nil {
		return h.at(err)
	}
	return h.await(ctx, done)
}
