// Package reply decides what becomes of an upstream's answer: whether it is delivered,
// whether the request is sent again, and what the caller is told about its run.
//
// Some statuses promise the caller that its request has not run and never will, see
// Promises. A caller that believes them sends the request again, so a router uses them for
// a request that may run only once if it knows that this is true, and for no other.
package reply

import "net/http"

// Promises reports whether a status tells the caller that its request has not run and
// never will.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Failure returns the status of a router's own answer to a request without an answer.
// notRun is true if no upstream has run the request or will, and late if its time is over.
func Failure(notRun, late bool) int {
	switch {
	case notRun:
		return http.StatusServiceUnavailable
	case late:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// Answers reports whether an answer with the given id, or without one, is that to the
// request with the id requestID. On a connection that has carried another request, an
// answer without an id may be a late second answer to that one.
func Answers(id, requestID string, reused bool) bool {
	return id == requestID || id == "" && !reused
}

// Answer is the head of an upstream's answer.
type Answer struct {
	Status int
	// Unrun is true if the upstream states that it did not run the request.
	Unrun bool
	// Sealed is true if the upstream vouches for the answer.
	Sealed bool
	// Encoded is true if the body has a content encoding, which no caller asks for.
	Encoded bool
}

// NotRun reports whether the answer states that the upstream did not run the request and
// never will. A status alone does not, except for that of an upstream which is not the one
// that was meant: an upstream may run a request, fail, and say that it is unavailable.
func (a Answer) NotRun() bool { return a.Unrun || a.Status == http.StatusMisdirectedRequest }

// success reports whether the status is one of success.
func (a Answer) success() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
}

// Request is what a router knows of the request that is answered.
type Request struct {
	// Repeatable is true if the request may run more than once.
	Repeatable bool
	// Streams is true if a success is a stream of events.
	Streams bool
	// MayRepeat is true if another attempt is allowed.
	MayRepeat bool
	// Begun is true if a part of an earlier answer was delivered.
	Begun bool
}

// Verdict is what becomes of an answer.
type Verdict uint8

// The verdicts.
const (
	// Broken means that the answer is of no use. The request may have run.
	Broken Verdict = iota
	// Refused means that the request was not run. It may be sent to another upstream,
	// whatever its kind.
	Refused
	// Streamed means that events are delivered as they arrive.
	Streamed
	// Delivered means that the answer is delivered unchanged once it is whole.
	Delivered
	// Repeated means that the request is sent again. The answer is delivered if no later
	// one is better.
	Repeated
	// Withheld means that the answer's status would promise what is not known. The caller
	// gets a failure of the router in its place, which promises nothing and has no seal.
	Withheld
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"broken", "refused", "streamed", "delivered", "repeated", "withheld"}[v]
}

// Decide returns what becomes of an answer by its head.
func Decide(a Answer, r Request) Verdict {
	switch {
	case a.NotRun():
		return Refused
	case a.success() && (!a.Sealed || a.Encoded):
		return Broken
	case a.success() && r.Streams:
		return Streamed
	case r.Begun:
		return Broken // the upstream did not go on with the stream
	case !r.Repeatable && Promises(a.Status):
		return Withheld
	case a.Status >= http.StatusInternalServerError && r.Repeatable && r.MayRepeat:
		return Repeated
	}
	return Delivered
}

// NeedsBody reports whether the verdict holds only if the whole body is read. Without it the
// answer is broken.
func (v Verdict) NeedsBody() bool { return v == Delivered || v == Repeated }
