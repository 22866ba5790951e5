package admit

import (
	"time"

	"poplarbend.example/poplar"
)

// This file holds what status shows of a gate. The structs are wire messages.

// Counts holds the totals of a gate by rank.
type Counts struct {
	Started [poplar.Ranks]uint64 `json:"started"`
	// Refused counts the requests that were not run: refused at once, late, or
	// left by their callers.
	Refused [poplar.Ranks]uint64 `json:"refused"`
}

// Status is the state of a gate at one moment.
type Status struct {
	Limit   float64               `json:"limit"`
	Open    [poplar.Ranks]int     `json:"open"`
	Waiting [poplar.Ranks]int     `json:"waiting"`
	Wait    [poplar.Ranks]float64 `json:"wait"` // predicted seconds for a new workspace
	Kept    [poplar.Ranks]float64 `json:"kept"` // places that the rank leaves free
	Counts  Counts                `json:"counts"`
}

// Status returns the state at now.
func (c *Core) Status(now time.Time) Status {
	s := Status{Limit: c.limit, Open: c.open, Counts: c.count}
	c.spares.note(c.open, now)
	for i := range c.queues {
		r := poplar.Rank(i)
		s.Waiting[i] = c.queues[i].Len()
		s.Wait[i] = c.rates[i].slotSeconds(c.queues[i].Cost()) / c.slots(r)
		s.Kept[i] = c.spares.kept(r, c.open, c.limit)
	}
	return s
}
