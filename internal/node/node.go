// Package node runs one process of a fleet whose routers have no disk: a router
// or a control daemon, by its settings.
package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"poplarbend.example/poplar/internal/caller"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/guard"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/memory"
)

// This file holds the life of the process.

// Bounds of the process.
const (
	// memoryPart is the part of the process's memory at which the garbage
	// collector works harder; the rest is for stacks and buffers of the kernel.
	memoryPart = 0.8
	collect    = 150 // growth of the heap between two collections, in percent
	// stopMargin is kept from the grace of a planned stop.
	stopMargin = 300 * time.Millisecond
	// headerTime bounds the time that a peer takes for a request's head, and idleTime its
	// idle connections. Other clients have less, see limits.go.
	headerTime = 20 * time.Second
	idleTime   = 10 * time.Minute
	// reloadPeriod is the time between two looks at the settings file.
	reloadPeriod = 2 * time.Second
)

// process is what both roles share.
type process struct {
	file     string
	settings *conf.Process
	log      *log.Logger
	vars     *trace.Vars
	pool     *peer.Pool
	heads    *memory.Limit // of the heads of all clients, by host
	failed   chan error    // invariant: yields when a part of the process has ended by itself
}

// role is a router or a control daemon.
type role interface {
	// start begins to serve.
	start() error
	// drain makes a planned stop that ends by ctx.
	drain(ctx context.Context)
	// reload takes the settings that are now in the file.
	reload(*conf.Process)
	// failed is closed when the role has ended by itself; err says why.
	failed() <-chan struct{}
	err() error
}

// Run runs the process until SIGTERM, and reloads its settings on SIGHUP or when
// the file changes.
func Run(ctx context.Context, file string, parts Parts, out io.Writer) error {
	settings, err := conf.LoadProcess(file)
	if err != nil {
		return err
	}
	limitRuntime(settings)
	queue := trace.NewQueue(out)
	defer queue.Close()
	logger, err := trace.New(queue, settings.Log, settings.Name)
	if err != nil {
		return err
	}
	p := &process{file: file, settings: settings, log: logger, vars: trace.NewVars(), failed: make(chan error, 1)}
	p.vars.Func("lines_dropped", func() any { return queue.Dropped() })
	meter := new(peer.Meter)
	p.pool = peer.NewPool(settings.Name, "", meter)
	p.heads = memory.NewLimit(headMemory(settings.Memory))
	p.vars.Func("heads", func() any { return p.heads.Used() })
	p.vars.Func("heads_evicted", func() any { return p.heads.Evicted() })
	p.vars.Func("peers", func() any { return meter.Traffic() })
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	defer signal.Stop(signals)

	var r role
	app := fx.New(
		fx.NopLogger,
		fx.Supply(p, parts),
		fx.Provide(newRole),
		fx.Populate(&r),
	)
	if err := app.Err(); err != nil {
		return err
	}
	if err := p.serveMetrics(); err != nil {
		return err
	}
	if err := r.start(); err != nil {
		return err
	}
	logger.Info("start", "role", settings.Role, "domain", string(settings.Domain), "seeds", settings.Seeds, "first", settings.First)
	err = p.wait(ctx, r, signals)
	logger.Info("stop", "error", err)
	return err
}

// limitRuntime fits the runtime to the VM.
func limitRuntime(s *conf.Process) {
	runtime.GOMAXPROCS(s.Cores)
	debug.SetGCPercent(collect)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory) * memoryPart))
	}
}

// wait follows signals until the process ends.
func (p *process) wait(ctx context.Context, r role, signals <-chan os.Signal) error {
	tick := time.NewTicker(reloadPeriod)
	defer tick.Stop()
	stamp := p.stamp()
	for {
		select {
		case <-ctx.Done():
			return p.end(r)
		case <-r.failed():
			return r.err()
		case err := <-p.failed:
			return err
		case s := <-signals:
			if s != syscall.SIGHUP {
				p.log.Info("signal", "signal", s.String())
				return p.end(r)
			}
			p.reload(r)
			stamp = p.stamp()
		case <-tick.C:
			if now := p.stamp(); now != stamp {
				stamp = now
				p.reload(r)
			}
		}
	}
}

// stamp returns what changes when the settings file is written.
func (p *process) stamp() time.Time {
	info, err := os.Stat(p.file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (p *process) reload(r role) {
	next, err := conf.LoadProcess(p.file)
	if err != nil {
		p.log.Error("reload", "error", err)
		return
	}
	p.log.Info("reload", "seeds", next.Seeds)
	r.reload(next)
}

// end makes the planned stop.
func (p *process) end(r role) error {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(p.settings.Grace-stopMargin))
	defer cancel()
	r.drain(ctx)
	return nil
}

// serve runs an HTTP server at address, whose listener has the given limits.
func (p *process) serve(address string, handler http.Handler, limits guard.Settings) (*http.Server, error) {
	return p.serveConns(address, handler, limits, connHooks{})
}

// connHooks are functions that follow the connections of a listener. Each may be nil.
type connHooks struct {
	state func(net.Conn, http.ConnState)           // hears of changes of connections
	wrap  func(listener net.Listener) net.Listener // wraps the listener
}

// serveConns is serve with hooks.
func (p *process) serveConns(address string, handler http.Handler, limits guard.Settings, hooks connHooks) (*http.Server, error) {
	listener, err := listening.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{
		Handler: handler, ErrorLog: quietLog(), ConnContext: caller.ConnContext, ConnState: hooks.state,
	}
	guard.Apply(s)
	limits.Heads = p.heads
	listener = newDrainingListener(listener)
	if hooks.wrap != nil {
		listener = hooks.wrap(listener)
	}
	go p.run(s, guard.NewListener(listener, limits))
	return s, nil
}

// listening sets no times of keep-alive probes on accepted connections, which would be
// three calls to the kernel for each. idleTime ends those that are not used.
var listening = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: -1, Interval: -1, Count: -1}}

func (p *process) run(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		p.failed <- fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
}

func (p *process) serveMetrics() error {
	if p.settings.Metrics == "" {
		return nil
	}
	_, err := p.serve(p.settings.Metrics, p.vars, sideLimits())
	return err
}
