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

// hands is a clock that a test moves.
type hands struct {
	mu  sync.Mutex
	now time.Time
}

func (h *hands) Now() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *hands) move(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = h.now.Add(d)
}

// raft stands for the replicated log: the real state machine, in one place.
type raft struct {
	mu    sync.Mutex
	state *state.State
	cut   map[poplar.Daemon]bool // who reaches nobody
}

func newRaft() *raft { return &raft{state: state.New(), cut: map[poplar.Daemon]bool{}} }

func (r *raft) lease(topic string) state.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Lease(topic)
}

func (r *raft) apply(c state.Lease) state.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	data := r.state.Apply(r.state.Index()+1, state.Encode(state.Command{Lease: &c}))
	reply, err := state.Decode[state.Reply](data)
	if err != nil {
		panic(err)
	}
	return reply
}

func (r *raft) isolate(d poplar.Daemon, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[d] = cut
}

// line is one daemon's way to the log.
type line struct {
	raft *raft
	self poplar.Daemon
}

func (l line) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.raft.mu.Lock()
	cut := l.raft.cut[l.self]
	l.raft.mu.Unlock()
	if cut {
		return nil, errors.New("cut")
	}
	c, err := state.Decode[state.Command](command)
	if err != nil {
		return nil, err
	}
	return state.Encode(l.raft.apply(*c.Lease)), nil
}

// site is a domain's engines and the plan for them.
type site struct {
	clock    *hands
	raft     *raft
	engines  []*fake.Engine
	settings order.Settings
	minute   float64
}

func newSite(t *testing.T, fenced bool, names ...poplar.Upstream) *site {
	s := &site{clock: &hands{now: epoch}, raft: newRaft(), settings: order.DefaultSettings(), minute: 600}
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

func (s *site) plan() (Plan, bool) {
	var targets []Target
	for _, e := range s.engines {
		n := e.Announcement()
		o := order.Engine{Name: n.Upstream, Memory: n.Memory, Slots: n.Slots, Fenced: n.Fenced, Role: order.Role(n.Role)}
		for _, l := range n.Loaded {
			o.Loaded = append(o.Loaded, order.Loaded(l))
		}
		targets = append(targets, NewTarget(o, n.Address))
	}
	return NewPlan(s.settings, s.minute, targets), true
}

func (s *site) candidate(self poplar.Daemon) *Issuer {
	return New(Config{
		Self: self, Domain: "d", Proposer: line{raft: s.raft, self: self},
		Lease: func() state.Lease { return s.raft.lease(Topic("d")) },
		Plan:  s.plan, Clock: s.clock, Log: log.New(io.Discard),
	})
}

// pass lets the candidates act for some seconds; each order ends in its second.
func (s *site) pass(seconds int, all ...*Issuer) {
	for range seconds {
		s.clock.move(time.Second)
		for _, i := range all {
			i.Step(context.Background())
		}
	}
}

// fences returns the fences of the orders that were carried out at all engines,
// in their order at each.
func (s *site) fences() map[poplar.Upstream][]poplar.Fence {
	all := map[poplar.Upstream][]poplar.Fence{}
	for _, e := range s.engines {
		for _, o := range e.Orders() {
			all[o.Upstream] = append(all[o.Upstream], o.Fence)
		}
	}
	return all
}

// gate holds connections back until it opens.
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
// write, until another has taken over and ordered; then it goes on.
func TestPausedIssuerOrdersNothing(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			s := newSite(t, fenced, "e1", "e2")
			old, next := s.candidate("old"), s.candidate("next")
			g := &gate{reached: make(chan struct{}, 1), open: make(chan struct{})}
			old.conf.Dial = g.dial
			s.clock.move(time.Second)
			old.step(context.Background())
			<-g.reached
			assert.Equal(t, len(old.Open()), 1)
			s.pass(10, next)
			assert.Equal(t, len(s.fences()), 0, "nobody may order while the old lease may run")
			s.pass(70, next)
			assert.Equal(t, len(s.fences()), 2)
			close(g.open)
			old.sends.Wait()
			s.pass(5, old, next)
			for name, fences := range s.fences() {
				assert.Assert(t, slices.Equal(fences, []poplar.Fence{2}), "at %s: %d", name, fences)
			}
			assert.Equal(t, len(old.Open()), 0)
		})
	}
}

