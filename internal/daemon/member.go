package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/gossip"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/member"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds how a daemon makes itself known.

var memberModule = fx.Module("member",
	fx.Provide(newEntry, newSpreadWatcher, newGossip),
)

// Times of a daemon's entry.
const (
	joinTime  = 2 * time.Second
	joinPause = 500 * time.Millisecond
)

// entry tells the log the daemon's address and incarnation, until the mirror
// shows that the log knows them.
type entry struct {
	member state.Member
	access access
	mirror *follow.Mirror
	log    *log.Logger
}

func newEntry(
	lc fx.Lifecycle, s *conf.Settings, self state.Holder, a access, m *follow.Mirror, logger *log.Logger,
) *entry {
	e := &entry{
		member: state.Member{Name: s.Name, Domain: s.Domain, Life: self.Life, Addresses: []string{s.Listen.Peers}},
		access: a, mirror: m, log: logger,
	}
	lc.Append(running(e.loop))
	return e
}

func (e *entry) loop(ctx context.Context) {
	for !e.known() {
		call, cancel := context.WithTimeout(ctx, joinTime)
		command := state.Encode(state.Command{Member: &e.member})
		if _, err := e.access.Propose(call, command); err != nil && ctx.Err() == nil {
			e.log.Debug("the log does not know this daemon yet", "step", poplar.StepPropose, "err", err)
		}
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinPause):
		}
	}
}

// known reports whether the log knows the daemon as it is.
func (e *entry) known() bool {
	for _, m := range e.mirror.View().Members() {
		if m.Name == e.member.Name {
			return m.Life == e.member.Life && len(m.Addresses) == 1 && m.Addresses[0] == e.member.Addresses[0]
		}
	}
	return false
}

// spreadWatcher tells the roster and the ledger what the other daemons spread.
type spreadWatcher struct {
	*intake.Roster
	ledger *ledgerRole
	gone   chan poplar.Daemon // routers that are gone; a full channel drops, since retries report again
	log    *log.Logger
}

var _ gossip.Watcher = (*spreadWatcher)(nil)

// goneQueue bounds the routers that wait to be reported to the ledger.
const goneQueue = 256

func newSpreadWatcher(lc fx.Lifecycle, r *intake.Roster, c *ledgerRole, logger *log.Logger) *spreadWatcher {
	h := &spreadWatcher{Roster: r, ledger: c, gone: make(chan poplar.Daemon, goneQueue), log: logger}
	lc.Append(running(h.loop))
	return h
}

// StateChanged implements gossip.Watcher.
func (h *spreadWatcher) StateChanged(d member.Daemon) {
	h.log.Info("a daemon has turned", "peer", d.Name, "state", d.State.String())
	if d.State != member.Dead && d.State != member.Left || h.ledger.holder == nil {
		return
	}
	select {
	case h.gone <- d.Name:
	default:
	}
}

// loop reports routers that are gone to the ledger, when it is held here.
func (h *spreadWatcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-h.gone:
			call, cancel := context.WithTimeout(ctx, callTime)
			if err := h.ledger.holder.RouterRemoved(call, name); err != nil {
				h.log.Debug("the ledger does not take a lost router", "peer", name, "err", err)
			}
			cancel()
		}
	}
}

func newGossip(
	lc fx.Lifecycle, s *conf.Settings, h *spreadWatcher, m *follow.Mirror, reach peer.Reach, clock poplar.Clock, logger *log.Logger,
) (*gossip.Gossip, error) {
	token, err := s.Secrets.Peers.Token()
	if err != nil {
		return nil, fmt.Errorf("read the peers' credential: %w", err)
	}
	seed, err := draw()
	if err != nil {
		return nil, err
	}
	g := gossip.New(gossip.Config{
		Member: member.Config{
			Name: s.Name, Domain: s.Domain, Address: s.Listen.Peers, Incarnation: starts(clock), Seeds: s.Peers, Seed: seed,
		},
		Secret: token, Watcher: h, Drops: reach.Drops, Clock: clock, Log: logger,
	})
	teach := func(ctx context.Context) {
		for ctx.Err() == nil {
			news := m.News()
			v := m.View()
			g.SetVersions(v.Revision(), v.Own().Epoch)
			select {
			case <-ctx.Done():
			case <-news:
			}
		}
	}
	loops := running(teach)
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if err := g.Start(); err != nil {
				return err
			}
			return loops.OnStart(ctx)
		},
		OnStop: func(ctx context.Context) error {
			g.Leave()
			err := loops.OnStop(ctx)
			g.Stop()
			return err
		},
	})
	return g, nil
}

// firstStart is the time from which starts are numbered.
var firstStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// starts returns the number of this start of the daemon: the seconds since
// firstStart, which grow from one start to the next and are short on the wire.
// After a jump back of the clock the membership takes the next number when it
// hears of itself.
func starts(clock poplar.Clock) uint64 {
	return uint64(max(1, int64(clock.Now().Sub(firstStart).Seconds())))
}

// deskWatcher passes on what upstreams say to this daemon itself.
type deskWatcher struct {
	*intake.Roster
	gossip *gossip.Gossip
}

var _ intake.Watcher = deskWatcher{}

// UpstreamGone implements intake.Watcher. An upstream that went silent here may have
// turned to another daemon, which then vouches for it.
func (w deskWatcher) UpstreamGone(name poplar.Upstream) {
	if !w.gossip.Confirmed(name) {
		w.Roster.UpstreamGone(name)
	}
}
