package meter

import (
	"math/rand/v2"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/fair"
	"poplarbend.example/poplar/pkg/limit"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/rank"
	"poplarbend.example/poplar/pkg/retry"
	"poplarbend.example/poplar/pkg/route"
)

// This file holds a router in virtual time: the real decisions, or a simple
// baseline in their place, before the fake engines.

// policy names the decisions that a world's routers take.
type policy struct {
	name  string
	admit string // "gate", "queue" for one first-come queue, "none"
	place string // "pick", "round", "least", "hash"
	limit bool   // adapt limits and eject
	blind bool   // engines ignore ranks
	cache bool   // use the prefix index
	ranks rank.Settings
}

// ours is the policy of the fleet.
var ours = policy{
	name: "ours", admit: "gate", place: "pick", limit: true, cache: true,
	ranks: rank.DefaultSettings(),
}

// call is one request of a caller.
type call struct {
	flow     fair.Flow
	rank     poplar.Rank
	prompt   float64
	output   float64
	blocks   []uint64
	poison   bool
	print    poison.Fingerprint
	alone    bool // it runs alone, as a suspect
	tries    int  // attempts that failed
	patience time.Duration
	deadline time.Duration
	arrived  time.Time
	retry    time.Time // of a refusal
	how      string    // the end, once it is known
	waiter   *admit.Waiter
	state    callState
	job      *job
	inTime   bool
	leave    func()              // gives back what the call holds at its router
	onFirst  func(time.Duration) // hears the time to the first token
	onEnd    func(*call, string) // invariant: called once
	onSent   func()              // hears each dispatch to an engine; may be nil
	onGood   func(float64)       // hears the tokens of an answer in time
}

type callState uint8

const (
	callWaits callState = iota
	callRuns
	callEnded
)

// world is the routers and engines of one measurement.
type world struct {
	v        *virtual
	rnd      *rand.Rand
	policy   policy
	ranks    rank.Settings
	engines  []*engine
	byName   map[poplar.Upstream]*engine
	daemons  []*daemon
	lag      time.Duration // of load reports
	eventLag time.Duration
	loss     float64 // share of cache events lost
}

// worldSize is the number of routers and engines, and of their domains.
type worldSize struct {
	daemons, engines, domains int
	cacheBlocks               int
}

// newWorld returns an idle world.
func newWorld(p policy, size worldSize, seed uint64) *world {
	if p.ranks == (rank.Settings{}) {
		p.ranks = rank.DefaultSettings()
	}
	w := &world{
		v: newVirtual(), rnd: rand.New(rand.NewPCG(seed, 1)), policy: p,
		ranks: p.ranks, byName: map[poplar.Upstream]*engine{},
		lag: 2 * time.Second, eventLag: 500 * time.Millisecond,
	}
	for i := range size.engines {
		name := poplar.Upstream(numbered("engine", i))
		e := newEngine(w.v, name, poplar.Domain(numbered("domain", i%size.domains)), size.cacheBlocks)
		e.blind = p.blind
		e.onEvent = w.event
		w.engines = append(w.engines, e)
		w.byName[name] = e
	}
	for i := range size.daemons {
		w.daemons = append(w.daemons, newDaemon(w, poplar.Domain(numbered("domain", i%size.domains)), size.daemons))
	}
	w.v.every(time.Second, w.sample)
	w.v.every(limit.Period, w.update)
	return w
}

// sample reads all loads; the reports arrive late.
func (w *world) sample() {
	reports := make([]route.Report, len(w.engines))
	for i, e := range w.engines {
		reports[i] = e.report()
	}
	w.v.after(w.lag, func() {
		for _, d := range w.daemons {
			d.learn(reports)
		}
	})
}

func (w *world) update() {
	for _, d := range w.daemons {
		d.update()
	}
}

// event delivers a cache event late, or to some routers never.
func (w *world) event(e *engine, stored bool, blocks []uint64) {
	if !w.policy.cache || len(blocks) == 0 {
		return
	}
	for _, d := range w.daemons {
		if w.rnd.Float64() < w.loss {
			continue
		}
		w.v.after(w.eventLag, func() { d.cacheEvent(e, stored, blocks) })
	}
}

