package oper

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/order"
)

// This file holds what the operators' interface needs of a daemon, and the
// messages on the wire.

// Fleet is a daemon as operators see it. Errors are *poplar.Error values whose
// run state tells whether the change or top-up took effect.
type Fleet interface {
	// Change proposes a revision. A number that is not the next one is answered
	// as the first time when number and body are those of a revision that holds,
	// and fails with code clash otherwise, naming the operator who won it.
	Change(ctx context.Context, change Change) (Applied, error)
	// Topup grants tokens. An id that was used before is answered as the first
	// time when budget and tokens are equal, and fails with code clash otherwise.
	Topup(ctx context.Context, topup Topup) (Topped, error)
	// Files returns the revision in force at this daemon with its files.
	Files(ctx context.Context) (Files, error)
	// Status returns what this daemon knows of the fleet.
	Status(ctx context.Context, query StatusQuery) (Status, error)
	// Why returns what is known of one request.
	Why(ctx context.Context, request poplar.Request) (Why, error)
	// Bills returns settled bills in a stable order.
	Bills(ctx context.Context, query BillQuery) (Bills, error)
	// Drain begins the planned stop of this daemon and returns at once.
	Drain(ctx context.Context) error
	// Force starts an empty ledger for a domain that has lost its own.
	Force(ctx context.Context, force Force) (Forced, error)
	// Release lets a request with the given fingerprint run again after it was
	// refused for crashing upstreams.
	Release(ctx context.Context, fingerprint string) error
}

// Change is a proposed revision.
type Change struct {
	// Number is the revision in force plus one.
	Number poplar.Revision `json:"number"`
	// By names the operator, for those who lose a race against the change.
	By string `json:"by"`
	// Files holds the new content of each changed file; null removes the file.
	Files map[string]*string `json:"files"`
}

// Applied is the answer to a change that holds.
type Applied struct {
	Number poplar.Revision `json:"number"`
	By     string          `json:"by"`
	// Again is true when an earlier call had the effect.
	Again bool `json:"again,omitempty"`
}

// Topup grants tokens to a budget, on top of its declared grant, or takes some
// back when Tokens is negative.
type Topup struct {
	ID     string        `json:"id"`
	By     string        `json:"by"`
	Budget poplar.Budget `json:"budget"`
	// Tokens is not 0.
	Tokens poplar.Tokens `json:"tokens"`
	// At is when the id was made; ids are remembered for a bounded time.
	At time.Time `json:"at"`
}

// Topped is the answer to a top-up that holds.
type Topped struct {
	ID     string        `json:"id"`
	Budget poplar.Budget `json:"budget"`
	// Granted is all that the budget was ever granted, after the top-up.
	Granted poplar.Tokens `json:"granted"`
	// Pending is the part of a lowered grant that the domains still hold.
	Pending poplar.Tokens `json:"pending,omitempty"`
	// Again is true when an earlier call had the effect.
	Again bool `json:"again,omitempty"`
}

// Files is the folder in force.
type Files struct {
	Revision poplar.Revision   `json:"revision"`
	By       string            `json:"by,omitempty"`
	Files    map[string]string `json:"files"`
}

// StatusQuery narrows a status.
type StatusQuery struct {
	// Budget, when set, asks for the shares of one budget.
	Budget poplar.Budget
}

// Status is what one daemon knows of the fleet.
type Status struct {
	Daemon   poplar.Daemon `json:"daemon"`
	Domain   poplar.Domain `json:"domain"`
	Ready    bool          `json:"ready"`
	Draining bool          `json:"draining,omitempty"`
	// Revision is in force at this daemon.
	Revision poplar.Revision `json:"revision"`
	// Leader is the leader of the log, or "" while none is known.
	Leader    poplar.Daemon    `json:"leader,omitempty"`
	Term      poplar.Term      `json:"term,omitempty"`
	Voters    []VoterStatus    `json:"voters,omitempty"`
	Domains   []DomainStatus   `json:"domains,omitempty"`
	Upstreams []UpstreamStatus `json:"upstreams,omitempty"`
	Issuers   []IssuerStatus   `json:"issuers,omitempty"`
	Suspects  []Suspect        `json:"suspects,omitempty"`
}

