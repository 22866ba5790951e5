package meter

import (
	"math"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the part of the measurement of ranks that asks whether nine
// routers admit one capacity: under a balancer that prefers one of them, and in
// a flood.

// skewLoad is the part of the capacity that is asked for beside a preferred
// router.
const skewLoad = 0.8

// skewFigures measures what a router that gets half of all requests refuses
// although the fleet has room, and the most that the engines hold in a flood.
func skewFigures(out *Sheet) {
	for _, p := range []policy{ours, {name: "open", admit: "none", place: "round", blind: true}} {
		w := newWorld(p, burnbank, 31)
		kinds := everyday(w.capacity(), rankWarm+rankFlood)
		for i := range kinds {
			kinds[i].rate *= skewLoad / 0.5
		}
		g := newCrowd(w, kinds)
		g.send = func(c *call) {
			if g.rnd.IntN(2) == 0 {
				w.daemons[0].arrive(c)
				return
			}
			w.daemons[1+g.rnd.IntN(len(w.daemons)-1)].arrive(c)
		}
		start := w.v.now.Add(rankWarm)
		g.count = func() bool { return !w.v.now.Before(start) }
		g.start()
		w.v.pass(rankWarm + rankFlood)
		for r := poplar.Urgent; r.Valid(); r++ {
			o := g.of(r.String())
			out.Note("ranks.skew."+p.name+"."+r.String()+".intime", float64(o.inTime)/float64(max(o.offered, 1)), "share")
		}
		out.Note("ranks.over."+p.name, overRun(p), "times the slots")
	}
}

// overRun returns the most requests that the engines held at one moment in a
// flood of bulk work, running and waiting, as a multiple of their slots.
func overRun(p policy) float64 {
	w := newWorld(p, burnbank, 33)
	g := newCrowd(w, append(everyday(w.capacity(), rankWarm+rankFlood), flood(poplar.Bulk, 5, w.capacity())))
	g.start()
	most := 0.0
	w.v.every(100*time.Millisecond, func() {
		held := 0
		for _, e := range w.engines {
			held += len(e.held)
		}
		most = math.Max(most, float64(held)/w.capacity())
	})
	w.v.pass(rankWarm + rankFlood)
	return most
}
