package core

import (
	"context"
	"time"

	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/pkg/quorum"
	"poplarbend.example/poplar/pkg/wallet"
)

// The leader of the log writes down where the tokens of the budgets are, so that a
// refused request can be traced to tokens that are spent, lost, or held by other routers.

const (
	// breakdownPeriod is the time between two lists of the budgets, and maxBreakdowns the
	// number of lines in one.
	breakdownPeriod = 5 * time.Second
	maxBreakdowns   = 50
)

// loopBreakdowns logs the breakdowns of the budgets with the smallest free fractions.
func (c *Core) loopBreakdowns(ctx context.Context) {
	loops.Tick(ctx, breakdownPeriod, nil, func(context.Context) {
		if c.voter.Load().Status().Role() == quorum.RoleLeader {
			c.logBreakdowns()
		}
	})
}

func (c *Core) logBreakdowns() {
	list := c.replica.breakdowns()
	for _, d := range list[:min(len(list), maxBreakdowns)] {
		c.settings.Log.Info("budget", "workspace", string(d.Workspace), "grant", int64(d.Grant), "spent", int64(d.Spent),
			"lost", int64(d.WrittenOff), "open", int64(d.Open), "reserve", int64(d.Reserve), "ready", int64(d.Ready), "free", int64(d.Free))
	}
}

func (r *replica) breakdowns() []wallet.Breakdown {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Book.Breakdowns()
}
