package route

import (
	"fmt"
	"math"
	"time"

	"poplarbend.example/poplar"
)

// Reason states why an upstream was chosen for a request, or why none was.
type Reason string

// The first four reasons are returned with an upstream, the others without one.
const (
	// ReasonLoad: the shortest predicted wait among the scored upstreams.
	ReasonLoad Reason = "load"
	// ReasonPrefix: the cached prefix outweighs a longer wait.
	ReasonPrefix Reason = "prefix"
	// ReasonSpill: an upstream in another failure domain has the lowest score
	// although RemotePenalty is added to it.
	ReasonSpill Reason = "spill"
	// ReasonExclusive: one of the least loaded upstreams, for a request that
	// must run alone.
	ReasonExclusive Reason = "alone"
	// ReasonNotServed: no upstream serves the model or service.
	ReasonNotServed Reason = "unknown"
	// ReasonUnavailable: all upstreams that serve it are leaving, silent or ejected.
	ReasonUnavailable Reason = "away"
	// ReasonFull: all upstreams that could take it are at their limits.
	ReasonFull Reason = "full"
)

// Request describes a request to the extent that the choice depends on it.
type Request struct {
	model      poplar.Model
	service    poplar.Service
	rank       poplar.Rank
	prompt     poplar.Tokens // invariant: >= 0
	blocks     []uint64
	avoid      poplar.Upstream
	exclusive  bool
	belowFloor bool
}

// ForModel returns a request to an engine. prompt is the estimated number of
// prompt tokens. blocks are the prefix hashes returned by HashBlocks and may be
// nil.
func ForModel(model poplar.Model, rank poplar.Rank, prompt poplar.Tokens, blocks []uint64) Request {
	return Request{model: model, rank: rank, prompt: max(prompt, 0), blocks: blocks}
}

// ForService returns a request to a plain service, that is, one without models.
// Such a request has no prompt.
func ForService(service poplar.Service, rank poplar.Rank) Request {
	return Request{service: service, rank: rank}
}

// Avoid returns a copy of r for a retry after a failure at the named upstream,
// which is then chosen only if no other can take the request.
func (r Request) Avoid(name poplar.Upstream) Request {
	r.avoid = name
	return r
}

// Exclusive returns a copy of r that must run alone, because it is suspected to
// have crashed an upstream: one of the least loaded upstreams is chosen. The
// caller must call AcquireExclusive on its LocalState before sending the request.
func (r Request) Exclusive() Request {
	r.exclusive = true
	return r
}

// BelowFloor returns a copy of r whose rank currently gets less than its floor,
// the guaranteed share of the capacity. The copy may use the slots that its rank
// otherwise leaves free.
func (r Request) BelowFloor() Request {
	r.belowFloor = true
	return r
}

// Decision is the result of Pick.
type Decision struct {
	candidate *Candidate // nil if no upstream was chosen
	reason    Reason
	wait      float64 // predicted seconds to the first token
	cached    poplar.Tokens
	rank      poplar.Rank
	scored    int // upstreams that were scored
}

// Candidate returns the chosen upstream, or nil.
func (d Decision) Candidate() *Candidate { return d.candidate }

// Reason returns why the upstream was chosen, or why none was.
func (d Decision) Reason() Reason { return d.reason }

// PredictedWait returns the predicted time to the first token.
func (d Decision) PredictedWait() time.Duration { return time.Duration(d.wait * float64(time.Second)) }

// NominalWait returns the predicted time to the first token at nominal speed,
// which is the reference for the measured slowdown of the upstream.
func (d Decision) NominalWait() time.Duration {
	if d.candidate == nil {
		return 0
	}
	return time.Duration(d.wait / d.candidate.state.Slowdown() * float64(time.Second))
}

// CachedTokens returns the number of prompt tokens expected in the upstream's
// cache.
func (d Decision) CachedTokens() poplar.Tokens { return d.cached }

// Priority returns the priority to pass to the engine; lower values run first.
func (d Decision) Priority() int { return int(d.rank) }

