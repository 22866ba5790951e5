package quota

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

// testLog simulates a replicated log with one voter, and is the clock of the test.
type testLog struct {
	state       *state.State
	index       poplar.Index
	now         time.Time
	loseReplies bool // proposals are applied but return a timeout
}

func (c *testLog) Now() time.Time { return c.now }

func (c *testLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	c.index++
	reply := c.state.Apply(c.index, command)
	if c.loseReplies {
		return nil, poplar.Failf(poplar.StepPropose, poplar.CodeTimeout, "the reply is lost")
	}
	return reply, nil
}

func newTestLog(t *testing.T, tokens poplar.Tokens) (*testLog, *Issuer) {
	c := &testLog{state: state.New(), now: time.Unix(1_000_000, 0)}
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

func (c *testLog) issued(domain poplar.Domain) poplar.Tokens {
	b, _ := c.state.Budget("gold")
	for _, h := range b.Holdings {
		if h.Domain == domain {
			return h.Issued - h.Returned
		}
	}
	return 0
}

func report(t *testing.T, a *Issuer, domain poplar.Domain, wants ...Demand) ReportReply {
	t.Helper()
	orders, err := a.Report(t.Context(), Report{Domain: domain, Epoch: 1, Demands: wants})
	assert.NilError(t, err)
	return orders
}

func TestSharesFollowDemand(t *testing.T) {
	c, a := newTestLog(t, 1000)
	report(t, a, "east")
	report(t, a, "west")
	a.round(t.Context())
	assert.Equal(t, c.issued("east"), c.issued("west"), "without demand the shares are even")
	assert.Assert(t, c.issued("east") > 0)

	serial := poplar.Index(1)
	idle := c.issued("west")
	busy := Demand{Budget: "gold", Serial: serial, Used: c.issued("east"), Rate: 100, MaxRequest: 200, Shortage: 400}
	report(t, a, "east", busy)
	a.round(t.Context())
	orders := report(t, a, "west")
	assert.Equal(t, len(orders.Recalls), 1, "the idle domain is asked to return tokens")
	assert.Assert(t, orders.Recalls[0].Tokens <= idle)

	report(t, a, "west", Demand{Budget: "gold", Serial: serial, Returned: orders.Recalls[0].Tokens})
	a.round(t.Context())
	assert.Assert(t, c.issued("west") < idle)
}

// A proposal whose reply is lost is decided on again, without a second issue.
func TestLostReplyDoesNotIssueTwice(t *testing.T) {
	c, a := newTestLog(t, 1000)
	report(t, a, "east")
	c.loseReplies = true
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

func TestNonLeaderRefusesReports(t *testing.T) {
	_, a := newTestLog(t, 1000)
	a.conf.Leads = func() bool { return false }
	_, err := a.Report(t.Context(), Report{Domain: "east"})
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeStale)
	a.round(t.Context())
	assert.Equal(t, len(a.lastReport), 0)
}

// A domain that has not reported for a long time gets no issues and no recalls.
func TestUnreachableDomainKeepsItsShare(t *testing.T) {
	c, a := newTestLog(t, 1000)
	report(t, a, "east")
	report(t, a, "west")
	a.round(t.Context())
	held := c.issued("west")
	c.now = c.now.Add(time.Minute)
	report(t, a, "east", Demand{Budget: "gold", Serial: 1, Used: c.issued("east"), Rate: 100, MaxRequest: 200, Shortage: 900})
	a.round(t.Context())
	assert.Equal(t, c.issued("west"), held)
	assert.Equal(t, len(a.recalls["west"]), 0)
}

// idleSource is the source of a primary without changes to report.
type idleSource struct{}

func (idleSource) Demands() (Report, bool)                   { return Report{Domain: "east"}, true }
func (idleSource) Return(context.Context, state.Share) error { return nil }

// fixedLeader is a leader that always gives the same answer or is unreachable.
type fixedLeader struct {
	left        poplar.Tokens
	unreachable bool
}

func (o *fixedLeader) Report(context.Context, Report) (ReportReply, error) {
	if o.unreachable {
		return ReportReply{}, poplar.Failf(poplar.StepPropose, poplar.CodeUnreachable, "no leader")
	}
	return ReportReply{Remainders: []Remainder{{Budget: "gold", Tokens: o.left}}}, nil
}

func TestSeekReturnsLeaderAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		leader fixedLeader
		want   Availability
	}{
		{"enough is left elsewhere", fixedLeader{left: 50}, Available},
		{"too little is left", fixedLeader{left: 49}, Insufficient},
		{"an unreachable leader is reported at once", fixedLeader{left: 50, unreachable: true}, LeaderUnreachable},
	} {
		r := NewReporter(idleSource{}, &test.leader, log.New(io.Discard))
		r.Start()
		assert.Equal(t, r.AwaitRemainder(t.Context(), "gold", 50), test.want, test.name)
		r.Stop()
	}
}

// blockingLeader is a leader that answers a report once the test sends the answer.
type blockingLeader struct {
	reported chan struct{}
	answers  chan ReportReply
}

func (s *blockingLeader) Report(ctx context.Context, _ Report) (ReportReply, error) {
	select {
	case s.reported <- struct{}{}:
	case <-ctx.Done():
		return ReportReply{}, ctx.Err()
	}
	select {
	case orders := <-s.answers:
		return orders, nil
	case <-ctx.Done():
		return ReportReply{}, ctx.Err()
	}
}

// startBlockedReport returns a reporter whose first report waits for the leader's
// answer.
func startBlockedReport(t *testing.T) (*blockingLeader, *Reporter) {
	t.Helper()
	leader := &blockingLeader{reported: make(chan struct{}), answers: make(chan ReportReply)}
	r := NewReporter(idleSource{}, leader, log.New(io.Discard))
	r.Start()
	t.Cleanup(r.Stop)
	<-leader.reported
	return leader, r
}

// A report that is in progress when a request lacks tokens does not include the
// request. The request waits for the answer to the next report.
func TestSeekWaitsForLaterReport(t *testing.T) {
	leader, r := startBlockedReport(t)
	word := make(chan Availability)
	go func() { word <- r.AwaitRemainder(t.Context(), "gold", 50) }()
	for !r.hasWaiting() {
		runtime.Gosched()
	}
	leader.answers <- ReportReply{}
	<-leader.reported
	leader.answers <- ReportReply{Remainders: []Remainder{{Budget: "gold", Tokens: 50}}}
	assert.Equal(t, <-word, Available)
}

// After a failed report, AwaitRemainder returns LeaderUnreachable at once and does not wait for
// another report.
func TestSeekWhileDisconnected(t *testing.T) {
	r := NewReporter(idleSource{}, &fixedLeader{unreachable: true}, log.New(io.Discard))
	r.Start()
	assert.Equal(t, r.AwaitRemainder(t.Context(), "gold", 50), LeaderUnreachable)
	r.Stop()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, r.AwaitRemainder(ended, "gold", 50), LeaderUnreachable)
}

// AwaitRemainder returns AvailabilityUnknown if its context ends before the leader answers.
func TestSeekTimeout(t *testing.T) {
	_, r := startBlockedReport(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, r.AwaitRemainder(ctx, "gold", 50), AvailabilityUnknown)
}
