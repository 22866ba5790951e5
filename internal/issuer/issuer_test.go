package issuer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/pkg/order"
	"poplarbend.example/poplar/pkg/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

var epoch = time.Unix(1_700_000_000, 0)

// fakeClock is a clock that a test advances.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (h *fakeClock) Now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *fakeClock) advance(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = h.now.Add(d)
}

// fakeLog replaces the replicated log: the real state machine without replication.
type fakeLog struct {
	mu    sync.Mutex
	state *state.State
	cut   map[poplar.Daemon]bool // daemons that cannot reach the log
}

func newFakeLog() *fakeLog { return &fakeLog{state: state.New(), cut: map[poplar.Daemon]bool{}} }

func (r *fakeLog) lease(topic string) state.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Lease(topic)
}

func (r *fakeLog) apply(c state.Lease) state.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	data := r.state.Apply(r.state.Index()+1, state.Encode(state.Command{Lease: &c}))
	reply, err := state.Decode[state.Reply](data)
	if err != nil {
		panic(err)
	}
	return reply
}

func (r *fakeLog) isolate(d poplar.Daemon, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[d] = cut
}

// proposer is one daemon's access to the log.
type proposer struct {
	log  *fakeLog
	self poplar.Daemon
}

func (l proposer) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.log.mu.Lock()
	cut := l.log.cut[l.self]
	l.log.mu.Unlock()
	if cut {
		return nil, errors.New("cut")
	}
	c, err := state.Decode[state.Command](command)
	if err != nil {
		return nil, err
	}
	return state.Encode(l.log.apply(*c.Lease)), nil
}

// testSite is the engines of a domain with their plan.
type testSite struct {
	clock          *fakeClock
	log            *fakeLog
	engines        []*fake.Engine
	settings       order.Settings
	loadsPerMinute float64
}

func newSite(t *testing.T, fenced bool, names ...poplar.Upstream) *testSite {
	s := &testSite{clock: &fakeClock{now: epoch}, log: newFakeLog(), settings: order.DefaultSettings(), loadsPerMinute: 600}
	s.settings.StoreRate = 1e18
	for _, m := range []poplar.Model{"a", "b"} {
		s.settings.Models = append(s.settings.Models, order.Model{Name: m, Version: "1", Size: 10, MinEngines: 1, MaxEngines: len(names)})
	}
	for _, name := range names {
		e, err := fake.StartEngine(fake.Settings{
			Name: name, Domain: "d", Bare: true, Fenced: fenced, Memory: 10, Slots: 10,
			Sizes: map[poplar.Model]float64{"a": 10, "b": 10},
		})
		assert.NilError(t, err)
		t.Cleanup(e.Kill)
		s.engines = append(s.engines, e)
	}
	return s
}

func (s *testSite) plan() (Plan, bool) {
	var targets []Target
	for _, e := range s.engines {
		n := e.Announcement()
		o := order.Engine{Name: n.Upstream, Memory: n.Memory, Slots: n.Slots, Fenced: n.Fenced, Role: order.Role(n.Role)}
		for _, l := range n.Loaded {
			o.Loaded = append(o.Loaded, order.Loaded(l))
		}
		targets = append(targets, NewTarget(o, n.Address))
	}
	return NewPlan(s.settings, s.loadsPerMinute, targets), true
}

func (s *testSite) candidate(self poplar.Daemon) *Issuer {
	return New(Config{
		Self: self, Domain: "d", Proposer: proposer{log: s.log, self: self},
		KnownLease: func() state.Lease { return s.log.lease(Topic("d")) },
		Plan:       s.plan, Clock: s.clock, Log: log.New(io.Discard),
	})
}

// advance runs one step of each candidate per second; each order ends within its
// second.
func (s *testSite) advance(seconds int, all ...*Issuer) {
	for range seconds {
		s.clock.advance(time.Second)
		for _, i := range all {
			i.Step(context.Background())
		}
	}
}

// fences returns the fences of the executed orders by engine, in their order of
// execution.
func (s *testSite) fences() map[poplar.Upstream][]poplar.Fence {
	all := map[poplar.Upstream][]poplar.Fence{}
	for _, e := range s.engines {
		for _, o := range e.Orders() {
			all[o.Upstream] = append(all[o.Upstream], o.Fence)
		}
	}
	return all
}

