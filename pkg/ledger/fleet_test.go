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

// This file tests the ledgers of several domains with random operations. These
// properties hold after every crash, network partition, and lost, repeated or
// late message:
//
//	P1: the domains never spend more than the budget grant.
//	P2: a request is billed at most once.
//	P5: a non-idempotent request runs at most once.

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "100", "rapid.checks": "400"} {
		_ = flag.Set(name, value) // flags on the command line override these
	}
	flag.Parse()
	os.Exit(m.Run())
}

// budgetGrant is the number of tokens that the log may issue of the only budget.
const budgetGrant = 400

var (
	domains = []poplar.Domain{"d", "e", "f"}
	limits  = claim.Limits{AnswerBytes: 64, TotalAnswerBytes: 256, Tombstones: 64, Window: time.Minute, Unkeyed: 4}
)

// domainSim simulates the ledger of one domain and its disk.
type domainSim struct {
	domain   poplar.Domain
	machine  *ledger.Machine
	twin     *restoredTwin // of machine
	journal  [][]byte
	snapshot []byte // state before the first record of the journal
	durable  int    // invariant: journal[:durable] survives a crash
	outputs  []deferredOutput
}

// deferredOutput is an action that waits until the first journalLen records are
// durable.
type deferredOutput struct {
	journalLen int
	run        func()
}

// pendingReserve is a reservation whose claim has not been decided.
type pendingReserve struct {
	origin      *domainSim
	incarnation int
	req         poplar.ReserveRequest
	decision    ledger.Decision
	ready       bool
	abandoned   bool // the router got no answer and has sent the call again
}

// attempt is an attempt that runs at an upstream.
type attempt struct {
	origin   *domainSim
	key      poplar.Key
	number   poplar.Attempt
	reserved poplar.Tokens
}

// fleetSim simulates the ledgers of all domains, their routers and the network.
type fleetSim struct {
	ledgers      []*domainSim
	incarnations map[*domainSim]int
	now          time.Time
	messages     []func()
	pending      []*pendingReserve
	open         []attempt
	runs         map[poplar.Key]int
	issued       map[*domainSim]poplar.Tokens
	calls        uint64
}

func newFleetSim(t *rapid.T) *fleetSim {
	f := &fleetSim{
		incarnations: map[*domainSim]int{}, now: time.UnixMilli(1_700_000_000_000), runs: map[poplar.Key]int{},
		issued: map[*domainSim]poplar.Tokens{},
	}
	for _, domain := range domains {
		s := &domainSim{domain: domain, machine: ledger.New(domain, limits)}
		f.ledgers = append(f.ledgers, s)
		f.apply(t, s, s.machine.SetPair(1, "a", "", s.machine.NextRun(1)))
		f.issue(t, s, budgetGrant/4)
		s.sync()
	}
	return f
}

func (f *fleetSim) apply(t *rapid.T, s *domainSim, records []ledger.Record) {
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
		s.applyToTwin(t, &decoded)
		s.journal = append(s.journal, data)
	}
}

// afterSync calls run once the records now in the journal are durable.
func (s *domainSim) afterSync(run func()) {
	s.outputs = append(s.outputs, deferredOutput{journalLen: len(s.journal), run: run})
}

func (s *domainSim) sync() {
	s.durable = len(s.journal)
	outputs := s.outputs
	s.outputs = nil
	for _, o := range outputs {
		o.run()
	}
}

func (f *fleetSim) send(message func()) { f.messages = append(f.messages, message) }

// crash restarts the ledger of s with its durable records. Waiting calls get no
// answer.
func (f *fleetSim) crash(t *rapid.T, s *domainSim) {
	m, err := ledger.Restore(s.domain, limits, s.snapshot)
	must(t, err)
	for _, data := range s.journal[:s.durable] {
		r, err := ledger.Decode(data)
		must(t, err)
		must(t, m.Apply(&r))
	}
	s.machine, s.journal, s.outputs = m, s.journal[:s.durable:s.durable], nil
	f.incarnations[s]++
	remaining := f.pending[:0]
	for _, w := range f.pending {
		if w.origin != s {
			remaining = append(remaining, w)
		}
	}
	f.pending = remaining
	f.apply(t, s, s.machine.SetPair(1, "a", "", s.machine.NextRun(1)))
	s.sync()
}