// TestLateOrderIsRefused delivers an order of the issuer before, written while
// its lease ran, after the first order of the next: fences refuse it.
func TestLateOrderIsRefused(t *testing.T) {
	s := newSite(t, true, "e1", "e2")
	old, next := s.candidate("old"), s.candidate("next")
	s.pass(1, old)
	late := s.engines[0].Orders()[0]
	s.settings.Models[0].Version, s.settings.Models[1].Version = "2", "2"
	s.pass(90, next)
	_, lapsed := old.term.post(context.Background(), s.engines[0].Address(), late)
	assert.ErrorIs(t, lapsed, errOver, "the lease is checked before the write")
	old.conf.Clock = &hands{now: epoch}
	stale := newTerm(old.conf, &keeper{fence: 1, until: epoch.Add(length)}, Plan{}, &old.shared, epoch)
	code, err := stale.post(context.Background(), s.engines[0].Address(), late)
	assert.NilError(t, err)
	assert.Equal(t, code, 409)
	for _, fences := range s.fences() {
		assert.Assert(t, slices.IsSorted(fences))
	}
}

// TestCutIssuerStops cuts the issuer off from the log: it stops before its lease
// ends by any clock, and no order of it follows the next issuer's first. Healed,
// it is a candidate like others.
func TestCutIssuerStops(t *testing.T) {
	s := newSite(t, false, "e1", "e2")
	old, next := s.candidate("old"), s.candidate("next")
	s.pass(5, old, next)
	assert.Assert(t, old.term != nil && next.term == nil)
	s.raft.isolate("old", true)
	for range 60 {
		s.pass(1, old, next)
		assert.Assert(t, old.term == nil || next.term == nil, "two issuers")
	}
	assert.Assert(t, next.term != nil)
	s.raft.isolate("old", false)
	s.pass(30, old, next)
	assert.Assert(t, old.term == nil, "the cut issuer must not take over again")
	s.raft.isolate("next", true)
	s.pass(9, next)
	assert.Assert(t, next.term != nil && next.keeper.holds(s.clock.Now()) || next.term == nil)
	s.pass(3, next)
	assert.Assert(t, next.term == nil, "a whole domain without the log orders nothing")
}

// slow is a way to the log on which an answer takes longer than the lease.
type slow struct{ clock *hands }

func (s slow) Propose(context.Context, []byte) ([]byte, error) {
	s.clock.move(length)
	return nil, errors.New("no answer")
}

// TestLeaseIsCheckedAfterTheWait makes an order due while a renewal takes longer
// than the lease.
func TestLeaseIsCheckedAfterTheWait(t *testing.T) {
	s := newSite(t, false, "e1")
	s.settings.Models = s.settings.Models[:1]
	i := s.candidate("x")
	s.pass(3, i)
	assert.Equal(t, len(s.engines[0].Orders()), 1)
	s.settings.Models[0].Version = "2"
	i.conf.Proposer = slow{s.clock}
	s.clock.move(renewal)
	i.Step(context.Background())
	assert.Equal(t, len(s.engines[0].Orders()), 1)
	assert.Assert(t, i.term == nil)
}

// TestPlannedStopHandsOver checks that a planned stop lets another take over at
// once, and that a restarted daemon gets a new fence only after a whole lease.
func TestPlannedStopHandsOver(t *testing.T) {
	s := newSite(t, false, "e1")
	first, second := s.candidate("x"), s.candidate("y")
	s.pass(2, first, second)
	first.Start()
	first.Stop(context.Background())
	s.pass(1, second)
	assert.Equal(t, second.term.fence, poplar.Fence(2))
	again := s.candidate("y")
	s.pass(10, again)
	assert.Assert(t, again.term == nil, "an earlier process of this name may still order")
	s.pass(3, again)
	assert.Equal(t, again.term.fence, poplar.Fence(3))
}

// TestLostAnswersAreSentAgain loses the answer to the first order. The same
// order comes again and is not carried out twice.
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
	s.pass(3, i)
	assert.Equal(t, len(i.Open()), 1)
	lose = false
	s.pass(int(s.settings.AnswerTimeout/time.Second), i)
	assert.Equal(t, len(s.engines[0].Orders()), 1)
	code, err := i.term.post(context.Background(), s.engines[0].Address(), s.engines[0].Orders()[0])
	assert.NilError(t, err)
	assert.Equal(t, code, 204)
	s.pass(1, i)
	assert.Equal(t, len(s.engines[0].Orders()), 1)
	assert.Equal(t, len(i.Open()), 0)
}

