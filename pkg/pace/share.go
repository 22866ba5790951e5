package pace

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarbend.example/poplar"
)

// Share returns the part of a limit that a router may use, given the addresses of all
// routers. A limit is divided among as many routers as it has whole requests a second, so
// that each can send one at least as often: in equal parts among all routers, the part of
// each would be worth nothing in a large fleet. All routers choose the same ones, others
// for each upstream.
func Share(u poplar.Upstream, rate float64, routers []string, self string) float64 {
	among := int(min(math.Ceil(rate), float64(len(routers))))
	if among == len(routers) {
		return rate / float64(max(among, 1))
	}
	own, before := weight(u, self), 0
	if !slices.Contains(routers, self) {
		return 0
	}
	for _, r := range routers {
		if r != self && weight(u, r) > own {
			before++
		}
	}
	if before >= among {
		return 0
	}
	return rate / float64(among)
}

func weight(u poplar.Upstream, router string) uint64 {
	return xxhash.Sum64String(string(u) + "/" + router)
}

// bucket allows a rate of requests. It holds those of one second, one at least, so that
// all routers together send little more than the limit in any span.
type bucket struct {
	tokens float64
	filled time.Time // invariant: when tokens was last brought up to date
}

// level returns the number of requests that may be sent now.
func (b *bucket) level(rate float64, now time.Time) float64 {
	if rate <= 0 {
		return 0
	}
	if !b.filled.IsZero() && now.After(b.filled) {
		b.tokens += rate * now.Sub(b.filled).Seconds()
	}
	b.tokens, b.filled = min(b.tokens, max(rate, 1)), now
	return b.tokens
}
