package admit

import (
	"time"

	"poplarbend.example/poplar"
)

// Counts and Status are wire messages.

// Counts holds the totals of a gate by rank.
type Counts struct {
	Started [poplar.Ranks]uint64 `json:"started"`
	// Refused counts the requests that were not run because they were refused at
	// once, expired while waiting, or were cancelled by their callers.
	Refused [poplar.Ranks]uint64 `json:"refused"`
}

// Status is a snapshot of a gate.
type Status struct {
	Limit    float64               `json:"limit"` // 0 if there is no limit
	Open     [poplar.Ranks]int     `json:"open"`
	Waiting  [poplar.Ranks]int     `json:"waiting"`
	Wait     [poplar.Ranks]float64 `json:"wait"` // predicted wait of a new workspace, in seconds
	Headroom [poplar.Ranks]float64 `json:"kept"` // slots that the rank leaves free for more urgent ranks
	Counts   Counts                `json:"counts"`
}

// Status returns the status at now.
func (c *Core) Status(now time.Time) Status {
	s := Status{Limit: c.limit, Open: c.open, Counts: c.counts}
	c.headroom.update(c.open, now)
	if c.unlimited() {
		s.Limit = 0
		return s // nothing waits, and no slots are kept
	}
	for i := range c.queues {
		r := poplar.Rank(i)
		s.Waiting[i] = c.queues[i].Len()
		s.Wait[i] = c.rates[i].slotSeconds(c.queues[i].Cost()) / c.slots(r)
		s.Headroom[i] = c.headroom.reserved(r, c.open, c.limit)
	}
	return s
}
