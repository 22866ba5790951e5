package daemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/quota"
	"poplarbend.example/poplar/pkg/ledger"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the calls to other daemons.

var peerModule = fx.Module("peer",
	fx.Provide(newMeter, newPool, newPeerNet),
)

func newMeter() *peer.Meter { return &peer.Meter{} }

func newPool(lc fx.Lifecycle, s *conf.Settings, reach peer.Reach, meter *peer.Meter) (*peer.Pool, error) {
	token, err := s.Secrets.Peers.Token()
	if err != nil {
		return nil, fmt.Errorf("read the peers' credential: %w", err)
	}
	pool := peer.NewPoolOver(reach, s.Name, token, meter)
	pool.Route(addresses(s, nil))
	lc.Append(fx.StopHook(pool.Close))
	return pool, nil
}

// addresses returns the known addresses: those of the settings, and over them
// those that the daemons gave to the log.
func addresses(s *conf.Settings, members []state.Member) []peer.Address {
	hosts := map[poplar.Daemon]string{}
	for name, host := range s.Voters {
		hosts[name] = host
	}
	for _, m := range members {
		if len(m.Addresses) > 0 {
			hosts[m.Name] = m.Addresses[0]
		}
	}
	list := make([]peer.Address, 0, len(hosts))
	for name, host := range hosts {
		list = append(list, peer.NewAddress(name, host))
	}
	return list
}

// peerNet carries the typed calls of the other packages over the pool.
type peerNet struct {
	pool  *peer.Pool
	pairs func(poplar.Domain) state.Pair // set once by the mirror's module
}

var (
	_ follow.Network = (*peerNet)(nil)
	_ holder.Peers   = (*peerNet)(nil)
)

func newPeerNet(pool *peer.Pool) *peerNet {
	return &peerNet{pool: pool, pairs: func(poplar.Domain) state.Pair { return state.Pair{} }}
}

// Follow implements follow.Network.
func (n *peerNet) Follow(ctx context.Context, to poplar.Daemon, ask follow.Ask) (follow.Answer, error) {
	return peer.Call[follow.Ask, follow.Answer](ctx, n.pool, to, peer.OpFollow, ask)
}

// Keep implements follow.Network.
func (n *peerNet) Keep(ctx context.Context, to poplar.Daemon, keep follow.Keep) (follow.Kept, error) {
	return peer.Call[follow.Keep, follow.Kept](ctx, n.pool, to, peer.OpKeep, keep)
}

// Copy implements holder.Peers.
func (n *peerNet) Copy(ctx context.Context, to poplar.Daemon, r ledger.CopyRequest) (ledger.CopyReply, error) {
	return peer.Call[ledger.CopyRequest, ledger.CopyReply](ctx, n.pool, to, peer.OpCopy, r)
}

// Claim implements holder.Peers.
func (n *peerNet) Claim(ctx context.Context, home poplar.Domain, r ledger.ClaimBatch) (ledger.ClaimBatchReply, error) {
	to, err := n.primary(home)
	if err != nil {
		return ledger.ClaimBatchReply{}, err
	}
	return peer.Call[ledger.ClaimBatch, ledger.ClaimBatchReply](ctx, n.pool, to, peer.OpClaim, r)
}

// Forward implements holder.Peers.
func (n *peerNet) Forward(ctx context.Context, domain poplar.Domain, call holder.Call) (poplar.Grant, error) {
	to, err := n.primary(domain)
	if err != nil {
		return poplar.Grant{}, err
	}
	return peer.Call[holder.Call, poplar.Grant](ctx, n.pool, to, peer.OpForward, call)
}

// primary returns the holder of a domain's ledger.
func (n *peerNet) primary(domain poplar.Domain) (poplar.Daemon, error) {
	pair := n.pairs(domain)
	if pair.Epoch == 0 {
		return "", poplar.Failf(poplar.StepPeer, poplar.CodeUnreachable, "no ledger of domain %q is known", domain).Ran(poplar.RunNo)
	}
	return pair.Primary.Name, nil
}

// leaders finds the leader of the log among the voters.
type leaders struct {
	voters []poplar.Daemon
	pool   *peer.Pool
	last   chan poplar.Daemon // invariant: holds the voter that led when last asked, or ""
}

func newLeaders(voters []poplar.Daemon, pool *peer.Pool) *leaders {
	l := &leaders{voters: voters, pool: pool, last: make(chan poplar.Daemon, 1)}
	l.last <- ""
	return l
}

const (
	// leaderPause is the wait before the voters are asked once more.
	leaderPause = 50 * time.Millisecond
	// askTime bounds one call to a voter, which may stand still with its connections
	// open. It covers a commit on a busy machine, and two of them end within the
	// time that an operator's change may take.
	askTime = 2 * time.Second
)

// ask calls op at the voters, the last known leader first, until one of them
// leads. An answer of unknown outcome ends the search, since the command may
// have been appended; the next search begins with another voter, since this one
// may hang.
func ask[Req, Resp any](ctx context.Context, l *leaders, op peer.Op, req Req) (Resp, error) {
	for {
		for _, to := range l.order(l.hint()) {
			resp, err := peer.CallWithin[Req, Resp](ctx, askTime, l.pool, to, op, req)
			if err == nil {
				<-l.last
				l.last <- to
				return resp, nil
			}
			if !elsewhere(err) {
				<-l.last
				l.last <- l.after(to)
				return resp, err
			}
		}
		select {
		case <-ctx.Done():
			var none Resp
			return none, poplar.Failf(poplar.StepPropose, poplar.CodeUnreachable, "no leader of the log was reached").Ran(poplar.RunNo)
		case <-time.After(leaderPause):
		}
	}
}

// hint returns the voter that led when this daemon last asked, or "".
func (l *leaders) hint() poplar.Daemon {
	last := <-l.last
	l.last <- last
	return last
}

// after returns the voter that follows to in the order of the names.
func (l *leaders) after(to poplar.Daemon) poplar.Daemon {
	i := slices.Index(l.voters, to)
	return l.voters[(i+1)%len(l.voters)]
}

// order returns the voters as a ring that begins with first. So a search that
// begins past a voter that hangs comes to it last.
func (l *leaders) order(first poplar.Daemon) []poplar.Daemon {
	i := max(slices.Index(l.voters, first), 0)
	return slices.Concat(l.voters[i:], l.voters[:i])
}

// Report implements quota.Leader.
func (l *leaders) Report(ctx context.Context, report quota.Report) (quota.ReportReply, error) {
	return ask[quota.Report, quota.ReportReply](ctx, l, peer.OpDemand, report)
}

// Propose implements poplar.Proposer for a daemon that is no voter.
func (l *leaders) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return ask[[]byte, []byte](ctx, l, peer.OpPropose, command)
}

var (
	_ quota.Leader    = (*leaders)(nil)
	_ poplar.Proposer = (*leaders)(nil)
)

// elsewhere reports whether err says that the daemon certainly did nothing, so
// that another may be asked.
func elsewhere(err error) bool {
	return poplar.RunOf(err) == poplar.RunNo
}
