package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file holds the random test of ledgers in several domains: P1, P2 and P5
// hold at every step of crashes, cuts, lost, doubled and late messages.

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "100", "rapid.checks": "400"} {
		_ = flag.Set(name, value) // the command line goes before
	}
	flag.Parse()
	os.Exit(m.Run())
}

// granted is what the log may issue of the only budget.
const granted = 400

var (
	domains = []poplar.Domain{"d", "e", "f"}
	limits  = claim.Limits{AnswerBytes: 64, TotalAnswerBytes: 256, Tombstones: 64, Window: time.Minute, Unkeyed: 4}
)

// site is the ledger of one domain with its disk.
type site struct {
	domain  poplar.Domain
	machine *ledger.Machine
	journal [][]byte
	image   []byte // snapshot before the journal
	durable int    // invariant: journal[:durable] survives a crash
	held    []output
}

// output is what may leave a site once the journal is durable up to at.
type output struct {
	at  int
	out func()
}

// waiting is an ask whose claim is not settled.
type waiting struct {
	site     *site
	life     int
	ask      poplar.ReserveRequest
	decision ledger.Decision
	ready    bool
	gone     bool // the router got no answer and sent the call again
}

// attempt is a run at an upstream.
type attempt struct {
	site *site
	key  poplar.Key
	no   poplar.Attempt
	most poplar.Tokens
}

type fleet struct {
	sites    []*site
	lives    map[*site]int
	now      time.Time
	messages []func()
	asks     []*waiting
	open     []attempt
	runs     map[poplar.Key]int
	issued   map[*site]poplar.Tokens
	calls    uint64
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		lives: map[*site]int{}, now: time.UnixMilli(1_700_000_000_000), runs: map[poplar.Key]int{},
		issued: map[*site]poplar.Tokens{},
	}
	for _, domain := range domains {
		s := &site{domain: domain, machine: ledger.New(domain, limits)}
		f.sites = append(f.sites, s)
		f.apply(t, s, s.machine.Name(1, "a", "", s.machine.NextRun(1)))
		f.issue(t, s, granted/4)
		s.sync()
	}
	return f
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("%v", err)
	}
}

func (f *fleet) apply(t *rapid.T, s *site, records []ledger.Record) {
	for i := range records {
		r := records[i]
		data := r.Append(nil)
		decoded, err := ledger.Decode(data)
		if err == nil {
			err = s.machine.Apply(&decoded)
		}
		if err != nil {
			t.Fatalf("%s: %v", s.domain, err)
		}
		s.journal = append(s.journal, data)
	}
}

// after runs out once what is in the journal now is durable.
func (s *site) after(out func()) { s.held = append(s.held, output{at: len(s.journal), out: out}) }

func (s *site) sync() {
	s.durable = len(s.journal)
	held := s.held
	s.held = nil
	for _, o := range held {
		o.out()
	}
}

func (f *fleet) send(message func()) { f.messages = append(f.messages, message) }

// crash loses what is not durable; calls that wait end without an answer.
func (f *fleet) crash(t *rapid.T, s *site) {
	m, err := ledger.Restore(s.domain, limits, s.image)
	must(t, err)
	for _, data := range s.journal[:s.durable] {
		r, err := ledger.Decode(data)
		must(t, err)
		must(t, m.Apply(&r))
	}
	s.machine, s.journal, s.held = m, s.journal[:s.durable:s.durable], nil
	f.lives[s]++
	asks := f.asks[:0]
	for _, w := range f.asks {
		if w.site != s {
			asks = append(asks, w)
		}
	}
	f.asks = asks
	f.apply(t, s, s.machine.Name(1, "a", "", s.machine.NextRun(1)))
	s.sync()
}

func key(i int) poplar.Key { return poplar.Key(fmt.Sprintf("k%d", i)) }

func (f *fleet) reserve(t *rapid.T, s *site, i int, router poplar.Daemon) {
	a := poplar.ReserveRequest{
		Workspace: "w", Budget: "b", Key: key(i), Keyed: true, Digest: uint64(i), MaxTokens: poplar.Tokens(5 + i),
		Idempotent: i%2 == 0, Router: router, Upstream: "u",
	}
	f.calls++
	a.CallID = f.calls
	f.call(t, s, a)
}

func (f *fleet) call(t *rapid.T, s *site, a poplar.ReserveRequest) {
	d := s.machine.Reserve(a, domains, f.now)
	f.apply(t, s, d.Records)
	if d.Err != nil || d.Grant.Verdict != poplar.VerdictRun && d.Grant.Verdict != poplar.VerdictResume {
		if d.Plea == nil {
			return
		}
	}
	w := &waiting{site: s, life: f.lives[s], ask: a, decision: d}
	if d.Plea != nil && d.Err == nil {
		f.plea(t, s, d.Home, *d.Plea, func(reply claim.Reply) { f.answer(t, w, reply) })
	}
	if d.Err != nil {
		return
	}
	if d.Plea == nil && d.Elsewhere == "" {
		s.after(func() { f.dispatch(t, w) })
		return
	}
	f.asks = append(f.asks, w)
	s.after(func() { w.ready = true })
}

