package meter

import (
	"context"
	"fmt"

	"poplarbend.example/poplar"
)

// This file holds the measurement of budgets: overspend, and false refusals by
// what is left, by demand and by the way in which shares are decided.

var _ = Add("budget", Budget)

// budgetWhole is the size of a full budget in tokens.
const budgetWhole poplar.Tokens = 10_000_000

// method is a way to share a budget between domains.
type method string

const (
	// methodDemand is the real policy; a request that finds too little waits a
	// moment for more.
	methodDemand method = "demand"
	// methodHasty is the real policy; a request that finds too little is refused
	// at once.
	methodHasty method = "hasty"
	// methodEqual gives each domain a fixed equal share.
	methodEqual method = "equal"
	// methodCentral asks one counter for each request; a cut domain asks in vain.
	methodCentral method = "central"
)

// trial is one run.
type trial struct {
	method  method
	domains int
	skewed  bool
	left    float64 // of the budget at the start of the count
	cut     int     // the domain that is cut off, or -1
	seed    uint64
}

// tally counts what happened.
type tally struct {
	asked, refused, falsely int
	moves                   int           // entries of the log
	over                    poplar.Tokens // most ever spent or reserved past the grant
}

func (t *tally) add(o tally) {
	t.asked += o.asked
	t.refused += o.refused
	t.falsely += o.falsely
	t.moves += o.moves
	t.over = max(t.over, o.over)
}

// share returns the percentage of requests that were refused falsely.
func (t *tally) share() float64 {
	if t.asked == 0 {
		return 0
	}
	return 100 * float64(t.falsely) / float64(t.asked)
}

// falseTarget is the highest share of false refusals, in percent, while the
// fleet is whole and a tenth of the budget is left.
const falseTarget = 1

// Budget measures overspend and false refusals. A refusal is false when the
// tokens that the whole fleet had neither spent nor reserved covered the
// request. Requests count from the stated part of the budget left until they
// have cost nine tenths of it, or all of it at 1%, had all been served. A cut
// lasts as long as the count.
func Budget(ctx context.Context, out *Sheet) error {
	over := poplar.Tokens(0)
	for _, domains := range []int{3, 4} {
		for _, left := range []float64{0.5, 0.1, 0.01} {
			for _, skewed := range []bool{false, true} {
				for _, m := range []method{methodDemand, methodHasty, methodEqual, methodCentral} {
					if err := ctx.Err(); err != nil {
						return err
					}
					t := trial{method: m, domains: domains, skewed: skewed, left: left, cut: -1}
					worst, err := budgetTrials(out, t)
					if err != nil {
						return err
					}
					over = max(over, worst)
				}
			}
		}
	}
	out.AtMost("overspend over all runs", float64(over), "tokens", 0)
	return nil
}

func (t trial) name(state string) string {
	demand := "even"
	if t.skewed {
		demand = "skewed"
	}
	return fmt.Sprintf("false refusals, %s, %d domains, %s demand, %g%% left, %s", t.method, t.domains, demand, 100*t.left, state)
}

// repeats is the number of seeds: the smaller the budget, the fewer requests it
// has.
func (t trial) repeats() uint64 {
	switch {
	case t.left >= 0.5:
		return 1
	case t.left >= 0.1:
		return 4
	}
	return 16
}

// all runs the trial under each of its seeds.
func (t trial) all() (tally, error) {
	var sum tally
	for t.seed = range t.repeats() {
		one, err := newBudgetRun(t).run()
		if err != nil {
			return sum, fmt.Errorf("%s, seed %d: %w", t.name("run"), t.seed, err)
		}
		sum.add(one)
	}
	return sum, nil
}

// budgetTrials runs a trial whole and cut, and returns the overspend.
func budgetTrials(out *Sheet, t trial) (poplar.Tokens, error) {
	whole, err := budgetWholeFleet(out, t)
	if err != nil {
		return 0, err
	}
	cut, err := budgetCut(out, t)
	return max(whole, cut), err
}

func budgetWholeFleet(out *Sheet, t trial) (poplar.Tokens, error) {
	sum, err := t.all()
	if err != nil {
		return 0, err
	}
	if (t.method == methodDemand || t.method == methodHasty) && t.left == 0.1 {
		out.AtMost(t.name("whole"), sum.share(), "%", falseTarget)
	} else {
		out.Note(t.name("whole"), sum.share(), "%")
	}
	return sum.over, nil
}

// budgetCut cuts each domain off in turn and writes the mean and the worst
// position.
func budgetCut(out *Sheet, t trial) (poplar.Tokens, error) {
	var all tally
	worst := 0.0
	for t.cut = range t.domains {
		sum, err := t.all()
		if err != nil {
			return 0, err
		}
		worst = max(worst, sum.share())
		all.add(sum)
	}
	out.Note(t.name("cut"), all.share(), "%")
	out.Note(t.name("cut, worst position"), worst, "%")
	return all.over, nil
}
