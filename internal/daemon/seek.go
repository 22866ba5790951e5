package daemon

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/quota"
)

// This file holds how a primary asks for more before it refuses for want of
// tokens.

// Times of the search for tokens.
const (
	// seekTime is how long a request waits for tokens that are left elsewhere.
	seekTime = 800 * time.Millisecond
	// seekPause is the longest time between two looks at the share.
	seekPause = 20 * time.Millisecond
)

// stock holds a domain's shares.
type stock interface {
	Reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error)
	Share(budget poplar.Budget) (holder.ShareStatus, bool)
}

// teller knows what is left of a budget in the whole fleet.
type teller interface {
	AwaitRemainder(ctx context.Context, budget poplar.Budget, need poplar.Tokens) quota.Availability
}

var (
	_ stock  = (*holder.Replica)(nil)
	_ teller = (*quota.Reporter)(nil)
)

// reserve reserves at the local holder.
func (c *ledgerRole) reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	return reserve(ctx, c.holder, c.reporter, ask)
}

// reserve reserves from s. When the domain's share does not cover the request,
// and the leader of the log says that tokens are left elsewhere, it waits for
// them; others that wait may take what comes first. It refuses for want of
// budget only what the leader says is not left, or, at once, what a domain that
// is cut off does not hold. Tokens that are late are no reason to tell a caller
// that the budget is used up: it may come again.
func reserve(ctx context.Context, s stock, leader teller, ask poplar.ReserveRequest) (poplar.Grant, error) {
	call, cancel := context.WithTimeout(ctx, seekTime)
	defer cancel()
	for {
		grant, err := s.Reserve(ctx, ask)
		if poplar.CodeOf(err) != poplar.CodeBudget {
			return grant, err
		}
		switch leader.AwaitRemainder(call, ask.Budget, ask.MaxTokens) {
		case quota.Insufficient, quota.LeaderUnreachable:
			return grant, err
		case quota.Available:
			if arrive(call, s, ask.Budget, ask.MaxTokens) {
				continue
			}
		case quota.AvailabilityUnknown:
		}
		return grant, poplar.Failf(poplar.StepReserve, poplar.CodeBusy, "the share is being filled up: %w", err).
			Ran(poplar.RunOf(err)).After(time.Now().Add(seekTime))
	}
}

// arrive reports whether need tokens of budget have come before ctx ends.
func arrive(ctx context.Context, s stock, budget poplar.Budget, need poplar.Tokens) bool {
	tick := time.NewTicker(seekPause)
	defer tick.Stop()
	for {
		if share, ok := s.Share(budget); ok && share.Available >= need {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
}