// plea sends a plea to its home and the answer back.
func (f *fleet) plea(t *rapid.T, from *site, home poplar.Domain, p claim.Request, answer func(claim.Reply)) {
	at := f.site(home)
	f.send(func() {
		records, reply := at.machine.Plead(p, f.now)
		f.apply(t, at, records)
		at.after(func() { f.send(func() { answer(reply) }) })
	})
}

func (f *fleet) site(domain poplar.Domain) *site {
	for _, s := range f.sites {
		if s.domain == domain {
			return s
		}
	}
	return nil
}

// take removes a waiting ask; false when it ended before.
func (f *fleet) take(w *waiting) bool {
	for i, other := range f.asks {
		if other == w {
			f.asks = append(f.asks[:i:i], f.asks[i+1:]...)
			return true
		}
	}
	return false
}

func (f *fleet) answer(t *rapid.T, w *waiting, reply claim.Reply) {
	if reply.Nonce != w.decision.Plea.Nonce || !f.take(w) {
		return
	}
	switch reply.Decision {
	case claim.DecisionGranted:
		w.site.after(func() { f.dispatch(t, w) })
	default:
		f.undo(t, w)
	}
}

func (f *fleet) undo(t *rapid.T, w *waiting) {
	outcome := poplar.OutcomeNotRun
	if w.decision.Takeover {
		outcome = poplar.OutcomeUnknown
	}
	d := w.site.machine.Settle(poplar.Settlement{
		Workspace: "w", Key: w.ask.Key, Attempt: w.decision.Grant.Attempt, Outcome: outcome,
	}, domains, f.now)
	f.apply(t, w.site, d.Records)
}

// cut is the end of an ask whose home, or whose holder, does not answer.
func (f *fleet) cut(t *rapid.T, w *waiting) {
	if !f.take(w) {
		return
	}
	d := w.site.machine.Provision(poplar.NewRequest("w", w.ask.Key), w.decision.Grant.Attempt)
	if d.Err != nil {
		f.undo(t, w)
		return
	}
	f.apply(t, w.site, d.Records)
	w.site.after(func() { f.dispatch(t, w) })
}

func (f *fleet) dispatch(t *rapid.T, w *waiting) {
	if w.gone {
		return
	}
	if w.decision.Grant.Verdict == poplar.VerdictRun {
		f.runs[w.ask.Key]++
	}
	if f.runs[w.ask.Key] > 1 && !w.ask.Idempotent {
		t.Fatalf("P5: %s ran twice", w.ask.Key)
	}
	f.open = append(f.open, attempt{w.site, w.ask.Key, w.decision.Grant.Attempt, w.ask.MaxTokens})
}

func (f *fleet) settle(t *rapid.T, a attempt, outcome poplar.Outcome, spent poplar.Tokens) {
	d := a.site.machine.Settle(poplar.Settlement{
		Workspace: "w", Key: a.key, Attempt: a.no, Outcome: outcome, Spent: spent, Response: []byte("answer"),
	}, domains, f.now)
	f.apply(t, a.site, d.Records)
}

func (f *fleet) report(t *rapid.T, s *site) {
	for _, p := range s.machine.Pleas(16, func(*claim.Record) bool { return true }) {
		life := f.lives[s]
		answer := func(reply claim.Reply) {
			if f.lives[s] == life {
				f.apply(t, s, s.machine.Ruled(p, reply, f.now))
			}
		}
		f.plea(t, s, claim.Home(p.Request(), domains), p, answer)
	}
}

// issue is the log: it issues as long as the grant holds and hears the durable
// returned counters.
func (f *fleet) issue(t *rapid.T, s *site, more poplar.Tokens) {
	var out poplar.Tokens
	for _, other := range f.sites {
		out += f.issued[other] - f.returned(t, other)
	}
	if out+more > granted {
		return
	}
	f.issued[s] += more
	f.apply(t, s, s.machine.Issue([]ledger.Share{{Budget: "b", Serial: 1, Issued: f.issued[s]}}))
}

// returned is the durable returned counter.
func (f *fleet) returned(t *rapid.T, s *site) poplar.Tokens {
	if s.durable == len(s.journal) {
		account, _ := s.machine.Budgets().Account("b")
		return account.Returned()
	}
	return 0
}

// check holds P1 and the live part of P2.
func (f *fleet) check(t *rapid.T) {
	var spent poplar.Tokens
	confirmed := map[poplar.Key]int{}
	for _, s := range f.sites {
		account, _ := s.machine.Budgets().Account("b")
		if !account.Holds() {
			t.Fatalf("P1: account of %s: %+v", s.domain, account)
		}
		spent += account.Settled() + account.Open()
		open := 0
		s.machine.Claims().Each(func(r *claim.Record) bool {
			if !r.Valid() {
				t.Fatalf("record %+v", r.Export())
			}
			if r.Reserved() > 0 {
				open++
			}
			if r.State() == claim.Settled && r.Reported() && !r.Void() {
				confirmed[r.Request().Key()]++
			}
			return true
		})
		if open != s.machine.Open() {
			t.Fatalf("%s counts %d open, has %d", s.domain, s.machine.Open(), open)
		}
	}
	if spent > granted {
		t.Fatalf("P1: %d spent of %d", spent, granted)
	}
	for k, n := range confirmed {
		if n > 1 {
			t.Fatalf("P2: %s is billed %d times", k, n)
		}
	}
}

