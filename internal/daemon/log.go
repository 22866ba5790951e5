package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/quota"
	"poplarbend.example/poplar/internal/voter"
	"poplarbend.example/poplar/pkg/quorum"
	"poplarbend.example/poplar/pkg/share"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the replicated log at a voter, and the access to it at every
// daemon.

var logModule = fx.Module("log",
	fx.Provide(newVoterRole, newProposer, newMirror),
)

// voterRole is the voter's part in the log. All fields are nil at a daemon that is
// no voter.
type voterRole struct {
	voter    *voter.Voter
	replica  *follow.Replica
	allotter *quota.Issuer
}

// voters returns the names of the first voters in order.
func voters(s *conf.Settings) []poplar.Daemon { return slices.Sorted(maps.Keys(s.Voters)) }

func newVoterRole(
	lc fx.Lifecycle, s *conf.Settings, st *store, pool *peer.Pool, clock poplar.Clock, logger *log.Logger,
) (*voterRole, error) {
	if _, votes := s.Voters[s.Name]; !votes {
		return &voterRole{}, nil
	}
	if st.folder == nil {
		return nil, fmt.Errorf("%w: voter %q has no data folder", errSettings, s.Name)
	}
	b := &voterRole{replica: follow.NewReplica()}
	box := peer.NewOutbox[quorum.Message](pool, peer.OpStep)
	v, err := voter.Start(voter.Config{
		Name: s.Name, Founders: voters(s), Files: st.files, Applier: b.replica, Sender: box, Clock: clock,
		Forward: func(ctx context.Context, to poplar.Daemon, command []byte) ([]byte, error) {
			return peer.CallWithin[[]byte, []byte](ctx, askTime, pool, to, peer.OpPropose, command)
		},
		Refused: func(index poplar.Index, cause error) {
			logger.Error("command refused, state unchanged", "entry", uint64(index), "error", cause)
		},
	})
	if err != nil {
		box.Close()
		return nil, err
	}
	b.voter = v
	b.allotter = quota.New(quota.Config{
		Read: b.replica.Read, Leads: b.leads, Proposer: v, Policy: share.DefaultPolicy(), Clock: clock, Log: logger,
	})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			b.allotter.Start()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			b.handOver(ctx)
			box.Close()
			return v.Err()
		},
	})
	return b, nil
}

// handOver hands the lead of the log over and stops the voter.
func (b *voterRole) handOver(ctx context.Context) {
	if b.voter == nil {
		return
	}
	b.allotter.Stop()
	// The error of the voter's disk is told at the end of the stop.
	_ = b.voter.Stop(ctx)
}

// failed is closed when the voter has stopped, be it for its disk. It never is
// at a daemon that is no voter.
func (b *voterRole) failed() <-chan struct{} {
	if b.voter == nil {
		return nil
	}
	return b.voter.Done()
}

// leads reports whether this daemon leads the log.
func (b *voterRole) leads() bool {
	if b.voter == nil {
		return false
	}
	return b.voter.Status().Role() == quorum.RoleLeader
}

// serve adds the voter's methods.
func (b *voterRole) serve(methods *peer.Methods) {
	if b.voter == nil {
		return
	}
	methods[peer.OpStep] = peer.Handle(func(_ context.Context, _ poplar.Daemon, batch []quorum.Message) (struct{}, error) {
		for _, m := range batch {
			b.voter.Receive(m)
		}
		return struct{}{}, nil
	})
	methods[peer.OpPropose] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, command []byte) ([]byte, error) {
		return b.voter.ProposeHere(ctx, command)
	})
	methods[peer.OpDemand] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, r quota.Report) (quota.ReportReply, error) {
		return b.allotter.Report(ctx, r)
	})
}

// access is how a daemon reaches the log's leader.
type access struct {
	poplar.Proposer
	*leaders
	voting *voterRole
}

// Propose implements poplar.Proposer by the voter, where there is one that
// knows the leader. A voter on a new disk hears of none before it is admitted.
func (a access) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if v := a.voting.voter; v != nil && v.Status().Leader() == (quorum.Member{}) {
		return a.leaders.Propose(ctx, command)
	}
	return a.Proposer.Propose(ctx, command)
}

func newProposer(s *conf.Settings, b *voterRole, pool *peer.Pool) access {
	l := newLeaders(voters(s), pool)
	if b.voter != nil {
		return access{Proposer: b.voter, leaders: l, voting: b}
	}
	return access{Proposer: l, leaders: l, voting: b}
}

func newMirror(
	lc fx.Lifecycle, s *conf.Settings, st *store, self state.Holder, b *voterRole, n *peerNet, pool *peer.Pool,
) (*follow.Mirror, error) {
	m, err := follow.New(follow.Config{
		Self: self, Domain: s.Domain, Files: st.files, Replica: b.replica, Voters: voters(s),
		Peers: seeds(s), Network: n,
		Changed: func(v *follow.View) { pool.Route(addresses(s, v.Members())) },
	})
	if err != nil {
		return nil, err
	}
	pool.Route(addresses(s, m.View().Members()))
	n.pairs = func(d poplar.Domain) state.Pair { return m.View().Pair(d) }
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			m.Start()
			return nil
		},
		OnStop: func(context.Context) error { return m.Stop() },
	})
	return m, nil
}

// seeds returns names for the addresses of the settings.
func seeds(s *conf.Settings) []poplar.Daemon {
	names := make([]poplar.Daemon, 0, len(s.Peers))
	for _, host := range s.Peers {
		names = append(names, peer.Seed(host))
	}
	return names
}
