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
	// divisionPeriod is the time between two lists of the budgets, and maxDivisions the
	// number of lines in one.
	divisionPeriod = 5 * time.Second
	maxDivisions   = 50
)

// loopDivisions logs the divisions of the budgets with the smallest free fractions.
func (c *Core) loopDivisions(ctx context.Context) {
	loops.Tick(ctx, divisionPeriod, nil, func(context.Context) {
		if c.voter.Load().Status().Role() == quorum.RoleLeader {
			c.logDivisions()
		}
	})
}

func (c *Core) logDivisions() {
	list := c.replica.divisions()
	for _, d := range list[:min(len(list), maxDivisions)] {
		c.settings.Log.Info("budget", "workspace", string(d.Workspace), "grant", int64(d.Grant), "spent", int64(d.Spent),
			"lost", int64(d.WrittenOff), "open", int64(d.Open), "reserve", int64(d.Reserve), "ready", int64(d.Ready), "free", int64(d.Free))
	}
}

func (r *replica) divisions() []wallet.Division {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Book.Divisions()
}
