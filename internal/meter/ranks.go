package meter

import (
	"context"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the measurement of ranks: floods of the least urgent, of the
// most urgent and of both, before the decisions and before baselines.

var _ = Add("ranks", Ranks)

const (
	rankWarm  = 20 * time.Second // before the flood
	rankFlood = 60 * time.Second
)

// burnbank is the size of today's second deployment.
var burnbank = worldSize{daemons: 9, engines: 18, domains: 4, cacheBlocks: 4096}

// everyday returns the calls of an ordinary day, which take half the capacity:
// a tenth urgent, a fifth normal, a fifth bulk.
func everyday(capacity float64, end time.Duration) []kind {
	kinds := []kind{
		{rank: poplar.Urgent, prompt: 200, output: 60, spaces: 10, to: end},
		{rank: poplar.Normal, prompt: 800, output: 200, spaces: 10, to: end},
		{rank: poplar.Bulk, prompt: 3000, output: 400, spaces: 10, to: end},
	}
	for i, part := range []float64{0.1, 0.2, 0.2} {
		kinds[i].rate = part * capacity / kinds[i].hold()
	}
	return kinds
}

// flood returns a flood of rank that asks for factor times the capacity.
func flood(rank poplar.Rank, factor, capacity float64) kind {
	k := everyday(capacity, rankWarm+rankFlood)[rank]
	k.rate = factor * capacity / k.hold()
	k.from = rankWarm
	return k
}

// Ranks measures the service by rank in floods of five times the capacity.
func Ranks(ctx context.Context, out *Sheet) error {
	policies := []policy{
		ours,
		{name: "fifo", admit: "queue", place: "least", blind: true},
		{name: "open", admit: "none", place: "round", blind: true},
		{name: "priority", admit: "none", place: "least"},
	}
	floods := []struct {
		name  string
		ranks []poplar.Rank
	}{
		{"bulk", []poplar.Rank{poplar.Bulk}},
		{"urgent", []poplar.Rank{poplar.Urgent}},
		{"both", []poplar.Rank{poplar.Bulk, poplar.Urgent}},
	}
	for _, p := range policies {
		for _, f := range floods {
			if err := ctx.Err(); err != nil {
				return err
			}
			rankFigures(out, p, f.name, f.ranks)
		}
	}
	for _, d := range deployments {
		deployFigures(out, d)
	}
	skewFigures(out)
	return nil
}

// rankFigures measures one policy in one flood.
func rankFigures(out *Sheet, p policy, name string, ranks []poplar.Rank) {
	w := newWorld(p, burnbank, 1)
	kinds := everyday(w.capacity(), rankWarm+rankFlood)
	for _, r := range ranks {
		kinds = append(kinds, flood(r, 5, w.capacity()))
	}
	g := newCrowd(w, kinds)
	start := w.v.now.Add(rankWarm)
	g.count = func() bool { return !w.v.now.Before(start) }
	g.start()
	g.watch()
	w.v.pass(rankWarm + rankFlood)
	for r := poplar.Urgent; r.Valid(); r++ {
		t := g.of(r.String())
		prefix := "ranks." + name + "." + p.name + "." + r.String()
		out.Note(prefix+".p50", t.quantile(0.5), "s")
		out.Note(prefix+".p95", t.quantile(0.95), "s")
		out.Note(prefix+".goodput", t.good/rankFlood.Seconds(), "tokens/s")
		rankShares(out, p, name, prefix, r, t)
	}
}

// rankShares writes the figures that have targets, for our policy.
func rankShares(out *Sheet, p policy, name, prefix string, r poplar.Rank, t *outcome) {
	inTime := float64(t.inTime) / float64(max(t.offered, 1))
	switch {
	case p.name == ours.name && r == poplar.Urgent && name == "bulk":
		out.AtLeast(prefix+".intime", inTime, "share", 0.95)
	case p.name == ours.name && r == poplar.Bulk && name != "bulk":
		out.AtLeast(prefix+".capacity", t.busy, "share", 0.1)
	default:
		out.Note(prefix+".intime", inTime, "share")
		out.Note(prefix+".capacity", t.busy, "share")
	}
}
