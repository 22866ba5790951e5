package proxy

import (
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/room"
)

// size returns the tokens that the request takes of an upstream's memory: its prompt and
// the output that is expected.
func (x *exchange) size() poplar.Tokens {
	if guess := x.env.Guess; guess > 0 && guess < x.env.Output {
		return x.env.Prompt + guess
	}
	return x.env.Prompt + x.env.Output
}

// streamWeight returns how much delays of the response's events matter: 1 for the most
// urgent streams, less for the others, and 0 for a response that is no stream.
func (x *exchange) streamWeight() float64 {
	if !x.route.Kind.Streams() {
		return 0
	}
	return 1 / float64(1+x.rank())
}

// bounds returns what the candidates for the request have in common.
func (x *exchange) bounds(v *view) bounds {
	b := bounds{domain: x.p.settings.Domain, maxOpen: v.maxConnections(x.service), size: x.size()}
	b.memory = v.memory(x.service)
	b.usual, _ = x.p.facts.of(x.service).usual()
	return b
}

// memory returns the memory of an upstream of the service in tokens, 0 if unknown.
func (v *view) memory(name poplar.Service) poplar.Tokens {
	if v.table == nil {
		return 0
	}
	if s := v.table.Service(name); s != nil && s.Engine != nil {
		return s.Engine.KVCapacity
	}
	return 0
}

// usualCrowding returns how crowded the upstreams of the service are on the mean, for the
// request: 0 is enough memory, more than 1 is full.
func (x *exchange) usualCrowding(v *view) float64 {
	usual, _ := x.p.facts.of(x.service).usual()
	limits := room.Limits{Tokens: float64(v.memory(x.service))}
	return room.Crowding(usual.Load(room.State{Age: -1}).Free(limits, float64(x.size())))
}

// appendHeard appends the upstreams that reported last to a sample, if upstreams are
// crowded on the mean: among hundreds of routers only these are known to have room.
func (x *exchange) appendHeard(sample []int, v *view) []int {
	if x.usualCrowding(v) == 0 {
		return sample
	}
	_, heard := x.p.facts.of(x.service).usual()
	for _, u := range heard {
		if i := slices.Index(v.services[x.service], u); i >= 0 && !slices.Contains(sample, i) {
			sample = append(sample, i)
		}
	}
	return sample
}

// requestEnded counts the end of a request that was sent to u at the given time.
func (x *exchange) requestEnded(u *upstream, size poplar.Tokens, stream float64, sentAt time.Time) {
	u.requestEnded(size, stream)
	now := time.Now()
	x.p.facts.of(u.service).addRequest(size, now.Sub(sentAt), now)
}

// othersReported returns the requests of other routers by the last load report.
func (u *upstream) othersReported() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.others
}
