package retry

import (
	"time"

	"poplarbend.example/poplar"
)

// idleTimeout is the time without use after which a budget is deleted. A new
// budget is full.
const idleTimeout = 5 * time.Minute

// budgetKey identifies one budget.
type budgetKey struct {
	workspace poplar.Workspace
	rank      poplar.Rank
}

// balance is the state of one budget.
type balance struct {
	remaining float64 // invariant: 0 <= remaining <= Burst
	lastUsed  time.Time
}

// Budgets stores the retry budgets of all workspaces and ranks. It is not safe
// for concurrent use.
//
// Over any period, the retries taken by one workspace and rank are at most
// Burst plus Ratio times its first attempts. The bound does not cover a budget
// that was unused for more than five minutes, since it becomes full again.
type Budgets struct {
	settings  Settings
	balances  map[budgetKey]balance // budgets used recently; sweep deletes idle ones
	lastSweep time.Time
}

// NewBudgets returns Budgets in which every budget is full.
func NewBudgets(settings Settings) *Budgets {
	return &Budgets{settings: settings, balances: map[budgetKey]balance{}}
}

// Set replaces the settings.
func (b *Budgets) Set(settings Settings) { b.settings = settings }

// Settings returns the settings in force.
func (b *Budgets) Settings() Settings { return b.settings }

// Earn adds the retries earned by a first attempt.
func (b *Budgets) Earn(workspace poplar.Workspace, rank poplar.Rank, now time.Time) {
	key := budgetKey{workspace, rank}
	remaining := b.remaining(key, now)
	b.balances[key] = balance{remaining: min(remaining+b.settings.Ratio, b.settings.Burst), lastUsed: now}
	b.sweep(now)
}

// Remaining returns the number of retries that the workspace and rank have
// left.
func (b *Budgets) Remaining(workspace poplar.Workspace, rank poplar.Rank, now time.Time) float64 {
	return b.remaining(budgetKey{workspace, rank}, now)
}

// Take consumes one retry and reports whether the budget had one.
func (b *Budgets) Take(workspace poplar.Workspace, rank poplar.Rank, now time.Time) bool {
	key := budgetKey{workspace, rank}
	remaining := b.remaining(key, now)
	if remaining < 1 {
		return false
	}
	b.balances[key] = balance{remaining: remaining - 1, lastUsed: now}
	return true
}

// Len returns the number of budgets in memory.
func (b *Budgets) Len() int { return len(b.balances) }

// Decide calls the function Decide with the budget of the workspace and rank.
// If the decision uses the budget, Decide takes one retry from it.
func (b *Budgets) Decide(a Attempt, workspace poplar.Workspace, rank poplar.Rank, now time.Time, rnd uint64) Decision {
	d := Decide(a, b.Remaining(workspace, rank, now), b.settings, now, rnd)
	if d.usesBudget {
		b.Take(workspace, rank, now)
	}
	return d
}

func (b *Budgets) remaining(key budgetKey, now time.Time) float64 {
	bal, ok := b.balances[key]
	if !ok || now.Sub(bal.lastUsed) > idleTimeout {
		return b.settings.Burst
	}
	return min(bal.remaining, b.settings.Burst)
}

// sweep deletes idle budgets.
func (b *Budgets) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < idleTimeout {
		return
	}
	b.lastSweep = now
	for key, bal := range b.balances {
		if now.Sub(bal.lastUsed) > idleTimeout {
			delete(b.balances, key)
		}
	}
}
