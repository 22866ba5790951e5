package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/peer"
)

// This file holds a router's access to the ledger of its domain.

// Times and sizes of a router's access to the ledger.
const (
	// callTime bounds one call to the ledger.
	callTime = 1 * time.Second
	// patience is how long a call is repeated while the ledger changes hands.
	patience = 8 * time.Second
	// leasePatience is how long before a request runs on a lease instead.
	leasePatience = 300 * time.Millisecond
	// again is the wait before a call is repeated.
	again = 50 * time.Millisecond
	// renewPeriod is the time between two renewals of the leases.
	renewPeriod = 1 * time.Second
	// leaseSize is the lease of a router on each budget that it uses, in tokens.
	leaseSize poplar.Tokens = 4096
)

// ledgerClient calls the primary of the domain's ledger, wherever it is. Every call
// may be repeated after a lost answer, so it goes on through a takeover.
//
// Its first call tells the ledger that the process that ran under this name
// before is gone, so that a retry of what it had open does not wait for it.
type ledgerClient struct {
	self   poplar.Daemon
	ledger *ledgerRole
	mirror *follow.Mirror
	pool   *peer.Pool
	told   atomic.Bool // invariant: set once the ledger knows of this start
	first  sync.Mutex  // held while the ledger is told
}

var _ holder.LeasingLedger = (*ledgerClient)(nil)

// routerLedger is the router's ledger with its leases.
type routerLedger struct {
	*holder.LeasingClient
	loops loops.Runner
}

func newLedgerClient(
	lc fx.Lifecycle, s *conf.Settings, c *ledgerRole, m *follow.Mirror, pool *peer.Pool,
) (*routerLedger, poplar.Ledger, error) {
	life, err := draw()
	if err != nil {
		return nil, nil, err
	}
	t := &ledgerClient{self: s.Name, ledger: c, mirror: m, pool: pool}
	router := poplar.Daemon(fmt.Sprintf("%s#%x", s.Name, life))
	b := &routerLedger{LeasingClient: holder.NewLeasingClient(t, router, leaseSize)}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			b.loops.Start(b.loop)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			b.loops.Stop()
			call, cancel := context.WithTimeout(ctx, callTime)
			defer cancel()
			// What cannot be given back now stays counted as spent.
			_ = b.Drain(call)
			return nil
		},
	})
	return b, b, nil
}

// loop renews the leases of the budgets in use.
func (b *routerLedger) loop(ctx context.Context) { loops.Tick(ctx, renewPeriod, nil, b.renew) }

func (b *routerLedger) renew(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	// A ledger that is away is asked again with the next tick.
	_ = b.Renew(call)
}

// Reserve implements poplar.Ledger. Work that may run on a lease does not wait
// for a takeover.
func (t *ledgerClient) Reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	wait := patience
	if ask.Idempotent && !ask.Keyed {
		wait = leasePatience
	}
	if err := t.begin(ctx, wait); err != nil {
		return poplar.Grant{}, err
	}
	return through(ctx, t, wait, peer.OpReserve, ask, (*ledgerRole).reserve)
}

// begin tells the ledger of this start, once.
func (t *ledgerClient) begin(ctx context.Context, wait time.Duration) error {
	if t.told.Load() {
		return nil
	}
	t.first.Lock()
	defer t.first.Unlock()
	if t.told.Load() {
		return nil
	}
	call := holder.Call{RemovedRouter: t.self}
	_, err := through(ctx, t, wait, peer.OpForward, call, func(c *ledgerRole, ctx context.Context, call holder.Call) (poplar.Grant, error) {
		return poplar.Grant{}, c.holder.RouterRemoved(ctx, call.RemovedRouter)
	})
	t.told.Store(err == nil)
	return err
}

// Extend implements poplar.Ledger.
func (t *ledgerClient) Extend(ctx context.Context, extend poplar.Extend) error {
	_, err := through(ctx, t, patience, peer.OpExtend, extend, func(c *ledgerRole, ctx context.Context, e poplar.Extend) (struct{}, error) {
		return struct{}{}, c.holder.Extend(ctx, e)
	})
	return err
}

// Settle implements poplar.Ledger.
func (t *ledgerClient) Settle(ctx context.Context, settle poplar.Settlement) error {
	_, err := through(ctx, t, patience, peer.OpSettle, settle, func(c *ledgerRole, ctx context.Context, s poplar.Settlement) (struct{}, error) {
		return struct{}{}, c.holder.Settle(ctx, s)
	})
	return err
}

// Lease implements holder.LeasingLedger.
func (t *ledgerClient) Lease(ctx context.Context, call holder.LeaseCall) (holder.LeaseCall, error) {
	return through(ctx, t, patience, peer.OpLease, call, func(c *ledgerRole, ctx context.Context, l holder.LeaseCall) (holder.LeaseCall, error) {
		return c.holder.Lease(ctx, l)
	})
}

// through calls the primary, here or at another daemon, until it answers or
// the wait ends.
func through[Req, Resp any](
	ctx context.Context, t *ledgerClient, wait time.Duration, op peer.Op, req Req,
	local func(*ledgerRole, context.Context, Req) (Resp, error),
) (Resp, error) {
	limit := time.Now().Add(wait)
	for {
		resp, err := once(ctx, t, op, req, local)
		if err == nil || !passing(err) || time.Now().After(limit) || ctx.Err() != nil {
			return resp, err
		}
		select {
		case <-ctx.Done():
			return resp, err
		case <-t.mirror.News():
		case <-time.After(again):
		}
	}
}

func once[Req, Resp any](
	ctx context.Context, t *ledgerClient, op peer.Op, req Req,
	local func(*ledgerRole, context.Context, Req) (Resp, error),
) (Resp, error) {
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	view := t.mirror.View()
	if view.Role() == follow.RolePrimary && t.ledger.holder != nil {
		return local(t.ledger, call, req)
	}
	pair := view.Own()
	if pair.Epoch == 0 || pair.Primary.Name == t.self {
		var none Resp
		return none, poplar.Failf(poplar.StepReserve, poplar.CodeUnreachable, "the ledger of the domain is away").Ran(poplar.RunNo)
	}
	return peer.Call[Req, Resp](call, t.pool, pair.Primary.Name, op, req)
}

// passing reports whether err may pass while the ledger changes hands.
func passing(err error) bool {
	switch poplar.CodeOf(err) {
	case poplar.CodeUnreachable, poplar.CodeStale, poplar.CodeTimeout, poplar.CodeDrain:
		return true
	}
	return false
}
