package proxy

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/pace"
)

// A router keeps what upstreams ask for in their answers: to send nothing more, nothing
// for some time, or no more than a limit. It reports limits to the control daemons, which
// inform the other routers.

// paces is what the upstreams ask for. It is safe for concurrent use.
type paces struct {
	asked atomic.Bool // invariant: true if the book is not empty

	mu         sync.Mutex
	book       *pace.Book   // invariant: guarded by mu
	unreported []pace.Limit // invariant: guarded by mu
}

func newPaces() *paces { return &paces{book: pace.NewBook()} }

func (u *upstream) run() pace.Run { return pace.Run{Upstream: u.name, StartedAt: u.startTime} }

// hear takes the head of an answer to a request that was sent at the given time. It
// reports whether there is a limit to report.
func (p *paces) hear(u *upstream, head poplar.Head, sentAt, now time.Time) bool {
	a := pace.Answer{Leaving: head.Leaving, Ran: !head.NotRun, SentAt: sentAt}
	if head.Pause > 0 {
		a.RetryAt = now.Add(head.Pause)
	}
	if head.HasLimit {
		a.Rate = max(head.Limit, math.SmallestNonzeroFloat32) // a limit of 0 is one
	}
	if !p.asked.Load() && !head.Leaving && a.RetryAt.IsZero() && a.Rate == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	record, spread := p.book.Hear(u.run(), a, now)
	if spread {
		p.unreported = append(p.unreported, record)
	}
	p.asked.Store(p.book.Len() > 0)
	return spread
}

// merge takes the records of other routers and returns those that were new.
func (p *paces) merge(records []pace.Limit, now time.Time) []pace.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.book.Merge(records, now)
	p.asked.Store(p.book.Len() > 0)
	return changed
}

// allows reports whether a request may be sent to the upstream, and take counts one that
// is about to be sent.
func (p *paces) allows(u *upstream, share func(rate float64) float64, now time.Time) bool {
	if !p.asked.Load() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Allows(u.run(), share, now)
}

func (p *paces) take(u *upstream, share func(rate float64) float64, now time.Time) bool {
	if !p.asked.Load() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Take(u.run(), share, now)
}

func (p *paces) pauseEnd(u *upstream) time.Time {
	if !p.asked.Load() {
		return time.Time{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.PauseEnd(u.run())
}

// takeUnreported returns the records that are still to be reported, and clears them.
func (p *paces) takeUnreported() []pace.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := p.unreported
	p.unreported = nil
	return records
}

// limits returns all limits that upstreams have named to any router.
func (p *paces) limits() []pace.Limit {
	if !p.asked.Load() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Limits()
}

func (p *paces) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.book.Sweep(now)
	p.asked.Store(p.book.Len() > 0)
}

// hearPace takes what the head of an answer of u asks for. What another upstream at its
// address says is not about u.
func (p *Proxy) hearPace(u *upstream, head poplar.Head, sentAt, now time.Time) {
	if head.WrongUpstream || !p.paces.hear(u, head, sentAt, now) {
		return
	}
	p.log.Info("limit", "upstream", string(u.name), "limited", head.HasLimit, "rate", head.Limit)
	select {
	case p.reportWake <- struct{}{}:
	default:
	}
}

// learnLimits takes the limits that other routers have reported.
func (p *Proxy) learnLimits(records []pace.Limit) {
	for _, l := range p.paces.merge(records, time.Now()) {
		p.log.Info("limit learned", "upstream", string(l.Upstream), "limited", l.Rate > 0, "rate", l.Rate)
	}
}

// reportLimits reports limits to the control daemons.
func (p *Proxy) reportLimits(ctx context.Context) {
	records := p.paces.takeUnreported()
	if len(records) == 0 {
		return
	}
	for _, to := range p.reachableControlAddrs() {
		_, err := peer.CallWithin[[]pace.Limit, struct{}](ctx, reportTimeout, p.pool, peer.Seed(to), core.OpLimits, records)
		if err != nil && ctx.Err() == nil {
			p.log.Info("limits not reported to control daemon", "at", to, "error", err)
		}
	}
}

// pacer decides whether requests may be sent to upstreams at one moment.
type pacer struct {
	proxy   *Proxy
	routers []string
	now     time.Time
}

// pacer returns the pacer for the routers in the view. A router that has just started
// does not know all of them, and uses no part of a limit yet.
func (p *Proxy) pacer(v *view, now time.Time) pacer {
	c := pacer{proxy: p, now: now}
	if p.paces.asked.Load() && p.routersSettled(now) {
		c.routers = v.routers
	}
	return c
}

func (c pacer) allows(u *upstream) bool {
	return c.proxy.paces.allows(u, func(rate float64) float64 { return c.share(u, rate) }, c.now)
}

func (c pacer) take(u *upstream) bool {
	return c.proxy.paces.take(u, func(rate float64) float64 { return c.share(u, rate) }, c.now)
}

func (c pacer) share(u *upstream, rate float64) float64 {
	if len(c.routers) == 0 {
		return 0
	}
	return pace.Share(u.name, rate, c.routers, c.proxy.settings.Address)
}

// retryTime returns when a caller whose request no upstream of the service takes may come
// back: when the first pause ends if all upstreams pause for longer than the usual delay.
func (p *Proxy) retryTime(service poplar.Service, now time.Time) time.Time {
	usual := now.Add(retryDelay)
	var first time.Time
	for _, u := range p.view.Load().services[service] {
		if !u.acceptsWork() {
			continue
		}
		end := p.paces.pauseEnd(u)
		if end.Before(usual) {
			return usual
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	if first.IsZero() {
		return usual
	}
	return first
}
