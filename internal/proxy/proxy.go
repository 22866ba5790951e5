// Package proxy is a router without a disk: it takes callers' requests, finds
// route and workspace in the configuration in force, reserves tokens in its
// wallet, chooses an upstream, and returns the answer as it comes.
//
// All it knows it learns from the control daemons. Cut off from them it goes on
// with what it has: the last configuration, the upstreams last heard of, and the
// tokens in its wallet.
package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conns"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/place"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/purse"
	"poplarbend.example/poplar/pkg/retry"
	"poplarbend.example/poplar/pkg/roster"
)

// This file holds the router: its parts, its start and its stop.

// Times of a router's knowledge.
const (
	// freshTime is how long after the last answer of a control daemon a router
	// says "unknown" of a key or route; later it only says "not now".
	freshTime = 3 * time.Second
	// idlePeriod is the time between two looks whether requests are open.
	idlePeriod = 20 * time.Millisecond
	// sweepPeriod is the time between two looks at idle connections and suspects.
	sweepPeriod = time.Second
)

// Repeats bounds the repeats that the fleet sends to one service.
type Repeats struct {
	Ratio float64       // of the requests
	Slack float64       // repeats beyond the ratio, of the whole fleet
	Span  time.Duration // length of the window
}

// Settings are what a router starts from.
type Settings struct {
	Domain  poplar.Domain
	Address string // of the listener for peers
	Holder  purse.Holder
	Seeds   []string // peer addresses of control daemons
	Repeats Repeats
	// Read turns an operator's document into a plan.
	Read    func(document []byte) (*plan.Plan, error)
	Dialect poplar.Dialect
	Log     *log.Logger
	Vars    *trace.Vars
}

// Proxy is a router. It is safe for concurrent use.
type Proxy struct {
	settings Settings
	log      *log.Logger
	pool     *peer.Pool
	conns    *conns.Pool
	model    place.Model
	wallet   *purse.Wallet
	meters   meters
	suspects *suspects

	view   atomic.Pointer[view]
	viewMu sync.Mutex // invariant: held by the one that replaces view
	heard  atomic.Pointer[time.Time]
	drains atomic.Bool
	open   atomic.Int64 // requests of callers that are being served

	tellKick chan struct{}
	drawKick chan struct{}
	drawGood atomic.Bool // true while the last draw was answered
	everDrew atomic.Bool // true once a draw was answered
	drawMu   sync.Mutex
	drawn    chan struct{} // invariant: guarded by drawMu; closed at the next answer

	lenderMu sync.Mutex
	lenders  map[string]lender // invariant: guarded by lenderMu; by peer address

	routerMu  sync.Mutex
	routers   map[string]time.Time // invariant: guarded by routerMu; when each router was last named
	slackFrom time.Time            // invariant: guarded by routerMu; set with the first router

	repeatMu sync.Mutex
	repeats  map[poplar.Service]*retry.Window // invariant: guarded by repeatMu

	union    *roster.Union // invariant: guarded by sourceMu
	sources  map[string]*source
	sourceMu sync.Mutex
	ctx      context.Context
	stop     context.CancelFunc
	done     sync.WaitGroup
}

