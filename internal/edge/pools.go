package edge

import (
	"context"
	"strings"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/rank"
	"poplarbend.example/poplar/pkg/route"
)

// A pool is the group of upstreams that serve one model or one service. Each
// pool has an admission gate.

// pool holds one gate and the share of its upstreams that this daemon may use.
type pool struct {
	gate  *admit.Gate
	share *admit.Share // invariant: used by update only
}

// pools implements Gate for an Edge without Config.Gate. It is safe for
// concurrent use.
type pools struct {
	clock   poplar.Clock
	roster  Roster
	routers func() int

	mu     sync.Mutex
	byName map[string]*pool // invariant: guarded by mu; only names in the policy
	policy *conf.Policy     // invariant: guarded by mu; the policy that the gates apply
}

var _ Gate = (*pools)(nil)

func newPools(clock poplar.Clock, roster Roster, routers func() int) *pools {
	return &pools{clock: clock, roster: roster, routers: routers, byName: map[string]*pool{}}
}

// Admit implements Gate.
func (p *pools) Admit(ctx context.Context, name string, work admit.Request) (Ticket, error) {
	ticket, err := p.pool(name).gate.Admit(ctx, work)
	if err != nil {
		return nil, err
	}
	return ticket, nil
}

// pool returns the pool of the given name. A new pool starts with an even
// share.
func (p *pools) pool(name string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.byName[name]
	if found == nil {
		found = &pool{gate: admit.NewGate(p.clock, rankSettings(p.policy), 1), share: admit.NewShare()}
		p.byName[name] = found
		p.resize(name, found, p.roster.View(), p.clock.Now())
	}
	return found
}

// update applies the policy and the current state of the upstreams to every
// gate.
func (p *pools) update(policy *conf.Policy, now time.Time) {
	view := p.roster.View()
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := policy != p.policy
	p.policy = policy
	for name, pool := range p.byName {
		if changed {
			pool.gate.Set(rankSettings(policy))
		}
		p.resize(name, pool, view, now)
	}
}

// resize adjusts the limit of one pool to the load reports of its upstreams.
func (p *pools) resize(name string, pool *pool, view *intake.View, now time.Time) {
	feedback := feedbackOf(name, view, pool.gate.Status(), p.routers(), now)
	pool.gate.SetLimit(pool.share.Update(feedback, now))
}

// feedbackOf summarizes the load reports and the local states of the upstreams
// of a pool. It counts open requests by the local states rather than by the
// tickets of the gate: the request of a ticket may not have reached an upstream
// yet, or may have ended there, and requests of another pool may run at the
// same upstream.
func feedbackOf(name string, view *intake.View, status admit.Status, routers int, now time.Time) admit.Feedback {
	var capacity, outstanding, queued float64
	open, oldest := 0, now
	table := view.Table()
	for i := range table.Len() {
		c := table.At(i)
		if !serves(c, name) || !c.Eligible(now) {
			continue
		}
		capacity += capacityOf(c)
		open += c.LocalState().InFlight()
		report := c.Report()
		if report.At.IsZero() {
			continue
		}
		if report.At.Before(oldest) {
			oldest = report.At
		}
		outstanding += float64(report.Outstanding(poplar.Bulk))
		for _, n := range report.Waiting {
			queued += float64(n)
		}
	}
	waiting := 0
	for _, n := range status.Waiting {
		waiting += n
	}
	return admit.NewFeedback(capacity, outstanding, queued, routers, oldest).
		WithLocal(open, waiting > 0).WithHeadroom(status.Headroom[poplar.Bulk])
}

// capacityOf returns the number of requests that a candidate can run
// efficiently in parallel: its slots, or its concurrency limit if that is lower.
func capacityOf(c *route.Candidate) float64 {
	slots := float64(c.Offer().Slots)
	if limit := c.LocalState().Limit(); limit > 0 {
		return min(slots, limit)
	}
	return slots
}

// serves reports whether the candidate belongs to the pool of the given name.
func serves(c *route.Candidate, name string) bool {
	offer := c.Offer()
	if service, ok := strings.CutPrefix(name, servicePrefix); ok {
		for _, s := range offer.Services {
			if string(s) == service {
				return true
			}
		}
		return false
	}
	for _, m := range offer.Models {
		if string(m) == name {
			return true
		}
	}
	return false
}

// rankSettings returns the settings of the ranks in a policy, which may be nil.
func rankSettings(policy *conf.Policy) rank.Settings {
	settings := rank.DefaultSettings()
	if policy == nil {
		return settings
	}
	for i := range settings {
		rule := policy.Rank(poplar.Rank(i))
		settings[i].Deadline, settings[i].Floor = rule.First(), rule.Floor()
		settings[i].Value = max(rule.Worth(), minWorth)
	}
	return settings
}

// minWorth replaces a configured worth of 0, since rank.Settings accepts only
// positive values. Such a rank then differs from the others by a factor only.
const minWorth = 1e-6

// status returns the state of the gate of each pool.
func (p *pools) status() map[string]admit.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]admit.Status, len(p.byName))
	for name, pool := range p.byName {
		all[name] = pool.gate.Status()
	}
	return all
}
