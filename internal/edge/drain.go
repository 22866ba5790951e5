package edge

import (
	"context"
	"fmt"
	"time"
)

// This file holds the planned stop.

// drainPollPeriod is the time between two looks at what is still open.
const drainPollPeriod = 10 * time.Millisecond

// Drain makes the daemon not ready, gives the balancer the time to notice,
// refuses new work, and returns once every open request has ended and every
// settlement is durable. When ctx is done first, Drain returns an error and the
// requests go on. Hurry cuts the time for the balancer short.
func (e *Edge) Drain(ctx context.Context) error {
	until := e.conf.Clock.Now().Add(e.conf.Bounds.Notice)
	e.closeAt.CompareAndSwap(0, until.UnixNano())
	tick := time.NewTicker(drainPollPeriod)
	defer tick.Stop()
	for !e.closed() || e.open.Load() > 0 || e.backlog.len() > 0 {
		if e.open.Load() == 0 {
			e.settleBacklog(ctx)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain: %d requests are open, %d settlements are late: %w",
				e.open.Load(), e.backlog.len(), ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// draining reports whether the daemon is not ready.
func (e *Edge) draining() bool { return e.closeAt.Load() != 0 }

// closed reports whether the daemon takes no new work.
func (e *Edge) closed() bool {
	at := e.closeAt.Load()
	return at != 0 && (e.aborted.Err() != nil || e.conf.Clock.Now().UnixNano() >= at)
}

// Hurry ends every open request now: what was generated is billed and the
// caller is told that the answer is not whole. Drain returns soon afterwards.
func (e *Edge) Hurry() { e.abort(errAborted) }

// Close ends idle connections to upstreams. It is called after Drain.
func (e *Edge) Close() {
	e.abort(errAborted)
	e.pooled.CloseIdleConnections()
	e.singleUse.CloseIdleConnections()
}

// Open returns the number of open requests.
func (e *Edge) Open() int64 { return e.open.Load() }
