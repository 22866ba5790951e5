package poplar

import (
	"errors"
	"fmt"
	"time"
)

// This file holds the run states and the typed error of the request path.

// RunState tells a caller whether its request ran at an upstream.
type RunState uint8

// The run states. The zero value is the cautious one.
const (
	// RunUnknown means that the request may have run.
	RunUnknown RunState = iota
	// RunNo means that no attempt was handed to any upstream.
	RunNo
	// RunYes means that an upstream ran the request.
	RunYes
)

// String returns "no", "yes" or "unknown".
func (s RunState) String() string {
	switch s {
	case RunNo:
		return "no"
	case RunYes:
		return "yes"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *RunState) UnmarshalText(text []byte) error {
	switch string(text) {
	case "no":
		*s = RunNo
	case "yes":
		*s = RunYes
	case "unknown":
		*s = RunUnknown
	default:
		return fmt.Errorf("run state %q is none of no, yes, unknown", text)
	}
	return nil
}

// Step names the step of the request path at which an error arose.
type Step string

// The steps of the request path, in their order, and the steps of the shared
// state.
const (
	StepParse   Step = "parse"
	StepAuth    Step = "auth"
	StepClass   Step = "classify"
	StepAdmit   Step = "admit"
	StepPick    Step = "pick"
	StepReserve Step = "reserve"
	StepStream  Step = "stream"
	StepSettle  Step = "settle"
	StepClaim   Step = "claim"
	StepCopy    Step = "copy"
	StepPropose Step = "propose"
	StepDisk    Step = "disk"
	StepPeer    Step = "peer"
	StepDrain   Step = "drain"
)

// Code classifies an error for programs. Codes are part of the wire format
// towards callers and are never reused for another meaning.
type Code string

// The codes.
const (
	CodeInvalid         Code = "invalid"   // the request itself is malformed
	CodeAuth            Code = "auth"      // unknown or missing credentials
	CodeDenied          Code = "denied"    // known caller, not allowed
	CodeMissing         Code = "missing"   // unknown model, service, budget or route
	CodeKey             Code = "key"       // a non-idempotent call came without a key
	CodeConflict        Code = "clash"     // the same key or number with another body
	CodeBudget          Code = "budget"    // the budget cannot cover the request
	CodeBusy            Code = "busy"      // predicted wait is past the deadline
	CodeOpen            Code = "open"      // an earlier attempt is still running
	CodeExpired         Code = "expired"   // the key is older than the record window
	CodePoison          Code = "poison"    // the request crashed upstreams before
	CodeNone            Code = "none"      // no eligible upstream
	CodeUpstream        Code = "upstream"  // the upstream failed
	CodeTimeout         Code = "timeout"   // a deadline passed
	CodeUnreachable     Code = "cut"       // a needed peer or majority is unreachable
	CodeStale           Code = "stale"     // an old epoch, term, fence or revision
	CodeUnknown         Code = "unknown"   // the outcome of an earlier attempt is unknown
	CodeDrain           Code = "drain"     // the daemon is shutting down
	CodeCorrupt         Code = "corrupt"   // durable state fails its checksum
	CodeDisk            Code = "disk"      // a write or a sync failed
	CodeLarge           Code = "large"     // a bound on size or count is exceeded
	CodeInternal        Code = "internal"  // a defect of the fleet itself
	CodeBudgetExhausted Code = "spent"     // the budget ran out in mid-stream
	CodeCancelled       Code = "cancelled" // the caller left
)

// Error is the error of every step that a caller or an operator may see. It
// carries the step and the peer at which it arose.
type Error struct {
	step  Step
	peer  string
	code  Code
	run   RunState
	retry time.Time // invariant: zero, or a time after which a retry may succeed
	cause error
}

// Fail returns an error of the given code that arose at step. The run state is
// RunUnknown until Ran sets it.
func Fail(step Step, code Code, cause error) *Error {
	return &Error{step: step, code: code, cause: cause}
}

// Failf is Fail with a formatted cause.
func Failf(step Step, code Code, format string, args ...any) *Error {
	return Fail(step, code, fmt.Errorf(format, args...))
}

// At sets the peer at which the error arose and returns e.
func (e *Error) At(peer string) *Error {
	e.peer = peer
	return e
}

// Ran sets the run state and returns e.
func (e *Error) Ran(run RunState) *Error {
	e.run = run
	return e
}

// After sets the time after which a retry may succeed and returns e.
func (e *Error) After(retry time.Time) *Error {
	e.retry = retry
	return e
}

// Step returns the step at which the error arose.
func (e *Error) Step() Step { return e.step }

// Peer returns the daemon or upstream at which the error arose, or "".
func (e *Error) Peer() string { return e.peer }

// Code returns the class of the error.
func (e *Error) Code() Code { return e.code }

// Run returns whether the request ran.
func (e *Error) Run() RunState { return e.run }

// Retry returns the time after which a retry may succeed, or the zero time.
func (e *Error) Retry() time.Time { return e.retry }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error implements error as "step at peer: code: cause".
func (e *Error) Error() string {
	where := string(e.step)
	if e.peer != "" {
		where += " at " + e.peer
	}
	if e.cause == nil {
		return where + ": " + string(e.code)
	}
	return where + ": " + string(e.code) + ": " + e.cause.Error()
}

// CodeOf returns the code of the first Error in err's chain, or CodeInternal.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.code
	}
	return CodeInternal
}
