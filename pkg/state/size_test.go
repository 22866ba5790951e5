package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// newLargeState returns a state with many budgets, each with a share in some of 13
// domains.
func newLargeState(budgets, spread int) *state.State {
	s := state.New()
	apply := func(c state.Command) { s.Apply(s.Index()+1, state.Encode(c)) }
	for d := range 13 {
		apply(state.Command{Ledger: &state.Ledger{Domain: poplar.Domain(fmt.Sprintf("zone-%02d", d)), Epoch: 1, Primary: state.Holder{Name: "p"}}})
	}
	c := state.Change{Number: 1, Files: map[string]string{"a": "1"}}
	for i := range budgets {
		space := fmt.Sprintf("workspace-%04d", i/10)
		c.Budgets = append(c.Budgets, state.Declared{Name: poplar.Budget(fmt.Sprintf("%s/budget-%d", space, i%10)), Workspace: poplar.Workspace(space), Tokens: 1 << 40})
	}
	apply(state.Command{Change: &c})
	for i, b := range c.Budgets {
		issue := state.Issue{}
		for d := range spread {
			domain := poplar.Domain(fmt.Sprintf("zone-%02d", (i/10+d)%13))
			issue.Shares = append(issue.Shares, state.Share{Budget: b.Name, Domain: domain, Tokens: 123_456_789})
		}
		apply(state.Command{Issue: &issue})
	}
	return s
}

// BenchmarkMemory reports the heap and snapshot size of 81,000 budgets.
func BenchmarkMemory(b *testing.B) {
	for _, spread := range []int{1, 3, 13} {
		b.Run(fmt.Sprintf("domains=%d", spread), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := newLargeState(81_000, spread)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
				b.ReportMetric(float64(len(s.Snapshot()))/1e6, "snapshot-MB")
			}
		})
	}
}

// TestDeltasAreBounded sends many budgets to a follower while the configuration
// changes. It checks the size of each delta and the final state of the follower.
func TestDeltasAreBounded(t *testing.T) {
	s := newLargeState(3000, 3)
	x, deltas := state.NewFollower("zone-00"), 0
	for d := s.Delta("zone-00", x.Mark()); !d.Empty(); d = s.Delta("zone-00", x.Mark()) {
		assert.Assert(t, len(state.Encode(d)) < 2*state.MaxDelta, "%d bytes", len(state.Encode(d)))
		_, err := x.Apply(d)
		assert.NilError(t, err)
		if deltas++; deltas < 4 {
			// A change during a pass restarts the pass. Files of two revisions
			// are never in force together.
			c := state.Change{Number: s.Revision() + 1, Patch: true, Files: map[string]string{"a": fmt.Sprint(deltas), "b": fmt.Sprint(deltas)}}
			s.Apply(s.Index()+1, state.Encode(state.Command{Change: &c}))
			files := x.Files()
			assert.Assert(t, len(files) == 0 || files["a"] == "1" || files["a"] == files["b"], "%v", files)
		}
	}
	assert.Equal(t, x.Revision(), s.Revision())
	assert.DeepEqual(t, x.Files(), s.Files())
	assert.Assert(t, x.Shares() > 600)
}
