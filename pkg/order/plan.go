package order

import (
	"math"
	"slices"
	"sort"
	"time"

	"poplarbend.example/poplar"
)

// This file implements the planner.

// placement identifies a model on an engine.
type placement struct {
	upstream poplar.Upstream
	model    poplar.Model
}

// pendingOrder is an order without an answer.
type pendingOrder struct {
	order    Order
	resendAt time.Time // when the order is sent again
	size     float64   // bytes to load, 0 for other orders
}

// Planner computes the orders of one issuer. The caller calls Plan regularly
// with the latest reported state of the engines. A Planner is not safe for
// concurrent use.
//
// At any time there is at most one pending order to each engine, and there are
// at most Settings.MaxLoads pending loads. The bytes of all ordered loads never
// exceed what the weight store can deliver since the planner started plus the
// size of one model.
type Planner struct {
	settings      Settings
	issuer        *Issuer
	pending       map[poplar.Upstream]*pendingOrder
	aboveSince    map[poplar.Model]time.Time // when the utilization rose above HighUtilization
	belowSince    map[poplar.Model]time.Time // when it, with one engine fewer, fell below LowUtilization
	loadedAt      map[placement]time.Time    // when the latest load of each model was ordered
	roleChangedAt map[poplar.Upstream]time.Time
	loadCredit    float64 // bytes that may be ordered from the weight store; negative after a large load
	creditedAt    time.Time
}

// NewPlanner returns a planner that issues orders through issuer.
func NewPlanner(settings Settings, issuer *Issuer) *Planner {
	return &Planner{
		settings:      settings,
		issuer:        issuer,
		pending:       map[poplar.Upstream]*pendingOrder{},
		aboveSince:    map[poplar.Model]time.Time{},
		belowSince:    map[poplar.Model]time.Time{},
		loadedAt:      map[placement]time.Time{},
		roleChangedAt: map[poplar.Upstream]time.Time{},
	}
}

// Set replaces the settings.
func (p *Planner) Set(settings Settings) { p.settings = settings }

// RecordAnswer records that an engine answered an order. An order that the
// engine refused is not sent again; the next Plan decides anew.
func (p *Planner) RecordAnswer(o Order) {
	if pending := p.pending[o.Upstream]; pending != nil && pending.order.Number == o.Number && pending.order.Fence == o.Fence {
		delete(p.pending, o.Upstream)
	}
}

// Plan returns the orders to send at now: new orders and those whose answer is
// overdue.
func (p *Planner) Plan(engines []Engine, demand Demand, now time.Time) []Order {
	p.accrueCredit(now)
	f := p.plannedFleet(engines, now)
	out := p.resend(f, now)
	p.trackUtilization(f, demand, now)
	for _, m := range p.settings.Models {
		out = append(out, p.planLoad(f, m, now)...)
	}
	out = append(out, p.unloadUnconfigured(f, now)...)
	return append(out, p.planRole(f, demand, now)...)
}

// fleet is the state of the engines, assuming that pending loads succeed.
type fleet struct {
	engines []Engine                    // sorted by name
	free    map[poplar.Upstream]float64 // free memory in bytes
}

// plannedFleet returns a copy of the engines and their free memory, counting
// pending loads as done. It removes pending orders that are carried out. A
// model that this planner did not load counts as loaded Settings.MinStay ago.
func (p *Planner) plannedFleet(engines []Engine, now time.Time) *fleet {
	f := &fleet{engines: append([]Engine(nil), engines...), free: map[poplar.Upstream]float64{}}
	sort.Slice(f.engines, func(i, j int) bool { return f.engines[i].Name < f.engines[j].Name })
	for i := range f.engines {
		e := &f.engines[i]
		e.Loaded = append([]Loaded(nil), e.Loaded...)
		if pending := p.pending[e.Name]; pending != nil {
			if carriedOut(e, pending.order) {
				delete(p.pending, e.Name)
			} else if pending.order.Verb == VerbLoad {
				e.setLoaded(Loaded{Model: pending.order.Model, Version: pending.order.Version})
			}
		}
		free := e.Memory
		for _, l := range e.Loaded {
			free -= p.size(l.Model)
			if _, ok := p.loadedAt[placement{e.Name, l.Model}]; !ok {
				p.loadedAt[placement{e.Name, l.Model}] = now.Add(-p.settings.MinStay)
			}
		}
		f.free[e.Name] = free
	}
	return f
}

