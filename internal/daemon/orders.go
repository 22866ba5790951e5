package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/edge"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/internal/issuer"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/oper"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/order"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the orders to the engines of the domain: this daemon's
// candidate for the issuer, and its reports to the one that is.

var orderModule = fx.Module("orders",
	fx.Provide(newOrders),
)

// orders is a daemon's part in the orders of its domain.
type orders struct {
	settings *conf.Settings
	rules    *rules
	roster   *intake.Roster
	mirror   *follow.Mirror
	edge     *edge.Edge
	pool     *peer.Pool
	clock    poplar.Clock
	log      *log.Logger
	issuer   *issuer.Issuer
	refused  map[string]uint64 // invariant: used by the loop only; refusals of each model so far
	loops    loops.Runner
}

func newOrders(
	s *conf.Settings, rl *rules, r *intake.Roster, m *follow.Mirror, e *edge.Edge, a access, pool *peer.Pool,
	clock poplar.Clock, logger *log.Logger,
) *orders {
	o := &orders{
		settings: s, rules: rl, roster: r, mirror: m, edge: e, pool: pool, clock: clock, log: logger,
		refused: map[string]uint64{},
	}
	o.issuer = issuer.New(issuer.Config{
		Self: s.Name, Domain: s.Domain, Proposer: a, KnownLease: func() state.Lease { return o.lease(s.Domain) },
		Plan: o.plan, Clock: clock, Log: logger,
	})
	return o
}

// lease returns the lease on the orders of a domain.
func (o *orders) lease(domain poplar.Domain) state.Lease {
	return o.mirror.Lease(issuer.Topic(domain))
}

// hook returns the lifecycle hook, which is the first to stop: the lease is
// given back while the log can be reached.
func (o *orders) hook() fx.Hook {
	return fx.Hook{
		OnStart: func(context.Context) error {
			o.issuer.Start()
			o.loops.Start(o.loop)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			o.loops.Stop()
			o.issuer.Stop(ctx)
			return nil
		},
	}
}

// plan returns what to order: each domain has an equal part of the weight
// store, so that the whole is held to in any cut.
func (o *orders) plan() (issuer.Plan, bool) {
	policy := o.rules.Policy()
	if policy == nil {
		return issuer.Plan{}, false
	}
	settings := order.DefaultSettings()
	for _, m := range policy.Models() {
		if p := m.Place(); p.Placed() {
			settings.Models = append(settings.Models, order.Model{
				Name: m.Name(), Version: p.Version(), Base: p.Base(), Size: p.Size(), MinEngines: p.Least(), MaxEngines: p.Most(),
			})
		}
	}
	if len(settings.Models) == 0 {
		return issuer.Plan{}, false
	}
	part := 1 / float64(max(len(policy.Domains()), 1))
	numbers := policy.Numbers()
	settings.StoreRate = numbers.Store * part
	settings.RiseTime, settings.FallTime, settings.MinStay = numbers.Rise, numbers.Fall, numbers.Stay
	return issuer.NewPlan(settings, float64(numbers.Loads)*part, o.targets(policy)), true
}

// targets returns the engines of the domain that take orders.
func (o *orders) targets(policy *conf.Policy) []issuer.Target {
	view, now := o.roster.View(), o.clock.Now()
	var all []issuer.Target
	for i := range view.Table().Len() {
		c := view.Table().At(i)
		p, known := view.Peer(c.Name())
		rule, ruled := policy.Upstream(c.Name())
		if !known || !ruled || !c.Eligible(now) || c.Domain() != o.settings.Domain {
			continue
		}
		if n := p.Notice(); n.Kind == poplar.KindEngine && n.Memory > 0 {
			all = append(all, issuer.NewTarget(engineOf(n, rule, policy), n.Address))
		}
	}
	return all
}

// engineOf returns an engine as the planner sees it. Models of the folder that
// are not placed stay as they are: the planner sees only their memory.
func engineOf(n poplar.Announcement, rule *conf.Upstream, policy *conf.Policy) order.Engine {
	e := order.Engine{
		Name: n.Upstream, Domain: n.Domain, Memory: n.Memory, Slots: n.Slots, Role: order.Role(n.Role),
		Fenced: n.Fenced || rule.Fences(),
	}
	for _, l := range n.Loaded {
		m, known := policy.Model(l.Model)
		if known && !m.Place().Placed() {
			e.Memory -= m.Place().Size()
			continue
		}
		e.Loaded = append(e.Loaded, order.Loaded(l))
	}
	for _, m := range policy.Models() {
		if m.Place().Placed() && !rule.Model(m.Name()) {
			e.Forbidden = append(e.Forbidden, m.Name())
		}
	}
	return e
}

// reportPeriod is the time between two reports of a daemon.
const reportPeriod = 1 * time.Second

// loop reports the use of models to the issuer.
func (o *orders) loop(ctx context.Context) { loops.Tick(ctx, reportPeriod, nil, o.report) }

func (o *orders) report(ctx context.Context) {
	lease := o.lease(o.settings.Domain)
	r := o.usage()
	switch {
	case lease.Fence == 0 || lease.Release || len(r.Models) == 0:
		return
	case lease.Holder == o.settings.Name:
		o.issuer.Report(o.settings.Name, r)
		return
	}
	if _, err := peer.CallWithin[issuer.Report, struct{}](ctx, inspectTime, o.pool, lease.Holder, peer.OpUsage, r); err != nil {
		o.log.Debug("the issuer has no report", "step", poplar.StepPeer, "err", err)
	}
}

// usage returns the requests in flight and waiting by model. A request that was
// refused since the last report counts once, so that a model without any engine
// is asked for too.
func (o *orders) usage() issuer.Report {
	policy := o.rules.Policy()
	r := issuer.Report{Models: map[poplar.Model]float64{}}
	if policy == nil {
		return r
	}
	for name, status := range o.edge.Admission() {
		if _, known := policy.Model(poplar.Model(name)); !known {
			continue
		}
		var use, refused uint64
		for i := range poplar.Ranks {
			use += uint64(status.Open[i] + status.Waiting[i])
			refused += status.Counts.Refused[i]
		}
		r.Models[poplar.Model(name)] = float64(use + refused - o.refused[name])
		o.refused[name] = refused
	}
	return r
}

// serve adds the issuer's method.
func (o *orders) serve(methods *peer.Methods) {
	methods[peer.OpUsage] = peer.Handle(func(_ context.Context, from poplar.Daemon, r issuer.Report) (struct{}, error) {
		o.issuer.Report(from, r)
		return struct{}{}, nil
	})
}

// addIssuers adds the issuers of all domains and their open orders. The orders
// of an issuer that cannot be reached are missing.
func (f *fleet) addIssuers(ctx context.Context, s *oper.Status) {
	domains := []poplar.Domain{f.settings.Domain}
	for _, pair := range f.mirror.View().Pairs() {
		if !slices.Contains(domains, pair.Domain) {
			domains = append(domains, pair.Domain)
		}
	}
	slices.Sort(domains)
	for _, domain := range domains {
		lease := f.orders.lease(domain)
		if lease.Fence == 0 || lease.Release {
			continue
		}
		status := oper.IssuerStatus{Domain: domain, Daemon: lease.Holder, Fence: lease.Fence}
		if r, err := f.ask(ctx, lease.Holder, question{Orders: true}); err == nil {
			status.Orders, status.Contact = r.Orders, moment(f.clock.Now())
		}
		s.Issuers = append(s.Issuers, status)
	}
}