// capacity returns the slots of all engines.
func (w *world) capacity() float64 { return float64(len(w.engines) * engineSlots) }

// daemon is one router.
type daemon struct {
	w        *world
	home     poplar.Domain
	routers  int
	core     *admit.Core
	share    *admit.Share
	index    *route.PrefixIndex
	gauges   []*route.LocalState
	fleet    *limit.Fleet
	ups      []*limit.Upstream
	reports  []route.Report
	table    *route.Table
	calls    map[*admit.Waiter]*call // that wait or run
	queue    []*call                 // of the first-come baseline
	open     int
	turn     int
	dead     bool
	budgets  *retry.Budgets
	holdBack time.Duration    // before the answer that a call crashed its engine
	book     *poison.Registry // nil without poison records
	spread   func([]poison.Record)
	seen     []uint64         // last crash recorded, by engine
	at       []map[*call]bool // calls in flight, by engine
}

func newDaemon(w *world, home poplar.Domain, routers int) *daemon {
	even := w.capacity() / float64(routers)
	d := &daemon{
		w: w, home: home, routers: routers,
		core: admit.NewCore(w.ranks, even), share: admit.NewShare(),
		index: route.NewIndex(1 << 16), fleet: limit.NewFleet(limit.DefaultSettings()),
		reports: make([]route.Report, len(w.engines)),
		calls:   map[*admit.Waiter]*call{},
		budgets: retry.NewBudgets(retry.DefaultSettings()),
	}
	for i, e := range w.engines {
		g := route.NewLocalState(uint16(i))
		d.seen = append(d.seen, 0)
		d.at = append(d.at, map[*call]bool{})
		d.gauges = append(d.gauges, g)
		if w.policy.limit {
			d.ups = append(d.ups, d.fleet.Add(e.offer.Name, "m", engineSlots, g))
		}
	}
	d.rebuild()
	return d
}

// rebuild replaces the table.
func (d *daemon) rebuild() {
	all := make([]route.Candidate, len(d.w.engines))
	for i, e := range d.w.engines {
		until := d.w.v.now.Add(time.Hour)
		if e.down {
			until = d.w.v.now
		}
		all[i] = route.NewCandidate(e.offer, d.reports[i], d.gauges[i], until)
	}
	index := d.index
	if !d.w.policy.cache {
		index = nil
	}
	d.table = route.NewTable(d.home, all, index, route.DefaultSettings())
}

// learn takes new load reports and resizes the daemon's part.
func (d *daemon) learn(reports []route.Report) {
	copy(d.reports, reports)
	d.rebuild()
	if d.w.policy.admit != "gate" {
		return
	}
	held, queued, oldest := 0.0, 0.0, d.w.v.now
	for i := range reports {
		held += float64(reports[i].Outstanding(poplar.Bulk))
		for _, n := range reports[i].Waiting {
			queued += float64(n)
		}
		oldest = minTime(oldest, reports[i].At)
	}
	status := d.core.Status(d.w.v.now)
	wanting := status.Waiting[0]+status.Waiting[1]+status.Waiting[2] > 0
	f := admit.NewFeedback(d.w.capacity(), held, queued, d.routers, oldest)
	d.core.SetLimit(d.share.Update(f.WithLocal(d.open, wanting).WithHeadroom(status.Headroom[poplar.Bulk]), d.w.v.now), d.w.v.now)
	d.startMoved()
}

func (d *daemon) update() {
	if d.w.policy.limit {
		d.fleet.Update(d.w.v.now)
	}
}

func (d *daemon) cacheEvent(e *engine, stored bool, blocks []uint64) {
	for i, other := range d.w.engines {
		if other == e && stored {
			d.index.Add(d.gauges[i], blocks)
		} else if other == e {
			d.index.Remove(d.gauges[i], blocks)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
