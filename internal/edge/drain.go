package edge

import (
	"context"
	"fmt"
	"time"
)

// A drain stops the daemon without breaking open requests.

// drainPollPeriod is the time between two checks for open requests.
const drainPollPeriod = 10 * time.Millisecond

// Drain shuts the daemon down gracefully. It reports the daemon as not ready,
// keeps serving for Bounds.Notice so that the load balancer notices, then
// refuses new work, and returns once every open request has ended and every
// settlement is durable. If ctx is done first, Drain returns an error and the
// requests continue. Abort skips the wait for the load balancer.
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
			return fmt.Errorf("drain: %d requests are open, %d settlements are pending: %w",
				e.open.Load(), e.backlog.len(), ctx.Err())
		case <-tick.C:
		}
	}
	return nil
}

// draining reports whether the daemon is draining, and so not ready.
func (e *Edge) draining() bool { return e.closeAt.Load() != 0 }

// closed reports whether the daemon refuses new work.
func (e *Edge) closed() bool {
	at := e.closeAt.Load()
	return at != 0 && (e.aborted.Err() != nil || e.conf.Clock.Now().UnixNano() >= at)
}

// Abort ends every open request now. What was generated is billed, and the
// caller gets an error that says that the response is incomplete. Drain returns
// soon afterwards.
func (e *Edge) Abort() { e.abort(errAborted) }

// Close aborts requests that are still open and closes idle connections to
// upstreams. Call it after Drain.
func (e *Edge) Close() {
	e.abort(errAborted)
	e.pooled.CloseIdleConnections()
	e.singleUse.CloseIdleConnections()
}

// Open returns the number of open requests.
func (e *Edge) Open() int64 { return e.open.Load() }
