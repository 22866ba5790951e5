// Package proxy implements a router without persistent storage. It accepts
// callers' requests, finds their route and workspace in the current
// configuration, reserves tokens in its wallet, chooses an upstream, and
// streams the response back.
//
// The router learns its whole state from the control daemons. They keep the
// configurations and the token budgets in a replicated log, called the log. When
// a router cannot reach them, it continues with the last configuration, the last
// known upstreams, and the tokens in its wallet.
package proxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
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
	"poplarbend.example/poplar/pkg/memory"
	"poplarbend.example/poplar/pkg/place"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/retry"
	"poplarbend.example/poplar/pkg/roster"
	"poplarbend.example/poplar/pkg/wallet"
)

// Timeouts and periods of the router.
const (
	// maxStaleness is how long after the last response of a control daemon that
	// follows the log the router reports a key or route as unknown. After that
	// its configuration may be stale, and it answers that the request cannot be
	// served now.
	maxStaleness = 3 * time.Second
	// idlePollPeriod is the interval at which WaitIdle checks for open requests.
	idlePollPeriod = 20 * time.Millisecond
	// sweepPeriod is the interval between two sweeps of idle connections and
	// suspects.
	sweepPeriod = time.Second
)

// Memory of answers and bodies where the settings name none, in bytes.
const (
	defaultAnswerMemory = 64 << 20
	defaultBodyMemory   = 64 << 20
)

// RetryBudget limits the retries that the fleet sends to one service.
type RetryBudget struct {
	Ratio  float64       // retries per request
	Slack  float64       // retries allowed beyond the ratio, for the whole fleet
	Window time.Duration // length of the sliding window
}

// Settings configure a router.
type Settings struct {
	Domain      poplar.Domain
	Address     string        // address at which peers reach this router
	Holder      wallet.Holder // incarnation of this router
	Seeds       []string      // peer addresses of control daemons
	RetryBudget RetryBudget
	// EventLag is the time within which an event of a stream should reach its caller, 0
	// if each must be forwarded as it arrives.
	EventLag time.Duration
	// Share is the processor time of the router, in cores. Events are held only while
	// much of it is used.
	Share float64
	// Link is the speed of the router's own link in Mbit/s, or 0 if it is not known.
	Link float64
	// MaxCallers is the number of connections of callers beyond which the router closes
	// those that it has answered, 0 for any number.
	MaxCallers int
	// AnswerMemory is the most memory of answers of upstreams that are not delivered yet, in
	// bytes, or 0 for defaultAnswerMemory.
	AnswerMemory int64
	// BodyMemory is the same for bodies of callers' requests in progress.
	BodyMemory int64
	// ParsePlan parses a configuration document.
	ParsePlan func(document []byte) (*plan.Plan, error)
	Dialect   poplar.Dialect
	Log       *log.Logger
	Vars      *trace.Vars
}

// Proxy is a router. It is safe for concurrent use.
type Proxy struct {
	settings Settings
	log      *log.Logger
	pool     *peer.Pool
	conns    *conns.Pool
	answers  *memory.Limit // by address of the upstream
	bodies   *memory.Limit // by workspace
	model    place.CostModel
	wallet   *wallet.Wallet
	metrics  metrics
	suspects *suspects
	paces    *paces
	batches  batchTimer
	cpu      *cpuMeter
	dials    dialTimes
	link     *link // invariant: nil if the speed of the link is not known
	gates    gates
	facts    facts

	view         atomic.Pointer[view]
	viewMu       sync.Mutex                // invariant: held while view is replaced
	lastContact  atomic.Pointer[time.Time] // last response of a control daemon that follows the log
	draining     atomic.Bool
	openRequests atomic.Int64 // callers' requests in progress
	callers      atomic.Int64 // connections of callers

	reportWake      chan struct{}
	drawWake        chan struct{}
	drawTimes       drawTimes   // invariant: used only by drawLoop
	controlRegained atomic.Bool // true once a control daemon answers again, until drawLoop takes notice
	drawsSucceed    atomic.Bool // true if the last draw request was answered
	drewOnce        atomic.Bool // true once a draw request was answered
	drawMu          sync.Mutex
	drawDone        chan struct{} // invariant: guarded by drawMu; closed at the next draw response
	shortages       shortageLog   // invariant: used only by sweepLoop
	loggedOverload  bool          // invariant: used only by sweepLoop; true if the log says that the router is overloaded

	lenderMu   sync.Mutex
	lenders    map[string]lender               // invariant: guarded by lenderMu; keyed by peer address
	loanRounds map[poplar.Workspace]*loanRound // invariant: guarded by lenderMu; the rounds in progress

	routerMu   sync.Mutex
	routers    map[string]time.Time // invariant: guarded by routerMu; time at which a control daemon last listed each router
	slackStart time.Time            // invariant: guarded by routerMu; set when the first router is listed; no slack is used before this time

	retryMu      sync.Mutex
	retryWindows map[poplar.Service]*retry.Window // invariant: guarded by retryMu

	union *roster.Union // invariant: guarded by watcherMu; merged rosters of the control daemons
	// sweepUnionAt is the time of the next sweep of union.
	sweepUnionAt time.Time           // invariant: guarded by watcherMu
	watchers     map[string]*watcher // invariant: guarded by watcherMu; keyed by peer address
	watcherMu    sync.Mutex
	confirmer    *confirmer    // invariant: guarded by watcherMu
	confirmed    atomic.Bool   // true once the configuration in use, or that there is none, was confirmed; see confirmer
	fetchTurn    chan struct{} // invariant: holds one value while a watcher fetches a configuration
	ctx          context.Context
	stop         context.CancelFunc
	done         sync.WaitGroup
}

