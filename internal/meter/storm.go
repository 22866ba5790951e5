package meter

import (
	"context"
	"math/rand/v2"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/retry"
)

// This file holds the measurement of a retry storm: a router dies and its 1,000
// callers send their requests again.

var _ = Add("storm", Storm)

const (
	stormWarm    = 20 * time.Second
	stormTime    = 60 * time.Second
	stormCallers = 1000
	// stormRude is the time after which a caller that heeds no retry time
	// sends again.
	stormRude = 200 * time.Millisecond
	// stormPatience is the time after which a rude caller sends again although
	// its request was not refused.
	stormPatience = 5 * time.Second
	// stormDetect is the time for which the balancer still sends to the dead
	// router, whose refusals callers answer at once.
	stormDetect = 2 * time.Second
	// stormWindow is how long an engine keeps the stream of a dead router.
	stormWindow = 30 * time.Second
)

// Storm measures the engines' extra work and duplicate runs, and what urgent
// work keeps.
func Storm(ctx context.Context, out *Sheet) error {
	rerun := policy{name: "rerun", admit: "none", place: "least"}
	gate := ours
	gate.name = "norecord"
	for _, s := range []struct {
		policy
		claims, rude bool
		name         string
	}{
		{ours, true, false, "ours"},
		{ours, true, true, "ours.rude"},
		{gate, false, true, "norecord.rude"},
		{rerun, false, true, "rerun.rude"},
	} {
		if err := ctx.Err(); err != nil {
			return err
		}
		r := stormRun(s.policy, s.claims, s.rude)
		prefix := "storm." + s.name
		if s.claims {
			out.AtMost(prefix+".duplicates", float64(r.duplicates), "requests", 0)
			out.AtMost(prefix+".extra", r.extra(), "share", 0.1)
		} else {
			out.Note(prefix+".duplicates", float64(r.duplicates), "requests")
			out.Note(prefix+".extra", r.extra(), "share")
		}
		out.Note(prefix+".resumed", float64(r.resumed), "requests")
		out.Note(prefix+".sends", float64(r.sends)/stormCallers, "sends a request")
		out.Note(prefix+".answered", float64(r.answered)/stormCallers, "share")
		out.Note(prefix+".urgent", r.urgent, "share in time")
	}
	return nil
}

// storm is the callers of the router that dies, and the records of the
// requests that the ledger would keep.
type storm struct {
	w      *world
	rnd    *rand.Rand
	claims bool // requests are found by their keys
	rude   bool // callers heed no retry time
	runs   []*stormRequest
	dead   *daemon
	died   time.Time

	duplicates, resumed, sends, answered int
	needed, spent                        float64 // tokens of answers, of all runs
	urgent                               float64
}

// stormRequest is one request of one caller, with its key.
type stormRequest struct {
	s        *storm
	rank     poplar.Rank
	prompt   float64
	output   float64
	open     *call // the attempt that was last dispatched or queued
	at       *daemon
	started  int // runs at engines
	finished bool
}

func stormRun(p policy, claims, rude bool) *storm {
	w := newWorld(p, burnbank, 23)
	s := &storm{w: w, rnd: rand.New(rand.NewPCG(5, 0)), claims: claims, rude: rude, dead: w.daemons[0]}
	g := newCrowd(w, everyday(w.capacity(), stormWarm+stormTime)[:1])
	g.count = func() bool { return s.dead.dead }
	g.send = func(c *call) { s.alive().arrive(c) }
	g.start()
	// The callers come within two seconds, so that part of them run and the
	// others wait when the router dies.
	for range stormCallers {
		r := &stormRequest{s: s, rank: poplar.Bulk, prompt: 800, output: 60 + 80*s.rnd.Float64()}
		s.runs = append(s.runs, r)
		w.v.after(stormWarm-seconds(2*s.rnd.Float64()), func() { r.send(s.dead) })
	}
	w.v.after(stormWarm, s.die)
	w.v.pass(stormWarm + stormTime)
	for _, r := range s.runs {
		s.count(r)
	}
	s.urgent = float64(g.of("urgent").inTime) / float64(max(g.of("urgent").offered, 1))
	return s
}

// count adds what became of a request.
func (s *storm) count(r *stormRequest) {
	s.needed += r.prompt + r.output
	s.spent += float64(r.started) * (r.prompt + r.output)
	if r.started > 1 {
		s.duplicates++
	}
	if r.finished {
		s.answered++
	}
}

// extra returns the engines' work beyond one run of each request.
func (s *storm) extra() float64 { return max(s.spent/s.needed-1, 0) }

// alive returns a router that the balancer picks: for a while, the dead one too.
func (s *storm) alive() *daemon {
	for {
		d := s.w.daemons[s.w.rnd.IntN(len(s.w.daemons))]
		if !d.dead {
			return d
		}
	}
}

// die kills the router. Without records its engines cancel what it ran; with
// them they keep the streams for a while.
func (s *storm) die() {
	s.dead.dead = true
	s.died = s.w.v.now
	for _, r := range s.runs {
		if r.finished || r.open == nil {
			continue
		}
		if !s.claims && r.open.job != nil {
			s.w.v.after(0, r.open.leave)
		}
		r.again(0)
	}
}

// again lets the caller send once more after a while.
func (r *stormRequest) again(d time.Duration) {
	r.s.w.v.after(d, func() {
		s := r.s
		if r.finished {
			return
		}
		early := s.w.v.now.Sub(s.died) < stormDetect
		if early && s.rnd.IntN(len(s.w.daemons)) == 0 {
			s.sends++
			r.again(10 * time.Millisecond)
			return
		}
		r.send(s.alive())
	})
}

// send sends the request to a router, which first asks for its record.
func (r *stormRequest) send(d *daemon) {
	s := r.s
	s.sends++
	if s.claims && r.open != nil && r.open.state != callEnded {
		switch {
		case !r.at.dead:
			return // the record says that a live router has it: the caller waits
		case r.open.job != nil:
			r.join(d)
			return
		}
	}
	c := &call{
		flow: fairFlow(false, numbered("storm", s.rnd.IntN(10))), rank: r.rank, prompt: r.prompt, output: r.output,
		deadline: s.w.ranks[r.rank].Deadline, onFirst: func(time.Duration) {}, onGood: func(float64) {},
	}
	c.onSent = func() { r.started++ }
	c.onEnd = func(c *call, how string) { r.ended(c, how) }
	r.open, r.at = c, d
	d.arrive(c)
	if s.rude {
		s.w.v.after(stormPatience, func() {
			if !r.finished {
				r.send(s.alive())
			}
		})
	}
}

// join follows the run that a dead router left at its engine, as the retry
// decision says, instead of running anew.
func (r *stormRequest) join(d *daemon) {
	s := r.s
	a := retry.NewAttempt(retry.FailedMidStream, 1, true, time.Time{}).WithResume(false)
	decision := d.budgets.Decide(a, r.open.flow.Workspace(), r.rank, s.w.v.now, s.rnd.Uint64())
	if decision.Action() == retry.Resume && s.w.v.now.Sub(s.died) < stormWindow {
		s.resumed++
		return
	}
	r.again(stormRude)
}

// ended hears the end of an attempt.
func (r *stormRequest) ended(c *call, how string) {
	switch {
	case how == "done":
		r.finished = true
	case c != r.open || r.at.dead:
		return
	case r.s.rude || c.retry.IsZero():
		r.again(stormRude)
	default:
		r.again(c.retry.Sub(r.s.w.v.now))
	}
}
