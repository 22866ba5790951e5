package proxy

import (
	"context"
	"time"

	"poplarbend.example/poplar"
)

// A request reserves its tokens before it is sent. One that finds none in the wallet waits
// for draws and loans, and is refused as soon as these cannot help.

// reserve takes tokens for the request. When the wallet lacks tokens, it waits for a
// draw response of the log and then asks the other routers for loans, which also
// works while the log is unreachable. A request that cannot get its tokens is refused
// as soon as that is known.
func (x *exchange) reserve(tokens poplar.Tokens) *poplar.Error {
	if done, err := x.tryReserve(tokens); done {
		return err
	}
	p, w := x.p, x.workspace.Name
	release := p.wallet.Await(w, tokens)
	defer release()
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
	if done, err := x.reserveOrDivert(tokens); done {
		return err
	}
	ctx, cancel := context.WithDeadline(x.ctx, reserveBy)
	defer cancel()
	retryAt := time.Now().Add(drawPeriod)
	for end := time.Now().Add(unlockWait); ; {
		if done, err := x.reserveFromDraws(ctx, tokens, wait); done {
			return err
		}
		wait = drawWait
		ok, lendable := p.borrow(ctx, w, tokens)
		if ok {
			return nil
		}
		if p.drawsSucceed.Load() {
			if ctx.Err() != nil || p.wallet.Snapshot(w, time.Now()).Free < tokens {
				break
			}
			continue
		}
		unlockAt, known := p.wallet.EstimateReady(w, tokens, lendable, time.Now())
		if known {
			retryAt = unlockAt
		}
		if !known || unlockAt.After(end) || !sleep(ctx, max(time.Until(unlockAt), minLoanInterval)) {
			break
		}
	}
	if err := x.divertTokens(tokens); err != nil {
		return err
	}
	status := p.wallet.Snapshot(w, time.Now())
	return x.refuseTokens(tokens, poplar.Failf(poplar.StepReserve, poplar.CodeUnreachable,
		"not enough tokens: %d ready, %d locked, %d free in the log as of %s ago",
		status.Ready, status.Locked, status.Free, status.Age.Round(time.Millisecond)).
		Ran(poplar.RunNo).After(retryAt))
}

// reserveOrDivert waits for tokens only as long as a request may wait here, and then
// diverts the request if a peer router is likely to have its tokens. It reports whether
// that decides the request. The wallet must know of the request, see wallet.Await.
func (x *exchange) reserveOrDivert(tokens poplar.Tokens) (done bool, err *poplar.Error) {
	p, w := x.p, x.workspace.Name
	if p.link == nil || !x.mayDivert {
		return false, nil
	}
	now := time.Now()
	p.link.lack(w, now)
	r := x.shedRequest(now)
	patience := min(r.Patience(), reserveTimeout)
	ctx, cancel := context.WithDeadline(x.ctx, now.Add(patience))
	defer cancel()
	if done, err := x.reserveFromDraws(ctx, tokens, min(drawWait, patience/2)); done {
		return true, err
	}
	if ok, _ := p.borrow(ctx, w, tokens); ok {
		return true, nil
	}
	err = x.divertTokens(tokens)
	return err != nil, err
}

// divertTokens returns the error that diverts a request without tokens, or nil if the peer
// routers are not likely to serve it.
func (x *exchange) divertTokens(tokens poplar.Tokens) *poplar.Error {
	p, now := x.p, time.Now()
	if p.link == nil || !x.mayDivert || x.ctx.Err() != nil || !p.link.mayLend(x.shedRequest(now), x.workspace.Name, tokens, now) {
		return nil
	}
	status := p.wallet.Snapshot(x.workspace.Name, now)
	return x.diverted(reasonTokens, "%d ready, %d locked, %d free in the log as of %s ago",
		status.Ready, status.Locked, status.Free, status.Age.Round(time.Millisecond))
}

// tryReserve takes tokens from the wallet. It reports whether that decides the request:
// it has its tokens, or it is refused with the error.
func (x *exchange) tryReserve(tokens poplar.Tokens) (done bool, err *poplar.Error) {
	p, w := x.p, x.workspace.Name
	switch {
	case p.wallet.KeptFrom(w, x.route.Rank):
		return true, x.refuseTokens(tokens, keptError())
	case p.wallet.Reserve(w, tokens, time.Now()):
		return true, nil
	case x.budgetExhausted(tokens):
		return true, x.refuseTokens(tokens, nil)
	}
	return false, nil
}

// drawsAwaited is the number of draw responses after which a request no longer waits for
// tokens that the log does not have. The first draw may have been sent before the request
// asked for tokens.
const drawsAwaited = 2

// reserveFromDraws waits for draw responses, at most for the time wait, until one decides
// the request, see tryReserve. It returns false at once while the log is unreachable.
func (x *exchange) reserveFromDraws(ctx context.Context, tokens poplar.Tokens, wait time.Duration) (done bool, err *poplar.Error) {
	p := x.p
	until := time.Now().Add(wait)
	for draws := 0; p.drawsSucceed.Load() || !p.drewOnce.Load(); draws++ {
		next := p.nextDrawDone()
		if draws > 0 {
			if done, err := x.tryReserve(tokens); done {
				return true, err
			}
		}
		if draws >= drawsAwaited && p.wallet.Snapshot(x.workspace.Name, time.Now()).Free < tokens {
			break
		}
		if !p.awaitDraw(ctx, next, until) {
			break
		}
	}
	return false, nil
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