// gate delays connections until it is opened.
type gate struct {
	reached, open chan struct{}
}

func (g *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	select {
	case g.reached <- struct{}{}:
	default:
	}
	<-g.open
	return c, err
}

// TestPausedIssuerOrdersNothing pauses an issuer between its decision and the
// write until another has taken over and issued orders. When it continues, it
// must send nothing.
func TestPausedIssuerOrdersNothing(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			s := newSite(t, fenced, "e1", "e2")
			old, next := s.candidate("old"), s.candidate("next")
			g := &gate{reached: make(chan struct{}, 1), open: make(chan struct{})}
			old.conf.Dial = g.dial
			s.clock.advance(time.Second)
			old.step(context.Background())
			<-g.reached
			assert.Equal(t, len(old.Open()), 1)
			s.advance(10, next)
			assert.Equal(t, len(s.fences()), 0, "nobody may order while the old lease may run")
			s.advance(70, next)
			assert.Equal(t, len(s.fences()), 2)
			close(g.open)
			old.sends.Wait()
			s.advance(5, old, next)
			for name, fences := range s.fences() {
				assert.Assert(t, slices.Equal(fences, []poplar.Fence{2}), "at %s: %d", name, fences)
			}
			assert.Equal(t, len(old.Open()), 0)
		})
	}
}

// TestLateOrderIsRefused delivers an order of the preceding issuer, written during
// its lease, after the first order of the next issuer. The engine must refuse it
// by its fence.
func TestLateOrderIsRefused(t *testing.T) {
	s := newSite(t, true, "e1", "e2")
	old, next := s.candidate("old"), s.candidate("next")
	s.advance(1, old)
	late := s.engines[0].Orders()[0]
	s.settings.Models[0].Version, s.settings.Models[1].Version = "2", "2"
	s.advance(90, next)
	_, lapsed := old.term.post(context.Background(), s.engines[0].Address(), late)
	assert.ErrorIs(t, lapsed, errLeaseEnded, "the lease is checked before the write")
	old.conf.Clock = &fakeClock{now: epoch}
	stale := newTerm(old.conf, &leaseTracker{fence: 1, expiry: epoch.Add(leaseDuration)}, Plan{}, &old.shared, epoch)
	code, err := stale.post(context.Background(), s.engines[0].Address(), late)
	assert.NilError(t, err)
	assert.Equal(t, code, 409)
	for _, fences := range s.fences() {
		assert.Assert(t, slices.IsSorted(fences))
	}
}

// TestIssuerWithoutLogStops cuts the issuer off from the log. It must stop before
// its lease ends by any clock, so that none of its orders follows the next
// issuer's first. With the log reachable again it is an ordinary candidate.
func TestIssuerWithoutLogStops(t *testing.T) {
	s := newSite(t, false, "e1", "e2")
	old, next := s.candidate("old"), s.candidate("next")
	s.advance(5, old, next)
	assert.Assert(t, old.term != nil && next.term == nil)
	s.log.isolate("old", true)
	for range 60 {
		s.advance(1, old, next)
		assert.Assert(t, old.term == nil || next.term == nil, "two issuers")
	}
	assert.Assert(t, next.term != nil)
	s.log.isolate("old", false)
	s.advance(30, old, next)
	assert.Assert(t, old.term == nil, "the cut issuer must not take over again")
	s.log.isolate("next", true)
	s.advance(9, next)
	assert.Assert(t, next.term != nil && next.lease.held(s.clock.Now()) || next.term == nil)
	s.advance(3, next)
	assert.Assert(t, next.term == nil, "a whole domain without the log orders nothing")
}

// slowProposer is access to the log whose answers take as long as the lease.
type slowProposer struct{ clock *fakeClock }

func (s slowProposer) Propose(context.Context, []byte) ([]byte, error) {
	s.clock.advance(leaseDuration)
	return nil, errors.New("no answer")
}

