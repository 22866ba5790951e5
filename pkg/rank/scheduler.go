package rank

import "poplarbend.example/poplar"

// Scheduler decides which rank is served next. It is not safe for concurrent
// use; the caller serializes calls.
//
// While rank r has work waiting, the cost served to it falls short of Floor
// times the total cost served by at most the cost of one request of r plus one
// request of another rank.
type Scheduler struct {
	settings Settings
	deficit  [poplar.Ranks]float64 // invariant: >= 0; cost that the rank's floor guarantees and that is not served yet
}

// NewScheduler returns a scheduler without deficits.
func NewScheduler(settings Settings) *Scheduler { return &Scheduler{settings: settings} }

// SetSettings replaces the settings, for example after a configuration change.
func (s *Scheduler) SetSettings(settings Settings) { s.settings = settings }

// Settings returns the settings in force.
func (s *Scheduler) Settings() Settings { return s.settings }

// HeadCosts is the cost of the first waiting request of each rank, or 0 if the
// rank has no waiting request.
type HeadCosts [poplar.Ranks]float64

// AtFloor states which ranks currently occupy at least their floor of the
// capacity. Such a rank is not served by its floor, whatever its deficit, because
// service that other ranks already got cannot be taken back.
type AtFloor [poplar.Ranks]bool

// Next returns the rank to serve next, and whether it is chosen because of its
// floor instead of its urgency. ok is false if nothing waits.
func (s *Scheduler) Next(heads HeadCosts, atFloor AtFloor) (r poplar.Rank, byFloor, ok bool) {
	best := 0.0
	for i := poplar.Rank(0); i.Valid(); i++ {
		if heads[i] <= 0 {
			continue
		}
		if !ok {
			r, ok = i, true
		}
		if ratio := s.deficit[i] / heads[i]; ratio >= 1 && ratio > best && !atFloor[i] {
			r, best, byFloor = i, ratio, true
		}
	}
	return r, byFloor, ok
}

// Deficit returns the deficit of rank r: the cost that its floor guarantees and
// that is not served yet.
func (s *Scheduler) Deficit(r poplar.Rank) float64 { return s.deficit[r] }

// RecordStart records that a request of rank r and the given cost starts. heads
// are the costs of the first waiting requests before the start. It resets the
// deficits of the other ranks without waiting work. capacity is the cost that the
// whole capacity can serve while this request is served, at least cost: floors
// are shares of the capacity, used or not.
func (s *Scheduler) RecordStart(r poplar.Rank, cost, capacity float64, heads HeadCosts) {
	for i := range s.deficit {
		if heads[i] <= 0 && poplar.Rank(i) != r {
			s.deficit[i] = 0
			continue
		}
		s.deficit[i] += s.settings[i].Floor * max(capacity, cost)
	}
	s.deficit[r] = max(s.deficit[r]-cost, 0)
}
