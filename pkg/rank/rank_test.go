package rank_test

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/trial"
	"poplarbend.example/poplar/pkg/rank"
)

func TestMain(m *testing.M) { os.Exit(trial.Run(m)) }

// TestFloorBound checks the bound that the doc comment of Scheduler states, for
// random costs while all ranks have work waiting.
func TestFloorBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := rank.DefaultSettings()
		settings[poplar.Bulk].Floor = rapid.Float64Range(0, 0.4).Draw(t, "bulk")
		settings[poplar.Normal].Floor = rapid.Float64Range(0, 0.4).Draw(t, "normal")
		assert.NilError(t, settings.Check())
		scheduler := rank.NewScheduler(settings)
		cost := rapid.Float64Range(1, 1000)
		heads := rank.HeadCosts{cost.Draw(t, "c"), cost.Draw(t, "c"), cost.Draw(t, "c")}
		var served [poplar.Ranks]float64
		total, largest := 0.0, 1000.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			r, _, ok := scheduler.Next(heads, rank.AtFloor{})
			assert.Assert(t, ok)
			served[r] += heads[r]
			total += heads[r]
			scheduler.RecordStart(r, heads[r], heads[r], heads)
			heads[r] = cost.Draw(t, "next")
			for i := range served {
				shortfall := settings[i].Floor*total - served[i]
				assert.Assert(t, shortfall <= 2*largest, "rank %d is %g short of its floor", i, shortfall)
			}
		}
	})
}

func TestSettingsCheck(t *testing.T) {
	cases := []struct {
		change func(*rank.Settings)
		want   string
	}{
		{func(*rank.Settings) {}, ""},
		{func(s *rank.Settings) { s[0].Deadline = 0 }, "rank urgent: deadline 0s is not positive"},
		{func(s *rank.Settings) { s[1].Value = -1 }, "rank normal: worth -1 is not positive"},
		{func(s *rank.Settings) { s[2].Floor = 1 }, "rank bulk: floor 1 is not in [0, 1)"},
		{func(s *rank.Settings) { s[2].Reserve = 2 }, "rank bulk: spare 2 is not in [0, 1)"},
		{func(s *rank.Settings) { s[1].Floor, s[2].Floor = 0.5, 0.5 }, "the floors of the ranks sum to 1; they must leave room below 1"},
	}
	for _, c := range cases {
		s := rank.DefaultSettings()
		c.change(&s)
		err := s.Check()
		if c.want == "" {
			assert.NilError(t, err)
			continue
		}
		assert.Error(t, err, c.want)
	}
}

func ExampleScheduler() {
	scheduler := rank.NewScheduler(rank.DefaultSettings())
	heads := rank.HeadCosts{poplar.Urgent: 10, poplar.Bulk: 10}
	bulk := 0
	for range 100 {
		r, _, _ := scheduler.Next(heads, rank.AtFloor{})
		scheduler.RecordStart(r, heads[r], heads[r], heads)
		if r == poplar.Bulk {
			bulk++
		}
	}
	fmt.Println("of 100 starts in a flood of urgent work, bulk got", bulk)
	// Output: of 100 starts in a flood of urgent work, bulk got 9
}
