package allot

import (
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/share"
	"poplarbend.example/poplar/pkg/state"
)

// chain is a log of one voter, and its clock.
type chain struct {
	state *state.State
	index poplar.Index
	now   time.Time
	lost  bool // answers are lost
}

func (c *chain) Now() time.Time { return c.now }

func (c *chain) Propose(_ context.Context, command []byte) ([]byte, error) {
	c.index++
	reply := c.state.Apply(c.index, command)
	if c.lost {
		return nil, poplar.Failf(poplar.StepPropose, poplar.CodeTimeout, "the answer is lost")
	}
	return reply, nil
}

func newChain(t *testing.T, tokens poplar.Tokens) (*chain, *Allotter) {
	c := &chain{state: state.New(), now: time.Unix(1_000_000, 0)}
	_, err := c.Propose(t.Context(), state.Encode(state.Command{Change: &state.Change{
		Number: 1, Operator: "op", Files: map[string]string{"a": "{}"},
		Budgets: []state.Declared{{Name: "gold", Workspace: "w", Tokens: tokens}},
	}}))
	assert.NilError(t, err)
	for _, d := range []poplar.Domain{"east", "west"} {
		holder := state.Holder{Name: poplar.Daemon(d) + "-1", Life: 1}
		_, err := c.Propose(t.Context(), state.Encode(state.Command{Ledger: &state.Ledger{Domain: d, Epoch: 1, Primary: holder}}))
		assert.NilError(t, err)
	}
	a := New(Config{
		Read: func(f func(*state.State)) { f(c.state) }, Leads: func() bool { return true },
		Proposer: c, Policy: share.DefaultPolicy(), Clock: c, Log: log.New(io.Discard),
	})
	return c, a
}

func (c *chain) issued(domain poplar.Domain) poplar.Tokens {
	b, _ := c.state.Budget("gold")
	for _, h := range b.Holdings {
		if h.Domain == domain {
			return h.Issued - h.Returned
		}
	}
	return 0
}

func report(t *testing.T, a *Allotter, domain poplar.Domain, wants ...Want) Orders {
	t.Helper()
	orders, err := a.Report(t.Context(), Report{Domain: domain, Epoch: 1, Wants: wants})
	assert.NilError(t, err)
	return orders
}

func TestSharesFollowDemandAndComeBack(t *testing.T) {
	c, a := newChain(t, 1000)
	report(t, a, "east")
	report(t, a, "west")
	a.round(t.Context())
	assert.Equal(t, c.issued("east"), c.issued("west"), "without demand the shares are even")
	assert.Assert(t, c.issued("east") > 0)

	serial := poplar.Index(1)
	idle := c.issued("west")
	busy := Want{Budget: "gold", Serial: serial, Used: c.issued("east"), Rate: 100, Most: 200, Short: 400}
	report(t, a, "east", busy)
	a.round(t.Context())
	orders := report(t, a, "west")
	assert.Equal(t, len(orders.Recalls), 1, "the idle domain gives back")
	assert.Assert(t, orders.Recalls[0].Tokens <= idle)

	report(t, a, "west", Want{Budget: "gold", Serial: serial, Returned: orders.Recalls[0].Tokens})
	a.round(t.Context())
	assert.Assert(t, c.issued("west") < idle)
}

// A proposal whose answer is lost is decided again, without a second issue.
func TestLostAnswersIssueOnce(t *testing.T) {
	c, a := newChain(t, 1000)
	report(t, a, "east")
	c.lost = true
	a.round(t.Context())
	first := c.issued("east")
	for range 5 {
		c.now = c.now.Add(scanPeriod)
		report(t, a, "east")
		a.round(t.Context())
	}
	assert.Equal(t, c.issued("east"), first)
	b, _ := c.state.Budget("gold")
	assert.Assert(t, b.Out <= b.Granted)
}

func TestOnlyTheLeaderTakesReports(t *testing.T) {
	_, a := newChain(t, 1000)
	a.conf.Leads = func() bool { return false }
	_, err := a.Report(t.Context(), Report{Domain: "east"})
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeStale)
	a.round(t.Context())
	assert.Equal(t, len(a.heard), 0)
}