// heal delivers everything and merges all bills; then each key has at most one
// bill, and exactly one when it was ever settled.
func (f *fleet) heal(t *rapid.T) {
	for range 6 {
		for _, s := range f.sites {
			s.sync()
		}
		for len(f.messages) > 0 {
			m := f.messages[0]
			f.messages = f.messages[1:]
			m()
			for _, s := range f.sites {
				s.sync()
			}
		}
		for len(f.asks) > 0 {
			f.cut(t, f.asks[0])
		}
		for _, s := range f.sites {
			s.sync()
		}
		for _, a := range f.open {
			f.settle(t, a, poplar.OutcomeDone, 1)
		}
		f.open = nil
		for _, s := range f.sites {
			f.report(t, s)
		}
		f.check(t)
	}
	bills := map[poplar.Key]int{}
	for _, s := range f.sites {
		s.machine.Claims().Each(func(r *claim.Record) bool {
			if r.State() == claim.Settled && !r.Void() {
				bills[r.Request().Key()]++
			}
			if r.State() == claim.Settled && !r.Reported() {
				t.Fatalf("%s: %s is not merged", s.domain, r.Request())
			}
			return true
		})
	}
	for k, n := range bills {
		if n != 1 {
			t.Fatalf("P2: %s has %d bills after the cut", k, n)
		}
	}
}

func pick[T any](t *rapid.T, of []T, label string) (T, int) {
	if len(of) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(of)-1).Draw(t, label)
	return of[i], i
}

func TestLedgersOverDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		site := func(t *rapid.T) *site {
			s, _ := pick(t, f.sites, "site")
			return s
		}
		t.Repeat(map[string]func(*rapid.T){
			"": f.check,
			"reserve": func(t *rapid.T) {
				router := rapid.SampledFrom([]poplar.Daemon{"r", "s"}).Draw(t, "router")
				f.reserve(t, site(t), rapid.IntRange(0, 3).Draw(t, "key"), router)
			},
			"sync": func(t *rapid.T) { site(t).sync() },
			"deliver": func(t *rapid.T) {
				m, i := pick(t, f.messages, "message")
				if !rapid.Bool().Draw(t, "double") {
					f.messages = append(f.messages[:i:i], f.messages[i+1:]...)
				}
				m()
			},
			"lose": func(t *rapid.T) {
				_, i := pick(t, f.messages, "message")
				f.messages = append(f.messages[:i:i], f.messages[i+1:]...)
			},
			"cut": func(t *rapid.T) {
				w, _ := pick(t, f.asks, "ask")
				if !w.ready {
					t.Skip()
				}
				f.cut(t, w)
			},
			"resend": func(t *rapid.T) {
				w, _ := pick(t, f.asks, "ask")
				if w.gone {
					t.Skip() // a router has one call on its way
				}
				w.gone = true
				f.call(t, w.site, w.ask)
			},
			"settle": func(t *rapid.T) {
				a, i := pick(t, f.open, "attempt")
				f.open = append(f.open[:i:i], f.open[i+1:]...)
				outcome := rapid.SampledFrom([]poplar.Outcome{
					poplar.OutcomeDone, poplar.OutcomeCut, poplar.OutcomeUnknown,
				}).Draw(t, "outcome")
				f.settle(t, a, outcome, poplar.Tokens(rapid.IntRange(0, int(a.most)).Draw(t, "spent")))
			},
			"gone": func(t *rapid.T) {
				s := site(t)
				f.apply(t, s, s.machine.RouterGone("r", f.now))
				f.apply(t, s, s.machine.Sweep(f.now, f.now))
			},
			"crash":  func(t *rapid.T) { f.crash(t, site(t)) },
			"report": func(t *rapid.T) { f.report(t, site(t)) },
			"issue": func(t *rapid.T) {
				f.issue(t, site(t), poplar.Tokens(rapid.IntRange(1, 60).Draw(t, "more")))
			},
			"return": func(t *rapid.T) {
				s := site(t)
				f.apply(t, s, s.machine.Return("b", poplar.Tokens(rapid.IntRange(1, 60).Draw(t, "back"))))
			},
			"compact": func(t *rapid.T) {
				s := site(t)
				s.sync()
				s.image, s.journal, s.durable = s.machine.Snapshot(), nil, 0
				again, err := ledger.Restore(s.domain, limits, s.image)
				must(t, err)
				assert.DeepEqual(t, state(again), state(s.machine))
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(25 * time.Second)
				s := site(t)
				f.apply(t, s, s.machine.Expire(f.now))
			},
		})
		f.heal(t)
	})
}
