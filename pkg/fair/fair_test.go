package fair_test

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/trial"
	"poplarbend.example/poplar/pkg/fair"
)

func TestMain(m *testing.M) { os.Exit(trial.Run(m)) }

func newFlow(workspace, caller int, weight float64) fair.Flow {
	return fair.NewFlow(poplar.Workspace(fmt.Sprint("w", workspace)), poplar.Caller(fmt.Sprint("c", caller)), weight)
}

// TestFairnessBound checks the bound that the doc comment of Queue states, over
// every interval in which all flows have entries waiting. The actual costs equal
// the estimates.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		oneWorkspace := rapid.Bool().Draw(t, "callers of one workspace")
		n := rapid.IntRange(2, 6).Draw(t, "flows")
		weights := make([]float64, n)
		flows := make([]fair.Flow, n)
		for i := range flows {
			weights[i] = rapid.Float64Range(0.5, 8).Draw(t, "weight")
			flows[i] = newFlow(i, 0, weights[i])
			if oneWorkspace {
				weights[i] = 1
				flows[i] = newFlow(0, i, 1)
			}
		}
		q := fair.New[int]()
		cost := rapid.Float64Range(1, 100)
		push := func(i int) { q.Push(flows[i], cost.Draw(t, "cost"), i) }
		for i := range flows {
			push(i)
			push(i)
		}
		served := make([]float64, n)
		low, high := newMatrix(n), newMatrix(n)
		for range 150 {
			e := q.Pop()
			served[e.Item()] += e.Cost() / weights[e.Item()]
			push(e.Item())
			for i := range flows {
				for j := range i {
					diff := served[i] - served[j]
					low[i][j], high[i][j] = min(low[i][j], diff), max(high[i][j], diff)
					bound := 100/weights[i] + 100/weights[j] + 1e-6
					assert.Assert(t, high[i][j]-low[i][j] <= bound, "%d and %d differ by %g", i, j, high[i][j]-low[i][j])
				}
			}
		}
	})
}

func newMatrix(n int) [][]float64 {
	all := make([][]float64, n)
	for i := range all {
		all[i] = make([]float64, n)
	}
	return all
}

// TestQueueAgainstModel drives the queue by random calls and compares it with
// a plain list. Each entry leaves the queue once, in order of arrival for its
// caller. Pop returns an entry whenever one waits. CostAhead and the number of
// workspaces that use memory stay bounded.
func TestQueueAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fair.New[int]()
		var waiting []*fair.Entry[int]
		next := 0
		anyFlow := func() fair.Flow {
			return newFlow(rapid.IntRange(0, 5).Draw(t, "w"), rapid.IntRange(0, 3).Draw(t, "c"), rapid.Float64Range(0.1, 9).Draw(t, "weight"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				waiting = append(waiting, q.Push(anyFlow(), rapid.Float64Range(1, 50).Draw(t, "cost"), next))
				next++
			},
			"pop": func(t *rapid.T) {
				e := q.Pop()
				assert.Equal(t, e != nil, len(waiting) > 0)
				if e != nil {
					waiting = removeEntry(t, waiting, e, true)
				}
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("nothing waiting")
				}
				e := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "at")]
				q.Remove(e)
				q.Remove(e)
				waiting = removeEntry(t, waiting, e, false)
			},
			"settle": func(t *rapid.T) { q.Settle(anyFlow(), rapid.Float64Range(-90, 90).Draw(t, "delta")) },
			"charge": func(t *rapid.T) { q.Charge(anyFlow(), 10) },
			"idle":   func(*rapid.T) { q.Reset() },
			"": func(t *rapid.T) {
				assert.Equal(t, q.Len(), len(waiting))
				sum := 0.0
				for _, e := range waiting {
					sum += e.Cost()
				}
				assert.Assert(t, q.Cost() > sum-1e-6 && q.Cost() < sum+1e-6)
				ahead := q.CostAhead(anyFlow())
				assert.Assert(t, ahead >= 0 && ahead <= q.Cost()+1e-6)
				assert.Assert(t, q.Workspaces() <= 6)
			},
		})
		q = drain(q)
		q.Reset()
		assert.Equal(t, q.Workspaces(), 0)
	})
}

func drain(q *fair.Queue[int]) *fair.Queue[int] {
	for q.Pop() != nil {
		continue
	}
	return q
}

// removeEntry removes e from the list. A popped entry must be the first of its
// caller.
func removeEntry(t *rapid.T, list []*fair.Entry[int], e *fair.Entry[int], popped bool) []*fair.Entry[int] {
	for i, other := range list {
		if other == e {
			return append(list[:i:i], list[i+1:]...)
		}
		same := other.Flow().Workspace() == e.Flow().Workspace() && other.Flow().Caller() == e.Flow().Caller()
		assert.Assert(t, !popped || !same, "%d left before %d", e.Item(), other.Item())
	}
	t.Fatal("the entry was not waiting")
	return nil
}

// TestIdleWorkspacesAreFreed checks that workspaces that were served and have
// nothing waiting are freed while others continue to be served.
func TestIdleWorkspacesAreFreed(t *testing.T) {
	q := fair.New[int]()
	for i := range 8400 {
		q.Push(newFlow(i, 0, 1), 10, i)
	}
	drain(q)
	for range 100 {
		q.Push(newFlow(9000, 0, 1), 10, 0)
		q.Push(newFlow(9001, 0, 1), 10, 0)
		q.Pop()
		q.Pop()
	}
	assert.Assert(t, q.Workspaces() <= 3, "%d workspaces use memory", q.Workspaces())
}

func TestSettleCorrectsCharge(t *testing.T) {
	q := fair.New[string]()
	a, b := newFlow(1, 0, 1), newFlow(2, 0, 1)
	for range 4 {
		q.Push(a, 10, "a")
		q.Push(b, 10, "b")
	}
	assert.Equal(t, q.Pop().Item(), "a")
	q.Settle(a, 20) // the actual cost of the request is 30
	got := ""
	for range 5 {
		got += q.Pop().Item()
	}
	assert.Equal(t, got, "bbbab")
}

func ExampleQueue() {
	q := fair.New[string]()
	for range 3 {
		q.Push(fair.NewFlow("studio", "large", 1), 100, "large")
	}
	q.Push(fair.NewFlow("studio", "small", 1), 10, "small")
	for e := q.Pop(); e != nil; e = q.Pop() {
		fmt.Print(e.Item(), " ")
	}
	// Output: large small large large
}
