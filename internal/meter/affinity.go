package meter

import (
	"context"
	"math/rand/v2"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/route"
)

// This file holds the measurement of prefix affinity: conversations that grow
// behind the instructions of their workspace.

var _ = Add("affinity", Affinity)

const (
	affinityWarm   = 60 * time.Second
	affinityTime   = 60 * time.Second
	affinityLoss   = 0.1  // share of the cache events that a router does not get
	affinityRate   = 30.0 // calls a second
	affinityTalks  = 600  // conversations going on
	affinitySystem = 24   // blocks of a workspace's instructions
	affinityTurn   = 4    // blocks that a turn adds
	affinityLong   = 80   // blocks after which a conversation ends
	affinityOutput = 60.0 // tokens of an answer
	affinityCache  = 3000 // blocks that an engine keeps
)

// Affinity measures the prefix hit rate and the time to the first token.
func Affinity(ctx context.Context, out *Sheet) error {
	plain, exact := ours, ours
	plain.name, plain.cache = "noprefix", false
	exact.name = "noloss"
	type result struct{ hits, p50, p95 float64 }
	results := map[string]result{}
	policies := []policy{
		{name: "least", admit: "gate", place: "least"},
		{name: "hash", admit: "gate", place: "hash"},
		plain, exact, ours,
	}
	for _, p := range policies {
		if err := ctx.Err(); err != nil {
			return err
		}
		loss := affinityLoss
		if p.name == exact.name {
			loss = 0
		}
		hits, first := affinityRun(p, loss)
		r := result{hits, first.quantile(0.5), first.quantile(0.95)}
		results[p.name] = r
		out.Note("affinity."+p.name+".hits", r.hits, "share")
		out.Note("affinity."+p.name+".p50", r.p50, "s")
		out.Note("affinity."+p.name+".p95", r.p95, "s")
		out.Note("affinity."+p.name+".intime", float64(first.inTime)/float64(first.offered), "share")
	}
	best := min(results["least"].p95, results["hash"].p95)
	out.AtMost("affinity.ours.p95.best", results["ours"].p95, "s", best)
	out.AtLeast("affinity.ours.hits.least", results["ours"].hits, "share", results["least"].hits)
	return nil
}

// talk is one conversation.
type talk struct {
	space  int
	blocks []uint64
}

// talks makes the prompts of conversations whose workspaces are as popular as
// 1, 1/2, 1/3 and so on.
type talks struct {
	rnd    *rand.Rand
	system [][]uint64
	all    []talk
}

func newTalks(rnd *rand.Rand) *talks {
	t := &talks{rnd: rnd}
	for range 10 {
		t.system = append(t.system, promptBlocks(rnd, affinitySystem))
	}
	for range affinityTalks {
		t.all = append(t.all, t.fresh())
	}
	return t
}

// fresh begins a conversation.
func (t *talks) fresh() talk {
	space := 0
	for space < len(t.system)-1 && t.rnd.Float64() < float64(space+1)/float64(space+2) {
		space++
	}
	return talk{space: space, blocks: append([]uint64(nil), t.system[space]...)}
}

// next returns the prompt of the next turn of some conversation.
func (t *talks) next() talk {
	i := t.rnd.IntN(len(t.all))
	if len(t.all[i].blocks) >= affinityLong {
		t.all[i] = t.fresh()
	}
	t.all[i].blocks = append(t.all[i].blocks, promptBlocks(t.rnd, affinityTurn)...)
	return t.all[i]
}

// affinityRun returns the share of prompt blocks found in caches and the times
// to the first token.
func affinityRun(p policy, loss float64) (hits float64, first *outcome) {
	size := burnbank
	size.cacheBlocks = affinityCache
	w := newWorld(p, size, 9)
	w.loss = loss
	k := kind{
		rank: poplar.Normal, rate: affinityRate, prompt: 1, output: affinityOutput, spaces: 1,
		to: affinityWarm + affinityTime,
	}
	g := newCrowd(w, []kind{k})
	prompts := newTalks(rand.New(rand.NewPCG(13, 0)))
	g.pick = func(c *call, _ int) {
		t := prompts.next()
		c.flow = fairFlow(false, numbered("space", t.space))
		c.blocks = append([]uint64(nil), t.blocks...)
		c.prompt = float64(len(t.blocks)) * float64(route.BlockTokens)
	}
	start := w.v.now.Add(affinityWarm)
	g.count = func() bool { return !w.v.now.Before(start) }
	g.start()
	found, asked := 0, 0
	g.ended = func(c *call) {
		if g.count() && c.job != nil && c.job.read {
			found += c.job.cached
			asked += len(c.blocks)
		}
	}
	w.v.pass(affinityWarm + affinityTime)
	return float64(found) / float64(max(asked, 1)), g.of("normal")
}
