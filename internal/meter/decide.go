package meter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/fair"
	"poplarbend.example/poplar/pkg/rank"
	"poplarbend.example/poplar/pkg/route"
)

// This file holds the measurement of what a decision costs.

var _ = Add("decide", Decide)

const (
	decideRounds = 200_000
	// decideBound is the most that a decision may take at 1,100 upstreams.
	decideBound = 5000.0 // nanoseconds
	// decideBlocks is the number of blocks of a long prompt.
	decideBlocks = 32
)

// cost is the time and memory of one decision.
type cost struct {
	nanos  float64
	allocs float64
}

// timed returns the mean cost of n calls of do.
func timed(n int, do func(i int)) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range n {
		do(i)
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return cost{float64(took.Nanoseconds()) / float64(n), float64(after.Mallocs-before.Mallocs) / float64(n)}
}

// Decide measures the choice and the admission at the sizes of today and of two
// years from now.
func Decide(ctx context.Context, out *Sheet) error {
	for _, n := range []int{85, 1100} {
		c := pickCost(n, true)
		out.AtMost(fmt.Sprintf("decide.pick.%d.time", n), c.nanos, "ns", decideBound)
		out.Note(fmt.Sprintf("decide.pick.%d.allocs", n), c.allocs, "allocs")
		plain := pickCost(n, false)
		out.Note(fmt.Sprintf("decide.pick.noprefix.%d.time", n), plain.nanos, "ns")
		out.Note(fmt.Sprintf("decide.scan.%d.time", n), scanCost(n).nanos, "ns")
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	few, fewBytes := admitCost(0)
	many, manyBytes := admitCost(8400)
	out.AtMost("decide.admit.active.time", few.nanos, "ns", decideBound)
	out.Note("decide.admit.active.allocs", few.allocs, "allocs")
	out.AtMost("decide.admit.idle8400.time", many.nanos, "ns", decideBound)
	out.AtMost("decide.admit.idle8400.growth", manyBytes-fewBytes, "bytes", 1<<20)
	return nil
}

// bigTable returns a table of n upstreams in 13 domains, of which one in eleven
// holds a prefix of the prompt.
func bigTable(n int, rnd *rand.Rand, blocks []uint64) *route.Table {
	now := time.Unix(1_700_000_000, 0)
	index := route.NewIndex(1 << 16)
	all := make([]route.Candidate, n)
	for i := range all {
		g := route.NewLocalState(uint16(i))
		for range rnd.IntN(12) {
			g.Start(poplar.Normal, 0, now)
		}
		if i%11 == 0 {
			index.Add(g, blocks[:1+rnd.IntN(len(blocks))])
		}
		offer := route.Offer{
			Name: poplar.Upstream(numbered("engine", i)), Domain: poplar.Domain(numbered("domain", i%13)),
			Models: []poplar.Model{"m"},
		}
		report := route.Report{At: now.Add(-time.Second)}
		report.Running[poplar.Bulk] = rnd.IntN(16)
		all[i] = route.NewCandidate(offer, report, g, now.Add(time.Hour))
	}
	return route.NewTable("domain00", all, index, route.DefaultSettings())
}

// promptBlocks returns the hashes of a random prompt.
func promptBlocks(rnd *rand.Rand, n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = rnd.Uint64()
	}
	return blocks
}

func pickCost(n int, prefix bool) cost {
	rnd := rand.New(rand.NewPCG(1, 2))
	blocks := promptBlocks(rnd, decideBlocks)
	table := bigTable(n, rnd, blocks)
	if !prefix {
		blocks = nil
	}
	now := time.Unix(1_700_000_000, 0)
	r := route.ForModel("m", poplar.Normal, 2048, blocks)
	return timed(decideRounds, func(int) { route.Pick(table, &r, now, rnd.Uint64()) })
}

// scanCost is the baseline that reads the load of all upstreams.
func scanCost(n int) cost {
	rnd := rand.New(rand.NewPCG(1, 2))
	table := bigTable(n, rnd, promptBlocks(rnd, decideBlocks))
	now := time.Unix(1_700_000_000, 0)
	return timed(decideRounds/20, func(int) {
		least := -1
		for i := range table.Len() {
			c := table.At(i)
			if c.Eligible(now) && (least < 0 || c.LocalState().InFlight() < least) {
				least = c.LocalState().InFlight()
			}
		}
	})
}

// admitCost measures one entry and leave beside 40 active workspaces, after
// idle others were served, and returns the live memory too.
func admitCost(idle int) (cost, float64) {
	core := admit.NewCore(rank.DefaultSettings(), 64)
	now := time.Unix(1_700_000_000, 0)
	enter := func(i, spaces int) *admit.Waiter {
		flow := fair.NewFlow(poplar.Workspace(numbered("space", i%spaces)), "caller", 1)
		return core.Admit(admit.NewRequest(flow, poplar.Normal, 400), now, 0).Waiter()
	}
	step := func(i, spaces int) {
		now = now.Add(time.Microsecond)
		if w := enter(i, spaces); w != nil && w.Running() {
			core.Release(w, 300, now)
		}
		core.Take()
	}
	for i := range idle {
		step(i, 8400)
	}
	for i := range 1000 {
		step(i, 40)
	}
	c := timed(decideRounds, func(i int) { step(i, 40) })
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	live := float64(memory.HeapAlloc)
	runtime.KeepAlive(core)
	return c, live
}
