package proxy

import (
	"hash/maphash"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"poplarbend.example/poplar/pkg/place"
)

// choice is the upstream that was chosen for an attempt, with what the choice was based on.
type choice struct {
	upstream  *upstream // nil if there is none
	candidate place.Candidate
	predicted float64 // predicted time of the prefill at the usual speed, in ms
	at        time.Time
	loadAt    time.Time // of the last load report, zero without one
	speedAt   time.Time // of the last speed report, zero without one
}

// choiceBuffer is the memory of one choice.
type choiceBuffer struct {
	indexes    [place.SampleSize + heardUpstreams]int
	candidates [place.SampleSize + heardUpstreams]place.Candidate
}

var choiceBuffers = sync.Pool{New: func() any { return new(choiceBuffer) }}

// newChoice returns the choice of u at now.
func newChoice(m place.CostModel, u *upstream, c place.Candidate, now time.Time) choice {
	loadAt, speedAt := u.reportTimes()
	return choice{upstream: u, candidate: c, predicted: m.PrefillTime(&c), at: now, loadAt: loadAt, speedAt: speedAt}
}

// logFields returns the fields of the request's line.
func (c *choice) logFields() []any {
	if c.upstream == nil {
		return nil
	}
	fields := []any{
		"predicted_ms", int64(c.predicted), "pending", int64(c.candidate.PendingPrefill), "slowness", hundredths(c.candidate.Slowness),
		"crowding", hundredths(c.candidate.Crowding), "home", c.candidate.AtHome(),
	}
	if !c.loadAt.IsZero() {
		fields = append(fields, "load_age_ms", c.at.Sub(c.loadAt).Milliseconds())
	}
	if !c.speedAt.IsZero() {
		fields = append(fields, "speed_age_ms", c.at.Sub(c.speedAt).Milliseconds())
	}
	return fields
}

// hundredths rounds a ratio for a log line.
func hundredths(ratio float64) float64 { return math.Round(ratio*100) / 100 }

// reportTimes returns the times of the last reports of the load and of the speed.
func (u *upstream) reportTimes() (load, speed time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loadAt, u.estimate.ReportedAt()
}

// pick chooses the next upstream. It returns none if there is none.
func (x *exchange) pick() choice {
	latest := x.p.view.Load() // x.view may be outdated by now
	group, prepared := latest.services[x.service], latest.groups[x.service]
	if len(group) == 0 {
		return choice{}
	}
	prompt := x.prompt()
	s := choiceBuffers.Get().(*choiceBuffer)
	defer choiceBuffers.Put(s)
	sample := prepared.Sample(s.indexes[:0], prompt, func(i int) bool { return group[i].usable() }, rand.IntN)
	if len(sample) < len(group) {
		sample = x.appendHeard(sample, latest)
	}
	chosen := x.pickOf(latest, prompt, sample, s.candidates[:0])
	// Where the request fits into no upstream on the mean, a look at all of them costs most
	// and finds little.
	full := chosen.upstream != nil && chosen.candidate.Full() && x.usualCrowding(latest) <= 1
	if (chosen.upstream == nil || chosen.candidate.Suspect || full) && len(sample) < len(group) {
		all := make([]int, len(group))
		for i := range all {
			all[i] = i
		}
		chosen = x.pickOf(latest, prompt, all, nil)
	}
	return chosen
}

// prompt returns the prompt of the request as input for the placement.
func (x *exchange) prompt() place.Prompt {
	prompt := place.Prompt{Tokens: x.env.Prompt, Parts: x.env.Parts}
	if x.route != nil && x.route.Kind.Streams() {
		prompt.MaxPause = milliseconds(x.route.MaxEventGap)
	}
	return prompt
}

// pickOf chooses among the upstreams with the given indexes. The candidates are made in the
// given buffer, which is empty.
func (x *exchange) pickOf(v *view, prompt place.Prompt, indexes []int, candidates []place.Candidate) choice {
	group, prepared := v.services[x.service], v.groups[x.service]
	now := time.Now()
	b := x.bounds(v)
	paces := x.p.pacer(v, now)
	for _, i := range indexes {
		u := group[i]
		c := u.candidate(prompt, &b, now)
		c.Excluded = c.Excluded || x.tried[u] || !paces.allows(u)
		c.Hash, c.LongPrompts = prepared.Hash(i), prepared.LongPrompts(i)
		candidates = append(candidates, c)
	}
	n := x.p.model.Choose(prompt, candidates, maphash.String(hashSeed, x.env.ID))
	if n < 0 {
		return choice{}
	}
	return newChoice(x.p.model, group[indexes[n]], candidates[n], now)
}
