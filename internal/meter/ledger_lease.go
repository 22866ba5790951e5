package meter

import (
	"context"
	"fmt"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file holds the measurement of leases at routers, beside a record for
// each request.

// The sizes of the comparison: a router uses some budgets and dies with some
// requests open on each.
const (
	leaseBudgets               = 10
	leaseOpen                  = 3
	leaseMost    poplar.Tokens = 1000
	leaseSize    poplar.Tokens = 4096
	leaseCalls                 = 200_000
)

// absent is a ledger that may be away when a router asks.
type absent struct {
	*holder.Replica
	away bool
}

func (a *absent) Reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	if a.away {
		return poplar.Grant{}, errLedgerLink
	}
	return a.Replica.Reserve(ctx, ask)
}

// measureLeases notes the tokens that count as spent when a router dies, with
// records and with leases, and the rate of reservations on a lease.
func measureLeases(ctx context.Context, out *Sheet) error {
	journal, _, err := disk.Open(disk.NewMemory(), "ledger")
	if err != nil {
		return err
	}
	h, err := holder.Start(holder.Config{Domain: "d", Self: "a", Journal: journal, Clock: poplar.System{}})
	if err != nil {
		return err
	}
	defer h.Close()
	var shares []ledger.Share
	for i := range leaseBudgets {
		shares = append(shares, ledger.Share{Budget: leaseBudget(i), Serial: 1, Issued: 1 << 40})
	}
	pair := holder.Pair{Epoch: 1, Primary: holder.Member{Name: "a"}}
	if err := h.Follow(ctx, holder.Update{Pair: pair, Shares: shares}); err != nil {
		return err
	}
	front := &absent{Replica: h, away: true}
	leased := holder.NewLeasingClient(front, "router#1", leaseSize)
	for i := range leaseBudgets {
		for j := range leaseOpen {
			if _, err := h.Reserve(ctx, leaseAsk(i, j)); err != nil {
				return err
			}
		}
		// The refusal is what makes the leased want a lease.
		_, _ = leased.Reserve(ctx, leaseAsk(i, leaseOpen))
	}
	front.away = false
	if err := leased.Renew(ctx); err != nil {
		return err
	}
	front.away = true
	var open, held poplar.Tokens
	for _, s := range h.Shares(false) {
		open += s.Open
		held += s.Leased
	}
	out.Note("ledger.death.records", float64(open), "tokens counted as spent, 30 requests open")
	out.Note("ledger.death.leases", float64(held), "tokens counted as spent, 30 requests open")
	return measureLeaseRate(ctx, leased, out)
}

func measureLeaseRate(ctx context.Context, leased *holder.LeasingClient, out *Sheet) error {
	begin := time.Now()
	for i := range leaseCalls {
		ask := leaseAsk(0, i)
		if _, err := leased.Reserve(ctx, ask); err != nil {
			return err
		}
		settle := poplar.Settlement{Workspace: ask.Workspace, Key: ask.Key, Attempt: 1, Outcome: poplar.OutcomeNotRun}
		if err := leased.Settle(ctx, settle); err != nil {
			return err
		}
	}
	out.Note("ledger.lease.rate", leaseCalls/time.Since(begin).Seconds(), "reserve+settle/s, in memory, one router")
	return nil
}

func leaseBudget(i int) poplar.Budget { return poplar.Budget(fmt.Sprintf("budget-%d", i)) }

func leaseAsk(budget, i int) poplar.ReserveRequest {
	ask := ledgerAsk(poplar.Key(fmt.Sprintf("generated-%d-%d", budget, i)))
	ask.Budget, ask.Keyed, ask.MaxTokens, ask.Router = leaseBudget(budget), false, leaseMost, "router"
	return ask
}