// TestLeaseIsCheckedAfterRenewal makes an order due while a renewal takes longer
// than the lease. The order must not be sent.
func TestLeaseIsCheckedAfterRenewal(t *testing.T) {
	s := newSite(t, false, "e1")
	s.settings.Models = s.settings.Models[:1]
	i := s.candidate("x")
	s.advance(3, i)
	assert.Equal(t, len(s.engines[0].Orders()), 1)
	s.settings.Models[0].Version = "2"
	i.conf.Proposer = slowProposer{s.clock}
	s.clock.advance(renewalInterval)
	i.Step(context.Background())
	assert.Equal(t, len(s.engines[0].Orders()), 1)
	assert.Assert(t, i.term == nil)
}

// TestStopReleasesLease checks that after a planned stop another candidate takes
// over at once, and that a restarted daemon gets a new fence only after a whole
// lease.
func TestStopReleasesLease(t *testing.T) {
	s := newSite(t, false, "e1")
	first, second := s.candidate("x"), s.candidate("y")
	s.advance(2, first, second)
	first.Start()
	first.Stop(context.Background())
	s.advance(1, second)
	assert.Equal(t, second.term.fence, poplar.Fence(2))
	again := s.candidate("y")
	s.advance(10, again)
	assert.Assert(t, again.term == nil, "an earlier process of this name may still order")
	s.advance(3, again)
	assert.Equal(t, again.term.fence, poplar.Fence(3))
}

