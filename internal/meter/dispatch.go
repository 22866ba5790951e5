package meter

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/retry"
	"poplarbend.example/poplar/pkg/route"
)

// This file holds the way of one call through a router in virtual time.

// repick is the time between two looks for an upstream with room.
const repick = 20 * time.Millisecond

// The ends of a call, beside "done".
const (
	endRefused = "refused" // not run
	endLeft    = "left"    // the caller lost its patience
	endCrashed = "crashed" // the engine crashed
	endDied    = "died"    // the router died
	endPoison  = "poison"  // refused as poisonous
)

// arrive takes a call. onEnd hears its end.
func (d *daemon) arrive(c *call) {
	c.arrived = d.w.v.now
	c.leave = func() {}
	if c.patience > 0 {
		d.w.v.after(c.patience, func() {
			if c.state != callEnded && (c.job == nil || !c.job.read) {
				d.end(c, endLeft)
			}
		})
	}
	d.budgets.Earn(c.flow.Workspace(), c.rank, c.arrived)
	d.admit(c)
}

// admit lets the policy decide on a call.
func (d *daemon) admit(c *call) {
	switch d.w.policy.admit {
	case "gate":
		d.enter(c)
	case "queue":
		d.queue = append(d.queue, c)
		d.serveQueue()
	default:
		d.dispatch(c)
	}
}

// enter asks the real gate.
func (d *daemon) enter(c *call) {
	now := d.w.v.now
	r := admit.NewRequest(c.flow, c.rank, c.estimate()).WithPrefill(seconds(c.prompt / enginePrefill))
	v := d.core.Admit(r, now, d.w.rnd.Uint64())
	if w := v.Waiter(); w != nil {
		d.calls[w] = c
		c.waiter = w
		c.leave = func() { d.giveBack(w, c) }
	}
	switch v.Action() {
	case admit.Start:
		d.dispatch(c)
	case admit.Refuse:
		c.retry = v.Retry()
		d.end(c, endRefused)
	default:
		d.w.v.after(v.Waiter().StartBy().Sub(now)+time.Millisecond, func() {
			if !v.Waiter().Running() && c.state == callWaits {
				d.end(c, endRefused)
			}
		})
	}
	d.startMoved()
}

// estimate returns the cost that the edge would estimate: the prompt and twice
// the answer's mean, as callers state a limit above what they use.
func (c *call) estimate() poplar.Tokens { return poplar.Tokens(c.prompt + 2*c.output) }

func (c *call) cost() poplar.Tokens { return poplar.Tokens(c.prompt + c.output) }

// giveBack returns the place at the gate.
func (d *daemon) giveBack(w *admit.Waiter, c *call) {
	delete(d.calls, w)
	if !d.core.Cancel(w, admit.ReasonCancelled, d.w.v.now) {
		cost := c.cost()
		if c.job == nil {
			cost = 0
		}
		d.core.Release(w, cost, d.w.v.now)
	}
}

// startMoved dispatches the calls whose turn has come.
func (d *daemon) startMoved() {
	for moved := d.core.Take(); len(moved) > 0; moved = d.core.Take() {
		for _, w := range moved {
			c := d.calls[w]
			switch {
			case c == nil || c.state != callWaits:
				continue
			case w.Running():
				d.dispatch(c)
			default:
				d.end(c, endRefused)
			}
		}
	}
}

// serveQueue starts calls of the first-come baseline up to the even part.
func (d *daemon) serveQueue() {
	for len(d.queue) > 0 && float64(d.open) < d.w.capacity()/float64(d.routers) {
		c := d.queue[0]
		d.queue = d.queue[1:]
		if c.state == callWaits {
			d.dispatch(c)
		}
	}
}

