package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/wallet"
)

// A router fills its wallet with draw requests to the log and, when these do
// not suffice, with loans from other routers.

// Timeouts and periods of draw requests and loans.
const (
	drawPeriod = 350 * time.Millisecond
	// drawPeriodPerRouter is the time between two draws of a router for each
	// router of the fleet, if it exceeds drawPeriod and no request waits for
	// tokens. It bounds the draws that the log takes from all routers.
	drawPeriodPerRouter = 3 * time.Millisecond
	// drawTimeout limits one draw request. The next one may go to another
	// control daemon.
	drawTimeout = 700 * time.Millisecond
	// minDrawInterval is the pause after each draw request.
	minDrawInterval = 60 * time.Millisecond
	// drawWait is how long a request waits for a draw response before the
	// router asks other routers, and reserveTimeout how long it waits for
	// tokens in total.
	drawWait       = 120 * time.Millisecond
	reserveTimeout = 500 * time.Millisecond
	// firstDrawWait is how long a request at a newly started router waits for
	// the first draw response. It covers a leader election of the log.
	firstDrawWait = 1200 * time.Millisecond
	// loanTimeout limits a call to another router. A router that does not
	// answer is not asked again for lenderBackoff.
	loanTimeout   = 80 * time.Millisecond
	lenderBackoff = time.Second
	// keptRetryDelay is the delay of a request that finds the last tokens of its budget
	// kept for more urgent ones. Only a higher grant or unused reservations help it.
	keptRetryDelay = 5 * time.Second
	// While the log is unreachable, locked tokens become ready over time.
	// unlockWaitShare is the share of its latency target for which a request
	// waits for them. minLoanInterval is the minimum time after which the
	// request asks the other routers again.
	unlockWaitShare = 0.6
	minLoanInterval = 100 * time.Millisecond
	// maxLenders is the number of routers that a request asks in one round. In a
	// large fleet the calls would otherwise outnumber the requests by far.
	maxLenders = 24
)

// wakeDrawLoop makes the draw loop run without waiting for its next period.
func (p *Proxy) wakeDrawLoop() {
	select {
	case p.drawWake <- struct{}{}:
	default:
	}
}

// drawLoop runs drawAndPause periodically and when it is woken.
func (p *Proxy) drawLoop() { loops.Tick(p.ctx, drawPeriod, p.drawWake, p.drawAndPause) }

// drawAndPause calls draw if there is a configuration, and then pauses for
// minDrawInterval.
func (p *Proxy) drawAndPause(ctx context.Context) {
	if v := p.view.Load(); v.table != nil {
		p.draw(v.table)
	}
	select {
	case <-ctx.Done():
	case <-time.After(minDrawInterval):
	}
}

// draw sends a draw request to a control daemon, if one is due, and applies the
// response to the wallet.
func (p *Proxy) draw(t *plan.Table) {
	now := time.Now()
	if now.Before(p.nextDraw) && !p.wallet.Waiting() {
		return
	}
	addrs := p.reachableControlAddrs()
	if len(addrs) == 0 {
		addrs = p.controlAddrs()
	}
	d, due := p.wallet.NextDraw(wallet.Grants(t.Plan()), now)
	if !due || len(addrs) == 0 {
		return
	}
	p.nextDraw = now.Add(time.Duration(len(p.view.Load().routers)) * drawPeriodPerRouter)
	to := addrs[rand.IntN(len(addrs))]
	// The leader needs no second hop. When it has just failed to answer, another
	// control daemon is asked, which may know of a new leader.
	if leader := p.leaderAddr(); leader != "" && p.drawsSucceed.Load() {
		to = leader
	}
	p.metrics.draws.Add(1)
	resp, err := p.sendDraw(p.ctx, to, d)
	if err != nil {
		p.metrics.drawsFailed.Add(1)
		if p.drawsSucceed.Swap(false) {
			p.log.Warn("draws fail", "at", to, "error", err)
		}
		return
	}
	p.drewOnce.Store(true)
	if !p.drawsSucceed.Swap(true) {
		p.log.Info("draws succeed", "at", to)
	}
	p.wallet.ApplyDraw(d, resp, time.Now())
	for name, l := range resp.Lost {
		p.log.Warn("tokens written off", "workspace", string(name), "tokens", int64(l.Tokens), "held", int64(l.Held),
			"open", int64(l.Open), "reserve", int64(l.Reserve), "after_ms", l.UnlockedMillis, "life", d.Holder.Incarnation)
	}
	for name, s := range resp.Statuses {
		p.log.Debug("draw", "workspace", string(name), "issued", int64(s.Issued), "free", int64(s.Free),
			"spent", int64(s.Spent), "remains", int64(s.Remaining), "grant", int64(s.Grant), "left", int64(p.wallet.Snapshot(name, time.Now()).Ready))
	}
	p.drawMu.Lock()
	defer p.drawMu.Unlock()
	close(p.drawDone)
	p.drawDone = make(chan struct{})
}