// TestRefusedLoadGoesElsewhere lets an engine refuse for want of memory that
// its announcement promised.
func TestRefusedLoadGoesElsewhere(t *testing.T) {
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
	s.pass(5, i)
	assert.Equal(t, len(small.Orders()), 1, "a refused order is not repeated")
	assert.Equal(t, i.Counts(), Counts{Fence: 1, Terms: 1, Given: 1, Refused: 1})
	assert.Equal(t, len(s.fences()), 2)
}

// TestLoadsKeepThePace asks for more loads than the minute has room for, over a
// change of the issuer.
func TestLoadsKeepThePace(t *testing.T) {
	s := newSite(t, true, "e1", "e2", "e3", "e4", "e5", "e6")
	s.settings.Models = []order.Model{{Name: "a", Version: "1", Size: 10, MinEngines: 6, MaxEngines: 6}}
	s.minute = 2
	one, two := s.candidate("x"), s.candidate("y")
	var at []time.Time
	known := 0
	watch := func(seconds int, all ...*Issuer) {
		for range seconds {
			s.pass(1, all...)
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

// TestBytesKeepThePace lets the issuer change while a load runs that takes the
// store 100 s.
func TestBytesKeepThePace(t *testing.T) {
	s := newSite(t, true, "e1", "e2")
	s.settings.StoreRate = 0.1
	one, two := s.candidate("x"), s.candidate("y")
	s.pass(1, one)
	assert.Equal(t, len(s.fences()), 1)
	s.pass(100, two)
	assert.Equal(t, len(s.fences()), 1)
	s.pass(15, two)
	assert.Equal(t, len(s.fences()), 2)
}

// TestTwoDemandsDoNotThrash lets two demands alternate each half minute over
// one hour: an engine changes hands at most once in the time to stay.
func TestTwoDemandsDoNotThrash(t *testing.T) {
	s := newSite(t, true, "e1", "e2", "e3", "e4")
	i := s.candidate("x")
	for second := range 3600 {
		high, low := poplar.Model("a"), poplar.Model("b")
		if second/30%2 == 1 {
			high, low = low, high
		}
		i.Take("r1", Report{Models: map[poplar.Model]float64{high: 30}})
		i.Take("r2", Report{Models: map[poplar.Model]float64{high: 10, low: 1}})
		s.pass(1, i)
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

// TestNothingPlacedTakesNoLease checks that a folder without placement costs the
// log nothing, and that the lease is given back when the last model is dropped.
func TestNothingPlacedTakesNoLease(t *testing.T) {
	s := newSite(t, true, "e1")
	i, placed := s.candidate("x"), false
	i.conf.Plan = func() (Plan, bool) {
		p, _ := s.plan()
		return p, placed
	}
	s.pass(30, i)
	assert.Equal(t, s.raft.state.Index(), poplar.Index(0))
	placed = true
	s.pass(2, i)
	assert.Equal(t, i.Counts().Fence, poplar.Fence(1))
	placed = false
	s.pass(1, i)
	assert.Assert(t, s.raft.lease(Topic("d")).Release)
	assert.Equal(t, i.Counts().Fence, poplar.Fence(0))
}

// TestReportsOfSilentDaemonsLapse checks the sum of the domain's demand.
func TestReportsOfSilentDaemonsLapse(t *testing.T) {
	u := newUsage()
	u.take("r1", Report{Models: map[poplar.Model]float64{"a": 3}}, epoch)
	u.take("r2", Report{Models: map[poplar.Model]float64{"a": 4, "b": 1}}, epoch.Add(time.Second))
	u.take("r1", Report{Models: map[poplar.Model]float64{"a": 2}}, epoch)
	assert.DeepEqual(t, u.demand(epoch.Add(2*time.Second)).Models, map[poplar.Model]float64{"a": 6, "b": 1})
	assert.DeepEqual(t, u.demand(epoch.Add(3*time.Second)).Models, map[poplar.Model]float64{"a": 4, "b": 1})
}

// wall is the clock of the machine.
type wall struct{}

func (wall) Now() time.Time { return time.Now() }

// TestLoopTakesTheLease runs the loop itself on the clock of the machine.
func TestLoopTakesTheLease(t *testing.T) {
	s := newSite(t, true, "e1", "e2")
	i := s.candidate("x")
	i.conf.Clock = wall{}
	i.Start()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(s.fences()) == 2 {
			return poll.Success()
		}
		return poll.Continue("no orders yet")
	}, poll.WithTimeout(20*time.Second))
	i.Stop(context.Background())
	assert.Assert(t, s.raft.lease(Topic("d")).Release)
}