// dispatch hands the call to an engine, or looks again a little later.
func (d *daemon) dispatch(c *call) {
	if c.state == callEnded || d.dead {
		return
	}
	if c.waiter != nil && d.w.v.now.After(c.waiter.StartBy()) {
		d.end(c, endRefused)
		return
	}
	run, alone := d.examine(c)
	if !run {
		return
	}
	if turn := d.turnOf(c, alone); turn.After(d.w.v.now) {
		d.w.v.after(turn.Sub(d.w.v.now), func() { d.dispatch(c) })
		return
	}
	c.alone = alone
	i, decision, ok := d.choose(c)
	if ok && alone {
		ok = d.place(c, i)
	}
	if !ok {
		if c.deadline > 0 && d.w.v.now.Sub(c.arrived) > c.deadline {
			d.end(c, endRefused)
			return
		}
		d.w.v.after(repick, func() { d.dispatch(c) })
		return
	}
	d.send(c, i, decision)
}

// choose returns the place of the engine for a call.
func (d *daemon) choose(c *call) (int, route.Decision, bool) {
	engines := d.w.engines
	switch d.w.policy.place {
	case "round":
		d.turn++
		return d.turn % len(engines), route.Decision{}, true
	case "least":
		start := d.w.rnd.IntN(len(engines))
		best := start
		for i := range engines {
			at := (start + i) % len(engines)
			if d.gauges[at].InFlight() < d.gauges[best].InFlight() {
				best = at
			}
		}
		return best, route.Decision{}, true
	case "report":
		best := 0
		for i := range engines {
			if d.reports[i].Outstanding(poplar.Bulk) < d.reports[best].Outstanding(poplar.Bulk) {
				best = i
			}
		}
		return best, route.Decision{}, true
	case "hash":
		return hashPlace(c.blocks, len(engines)), route.Decision{}, true
	}
	r := route.ForModel("m", c.rank, poplar.Tokens(c.prompt), c.blocks)
	if c.waiter != nil && c.waiter.Reason() == admit.ReasonFloor {
		r = r.BelowFloor()
	}
	if c.alone {
		r = r.Exclusive()
	}
	decision, ok := route.Pick(d.table, &r, d.w.v.now, d.w.rnd.Uint64())
	if !ok {
		return 0, decision, false
	}
	return d.placeOf(decision.Candidate().Name()), decision, true
}

// hashPlace returns the engine for a prompt's first block.
func hashPlace(blocks []uint64, n int) int {
	if len(blocks) == 0 {
		return 0
	}
	return int(blocks[0] % uint64(n))
}

// placeOf returns the place of the named engine.
func (d *daemon) placeOf(name poplar.Upstream) int {
	for i, e := range d.w.engines {
		if e.offer.Name == name {
			return i
		}
	}
	return -1
}

// send submits the call to engine i and follows it.
func (d *daemon) send(c *call, i int, decision route.Decision) {
	now, e, g := d.w.v.now, d.w.engines[i], d.gauges[i]
	unread := poplar.Tokens(c.prompt) - decision.CachedTokens()
	g.Start(c.rank, unread, now)
	t := &trip{d: d, c: c, at: i, unread: unread, sent: now, giveBack: c.leave}
	if d.w.policy.limit {
		t.sample = d.ups[i].RecordSent(decision.NominalWait(), now)
	}
	d.open++
	c.state = callRuns
	d.at[i][c] = true
	c.leave = t.leave
	c.job = &job{
		rank: c.rank, unread: c.prompt, output: c.output, blocks: c.blocks, poison: c.poison,
		onFirst: t.first, onDone: func() { d.end(c, "done") }, onCrash: t.crashed,
	}
	if c.onSent != nil {
		c.onSent()
	}
	if !e.submit(c.job) {
		c.job.ended = true
		g.Eject(now.Add(crashBar))
		d.repeat(c, retry.FailedNotRun)
	}
}

// end ends a call once.
func (d *daemon) end(c *call, how string) {
	if c.state == callEnded {
		return
	}
	c.state = callEnded
	c.how = how
	c.leave()
	c.onEnd(c, how)
	d.startMoved()
	d.serveQueue()
}