// A domain that is silent for long gets nothing, and nothing is asked of it.
func TestCutDomainKeepsItsShare(t *testing.T) {
	c, a := newChain(t, 1000)
	report(t, a, "east")
	report(t, a, "west")
	a.round(t.Context())
	held := c.issued("west")
	c.now = c.now.Add(time.Minute)
	report(t, a, "east", Want{Budget: "gold", Serial: 1, Used: c.issued("east"), Rate: 100, Most: 200, Short: 900})
	a.round(t.Context())
	assert.Equal(t, c.issued("west"), held)
	assert.Equal(t, len(a.recalls["west"]), 0)
}

// empty is a source without anything to tell, at a primary.
type empty struct{}

func (empty) Wants() (Report, bool)                       { return Report{Domain: "east"}, true }
func (empty) GiveBack(context.Context, state.Share) error { return nil }

// oracle is a leader that says what is left, or that cannot be reached.
type oracle struct {
	left poplar.Tokens
	away bool
}

func (o *oracle) Report(context.Context, Report) (Orders, error) {
	if o.away {
		return Orders{}, poplar.Failf(poplar.StepPropose, poplar.CodeCut, "no leader")
	}
	return Orders{Left: []Left{{Budget: "gold", Tokens: o.left}}}, nil
}

func TestSeekBelievesTheLeaderOnly(t *testing.T) {
	for _, test := range []struct {
		name   string
		leader oracle
		want   Word
	}{
		{"enough is left elsewhere", oracle{left: 50}, WordLeft},
		{"too little is left", oracle{left: 49}, WordSpent},
		{"a domain on its own refuses at once", oracle{left: 50, away: true}, WordCut},
	} {
		r := NewReporter(empty{}, &test.leader, log.New(io.Discard))
		r.Start()
		assert.Equal(t, r.Seek(t.Context(), "gold", 50), test.want, test.name)
		r.Stop()
	}
}

// slow is a leader whose answers come one by one, when the test gives them.
type slow struct {
	asked   chan struct{}
	answers chan Orders
}

func (s *slow) Report(ctx context.Context, _ Report) (Orders, error) {
	select {
	case s.asked <- struct{}{}:
	case <-ctx.Done():
		return Orders{}, ctx.Err()
	}
	select {
	case orders := <-s.answers:
		return orders, nil
	case <-ctx.Done():
		return Orders{}, ctx.Err()
	}
}

// underWay returns a reporter whose first report waits for the leader's answer.
func underWay(t *testing.T) (*slow, *Reporter) {
	t.Helper()
	leader := &slow{asked: make(chan struct{}), answers: make(chan Orders)}
	r := NewReporter(empty{}, leader, log.New(io.Discard))
	r.Start()
	t.Cleanup(r.Stop)
	<-leader.asked
	return leader, r
}

// A report that was under way when a request lacked tokens says nothing of it.
// The request waits for the answer to the next one.
func TestSeekWaitsForTheReportThatTellsOfIt(t *testing.T) {
	leader, r := underWay(t)
	word := make(chan Word)
	go func() { word <- r.Seek(t.Context(), "gold", 50) }()
	for !r.sought() {
		runtime.Gosched()
	}
	leader.answers <- Orders{}
	<-leader.asked
	leader.answers <- Orders{Left: []Left{{Budget: "gold", Tokens: 50}}}
	assert.Equal(t, <-word, WordLeft)
}

// A domain that the last report showed to be cut off refuses at once, without
// the wait for another report.
func TestSeekOnceCutOff(t *testing.T) {
	r := NewReporter(empty{}, &oracle{away: true}, log.New(io.Discard))
	r.Start()
	assert.Equal(t, r.Seek(t.Context(), "gold", 50), WordCut)
	r.Stop()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, r.Seek(ended, "gold", 50), WordCut)
}

// A request whose time ends before the leader's answer has no word of it.
func TestSeekWithoutAnAnswerInTime(t *testing.T) {
	_, r := underWay(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, r.Seek(ctx, "gold", 50), WordNone)
}
