package admit

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/trial"
	"poplarbend.example/poplar/pkg/fair"
	"poplarbend.example/poplar/pkg/rank"
)

func TestMain(m *testing.M) { os.Exit(trial.Run(m)) }

var epoch = time.Unix(1_700_000_000, 0)

func testRequest(workspace int, r poplar.Rank, cost poplar.Tokens) Request {
	return NewRequest(fair.NewFlow(poplar.Workspace(fmt.Sprint("w", workspace)), "c", 1), r, cost)
}

// machine drives a Core with random calls and tracks every waiter.
type machine struct {
	core    *Core
	now     time.Time
	queued  []*Waiter
	running []*Waiter
}

func (m *machine) take(t *rapid.T) {
	for _, w := range m.core.Take() {
		m.queued = without(m.queued, w)
		if w.Running() {
			m.running = append(m.running, w)
			assert.Assert(t, !m.now.After(w.StartBy()), "started after its latest start time")
		}
	}
}

func without(list []*Waiter, w *Waiter) []*Waiter {
	for i, other := range list {
		if other == w {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

func (m *machine) enter(t *rapid.T) {
	r := poplar.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))
	request := testRequest(rapid.IntRange(0, 4).Draw(t, "space"), r, poplar.Tokens(rapid.IntRange(1, 500).Draw(t, "cost")))
	request = request.WithPrefill(time.Duration(rapid.IntRange(0, 400).Draw(t, "prefill")) * time.Millisecond)
	d := m.core.Admit(request, m.now, rapid.Uint64().Draw(t, "rnd"))
	switch d.Action() {
	case Start:
		m.running = append(m.running, d.Waiter())
		assert.Assert(t, !m.now.After(d.Waiter().StartBy()))
	case Queue:
		m.queued = append(m.queued, d.Waiter())
		assert.Assert(t, !m.now.Add(d.Wait()).After(d.Waiter().StartBy()), "queued although predicted to start too late")
	default:
		assert.Assert(t, d.Retry().After(m.now), "a refusal without a retry time")
	}
}

// check checks the invariants of Core: no request waits that has room, and the counts
// match the waiters.
func (m *machine) check(t *rapid.T) {
	status := m.core.Status(m.now)
	total, queued := 0, 0
	for i := range status.Open {
		total += status.Open[i]
		queued += status.Waiting[i]
	}
	assert.Equal(t, total, len(m.running))
	assert.Equal(t, queued, len(m.queued))
	for i := range status.Open {
		room := float64(total)+0.5 <= status.Limit-status.Headroom[i]
		assert.Assert(t, status.Waiting[i] == 0 || !room, "rank %d has waiting requests and room", i)
	}
	assert.Assert(t, queued == 0 || total > 0, "requests wait although none runs")
}

// TestCore checks the invariants of Core under random sequences of calls, and that no
// more requests run than the highest limit allows.
func TestCore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1, 12).Draw(t, "limit")
		highest := limit
		m := &machine{core: NewCore(rank.DefaultSettings(), limit), now: epoch}
		t.Repeat(map[string]func(*rapid.T){
			"enter": m.enter,
			"leave": func(t *rapid.T) {
				if len(m.running) == 0 {
					t.Skip("nothing runs")
				}
				w := m.running[rapid.IntRange(0, len(m.running)-1).Draw(t, "at")]
				m.running = without(m.running, w)
				m.core.FirstToken(w, m.now)
				m.core.Release(w, poplar.Tokens(rapid.IntRange(0, 900).Draw(t, "cost")), m.now)
				m.core.Release(w, 1, m.now) // does nothing
			},
			"cancel": func(t *rapid.T) {
				if len(m.queued) == 0 {
					t.Skip("nothing waits")
				}
				w := m.queued[rapid.IntRange(0, len(m.queued)-1).Draw(t, "at")]
				m.queued = without(m.queued, w)
				assert.Assert(t, m.core.Cancel(w, ReasonCancelled, m.now))
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				m.core.SetLimit(limit, m.now)
			},
			"limit": func(t *rapid.T) {
				limit = rapid.Float64Range(1, 12).Draw(t, "limit")
				highest = max(highest, limit)
				m.core.SetLimit(limit, m.now)
			},
			"": func(t *rapid.T) {
				m.take(t)
				m.check(t)
				assert.Assert(t, float64(len(m.running)) <= highest+0.5)
			},
		})
	})
}

