package quota

import (
	"context"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// This file defines the messages and interfaces between primaries and the leader.

// Demand is a primary's report on one budget.
type Demand struct {
	Budget poplar.Budget `json:"budget"`
	Serial poplar.Index  `json:"serial"`
	// Used is the sum of settled tokens and open reservations.
	Used poplar.Tokens `json:"used"`
	// Returned is the cumulative number of returned tokens, which is durable.
	Returned poplar.Tokens `json:"back,omitempty"`
	// Rate is the demand in tokens per second.
	Rate float64 `json:"rate,omitempty"`
	// MaxRequest is the largest request in tokens. Shortage is the number of tokens that
	// recent requests lacked.
	MaxRequest poplar.Tokens `json:"most,omitempty"`
	Shortage   poplar.Tokens `json:"short,omitempty"`
	// Final means that a deleted budget has no open reservation.
	Final bool `json:"final,omitempty"`
}

// Report is a periodic report of a domain's primary.
type Report struct {
	Domain  poplar.Domain `json:"domain"`
	Epoch   poplar.Epoch  `json:"epoch"`
	Demands []Demand      `json:"wants,omitempty"`
}

// ReportReply is the leader's answer to a report.
type ReportReply struct {
	// Recalls request returns up to a cumulative counter.
	Recalls []state.Share `json:"recalls,omitempty"`
	// Remainders lists, for each budget that the report lacked tokens of, the tokens
	// left outside the domain: not issued, or unspent in reachable domains.
	Remainders []Remainder `json:"left,omitempty"`
}

// Remainder is the number of tokens left of a budget outside a domain.
type Remainder struct {
	Budget poplar.Budget `json:"budget"`
	Tokens poplar.Tokens `json:"tokens"`
}

// Leader is the receiver of reports, called locally or over the network. Report
// returns an error with CodeStale if the daemon does not lead the log.
type Leader interface {
	Report(ctx context.Context, report Report) (ReportReply, error)
}

// Source is the ledger of the domain at this daemon.
type Source interface {
	// Demands returns the budgets to report. The result is false if this daemon
	// is not the primary.
	Demands() (Report, bool)
	// Return durably returns unspent tokens until the cumulative counter of the
	// budget is share.Tokens or no unspent tokens remain.
	Return(ctx context.Context, share state.Share) error
}
