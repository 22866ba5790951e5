package meter

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/fair"
)

// This file holds the measurement of fair shares: one caller that asks for far
// more than its share beside many small ones.

var _ = Add("fair", Fair)

const (
	fairSmall = 20 // small workspaces, and small callers beside the greedy one
	fairWarm  = 20 * time.Second
	fairTime  = 60 * time.Second
	// fairUse is the part of its even share that each small one asks for.
	fairUse = 0.5
	// fairGreed is how many times its share the greedy one asks for.
	fairGreed = 50.0
)

// Fair measures what small callers keep beside one that asks for 50 times its
// share, in the same workspace and in another one, against being alone.
func Fair(ctx context.Context, out *Sheet) error {
	policies := []policy{ours, {name: "fifo", admit: "queue", place: "least", blind: true}, {name: "open", admit: "none", place: "round", blind: true}}
	for _, p := range policies {
		for _, inside := range []bool{false, true} {
			if err := ctx.Err(); err != nil {
				return err
			}
			alone := fairKept(p, inside, 0)
			beside := fairKept(p, inside, fairGreed)
			name := "fair.workspaces."
			if inside {
				name = "fair.callers."
			}
			worst, mean := 1.0, 0.0
			for i := range alone {
				kept := beside[i] / max(alone[i], 1)
				worst = min(worst, kept)
				mean += kept / float64(len(alone))
			}
			if p.name != ours.name {
				out.Note(name+p.name+".worst", worst, "share")
				out.Note(name+p.name+".mean", mean, "share")
				continue
			}
			out.AtLeast(name+p.name+".worst", worst, "share", 0.95)
			out.AtLeast(name+p.name+".mean", mean, "share", 0.95)
		}
	}
	return nil
}

// fairKept returns the tokens in time that each small one gets while another
// asks for greed times its share. The same calls of the small ones arrive
// whatever the greedy one does.
func fairKept(p policy, inside bool, greed float64) []float64 {
	w := newWorld(p, burnbank, 3)
	k := everyday(w.capacity(), fairWarm+fairTime)[poplar.Normal]
	k.spaces = fairSmall
	part := w.capacity() / k.hold() / (fairSmall + 1)
	k.rate = part * fairUse * fairSmall
	small := newCrowd(w, []kind{k})
	got := make([]float64, fairSmall)
	start := w.v.now.Add(fairWarm)
	small.pick = func(c *call, n int) {
		c.flow = fairFlow(inside, numbered("small", n))
		c.onGood = func(tokens float64) {
			if !w.v.now.Before(start) {
				got[n] += tokens
			}
		}
	}
	small.start()
	if greed > 0 {
		k.rate = part * greed
		greedy := newCrowd(w, []kind{k})
		greedy.fork(7)
		greedy.pick = func(c *call, _ int) { c.flow = fairFlow(inside, "greedy") }
		greedy.start()
	}
	w.v.pass(fairWarm + fairTime)
	return got
}

// fairFlow returns the flow of a caller: of its own workspace, or inside a
// shared one.
func fairFlow(inside bool, name string) fair.Flow {
	if inside {
		return fair.NewFlow("shared", poplar.Caller(name), 1)
	}
	return fair.NewFlow(poplar.Workspace(name), "caller", 1)
}
