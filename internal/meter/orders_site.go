package meter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/internal/issuer"
	"poplarbend.example/poplar/pkg/order"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the domain of the measurement of orders: one issuer, the real
// state machine in place of the log, and stand-ins whose loads take virtual
// time.

// orderClock is a clock that the measurement moves.
type orderClock struct {
	mu  sync.Mutex
	now time.Time
}

// Now implements poplar.Clock.
func (c *orderClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *orderClock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// orderLoad is a load under way.
type orderLoad struct {
	engine int
	model  poplar.Model
	done   time.Time
}

// orderSite is the domain.
type orderSite struct {
	clock    *orderClock
	state    *state.State
	issuer   *issuer.Issuer
	engines  []*fake.Engine
	taken    []int // orders seen at each engine
	running  []orderLoad
	free     time.Time // when the store has given all that was asked for
	loads    []time.Time
	settings order.Settings
}

func newOrderSite(w orderWay) (*orderSite, error) {
	s := &orderSite{clock: &orderClock{now: time.Unix(1_700_000_000, 0)}, state: state.New(), settings: order.DefaultSettings()}
	s.settings.StoreRate = ordersStore
	sizes := map[poplar.Model]float64{"a": ordersSize, "b": ordersSize}
	for _, m := range []poplar.Model{"a", "b"} {
		s.settings.Models = append(s.settings.Models, order.Model{Name: m, Version: "1", Size: ordersSize, MinEngines: 1, MaxEngines: ordersEngines})
	}
	w.turn(&s.settings)
	for i := range ordersEngines {
		e, err := fake.StartEngine(fake.Settings{
			Name: poplar.Upstream(fmt.Sprint("e", i)), Domain: "d", Bare: true, Fenced: true,
			Slots: ordersSlots, Memory: w.memory, Sizes: sizes,
		})
		if err != nil {
			s.close()
			return nil, err
		}
		s.engines = append(s.engines, e)
	}
	s.taken = make([]int, len(s.engines))
	s.issuer = issuer.New(issuer.Config{
		Self: "r1", Domain: "d", Proposer: s, KnownLease: func() state.Lease { return s.state.Lease(issuer.Topic("d")) },
		Plan: s.plan, Clock: s.clock, Log: log.New(io.Discard),
	})
	return s, nil
}

func (s *orderSite) close() {
	if s.issuer != nil {
		s.issuer.Stop(context.Background())
	}
	for _, e := range s.engines {
		e.Kill()
	}
}

// Propose implements poplar.Proposer.
func (s *orderSite) Propose(_ context.Context, command []byte) ([]byte, error) {
	return s.state.Apply(s.state.Index()+1, command), nil
}

// plan shows the engines without the models whose load goes on.
func (s *orderSite) plan() (issuer.Plan, bool) {
	var targets []issuer.Target
	for i := range s.engines {
		e, address := s.engine(i)
		targets = append(targets, issuer.NewTarget(e, address))
	}
	return issuer.NewPlan(s.settings, ordersMinute, targets), true
}

func (s *orderSite) engine(i int) (order.Engine, string) {
	n := s.engines[i].Announcement()
	e := order.Engine{Name: n.Upstream, Memory: n.Memory, Slots: n.Slots, Fenced: n.Fenced, Role: order.Role(n.Role)}
	for _, l := range n.Loaded {
		if !s.loading(i, l.Model) {
			e.Loaded = append(e.Loaded, order.Loaded(l))
		}
	}
	return e, n.Address
}

func (s *orderSite) loading(engine int, m poplar.Model) bool {
	for _, l := range s.running {
		if l.engine == engine && l.model == m && l.done.After(s.clock.Now()) {
			return true
		}
	}
	return false
}

// slots returns the slots of the engines that serve any of the models.
func (s *orderSite) slots(models ...poplar.Model) float64 {
	sum := 0.0
	for i := range s.engines {
		e, _ := s.engine(i)
		if slices.ContainsFunc(e.Loaded, func(l order.Loaded) bool { return slices.Contains(models, l.Model) }) {
			sum += float64(e.Slots)
		}
	}
	return sum
}

// run passes d, second by second, under a demand for the two models.
func (s *orderSite) run(ctx context.Context, d time.Duration, demand func(past time.Duration) (a, b float64)) {
	for past := time.Duration(0); past < d && ctx.Err() == nil; past += time.Second {
		s.clock.pass(time.Second)
		a, b := demand(past)
		s.issuer.Report("r1", issuer.Report{Models: map[poplar.Model]float64{"a": a, "b": b}})
		s.issuer.Step(ctx)
		s.note()
	}
}

// note begins the loads that were ordered since the last look: the store gives
// one model after the other.
func (s *orderSite) note() {
	now := s.clock.Now()
	for i, e := range s.engines {
		orders := e.Orders()
		for _, o := range orders[s.taken[i]:] {
			if o.Verb != order.VerbLoad {
				continue
			}
			if now.After(s.free) {
				s.free = now
			}
			s.free = s.free.Add(seconds(ordersSize / ordersStore))
			s.running = append(s.running, orderLoad{engine: i, model: o.Model, done: s.free})
			s.loads = append(s.loads, now)
		}
		s.taken[i] = len(orders)
	}
}
