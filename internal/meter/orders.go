package meter

import (
	"context"
	"fmt"
	"time"

	"poplarbend.example/poplar/pkg/order"
)

// This file holds the measurement of orders: how soon a shift of demand is
// served, what two demands that alternate cost, and the pace of loads.

var _ = Add("orders", Orders)

// The domain of the measurement: a quarter of a fleet whose weight store gives
// 1 GB/s and 4 loads a minute.
const (
	ordersEngines = 6
	ordersSlots   = 16
	ordersSize    = 16e9   // bytes of one model
	ordersStore   = 0.25e9 // bytes a second
	ordersMinute  = 1      // loads a minute
	ordersWarm    = 20 * time.Minute
	ordersLong    = time.Hour
)

// ordersSwings are the times after which two demands change places.
var ordersSwings = []time.Duration{30 * time.Second, 3 * time.Minute, 20 * time.Minute}

// orderWay is one way to decide on orders.
type orderWay struct {
	name   string
	memory float64
	turn   func(*order.Settings)
}

var orderWays = []orderWay{
	{name: "ours", memory: 20e9, turn: func(*order.Settings) {}},
	{name: "hasty", memory: 20e9, turn: func(s *order.Settings) {
		s.RiseTime, s.FallTime, s.MinStay, s.LowUtilization = 0, 0, 0, s.HighUtilization
	}},
	{name: "brief", memory: 20e9, turn: func(s *order.Settings) { s.FallTime, s.MinStay = time.Minute, 2*time.Minute }},
	{name: "roomy", memory: 40e9, turn: func(*order.Settings) {}},
}

// Orders measures the issuer and its planner on stand-ins, in virtual time.
func Orders(ctx context.Context, out *Sheet) error {
	for _, w := range orderWays {
		if err := ordersShift(ctx, w, out); err != nil {
			return err
		}
		for _, swing := range ordersSwings {
			if err := ordersAlternate(ctx, w, swing, out); err != nil {
				return err
			}
		}
	}
	return nil
}

// ordersShift moves the demand from one model to another.
func ordersShift(ctx context.Context, w orderWay, out *Sheet) error {
	s, err := newOrderSite(w)
	if err != nil {
		return err
	}
	defer s.close()
	s.run(ctx, ordersWarm, func(time.Duration) (float64, float64) { return 60, 4 })
	if !s.serves(60, 4) {
		return fmt.Errorf("%s: the first demand is not served after %s", w.name, ordersWarm)
	}
	began, first, whole := s.clock.Now(), -1.0, -1.0
	before := s.slots("b")
	for s.clock.Now().Sub(began) < ordersLong && whole < 0 && ctx.Err() == nil {
		s.run(ctx, time.Second, func(time.Duration) (float64, float64) { return 4, 60 })
		past := s.clock.Now().Sub(began).Seconds()
		if first < 0 && s.slots("b") > before {
			first = past
		}
		if s.serves(4, 60) {
			whole = past
		}
	}
	out.Note("orders."+w.name+".shift.first", first, "s")
	out.Note("orders."+w.name+".shift.served", whole, "s")
	return ctx.Err()
}

// ordersAlternate lets two demands take turns.
func ordersAlternate(ctx context.Context, w orderWay, swing time.Duration, out *Sheet) error {
	s, err := newOrderSite(w)
	if err != nil {
		return err
	}
	defer s.close()
	s.run(ctx, ordersWarm, func(time.Duration) (float64, float64) { return 32, 32 })
	warm := len(s.loads)
	s.run(ctx, ordersLong, func(past time.Duration) (float64, float64) {
		if past/swing%2 == 0 {
			return 60, 4
		}
		return 4, 60
	})
	swings := float64(len(s.loads) - warm)
	name := fmt.Sprintf("orders.%s.swing%.0fs.", w.name, swing.Seconds())
	if w.name == orderWays[0].name {
		// Each engine changes hands once in the time to stay at most.
		out.AtMost(name+"loads", swings, "loads", ordersEngines*float64(ordersLong/order.DefaultSettings().MinStay))
	} else {
		out.Note(name+"loads", swings, "loads")
	}
	out.AtMost(name+"minute", s.mostInMinute(), "loads", ordersMinute)
	// The planner saves up the bytes of a second at most.
	out.AtMost(name+"ahead", s.mostBytes(), "bytes", ordersSize+ordersStore)
	return ctx.Err()
}

// serves reports whether the engines have the slots for both demands, by the
// planner's upper threshold: those with a model for its own, and all together.
func (s *orderSite) serves(a, b float64) bool {
	high := order.DefaultSettings().HighUtilization
	return a <= high*s.slots("a") && b <= high*s.slots("b") && a+b <= high*s.slots("a", "b")
}

// mostInMinute returns the most loads in any minute.
func (s *orderSite) mostInMinute() float64 {
	most := 0
	for i := range s.loads {
		n := 0
		for _, at := range s.loads[i:] {
			if at.Sub(s.loads[i]) < time.Minute {
				n++
			}
		}
		most = max(most, n)
	}
	return float64(most)
}

// mostBytes returns the most bytes that were ever ordered past what the store
// had given since any earlier load.
func (s *orderSite) mostBytes() float64 {
	most := 0.0
	for i := range s.loads {
		sum := 0.0
		for _, at := range s.loads[i:] {
			sum += ordersSize
			most = max(most, sum-ordersStore*at.Sub(s.loads[i]).Seconds())
		}
	}
	return most
}
