package admit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/rank"
)

// Gate admits the requests of one daemon to one pool of upstreams. It is safe for
// concurrent use.
type Gate struct {
	clock poplar.Clock
	mu    sync.Mutex
	core  *Core // invariant: guarded by mu
}

// NewGate returns a gate that lets limit requests run concurrently until SetLimit
// changes the limit.
func NewGate(clock poplar.Clock, settings rank.Settings, limit float64) *Gate {
	return &Gate{clock: clock, core: NewCore(settings, limit)}
}

// Ticket is the permission to run one request. The holder must call Release to
// release it. Further calls of Release do nothing.
type Ticket struct {
	gate    *Gate
	waiter  Waiter
	entered time.Time // when the request arrived at the gate
}

// Admit blocks until the request may start. It returns a *poplar.Error with RunNo
// when the first token is predicted after the deadline or the deadline passes
// (CodeBusy, with a retry time), or when ctx ends (CodeCancelled). After an error
// the request occupies no place in the queue.
func (g *Gate) Admit(ctx context.Context, r Request) (*Ticket, error) {
	t := &Ticket{}
	if err := g.AdmitTo(ctx, r, t); err != nil {
		return nil, err
	}
	return t, nil
}

// AdmitTo is Admit with a ticket that the caller allocated. The ticket must not be
// copied.
func (g *Gate) AdmitTo(ctx context.Context, r Request, t *Ticket) error {
	g.mu.Lock()
	now := g.clock.Now()
	t.gate, t.entered = g, now
	d := g.core.admit(&t.waiter, r, now, rand.Uint64())
	if d.action == Queue {
		t.waiter.ready = make(chan struct{})
	}
	g.release()
	switch d.action {
	case Start:
		return nil
	case Queue:
		return g.wait(ctx, &t.waiter, now)
	default:
		return refusal(d.reason, d.wait, d.retry)
	}
}

// Set replaces the settings of the ranks.
func (g *Gate) Set(settings rank.Settings) {
	g.mu.Lock()
	g.core.Set(settings, g.clock.Now())
	g.release()
}

// SetLimit sets the number of requests that may run concurrently, as computed by
// Share or Limit.
func (g *Gate) SetLimit(limit float64) {
	g.mu.Lock()
	g.core.SetLimit(limit, g.clock.Now())
	g.release()
}

// Status returns the current status.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Status(g.clock.Now())
}

// wait blocks until w is started or expires, or ctx ends.
func (g *Gate) wait(ctx context.Context, w *Waiter, now time.Time) error {
	timer := time.NewTimer(w.startBy.Sub(now))
	defer timer.Stop()
	reason := ReasonTurn
	select {
	case <-w.ready:
	case <-timer.C:
		reason = ReasonExpired
	case <-ctx.Done():
		reason = ReasonCancelled
	}
	g.mu.Lock()
	now = g.clock.Now()
	if reason != ReasonTurn {
		g.core.Cancel(w, reason, now)
	}
	if w.state == running && reason == ReasonCancelled {
		g.core.Release(w, 0, now)
	}
	state, predicted := w.state, g.core.predict(w.request)
	g.release()
	if state == running {
		return nil
	}
	if reason == ReasonCancelled {
		return poplar.Fail(poplar.StepAdmit, poplar.CodeCancelled, ctx.Err()).Ran(poplar.RunNo)
	}
	return refusal(ReasonExpired, predicted, retryAt(w, predicted, now, rand.Uint64()))
}

// release wakes the waiters that were started or expired, and unlocks the gate.
func (g *Gate) release() {
	for _, w := range g.core.Take() {
		close(w.ready)
	}
	g.mu.Unlock()
}

// FirstToken records that the request received its first token.
func (t *Ticket) FirstToken() {
	t.gate.mu.Lock()
	t.gate.core.FirstToken(&t.waiter, t.gate.clock.Now())
	t.gate.mu.Unlock()
}

// Release releases the ticket. cost is the actual cost of the request in tokens, or
// 0 if it did not run.
func (t *Ticket) Release(cost poplar.Tokens) {
	t.gate.mu.Lock()
	t.gate.core.Release(&t.waiter, cost, t.gate.clock.Now())
	t.gate.release()
}

// Reason returns why the request was started.
func (t *Ticket) Reason() Reason { return t.waiter.reason }

// Entered returns when the request arrived at the gate.
func (t *Ticket) Entered() time.Time { return t.entered }

// refusal returns the error for a request that was not run.
func refusal(reason Reason, wait float64, retry time.Time) error {
	return poplar.Fail(poplar.StepAdmit, poplar.CodeBusy, &Refusal{reason: reason, wait: seconds(wait)}).Ran(poplar.RunNo).After(retry)
}

// Refusal is the cause of the error for a request that was refused.
type Refusal struct {
	reason Reason
	wait   time.Duration
}

// Reason returns why the request was refused.
func (r *Refusal) Reason() Reason { return r.reason }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: predicted wait %s", r.reason, r.wait.Round(time.Millisecond))
}
