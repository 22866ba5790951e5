package daemon

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"poplarbend.example/poplar/internal/conf"
)

// This file holds a daemon's life as a process.

// Garbage collection of a daemon. The heap is small, so that collecting it twice
// as often as the runtime would costs little and keeps the process within its
// bound on memory.
const (
	collectEnv     = "GOGC"
	collectPercent = 50 // growth of the heap between two collections
)

// Run runs a daemon until ctx is done, SIGTERM or SIGINT arrives, or an
// operator drains it; then it makes a planned stop. A second signal ends the
// open requests: what was generated is billed, and the callers are told.
func Run(ctx context.Context, settings *conf.Settings, out io.Writer) error {
	if os.Getenv(collectEnv) == "" {
		debug.SetGCPercent(collectPercent)
	}
	d, err := New(settings, out)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	if err := d.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-signals:
	case <-d.Drained():
	case <-d.ledger.failed():
		// The other holder takes over before the open requests are settled.
		d.ledger.handOver(ctx)
		return errors.Join(errDisk, d.stop(settings, signals))
	case <-d.voting.failed():
		return errors.Join(errDisk, d.stop(settings, signals))
	}
	return d.stop(settings, signals)
}

// errDisk says why a daemon has ended by itself. The journals name the file.
var errDisk = errors.New("the data folder has failed; see the log for the file, and docs/ops/disk.md")

// stop makes the planned stop and watches for the second signal.
func (d *Daemon) stop(settings *conf.Settings, signals <-chan os.Signal) error {
	limit, cancel := context.WithDeadline(context.Background(), time.Now().Add(settings.Drain+stopMargin))
	defer cancel()
	w := &watch{daemon: d, signals: signals, done: limit.Done()}
	go w.run()
	return d.Stop(limit)
}

// watch hurries a stop at the next signal.
type watch struct {
	daemon  *Daemon
	signals <-chan os.Signal
	done    <-chan struct{}
}

func (w *watch) run() {
	select {
	case <-w.done:
	case <-w.signals:
		w.daemon.Hurry()
	}
}
