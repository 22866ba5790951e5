package meter

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/retry"
)

// This file holds the measurement of poisonous requests: one request crashes
// each engine that runs it, and its caller sends it again.

var _ = Add("poison", Poison)

const (
	poisonWarm    = 20 * time.Second
	poisonTime    = 60 * time.Second
	poisonResends = 20
	poisonSeeds   = 10
	poisonPrint   = poison.Fingerprint(1)
	// poisonStay bounds the time for which a suspect has an engine.
	poisonStay = 30 * time.Second
	// crashBar is how long a router sends nothing to an engine whose
	// connections broke.
	crashBar = 3 * time.Second
)

// Poison measures the engines lost and the healthy requests refused, with
// records that reach the other routers after 20 ms and after a second, each
// with the answer held back so long, and without records.
func Poison(ctx context.Context, out *Sheet) error {
	blind := ours
	blind.name = "norecords"
	for _, p := range []struct {
		policy
		spread time.Duration
		name   string
	}{{ours, 20 * time.Millisecond, "ours"}, {ours, time.Second, "gossip"}, {blind, 0, blind.name}} {
		if err := ctx.Err(); err != nil {
			return err
		}
		var r poisonResult
		for seed := range uint64(poisonSeeds) {
			r.add(poisonRun(p.policy, p.spread, seed))
		}
		if p.policy.name == ours.name {
			out.AtMost("poison."+p.name+".lost", float64(r.crashes), "engines", 2)
			out.AtMost("poison."+p.name+".refused", float64(r.refused), "healthy requests", 0)
		} else {
			out.Note("poison."+p.name+".lost", float64(r.crashes), "engines")
			out.Note("poison."+p.name+".refused", float64(r.refused), "healthy requests")
		}
		out.Note("poison."+p.name+".hit", float64(r.hit), "healthy requests")
		out.Note("poison."+p.name+".unfinished", float64(r.unfinished), "healthy requests")
	}
	return nil
}

// poisonResult counts what one run lost.
type poisonResult struct {
	crashes    int // of engines
	refused    int // healthy requests refused as poisonous
	hit        int // healthy requests that were in flight in a crash
	unfinished int // of these, not finished in the end
}

// add takes in another run: the most engines lost in any, and the sum of the
// rest.
func (r *poisonResult) add(other *poisonResult) {
	r.crashes = max(r.crashes, other.crashes)
	r.refused += other.refused
	r.hit += other.hit
	r.unfinished += other.unfinished
}

// spreader carries poison records between the routers of a world.
type spreader struct {
	w      *world
	delay  time.Duration
	result *poisonResult
}

// poisonRun runs one policy beside the calls of an ordinary day.
func poisonRun(p policy, delay time.Duration, seed uint64) *poisonResult {
	w := newWorld(p, burnbank, 17+seed)
	s := &spreader{w: w, delay: delay, result: &poisonResult{}}
	if p.name == ours.name {
		for _, d := range w.daemons {
			d.book = poison.NewRegistry(poison.DefaultSettings())
			d.spread = s.spread
			d.holdBack = delay + 20*time.Millisecond
		}
	}
	g := newCrowd(w, everyday(w.capacity(), poisonWarm+poisonTime-20*time.Second))
	serial := uint64(poisonPrint)
	g.pick = func(c *call, _ int) {
		serial++
		c.print = poison.Fingerprint(serial)
	}
	g.fork(seed)
	g.ended = s.ended
	g.start()
	w.v.after(poisonWarm, func() { s.resend(0) })
	w.v.pass(poisonWarm + poisonTime)
	for _, e := range w.engines {
		s.result.crashes += e.crashes
	}
	return s.result
}

// spread delivers records to all other routers.
func (s *spreader) spread(records []poison.Record) {
	s.w.v.after(s.delay, func() {
		for _, d := range s.w.daemons {
			d.book.MergeRecords(records)
		}
	})
}

// ended counts what became of a healthy request.
func (s *spreader) ended(c *call) {
	switch c.how {
	case endPoison:
		s.result.refused++
	case endCrashed:
		s.result.unfinished++
	}
	if c.tries > 0 {
		s.result.hit++
	}
}

// resend sends the poisonous request for the n-th time, until its caller gives
// up or is refused.
func (s *spreader) resend(n int) {
	if n > poisonResends {
		return
	}
	c := &call{
		flow: fairFlow(false, "poisonous"), rank: poplar.Normal, prompt: 100, output: 50,
		poison: true, print: poisonPrint,
		patience: time.Minute, deadline: s.w.ranks[poplar.Normal].Deadline,
		onFirst: func(time.Duration) {}, onGood: func(float64) {},
	}
	c.onEnd = func(_ *call, how string) {
		if how == endCrashed {
			s.w.v.after(5*time.Millisecond, func() { s.resend(n + 1) })
		}
	}
	s.w.daemons[s.w.rnd.IntN(len(s.w.daemons))].arrive(c)
}

// repeat decides on a call whose engine crashed, or was gone already. An answer
// that it crashed is held back until the other routers have the records: its
// caller sends it again at once, to any of them.
func (d *daemon) repeat(c *call, failure retry.Failure) {
	now := d.w.v.now
	c.tries++
	c.how = endCrashed
	c.leave()
	c.leave = func() {}
	a := retry.NewAttempt(failure, poplar.Attempt(c.tries), true, time.Time{})
	decision := d.budgets.Decide(a, c.flow.Workspace(), c.rank, now, d.w.rnd.Uint64())
	c.state, c.job, c.waiter = callWaits, nil, nil
	if decision.Action() != retry.Retry {
		c.state = callEnded
		d.w.v.after(d.holdBack, func() { c.onEnd(c, endCrashed) })
		return
	}
	d.w.v.after(decision.At().Sub(now), func() {
		if c.state == callWaits {
			d.admit(c)
		}
	})
}

// examine reports whether the call may run, and whether it must run alone.
func (d *daemon) examine(c *call) (run, alone bool) {
	if d.book == nil {
		return true, false
	}
	switch v, _ := d.book.Check(c.print, d.w.v.now); v {
	case poison.Refused:
		d.end(c, endPoison)
		return false, false
	case poison.Isolated:
		return true, true
	default:
		return true, false
	}
}

// place takes engine i for a suspect, unless another suspect has it, and tells
// the other routers.
func (d *daemon) place(c *call, i int) bool {
	name, now := d.w.engines[i].offer.Name, d.w.v.now
	if d.book.HasOtherSuspect(name, c.print, now) || !d.gauges[i].AcquireExclusive() {
		return false
	}
	d.spread([]poison.Record{d.book.StartIsolated(c.print, name, now.Add(poisonStay))})
	return true
}

// turnOf returns when the call may run.
func (d *daemon) turnOf(c *call, alone bool) time.Time {
	if !alone {
		return time.Time{}
	}
	return d.book.EarliestRun(c.print)
}

// crashed records the crash of engine i for all calls that this router has
// there, the first time that one of them tells of it.
func (d *daemon) crashed(i int) {
	e := d.w.engines[i]
	d.gauges[i].Eject(d.w.v.now.Add(crashBar))
	if d.book == nil || d.seen[i] == e.boot {
		return
	}
	d.seen[i] = e.boot
	var prints []poison.Fingerprint
	for c := range d.at[i] {
		prints = append(prints, c.print)
	}
	d.spread(d.book.RecordCrash(e.offer.Name, e.boot, prints, d.w.v.now))
}
