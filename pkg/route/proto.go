package route

import (
	"time"

	"poplarbend.example/poplar"
)

// This file defines the wire messages in which upstreams describe themselves.

// Offer is an upstream's announcement of its capabilities.
type Offer struct {
	Name   poplar.Upstream `json:"name"`
	Domain poplar.Domain   `json:"domain"`
	// Models are the models and adapters that the upstream has loaded.
	Models []poplar.Model `json:"models,omitempty"`
	// Services are the plain services, those without models, that the upstream
	// serves.
	Services []poplar.Service `json:"services,omitempty"`
	// Slots is the number of requests that run concurrently; 0 means
	// DefaultSlots.
	Slots int `json:"slots,omitempty"`
	// PrefillRate is the number of prompt tokens prefilled per second; 0 means
	// DefaultPrefill.
	PrefillRate float64 `json:"prefill,omitempty"`
	// ServiceTime is the time, in seconds, for which a typical request occupies
	// a slot; 0 means DefaultServiceTime. Measured times replace it.
	ServiceTime float64 `json:"hold,omitempty"`
}

// Report is an upstream's load at a past moment. The zero Report means that
// none has arrived.
type Report struct {
	// Seq numbers the reports of one upstream. The receiver drops a report
	// with a lower number than one already seen.
	Seq uint64 `json:"seq"`
	// At is when the load was measured, by the receiver's clock: the time of
	// receipt less the age that the upstream states.
	At time.Time `json:"at"`
	// Running counts the requests that occupy a slot, by rank.
	Running [poplar.Ranks]int `json:"running"`
	// Waiting counts the requests in the upstream's queue, by rank.
	Waiting [poplar.Ranks]int `json:"waiting"`
	// PendingPrefill is the number of accepted prompt tokens that await prefill.
	PendingPrefill poplar.Tokens `json:"unread"`
}

// Outstanding returns the number of running and waiting requests of rank and of
// the more urgent ranks.
func (r *Report) Outstanding(rank poplar.Rank) int {
	n := 0
	for i := poplar.Urgent; i <= rank && i.Valid(); i++ {
		n += r.Running[i] + r.Waiting[i]
	}
	return n
}

// aheadShare returns the share of all requests that a new request of rank waits
// for: all but those in the queue at less urgent ranks.
func (r *Report) aheadShare(rank poplar.Rank) float64 {
	total, behind := r.Outstanding(poplar.Bulk), 0
	for i := rank + 1; i.Valid(); i++ {
		behind += r.Waiting[i]
	}
	if behind == 0 {
		return 1
	}
	return float64(total-behind) / float64(total)
}
