package poplar

import (
	"context"
	"time"
)

// This file holds the reservation protocol between a router and the ledger of
// its failure domain. The structs are wire messages.

// ReserveRequest is a router's call before it hands a request to an upstream.
type ReserveRequest struct {
	Workspace Workspace `json:"space"`
	Budget    Budget    `json:"budget"`
	Caller    Caller    `json:"caller"`
	Key       Key       `json:"key"`
	// Keyed is true when the caller chose the key. Only such a key can arrive
	// again elsewhere, so only such a key needs a claim at its home domain.
	Keyed bool `json:"keyed,omitempty"`
	// Digest identifies the body. The same key with another digest is refused.
	Digest uint64 `json:"digest"`
	Rank   Rank   `json:"rank"`
	// MaxTokens is the most tokens that the request can cost, at least 1.
	MaxTokens Tokens `json:"most"`
	// Idempotent is true when the request is idempotent.
	Idempotent bool `json:"repeat,omitempty"`
	// Router is the daemon that will run the request.
	Router Daemon `json:"router"`
	// Upstream is the back end that the router has picked.
	Upstream Upstream `json:"up"`
	// CallID names this call of the router, or is 0. A call that is sent again
	// after a lost answer has the same one; a caller's retry never has.
	CallID uint64 `json:"call,omitempty"`
}

// Verdict tells a router what to do with a request that it asked to reserve.
type Verdict string

// The verdicts.
const (
	// VerdictRun means that the reservation is durable and the request may be
	// handed to the upstream under the granted attempt.
	VerdictRun Verdict = "run"
	// VerdictReplay means that the request is settled; Grant.Response holds the
	// kept answer, or is empty when it was not kept.
	VerdictReplay Verdict = "replay"
	// VerdictResume means that an attempt was left open by a router that is
	// gone; its stream may be resumed at Grant.Upstream under the granted
	// attempt. Only idempotent requests get this verdict.
	VerdictResume Verdict = "resume"
	// VerdictWait means that a live router, Grant.Router, runs the request now.
	VerdictWait Verdict = "wait"
)

// Grant is the ledger's answer to a ReserveRequest.
type Grant struct {
	Verdict  Verdict  `json:"verdict"`
	Attempt  Attempt  `json:"try"`
	Epoch    Epoch    `json:"epoch"`
	Reserved Tokens   `json:"kept"`
	Upstream Upstream `json:"up,omitempty"`
	Router   Daemon   `json:"router,omitempty"`
	Response []byte   `json:"answer,omitempty"`
	// Billed is the settled cost when the verdict is VerdictReplay.
	Billed Tokens `json:"billed,omitempty"`
}

// Extend asks for more tokens for an open attempt.
type Extend struct {
	Workspace Workspace `json:"space"`
	Key       Key       `json:"key"`
	Attempt   Attempt   `json:"try"`
	More      Tokens    `json:"more"`
	// Upstream, when set, records that the attempt moved to another back end
	// before anything was handed to the recorded one.
	Upstream Upstream `json:"up,omitempty"`
}

// Outcome tells how an attempt ended.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means that the whole answer was produced.
	OutcomeDone Outcome = "done"
	// OutcomeIncomplete means that the answer ended early; what was generated is
	// billed.
	OutcomeIncomplete Outcome = "cut"
	// OutcomeNotRun means that nothing was handed to any upstream. Nothing is
	// billed and the key may be used again.
	OutcomeNotRun Outcome = "unrun"
	// OutcomeUnknown means that the upstream may have run the request. The
	// whole reservation stays counted as spent until a later settlement.
	OutcomeUnknown Outcome = "unknown"
)

// Settlement is a router's call after an attempt.
type Settlement struct {
	Workspace Workspace `json:"space"`
	Key       Key       `json:"key"`
	Attempt   Attempt   `json:"try"`
	Outcome   Outcome   `json:"outcome"`
	// Spent is the cost, at most what was reserved.
	Spent Tokens `json:"spent"`
	// Response is kept for replay when the request is keyed. It is bounded.
	Response []byte `json:"answer,omitempty"`
}

// Bill is the settled charge of one request.
type Bill struct {
	Workspace Workspace `json:"space"`
	Budget    Budget    `json:"budget"`
	Key       Key       `json:"key"`
	Domain    Domain    `json:"domain"`
	Attempt   Attempt   `json:"try"`
	Tokens    Tokens    `json:"tokens"`
	Outcome   Outcome   `json:"outcome"`
	At        time.Time `json:"at"`
}

// Ledger is what a router needs of the ledger of its failure domain. Errors
// are *Error values. Every method may be called again with the same arguments
// after a lost answer and has the effect of one call.
type Ledger interface {
	// Reserve makes a reservation durable before the request is dispatched.
	Reserve(ctx context.Context, ask ReserveRequest) (Grant, error)
	// Extend raises the reservation of an open attempt.
	Extend(ctx context.Context, extend Extend) error
	// Settle replaces the reservation of an attempt by its cost.
	Settle(ctx context.Context, settle Settlement) error
}
