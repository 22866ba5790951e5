package place

import (
	"slices"

	"poplarbend.example/poplar"
)

// sampleSize is the number of upstreams that are considered for a request beside the
// homes of its prompt. The best of so many is close to the best of all, and the work of a
// choice does not grow with the number of upstreams.
const sampleSize = 32

// Peer is what Sample needs to know of an upstream. The fields are those of Candidate.
type Peer struct {
	Upstream            poplar.Upstream
	Usable, LongPrompts bool
}

// Sample returns the indexes of the upstreams to consider for a request, out of count
// upstreams of its service: the homes of its prompt and a random sample, or all if they
// are few. A caller that finds none of them good should consider all.
func Sample(p Prompt, count int, peer func(i int) Peer, intn func(n int) int) []int {
	if count <= 2*sampleSize {
		all := make([]int, count)
		for i := range all {
			all[i] = i
		}
		return all
	}
	list := make([]int, 0, sampleSize+2)
	if part, ok := p.homePart(); ok {
		list = appendHomes(list, part.Name, count, peer)
	}
	// A stride that has no divisor in common with count visits all upstreams.
	stride := 1 + intn(count-1)
	for gcd(stride, count) != 1 {
		stride = 1 + intn(count-1)
	}
	homes := len(list)
	for n, i := 0, intn(count); n < sampleSize; n, i = n+1, (i+stride)%count {
		if !slices.Contains(list[:homes], i) {
			list = append(list, i)
		}
	}
	return list
}

// appendHomes appends the home of a part for each length class, see HomeRanks.
func appendHomes(list []int, part string, count int, peer func(i int) Peer) []int {
	home, heaviest := [2]int{-1, -1}, [2]uint64{}
	prefix := hashPart(part)
	for i := range count {
		u := peer(i)
		if !u.Usable {
			continue
		}
		class := lengthClass(u.LongPrompts)
		if weight := weigh(prefix, u.Upstream); home[class] < 0 || weight > heaviest[class] {
			home[class], heaviest[class] = i, weight
		}
	}
	for _, i := range home {
		if i >= 0 {
			list = append(list, i)
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