// carriedOut reports whether the reported state of the engine shows that it
// carried out the order.
func carriedOut(e *Engine, o Order) bool {
	version, loaded := e.loadedVersion(o.Model)
	switch o.Verb {
	case VerbLoad:
		return loaded && version == o.Version
	case VerbUnload:
		return !loaded
	default:
		return e.Role == o.Role
	}
}

// resend returns the overdue orders to send again, and removes the pending
// orders to engines that are no longer reported.
func (p *Planner) resend(f *fleet, now time.Time) []Order {
	var out []Order
	present := map[poplar.Upstream]bool{}
	for i := range f.engines {
		e := &f.engines[i]
		present[e.Name] = true
		pending := p.pending[e.Name]
		if pending == nil || now.Before(pending.resendAt) || !p.issuer.CanIssue(e, now) {
			continue
		}
		pending.resendAt = now.Add(p.settings.AnswerTimeout)
		out = append(out, pending.order)
	}
	for name := range p.pending {
		if !present[name] {
			delete(p.pending, name)
		}
	}
	return out
}

// trackUtilization records since when the utilization of each model has been
// above HighUtilization, or would be below LowUtilization with one engine
// fewer.
func (p *Planner) trackUtilization(f *fleet, demand Demand, now time.Time) {
	for _, m := range p.settings.Models {
		engines, slots := f.serving(m.Name)
		load := demand.Models[m.Name]
		trackSince(p.aboveSince, m.Name, load > p.settings.HighUtilization*slots, now)
		perEngine := slots / math.Max(float64(engines), 1)
		trackSince(p.belowSince, m.Name, engines > 0 && load < p.settings.LowUtilization*(slots-perEngine), now)
	}
}

func trackSince(since map[poplar.Model]time.Time, m poplar.Model, cond bool, now time.Time) {
	if _, ok := since[m]; cond && !ok {
		since[m] = now
	}
	if !cond {
		delete(since, m)
	}
}

// planLoad returns an order that loads m on another engine, or one that frees
// memory for it. It returns nil if m needs no further engine or the load must
// wait.
func (p *Planner) planLoad(f *fleet, m Model, now time.Time) []Order {
	reason, needed := p.loadReason(f, m, now)
	if !needed || p.pendingLoads() >= p.settings.MaxLoads || p.loadCredit < 0 {
		return nil
	}
	if e := p.findHost(f, m, now); e != nil {
		delete(p.aboveSince, m.Name)
		return p.issue(e, Order{Verb: VerbLoad, Model: m.Name, Version: m.Version, Reason: reason}, m.Size, now)
	}
	return p.planEviction(f, m, now)
}

// loadReason reports whether m needs another engine, and why.
func (p *Planner) loadReason(f *fleet, m Model, now time.Time) (Reason, bool) {
	engines, _ := f.serving(m.Name)
	outdated := f.outdated(m)
	since, above := p.aboveSince[m.Name]
	switch {
	case engines-outdated < m.MinEngines && engines < m.MinEngines:
		return ReasonMinEngines, true
	case engines >= m.MaxEngines && outdated == 0:
		return "", false
	case outdated > 0:
		return ReasonVersion, true
	case above && now.Sub(since) >= p.settings.RiseTime:
		return ReasonDemand, true
	default:
		return "", false
	}
}

// findHost returns the engine with the most free memory that can load m, or
// nil. The configured version may replace another version on an engine if no
// other load of m is pending. If no engine has the configured version yet, an
// engine that has not loaded m must load it first, if one has enough memory.
func (p *Planner) findHost(f *fleet, m Model, now time.Time) *Engine {
	var best *Engine
	for i := range f.engines {
		e := &f.engines[i]
		version, loaded := e.loadedVersion(m.Name)
		if loaded && version == m.Version || !p.eligible(e, m, now) {
			continue
		}
		if loaded && (p.hasPendingLoad(m.Name) || f.upToDate(m) == 0 && f.hasFreeMemory(m)) {
			continue
		}
		free := f.free[e.Name]
		if loaded {
			free += m.Size
		}
		if free >= m.Size && (best == nil || free > f.free[best.Name]) {
			best = e
		}
	}
	return best
}

// eligible reports whether an order for m may be sent to e, and whether e has
// loaded the base model that m needs.
func (p *Planner) eligible(e *Engine, m Model, now time.Time) bool {
	if p.pending[e.Name] != nil || !p.issuer.CanIssue(e, now) || slices.Contains(e.Forbidden, m.Name) {
		return false
	}
	if m.Base == "" {
		return true
	}
	_, loaded := e.loadedVersion(m.Base)
	return loaded
}

