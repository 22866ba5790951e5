package meter

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/fair"
)

// This file holds the callers in virtual time and what became of their calls.

// kind is one kind of call that arrives at random.
type kind struct {
	rank   poplar.Rank
	rate   float64 // calls a second
	prompt float64 // mean tokens
	output float64 // mean tokens
	spaces int     // workspaces that share the rate
	from   time.Duration
	to     time.Duration
}

// patience is how long a caller of each rank waits for its first token.
var patience = [poplar.Ranks]time.Duration{time.Second, 10 * time.Second, 2 * time.Minute}

// hold returns the seconds for which a mean call holds a slot.
func (k kind) hold() float64 { return k.prompt/enginePrefill + k.output/engineDecode }

// outcome counts the calls of one rank or group.
type outcome struct {
	offered, done, refused, left, lost int
	inTime                             int // first token within the deadline
	firsts                             []float64
	good                               float64 // tokens of answers whose first token was in time
	busy                               float64 // share of all slots held, in the mean
}

// quantile returns the q-th quantile of the times to the first token, in
// seconds.
func (t *outcome) quantile(q float64) float64 {
	if len(t.firsts) == 0 {
		return math.NaN()
	}
	sort.Float64s(t.firsts)
	return t.firsts[min(int(q*float64(len(t.firsts))), len(t.firsts)-1)]
}

// crowd makes the calls of some kinds arrive and outcomes them.
type crowd struct {
	w        *world
	kinds    []kind
	outcomes map[string]*outcome
	group    func(*call) string
	rnd      *rand.Rand           // of the arrivals alone
	pick     func(c *call, n int) // may change a call of the n-th workspace
	count    func() bool          // whether calls that arrive now are tallied
	send     func(*call)          // hands a call to a router
	ended    func(*call)          // hears the end of each call
}

// newCrowd returns a crowd whose calls are tallied by rank.
func newCrowd(w *world, kinds []kind) *crowd {
	g := &crowd{
		w: w, kinds: kinds, outcomes: map[string]*outcome{},
		rnd:   rand.New(rand.NewPCG(11, 0)),
		pick:  func(*call, int) {},
		ended: func(*call) {},
		group: func(c *call) string { return c.rank.String() },
		count: func() bool { return true },
	}
	g.send = func(c *call) { w.daemons[g.rnd.IntN(len(w.daemons))].arrive(c) }
	return g
}

// fork gives the crowd arrivals of its own.
func (g *crowd) fork(seed uint64) { g.rnd = rand.New(rand.NewPCG(seed, 0)) }

// of returns the outcome of a group.
func (g *crowd) of(group string) *outcome {
	t := g.outcomes[group]
	if t == nil {
		t = &outcome{}
		g.outcomes[group] = t
	}
	return t
}

// start makes all kinds arrive from their time on.
func (g *crowd) start() {
	for _, k := range g.kinds {
		g.w.v.after(k.from, func() { g.next(k, g.w.v.now.Add(k.to-k.from)) })
	}
}

// watch notes the share of the slots that each rank holds while calls are
// counted.
func (g *crowd) watch() {
	samples := 0.0
	var held [poplar.Ranks]float64
	g.w.v.every(250*time.Millisecond, func() {
		if !g.count() {
			return
		}
		samples++
		for _, e := range g.w.engines {
			for r := range held {
				held[r] += float64(e.running[r])
				g.of(poplar.Rank(r).String()).busy = held[r] / samples / g.w.capacity()
			}
		}
	})
}

// next makes one call of k arrive, and the next after an exponential time.
func (g *crowd) next(k kind, end time.Time) {
	if !g.w.v.now.Before(end) {
		return
	}
	g.w.v.after(seconds(g.rnd.ExpFloat64()/k.rate), func() { g.next(k, end) })
	g.arrive(g.call(k))
}

// call returns a call of kind k from one of its workspaces.
func (g *crowd) call(k kind) *call {
	n := g.rnd.IntN(max(k.spaces, 1))
	c := &call{
		flow:   fair.NewFlow(poplar.Workspace(numbered("space", n)), "caller", 1),
		rank:   k.rank,
		prompt: math.Ceil(k.prompt * (0.5 + g.rnd.Float64())),
		output: math.Ceil(k.output * (0.5 + g.rnd.Float64())),
		onGood: func(float64) {},
	}
	g.pick(c, n)
	return c
}

// arrive lets the call arrive at a router that the balancer picks.
func (g *crowd) arrive(c *call) {
	c.patience = patience[c.rank]
	c.deadline = g.w.ranks[c.rank].Deadline
	var t *outcome
	if g.count() {
		t = g.of(g.group(c))
		t.offered++
	} else {
		t = &outcome{}
	}
	c.onFirst = func(first time.Duration) {
		t.firsts = append(t.firsts, first.Seconds())
		if first <= c.deadline {
			t.inTime++
			c.inTime = true
		}
	}
	c.onEnd = func(c *call, how string) {
		t.end(c, how)
		g.ended(c)
	}
	g.send(c)
}

func (t *outcome) end(c *call, how string) {
	switch how {
	case "done":
		t.done++
		if c.inTime {
			t.good += c.output
			c.onGood(c.output)
		}
	case endRefused:
		t.refused++
	case endLeft:
		t.left++
	default:
		t.lost++
	}
}