// TestLostAnswersAreSentAgain fails the first send of an order. The order must be
// sent again, and a repeated order must not be executed twice.
func TestLostAnswersAreSentAgain(t *testing.T) {
	s := newSite(t, true, "e1")
	s.settings.Models = s.settings.Models[:1]
	i := s.candidate("x")
	lose := true
	i.conf.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if lose {
			return nil, errors.New("no way")
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	s.advance(3, i)
	assert.Equal(t, len(i.Open()), 1)
	lose = false
	s.advance(int(s.settings.AnswerTimeout/time.Second), i)
	assert.Equal(t, len(s.engines[0].Orders()), 1)
	code, err := i.term.post(context.Background(), s.engines[0].Address(), s.engines[0].Orders()[0])
	assert.NilError(t, err)
	assert.Equal(t, code, 204)
	s.advance(1, i)
	assert.Equal(t, len(s.engines[0].Orders()), 1)
	assert.Equal(t, len(i.Open()), 0)
}

// TestRefusedLoadIsPlannedAtAnotherEngine has an engine refuse a load because it
// has less memory than it announced.
func TestRefusedLoadIsPlannedAtAnotherEngine(t *testing.T) {
	s := newSite(t, true, "e1", "e2")
	s.settings.Models = s.settings.Models[:1]
	s.settings.Models[0].Size = 5
	small, err := fake.StartEngine(fake.Settings{
		Name: "e0", Domain: "d", Bare: true, Memory: 10, Sizes: map[poplar.Model]float64{"a": 11},
	})
	assert.NilError(t, err)
	defer small.Kill()
	s.engines = append(s.engines, small)
	i := s.candidate("x")
	s.advance(5, i)
	assert.Equal(t, len(small.Orders()), 1, "a refused order is not repeated")
	assert.Equal(t, i.Counts(), Counts{Fence: 1, Terms: 1, Given: 1, Refused: 1})
	assert.Equal(t, len(s.fences()), 2)
}

// TestLoadsPerMinuteAreLimited plans more loads than the limit per minute allows,
// across a change of the issuer.
func TestLoadsPerMinuteAreLimited(t *testing.T) {
	s := newSite(t, true, "e1", "e2", "e3", "e4", "e5", "e6")
	s.settings.Models = []order.Model{{Name: "a", Version: "1", Size: 10, MinEngines: 6, MaxEngines: 6}}
	s.loadsPerMinute = 2
	one, two := s.candidate("x"), s.candidate("y")
	var at []time.Time
	known := 0
	watch := func(seconds int, all ...*Issuer) {
		for range seconds {
			s.advance(1, all...)
			n := 0
			for _, fences := range s.fences() {
				n += len(fences)
			}
			for ; known < n; known++ {
				at = append(at, s.clock.Now())
			}
		}
	}
	watch(20, one)
	watch(400, two)
	assert.Equal(t, len(at), 6)
	for i := 2; i < len(at); i++ {
		assert.Assert(t, at[i].Sub(at[i-2]) >= time.Minute, "three loads within %s", at[i].Sub(at[i-2]))
	}
}

// TestLoadsWaitForStoreBandwidth changes the issuer during a load that takes the
// store 100 s.
func TestLoadsWaitForStoreBandwidth(t *testing.T) {
	s := newSite(t, true, "e1", "e2")
	s.settings.StoreRate = 0.1
	one, two := s.candidate("x"), s.candidate("y")
	s.advance(1, one)
	assert.Equal(t, len(s.fences()), 1)
	s.advance(100, two)
	assert.Equal(t, len(s.fences()), 1)
	s.advance(15, two)
	assert.Equal(t, len(s.fences()), 2)
}

// TestTwoDemandsDoNotThrash alternates the demand between two models every half
// minute for an hour. An engine may change its model at most once per minimum
// residence time (Settings.Stay).
func TestTwoDemandsDoNotThrash(t *testing.T) {
	s := newSite(t, true, "e1", "e2", "e3", "e4")
	i := s.candidate("x")
	for second := range 3600 {
		high, low := poplar.Model("a"), poplar.Model("b")
		if second/30%2 == 1 {
			high, low = low, high
		}
		i.Report("r1", Report{Models: map[poplar.Model]float64{high: 30}})
		i.Report("r2", Report{Models: map[poplar.Model]float64{high: 10, low: 1}})
		s.advance(1, i)
	}
	loads := 0
	for _, e := range s.engines {
		for _, o := range e.Orders() {
			if o.Verb == order.VerbLoad {
				loads++
			}
		}
	}
	assert.Assert(t, loads >= 2, "both models must be loaded")
	assert.Assert(t, loads <= 4*int(time.Hour/s.settings.MinStay), "%d loads in an hour", loads)
}

// TestNoLeaseWithoutPlacement checks that a configuration without placement causes
// no log entries, and that the lease is released when the last model is removed.
func TestNoLeaseWithoutPlacement(t *testing.T) {
	s := newSite(t, true, "e1")
	i, placed := s.candidate("x"), false
	i.conf.Plan = func() (Plan, bool) {
		p, _ := s.plan()
		return p, placed
	}
	s.advance(30, i)
	assert.Equal(t, s.log.state.Index(), poplar.Index(0))
	placed = true
	s.advance(2, i)
	assert.Equal(t, i.Counts().Fence, poplar.Fence(1))
	placed = false
	s.advance(1, i)
	assert.Assert(t, s.log.lease(Topic("d")).Release)
	assert.Equal(t, i.Counts().Fence, poplar.Fence(0))
}

// TestReportsExpire checks that the demand of a domain sums only unexpired reports.
func TestReportsExpire(t *testing.T) {
	u := newUsage()
	u.take("r1", Report{Models: map[poplar.Model]float64{"a": 3}}, epoch)
	u.take("r2", Report{Models: map[poplar.Model]float64{"a": 4, "b": 1}}, epoch.Add(time.Second))
	u.take("r1", Report{Models: map[poplar.Model]float64{"a": 2}}, epoch)
	assert.DeepEqual(t, u.demand(epoch.Add(2*time.Second)).Models, map[poplar.Model]float64{"a": 6, "b": 1})
	assert.DeepEqual(t, u.demand(epoch.Add(3*time.Second)).Models, map[poplar.Model]float64{"a": 4, "b": 1})
}

// systemClock is the system clock.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// TestLoopTakesTheLease runs the loop on the system clock.
func TestLoopTakesTheLease(t *testing.T) {
	s := newSite(t, true, "e1", "e2")
	i := s.candidate("x")
	i.conf.Clock = systemClock{}
	i.Start()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(s.fences()) == 2 {
			return poll.Success()
		}
		return poll.Continue("no orders yet")
	}, poll.WithTimeout(20*time.Second))
	i.Stop(context.Background())
	assert.Assert(t, s.log.lease(Topic("d")).Release)
}