// New returns a router that is not started.
func New(s Settings, pool *peer.Pool) *Proxy {
	p := &Proxy{
		settings: s,
		log:      s.Log,
		pool:     pool,
		conns:    conns.NewPool(),
		model:    place.DefaultModel(),
		wallet:   purse.NewWallet(s.Holder, purse.DefaultPolicy(), time.Now()),
		meters:   newMeters(s.Vars),
		suspects: newSuspects(),
		tellKick: make(chan struct{}, 1),
		drawKick: make(chan struct{}, 1),
		drawn:    make(chan struct{}),
		repeats:  map[poplar.Service]*retry.Window{},
		lenders:  map[string]lender{},
		routers:  map[string]time.Time{},
		union:    roster.NewUnion(),
		sources:  map[string]*source{},
	}
	p.view.Store(&view{})
	s.Vars.Func("belief", func() any { return p.belief() })
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// Start runs the loops of the router.
func (p *Proxy) Start() {
	p.Seeds(p.settings.Seeds)
	p.start(p.drawLoop)
	p.start(p.sweepLoop)
	p.start(p.tellLoop)
}

func (p *Proxy) start(loop func()) {
	p.done.Add(1)
	go p.run(loop)
}

func (p *Proxy) run(loop func()) {
	defer p.done.Done()
	loop()
}

// Stop ends the loops.
func (p *Proxy) Stop() {
	p.stop()
	p.done.Wait()
}

// Leave gives the tokens back after a planned stop, and ends the loops.
func (p *Proxy) Leave(ctx context.Context) {
	p.Stop()
	p.giveBack(ctx)
}

// Methods returns what the router serves to its peers.
func (p *Proxy) Methods() peer.Methods {
	var m peer.Methods
	m[core.OpLend] = peer.Handle(func(_ context.Context, _ poplar.Daemon, l purse.Loan) (purse.Lent, error) {
		return p.wallet.Lend(l, time.Now()), nil
	})
	m[core.OpGive] = peer.Handle(func(_ context.Context, _ poplar.Daemon, g purse.Gift) (struct{}, error) {
		p.wallet.Receive(g)
		p.log.Info("tokens received", "from", string(g.Giver.Name), "workspaces", len(g.Tokens))
		return struct{}{}, nil
	})
	return m
}

// Drain makes the router not ready; it goes on serving.
func (p *Proxy) Drain() { p.drains.Store(true) }

// Ready reports whether callers should be sent here.
func (p *Proxy) Ready() bool {
	v := p.view.Load()
	return !p.drains.Load() && v.table != nil && len(v.services) > 0
}

// Idle waits until no request is being served, until ctx ends.
func (p *Proxy) Idle(ctx context.Context) {
	tick := time.NewTicker(idlePeriod)
	defer tick.Stop()
	for p.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// ServeReady answers the question whether callers should be sent here.
func (p *Proxy) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !p.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweepLoop closes idle connections and forgets old suspects.
func (p *Proxy) sweepLoop() { loops.Tick(p.ctx, sweepPeriod, nil, p.sweep) }

// sweep closes idle connections that are old, or lead to upstreams that take no
// new work, and forgets old suspects.
func (p *Proxy) sweep(context.Context) {
	p.suspects.sweep(time.Now())
	known := map[string]bool{}
	for _, group := range p.view.Load().services {
		for _, u := range group {
			known[u.address] = u.open()
		}
	}
	p.conns.Sweep(func(address string) bool { return known[address] })
}

// window returns the repeats of a service. The caller holds repeatMu.
func (p *Proxy) window(service poplar.Service) *retry.Window {
	w := p.repeats[service]
	if w == nil {
		w = retry.NewWindow(p.settings.Repeats.Span)
		p.repeats[service] = w
	}
	return w
}

// count counts a caller's request.
func (p *Proxy) count(service poplar.Service, now time.Time) {
	p.repeatMu.Lock()
	defer p.repeatMu.Unlock()
	p.window(service).Request(now)
}

// repeatPart is the part of the fleet's bound that routers use; the rest covers
// the granularity of their windows and routers that were just added.
const repeatPart = 0.8

// settleRouters is the time after the first word of a control daemon in which the
// number of routers may still be too low to divide the slack by.
const settleRouters = 4 * time.Second

// slack returns this router's part of the fleet's slack.
func (p *Proxy) slack(now time.Time) float64 {
	p.routerMu.Lock()
	defer p.routerMu.Unlock()
	if len(p.routers) == 0 || now.Before(p.slackFrom) {
		return 0
	}
	return repeatPart * p.settings.Repeats.Slack / float64(len(p.routers))
}

// repeat takes a repeat of the service's allowance.
func (p *Proxy) repeat(service poplar.Service, now time.Time) bool {
	slack := p.slack(now)
	p.repeatMu.Lock()
	defer p.repeatMu.Unlock()
	ok := p.window(service).Take(repeatPart*p.settings.Repeats.Ratio, slack, now)
	if !ok {
		p.meters.repeatsRefused.Add(1)
	}
	return ok
}