func key(i int) poplar.Key { return poplar.Key(fmt.Sprintf("k%d", i)) }

func (f *fleetSim) reserve(t *rapid.T, s *domainSim, i int, router poplar.Daemon) {
	req := poplar.ReserveRequest{
		Workspace: "w", Budget: "b", Key: key(i), Keyed: true, Digest: uint64(i), MaxTokens: poplar.Tokens(5 + i),
		Idempotent: i%2 == 0, Router: router, Upstream: "u",
	}
	f.calls++
	req.CallID = f.calls
	f.call(t, s, req)
}

func (f *fleetSim) call(t *rapid.T, s *domainSim, req poplar.ReserveRequest) {
	d := s.machine.Reserve(req, domains, f.now)
	f.apply(t, s, d.Records)
	if d.Err != nil || d.Grant.Verdict != poplar.VerdictRun && d.Grant.Verdict != poplar.VerdictResume {
		if d.ClaimRequest == nil {
			return
		}
	}
	w := &pendingReserve{origin: s, incarnation: f.incarnations[s], req: req, decision: d}
	if d.ClaimRequest != nil && d.Err == nil {
		f.sendClaim(t, s, d.Home, *d.ClaimRequest, func(reply claim.Reply) { f.handleReply(t, w, reply) })
	}
	if d.Err != nil {
		return
	}
	if d.ClaimRequest == nil && d.ForwardTo == "" {
		s.afterSync(func() { f.dispatch(t, w) })
		return
	}
	f.pending = append(f.pending, w)
	s.afterSync(func() { w.ready = true })
}

// sendClaim sends a claim request to its home domain and the reply to answer.
func (f *fleetSim) sendClaim(t *rapid.T, from *domainSim, home poplar.Domain, p claim.Request, answer func(claim.Reply)) {
	at := f.ledgerOf(home)
	f.send(func() {
		records, reply := at.machine.DecideClaim(p, f.now)
		f.apply(t, at, records)
		at.afterSync(func() { f.send(func() { answer(reply) }) })
	})
}

func (f *fleetSim) ledgerOf(domain poplar.Domain) *domainSim {
	for _, s := range f.ledgers {
		if s.domain == domain {
			return s
		}
	}
	return nil
}

// removePending removes a waiting reservation. It returns false when w has ended
// already.
func (f *fleetSim) removePending(w *pendingReserve) bool {
	for i, other := range f.pending {
		if other == w {
			f.pending = append(f.pending[:i:i], f.pending[i+1:]...)
			return true
		}
	}
	return false
}

func (f *fleetSim) handleReply(t *rapid.T, w *pendingReserve, reply claim.Reply) {
	if reply.Nonce != w.decision.ClaimRequest.Nonce || !f.removePending(w) {
		return
	}
	switch reply.Decision {
	case claim.DecisionGranted:
		w.origin.afterSync(func() { f.dispatch(t, w) })
	default:
		f.undo(t, w)
	}
}

// undo settles an attempt that was not sent because it got no claim.
func (f *fleetSim) undo(t *rapid.T, w *pendingReserve) {
	outcome := poplar.OutcomeNotRun
	if w.decision.Takeover {
		outcome = poplar.OutcomeUnknown
	}
	d := w.origin.machine.Settle(poplar.Settlement{
		Workspace: "w", Key: w.req.Key, Attempt: w.decision.Grant.Attempt, Outcome: outcome,
	}, domains, f.now)
	f.apply(t, w.origin, d.Records)
}

