package order

import (
	"maps"
	"slices"
)

// Pending returns the orders that have no answer yet, sorted by engine name.
func (p *Planner) Pending() []Order {
	all := make([]Order, 0, len(p.pending))
	for _, name := range slices.Sorted(maps.Keys(p.pending)) {
		all = append(all, p.pending[name].order)
	}
	return all
}

// Reconcile removes the pending orders that the reported state shows as carried
// out, and those to engines that are no longer reported. Plan does the same.
func (p *Planner) Reconcile(engines []Engine) {
	for name, pending := range p.pending {
		i := slices.IndexFunc(engines, func(e Engine) bool { return e.Name == name })
		if i < 0 || carriedOut(&engines[i], pending.order) {
			delete(p.pending, name)
		}
	}
}
