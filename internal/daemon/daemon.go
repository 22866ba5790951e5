package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/edge"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/peer"
)

// This file holds the daemon as its starter sees it.

// stopMargin is what a planned stop may take beyond the drain of requests.
const stopMargin = 30 * time.Second

// startTimeout bounds the start of all modules.
const startTimeout = 30 * time.Second

// Daemon is one process of the fleet.
type Daemon struct {
	app    *fx.App
	edge   *edge.Edge
	mirror *follow.Mirror
	voting *voterRole
	ledger *ledgerRole
	drain  chan struct{}
}

// New assembles a daemon. Its log goes to out as JSON lines.
func New(settings *conf.Settings, out io.Writer) (*Daemon, error) {
	return NewOver(peer.Everyone{}, settings, out)
}

// NewOver is New for a daemon whose messages to other daemons go through reach.
func NewOver(reach peer.Reach, settings *conf.Settings, out io.Writer) (*Daemon, error) {
	d := &Daemon{drain: make(chan struct{}, 1)}
	d.app = fx.New(
		fx.Supply(settings),
		fx.Supply(fx.Annotate(out, fx.As(new(io.Writer)))),
		fx.Supply(drainer(d.drain)),
		fx.Supply(fx.Annotate(reach, fx.As(new(peer.Reach)))),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.Drain+stopMargin),
		baseModule, peerModule, logModule, ledgerModule, memberModule, routeModule, orderModule, operModule,
		fx.Invoke(publish, serve),
		fx.Populate(&d.edge, &d.mirror, &d.voting, &d.ledger),
	)
	if err := d.app.Err(); err != nil {
		// What was being built around the cause says nothing to an operator.
		return nil, fmt.Errorf("assemble the daemon: %w", dig.RootCause(err))
	}
	return d, nil
}

// Start starts all modules. A daemon that failed to start has stopped.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.app.Start(ctx); err != nil {
		return fmt.Errorf("start the daemon: %w", err)
	}
	return nil
}

// Stop ends the daemon without cutting a request: it becomes not ready,
// finishes its open requests, hands its roles over and stops. Only when ctx is
// done are the remaining requests ended.
func (d *Daemon) Stop(ctx context.Context) error {
	if err := d.app.Stop(ctx); err != nil {
		return fmt.Errorf("stop the daemon: %w", err)
	}
	return nil
}

// Hurry makes a running Stop end the open requests now.
func (d *Daemon) Hurry() { d.edge.Abort() }

// Drained yields a value when an operator asked the daemon to stop.
func (d *Daemon) Drained() <-chan struct{} { return d.drain }

// Ready reports whether the daemon serves callers.
func (d *Daemon) Ready() bool {
	view := d.mirror.View()
	return view.Sure() && view.Revision() > 0
}

// drainer asks the daemon's starter to stop it.
type drainer chan<- struct{}

func (d drainer) ask() {
	select {
	case d <- struct{}{}:
	default:
	}
}

// errSettings is returned for settings that no daemon can run with.
var errSettings = errors.New("the settings do not fit together")
