package meter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
	"poplarbend.example/poplar/pkg/share"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds one run of the measurement of budgets: the real state,
// policy and books, with messages that take time.

// The times of a run. Hops are short; a commit is a sync at a majority.
const (
	budgetHop     = 2 * time.Millisecond
	budgetCommit  = 5 * time.Millisecond
	budgetReport  = 250 * time.Millisecond
	budgetDecide  = 100 * time.Millisecond
	budgetWait    = time.Second // the longest that a request waits for tokens
	budgetRequest = time.Second // the mean run of a request
)

// The load of a run.
const (
	budgetRate = 20.0 // requests a second over all domains
	budgetMost = 2000 // the largest reservation
	budgetName = poplar.Budget("team/main")
	budgetHot  = 0.85 // of the requests at one domain, when demand is skewed
)

// budgetSite is one domain.
type budgetSite struct {
	name     poplar.Domain
	cut      bool
	book     *budget.Accounts
	follower *state.Follower
	demand   share.Demand
	waiting  []*budgetAsk
	short    poplar.Tokens
	pending  bool // a report is on its way
}

func (s *budgetSite) account() budget.Account {
	a, _ := s.book.Account(budgetName)
	return a
}

// budgetAsk is one request.
type budgetAsk struct {
	most, cost poplar.Tokens
	until      time.Duration
	counted    bool
	done       bool
}

// event is one thing to happen.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// budgetRun is one run.
type budgetRun struct {
	trial
	tally
	policy  share.Policy
	random  *rand.Rand
	now     time.Duration
	seq     int
	events  events
	sites   []*budgetSite
	log     *state.State
	index   poplar.Index
	granted poplar.Tokens
	used    poplar.Tokens // settled and open, over all domains
	start   poplar.Tokens // what is left when the count begins
	end     poplar.Tokens // what is left when the run ends
	asks    poplar.Tokens // cost of the counted requests
	begun   bool
	stopped bool
	err     error                               // the first one
	known   map[poplar.Domain]share.DomainShare // the leader's knowledge
	spent   map[poplar.Domain]poplar.Tokens
}

// budgetEpoch is the time at which every run begins.
var budgetEpoch = time.Unix(1_000_000_000, 0)

func newBudgetRun(t trial) *budgetRun {
	r := &budgetRun{
		trial: t, policy: share.DefaultPolicy(), random: rand.New(rand.NewPCG(t.seed, uint64(t.domains))), log: state.New(),
		known: map[poplar.Domain]share.DomainShare{}, spent: map[poplar.Domain]poplar.Tokens{},
	}
	r.start = poplar.Tokens(t.left * float64(budgetWhole))
	r.granted = r.start + r.start/5 // what is spent before the count begins
	r.end = r.start / 10
	if t.left <= 0.01 {
		r.end = 0
	}
	for i := range t.domains {
		name := poplar.Domain(fmt.Sprintf("d%d", i))
		r.sites = append(r.sites, &budgetSite{name: name, book: budget.New(), follower: state.NewFollower(name)})
		r.apply(state.Command{Ledger: &state.Ledger{Domain: name, Epoch: 1, Primary: state.Holder{Name: "p"}}})
	}
	r.apply(state.Command{Change: &state.Change{Number: 1, Budgets: []state.Declared{{Name: budgetName, Workspace: "team", Tokens: r.granted}}}})
	return r
}

func (r *budgetRun) apply(c state.Command) {
	r.index++
	r.log.Apply(r.index, state.Encode(c))
}

func (r *budgetRun) time() time.Time { return budgetEpoch.Add(r.now) }

// after lets do happen after a delay.
func (r *budgetRun) after(delay time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, event{at: r.now + delay, seq: r.seq, do: do})
}

// run returns the tally of the run, or the error of a step that must not fail.
func (r *budgetRun) run() (tally, error) {
	r.prepare()
	for i := range r.sites {
		r.after(0, func() { r.report(r.sites[i], true) })
		r.after(time.Second, func() { r.arrive(i) })
	}
	r.after(0, r.decide)
	for len(r.events) > 0 && !r.stopped {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.do()
	}
	return r.tally, r.err
}

