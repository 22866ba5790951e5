// Package place chooses the upstream of a request from what one router knows:
// what upstreams said of their load, what the router itself has sent since, where
// parts of prompts are likely to be cached, and how upstreams answered of late.
//
// It answers the ordinary load and the floods: with free upstreams it prefers
// the one that has the prompt cached and is near; as load grows the wait
// outweighs both. Many routers see the same stale reports, so each counts its own
// sends at once, and ties are broken by a number drawn for the request.
package place

import (
	"cmp"
	"math"
	"slices"

	"poplarbend.example/poplar"
)

// This file holds the choice.

// Model is the cost of work at an upstream. The figures are those of batching
// engines on current accelerators; they set how waits and cached prompts are
// weighed against each other, no bound depends on them.
type Model struct {
	// Prefill is the number of prompt tokens read in a millisecond.
	Prefill float64
	// Waiting is the time that each waiting request adds, and Running that of
	// each running one, in milliseconds.
	Waiting, Running float64
	// Remote is the cost of another failure domain, in milliseconds.
	Remote float64
	// Failing is the cost of an upstream whose answers all fail, in
	// milliseconds.
	Failing float64
	// Misfit is the cost of a long prompt at an upstream for short ones and the
	// other way round, in milliseconds.
	Misfit float64
	// Suspect is the cost of an upstream that is silent or does not take
	// connections, in milliseconds.
	Suspect float64
}

// DefaultModel returns the model of engines.
func DefaultModel() Model {
	return Model{Prefill: 60, Waiting: 12, Running: 1.2, Remote: 10, Failing: 2000, Misfit: 90, Suspect: 60_000}
}

// Candidate is one upstream as the router sees it.
type Candidate struct {
	// Running and Waiting are what the upstream told, brought up to date by the
	// router's own sends.
	Running, Waiting float64
	// Slots is the number of requests that run at once.
	Slots float64
	// Unread is the number of prompt tokens that this router has sent there and
	// that are not read yet, and Missing those of the request that are not
	// cached there.
	Unread, Missing float64
	// Failures is the portion of recent answers that failed, beyond what is
	// usual for the service.
	Failures float64
	// Misfit is true where prompts of another length are preferred; see Long.
	Misfit bool
	// Local is true in the router's own failure domain.
	Local bool
	// Suspect is true for an upstream that is silent or does not connect.
	Suspect bool
	// Closed is true for an upstream that must not be chosen.
	Closed bool
}

// Cost returns the expected time to the first byte at c, in milliseconds.
func (m Model) Cost(c Candidate) float64 {
	cost := (c.Unread + c.Missing) / m.Prefill
	cost += c.Running * m.Running
	waiting := c.Waiting
	if c.Slots > 0 && c.Running > c.Slots {
		waiting += c.Running - c.Slots
	}
	cost += waiting * m.Waiting
	if !c.Local {
		cost += m.Remote
	}
	if c.Misfit {
		cost += m.Misfit
	}
	cost += c.Failures * m.Failing
	if c.Suspect {
		cost += m.Suspect
	}
	return cost
}

// tie is the difference of costs that is decided by the draw, in milliseconds.
const tie = 1.0

// Pick returns the index of the candidate with the least cost, or -1 when all
// are closed.
func (m Model) Pick(list []Candidate, draw uint64) int {
	best, least := -1, math.Inf(1)
	for i := range list {
		if list[i].Closed {
			continue
		}
		jitter := float64((draw*uint64(2*i+1)+uint64(i)*0x9e3779b97f4a7c15)>>40) / (1 << 24) * tie
		if cost := m.Cost(list[i]) + jitter; cost < least {
			best, least = i, cost
		}
	}
	return best
}

const (
	// longPrompt is the number of tokens to be read from which a prompt holds up
	// the streams at its upstream: while it is read in parts, each token of
	// theirs waits for one, and an event has several tokens.
	longPrompt = 14_000
	// longShare is the portion of the upstreams that long prompts prefer.
	longShare = 0.25
)

// Long reports whether a prompt of which so many tokens are not cached is long.
func Long(missing float64) bool { return missing >= longPrompt }

// Longs returns which of the upstreams long prompts prefer; short ones prefer
// the others. A router does not see the prompts that others have just sent, so
// all of them keep the long ones to the same few upstreams, where they delay
// each other and not the short ones. It answers a mix in which few long prompts
// carry most of the tokens.
func Longs(upstreams []poplar.Upstream) map[poplar.Upstream]bool {
	order := slices.Clone(upstreams)
	slices.SortFunc(order, func(a, b poplar.Upstream) int { return cmp.Compare(Spread("", a), Spread("", b)) })
	longs := make(map[poplar.Upstream]bool)
	for _, u := range order[:int(math.Ceil(longShare*float64(len(order))))] {
		longs[u] = true
	}
	return longs
}

// Home is an upstream that may be the home of a prompt part.
type Home struct {
	Upstream poplar.Upstream
	// Long is true for one that long prompts prefer. Short and long prompts have
	// homes of their own.
	Long bool
	// Usable is true for one that takes work.
	Usable bool
}

// mostHomes is the number of upstreams that a part is kept at. Each more reads the
// part once more, and the wait at one home outweighs that only when it is busy.
const mostHomes = 1

// Homes returns, for each upstream of the list, how many usable ones of its kind
// come before it as homes of the part, up to mostHomes. It reads each upstream
// once, since it is asked for every request.
func Homes(part string, list []Home) []int {
	weights := make([]uint64, len(list))
	var first [2][mostHomes]uint64 // the largest weights of usable ones, by kind
	for i, h := range list {
		weights[i] = Spread(part, h.Upstream)
		if !h.Usable {
			continue
		}
		top := &first[kind(h)]
		for n, rest := 0, weights[i]; n < mostHomes; n++ {
			top[n], rest = max(top[n], rest), min(top[n], rest)
		}
	}
	before := make([]int, len(list))
	for i, h := range list {
		for _, weight := range first[kind(h)] {
			if weight > weights[i] {
				before[i]++
			}
		}
	}
	return before
}

func kind(h Home) int {
	if h.Long {
		return 1
	}
	return 0
}

// Spread returns the weight of an upstream for a prompt part, by rendezvous
// hashing: all routers prefer the same few upstreams for a part without telling
// each other.
func Spread(part string, upstream poplar.Upstream) uint64 {
	const prime = 1099511628211
	h := uint64(14695981039346656037)
	for i := range len(part) {
		h = (h ^ uint64(part[i])) * prime
	}
	h = (h ^ '/') * prime
	for i := range len(upstream) {
		h = (h ^ uint64(upstream[i])) * prime
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}