// planEviction returns an order that unloads another model to free memory for
// m, or nil if no model may be unloaded.
func (p *Planner) planEviction(f *fleet, m Model, now time.Time) []Order {
	for i := range f.engines {
		e := &f.engines[i]
		if _, loaded := e.loadedVersion(m.Name); loaded || !p.eligible(e, m, now) {
			continue
		}
		for _, l := range e.Loaded {
			if l.Model == m.Base || f.free[e.Name]+p.size(l.Model) < m.Size || !p.evictable(f, e, l, now) {
				continue
			}
			return p.issue(e, Order{Verb: VerbUnload, Model: l.Model, Version: l.Version, Reason: ReasonMemory}, 0, now)
		}
	}
	return nil
}

// evictable reports whether the model may be unloaded from e: it was loaded for
// long enough, its utilization was low for long enough, enough other engines
// serve it, and no adapter on e needs it. A model that is no longer configured
// only has to meet the first and the last condition.
func (p *Planner) evictable(f *fleet, e *Engine, l Loaded, now time.Time) bool {
	m, configured := p.model(l.Model)
	if p.hasAdapterOf(e, l.Model) || now.Sub(p.loadedAt[placement{e.Name, l.Model}]) < p.settings.MinStay {
		return false
	}
	if !configured {
		return true
	}
	since, below := p.belowSince[l.Model]
	return below && now.Sub(since) >= p.settings.FallTime && f.servingCount(l.Model) > max(m.MinEngines, 1)
}

// hasAdapterOf reports whether e has loaded an adapter that needs the model
// base.
func (p *Planner) hasAdapterOf(e *Engine, base poplar.Model) bool {
	for _, l := range e.Loaded {
		if m, ok := p.model(l.Model); ok && m.Base == base {
			return true
		}
	}
	return false
}

// unloadUnconfigured returns orders that unload models which are no longer
// configured.
func (p *Planner) unloadUnconfigured(f *fleet, now time.Time) []Order {
	var out []Order
	for i := range f.engines {
		e := &f.engines[i]
		for _, l := range e.Loaded {
			_, configured := p.model(l.Model)
			if configured || p.pending[e.Name] != nil || !p.issuer.CanIssue(e, now) || p.hasAdapterOf(e, l.Model) {
				continue
			}
			out = append(out, p.issue(e, Order{Verb: VerbUnload, Model: l.Model, Version: l.Version, Reason: ReasonUnconfigured}, 0, now)...)
		}
	}
	return out
}

// issue numbers an order for e and adds it to the pending orders. The size is
// the bytes to load, 0 for other orders.
func (p *Planner) issue(e *Engine, o Order, size float64, now time.Time) []Order {
	o.Upstream = e.Name
	o = p.issuer.assign(o)
	p.pending[e.Name] = &pendingOrder{order: o, resendAt: now.Add(p.settings.AnswerTimeout), size: size}
	p.loadCredit -= size
	if o.Verb == VerbLoad {
		p.loadedAt[placement{e.Name, o.Model}] = now
	}
	if o.Verb == VerbUnload {
		delete(p.loadedAt, placement{e.Name, o.Model})
		delete(p.belowSince, o.Model)
	}
	return []Order{o}
}

// accrueCredit adds to the credit the bytes that the weight store could deliver
// since the last call. The credit is at most the bytes of one second.
func (p *Planner) accrueCredit(now time.Time) {
	if !p.creditedAt.IsZero() {
		p.loadCredit += now.Sub(p.creditedAt).Seconds() * p.settings.StoreRate
	}
	p.loadCredit = min(p.loadCredit, p.settings.StoreRate)
	p.creditedAt = now
}

// pendingLoads returns the number of pending loads.
func (p *Planner) pendingLoads() int {
	n := 0
	for _, pending := range p.pending {
		if pending.order.Verb == VerbLoad {
			n++
		}
	}
	return n
}

// hasPendingLoad reports whether a load of the model is pending.
func (p *Planner) hasPendingLoad(name poplar.Model) bool {
	for _, pending := range p.pending {
		if pending.order.Verb == VerbLoad && pending.order.Model == name {
			return true
		}
	}
	return false
}

func (p *Planner) model(name poplar.Model) (Model, bool) {
	for _, m := range p.settings.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

func (p *Planner) size(name poplar.Model) float64 {
	m, _ := p.model(name)
	return m.Size
}
