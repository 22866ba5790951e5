package issuer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/pkg/order"
	"poplarbend.example/poplar/pkg/state"
)

// Interval and timeout of the loop.
const (
	period         = 1 * time.Second
	proposeTimeout = 1 * time.Second
)

// Target is an engine that takes orders.
type Target struct {
	engine  order.Engine
	address string
}

// NewTarget returns the target with the given state that serves at address.
func NewTarget(engine order.Engine, address string) Target {
	return Target{engine: engine, address: address}
}

// Plan is the configured placement of models.
type Plan struct {
	settings       order.Settings
	loadsPerMinute float64
	targets        []Target
}

// NewPlan returns a plan for the targets, with the domain's share of model loads
// per minute.
func NewPlan(settings order.Settings, minute float64, targets []Target) Plan {
	return Plan{settings: settings, loadsPerMinute: minute, targets: targets}
}

// Config configures an Issuer.
type Config struct {
	Self     poplar.Daemon
	Domain   poplar.Domain
	Proposer poplar.Proposer
	// KnownLease returns the last known lease of the domain's topic.
	KnownLease func() state.Lease
	// Plan returns the current plan; false means that no models are placed, and
	// then no lease is taken.
	Plan  func() (Plan, bool)
	Clock poplar.Clock
	Log   *log.Logger
	// Dial opens the connections to engines; nil is a plain dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// shared is the state that an issuer shares with its terms.
type shared struct {
	sends  sync.WaitGroup // orders being sent
	counts counts
}

// Issuer competes for the lease of its domain, and issues orders while it holds
// the lease. It is safe for concurrent use.
type Issuer struct {
	conf Config

	mu    sync.Mutex
	lease *leaseTracker // invariant: guarded by mu
	usage usage         // invariant: guarded by mu
	term  *term         // invariant: guarded by mu; nil without the lease

	shared
	loops loops.Runner
}

// New returns an issuer. Start must be called for it to act.
func New(conf Config) *Issuer {
	if conf.Dial == nil {
		conf.Dial = (&net.Dialer{Timeout: sendTimeout}).DialContext
	}
	return &Issuer{
		conf: conf, lease: newLeaseTracker(conf.Domain, conf.Self), usage: newUsage(),
	}
}

// Start begins to compete for the lease.
func (i *Issuer) Start() { i.loops.Start(i.loop) }

// Stop ends the sending of orders and releases the lease, so that another
// candidate need not wait for its expiry.
func (i *Issuer) Stop(ctx context.Context) {
	i.loops.Stop()
	i.leave(ctx)
	i.sends.Wait()
}

func (i *Issuer) loop(ctx context.Context) { loops.Tick(ctx, period, nil, i.step) }

// Step runs one iteration of the loop, and returns when the sends of its orders
// have ended. It must not run concurrently with the loop.
func (i *Issuer) Step(ctx context.Context) {
	i.step(ctx)
	i.sends.Wait()
}

// step runs one iteration. It checks the lease again after each wait.
func (i *Issuer) step(ctx context.Context) {
	plan, wanted := i.conf.Plan()
	if !wanted {
		i.leave(ctx)
		return
	}
	if command, due := i.observeLease(); due {
		i.propose(ctx, plan, command)
	}
	i.order(ctx, plan)
}

// observeLease reads the known lease and returns the lease command that is due.
func (i *Issuer) observeLease() (state.Lease, bool) {
	lease, now := i.conf.KnownLease(), i.conf.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lease.observe(lease, now)
	i.expire(now)
	return i.lease.nextCommand(now)
}

// expire ends the term when the lease may have ended, or when an engine has
// received orders of a later issuer. The caller holds mu.
func (i *Issuer) expire(now time.Time) {
	if i.term == nil || i.lease.held(now) && !i.term.ended.Load() {
		return
	}
	i.lease.drop()
	i.conf.Log.Warn("lease on orders ended; this daemon stops issuing orders", "fence", i.term.fence)
	i.term.end()
	i.term = nil
}

// propose sends a lease command and applies the reply. A lost reply changes
// nothing.
func (i *Issuer) propose(ctx context.Context, plan Plan, command state.Lease) {
	call, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	sent := i.conf.Clock.Now()
	data, err := i.conf.Proposer.Propose(call, state.Encode(state.Command{Lease: &command}))
	if err != nil {
		i.conf.Log.Debug("cannot change the lease on orders; retrying", "step", poplar.StepPropose, "err", err)
		return
	}
	reply, err := state.Decode[state.Reply](data)
	if err != nil {
		i.conf.Log.Error("cannot decode the reply of the log; lease on orders not changed", "step", poplar.StepPropose, "err", err)
		return
	}
	now := i.conf.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	begins := i.lease.applyReply(command, reply, sent, now)
	i.expire(now)
	if begins {
		i.counts.terms.Add(1)
		i.term = newTerm(i.conf, i.lease, plan, &i.shared, now)
		i.conf.Log.Info("lease on orders taken; this daemon issues orders", "domain", i.conf.Domain, "fence", i.term.fence)
	}
	if i.term != nil {
		i.term.extend(i.lease.expiry)
	}
}

// order plans and sends orders while the lease is held.
func (i *Issuer) order(ctx context.Context, plan Plan) {
	now := i.conf.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expire(now)
	if i.term == nil {
		return
	}
	i.term.order(ctx, plan, i.usage.demand(now), now)
}

// leave ends the term and releases the lease, if it is held.
func (i *Issuer) leave(ctx context.Context) {
	i.mu.Lock()
	held := i.term
	i.term = nil
	i.lease.drop()
	command := i.lease.releaseCommand()
	i.mu.Unlock()
	if held == nil {
		return
	}
	held.end()
	i.sends.Wait()
	call, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := i.conf.Proposer.Propose(call, state.Encode(state.Command{Lease: &command})); err != nil {
		i.conf.Log.Debug("cannot release the lease on orders; it will expire", "step", poplar.StepPropose, "err", err)
	}
}

// Report records a daemon's demand report.
func (i *Issuer) Report(from poplar.Daemon, r Report) {
	now := i.conf.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.usage.take(from, r, now)
}

// Open returns the open orders of the current term.
func (i *Issuer) Open() []order.Order {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.term == nil {
		return nil
	}
	return i.term.open()
}
