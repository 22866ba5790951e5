package order

import (
	"math"
	"time"

	"poplarbend.example/poplar"
)

// This file implements queries on the planned state of the fleet, and role
// changes.

// serving returns the number of engines that serve the model and the number of
// slots they give it. An engine divides its slots evenly among its loaded
// models.
func (f *fleet) serving(model poplar.Model) (engines int, slots float64) {
	for i := range f.engines {
		if _, loaded := f.engines[i].loadedVersion(model); loaded {
			engines++
			slots += float64(f.engines[i].Slots) / float64(len(f.engines[i].Loaded))
		}
	}
	return engines, slots
}

func (f *fleet) servingCount(model poplar.Model) int {
	n, _ := f.serving(model)
	return n
}

// upToDate returns the number of engines that have loaded the configured
// version of m.
func (f *fleet) upToDate(m Model) int { return f.servingCount(m.Name) - f.outdated(m) }

// outdated returns the number of engines that have loaded another version of m.
func (f *fleet) outdated(m Model) int {
	n := 0
	for i := range f.engines {
		if version, loaded := f.engines[i].loadedVersion(m.Name); loaded && version != m.Version {
			n++
		}
	}
	return n
}

// hasFreeMemory reports whether an engine that has not loaded m has enough
// memory for it.
func (f *fleet) hasFreeMemory(m Model) bool {
	for i := range f.engines {
		e := &f.engines[i]
		if _, loaded := e.loadedVersion(m.Name); !loaded && f.free[e.Name] >= m.Size {
			return true
		}
	}
	return false
}

// planRole returns an order that changes the role of one engine, toward the
// demand, if the number of prefill engines differs from the demand by more than
// one.
func (p *Planner) planRole(f *fleet, demand Demand, now time.Time) []Order {
	if demand.PrefillShare <= 0 {
		return nil
	}
	total, prefill := 0, 0
	for i := range f.engines {
		if role := f.engines[i].Role; role == RolePrefill || role == RoleDecode {
			total++
		}
		if f.engines[i].Role == RolePrefill {
			prefill++
		}
	}
	missing := demand.PrefillShare*float64(total) - float64(prefill)
	if math.Abs(missing) <= 1 {
		return nil
	}
	from, to := RoleDecode, RolePrefill
	if missing < 0 {
		from, to = to, from
	}
	for i := range f.engines {
		e := &f.engines[i]
		tooSoon := now.Sub(p.roleChangedAt[e.Name]) < p.settings.MinStay
		if e.Role != from || tooSoon || p.pending[e.Name] != nil || !p.issuer.CanIssue(e, now) {
			continue
		}
		p.roleChangedAt[e.Name] = now
		return p.issue(e, Order{Verb: VerbRole, Role: to, Reason: ReasonBalance}, 0, now)
	}
	return nil
}
