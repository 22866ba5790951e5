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

// refusalPeriod is how long a refusal counts. Until then a refused load is not
// planned again at that engine, and any other refused order stays open there.
const refusalPeriod = time.Minute

// errLeaseEnded is returned when the lease may have ended.
var errLeaseEnded = errors.New("the lease on orders may have ended")

// term is the period in which an issuer plans and sends orders under one fence.
type term struct {
	conf   Config
	fence  poplar.Fence
	expiry atomic.Pointer[time.Time] // the end of the lease
	ended  atomic.Bool               // invariant: once set, nothing is written to an engine
	http   *http.Client
	*shared

	mu      sync.Mutex
	issuer  *order.Issuer  // invariant: guarded by mu
	planner *order.Planner // invariant: guarded by mu
	limiter loadLimiter    // invariant: guarded by mu
	refused []refusal      // invariant: guarded by mu; oldest first
	number  uint64         // invariant: guarded by mu; the highest order number so far
}

// refusal is an order that an engine has refused.
type refusal struct {
	order order.Order
	until time.Time
}

// newTerm returns the term of the lease in tracker. Unless it is the first term of the
// domain, its loads wait for those that the preceding issuer may have ordered.
func newTerm(conf Config, tracker *leaseTracker, plan Plan, sharedState *shared, now time.Time) *term {
	t := &term{conf: conf, fence: tracker.fence, shared: sharedState}
	t.issuer = order.NewIssuer(tracker.fence, tracker.expiry, tracker.clearAt, leaseDuration)
	t.planner = order.NewPlanner(plan.settings, t.issuer)
	t.http = t.client()
	if tracker.fence > 1 {
		t.limiter.delay(plan, now)
	}
	t.extend(tracker.expiry)
	return t
}

// extend sets the expiry of the renewed lease.
func (t *term) extend(until time.Time) {
	t.expiry.Store(&until)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuer.Renew(until)
}

// end stops the term permanently; sends in progress fail.
func (t *term) end() {
	t.ended.Store(true)
	t.http.CloseIdleConnections()
}

// checkLease returns errLeaseEnded when the lease may have ended.
func (t *term) checkLease() error {
	if t.ended.Load() || !t.conf.Clock.Now().Before(*t.expiry.Load()) {
		return errLeaseEnded
	}
	return nil
}

// order plans at now and sends the due orders.
func (t *term) order(ctx context.Context, plan Plan, demand order.Demand, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireRefusals(now)
	engines := t.engines(plan.targets)
	t.planner.Reconcile(engines)
	settings := plan.settings
	settings.MaxLoads = min(settings.MaxLoads, t.loads()+t.limiter.room(plan.loadsPerMinute, now))
	t.planner.Set(settings)
	last := t.number
	for _, o := range t.planner.Plan(engines, demand, now) {
		if o.Number > last && o.Verb == order.VerbLoad {
			t.limiter.add(now)
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

// engines returns the engines, each barred from the models that it has refused.
// The caller holds mu.
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

// refuse records that an engine has refused an order. A load is planned again at
// another engine; other orders concern only this engine and wait.
func (t *term) refuse(o order.Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused = append(t.refused, refusal{order: o, until: t.conf.Clock.Now().Add(refusalPeriod)})
	if o.Verb == order.VerbLoad {
		t.planner.RecordAnswer(o)
	}
}

// expireRefusals removes expired refusals. The caller holds mu.
func (t *term) expireRefusals(now time.Time) {
	for len(t.refused) > 0 && !now.Before(t.refused[0].until) {
		t.planner.RecordAnswer(t.refused[0].order)
		t.refused = t.refused[1:]
	}
}

// open returns the open orders.
func (t *term) open() []order.Order {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.planner.Pending()
}