// New returns a router that is not started.
func New(s Settings, pool *peer.Pool) *Proxy {
	answers := memory.NewLimit(cmp.Or(s.AnswerMemory, defaultAnswerMemory))
	p := &Proxy{
		settings:     s,
		log:          s.Log,
		pool:         pool,
		conns:        conns.NewPool(answers),
		answers:      answers,
		bodies:       memory.NewLimit(cmp.Or(s.BodyMemory, defaultBodyMemory)),
		model:        place.DefaultCostModel(),
		wallet:       wallet.NewWallet(s.Holder, wallet.DefaultPolicy(), time.Now()),
		metrics:      newMetrics(s.Vars),
		suspects:     newSuspects(rand.Float64()),
		paces:        newPaces(),
		gates:        gates{byService: map[poplar.Service]*gate{}},
		cpu:          newCPUMeter(s.Share, time.Now()),
		link:         newLink(s.Link, s.Domain),
		reportWake:   make(chan struct{}, 1),
		drawWake:     make(chan struct{}, 1),
		drawDone:     make(chan struct{}),
		retryWindows: map[poplar.Service]*retry.Window{},
		lenders:      map[string]lender{},
		loanRounds:   map[poplar.Workspace]*loanRound{},
		routers:      map[string]time.Time{},
		union:        roster.NewUnion(),
		watchers:     map[string]*watcher{},
		confirmer:    newConfirmer(),
		fetchTurn:    make(chan struct{}, 1),
	}
	p.view.Store(&view{})
	s.Vars.Func("belief", func() any { return p.status() })
	s.Vars.Func("gates", func() any { return p.gateStatuses() })
	s.Vars.Func("placement", func() any { return p.placements() })
	p.ctx, p.stop = context.WithCancel(context.Background())
	if p.link != nil {
		s.Vars.Func("link", func() any { return p.linkStatus() })
		p.conns.Count(p.link)
		pool.CountConns(p.countConn)
	}
	return p
}

// Start starts the background loops of the router.
func (p *Proxy) Start() {
	p.AddSeeds(p.settings.Seeds)
	p.start(p.drawLoop)
	p.start(p.sweepLoop)
	p.start(p.gateLoop)
	p.start(p.reportLoop)
	if p.link != nil {
		p.start(p.linkLoop)
	}
}

func (p *Proxy) start(loop func()) {
	p.done.Add(1)
	go p.run(loop)
}

func (p *Proxy) run(loop func()) {
	defer p.done.Done()
	loop()
}

// Stop stops the background loops and waits until they have ended.
func (p *Proxy) Stop() {
	p.stop()
	p.done.Wait()
}

// Shutdown stops the background loops and returns the unused tokens. It is called
// at a planned stop.
func (p *Proxy) Shutdown(ctx context.Context) {
	p.Stop()
	p.returnTokens(ctx)
}

// Methods returns the calls that the router serves to its peers.
func (p *Proxy) Methods() peer.Methods {
	var m peer.Methods
	m[core.OpLend] = peer.Handle(func(_ context.Context, _ poplar.Daemon, l wallet.LoanRequest) (wallet.LoanResponse, error) {
		return p.wallet.Lend(l, time.Now()), nil
	})
	m[core.OpHandOff] = peer.Handle(func(_ context.Context, _ poplar.Daemon, h wallet.HandOff) (struct{}, error) {
		p.wallet.ReceiveHandOff(h)
		p.log.Info("tokens received", "from", string(h.Sender.Name), "workspaces", len(h.Tokens))
		return struct{}{}, nil
	})
	m[core.OpHeadroom] = peer.Handle(p.reportHeadroom)
	return m
}