// VoterStatus is one voter of the log.
type VoterStatus struct {
	Name    poplar.Daemon `json:"name"`
	Durable poplar.Index  `json:"durable"`
	// Contact is when the voter was last heard, or null for never.
	Contact *time.Time `json:"contact"`
}

// DomainStatus is one failure domain and its ledger.
type DomainStatus struct {
	Domain  poplar.Domain `json:"domain"`
	Primary poplar.Daemon `json:"primary,omitempty"`
	Backup  poplar.Daemon `json:"backup,omitempty"`
	Epoch   poplar.Epoch  `json:"epoch"`
	// Ready is true when the backup holds all that was acknowledged, so that
	// either member may be lost.
	Ready bool `json:"ready,omitempty"`
	// Revision is in force in the domain, as far as this daemon knows.
	Revision poplar.Revision `json:"revision"`
	// Open counts the reservations that are not settled.
	Open int `json:"open"`
	// Share sums the shares of all budgets, or of the one that was asked for.
	Share Share `json:"share"`
	// Contact is when the domain was last heard, or null for never.
	Contact *time.Time `json:"contact"`
}

// Share is a domain's part of budgets: issued = returned + settled + reserved +
// free.
type Share struct {
	Issued   poplar.Tokens `json:"issued"`
	Returned poplar.Tokens `json:"returned"`
	Settled  poplar.Tokens `json:"settled"`
	Reserved poplar.Tokens `json:"reserved"`
	Free     poplar.Tokens `json:"free"`
}

// UpstreamStatus is one upstream.
type UpstreamStatus struct {
	Name    poplar.Upstream `json:"name"`
	Domain  poplar.Domain   `json:"domain"`
	Flight  int             `json:"flight"`
	Leaving bool            `json:"leaving,omitempty"`
	Contact *time.Time      `json:"contact"`
}

// IssuerStatus is the daemon that gives the orders to the engines of a domain.
type IssuerStatus struct {
	Domain poplar.Domain `json:"domain"`
	Daemon poplar.Daemon `json:"daemon"`
	Fence  poplar.Fence  `json:"fence"`
	// Orders are those that no engine has shown carried out.
	Orders []order.Order `json:"orders,omitempty"`
	// Contact is when the issuer was asked for them, or null when it could not
	// be reached.
	Contact *time.Time `json:"contact"`
}

// Suspect is a request that was in flight when upstreams crashed.
type Suspect struct {
	Print   string `json:"print"`
	Crashes int    `json:"crashes"`
	Refused bool   `json:"refused"`
}

// Why is what is known of one request.
type Why struct {
	Workspace poplar.Workspace `json:"space"`
	Key       poplar.Key       `json:"key"`
	Run       poplar.RunState  `json:"run"`
	Bill      *poplar.Bill     `json:"bill,omitempty"`
	Events    []WhyEvent       `json:"events,omitempty"`
}

// WhyEvent is one step that the request took.
type WhyEvent struct {
	At   time.Time     `json:"at"`
	Step poplar.Step   `json:"step"`
	Peer poplar.Daemon `json:"peer,omitempty"`
	Code poplar.Code   `json:"code,omitempty"`
	Text string        `json:"text,omitempty"`
}

// BillQuery narrows bills. Empty fields narrow nothing.
type BillQuery struct {
	Workspace poplar.Workspace
	Budget    poplar.Budget
	// After is the Next of the page before.
	After string
	// Limit is from 1 to MostBills.
	Limit int
}

// Bills is a page of bills.
type Bills struct {
	Bills []poplar.Bill `json:"bills"`
	// Next asks for the page after, or is "" at the end.
	Next string `json:"next,omitempty"`
}

// Release names a request that may run again.
type Release struct {
	Print string `json:"print"`
}

// nothing is the answer of a call that only succeeds.
type nothing struct{}
