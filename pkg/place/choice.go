package place

import (
	"slices"

	"poplarbend.example/poplar"
)

// Prompt is the prompt of the request that is placed.
type Prompt struct {
	Tokens poplar.Tokens
	// Parts are the parts of the prompt in order. The last one belongs to the
	// request or its session, and other requests may share the ones before it.
	Parts []poplar.Part
	// MaxPause is the target for pauses between events, in milliseconds, and 0 if there
	// is none.
	MaxPause float64
}

// shared returns the number of tokens that other requests may share. They are
// cached at the home of the prompt.
func (p Prompt) shared() poplar.Tokens {
	sum := poplar.Tokens(0)
	for i := range len(p.Parts) - 1 {
		sum += p.Parts[i].Tokens
	}
	return sum
}

// Own returns the number of tokens that no other request shares.
func (p Prompt) Own() poplar.Tokens { return p.Tokens - p.shared() }

// homePart returns the part that decides on the home of the prompt: the last of
// the shared ones. The parts before it are cached wherever it is, but the earlier
// a part stands, the more requests share it: with a home for one of those, a few
// upstreams would get most of the traffic. homePart returns false if no part is
// shared.
func (p Prompt) homePart() (poplar.Part, bool) {
	if len(p.Parts) < 2 {
		return poplar.Part{}, false
	}
	return p.Parts[len(p.Parts)-2], true
}

// A prompt part that is recomputed costs the upstream more than the time of this
// request, because it evicts other parts from the cache. The penalty for it is
// recomputeWeight times its tokens, but at most its tokens plus maxExtraTokens.
const (
	recomputeWeight = 3.0
	maxExtraTokens  = 2400.0
)

// Choose returns the index of the upstream for a request, or -1 if all candidates
// are excluded. The candidates are the upstreams of one service. It changes their
// costs by what follows from the prompt and from the candidates together. random
// breaks ties.
//
// Choose answers loads in which every router sees a small part of the traffic: what
// a router has sent itself tells little about an upstream, so the home of a prompt
// and the separation of long prompts are derived from names that all routers know.
func (m CostModel) Choose(p Prompt, candidates []Candidate, random uint64) int {
	addHomePenalties(p, candidates)
	long := IsLongPrompt(float64(p.Own()))
	usual := medianFailureRatio(candidates)
	for i := range candidates {
		c := &candidates[i]
		c.LengthMismatch = p.Tokens > 0 && c.LongPrompts != long
		c.FailureRatio = max(0, c.FailureRatio-usual)
		if p.MaxPause > 0 {
			c.pauseExcess = max(0, c.Pause-p.MaxPause)
		}
	}
	limitSpeeds(candidates, random)
	return m.Pick(candidates, random)
}

// addHomePenalties adds tokens to the cost of each upstream that is not a home of
// the prompt. All routers derive the same homes from the names of the part and of the
// upstreams. While the home is busy, its requests go to the next one rather than to a
// random upstream, which would prefill the part once more: beyond the next home the
// penalty is higher by the tokens of the part.
func addHomePenalties(p Prompt, candidates []Candidate) {
	for i := range candidates {
		candidates[i].Prefill = candidates[i].Uncached
	}
	part, ok := p.homePart()
	if !ok {
		return
	}
	tokens := float64(part.Tokens)
	penalty := min(recomputeWeight*tokens, tokens+maxExtraTokens)
	own := float64(p.Own())
	homes := rankHomes(part.Name, candidates)
	for i := range candidates {
		c := &candidates[i]
		switch homes.rank(c.lengthClass(), c.weight) {
		case 0:
			if c.home = c.Usable; c.home {
				c.Prefill = min(c.Prefill, own)
			}
		case 1:
			c.Uncached += penalty
		default:
			c.Uncached += penalty + tokens
		}
	}
}

// medianFailureRatio returns the median of the candidates' failure ratios, which
// is taken as the usual ratio of the service.
func medianFailureRatio(candidates []Candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	var few [SampleSize]float64
	ratios := few[:0]
	failing := false
	for i := range candidates {
		failing = failing || candidates[i].FailureRatio > 0
		ratios = append(ratios, candidates[i].FailureRatio)
	}
	if !failing {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}