// fail ends the run with its first error.
func (r *budgetRun) fail(err error) {
	if err != nil && r.err == nil {
		r.err, r.stopped = err, true
	}
}

// prepare issues the fixed shares.
func (r *budgetRun) prepare() {
	if r.method != methodEqual {
		return
	}
	for _, s := range r.sites {
		r.apply(state.Command{Issue: &state.Issue{Shares: []state.Share{{Budget: budgetName, Domain: s.name, Tokens: r.granted / poplar.Tokens(r.domains)}}}})
		r.follow(s)
	}
}

// weight is the part of all requests that arrives at a domain.
func (r *budgetRun) weight(i int) float64 {
	switch {
	case !r.skewed:
		return 1 / float64(r.domains)
	case i == 0:
		return budgetHot
	}
	return (1 - budgetHot) / float64(r.domains-1)
}

// arrive takes a request at a domain and plans the next.
func (r *budgetRun) arrive(i int) {
	gap := r.random.ExpFloat64() / (budgetRate * r.weight(i))
	r.after(time.Duration(gap*float64(time.Second)), func() { r.arrive(i) })
	most := poplar.Tokens(200 + r.random.IntN(budgetMost-200))
	ask := &budgetAsk{most: most, cost: most * poplar.Tokens(30+r.random.IntN(71)) / 100, until: r.now + budgetWait}
	r.mark()
	if ask.counted = r.begun; ask.counted {
		r.asked++
		r.asks += ask.cost
	}
	r.try(r.sites[i], ask)
}

// mark begins the count and the cut, and ends the run.
func (r *budgetRun) mark() {
	left := r.granted - r.used
	if !r.begun && left <= r.start {
		r.begun = true
		if r.cut >= 0 {
			r.sites[r.cut].cut = true
		}
	}
	if r.asks >= r.start-r.end {
		r.stopped = true
	}
}

func (r *budgetRun) try(s *budgetSite, ask *budgetAsk) {
	if r.method == methodCentral {
		r.central(s, ask)
		return
	}
	s.demand.Record(ask.most, r.time())
	if r.reserve(s, ask) {
		return
	}
	if r.method == methodDemand && !s.cut {
		s.waiting = append(s.waiting, ask)
		r.after(budgetWait, func() { r.expire(s, ask) })
	} else {
		s.short += ask.most
		r.refuse(ask)
	}
	r.report(s, false)
}

// central asks the one counter.
func (r *budgetRun) central(s *budgetSite, ask *budgetAsk) {
	if s.cut || r.used+ask.most > r.granted {
		r.refuse(ask)
		return
	}
	r.hold(ask)
	r.after(r.duration(), func() { r.used -= ask.most - ask.cost })
}

// reserve takes the tokens from the domain's book.
func (r *budgetRun) reserve(s *budgetSite, ask *budgetAsk) bool {
	if s.book.Reserve(budgetName, ask.most) != nil {
		return false
	}
	ask.done = true
	r.hold(ask)
	r.after(r.duration(), func() {
		r.fail(s.book.Settle(budgetName, ask.most, ask.cost))
		r.used -= ask.most - ask.cost
		s.demand.RecordUnspent(ask.most-ask.cost, r.time())
		r.serve(s)
	})
	return true
}

func (r *budgetRun) hold(ask *budgetAsk) {
	r.used += ask.most
	r.over = max(r.over, r.used-r.granted)
}

func (r *budgetRun) duration() time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(budgetRequest))
}

// serve gives tokens to the waiting requests, those first that fit.
func (r *budgetRun) serve(s *budgetSite) {
	kept := s.waiting[:0]
	for _, ask := range s.waiting {
		if !ask.done && !r.reserve(s, ask) {
			kept = append(kept, ask)
		}
	}
	s.waiting = kept
}

func (r *budgetRun) expire(s *budgetSite, ask *budgetAsk) {
	if ask.done {
		return
	}
	ask.done = true
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if w != ask {
			kept = append(kept, w)
		}
	}
	s.waiting = kept
	r.refuse(ask)
}

// refuse counts a refusal, which is false when the whole fleet had the tokens.
func (r *budgetRun) refuse(ask *budgetAsk) {
	if !ask.counted {
		return
	}
	r.refused++
	if r.granted-r.used >= ask.most {
		r.falsely++
	}
}
