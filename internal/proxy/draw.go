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
	"poplarbend.example/poplar/pkg/purse"
)

// This file holds how a router fills its wallet.

// Times of draws.
const (
	drawPeriod = 350 * time.Millisecond
	// drawLimit bounds one call; the next goes to another control daemon.
	drawLimit = 700 * time.Millisecond
	// drawGap is the least time between two draws.
	drawGap = 60 * time.Millisecond
	// drawWait is how long a request waits for the log before other routers are
	// asked, reserveLimit how long it waits for tokens in all.
	drawWait     = 120 * time.Millisecond
	reserveLimit = 500 * time.Millisecond
	// firstWait is how long a request waits for the first answer of the log to a
	// new router. It covers an election of the log.
	firstWait = 1200 * time.Millisecond
	// loanLimit bounds the call to another router. One that does not answer is not
	// asked again for loanPause.
	loanLimit = 80 * time.Millisecond
	loanPause = time.Second
	// tokenPart is the part of the aim that a request waits for tokens that become
	// ready with time while the log is out of reach, and loanRound the least time
	// after which the other routers are asked again.
	tokenPart = 0.6
	loanRound = 100 * time.Millisecond
)

// kickDraw asks for a draw soon.
func (p *Proxy) kickDraw() {
	select {
	case p.drawKick <- struct{}{}:
	default:
	}
}

// drawLoop reports to the log and asks for tokens.
func (p *Proxy) drawLoop() { loops.Tick(p.ctx, drawPeriod, p.drawKick, p.drawOnce) }

// drawOnce makes a draw where one is due, and pauses.
func (p *Proxy) drawOnce(ctx context.Context) {
	if v := p.view.Load(); v.table != nil {
		p.draw(v.table)
	}
	select {
	case <-ctx.Done():
	case <-time.After(drawGap):
	}
}

func (p *Proxy) draw(t *plan.Table) {
	now := time.Now()
	list := p.answering()
	if len(list) == 0 {
		list = p.asked()
	}
	d, due := p.wallet.Draw(purse.Grants(t.Plan()), now)
	if !due || len(list) == 0 {
		return
	}
	to := list[rand.IntN(len(list))]
	p.meters.draws.Add(1)
	answer, err := p.callDraw(p.ctx, to, d)
	if err != nil {
		p.meters.drawsFailed.Add(1)
		if p.drawGood.Swap(false) {
			p.log.Warn("draws fail", "at", to, "error", err)
		}
		return
	}
	p.everDrew.Store(true)
	if !p.drawGood.Swap(true) {
		p.log.Info("draws succeed", "at", to)
	}
	p.wallet.Apply(d, answer, time.Now())
	for name, l := range answer.Lost {
		p.log.Warn("tokens written off", "workspace", string(name), "tokens", int64(l.Tokens), "held", int64(l.Held),
			"open", int64(l.Open), "reserve", int64(l.Reserve), "after_ms", l.After, "life", d.Holder.Life)
	}
	for name, s := range answer.Stands {
		p.log.Debug("draw", "workspace", string(name), "issued", int64(s.Issued), "free", int64(s.Free),
			"spent", int64(s.Spent), "remains", int64(s.Left), "grant", int64(s.Grant), "left", int64(p.wallet.Look(name, time.Now()).Ready))
	}
	p.drawMu.Lock()
	defer p.drawMu.Unlock()
	close(p.drawn)
	p.drawn = make(chan struct{})
}

// callDraw makes a draw at a control daemon.
func (p *Proxy) callDraw(ctx context.Context, to string, d purse.Draw) (purse.Drawn, error) {
	return peer.CallWithin[purse.Draw, purse.Drawn](ctx, drawLimit, p.pool, peer.Seed(to), core.OpDraw, d)
}

