package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	stdnet "net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/edge"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/guard"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/internal/oper"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/memory"
	"poplarbend.example/poplar/pkg/poison"
)

// This file holds the listeners.

const (
	// headMemory is what the heads of all clients may take, in bytes, and headBytes the size of
	// a head where the settings name none.
	headMemory = 32 << 20
	headBytes  = 64 << 10
	// idleTime bounds idle connections where the settings name no time. Daemons keep theirs.
	idleTime = 10 * time.Minute
	// connPart is the part of the process's descriptors that the connections of callers may
	// take, and those of upstreams as well. The rest is for peers, engines and files.
	connPart = 0.375
)

// limitsOf returns the limits of a listener, those of its server where that has any.
func limitsOf(s *http.Server) guard.Settings {
	limits := guard.Limits{
		HeadBytes: cmp.Or(s.MaxHeaderBytes, headBytes), HeadTime: s.ReadHeaderTimeout, IdleTime: cmp.Or(s.IdleTimeout, idleTime),
	}
	return guard.Settings{Limits: func() guard.Limits { return limits }}
}

// headerTimeout bounds the time that any peer may take for its headers.
const headerTimeout = 5 * time.Second

// parts are what the listeners serve.
type parts struct {
	fx.In

	Settings   *conf.Settings
	VoterRole  *voterRole
	LedgerRole *ledgerRole
	Mirror     *follow.Mirror
	Entry      *entry
	Desk       *intake.Desk
	Edge       *edge.Edge
	Orders     *orders
	Fleet      *fleet
	Vars       *trace.Vars
	Log        *log.Logger
}

// serve opens the listeners: peers first, callers last. Stopping goes the other
// way, and begins with the drain of the callers.
func serve(lc fx.Lifecycle, p parts) error {
	s := p.Settings
	token, err := s.Secrets.Peers.Token()
	if err != nil {
		return fmt.Errorf("read the peers' credential: %w", err)
	}
	gate, err := s.Secrets.Operators.Gate()
	if err != nil {
		return fmt.Errorf("read the operators' credential: %w", err)
	}
	peers := peer.NewServer(s.Name, token, p.methods())
	operators := oper.New(p.Fleet, gate, p.Vars, p.Log)
	callers := p.Edge.Server()
	heads := memory.NewLimit(headMemory)
	for _, l := range []*listener{
		{name: "peers", address: s.Listen.Peers, server: &http.Server{Handler: peers, ReadHeaderTimeout: headerTimeout}},
		{name: "upstreams", address: s.Listen.Upstreams, server: &http.Server{Handler: p.Desk, ReadHeaderTimeout: headerTimeout}},
		{name: "operators", address: s.Listen.Operators, server: &http.Server{Handler: operators, ReadHeaderTimeout: headerTimeout}},
		{name: "callers", address: s.Listen.Callers, server: callers},
	} {
		if l.address == "" {
			continue
		}
		l.log = p.Log
		l.limits = limitsOf(l.server)
		l.limits.Heads = heads
		if l.name == "callers" || l.name == "upstreams" {
			l.limits.MaxConns = guard.MaxConns(connPart)
		}
		lc.Append(fx.Hook{OnStart: l.open, OnStop: l.close})
	}
	lc.Append(fx.StopHook(p.handOver))
	lc.Append(fx.StopHook(p.drain))
	lc.Append(p.Orders.hook())
	return nil
}

// handOver gives this daemon's roles to others, while its peers still reach it:
// its part of the ledger pair, and the lead of the log.
func (p *parts) handOver(ctx context.Context) {
	p.LedgerRole.handOver(ctx)
	p.VoterRole.handOver(ctx)
}

// drain ends the callers' requests: not ready first, and none is cut unless
// ctx is done.
func (p *parts) drain(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, p.Settings.Drain)
	defer cancel()
	err := p.Edge.Drain(call)
	if err != nil {
		p.Log.Warn("open requests are ended", "step", poplar.StepDrain, "err", err)
		p.Edge.Abort()
		err = p.Edge.Drain(ctx)
	}
	p.Edge.Close()
	return err
}

// methods returns what the daemon serves to its peers.
func (p *parts) methods() peer.Methods {
	var m peer.Methods
	p.VoterRole.serve(&m)
	p.LedgerRole.serve(&m)
	p.Orders.serve(&m)
	m[peer.OpFollow] = peer.Handle(p.follow)
	m[peer.OpKeep] = peer.Handle(func(_ context.Context, _ poplar.Daemon, k follow.Keep) (follow.Kept, error) {
		return p.Mirror.TakePush(k)
	})
	m[peer.OpPoison] = peer.Handle(func(_ context.Context, _ poplar.Daemon, records []poison.Record) (struct{}, error) {
		p.Edge.LearnPoison(records)
		return struct{}{}, nil
	})
	m[peer.OpInspect] = peer.Handle(p.Fleet.inspect)
	return m
}

// followHold bounds how long an answer waits for news.
const followHold = 2 * time.Second

// follow answers a follower: from the log at a voter that is asked for shares
// or by another domain, else from what is in force here.
func (p *parts) follow(ctx context.Context, _ poplar.Daemon, a follow.Ask) (follow.Answer, error) {
	call, cancel := context.WithTimeout(ctx, followHold)
	defer cancel()
	if p.VoterRole.replica != nil && (a.Shares || a.Domain != p.Settings.Domain) {
		return p.VoterRole.replica.Answer(call, a), nil
	}
	if a.Shares {
		err := poplar.Failf(poplar.StepPeer, poplar.CodeMissing, "this daemon holds no log").At(string(p.Settings.Name))
		return follow.Answer{}, err.Ran(poplar.RunNo)
	}
	return p.Mirror.Answer(call, a), nil
}

// listener is one open port.
type listener struct {
	name    string
	address string
	server  *http.Server
	limits  guard.Settings
	log     *log.Logger
	done    sync.WaitGroup
}

func (l *listener) open(ctx context.Context) error {
	var config stdnet.ListenConfig
	port, err := config.Listen(ctx, "tcp", l.address)
	if err != nil {
		return fmt.Errorf("listen for %s: %w", l.name, err)
	}
	guard.Apply(l.server)
	l.done.Add(1)
	go l.run(guard.NewListener(port, l.limits))
	l.log.Info("listening", "for", l.name, "address", port.Addr().String())
	return nil
}

func (l *listener) run(port stdnet.Listener) {
	defer l.done.Done()
	if err := l.server.Serve(port); !errors.Is(err, http.ErrServerClosed) {
		l.log.Error("a listener has failed", "for", l.name, "err", err)
	}
}

// closeTime bounds the wait for calls that are under way.
const closeTime = 3 * time.Second

func (l *listener) close(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	if err := l.server.Shutdown(call); err != nil {
		l.server.Close()
	}
	l.done.Wait()
	return nil
}
