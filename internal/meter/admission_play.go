package meter

import (
	"math/rand/v2"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/fair"
	"poplarbend.example/poplar/pkg/rank"
)

// This file plays a load on routers with gates, and upstreams with slots, in virtual time.

// admissionJob is one request of a played load.
type admissionJob struct {
	kind     *admissionKind
	router   *admissionRouter
	upstream int
	waiter   *admit.Waiter
	arrived  float64
	firstAt  float64
	endAt    float64
	hasFirst bool
	counts   bool
}

type admissionRouter struct {
	core    *admit.Core
	limit   *admit.Limit
	reports []admit.Report
	busy    []int     // requests that each upstream reported to hold
	readAt  []float64 // when it did
	sent    []int     // requests sent less requests ended since the report
	jobs    map[*admit.Waiter]*admissionJob
	tallied time.Time
}

type admissionEngine struct {
	running, queue []*admissionJob
	down           bool
}

// admissionPlay plays a load in virtual time.
type admissionPlay struct {
	*admissionLoad
	rng     *rand.Rand
	now     float64
	routers []*admissionRouter
	engines []*admissionEngine
	held    float64
	ticks   int
}

const (
	admissionTick = 0.005 // seconds
	admissionWarm = 10.0  // seconds before results count
	// admissionReportAge is how long a router uses a report for the choice, in seconds.
	admissionReportAge = 3.0
)

func (p *admissionPlay) at() time.Time {
	return newVirtual().now.Add(time.Duration(p.now * float64(time.Second)))
}

func (p *admissionPlay) run() {
	settings := rank.DefaultSettings()
	for i := range settings {
		settings[i].Deadline = time.Hour
	}
	for range p.admissionLoad.routers {
		p.routers = append(p.routers, &admissionRouter{
			core: admit.NewCore(settings, admit.Unlimited), limit: admit.NewLimit(),
			reports: make([]admit.Report, p.upstreams), busy: make([]int, p.upstreams), readAt: make([]float64, p.upstreams), sent: make([]int, p.upstreams), jobs: map[*admit.Waiter]*admissionJob{},
		})
	}
	for range p.upstreams {
		p.engines = append(p.engines, &admissionEngine{})
	}
	for n := 0; p.now < float64(p.seconds); n++ {
		p.now = float64(n) * admissionTick
		for i, e := range p.engines {
			e.down = float64(i) < p.lost*float64(p.upstreams) && p.now >= p.lostFrom && p.now < p.lostTo
			p.serve(e)
		}
		for i, r := range p.routers {
			if (n+i)%50 == 0 {
				p.update(r)
			}
		}
		p.arrive()
	}
}

// arrive lets the requests of one tick arrive.
func (p *admissionPlay) arrive() {
	for _, k := range p.kinds {
		rate := k.rate
		if p.now >= k.from && p.now < k.to {
			rate *= k.factor
		}
		for k.due += rate * admissionTick * p.rng.ExpFloat64(); k.due >= 1; k.due-- {
			r := p.routers[p.rng.IntN(k.routers)]
			j := &admissionJob{kind: k, router: r, arrived: p.now, counts: p.now > admissionWarm && p.now < float64(p.seconds)-k.target}
			target := p.at().Add(time.Duration(k.target * float64(time.Second)))
			request := admit.NewRequest(fair.NewFlow(poplar.Workspace(k.workspace), "c", 1), k.rank, 1000).WithDeadline(target)
			d := r.core.Admit(request, p.at(), p.rng.Uint64())
			if j.counts {
				k.offered++
			}
			switch d.Action() {
			case admit.Start:
				j.waiter = d.Waiter()
				p.send(j)
			case admit.Queue:
				r.jobs[d.Waiter()] = j
				if j.counts {
					k.waits++
				}
			}
			p.take(r)
		}
	}
}

// take sends the requests that were started while they waited.
func (p *admissionPlay) take(r *admissionRouter) {
	for _, w := range r.core.Take() {
		j := r.jobs[w]
		delete(r.jobs, w)
		if j.waiter = w; w.Running() {
			p.send(j)
		}
	}
}

// send sends a request to the less busy of two upstreams, as its router knows them.
func (p *admissionPlay) send(j *admissionJob) {
	best, bestBusy := -1, 0
	for n := 0; n < 2; {
		i := p.rng.IntN(p.upstreams)
		if p.engines[i].down {
			continue
		}
		n++
		busy := j.router.sent[i]
		if p.now-j.router.readAt[i] < admissionReportAge {
			busy += j.router.busy[i]
		}
		if best < 0 || busy < bestBusy {
			best, bestBusy = i, busy
		}
	}
	if j.counts {
		j.kind.started++
	}
	j.upstream = best
	j.router.sent[best]++
	e := p.engines[best]
	at := len(e.queue)
	for at > 0 && e.queue[at-1].kind.rank > j.kind.rank {
		at--
	}
	e.queue = slices.Insert(e.queue, at, j)
}

// serve ends and starts requests of one upstream.
func (p *admissionPlay) serve(e *admissionEngine) {
	rest := e.running[:0]
	var ended []*admissionJob
	for _, j := range e.running {
		if !j.hasFirst && p.now >= j.firstAt {
			j.hasFirst = true
			j.router.core.FirstToken(j.waiter, p.at())
			if j.counts && p.now <= j.arrived+j.kind.target+admissionTick {
				j.kind.inTime++
			}
			p.report(e, j)
		}
		if e.down || p.now >= j.endAt {
			ended = append(ended, j)
			continue
		}
		rest = append(rest, j)
	}
	e.running = rest
	if e.down {
		ended, e.queue = append(ended, e.queue...), nil
	}
	for len(e.queue) > 0 && len(e.running) < p.slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.firstAt, j.endAt = p.now+j.kind.first, p.now+j.kind.hold*(0.5+p.rng.Float64())
		e.running = append(e.running, j)
	}
	for _, j := range ended {
		j.router.sent[j.upstream]--
		j.router.core.Release(j.waiter, 1000, p.at())
		p.take(j.router)
	}
	if p.now > admissionWarm {
		p.held += float64(len(e.running) + len(e.queue))
		p.ticks++
	}
}

func (p *admissionPlay) report(e *admissionEngine, j *admissionJob) {
	running := len(e.running)
	if p.absurd && j.upstream%10 == 0 {
		running = -1
	}
	if p.silent {
		return
	}
	r, i := j.router, j.upstream
	r.reports[i] = admit.NewReport(running, len(e.queue), p.slots, p.at())
	r.busy[i], r.readAt[i], r.sent[i] = running+len(e.queue), p.now, 0
}

// update sets the limit of one router.
func (p *admissionPlay) update(r *admissionRouter) {
	now := p.at()
	t := admit.NewTally(now, r.tallied)
	r.tallied = now
	for i, e := range p.engines {
		if !e.down {
			t.Add(p.slots, r.reports[i].WithSent(r.sent[i]))
		}
	}
	known := p.admissionLoad.routers
	if p.now >= p.seenFrom && p.now < p.seenTo {
		known = p.seen
	}
	s := r.core.Status(now)
	local := admit.Local{Routers: known, Headroom: s.Headroom[poplar.Bulk]}
	for i := range s.Open {
		local.Open += s.Open[i]
		local.Waiting = local.Waiting || s.Waiting[i] > 0
		local.Refused += s.Counts.Refused[i]
	}
	r.core.SetLimit(r.limit.Update(&t, local), now)
	p.take(r)
}
