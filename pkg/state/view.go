package state

import (
	"cmp"
	"maps"
	"slices"

	"poplarbend.example/poplar"
)

// This file implements the read-only views of a State for planners and operators.

// Holding is the share of a budget in one domain.
type Holding struct {
	Domain poplar.Domain
	// Issued and Returned are cumulative.
	Issued   poplar.Tokens
	Returned poplar.Tokens
	// Lost is written off by a forced takeover and counts as spent.
	Lost poplar.Tokens
}

// Budget is the state of one budget in the replicated log.
type Budget struct {
	Name      poplar.Budget
	Workspace poplar.Workspace
	// Serial is the index at which the budget was created. A budget that is
	// deleted, closed in all domains and declared again gets a new one.
	Serial  poplar.Index
	Granted poplar.Tokens
	// Out is the sum of issued - returned over all domains. It includes spent
	// tokens and unspent tokens of the domains.
	Out poplar.Tokens
	// Free is the number of tokens that can still be issued.
	Free poplar.Tokens
	// Pending is the number of tokens that the domains must still return after
	// the grant was lowered.
	Pending poplar.Tokens
	// Deleted marks a tombstone.
	Deleted  bool
	Holdings []Holding
}

// Budget returns the named budget and whether it exists.
func (s *State) Budget(name poplar.Budget) (Budget, bool) {
	id := s.table.find(name)
	if id < 0 {
		return Budget{}, false
	}
	return s.budget(id), true
}

// Budgets calls yield for each budget and tombstone, in the order of table rows,
// until yield returns false.
func (s *State) Budgets(yield func(Budget) bool) {
	for id := range s.table.rows {
		if s.table.rows[id].name != "" && !yield(s.budget(id)) {
			return
		}
	}
}

// Size returns the number of budgets and tombstones.
func (s *State) Size() int { return len(s.table.byName) }

func (s *State) budget(id int) Budget {
	r := &s.table.rows[id]
	b := Budget{
		Name: r.name, Workspace: r.workspace, Serial: r.serial, Granted: r.granted(),
		Out: r.outstanding, Free: r.available(), Pending: r.pending(), Deleted: r.deleted,
	}
	for _, c := range s.table.columns {
		if x := c.lookup(id); x != nil && x.issued > 0 {
			l := c.losses[id]
			b.Holdings = append(b.Holdings, Holding{Domain: c.name, Issued: x.issued, Returned: x.returned, Lost: l.Lost - l.Found})
		}
	}
	slices.SortFunc(b.Holdings, func(a, b Holding) int { return cmp.Compare(a.Domain, b.Domain) })
	return b
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
