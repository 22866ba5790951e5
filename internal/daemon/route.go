package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/edge"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/gossip"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/member"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/route"
)

// This file holds the path of a request at a router.

var routeModule = fx.Module("route",
	fx.Provide(newRules, newRoster, newDesk, newPoisonSpreader, newEdge),
)

// rules is the compiled configuration in force.
type rules struct {
	force  atomic.Pointer[edition]
	mirror *follow.Mirror
	log    *log.Logger
}

// edition is one compiled revision. It is immutable.
type edition struct {
	policy   *conf.Policy // invariant: nil at revision 0
	revision poplar.Revision
}

func newRules(lc fx.Lifecycle, m *follow.Mirror, logger *log.Logger) *rules {
	r := &rules{mirror: m, log: logger}
	r.force.Store(&edition{})
	lc.Append(running(r.loop))
	return r
}

// Policy returns the policy in force, or nil before there is one.
func (r *rules) Policy() *conf.Policy { return r.force.Load().policy }

func (r *rules) loop(ctx context.Context) {
	for {
		news := r.mirror.News()
		r.update()
		select {
		case <-ctx.Done():
			return
		case <-news:
		}
	}
}

// update compiles a new revision. A daemon that is not sure of its revision
// serves nobody. A revision that does not compile was checked by the daemon
// that proposed it, so this is a defect; the older one stays.
func (r *rules) update() {
	view := r.mirror.View()
	if !view.Sure() || view.Revision() <= r.force.Load().revision {
		return
	}
	policy, err := conf.Merge(bytes(view.Files()))
	if err != nil {
		r.log.Error("the revision does not compile", "revision", view.Revision(), "err", err)
		return
	}
	r.force.Store(&edition{policy: policy, revision: view.Revision()})
	r.log.Info("a revision is in force", "revision", view.Revision())
}

// bytes returns files as the compiler takes them.
func bytes(files map[string]string) map[string][]byte {
	out := make(map[string][]byte, len(files))
	for name, content := range files {
		out[name] = []byte(content)
	}
	return out
}

// running returns the hook that runs loops from start to stop.
func running(all ...func(context.Context)) fx.Hook {
	r := &loops.Runner{}
	return fx.Hook{
		OnStart: func(context.Context) error {
			r.Start(all...)
			return nil
		},
		OnStop: func(context.Context) error {
			r.Stop()
			return nil
		},
	}
}

func newRoster(lc fx.Lifecycle, s *conf.Settings) *intake.Roster {
	roster := intake.NewRoster(s.Domain, route.DefaultSettings())
	lc.Append(running(roster.RunFlush))
	return roster
}

func newDesk(
	lc fx.Lifecycle, s *conf.Settings, r *rules, roster *intake.Roster, g *gossip.Gossip, clock poplar.Clock,
	logger *log.Logger,
) (*intake.Desk, error) {
	gate, err := s.Secrets.Upstreams.Gate()
	if err != nil {
		return nil, fmt.Errorf("read the upstreams' credential: %w", err)
	}
	desk := intake.NewDesk(intake.Config{Clock: clock, Watcher: deskWatcher{Roster: roster, gossip: g}, Spreader: g, Gate: gate, Policy: r.Policy, Log: logger})
	lc.Append(running(desk.RunSweep))
	return desk, nil
}

func newEdge(
	lc fx.Lifecycle, s *conf.Settings, r *rules, ledger poplar.Ledger, roster *intake.Roster, g *gossip.Gossip,
	w *poisonSpreader, vars *trace.Vars, clock poplar.Clock, tracer *trace.Tracer, logger *log.Logger,
) *edge.Edge {
	e := edge.New(edge.Config{
		Daemon: s.Name, Domain: s.Domain, Policy: warm(r, g, clock), Ledger: ledger, Roster: roster, Clock: clock,
		Routers: func() int { return routers(g, s.Domain) }, PublishCrashRecords: w.spread, Vars: vars,
		Tracer: tracer.Provider().Tracer("poplarbend"), Log: logger, Limits: s.Limits,
	})
	lc.Append(running(e.Run))
	return e
}

// warmTime is how long a daemon that has a policy waits for the first upstream
// before it serves callers all the same.
const warmTime = 3 * time.Second

// warm returns the policy in force once the daemon has heard of upstreams, so
// that one which has just started does not refuse what others could serve.
func warm(r *rules, g *gossip.Gossip, clock poplar.Clock) func() *conf.Policy {
	var done atomic.Bool
	until := clock.Now().Add(warmTime)
	return func() *conf.Policy {
		policy := r.Policy()
		if policy == nil || done.Load() {
			return policy
		}
		if len(g.View().Upstreams) == 0 && clock.Now().Before(until) {
			return nil
		}
		done.Store(true)
		return policy
	}
}

// routers returns the live daemons of a domain, at least one.
func routers(g *gossip.Gossip, domain poplar.Domain) int {
	n := 0
	for _, d := range g.View().Daemons {
		if d.Domain == domain && d.State == member.Alive {
			n++
		}
	}
	return max(n, 1)
}

// poisonSpreader tells the other daemons of requests that crash upstreams. Such records
// are rare, so each goes to every daemon.
type poisonSpreader struct {
	box    *peer.Outbox[poison.Record]
	mirror *follow.Mirror
	self   poplar.Daemon
}

func newPoisonSpreader(lc fx.Lifecycle, s *conf.Settings, pool *peer.Pool, m *follow.Mirror) *poisonSpreader {
	w := &poisonSpreader{box: peer.NewOutbox[poison.Record](pool, peer.OpPoison), mirror: m, self: s.Name}
	lc.Append(fx.StopHook(w.box.Close))
	return w
}

func (w *poisonSpreader) spread(records []poison.Record) {
	for _, m := range w.mirror.View().Members() {
		if m.Name == w.self {
			continue
		}
		for _, r := range records {
			w.box.Send(m.Name, r)
		}
	}
}