// Drain makes the router report that it is not ready. It continues to serve
// requests.
func (p *Proxy) Drain() { p.draining.Store(true) }

// Ready reports whether callers should send requests to this router.
func (p *Proxy) Ready() bool {
	v := p.view.Load()
	return !p.draining.Load() && v.table != nil && len(v.services) > 0 && !p.dials.overloaded(time.Now()) && !p.link.leaves()
}

// Limits returns the limits of the configuration in force, which are zero before the first.
func (p *Proxy) Limits() plan.Limits {
	if t := p.view.Load().table; t != nil {
		return t.Plan().Limits
	}
	return plan.Limits{}
}

// NoteConn counts the connections of callers. It is the ConnState of their server.
func (p *Proxy) NoteConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		p.callers.Add(1)
	case http.StateClosed, http.StateHijacked:
		p.callers.Add(-1)
	}
}

// sheds reports whether callers should use other connections for further requests, to
// other routers or to fewer connections here.
func (p *Proxy) sheds(now time.Time) bool {
	return p.draining.Load() || p.dials.overloaded(now) || p.link.closes() || p.settings.MaxCallers > 0 && p.callers.Load() > int64(p.settings.MaxCallers)
}

// WaitIdle waits until no request is in progress or ctx ends.
func (p *Proxy) WaitIdle(ctx context.Context) {
	tick := time.NewTicker(idlePollPeriod)
	defer tick.Stop()
	for p.openRequests.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// ServeReady serves the readiness check.
func (p *Proxy) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !p.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// sweepLoop runs sweep periodically.
func (p *Proxy) sweepLoop() { loops.Tick(p.ctx, sweepPeriod, nil, p.sweep) }

// sweep closes connections that have been idle too long or lead to upstreams
// that accept no new requests, removes expired suspects, and logs shortages of tokens.
func (p *Proxy) sweep(context.Context) {
	p.logShortage()
	p.logOverload(time.Now())
	p.updateEstimates(time.Now())
	p.updateGroups()
	p.suspects.sweep(time.Now())
	p.paces.sweep(time.Now())
	p.sweepUpstreams(time.Now())
	accepting := map[string]bool{}
	for _, group := range p.view.Load().services {
		for _, u := range group {
			accepting[u.address] = u.acceptsWork()
		}
	}
	p.conns.Sweep(func(address string) bool { return accepting[address] })
}

// retryWindow returns the retry window of a service. retryMu must be held.
func (p *Proxy) retryWindow(service poplar.Service) *retry.Window {
	w := p.retryWindows[service]
	if w == nil {
		w = retry.NewWindow(p.settings.RetryBudget.Window)
		p.retryWindows[service] = w
	}
	return w
}

// countRequest counts a caller's request, on which the allowed number of
// retries depends.
func (p *Proxy) countRequest(service poplar.Service, now time.Time) {
	p.retryMu.Lock()
	defer p.retryMu.Unlock()
	p.retryWindow(service).CountRequest(now)
}

// retryShare is the share of the fleet's retry limit that the routers use. The
// rest covers the granularity of their windows and routers that were just
// added.
const retryShare = 0.8

// routerSettleTime is the time after the first contact with a control daemon
// during which too few routers may be known to divide the slack by their
// number.
const routerSettleTime = 4 * time.Second

// retrySlack returns this router's share of the fleet's slack. It is 0 until
// routerSettleTime has passed.
func (p *Proxy) retrySlack(now time.Time) float64 {
	if !p.routersSettled(now) {
		return 0
	}
	p.routerMu.Lock()
	defer p.routerMu.Unlock()
	return retryShare * p.settings.RetryBudget.Slack / float64(len(p.routers))
}

// routersSettled reports whether enough routers are known to divide what all of them share.
func (p *Proxy) routersSettled(now time.Time) bool {
	p.routerMu.Lock()
	defer p.routerMu.Unlock()
	return len(p.routers) > 0 && !now.Before(p.slackStart)
}

// takeRetry reports whether the service may be sent another retry, and counts
// the retry if so.
func (p *Proxy) takeRetry(service poplar.Service, now time.Time) bool {
	slack := p.retrySlack(now)
	p.retryMu.Lock()
	defer p.retryMu.Unlock()
	ok := p.retryWindow(service).AllowRetry(retryShare*p.settings.RetryBudget.Ratio, slack, now)
	if !ok {
		p.metrics.retriesRefused.Add(1)
	}
	return ok
}