// String returns the decision in one line for operators and trace spans.
func (d Decision) String() string {
	if d.candidate == nil {
		return "none: " + string(d.reason)
	}
	return fmt.Sprintf("%s in %s: %s, wait %s, cached tokens %d, upstreams scored %d",
		d.candidate.Name(), d.candidate.Domain(), d.reason, d.PredictedWait().Round(time.Millisecond), d.cached, d.scored)
}

// Scored returns the number of upstreams that were scored.
func (d Decision) Scored() int { return d.scored }

const (
	// maxSampleTries bounds the random draws for one of the Settings.SampleSize
	// upstreams; a draw is repeated if the drawn upstream cannot take the request.
	maxSampleTries = 4
	// fullScanSize is the group size up to which all candidates are scored.
	fullScanSize = 4
)

// Pick returns the upstream for r at now, and whether there is one. The random
// number rnd determines which upstreams are sampled.
//
// Pick scores the upstreams that probably cache a prefix of the prompt, a few
// random ones of the local failure domain and as many of the other domains.
// The score is the predicted wait for the first token, which a cached prefix
// shortens, plus RemotePenalty for another domain; the lowest score wins.
// Sampling a few candidates instead of taking the best of all keeps routers
// that act on the same stale report from sending to the same upstream
// (Mitzenmacher, The power of two choices in randomized load balancing, 2001).
func Pick(t *Table, r *Request, now time.Time, rnd uint64) (Decision, bool) {
	g := t.group(r)
	if g == nil {
		return Decision{reason: ReasonNotServed, rank: r.rank}, false
	}
	p := picker{table: t, request: r, now: now.UnixNano(), rnd: rnd}
	if r.exclusive {
		p.pickLeastLoaded(g)
		return p.decide(g)
	}
	p.scoreHolders()
	p.sample(g.local, 0)
	p.sample(g.remote, t.settings.RemotePenalty.Seconds())
	if p.best.candidate == nil {
		p.scan(g.local, 0)
	}
	if p.best.candidate == nil {
		p.scan(g.remote, t.settings.RemotePenalty.Seconds())
	}
	if p.best.candidate == nil && p.fallback != nil {
		p.useFallback()
	}
	if p.best.candidate == nil && r.avoid != "" {
		return p.pickAgainWithAvoided()
	}
	return p.decide(g)
}

// picker is the state of one call of Pick.
type picker struct {
	table           *Table
	request         *Request
	now             int64 // Unix nanoseconds
	rnd             uint64
	best            Decision
	cost            float64 // score of best
	sawFull         bool    // true if some eligible upstream was at its limit
	uncachedCost    float64 // score that best would have without its cached prefix
	minUncachedCost float64 // lowest score that a scored upstream would have without its cached prefix
	scored          int
	prefixLengths   prefixLengths
	fallback        *Candidate // least loaded upstream at its limit that may still take the request
	fallbackLoad    float64    // load of fallback
}

// sample scores a few random candidates of the group. The penalty, in seconds,
// is added to each score.
func (p *picker) sample(group []*Candidate, penalty float64) {
	if len(group) <= fullScanSize {
		p.scan(group, penalty)
		return
	}
	for range max(p.table.settings.SampleSize, 1) {
		for range maxSampleTries {
			c := group[p.random()%uint64(len(group))]
			if p.consider(c, penalty) {
				break
			}
		}
	}
}

// scan scores candidates from a random position until one can take the
// request. It scores all candidates of a small group.
func (p *picker) scan(group []*Candidate, penalty float64) {
	if len(group) == 0 {
		return
	}
	start := p.random() % uint64(len(group))
	for i := range uint64(len(group)) {
		c := group[(start+i)%uint64(len(group))]
		if p.consider(c, penalty) && len(group) > fullScanSize {
			return
		}
	}
}

// exclusiveSlack is the number of requests by which the upstream chosen for a
// request that must run alone may exceed the least loaded one.
const exclusiveSlack = 2

