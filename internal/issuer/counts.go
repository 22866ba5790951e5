package issuer

import (
	"sync/atomic"

	"poplarbend.example/poplar"
)

// Counts holds the totals of one daemon since its start.
type Counts struct {
	// Fence is the fence of the current term, or 0 without the lease.
	Fence poplar.Fence `json:"fence"`
	// Terms counts how often the lease was taken.
	Terms int64 `json:"terms"`
	// Given, Refused and Lost count the sent orders that were accepted, refused
	// and not answered.
	Given   int64 `json:"given"`
	Refused int64 `json:"refused"`
	Lost    int64 `json:"lost"`
}

// counts holds the counters for Counts.
type counts struct {
	terms, given, refused, lost atomic.Int64
}

// Counts returns the totals.
func (i *Issuer) Counts() Counts {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := Counts{
		Terms: i.counts.terms.Load(), Given: i.counts.given.Load(),
		Refused: i.counts.refused.Load(), Lost: i.counts.lost.Load(),
	}
	if i.term != nil {
		c.Fence = i.term.fence
	}
	return c
}
