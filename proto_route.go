package poplar

import (
	"net/http"
	"time"
)

// This file holds what a router needs of the protocol that callers and
// upstreams speak.

// Part is a piece of a prompt that other requests may share.
type Part struct {
	Name   string
	Tokens Tokens
}

// Envelope is what a caller's request says of itself.
type Envelope struct {
	// ID names the attempt of the caller. It is new for each attempt.
	ID string
	// Wait is how long the caller waits, 0 if it does not say.
	Wait time.Duration
	// Secret is the key that the caller presents.
	Secret string
	Model  Model
	// Prompt and Output are the tokens read and, at most, generated.
	Prompt, Output Tokens
	// Guess is the caller's guess of the tokens generated, 0 if there is none.
	Guess Tokens
	// Parts are the pieces of the prompt in their order.
	Parts []Part
	// After is the id of the last event that the caller has, when it resumes.
	After string
}

// Cost returns the most tokens that the request may use.
func (e *Envelope) Cost() Tokens { return e.Prompt + e.Output }

// Dispatch is what a router tells an upstream beside the caller's request.
type Dispatch struct {
	// Upstream must be the one that answers; another one must refuse.
	Upstream  Upstream
	Workspace Workspace
	// Deadline is when the answer is of no more use.
	Deadline time.Time
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// Urgent is true when Urgency is to be sent.
	Urgent bool
	// After is the id of the last event that the caller has, when the request
	// is resumed.
	After string
}

// Head is what the head of an upstream's answer says beside its body.
type Head struct {
	// ID is the attempt that is answered.
	ID string
	// Sealed is true for an answer that the upstream vouches for.
	Sealed bool
	// NotRun is true when the upstream says that it did not run the request.
	NotRun bool
	// WrongUpstream is true when another upstream has the address.
	WrongUpstream bool
	// HasLoad is true when the load is told: requests running and waiting.
	HasLoad          bool
	Running, Waiting int
	Slots            int
	// BadLoad is true when a load is told that makes no sense.
	BadLoad bool
	// Slowness is the momentary time of work over the usual one, 0 when it is not told.
	// BadSpeed is true when it is told and makes no sense.
	Slowness float64
	BadSpeed bool
	// Leaving is true when the upstream says that it leaves.
	Leaving bool
	// Pause is the time for which an upstream that refused the request wants nothing, 0
	// if it does not say.
	Pause time.Duration
	// HasLimit is true when the upstream limits the requests of the whole fleet, to Limit
	// a second.
	HasLimit bool
	Limit    float64
}

// Dialect reads and writes the headers of callers' requests and upstreams'
// answers. Implementations keep no state.
type Dialect interface {
	// Open reads a caller's request, without its body.
	Open(r *http.Request) (Envelope, error)
	// Dispatch turns the headers of a caller's request into those that the
	// upstream gets.
	Dispatch(h http.Header, d Dispatch, now time.Time)
	// Head reads the head of an upstream's answer.
	Head(resp *http.Response) Head
}
