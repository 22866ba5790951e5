package retry

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/trial"
)

func TestMain(m *testing.M) { os.Exit(trial.Run(m)) }

var (
	epoch    = time.Unix(1_700_000_000, 0)
	failures = map[string]Failure{"before": FailedNotRun, "after": FailedMaybeRun, "stream": FailedMidStream, "answer": FailedRejected}
	actions  = []string{"stop", "repeat", "resume"}
)

// TestDecideTable reads testdata/decide.txt, which lists the expected decision for
// each kind of failed attempt.
func TestDecideTable(t *testing.T) {
	data, err := os.ReadFile("testdata/decide.txt")
	assert.NilError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if line == "" || line[0] == '#' {
			continue
		}
		var failure, idempotent, resumable, action, reason string
		var number poplar.Attempt
		var remaining float64
		var ms int
		_, err := fmt.Sscan(strings.Replace(line, "=", "", 1), &failure, &number, &idempotent, &resumable, &remaining, &ms, &action, &reason)
		assert.NilError(t, err, line)
		deadline := time.Time{}
		if ms != 0 {
			deadline = epoch.Add(time.Duration(ms) * time.Millisecond)
		}
		a := NewAttempt(failures[failure], number, idempotent == "yes", deadline)
		if resumable != "no" {
			a = a.WithResume(resumable == "tried")
		}
		d := Decide(a, remaining, DefaultSettings(), epoch, 1<<62)
		assert.Equal(t, actions[d.Action()]+" "+string(d.Reason()), action+" "+reason, line)
	}
}

// TestDecideIsSafe checks for any input that a request which is not idempotent
// and may have run is never retried, that a partly delivered response is never
// followed by a new generation, and that the delay is bounded.
func TestDecideIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failure := Failure(rapid.IntRange(0, 3).Draw(t, "failure"))
		idempotent := rapid.Bool().Draw(t, "idempotent")
		a := NewAttempt(failure, poplar.Attempt(rapid.IntRange(0, 40).Draw(t, "number")), idempotent, time.Time{})
		if rapid.Bool().Draw(t, "resumable") {
			a = a.WithResume(rapid.Bool().Draw(t, "tried"))
		}
		s := DefaultSettings()
		s.MaxAttempts = 99
		d := Decide(a, rapid.Float64Range(0, 9).Draw(t, "left"), s, epoch, rapid.Uint64().Draw(t, "rnd"))
		if d.Action() == Retry {
			assert.Assert(t, failure == FailedNotRun || failure == FailedMaybeRun && idempotent)
			assert.Assert(t, d.UsesBudget())
		}
		assert.Assert(t, !d.At().Before(epoch) && d.At().Sub(epoch) <= s.MaxDelay)
	})
}

// TestBudgetBound checks the documented bound of Budgets for each workspace and
// rank, for any order of calls and while other workspaces and ranks use their
// budgets.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		b := NewBudgets(s)
		now := epoch
		var earned, taken [2][poplar.Ranks]float64
		t.Repeat(map[string]func(*rapid.T){
			"earn": func(t *rapid.T) {
				w, r := rapid.IntRange(0, 1).Draw(t, "w"), rapid.IntRange(0, 2).Draw(t, "r")
				b.Earn(poplar.Workspace(fmt.Sprint(w)), poplar.Rank(r), now)
				earned[w][r]++
			},
			"take": func(t *rapid.T) {
				w, r := rapid.IntRange(0, 1).Draw(t, "w"), rapid.IntRange(0, 2).Draw(t, "r")
				if b.Take(poplar.Workspace(fmt.Sprint(w)), poplar.Rank(r), now) {
					taken[w][r]++
				}
				bound := s.Burst + s.Ratio*earned[w][r] + 1e-6
				assert.Assert(t, taken[w][r] <= bound, "%g retries after %g first attempts", taken[w][r], earned[w][r])
			},
			"pass": func(t *rapid.T) { now = now.Add(time.Millisecond) },
		})
	})
}

func TestIdleBudgetsAreDeleted(t *testing.T) {
	b := NewBudgets(DefaultSettings())
	for i := range 8400 {
		b.Earn(poplar.Workspace(fmt.Sprint(i)), poplar.Bulk, epoch)
	}
	b.Earn("last", poplar.Bulk, epoch.Add(idleTimeout+time.Second))
	assert.Equal(t, b.Len(), 1)
}

func ExampleBudgets_Decide() {
	now := time.Unix(0, 0)
	budgets := NewBudgets(DefaultSettings())
	failed := NewAttempt(FailedMaybeRun, 1, false, time.Time{})
	d := budgets.Decide(failed, "depot", poplar.Urgent, now, 0)
	fmt.Println(d.Action() == Stop, d.Reason())
	// Output: true once
}
