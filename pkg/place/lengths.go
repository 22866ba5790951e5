package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

const (
	// longPrompt is the number of uncached tokens from which a prompt
	// noticeably delays the streams at its upstream. The engine prefills it in
	// chunks, and each token of the running streams waits for one chunk. An event
	// of a stream carries several tokens, so it waits for several chunks.
	longPrompt = 14_000
	// lengthsTime is the time in which the weight of a prompt falls to 1/e. A router of a
	// large fleet gets three to six prompts a second, of which few are long.
	lengthsTime = time.Minute
	// minPrompts is the weight of prompts from which their lengths are used.
	minPrompts = 20.0
	// LongSteps is the number of steps in which the share of the upstreams for long prompts
	// changes. Routers observe different prompts; by coarse steps most of them agree.
	LongSteps = 16
	// stepMargin is the part of a step by which the share must be off before it changes,
	// more than half, so that it does not move to and fro.
	stepMargin = 0.75
)

// IsLongPrompt reports whether a prompt with the given number of uncached tokens
// is long.
func IsLongPrompt(uncached float64) bool { return uncached >= longPrompt }

// Lengths observes the lengths of prompts, and derives which share of the upstreams is to
// take the long ones: the share of the tokens that they bring. Both lengths then load
// their upstreams equally, and none is set aside while there are no long prompts. The zero
// value has observed nothing. It is not safe for concurrent use.
type Lengths struct {
	long, all, prompts float64 // invariant: uncached tokens of long and of all prompts, and their number, as of at
	at                 time.Time
	steps              int // invariant: 0 to LongSteps
}

// Add records a prompt by its uncached tokens.
func (l *Lengths) Add(uncached float64, now time.Time) {
	keep := math.Exp(-max(0, float64(now.Sub(l.at))/float64(lengthsTime)))
	l.long, l.all, l.prompts, l.at = l.long*keep, l.all*keep+uncached, l.prompts*keep+1, now
	if IsLongPrompt(uncached) {
		l.long += uncached
	}
}

// Steps returns the share of the upstreams for long prompts in steps of LongSteps.
func (l *Lengths) Steps() int {
	if l.prompts < minPrompts || l.all <= 0 {
		return l.steps
	}
	share := l.long / l.all * LongSteps
	if math.Abs(share-float64(l.steps)) > stepMargin {
		l.steps = int(math.Round(share))
	}
	return l.steps
}

// Share returns the share of the uncached tokens that long prompts bring.
func (l *Lengths) Share() float64 {
	if l.all <= 0 {
		return 0
	}
	return l.long / l.all
}

// LongPromptUpstreams returns the upstreams that are preferred for long prompts, by the
// given share; short prompts prefer the others. A router does not see the prompts that other
// routers have just sent. All routers therefore direct long prompts to the same
// upstreams, where they delay each other but not the short requests. The upstreams of a
// smaller share are among those of a larger one, so that routers that differ by a step
// agree on all others. Short prompts keep at least one upstream.
func LongPromptUpstreams(upstreams []poplar.Upstream, steps int) map[poplar.Upstream]bool {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b poplar.Upstream) int { return cmp.Compare(RendezvousWeight("", a), RendezvousWeight("", b)) })
	count := int(math.Round(float64(steps*len(sorted)) / LongSteps))
	preferred := make(map[poplar.Upstream]bool)
	for _, u := range sorted[:max(0, min(count, len(sorted)-1))] {
		preferred[u] = true
	}
	return preferred
}
