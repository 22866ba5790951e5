package edge

import (
	"math/rand/v2"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/retry"
)

// retryBudgets holds the retry budgets of the workspaces. It is safe for
// concurrent use.
type retryBudgets struct {
	mu      sync.Mutex
	budgets *retry.Budgets // invariant: guarded by mu
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{budgets: retry.NewBudgets(retry.DefaultSettings())}
}

// earn credits the retry budget with the first attempt of a call.
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

// decide reports whether a failed attempt, of which nothing reached the caller,
// may go to another upstream, and when.
func (b *retryBudgets) decide(a *attempt, now time.Time) (time.Time, bool) {
	c := a.call
	failure := retry.FailedNotRun
	if c.dispatched.Load() {
		failure = retry.FailedMaybeRun
	}
	number := poplar.Attempt(a.failovers)
	failed := retry.NewAttempt(failure, number, c.op.idempotent(), time.Time{})
	b.mu.Lock()
	defer b.mu.Unlock()
	d := b.budgets.Decide(failed, c.caller.Workspace().Name(), c.rank, now, rand.Uint64())
	return d.At(), d.Action() == retry.Retry
}
