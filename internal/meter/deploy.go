package meter

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/rank"
)

// This file holds the two deployments of today, as the samples set them.

// deployment is the size and the ranks of one deployment.
type deployment struct {
	name  string
	size  worldSize
	ranks rank.Settings
}

// deployments are those of the samples; the engines alone, without the plain
// services.
var deployments = []deployment{
	{
		name: "adebayo",
		size: worldSize{daemons: 9, engines: 12, domains: 3, cacheBlocks: 4096},
		ranks: rank.Settings{
			poplar.Urgent: {Deadline: 300 * time.Millisecond, Value: 20, Floor: 0.4, Reserve: 0.05},
			poplar.Normal: {Deadline: 3 * time.Second, Value: 5, Floor: 0.2},
			poplar.Bulk:   {Deadline: 8 * time.Hour, Value: 1, Floor: 0.25},
		},
	},
	{
		name: "burnbank",
		size: burnbank,
		ranks: rank.Settings{
			poplar.Urgent: {Deadline: 300 * time.Millisecond, Value: 500, Floor: 0.6, Reserve: 0.05},
			poplar.Normal: {Deadline: 2 * time.Second, Value: 20, Floor: 0.15},
			poplar.Bulk:   {Deadline: 2 * time.Minute, Value: 1, Floor: 0.05},
		},
	},
}

// deployFigures measures what each deployment minds most in a flood.
func deployFigures(out *Sheet, d deployment) {
	urgent, _ := deployRun(d, poplar.Bulk)
	out.AtLeast("ranks."+d.name+".bulk.urgent.intime", urgent, "share", 0.95)
	_, bulk := deployRun(d, poplar.Urgent)
	out.AtLeast("ranks."+d.name+".urgent.bulk.capacity", bulk, "share", d.ranks[poplar.Bulk].Floor)
}

// deployBulk is the part of the capacity that bulk work asks for in a flood of
// urgent work: well over its floor.
const deployBulk = 0.5

// deployRun returns the share of urgent requests in time and the slots that
// bulk work holds in a flood of rank.
func deployRun(d deployment, flooding poplar.Rank) (inTime, bulk float64) {
	p := ours
	p.ranks = d.ranks
	w := newWorld(p, d.size, 1)
	kinds := append(everyday(w.capacity(), rankWarm+rankFlood), flood(flooding, 5, w.capacity()))
	if flooding == poplar.Urgent {
		kinds[poplar.Bulk].rate = deployBulk * w.capacity() / kinds[poplar.Bulk].hold()
	}
	g := newCrowd(w, kinds)
	start := w.v.now.Add(rankWarm)
	g.count = func() bool { return !w.v.now.Before(start) }
	g.fork(101)
	g.start()
	g.watch()
	w.v.pass(rankWarm + rankFlood)
	urgent := g.of("urgent")
	return float64(urgent.inTime) / float64(max(urgent.offered, 1)), g.of("bulk").busy
}
