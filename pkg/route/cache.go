package route

import (
	"math"
	"slices"

	"poplarbend.example/poplar"
)

// This file uses the prefix index to find and score the upstreams that probably
// cache a prefix of the prompt.

const (
	// prefixLengthCount is the number of prefix lengths that are compared: the
	// longest known one, half of it and a quarter.
	prefixLengthCount = 3
	// maxHolders bounds the upstreams that are scored for one prefix.
	maxHolders = 4
)

// prefixLengths are the compared prefix lengths in blocks, longest first; 0
// for none.
type prefixLengths [prefixLengthCount]int

// scoreHolders scores up to maxHolders upstreams that cache the longest known
// prefix of the prompt, and as many that cache half of it and may be less
// loaded.
func (p *picker) scoreHolders() {
	if p.table.index == nil || len(p.request.blocks) == 0 {
		return
	}
	length := p.longestKnownPrefix(p.request.blocks)
	for i := range p.prefixLengths {
		p.prefixLengths[i] = length >> i
	}
	var buf [2 * ways]uint16
	found := buf[:0]
	for _, n := range p.prefixLengths[:2] {
		if n > 0 {
			found = p.table.index.holders(p.request.blocks[n-1], found, maxHolders)
		}
	}
	for i, slot := range found {
		if int(slot) >= len(p.table.bySlot) || slices.Contains(found[:i], slot) {
			continue
		}
		c := p.table.bySlot[slot]
		if c != nil && c.serves(p.request) {
			p.consider(c, p.table.penalty(c))
		}
	}
}

// longestKnownPrefix returns the length in blocks of the longest prefix that
// some upstream caches according to the index. It is a binary search that also
// probes the block after a missing one, since the index has gaps where cache
// events are missing.
func (p *picker) longestKnownPrefix(blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		mid := (low + high + 1) / 2
		if p.table.index.contains(blocks[mid-1]) {
			low = mid
			continue
		}
		if mid < high && p.table.index.contains(blocks[mid]) {
			low = mid + 1
			continue
		}
		high = mid - 1
	}
	return low
}

// cachedTokens estimates the number of prompt tokens that c has cached: the
// tokens of its longest compared prefix, scaled by cacheTrust.
func (p *picker) cachedTokens(c *Candidate) poplar.Tokens {
	for _, n := range p.prefixLengths {
		if n == 0 {
			break
		}
		if p.table.index.Holds(c.state, p.request.blocks[n-1]) {
			tokens := min(poplar.Tokens(n)*BlockTokens, p.request.prompt)
			return poplar.Tokens(float64(tokens) * math.Float64frombits(c.state.cacheTrust.Load()))
		}
	}
	return 0
}

// serves reports whether c serves the model or service of r.
func (c *Candidate) serves(r *Request) bool {
	if r.service != "" {
		return slices.Contains(c.offer.Services, r.service)
	}
	return slices.Contains(c.offer.Models, r.model)
}
