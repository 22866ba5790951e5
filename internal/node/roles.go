package node

import (
	"context"
	"io"
	stdlog "log"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/proxy"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/wallet"
)

// This file holds the two roles.

// Parts are what the platform underneath brings.
type Parts struct {
	Dialect poplar.Dialect
	Read    func(document []byte) (*plan.Plan, error)
	// Control returns the handler of the calls of operators and upstreams.
	Control func(c *core.Core, logger *log.Logger) http.Handler
}

// quietBeats is the number of announcements that an upstream may miss before it
// counts as silent.
const quietBeats = 3

// lameTime is how long a router that stops still takes new connections, so that
// callers' balancers have noticed that it is not ready.
const lameTime = 2500 * time.Millisecond

const (
	// closeTime is how long idle connections are closed as they become idle,
	// before requests alone are waited for.
	closeTime = 500 * time.Millisecond
	// settleTime is how long requests that were cut may take to settle.
	settleTime = 100 * time.Millisecond
)

// leaveTime is kept from a router's planned stop to give its tokens back.
const leaveTime = 500 * time.Millisecond

const (
	// callerPart is the part of a router's memory that connections of callers may take
	// before it closes those that it has answered, and callerMemory an estimate of what
	// one takes, in bytes. Near its limit the runtime collects garbage all the time.
	callerPart   = 0.25
	callerMemory = 24 << 10
	// answerPart is the part of a router's memory that answers of upstreams may take. The
	// runtime may take as much again before it collects what is left of them.
	answerPart = 0.125
	// bodyPart is the same for bodies of callers' requests.
	bodyPart = 0.125
)

// quietLog drops what net/http says of connections that callers broke.
func quietLog() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

func newRole(p *process, parts Parts) (role, error) {
	if p.settings.Role == conf.RoleRouter {
		return newRouter(p, parts), nil
	}
	return newControl(p, parts)
}

// peerAddress returns the peer address of the control daemon whose control
// address is given. All control daemons have the same port for peers.
func peerAddress(control, peers string) string {
	host, err := netip.ParseAddrPort(control)
	port, err2 := netip.ParseAddrPort(peers)
	if err != nil || err2 != nil {
		return ""
	}
	return netip.AddrPortFrom(host.Addr(), port.Port()).String()
}

func seedAddresses(s *conf.Process) []string {
	list := make([]string, len(s.Seeds))
	for i, seed := range s.Seeds {
		list[i] = peerAddress(seed, s.Peers)
	}
	return list
}

// router is a process that takes callers.
type router struct {
	*process
	proxy   *proxy.Proxy
	callers *http.Server
}

func newRouter(p *process, parts Parts) *router {
	s := p.settings
	return &router{process: p, proxy: proxy.New(proxy.Settings{
		Domain: s.Domain, Address: s.Peers,
		Holder: wallet.Holder{Name: s.Name, Incarnation: uint64(time.Now().UnixMilli())},
		Seeds:  seedAddresses(s),
		RetryBudget: proxy.RetryBudget{
			Ratio: s.RepeatRatio, Slack: s.RepeatSlack, Window: s.RepeatSpan,
		},
		EventLag: s.Lag, Share: s.Share, Link: s.Link, MaxCallers: int(callerPart * float64(s.Memory) / callerMemory), AnswerMemory: int64(answerPart * float64(s.Memory)),
		BodyMemory: int64(bodyPart * float64(s.Memory)),
		ParsePlan:  parts.Read, Dialect: parts.Dialect, Log: p.log, Vars: p.vars,
	}, p.pool)}
}

func (r *router) start() error {
	var err error
	if r.callers, err = r.serveConns(r.settings.Callers, r.proxy, r.callerLimits(), connHooks{state: r.proxy.NoteConn, wrap: r.proxy.CountConns}); err != nil {
		return err
	}
	peers := peer.NewServer(r.settings.Name, "", r.proxy.Methods())
	if _, err := r.serveConns(r.settings.Peers, peers, peerLimits(), connHooks{wrap: r.proxy.CountConns}); err != nil {
		return err
	}
	if _, err := r.serve(r.settings.Ready, http.HandlerFunc(r.proxy.ServeReady), sideLimits()); err != nil {
		return err
	}
	r.proxy.Start()
	return nil
}

func (r *router) drain(ctx context.Context) {
	r.proxy.Drain()
	select {
	case <-ctx.Done():
	case <-time.After(lameTime):
	}
	r.finish(ctx)
	r.proxy.Shutdown(ctx)
}

// finish serves what is open, and cuts only what is still open shortly before
// the process must end, at the deadline of ctx, so that its tokens are settled.
func (r *router) finish(ctx context.Context) {
	end, _ := ctx.Deadline()
	serve, cancel := context.WithDeadline(ctx, end.Add(-leaveTime))
	defer cancel()
	closing, done := context.WithTimeout(serve, closeTime)
	defer done()
	if err := r.callers.Shutdown(closing); err != nil {
		r.log.Info("requests are open", "error", err)
	}
	// The listener still accepts what waits in the kernel.
	select {
	case <-serve.Done():
	case <-time.After(2 * drainTime):
	}
	r.proxy.WaitIdle(serve)
	if err := r.callers.Close(); err != nil {
		r.log.Info("listener closed", "error", err)
	}
	settle, stop := context.WithTimeout(ctx, settleTime)
	defer stop()
	r.proxy.WaitIdle(settle)
}

func (r *router) reload(next *conf.Process) { r.proxy.AddSeeds(seedAddresses(next)) }

func (r *router) failed() <-chan struct{} { return nil }

func (r *router) err() error { return nil }

// control is a process that holds the log.
type control struct {
	*process
	core    *core.Core
	handler http.Handler
}

func newControl(p *process, parts Parts) (*control, error) {
	s := p.settings
	folder, err := disk.OpenFolder(s.Data)
	if err != nil {
		return nil, err
	}
	c, err := core.Start(core.Settings{
		Address: s.Peers, Seeds: seedAddresses(s), First: s.First, Files: folder, Losses: s.Losses,
		Quiet: quietBeats * s.Beat, Clock: poplar.System{}, Log: p.log,
	}, p.pool)
	if err != nil {
		return nil, err
	}
	p.vars.Func("control", func() any { return c.Stats() })
	return &control{process: p, core: c, handler: parts.Control(c, p.log)}, nil
}

func (c *control) start() error {
	if _, err := c.serve(c.settings.Peers, peer.NewServer(c.settings.Name, "", c.core.Methods()), peerLimits()); err != nil {
		return err
	}
	_, err := c.serve(c.settings.Control, c.handler, c.controlLimits())
	return err
}

func (c *control) drain(ctx context.Context) {
	if err := c.core.Stop(ctx); err != nil {
		c.log.Error("the log has failed", "error", err)
	}
}

func (c *control) reload(next *conf.Process) { c.core.Seeds(seedAddresses(next)) }

func (c *control) failed() <-chan struct{} { return c.core.Failed() }

func (c *control) err() error { return c.core.Err() }
