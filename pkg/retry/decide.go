package retry

import (
	"time"

	"poplarbend.example/poplar"
)

// A failed attempt is resumed, retried or reported to the caller.

// Failure describes how an attempt failed.
type Failure uint8

// The failures.
const (
	// FailedNotRun means that the upstream did not run the request: the
	// connection was refused, or the upstream answered that it did not run the
	// request.
	FailedNotRun Failure = iota
	// FailedMaybeRun means that the upstream may have run the request, and
	// nothing was delivered to the caller.
	FailedMaybeRun
	// FailedMidStream means that the stream broke after a part of the response
	// was delivered to the caller.
	FailedMidStream
	// FailedRejected means that the upstream rejected the request itself, so a
	// retry would fail again.
	FailedRejected
)

// Action is what to do after a failed attempt.
type Action uint8

// The actions.
const (
	// Stop means to return the error to the caller.
	Stop Action = iota
	// Retry means to make a new attempt, at another upstream if there is one.
	Retry
	// Resume means to resume the stream at the same upstream.
	Resume
)

// Reason explains a decision.
type Reason string

// The reasons.
const (
	ReasonNotRun        Reason = "unrun"    // the upstream did not run it, so any request may be retried
	ReasonIdempotent    Reason = "repeat"   // the request is idempotent and nothing was delivered
	ReasonResume        Reason = "resume"   // the upstream may still have the stream
	ReasonNotIdempotent Reason = "once"     // it may have run and must not run twice
	ReasonPartial       Reason = "splice"   // a new generation would not continue the delivered part of the response
	ReasonRejected      Reason = "fault"    // the upstream rejected the request itself
	ReasonAttempts      Reason = "attempts" // the attempts are used up
	ReasonBudget        Reason = "budget"   // the workspace and rank have no retries left
	ReasonDeadline      Reason = "late"     // the next attempt would start after the deadline
)

// Attempt describes a failed attempt.
type Attempt struct {
	failure      Failure
	number       poplar.Attempt // invariant: >= 1
	idempotent   bool
	resumable    bool // the upstream is running and can resume streams
	resumeFailed bool // a resume was tried and failed
	deadline     time.Time
}

// NewAttempt describes the failure of an attempt. The number counts the
// attempts of the request from 1. No attempt may start after deadline; the zero
// time means that there is no deadline.
func NewAttempt(failure Failure, number poplar.Attempt, idempotent bool, deadline time.Time) Attempt {
	return Attempt{failure: failure, number: max(number, 1), idempotent: idempotent, deadline: deadline}
}

// WithResume returns a copy of the attempt with an upstream that is running and
// can resume the stream. resumeFailed is true if an earlier resume failed.
func (a Attempt) WithResume(resumeFailed bool) Attempt {
	a.resumable, a.resumeFailed = true, resumeFailed
	return a
}

// Decision is an action with its time and reason.
type Decision struct {
	action     Action
	reason     Reason
	at         time.Time
	usesBudget bool // the action takes one retry from the budget
}

// Action returns what to do.
func (d Decision) Action() Action { return d.action }

// Reason returns why the action was chosen.
func (d Decision) Reason() Reason { return d.reason }

// At returns the time at which to act.
func (d Decision) At() time.Time { return d.at }

// UsesBudget reports whether the action takes one retry from the budget.
func (d Decision) UsesBudget() bool { return d.usesBudget }

// Decide returns the action after a failed attempt, given the number of retries
// that remain in the budget. The random number rnd spreads the delays uniformly
// between 0 and their bound (full jitter). A resume needs no new prefill and
// takes nothing from the budget.
func Decide(a Attempt, remaining float64, s Settings, now time.Time, rnd uint64) Decision {
	if reason, final := notRetryable(a); final {
		return Decision{reason: reason, at: now}
	}
	if a.failure != FailedNotRun && a.resumable && !a.resumeFailed {
		return Decision{action: Resume, reason: ReasonResume, at: now}
	}
	at := now.Add(backoff(a.number, s, rnd))
	switch {
	case a.failure == FailedMidStream:
		return Decision{reason: ReasonPartial, at: now}
	case int(a.number) >= s.MaxAttempts:
		return Decision{reason: ReasonAttempts, at: now}
	case remaining < 1:
		return Decision{reason: ReasonBudget, at: now}
	case !a.deadline.IsZero() && at.After(a.deadline):
		return Decision{reason: ReasonDeadline, at: now}
	case a.failure == FailedNotRun:
		return Decision{action: Retry, reason: ReasonNotRun, at: at, usesBudget: true}
	default:
		return Decision{action: Retry, reason: ReasonIdempotent, at: at, usesBudget: true}
	}
}

// notRetryable reports whether the request must not be resumed or retried at
// all, and why.
func notRetryable(a Attempt) (Reason, bool) {
	switch {
	case a.failure == FailedRejected:
		return ReasonRejected, true
	case a.failure == FailedNotRun:
		return "", false
	case !a.idempotent && !a.resumable:
		return ReasonNotIdempotent, true
	case !a.idempotent && a.resumeFailed:
		return ReasonNotIdempotent, true
	default:
		return "", false
	}
}

// backoff returns a random delay below a bound that doubles with each attempt.
func backoff(number poplar.Attempt, s Settings, rnd uint64) time.Duration {
	bound := min(s.BaseDelay<<min(number-1, 16), s.MaxDelay)
	return time.Duration(float64(rnd>>11) / (1 << 53) * float64(bound))
}