// giveBack returns all tokens to the log or, when the log is out of reach, hands
// them to another router. It tries one of the two only: an answer may be lost.
func (p *Proxy) giveBack(ctx context.Context) {
	if !p.drawGood.Load() {
		p.handOver(ctx)
		return
	}
	d := p.wallet.Close(time.Now())
	for _, to := range append(p.answering(), p.asked()...) {
		if _, err := p.callDraw(ctx, to, d); err == nil {
			p.log.Info("tokens given back", "at", to)
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	p.log.Warn("tokens not given back; they are lost with this life")
}

// handOver gives the tokens to another router. After a call without an answer
// they may have arrived, so that no other router is tried.
func (p *Proxy) handOver(ctx context.Context) {
	g := p.wallet.Give(time.Now())
	for _, to := range p.view.Load().routers {
		if to == p.settings.Address {
			continue
		}
		_, err := peer.CallWithin[purse.Gift, struct{}](ctx, loanLimit, p.pool, peer.Seed(to), core.OpGive, g)
		var e *poplar.Error
		if errors.As(err, &e) && e.Run() == poplar.RunNo {
			continue // nothing was sent
		}
		p.log.Info("tokens handed over", "to", to, "error", err)
		return
	}
	p.log.Warn("tokens not handed over; they are lost with this life")
}

func (p *Proxy) nextDraw() <-chan struct{} {
	p.drawMu.Lock()
	defer p.drawMu.Unlock()
	return p.drawn
}

// reserve takes tokens for a request that should be answered in the time of aim.
// When the wallet lacks them it asks the log and then, which helps also while the
// log is out of reach, the other routers.
func (p *Proxy) reserve(
	ctx context.Context, w poplar.Workspace, tokens poplar.Tokens, aim time.Duration, until time.Time,
) *poplar.Error {
	if p.wallet.Reserve(w, tokens, time.Now()) {
		return nil
	}
	wait, most := drawWait, reserveLimit
	if !p.everDrew.Load() {
		// The wallet is new: what it lacks is on its way, unless the log is out
		// of reach.
		wait, most = firstWait, firstWait+reserveLimit
	}
	patience := time.Duration(tokenPart * float64(aim))
	limit := time.Now().Add(max(most, patience))
	if limit.After(until) {
		limit = until
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	if (p.drawGood.Load() || !p.everDrew.Load()) && p.awaitDraw(ctx, w, tokens, wait) {
		return nil
	}
	back := time.Now().Add(drawPeriod)
	for end := time.Now().Add(patience); ; {
		ok, soon := p.borrow(ctx, w, tokens)
		if ok {
			return nil
		}
		if p.drawGood.Load() {
			break
		}
		ripe, known := p.wallet.Ripe(w, tokens, soon, time.Now())
		if known {
			back = ripe
		}
		if !known || ripe.After(end) || !pause(ctx, max(time.Until(ripe), loanRound)) {
			break
		}
	}
	had := p.wallet.Look(w, time.Now())
	return poplar.Failf(poplar.StepReserve, poplar.CodeCut, "no tokens are at hand: %d ready, %d locked, %d free in the log %s ago",
		had.Ready, had.Locked, had.Free, had.Age.Round(time.Millisecond)).
		Ran(poplar.RunNo).After(back)
}

// pause waits and reports whether ctx has not ended.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitDraw waits for the next answer of the log and reserves then.
func (p *Proxy) awaitDraw(ctx context.Context, w poplar.Workspace, tokens poplar.Tokens, wait time.Duration) bool {
	next := p.nextDraw()
	p.kickDraw()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.wallet.Reserve(w, tokens, time.Now())
}

// borrow asks other routers until the tokens are there. It returns what those that
// answered may have to lend in the next second.
func (p *Proxy) borrow(ctx context.Context, w poplar.Workspace, tokens poplar.Tokens) (ok bool, soon poplar.Tokens) {
	routers := p.view.Load().routers
	for _, i := range rand.Perm(len(routers)) {
		if routers[i] == p.settings.Address {
			continue
		}
		if ctx.Err() != nil {
			break
		}
		soon += p.borrowFrom(ctx, routers[i], w, tokens)
		if p.wallet.Reserve(w, tokens, time.Now()) {
			return true, 0
		}
	}
	return p.wallet.Reserve(w, tokens, time.Now()), soon
}

// borrowFrom asks one router and returns what it may have to lend in the next
// second.
func (p *Proxy) borrowFrom(ctx context.Context, address string, w poplar.Workspace, tokens poplar.Tokens) poplar.Tokens {
	p.lenderMu.Lock()
	from := p.lenders[address]
	p.lenderMu.Unlock()
	now := time.Now()
	loan, lacks := p.wallet.Borrow(w, from.life, tokens, now)
	if !lacks || now.Before(from.silent) {
		return 0
	}
	lent, err := peer.CallWithin[purse.Loan, purse.Lent](ctx, loanLimit, p.pool, peer.Seed(address), core.OpLend, loan)
	if err != nil {
		p.log.Debug("no loan", "at", address, "error", err)
		p.setLender(address, lender{life: from.life, silent: time.Now().Add(loanPause)})
		return 0
	}
	if lent.Lender != from.life {
		// Another life of the router: what it lends is counted from its start.
		p.setLender(address, lender{life: lent.Lender})
	}
	p.wallet.Borrowed(w, lent)
	p.log.Debug("loan", "at", address, "workspace", string(w), "had", int64(loan.Had), "sum", int64(lent.Sum))
	return lent.Soon
}

// lender is what is known of a router that lends.
type lender struct {
	life   purse.Holder
	silent time.Time // invariant: not asked before it
}

func (p *Proxy) setLender(address string, l lender) {
	p.lenderMu.Lock()
	defer p.lenderMu.Unlock()
	p.lenders[address] = l
}
