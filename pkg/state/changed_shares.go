package state

import (
	"cmp"
	"slices"

	"poplarbend.example/poplar"
)

// SharesAfter returns the shares that changed after index, sorted by budget.
func (f *Follower) SharesAfter(index poplar.Index) []ShareItem {
	var items []ShareItem
	for _, item := range f.shares {
		if item.At > index {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b ShareItem) int { return cmp.Compare(a.Budget, b.Budget) })
	return items
}
