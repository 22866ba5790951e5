package meter

import (
	"context"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the measurement of limits: an upstream turns slow while the
// load reports lag.

var _ = Add("limits", Limits)

const (
	limitsWarm   = 30 * time.Second
	limitsTime   = 60 * time.Second
	limitsFactor = 5.0
	// limitsLoad is the part of the capacity that is asked for.
	limitsLoad = 0.85
)

// Limits measures the requests past their deadline after one of 18 engines
// turns five times slower, with reports that lag 2 s.
func Limits(ctx context.Context, out *Sheet) error {
	open := ours
	open.name, open.limit = "nolimit", false
	policies := []policy{
		ours, open,
		{name: "round", admit: "none", place: "round"},
		{name: "least", admit: "none", place: "least"},
		{name: "report", admit: "none", place: "report"},
	}
	for _, p := range policies {
		if err := ctx.Err(); err != nil {
			return err
		}
		calm, _ := limitsRun(p, 1)
		slow, held := limitsRun(p, limitsFactor)
		out.Note("limits."+p.name+".calm.late", calm, "share")
		if p.name == ours.name {
			// The slow engine has a part of 1 in 18 of the capacity; a policy
			// that never learns of it is late by that part.
			out.AtMost("limits."+p.name+".slow.late", slow, "share", 0.01)
		} else {
			out.Note("limits."+p.name+".slow.late", slow, "share")
		}
		out.Note("limits."+p.name+".slow.held", held, "share")
	}
	return nil
}

// limitsRun returns the share of urgent and normal requests whose first token
// came after the deadline or never, and the slots in use at the slow engine.
func limitsRun(p policy, factor float64) (late, held float64) {
	w := newWorld(p, burnbank, 5)
	kinds := everyday(w.capacity(), limitsWarm+limitsTime)
	for i := range kinds {
		kinds[i].rate = limitsLoad / 3 * w.capacity() / kinds[i].hold()
	}
	g := newCrowd(w, kinds)
	start := w.v.now.Add(limitsWarm)
	g.count = func() bool { return !w.v.now.Before(start) }
	g.start()
	w.v.after(limitsWarm, func() { w.engines[4].factor = factor })
	samples := 0.0
	w.v.every(time.Second, func() {
		if g.count() {
			r := w.engines[4].report()
			samples++
			held += float64(r.Outstanding(poplar.Bulk)) / engineSlots
		}
	})
	w.v.pass(limitsWarm + limitsTime)
	urgent, normal := g.of("urgent"), g.of("normal")
	offered := urgent.offered + normal.offered
	return 1 - float64(urgent.inTime+normal.inTime)/float64(offered), held / samples
}