// TestShare checks that daemons that act on the same delayed reports, with any
// distribution of demand, do not hold more than the capacity once they have settled,
// that each gets its even share, and that demand at few daemons gets the free capacity.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "daemons")
		at := func(step int) time.Time { return epoch.Add(time.Duration(step) * time.Second) }
		capacity := float64(rapid.IntRange(9, 200).Draw(t, "capacity"))
		lag := rapid.IntRange(1, 4).Draw(t, "lag")
		shares := make([]*Share, n)
		open := make([]float64, n)
		want := make([]float64, n)
		for i := range shares {
			shares[i] = NewShare()
			want[i] = rapid.Float64Range(0, 400).Draw(t, "want")
		}
		var history []float64
		peak := 0.0
		for step := range 80 {
			held := sum(open)
			history = append(history, held)
			reported := history[max(step-lag, 0)]
			for i := range shares {
				f := NewFeedback(capacity, reported, max(reported-capacity, 0), n, at(step-lag))
				limit := shares[i].Update(f.WithLocal(int(open[i]), want[i] > open[i]), at(step))
				open[i] = min(want[i], limit)
			}
			if step > 40 {
				peak = max(peak, held)
			}
		}
		assert.Assert(t, peak <= capacity+float64(n), "%d daemons hold %g of %g", n, peak, capacity)
		minMargin, wanted := open[0], 0.0
		for i := range open {
			wanted += want[i]
			minMargin = min(minMargin, open[i]-min(want[i], capacity/float64(n)))
		}
		assert.Assert(t, minMargin >= -1, "a daemon has %g less than its even share", -minMargin)
		assert.Assert(t, sum(open) >= 0.8*min(wanted, capacity)-float64(n), "%g of %g wanted, %g possible", sum(open), wanted, capacity)
	})
}

func sum(open []float64) float64 {
	total := 0.0
	for _, n := range open {
		total += n
	}
	return total
}

type fixedClock struct{ now atomic.Int64 }

func (c *fixedClock) Now() time.Time { return time.Unix(0, c.now.Load()) }

// asyncAdmit calls Gate.Admit in a goroutine.
type asyncAdmit struct {
	gate   *Gate
	ticket chan *Ticket
	err    chan error
}

func (a *asyncAdmit) run(ctx context.Context, r Request) {
	ticket, err := a.gate.Admit(ctx, r)
	a.ticket <- ticket
	a.err <- err
}

// TestGateWaits checks that a waiting request starts when a slot becomes free, and that
// a caller that leaves gives up its place in the queue.
func TestGateWaits(t *testing.T) {
	clock := &fixedClock{}
	clock.now.Store(epoch.UnixNano())
	gate := NewGate(clock, rank.DefaultSettings(), 1)
	first, err := gate.Admit(context.Background(), testRequest(1, poplar.Bulk, 10))
	assert.NilError(t, err)

	ctx, leave := context.WithCancel(context.Background())
	leaver := &asyncAdmit{gate: gate, ticket: make(chan *Ticket, 1), err: make(chan error, 1)}
	go leaver.run(ctx, testRequest(2, poplar.Bulk, 10))
	stayer := &asyncAdmit{gate: gate, ticket: make(chan *Ticket, 1), err: make(chan error, 1)}
	go stayer.run(context.Background(), testRequest(3, poplar.Bulk, 10))
	for gate.Status().Waiting[poplar.Bulk] < 2 {
		time.Sleep(time.Millisecond)
	}
	leave()
	<-leaver.ticket
	var e *poplar.Error
	assert.Assert(t, errors.As(<-leaver.err, &e))
	assert.Equal(t, e.Code(), poplar.CodeCancelled)
	assert.Equal(t, e.Run(), poplar.RunNo)

	first.FirstToken()
	first.Release(10)
	first.Release(10) // does nothing
	second := <-stayer.ticket
	assert.NilError(t, <-stayer.err)
	assert.Equal(t, second.Reason(), ReasonTurn)
	second.Release(0)
	assert.Equal(t, gate.Status().Open[poplar.Bulk], 0)
}

func ExampleCore() {
	core := NewCore(rank.DefaultSettings(), 1)
	now := time.Unix(0, 0)
	flow := fair.NewFlow("studio", "editor", 1)
	first := core.Admit(NewRequest(flow, poplar.Urgent, 100), now, 0)
	core.Release(first.Waiter(), 100, now.Add(time.Second)) // one request takes a second

	core.Admit(NewRequest(flow, poplar.Urgent, 100), now, 0)
	refused := core.Admit(NewRequest(flow, poplar.Urgent, 100), now, 0)
	fmt.Println(refused.Action() == Refuse, refused.Reason(), refused.Wait())
	// Output: true wait 500ms
}

func ExampleShare() {
	share := NewShare()
	now := time.Unix(1000, 0)
	// Nine daemons share 288 slots, of which 100 are in use. This daemon uses its
	// even share of 32 and has waiting requests.
	reports := NewFeedback(288, 100, 0, 9, now.Add(-2*time.Second)).WithLocal(32, true).WithHeadroom(4)
	fmt.Printf("%.1f slots\n", share.Update(reports, now))
	// The same reports do not show the effect of the step yet.
	fmt.Printf("%.1f slots\n", share.Update(reports, now.Add(time.Second)))
	// Output:
	// 41.8 slots
	// 41.8 slots
}
