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

// This file holds the gates of the pools: one for the upstreams of each model
// and of each service.

// pool is one gate and the daemon's share of its upstreams.
type pool struct {
	gate  *admit.Gate
	share *admit.Share // invariant: used by update only
}

// pools is the Gate of an Edge that was given none. It is safe for concurrent
// use.
type pools struct {
	clock   poplar.Clock
	roster  Roster
	routers func() int

	mu     sync.Mutex
	byName map[string]*pool // invariant: guarded by mu; names of the policy only
	policy *conf.Policy     // invariant: guarded by mu; the settings that the gates have
}

var _ Gate = (*pools)(nil)

func newPools(clock poplar.Clock, roster Roster, routers func() int) *pools {
	return &pools{clock: clock, roster: roster, routers: routers, byName: map[string]*pool{}}
}

// Enter implements Gate.
func (p *pools) Enter(ctx context.Context, name string, work admit.Request) (Ticket, error) {
	ticket, err := p.pool(name).gate.Enter(ctx, work)
	if err != nil {
		return nil, err
	}
	return ticket, nil
}

// pool returns the pool of the given name, which starts with its even share.
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

// update adapts every gate to the upstreams and to the policy.
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

// resize sizes the share of one pool from the reports of its upstreams.
func (p *pools) resize(name string, pool *pool, view *intake.View, now time.Time) {
	feedback := feedbackOf(name, view, pool.gate.Status(), p.routers(), now)
	pool.gate.SetLimit(pool.share.Update(feedback, now))
}

// feedbackOf returns what the reports and the gauges of the pool's upstreams
// tell. A ticket of the gate is not yet, or no longer, a request at an upstream,
// and a ticket of another pool may be one: so the gauges count, not the gate.
func feedbackOf(name string, view *intake.View, status admit.Status, routers int, now time.Time) admit.Feedback {
	var capacity, running, queued float64
	open, oldest := 0, now
	table := view.Table()
	for i := range table.Len() {
		c := table.At(i)
		if !serves(c, name) || !c.Eligible(now) {
			continue
		}
		capacity += capacityOf(c)
		open += c.Gauge().Flight()
		report := c.Report()
		if report.At.IsZero() {
			continue
		}
		if report.At.Before(oldest) {
			oldest = report.At
		}
		running += float64(report.Held(poplar.Bulk))
		for _, n := range report.Waiting {
			queued += float64(n)
		}
	}
	waiting := 0
	for _, n := range status.Waiting {
		waiting += n
	}
	return admit.NewFeedback(capacity, running, queued, routers, oldest).
		Own(open, waiting > 0).Kept(status.Kept[poplar.Bulk])
}

// capacityOf returns the requests that a candidate runs well side by side.
func capacityOf(c *route.Candidate) float64 {
	slots := float64(c.Offer().Slots)
	if limit := c.Gauge().Limit(); limit > 0 {
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
		settings[i].Worth = max(rule.Worth(), minWorth)
	}
	return settings
}

// minWorth keeps a rank that an operator set to be worth nothing apart from
// the others by a factor only.
const minWorth = 1e-6

// Status returns the state of each pool's gate.
func (p *pools) status() map[string]admit.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]admit.Status, len(p.byName))
	for name, pool := range p.byName {
		all[name] = pool.gate.Status()
	}
	return all
}
