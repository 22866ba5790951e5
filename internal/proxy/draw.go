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
	// drawTimeout is the time after which another draw request is made, perhaps to
	// another control daemon. A response is used until lateDrawTimeout.
	drawTimeout     = 700 * time.Millisecond
	lateDrawTimeout = 3 * time.Second
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
	// keptRetryDelay is the delay of a request that finds the last tokens of its budget
	// kept for more urgent ones. Only a higher grant or unused reservations help it.
	keptRetryDelay = 5 * time.Second
	// While the log is unreachable, locked tokens become ready over time.
	// unlockWaitShare is the share of its latency target for which a request
	// waits for them. minLoanInterval is the minimum time after which the
	// request takes part in another round of loans.
	unlockWaitShare = 0.6
	minLoanInterval = 100 * time.Millisecond
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
	if p.controlRegained.Swap(false) {
		p.drawTimes.regained(now, len(p.view.Load().routers))
	}
	if !p.drawTimes.due(now, p.wallet.Waiting()) {
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
	p.drawTimes.made(now, len(p.view.Load().routers))
	to := addrs[rand.IntN(len(addrs))]
	// The leader needs no second hop. When it has just failed to answer, another
	// control daemon is asked, which may know of a new leader.
	if leader := p.leaderAddr(); leader != "" && p.drawsSucceed.Load() {
		to = leader
	}
	p.metrics.draws.Add(1)
	c := &drawCall{proxy: p, to: to, request: d, done: make(chan struct{})}
	p.start(c.run)
	timer := time.NewTimer(drawTimeout)
	defer timer.Stop()
	select {
	case <-c.done:
		if c.err != nil {
			p.drawFailed(to, c.err)
			break
		}
		p.drawTimes.answered(time.Now())
	case <-timer.C:
		p.drawFailed(to, errDrawSlow)
	}
}

var errDrawSlow = errors.New("no response yet")

func (p *Proxy) drawFailed(to string, err error) {
	p.metrics.drawsFailed.Add(1)
	if p.drawsSucceed.Swap(false) {
		p.log.Warn("draws fail", "at", to, "error", err)
	}
}

// drawCall is one draw request.
type drawCall struct {
	proxy   *Proxy
	to      string
	request wallet.DrawRequest
	done    chan struct{} // invariant: closed when the call has ended
	err     error         // invariant: set before done is closed
}

// run makes the call and applies its response. That may be late: without the tokens of
// late responses a router that is overloaded would refuse requests, whose callers return
// and keep it overloaded.
func (c *drawCall) run() {
	defer close(c.done)
	p := c.proxy
	resp, err := p.sendDraw(p.ctx, c.to, c.request)
	if err != nil {
		c.err = err
		return
	}
	p.drewOnce.Store(true)
	if !p.drawsSucceed.Swap(true) {
		p.log.Info("draws succeed", "at", c.to)
	}
	p.wallet.ApplyDraw(c.request, resp, time.Now())
	for name, l := range resp.Lost {
		p.log.Warn("tokens written off", "workspace", string(name), "tokens", int64(l.Tokens), "held", int64(l.Held),
			"open", int64(l.Open), "reserve", int64(l.Reserve), "after_ms", l.UnlockedMillis, "life", c.request.Holder.Incarnation)
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
	return peer.CallWithin[wallet.DrawRequest, wallet.DrawResponse](ctx, lateDrawTimeout, p.pool, peer.Seed(to), core.OpDraw, d)
}

// sendFinalDraw is sendDraw for a router that stops, which asks the next control daemon
// after drawTimeout.
func (p *Proxy) sendFinalDraw(ctx context.Context, to string, d wallet.DrawRequest) (wallet.DrawResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	return p.sendDraw(ctx, to, d)
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
		if _, err := p.sendFinalDraw(ctx, to, d); err == nil {
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

// awaitDraw waits for the draw response that closes next. It returns false if there is
// none by the given time.
func (p *Proxy) awaitDraw(ctx context.Context, next <-chan struct{}, until time.Time) bool {
	p.wakeDrawLoop()
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-next:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
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
