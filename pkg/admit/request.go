package admit

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/fair"
)

// Request describes a request to be admitted.
type Request struct {
	flow     fair.Flow
	rank     poplar.Rank
	cost     float64   // invariant: >= 1
	prefill  float64   // predicted seconds from the start to the first token
	deadline time.Time // set by the caller, for the first token; zero for none
	fallback time.Time // replaces a deadline that cannot be met; zero for none
}

// NewRequest returns a request with the given estimated cost, in tokens, that is
// charged to flow. A cost below 1 counts as 1.
func NewRequest(flow fair.Flow, rank poplar.Rank, cost poplar.Tokens) Request {
	return Request{flow: flow, rank: rank, cost: max(float64(cost), 1)}
}

// WithPrefill returns a copy of r with the predicted time from its start to its first
// token.
func (r Request) WithPrefill(d time.Duration) Request {
	r.prefill = max(d.Seconds(), 0)
	return r
}

// WithDeadline returns a copy of r with the caller's deadline for the first token. It
// applies if it is earlier than the deadline of the rank.
func (r Request) WithDeadline(at time.Time) Request {
	r.deadline = at
	return r
}

// WithFallback returns a copy of r with the deadline that applies if the first token would
// miss the deadline of WithDeadline even if the request started at once.
func (r Request) WithFallback(at time.Time) Request {
	r.fallback = at
	return r
}

// Reason is the reason why a request was started, queued or refused.
type Reason string

// Reasons of decisions.
const (
	// ReasonRoom: started at once because there was room.
	ReasonRoom Reason = "room"
	// ReasonFloor: started because its rank was below its floor.
	ReasonFloor Reason = "floor"
	// ReasonTurn: started after waiting for its turn in the fair order.
	ReasonTurn Reason = "turn"
	// ReasonQueue: waits, and is predicted to start in time.
	ReasonQueue Reason = "queue"
	// ReasonPredictedLate: refused because the first token is predicted after the
	// deadline.
	ReasonPredictedLate Reason = "wait"
	// ReasonExpired: refused because its latest start time passed while it waited.
	ReasonExpired Reason = "late"
	// ReasonDeadlineTooShort: refused because the first token would miss the
	// deadline even if it started at once.
	ReasonDeadlineTooShort Reason = "short"
	// ReasonCancelled: cancelled by its caller while it waited.
	ReasonCancelled Reason = "gone"
)

// Action is the kind of a decision.
type Action uint8

// Kinds of decisions.
const (
	Refuse Action = iota
	Queue
	Start
)

// Decision is the decision about one request.
type Decision struct {
	action Action
	reason Reason
	wait   float64   // predicted seconds until the start
	retry  time.Time // set for a refused request
	waiter *Waiter   // set for a started or queued request
}

// Action returns whether the request starts, waits or is refused.
func (d Decision) Action() Action { return d.action }

// Reason returns the reason of the decision.
func (d Decision) Reason() Reason { return d.reason }

// Wait returns the predicted time until the start.
func (d Decision) Wait() time.Duration { return seconds(d.wait) }

// Retry returns the time from which a retry of a refused request may start in time.
func (d Decision) Retry() time.Time { return d.retry }

// Waiter returns the handle of a started or queued request, or nil if it was refused.
func (d Decision) Waiter() *Waiter { return d.waiter }

// Waiter is the handle of a waiting or running request.
type Waiter struct {
	request  Request
	entry    *fair.Entry[*Waiter]
	state    waiterState
	reason   Reason
	entered  time.Time
	startBy  time.Time // invariant: not started later than this
	started  time.Time
	charged  bool          // true once the flow was charged for the estimated cost
	hasFirst bool          // true once the first token was received
	ready    chan struct{} // set by Gate; closed when the request is started or expires
}

type waiterState uint8

const (
	waiting waiterState = iota
	running
	ended
)

// Request returns the request.
func (w *Waiter) Request() Request { return w.request }

// Reason returns the reason of the latest decision about the request.
func (w *Waiter) Reason() Reason { return w.reason }

// StartBy returns the latest time at which the request can start.
func (w *Waiter) StartBy() time.Time { return w.startBy }

// Running reports whether the request was started and has not ended.
func (w *Waiter) Running() bool { return w.state == running }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
