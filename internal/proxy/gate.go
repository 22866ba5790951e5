package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/fair"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/rank"
)

// A request to a service of engines passes the gate of the service before it is sent. The
// gate lets it wait or refuses it only while the upstreams report no free slots.

const (
	// gatePeriod is the interval at which the limits of the gates follow the reports.
	gatePeriod = 250 * time.Millisecond
	// gateLogPeriod is the interval at which a limit is logged while it binds.
	gateLogPeriod = 5 * time.Second
	// gateDeadline replaces the deadlines of the ranks: each request has its own.
	gateDeadline = time.Hour
)

// gate admits the requests of this router to the upstreams of one service.
type gate struct {
	admission *admit.Gate
	limit     *admit.Limit // invariant: used only by gateLoop
	talliedAt time.Time    // invariant: used only by gateLoop
	loggedAt  time.Time    // invariant: used only by gateLoop
	table     *plan.Table  // invariant: guarded by gates.mu; configuration from which ranks was made
	ranks     rankMap      // invariant: guarded by gates.mu
	inputs    gateInputs   // invariant: guarded by gates.mu; as of the last update
}

// gates holds the gates of all services with a number of slots.
type gates struct {
	mu        sync.Mutex
	byService map[poplar.Service]*gate // invariant: guarded by mu
}

// gate returns the gate of a service and the ranks of its requests, or nil if the
// configuration states no slots for the service.
func (p *Proxy) gate(service poplar.Service) (*gate, rankMap) {
	table := p.view.Load().table
	p.gates.mu.Lock()
	defer p.gates.mu.Unlock()
	g := p.gates.byService[service]
	if g != nil && g.table == table {
		return g, g.ranks
	}
	if engineSlots(table, service) == 0 {
		return nil, rankMap{}
	}
	if g == nil {
		settings := rank.DefaultSettings()
		for i := range settings {
			settings[i].Deadline = gateDeadline
		}
		g = &gate{admission: admit.NewGate(poplar.System{}, settings, admit.Unlimited), limit: admit.NewLimit()}
		p.gates.byService[service] = g
	}
	g.table, g.ranks = table, newRankMap(table.Plan(), service)
	return g, g.ranks
}

// engineSlots returns the slots of each upstream of the service, or 0 if the configuration
// states none.
func engineSlots(table *plan.Table, service poplar.Service) int {
	if table == nil {
		return 0
	}
	if s := table.Service(service); s != nil && s.Engine != nil {
		return max(s.Engine.Slots, 0)
	}
	return 0
}

// enter waits until the gate of the service lets the request start. Its tokens are
// reserved already.
func (x *exchange) enter() *poplar.Error {
	g, ranks := x.p.gate(x.service)
	if g == nil {
		return nil
	}
	now := time.Now()
	target := x.start.Add(x.route.FirstByteTarget)
	if !now.Before(target) || target.After(x.deadline) {
		target = x.deadline
	}
	r := ranks.of(x.rank())
	request := admit.NewRequest(x.flow(), r, x.env.Cost()).WithDeadline(target).WithFallback(x.deadline)
	err := g.admission.AdmitTo(x.ctx, request, &x.ticket)
	x.admitWait = time.Since(now)
	x.p.metrics.gateWaits[r].Since(now, now.Add(x.admitWait))
	if err != nil {
		return x.refuseEntry(err)
	}
	x.admitted = true
	return nil
}

// flow returns whom the gate charges for the request: the workspace, and as its caller the
// host of the connection.
func (x *exchange) flow() fair.Flow {
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		host = x.r.RemoteAddr
	}
	return fair.NewFlow(poplar.Workspace(x.bodySource()), poplar.Caller(host), 1)
}

// refuseEntry returns the error for a request that the gate did not let start.
func (x *exchange) refuseEntry(err error) *poplar.Error {
	var e *poplar.Error
	if !errors.As(err, &e) {
		e = poplar.Fail(poplar.StepAdmit, poplar.CodeInternal, err)
	}
	if e.Code() == poplar.CodeCancelled {
		x.p.metrics.gateRefusals.Add(string(admit.ReasonCancelled), 1)
		return x.expired()
	}
	var refusal *admit.Refusal
	if errors.As(err, &refusal) {
		x.p.metrics.gateRefusals.Add(string(refusal.Reason()), 1)
	}
	return poplar.Failf(poplar.StepAdmit, poplar.CodeBusy, "no free slot of service %q in time: %w", x.service, e.Unwrap()).
		Ran(poplar.RunNo).After(e.Retry())
}

// firstToken notes at the gate that the first event has arrived.
func (x *exchange) firstToken() {
	if x.admitted {
		x.ticket.FirstToken()
	}
}

// leave frees the place of the request at its gate. Further calls do nothing.
func (x *exchange) leave() {
	if !x.admitted {
		return
	}
	x.admitted = false
	used := poplar.Tokens(0)
	switch {
	case x.events > 0:
		used = x.tokensUsed()
	case x.runs > 0:
		used = max(x.env.Cost(), 1)
	}
	x.ticket.Release(used)
}

// gateLoop runs updateGates periodically.
func (p *Proxy) gateLoop() { loops.Tick(p.ctx, gatePeriod, nil, p.updateGates) }

// updateGates sets the limit of each gate from the reports of the upstreams, and removes
// the gates of services that are no longer configured.
func (p *Proxy) updateGates(context.Context) {
	now, v := time.Now(), p.view.Load()
	p.gates.mu.Lock()
	defer p.gates.mu.Unlock()
	for service, g := range p.gates.byService {
		slots := engineSlots(v.table, service)
		if slots == 0 {
			g.admission.SetLimit(admit.Unlimited) // what still waits starts
			delete(p.gates.byService, service)
			continue
		}
		p.updateGate(g, service, v, slots, now)
	}
}

// updateGate sets the limit of one gate.
func (p *Proxy) updateGate(g *gate, service poplar.Service, v *view, slots int, now time.Time) {
	tally := admit.NewTally(now, g.talliedAt)
	g.talliedAt = now
	for _, u := range v.services[service] {
		if report, usable := u.report(now); usable {
			tally.Add(slots, report)
		}
	}
	status := g.admission.Status()
	local := admit.Local{Routers: len(v.routers), Headroom: status.Headroom[poplar.Bulk]}
	for i := range status.Open {
		local.Open += status.Open[i]
		local.Waiting = local.Waiting || status.Waiting[i] > 0
		local.Refused += status.Counts.Refused[i]
	}
	bound := g.limit.Bound()
	g.admission.SetLimit(g.limit.Update(&tally, local))
	p.metrics.reportsIgnored.Add(int64(tally.Ignored()))
	g.inputs = newGateInputs(&tally, local, g.limit.Bound())
	if bound != g.limit.Bound() || g.limit.Bound() && now.Sub(g.loggedAt) >= gateLogPeriod {
		g.loggedAt = now
		p.logGate(service, g.admission.Status(), g.inputs)
	}
}

// report returns the last load report of the upstream, and whether requests are sent to it
// now.
func (u *upstream) report(now time.Time) (r admit.Report, usable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.load.HasLoad {
		r = admit.NewReport(u.load.Running, u.load.Waiting, u.load.Slots, u.loadAt).WithSent(u.sentSinceLoad)
	}
	return r, u.usable() && !now.Before(u.backoffUntil)
}
