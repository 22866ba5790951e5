package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/retry"
)

// This file holds the retry budgets of the workspaces for concurrent use.

// retryBudgets is safe for concurrent use.
type retryBudgets struct {
	mu      sync.Mutex
	budgets *retry.Budgets // invariant: guarded by mu
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{budgets: retry.NewBudgets(retry.DefaultSettings())}
}

// earn counts a first attempt of the call.
func (b *retryBudgets) earn(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio := c.policy.Numbers().Retries; ratio != b.budgets.Settings().Ratio {
		settings := b.budgets.Settings()
		settings.Ratio = ratio
		b.budgets.Set(settings)
	}
	b.budgets.Earn(c.caller.Workspace().Name(), c.rank, c.arrived)
}

// decide returns whether a failed attempt, of which no part was delivered, may
// go to another upstream, and when.
func (b *retryBudgets) decide(a *attempt, now time.Time) (time.Time, bool) {
	c := a.call
	failure := retry.FailedBefore
	if c.dispatched.Load() {
		failure = retry.FailedAfter
	}
	number := poplar.Attempt(a.failovers)
	failed := retry.NewAttempt(failure, number, c.op.idempotent(), time.Time{})
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.budgets.Decide(failed, c.caller.Workspace().Name(), c.rank, now, rand.Uint64())
	return d.At(), d.Action() == retry.Repeat
}
