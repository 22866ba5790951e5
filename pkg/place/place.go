// Package place chooses the upstream of a request by predicted cost: the load
// that upstreams reported, the requests that this router has sent since, the
// prompt parts that are probably cached at each upstream, and the upstreams'
// recent failures.
//
// At low load the prompt cache and the failure domain decide. As load grows,
// the queueing delay outweighs both. All routers see the same stale reports,
// so each router adds its own requests to its view at once, and a random
// number per request breaks ties.
package place

import (
	"math"

	"poplarbend.example/poplar"
)

// CostModel contains the coefficients of the cost function. The default values
// are typical of batching engines on current accelerators. They only weigh
// delays and cached prompts against each other; no limit is derived from them.
type CostModel struct {
	// PrefillPerMs is the number of prompt tokens prefilled per millisecond.
	PrefillPerMs float64
	// PerWaiting and PerRunning are the delays that each waiting and each
	// running request adds, in milliseconds.
	PerWaiting, PerRunning float64
	// RemotePenalty is the cost of an upstream in another failure domain, in
	// milliseconds.
	RemotePenalty float64
	// FailurePenalty is the cost of an upstream whose responses all fail, in
	// milliseconds. It is scaled by the failure ratio.
	FailurePenalty float64
	// MismatchPenalty is the cost of a long prompt at an upstream that is
	// preferred for short ones, or the reverse, in milliseconds.
	MismatchPenalty float64
	// SuspectPenalty is the cost of an upstream that is silent or does not
	// accept connections, in milliseconds.
	SuspectPenalty float64
	// CrowdPenalty is the cost of an upstream whose memory is full, in milliseconds. It is
	// scaled by Candidate.Crowding. FullPenalty is the cost of one into which the request
	// does not fit.
	CrowdPenalty, FullPenalty float64
	// PerStream is the cost of delaying one urgent stream beside the prefill, as a part of
	// the time of the prefill.
	PerStream float64
	// PauseWeight is the cost of each millisecond by which the predicted pause between
	// events exceeds the target, since a stream has several events.
	PauseWeight float64
}

// DefaultCostModel returns the coefficients for inference engines.
func DefaultCostModel() CostModel {
	return CostModel{PrefillPerMs: 60, PerWaiting: 12, PerRunning: 1.2, RemotePenalty: 10, FailurePenalty: 2000, MismatchPenalty: 90, SuspectPenalty: 60_000, PauseWeight: 10, PerStream: 0.02, CrowdPenalty: 300, FullPenalty: 20_000}
}

// Candidate is one upstream as this router sees it.
type Candidate struct {
	// Upstream is the name of the upstream, by which all routers agree on homes.
	Upstream poplar.Upstream
	// Hash is HashUpstream of the name, and 0 to have it computed.
	Hash uint64
	// Usable is true for an upstream that accepts work and is not silent. Only such
	// an upstream is the home of a prompt part, at which the part is cached.
	Usable bool
	// LongPrompts is true for an upstream that is preferred for long prompts. Short
	// and long prompts have separate homes.
	LongPrompts bool
	// Running and Waiting are the request counts that the upstream reported,
	// updated with the requests that this router has sent since.
	Running, Waiting float64
	// Slots is the number of requests that the upstream runs concurrently.
	Slots float64
	// PendingPrefill is the number of prompt tokens that this router has sent to
	// the upstream and that are not prefilled yet. Uncached is the number of
	// prompt tokens of the current request that are not cached there.
	PendingPrefill, Uncached float64
	// Slowness and StepSlowness are the times of prefills and steps at the upstream over
	// those that are usual for the service, see pkg/speed. 0 stands for 1.
	Slowness, StepSlowness float64
	// Pause is the predicted pause between events, in milliseconds, and 0 if unknown.
	Pause float64
	// Crowding is 0 if the upstream has enough memory, and more than 1 if the request does
	// not fit there, see pkg/room.
	Crowding float64
	// Streams is the number of streams that run there, each weighed by its rank from 0 to 1.
	Streams float64
	// Prefill is the number of prompt tokens of the request that will probably be
	// prefilled. Other than Uncached, it leaves out what other routers have probably had
	// cached at the home of the prompt. It is set by Choose.
	Prefill float64
	// drawn is true for an upstream that may win by its speed, see limitSpeeds.
	drawn bool
	// home is true for the home of the prompt.
	home bool
	// weight is the rendezvous weight for the part that decides on the home.
	weight uint64
	// pauseExcess is the time by which Pause exceeds the target.
	pauseExcess float64
	// FailureRatio is the ratio of recent responses that failed. Choose takes the
	// usual ratio of the service off.
	FailureRatio float64
	// LengthMismatch is true if the upstream is preferred for long prompts and
	// the prompt is short, or the reverse; see IsLongPrompt. It is set by Choose.
	LengthMismatch bool
	// Local is true for an upstream in the router's own failure domain.
	Local bool
	// Suspect is true for an upstream that is silent or does not accept
	// connections.
	Suspect bool
	// Excluded is true for an upstream that must not be chosen.
	Excluded bool
}

// Cost returns the predicted time to the first event at c plus penalties, in
// milliseconds.
func (m CostModel) Cost(c *Candidate) float64 {
	step := factor(c.StepSlowness)
	cost := (c.PendingPrefill + c.Uncached) / m.PrefillPerMs
	cost += (factor(c.Slowness) - 1) * m.PrefillTime(c)
	cost += c.Running * m.PerRunning * step
	waiting := c.Waiting
	if c.Slots > 0 && c.Running > c.Slots {
		waiting += c.Running - c.Slots
	}
	cost += waiting * m.PerWaiting * step
	cost += m.PerStream * c.Streams * c.Prefill / m.PrefillPerMs
	cost += c.pauseExcess * m.PauseWeight
	if !c.Local {
		cost += m.RemotePenalty
	}
	if c.LengthMismatch {
		cost += m.MismatchPenalty
	}
	cost += c.FailureRatio * m.FailurePenalty
	cost += c.Crowding * m.CrowdPenalty
	if c.Full() {
		cost += m.FullPenalty
	}
	if c.Suspect {
		cost += m.SuspectPenalty
	}
	return cost
}

// Full reports whether the request does not fit into the memory or the slots.
func (c *Candidate) Full() bool { return c.Crowding > 1 }

// AtHome reports whether the upstream is the home of the prompt, once Choose was called.
func (c *Candidate) AtHome() bool { return c.home }

// PrefillTime returns the time until the prompt is prefilled at the usual speed, in
// milliseconds, from what this router knows.
func (m CostModel) PrefillTime(c *Candidate) float64 {
	return (c.PendingPrefill + c.Prefill) / m.PrefillPerMs
}

// factor returns a slowness, with 0 for the usual one.
func factor(slowness float64) float64 {
	if slowness <= 0 {
		return 1
	}
	return slowness
}

// tieBreakRange is the upper limit of the random cost that breaks ties, in
// milliseconds.
const tieBreakRange = 1.0

// Pick returns the index of the candidate with the lowest cost, or -1 if all
// are excluded. random breaks ties between candidates of nearly equal cost.
func (m CostModel) Pick(candidates []Candidate, random uint64) int {
	best, lowest := -1, math.Inf(1)
	for i := range candidates {
		if candidates[i].Excluded {
			continue
		}
		jitter := float64((random*uint64(2*i+1)+uint64(i)*0x9e3779b97f4a7c15)>>40) / (1 << 24) * tieBreakRange
		if cost := m.Cost(&candidates[i]) + jitter; cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}
