package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/pairs"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/quota"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/ledger"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the ledger of the domain: its holder, and a router's access
// to it.

var ledgerModule = fx.Module("ledger",
	fx.Provide(newLedgerRole, newLedgerClient),
)

// Names and times of the ledger.
const (
	ledgerName = "ledger"
	ledgerTick = 250 * time.Millisecond
	// alone is how long a primary without a backup, cut off from the log, runs
	// non-idempotent requests; 0 is without end.
	alone = 0
)

// ledgerRole is a daemon's part in the ledger of its domain. All fields are nil at a
// daemon that only routes.
type ledgerRole struct {
	holder   *holder.Replica
	keeper   *pairs.Manager
	reporter *quota.Reporter
	proof    proof
}

func newLedgerRole(
	lc fx.Lifecycle, s *conf.Settings, st *store, self state.Holder, m *follow.Mirror, r *rules, n *peerNet,
	a access, clock poplar.Clock, logger *log.Logger,
) (*ledgerRole, error) {
	if !slices.Contains(s.Ledgers[s.Domain], s.Name) {
		return &ledgerRole{}, nil
	}
	journal, recovered, err := disk.Open(st.files, ledgerName)
	if err != nil {
		return nil, err
	}
	h, err := holder.Start(holder.Config{
		Domain: s.Domain, Self: s.Name, Disk: self.Life, Journal: journal,
		Snapshot: recovered.Snapshot(), Records: recovered.Records(),
		Clock: clock, Peers: n, Tick: ledgerTick, LogTimeout: alone,
	})
	if err != nil {
		return nil, err
	}
	c := &ledgerRole{holder: h}
	c.keeper = pairs.New(pairs.Config{
		Self: self, Domain: s.Domain, Holders: s.Ledgers[s.Domain], Mirror: m, Network: n, Proposer: a,
		BackupCurrent: func() bool { return h.Status().Ready }, Clock: clock, Log: logger,
	})
	demandSource := newDemandSource(h, clock)
	c.reporter = quota.NewReporter(demandSource, a, logger)
	var feed loops.Runner
	c.proof = proof{holder: h, domain: s.Domain, access: a, log: logger}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			feed.Start(newFeed(h, m, r, logger).loop, c.proof.loop)
			c.keeper.Start()
			c.reporter.Start()
			return nil
		},
		OnStop: func(context.Context) error {
			c.reporter.Stop()
			feed.Stop()
			err := h.Close()
			if e := journal.Close(); err == nil {
				err = e
			}
			return err
		},
	})
	return c, nil
}

// handOver leaves the pair before a planned stop.
func (c *ledgerRole) handOver(ctx context.Context) {
	if c.keeper == nil {
		return
	}
	c.keeper.Stop()
	c.keeper.HandOver(ctx)
}

// failed is closed when the journal of the ledger has failed. It never is at a
// daemon that holds no ledger.
func (c *ledgerRole) failed() <-chan struct{} {
	if c.holder == nil {
		return nil
	}
	return c.holder.Failed()
}

// serve adds the holder's methods.
func (c *ledgerRole) serve(methods *peer.Methods) {
	h := c.holder
	if h == nil {
		return
	}
	methods[peer.OpReserve] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, a poplar.ReserveRequest) (poplar.Grant, error) {
		return c.reserve(ctx, a)
	})
	methods[peer.OpExtend] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, e poplar.Extend) (struct{}, error) {
		return struct{}{}, h.Extend(ctx, e)
	})
	methods[peer.OpSettle] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, s poplar.Settlement) (struct{}, error) {
		return struct{}{}, h.Settle(ctx, s)
	})
	methods[peer.OpLease] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, l holder.LeaseCall) (holder.LeaseCall, error) {
		return h.Lease(ctx, l)
	})
	methods[peer.OpCopy] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, r ledger.CopyRequest) (ledger.CopyReply, error) {
		return h.ServeCopy(ctx, r)
	})
	methods[peer.OpClaim] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, r ledger.ClaimBatch) (ledger.ClaimBatchReply, error) {
		return h.ServeClaim(ctx, r)
	})
	methods[peer.OpForward] = peer.Handle(func(ctx context.Context, from poplar.Daemon, call holder.Call) (poplar.Grant, error) {
		if call.RemovedRouter == from && from != "" {
			// A router of this domain has started anew.
			return poplar.Grant{}, h.RouterRemoved(ctx, from)
		}
		return h.ServeForward(ctx, call)
	})
}
