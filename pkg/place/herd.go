package place

import "math"

// speedDraws is the number of upstreams that are compared by their speed for a request.
// All routers see the same upstream as the fastest, and none sees what the others send
// there. The fastest of two random ones gives the fastest upstream of a service at
// most twice the mean, which an engine of 1.6 times the usual speed takes; with three it
// gets three times the mean.
const speedDraws = 2

// limitSpeeds raises the slowness of the candidates that were not drawn for this request
// to that of the fastest one drawn. They can still win by shorter queues, cached parts or
// fewer failures. Equal upstreams are not changed.
//
// The home of the prompt keeps its slowness: rendezvous hashing spreads homes evenly.
func limitSpeeds(candidates []Candidate, random uint64) {
	if len(candidates) == 0 {
		return
	}
	fastest := math.Inf(1)
	// The low bits of random break ties in Pick.
	for n := range uint64(speedDraws) {
		c := &candidates[(random>>(16+20*n))%uint64(len(candidates))]
		if c.Excluded || c.Suspect {
			continue
		}
		c.drawn = true
		fastest = min(fastest, factor(c.Slowness))
	}
	if math.IsInf(fastest, 1) {
		fastest = 1
	}
	for i := range candidates {
		c := &candidates[i]
		if !c.drawn && !c.home && factor(c.Slowness) < fastest {
			c.Slowness = fastest + undrawnSlowness
		}
	}
}

// undrawnSlowness makes the drawn candidate win over equal ones that were not drawn.
const undrawnSlowness = 0.05