// pickLeastLoaded chooses at random among the eligible upstreams within
// exclusiveSlack of the lowest load. After a crash several routers with the
// same report may each have to place a suspect request, and two of them must
// not choose the same upstream.
func (p *picker) pickLeastLoaded(g *group) {
	minLoad := math.Inf(1)
	for _, list := range [...][]*Candidate{g.local, g.remote} {
		for _, c := range list {
			if c.eligible(p.now) {
				minLoad = min(minLoad, c.estimate(p.now, &p.table.settings).load)
			}
		}
	}
	for _, list := range [...][]*Candidate{g.local, g.remote} {
		for _, c := range list {
			e := c.estimate(p.now, &p.table.settings)
			if !c.eligible(p.now) || e.load > minLoad+exclusiveSlack {
				continue
			}
			p.scored++
			if p.random()%uint64(p.scored) != 0 {
				continue
			}
			f := c.forecast(p.request, e, 0, p.now)
			p.best = Decision{candidate: c, wait: f.wait, rank: p.request.rank}
		}
	}
}

// consider scores c and reports whether it can take the request.
func (p *picker) consider(c *Candidate, penalty float64) bool {
	if c.Name() == p.request.avoid || !c.eligible(p.now) {
		return false
	}
	e := c.estimate(p.now, &p.table.settings)
	if c.atLimit(p.request, e, &p.table.settings) {
		p.sawFull = true
		if c.acceptsOverflow(p.request, e, &p.table.settings) && (p.fallback == nil || e.load < p.fallbackLoad) {
			p.fallback, p.fallbackLoad = c, e.load
		}
		return false
	}
	p.scored++
	cached := p.cachedTokens(c)
	p.keepIfBetter(c, c.forecast(p.request, e, cached, p.now), penalty, cached)
	return true
}

// keepIfBetter makes c the best candidate if its score is lower.
func (p *picker) keepIfBetter(c *Candidate, f forecast, penalty float64, cached poplar.Tokens) {
	cost := f.score + penalty
	uncachedCost := cost + f.uncachedWait - f.wait
	if p.scored == 1 || uncachedCost < p.minUncachedCost {
		p.minUncachedCost = uncachedCost
	}
	if p.best.candidate != nil && cost >= p.cost {
		return
	}
	p.cost, p.uncachedCost = cost, uncachedCost
	p.best = Decision{candidate: c, wait: f.wait, cached: cached, rank: p.request.rank}
}

// reason returns why the best candidate was chosen.
func (p *picker) reason() Reason {
	switch {
	case p.request.exclusive:
		return ReasonExclusive
	case p.uncachedCost > p.minUncachedCost:
		return ReasonPrefix
	case p.best.candidate.Domain() != p.table.localDomain:
		return ReasonSpill
	default:
		return ReasonLoad
	}
}

// useFallback chooses the fallback candidate, which is at its limit.
func (p *picker) useFallback() {
	c := p.fallback
	p.scored++
	cached := p.cachedTokens(c)
	e := c.estimate(p.now, &p.table.settings)
	p.keepIfBetter(c, c.forecast(p.request, e, cached, p.now), p.table.penalty(c), cached)
}

// decide returns the best candidate, or the reason why there is none.
func (p *picker) decide(g *group) (Decision, bool) {
	p.best.scored = p.scored
	if p.best.candidate != nil {
		p.best.reason = p.reason()
		return p.best, true
	}
	reason := ReasonUnavailable
	if p.sawFull {
		reason = ReasonFull
	}
	if len(g.local)+len(g.remote) == 0 {
		reason = ReasonNotServed
	}
	return Decision{reason: reason, rank: p.request.rank}, false
}

// pickAgainWithAvoided repeats the choice with the avoided upstream allowed.
func (p *picker) pickAgainWithAvoided() (Decision, bool) {
	retry := *p.request
	retry.avoid = ""
	return Pick(p.table, &retry, time.Unix(0, p.now), p.random())
}

// random returns the next pseudo-random number (splitmix64, Steele et al. 2014).
func (p *picker) random() uint64 {
	p.rnd += 0x9e3779b97f4a7c15
	z := p.rnd
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
