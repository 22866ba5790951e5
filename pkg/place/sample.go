package place

import (
	"slices"

	"poplarbend.example/poplar"
)

// sampleSize is the number of upstreams that are considered for a request beside the
// homes of its prompt. The best of so many is close to the best of all, and the work of a
// choice does not grow with the number of upstreams.
const sampleSize = 32

// Group is the upstreams of one service as all requests see them. It is immutable.
type Group struct {
	hashes  []uint64
	long    []bool       // invariant: as long as hashes; true for an upstream that is preferred for long prompts
	classes [2][]classed // invariant: all upstreams by their length class
}

// classed is an upstream in the list of its length class.
type classed struct {
	hash  uint64
	index int
}

// NewGroup returns the group of the given upstreams. longPrompts tells for each of them
// whether it is preferred for long prompts.
func NewGroup(upstreams []poplar.Upstream, longPrompts []bool) *Group {
	g := &Group{hashes: make([]uint64, len(upstreams)), long: longPrompts}
	for i, u := range upstreams {
		g.hashes[i] = HashUpstream(u)
		class := &g.classes[lengthClass(longPrompts[i])]
		*class = append(*class, classed{g.hashes[i], i})
	}
	return g
}

// Hash returns the hash of an upstream, for Candidate.Hash.
func (g *Group) Hash(i int) uint64 { return g.hashes[i] }

// LongPrompts reports whether an upstream is preferred for long prompts.
func (g *Group) LongPrompts(i int) bool { return g.long[i] }

// Sample appends the indexes of the upstreams to consider for a request to list, which is
// empty: the homes of its prompt and a random sample, or all if they are few. A caller that
// finds none of them good should consider all. A list of room for SampleSize is not
// allocated anew.
func (g *Group) Sample(list []int, p Prompt, usable func(i int) bool, intn func(n int) int) []int {
	count := len(g.hashes)
	if count <= 2*sampleSize {
		for i := range count {
			list = append(list, i)
		}
		return list
	}
	if part, ok := p.homePart(); ok {
		list = g.appendHomes(list, part.Name, usable)
	}
	// A stride that has no divisor in common with count visits all upstreams.
	stride := 1 + intn(count-1)
	for gcd(stride, count) != 1 {
		stride = 1 + intn(count-1)
	}
	homes := len(list)
	i := intn(count)
	for range sampleSize {
		if !slices.Contains(list[:homes], i) {
			list = append(list, i)
		}
		if i += stride; i >= count {
			i -= count
		}
	}
	return list
}

// SampleSize is the greatest number of indexes that Sample appends.
const SampleSize = 2 * sampleSize

// appendHomes appends the homes of a part for both length classes.
func (g *Group) appendHomes(list []int, part string, usable func(i int) bool) []int {
	prefix := hash(part)
	for _, class := range g.classes {
		// Few upstreams are among the highest, and only their state is read.
		first, next := -1, -1
		highest, second := uint64(0), uint64(0)
		for _, u := range class {
			weight := weigh(prefix, u.hash)
			if weight <= second || !usable(u.index) {
				continue
			}
			if weight > highest {
				highest, second = weight, highest
				first, next = u.index, first
			} else {
				second, next = weight, u.index
			}
		}
		if first >= 0 {
			list = append(list, first)
		}
		if next >= 0 {
			list = append(list, next)
		}
	}
	return list
}

func gcd(a, b int) int {
	for b > 0 {
		a, b = b, a%b
	}
	return a
}
