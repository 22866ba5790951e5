package issuer

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/order"
)

// This file holds one term: what an issuer plans and sends under one fence.

// grudge is how long an engine that refused an order gets none of that kind.
const grudge = time.Minute

// errOver means that the lease may have ended.
var errOver = errors.New("the lease on orders may have ended")

// term is the time of one issuer under one fence.
type term struct {
	conf  Config
	fence poplar.Fence
	until atomic.Pointer[time.Time] // the end of the lease
	over  atomic.Bool               // invariant: once set, nothing is written to an engine
	http  *http.Client
	*shared

	mu      sync.Mutex
	right   *order.Issuer  // invariant: guarded by mu
	planner *order.Planner // invariant: guarded by mu
	pace    pace           // invariant: guarded by mu
	refused []refusal      // invariant: guarded by mu; oldest first
	number  uint64         // invariant: guarded by mu; the highest that was given
}

// refusal is an order that an engine has refused.
type refusal struct {
	order order.Order
	until time.Time
}

// newTerm returns the term that the keeper's lease begins. Unless it is the
// first, its loads wait for what the issuer before may have ordered.
func newTerm(conf Config, k *keeper, plan Plan, s *shared, now time.Time) *term {
	t := &term{conf: conf, fence: k.fence, shared: s}
	t.right = order.NewIssuer(k.fence, k.until, k.clear, length)
	t.planner = order.NewPlanner(plan.settings, t.right)
	t.http = t.client()
	if k.fence > 1 {
		t.pace.hold(plan, now)
	}
	t.extend(k.until)
	return t
}

// extend takes the end of the renewed lease.
func (t *term) extend(until time.Time) {
	t.until.Store(&until)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.right.Renew(until)
}

// end stops the term for good; open sends fail.
func (t *term) end() {
	t.over.Store(true)
	t.http.CloseIdleConnections()
}

// live returns an error when the lease may have ended.
func (t *term) live() error {
	if t.over.Load() || !t.conf.Clock.Now().Before(*t.until.Load()) {
		return errOver
	}
	return nil
}

// order plans at now and sends what is due.
func (t *term) order(ctx context.Context, plan Plan, demand order.Demand, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgive(now)
	engines := t.engines(plan.targets)
	t.planner.Reconcile(engines)
	settings := plan.settings
	settings.MaxLoads = min(settings.MaxLoads, t.loads()+t.pace.room(plan.minute, now))
	t.planner.Set(settings)
	last := t.number
	for _, o := range t.planner.Plan(engines, demand, now) {
		if o.Number > last && o.Verb == order.VerbLoad {
			t.pace.took(now)
		}
		t.number = max(t.number, o.Number)
		t.send(ctx, plan.targets, o)
	}
}

// loads returns the number of open loads. The caller holds mu.
func (t *term) loads() int {
	n := 0
	for _, o := range t.planner.Pending() {
		if o.Verb == order.VerbLoad {
			n++
		}
	}
	return n
}

// engines returns the engines, without the models that they have refused. The
// caller holds mu.
func (t *term) engines(targets []Target) []order.Engine {
	all := make([]order.Engine, 0, len(targets))
	for _, x := range targets {
		e := x.engine
		for _, r := range t.refused {
			if r.order.Upstream == e.Name && r.order.Verb == order.VerbLoad {
				e.Forbidden = append(slices.Clone(e.Forbidden), r.order.Model)
			}
		}
		all = append(all, e)
	}
	return all
}

// refuse notes that an engine has refused an order. A load is planned anew at
// another engine; other orders concern this engine only, and wait.
func (t *term) refuse(o order.Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused = append(t.refused, refusal{order: o, until: t.conf.Clock.Now().Add(grudge)})
	if o.Verb == order.VerbLoad {
		t.planner.RecordAnswer(o)
	}
}

// forgive forgets old refusals. The caller holds mu.
func (t *term) forgive(now time.Time) {
	for len(t.refused) > 0 && !now.Before(t.refused[0].until) {
		t.planner.RecordAnswer(t.refused[0].order)
		t.refused = t.refused[1:]
	}
}

// open returns the orders without an answer.
func (t *term) open() []order.Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.planner.Pending()
}