// proceedWithoutClaim ends the wait of a reservation when the home domain, or the
// domain that has the claim, does not answer.
func (f *fleetSim) proceedWithoutClaim(t *rapid.T, w *pendingReserve) {
	if !f.removePending(w) {
		return
	}
	d := w.origin.machine.MarkProvisional(poplar.NewRequest("w", w.req.Key), w.decision.Grant.Attempt)
	if d.Err != nil {
		f.undo(t, w)
		return
	}
	f.apply(t, w.origin, d.Records)
	w.origin.afterSync(func() { f.dispatch(t, w) })
}

func (f *fleetSim) dispatch(t *rapid.T, w *pendingReserve) {
	if w.abandoned {
		return
	}
	if w.decision.Grant.Verdict == poplar.VerdictRun {
		f.runs[w.req.Key]++
	}
	if f.runs[w.req.Key] > 1 && !w.req.Idempotent {
		t.Fatalf("P5: %s ran twice", w.req.Key)
	}
	f.open = append(f.open, attempt{w.origin, w.req.Key, w.decision.Grant.Attempt, w.req.MaxTokens})
}

func (f *fleetSim) settle(t *rapid.T, a attempt, outcome poplar.Outcome, spent poplar.Tokens) {
	d := a.origin.machine.Settle(poplar.Settlement{
		Workspace: "w", Key: a.key, Attempt: a.number, Outcome: outcome, Spent: spent, Response: []byte("answer"),
	}, domains, f.now)
	f.apply(t, a.origin, d.Records)
}

// report sends the outcomes of s to the home domains of its requests.
func (f *fleetSim) report(t *rapid.T, s *domainSim) {
	for _, p := range s.machine.PendingClaimRequests(16, func(*claim.Record) bool { return true }) {
		incarnation := f.incarnations[s]
		answer := func(reply claim.Reply) {
			if f.incarnations[s] == incarnation {
				f.apply(t, s, s.machine.DecideClaimReply(p, reply, f.now))
			}
		}
		f.sendClaim(t, s, claim.Home(p.Request(), domains), p, answer)
	}
}

// issue acts as the log: it issues more tokens to s unless the domains would have
// more than the grant, less the tokens that were durably returned.
func (f *fleetSim) issue(t *rapid.T, s *domainSim, more poplar.Tokens) {
	var outstanding poplar.Tokens
	for _, other := range f.ledgers {
		outstanding += f.issued[other] - f.returned(t, other)
	}
	if outstanding+more > budgetGrant {
		return
	}
	f.issued[s] += more
	f.apply(t, s, s.machine.Issue([]ledger.Share{{Budget: "b", Serial: 1, Issued: f.issued[s]}}))
}

// returned returns the returned counter of s if all its records are durable, and
// 0 otherwise.
func (f *fleetSim) returned(t *rapid.T, s *domainSim) poplar.Tokens {
	if s.durable == len(s.journal) {
		account, _ := s.machine.Budgets().Account("b")
		return account.Returned()
	}
	return 0
}

// check checks P1, and P2 for the bills that home domains have confirmed.
func (f *fleetSim) check(t *rapid.T) {
	var spent poplar.Tokens
	confirmed := map[poplar.Key]int{}
	for _, s := range f.ledgers {
		account, _ := s.machine.Budgets().Account("b")
		if !account.Valid() {
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
		if open != s.machine.ReservationCount() {
			t.Fatalf("%s reports %d open reservations, but has %d", s.domain, s.machine.ReservationCount(), open)
		}
	}
	if spent > budgetGrant {
		t.Fatalf("P1: %d spent of %d", spent, budgetGrant)
	}
	for k, n := range confirmed {
		if n > 1 {
			t.Fatalf("P2: %s is billed %d times", k, n)
		}
	}
}

// checkAfterMerge delivers all messages, reports all outcomes to their home
// domains, and checks that every settled key has exactly one bill.
func (f *fleetSim) checkAfterMerge(t *rapid.T) {
	for range 6 {
		for _, s := range f.ledgers {
			s.sync()
		}
		for len(f.messages) > 0 {
			m := f.messages[0]
			f.messages = f.messages[1:]
			m()
			for _, s := range f.ledgers {
				s.sync()
			}
		}
		for len(f.pending) > 0 {
			f.proceedWithoutClaim(t, f.pending[0])
		}
		for _, s := range f.ledgers {
			s.sync()
		}
		for _, a := range f.open {
			f.settle(t, a, poplar.OutcomeDone, 1)
		}
		f.open = nil
		for _, s := range f.ledgers {
			f.report(t, s)
		}
		f.check(t)
	}
	bills := map[poplar.Key]int{}
	for _, s := range f.ledgers {
		s.machine.Claims().Each(func(r *claim.Record) bool {
			if r.State() == claim.Settled && !r.Void() {
				bills[r.Request().Key()]++
			}
			if r.State() == claim.Settled && !r.Reported() {
				t.Fatalf("%s: the home domain has not confirmed %s", s.domain, r.Request())
			}
			return true
		})
	}
	for k, n := range bills {
		if n != 1 {
			t.Fatalf("P2: %s has %d bills after the partition", k, n)
		}
	}
}

func pick[T any](t *rapid.T, items []T, label string) (T, int) {
	if len(items) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(items)-1).Draw(t, label)
	return items[i], i
}

func TestLedgersAcrossDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetSim(t)
		anyLedger := func(t *rapid.T) *domainSim {
			s, _ := pick(t, f.ledgers, "site")
			return s
		}
		t.Repeat(map[string]func(*rapid.T){
			"": f.check,
			"reserve": func(t *rapid.T) {
				router := rapid.SampledFrom([]poplar.Daemon{"r", "s"}).Draw(t, "router")
				f.reserve(t, anyLedger(t), rapid.IntRange(0, 3).Draw(t, "key"), router)
			},
			"sync": func(t *rapid.T) { anyLedger(t).sync() },
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
				w, _ := pick(t, f.pending, "ask")
				if !w.ready {
					t.Skip()
				}
				f.proceedWithoutClaim(t, w)
			},
			"resend": func(t *rapid.T) {
				w, _ := pick(t, f.pending, "ask")
				if w.abandoned {
					t.Skip() // a router has only one call in flight
				}
				w.abandoned = true
				f.call(t, w.origin, w.req)
			},
			"settle": func(t *rapid.T) {
				a, i := pick(t, f.open, "attempt")
				f.open = append(f.open[:i:i], f.open[i+1:]...)
				outcome := rapid.SampledFrom([]poplar.Outcome{
					poplar.OutcomeDone, poplar.OutcomeIncomplete, poplar.OutcomeUnknown,
				}).Draw(t, "outcome")
				f.settle(t, a, outcome, poplar.Tokens(rapid.IntRange(0, int(a.reserved)).Draw(t, "spent")))
			},
			"gone": func(t *rapid.T) {
				s := anyLedger(t)
				f.apply(t, s, s.machine.OrphanRequests("r", f.now))
				f.apply(t, s, s.machine.SettleOrphans(f.now, f.now))
			},
			"crash":  func(t *rapid.T) { f.crash(t, anyLedger(t)) },
			"report": func(t *rapid.T) { f.report(t, anyLedger(t)) },
			"issue": func(t *rapid.T) {
				f.issue(t, anyLedger(t), poplar.Tokens(rapid.IntRange(1, 60).Draw(t, "more")))
			},
			"return": func(t *rapid.T) {
				s := anyLedger(t)
				f.apply(t, s, s.machine.Return("b", poplar.Tokens(rapid.IntRange(1, 60).Draw(t, "back"))))
			},
			"compact": func(t *rapid.T) {
				s := anyLedger(t)
				s.sync()
				s.snapshot, s.journal, s.durable = s.machine.Snapshot(), nil, 0
				restored, err := ledger.Restore(s.domain, limits, s.snapshot)
				must(t, err)
				assert.DeepEqual(t, stateLines(restored), stateLines(s.machine))
			},
			"time": func(t *rapid.T) {
				f.now = f.now.Add(25 * time.Second)
				s := anyLedger(t)
				f.apply(t, s, s.machine.Expire(f.now))
			},
		})
		f.checkAfterMerge(t)
	})
}