// sendDraw sends a draw request to a control daemon.
func (p *Proxy) sendDraw(ctx context.Context, to string, d wallet.DrawRequest) (wallet.DrawResponse, error) {
	return peer.CallWithin[wallet.DrawRequest, wallet.DrawResponse](ctx, drawTimeout, p.pool, peer.Seed(to), core.OpDraw, d)
}

// returnTokens returns all unused tokens to the log or, when the log is
// unreachable, hands them off to another router. It never tries both, because a
// call may have succeeded although its response was lost.
func (p *Proxy) returnTokens(ctx context.Context) {
	if !p.drawsSucceed.Load() {
		p.handOff(ctx)
		return
	}
	d := p.wallet.Close(time.Now())
	for _, to := range append(p.reachableControlAddrs(), p.controlAddrs()...) {
		if _, err := p.sendDraw(ctx, to, d); err == nil {
			p.log.Info("tokens given back", "at", to)
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	p.log.Warn("tokens not returned to the log; they are lost when this router stops")
}

// handOff sends the tokens to another router. After a call without a response
// the tokens may have arrived, so no other router is tried.
func (p *Proxy) handOff(ctx context.Context) {
	h := p.wallet.HandOff(time.Now())
	for _, to := range p.view.Load().routers {
		if to == p.settings.Address {
			continue
		}
		_, err := peer.CallWithin[wallet.HandOff, struct{}](ctx, loanTimeout, p.pool, peer.Seed(to), core.OpHandOff, h)
		var e *poplar.Error
		if errors.As(err, &e) && e.Run() == poplar.RunNo {
			continue // the call was not sent
		}
		p.log.Info("tokens handed over", "to", to, "error", err)
		return
	}
	p.log.Warn("tokens not handed off to another router; they are lost when this router stops")
}

func (p *Proxy) nextDrawDone() <-chan struct{} {
	p.drawMu.Lock()
	defer p.drawMu.Unlock()
	return p.drawDone
}

// reserve takes tokens for the request. When the wallet lacks tokens, it waits for a
// draw response of the log and then asks the other routers for loans, which also
// works while the log is unreachable. A request that cannot get its tokens is refused
// as soon as that is known.
func (x *exchange) reserve(tokens poplar.Tokens) *poplar.Error {
	p, w := x.p, x.workspace.Name
	if p.wallet.KeptFrom(w, x.route.Rank) {
		return x.refuseTokens(tokens, keptError())
	}
	if p.wallet.Reserve(w, tokens, time.Now()) {
		return nil
	}
	if x.budgetExhausted(tokens) {
		return x.refuseTokens(tokens, nil)
	}
	wait, timeout := drawWait, reserveTimeout
	if !p.drewOnce.Load() {
		// The router has just started: unless the log is unreachable, the
		// tokens are about to arrive.
		wait, timeout = firstDrawWait, firstDrawWait+reserveTimeout
	}
	unlockWait := time.Duration(unlockWaitShare * float64(x.route.FirstByteTarget))
	reserveBy := time.Now().Add(max(timeout, unlockWait))
	if reserveBy.After(x.deadline) {
		reserveBy = x.deadline
	}
	ctx, cancel := context.WithDeadline(x.ctx, reserveBy)
	defer cancel()
	if p.drawsSucceed.Load() || !p.drewOnce.Load() {
		p.awaitDraw(ctx, wait)
		// A router that has just started learns only now what is kept.
		if p.wallet.KeptFrom(w, x.route.Rank) {
			return x.refuseTokens(tokens, keptError())
		}
		if p.wallet.Reserve(w, tokens, time.Now()) {
			return nil
		}
		if x.budgetExhausted(tokens) {
			return x.refuseTokens(tokens, nil)
		}
	}
	retryAt := time.Now().Add(drawPeriod)
	for end := time.Now().Add(unlockWait); ; {
		ok, lendable := p.borrow(ctx, w, tokens)
		if ok {
			return nil
		}
		if p.drawsSucceed.Load() {
			break
		}
		unlockAt, known := p.wallet.EstimateReady(w, tokens, lendable, time.Now())
		if known {
			retryAt = unlockAt
		}
		if !known || unlockAt.After(end) || !sleep(ctx, max(time.Until(unlockAt), minLoanInterval)) {
			break
		}
	}
	status := p.wallet.Snapshot(w, time.Now())
	return x.refuseTokens(tokens, poplar.Failf(poplar.StepReserve, poplar.CodeUnreachable,
		"not enough tokens: %d ready, %d locked, %d free in the log as of %s ago",
		status.Ready, status.Locked, status.Free, status.Age.Round(time.Millisecond)).
		Ran(poplar.RunNo).After(retryAt))
}

// refuseTokens returns the error for a request without tokens: that the budget is
// exhausted, if it is, and else the given one.
func (x *exchange) refuseTokens(tokens poplar.Tokens, temporary *poplar.Error) *poplar.Error {
	x.p.metrics.tokenRefusals.Add(1)
	if temporary != nil && !x.budgetExhausted(tokens) {
		return temporary
	}
	status := x.p.wallet.Snapshot(x.workspace.Name, time.Now())
	return poplar.Failf(poplar.StepReserve, poplar.CodeBudget,
		"budget cannot cover %d tokens: of %d granted, %d were spent and %d lost with stopped routers as of %s ago",
		tokens, status.Grant, status.Spent, status.WrittenOff, status.Age.Round(time.Millisecond)).Ran(poplar.RunNo)
}

// keptError refuses a request that must leave the last tokens of its budget to more
// urgent ones.
func keptError() *poplar.Error {
	return poplar.Failf(poplar.StepReserve, poplar.CodeBusy, "the last tokens of the budget are kept for more urgent requests").
		Ran(poplar.RunNo).After(time.Now().Add(keptRetryDelay))
}

// sleep waits and reports whether ctx is still active.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitDraw waits for the next draw response, at most for the time wait.
func (p *Proxy) awaitDraw(ctx context.Context, wait time.Duration) {
	next := p.nextDrawDone()
	p.wakeDrawLoop()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// borrow asks other routers in random order, at most maxLenders of them, until the
// tokens can be reserved. If they cannot, lendable is the sum of the tokens that
// these routers may be able to lend in the next second.
func (p *Proxy) borrow(ctx context.Context, w poplar.Workspace, tokens poplar.Tokens) (ok bool, lendable poplar.Tokens) {
	routers := p.view.Load().routers
	asked := 0
	for _, i := range rand.Perm(len(routers)) {
		if routers[i] == p.settings.Address {
			continue
		}
		if ctx.Err() != nil || asked >= maxLenders {
			break
		}
		asked++
		lendable += p.borrowFrom(ctx, routers[i], w, tokens)
		if p.wallet.Reserve(w, tokens, time.Now()) {
			return true, 0
		}
	}
	return p.wallet.Reserve(w, tokens, time.Now()), lendable
}

// borrowFrom asks one router for a loan and returns the tokens that it may be
// able to lend in the next second.
func (p *Proxy) borrowFrom(ctx context.Context, address string, w poplar.Workspace, tokens poplar.Tokens) poplar.Tokens {
	p.lenderMu.Lock()
	from := p.lenders[address]
	p.lenderMu.Unlock()
	now := time.Now()
	req, lacks := p.wallet.NextLoan(w, from.holder, tokens, now)
	if !lacks || now.Before(from.notBefore) {
		return 0
	}
	p.metrics.loans.Add(1)
	resp, err := peer.CallWithin[wallet.LoanRequest, wallet.LoanResponse](ctx, loanTimeout, p.pool, peer.Seed(address), core.OpLend, req)
	if err != nil {
		p.metrics.loansFailed.Add(1)
		p.log.Debug("loan request failed; router not asked again until back-off ends", "at", address, "error", err)
		p.setLender(address, lender{holder: from.holder, notBefore: time.Now().Add(lenderBackoff)})
		return 0
	}
	if resp.Lender != from.holder {
		// This incarnation of the router has not lent before: the sum of its
		// loans starts from zero.
		p.setLender(address, lender{holder: resp.Lender})
	}
	p.wallet.ApplyLoan(w, resp)
	p.log.Debug("loan", "at", address, "workspace", string(w), "had", int64(req.Received), "sum", int64(resp.Total))
	return resp.ReadySoon
}

// lender is the state of a router that is asked for loans.
type lender struct {
	holder    wallet.Holder // incarnation of the router that answered last
	notBefore time.Time     // invariant: no loan request is sent before this time
}

func (p *Proxy) setLender(address string, l lender) {
	p.lenderMu.Lock()
	defer p.lenderMu.Unlock()
	p.lenders[address] = l
}
