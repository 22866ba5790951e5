package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// TestSampleHasHomes compares the homes in samples with those of HomeRanks over all
// upstreams, and checks that samples have no upstream twice and reach all of them.
func TestSampleHasHomes(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, count := range []int{1, 5, 64, 65, 140, 256, 300} {
		list := make([]Candidate, count)
		for i, name := range upstreamNames(count) {
			list[i] = Candidate{Upstream: name, LongPrompts: rng.IntN(8) == 0, Usable: rng.IntN(6) > 0}
		}
		peer := func(i int) Peer {
			return Peer{Upstream: list[i].Upstream, Usable: list[i].Usable, LongPrompts: list[i].LongPrompts}
		}
		seen := map[int]bool{}
		for n := range 400 {
			part := fmt.Sprint("part", n)
			sample := Sample(Prompt{Parts: []poplar.Part{{Name: part}, {Name: "own"}}}, count, peer, rng.IntN)
			slices.Sort(sample)
			assert.Equal(t, len(slices.Compact(slices.Clone(sample))), len(sample))
			assert.Assert(t, len(sample) <= 2*sampleSize)
			for i, rank := range HomeRanks(part, list) {
				assert.Assert(t, rank > 0 || !list[i].Usable || slices.Contains(sample, i), "home %d of %d is missing", i, count)
			}
			for _, i := range sample {
				seen[i] = true
			}
		}
		assert.Equal(t, len(seen), count)
	}
}
