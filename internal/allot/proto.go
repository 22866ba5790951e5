package allot

import (
	"context"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// This file defines the messages and interfaces between primaries and the leader.

// Want is a primary's report on one budget.
type Want struct {
	Budget poplar.Budget `json:"budget"`
	Serial poplar.Index  `json:"serial"`
	// Used is the sum of settled tokens and open reservations.
	Used poplar.Tokens `json:"used"`
	// Returned is the cumulative number of returned tokens, which is durable.
	Returned poplar.Tokens `json:"back,omitempty"`
	// Rate is the demand in tokens per second.
	Rate float64 `json:"rate,omitempty"`
	// Most is the largest request in tokens. Short is the number of tokens that
	// recent requests lacked.
	Most  poplar.Tokens `json:"most,omitempty"`
	Short poplar.Tokens `json:"short,omitempty"`
	// Final means that a deleted budget has no open reservation.
	Final bool `json:"final,omitempty"`
}

// Report is a periodic report of a domain's primary.
type Report struct {
	Domain poplar.Domain `json:"domain"`
	Epoch  poplar.Epoch  `json:"epoch"`
	Wants  []Want        `json:"wants,omitempty"`
}

// Orders is the leader's answer to a report.
type Orders struct {
	// Recalls request returns up to a cumulative counter.
	Recalls []state.Share `json:"recalls,omitempty"`
	// Left lists, for each budget with a shortage in the report, the tokens that are
	// left outside the domain: not issued, or unspent in reachable domains.
	Left []Left `json:"left,omitempty"`
}

// Left is the number of tokens left of a budget outside a domain.
type Left struct {
	Budget poplar.Budget `json:"budget"`
	Tokens poplar.Tokens `json:"tokens"`
}

// Leader is the receiver of reports, called locally or over the network. Report
// returns an error with CodeStale if the daemon does not lead the log.
type Leader interface {
	Report(ctx context.Context, report Report) (Orders, error)
}

// Source is the ledger of the domain at this daemon.
type Source interface {
	// Wants returns the budgets to report. The result is false if this daemon
	// is not the primary.
	Wants() (Report, bool)
	// GiveBack durably returns unspent tokens until the cumulative counter of the
	// budget is share.Tokens or no unspent tokens remain.
	GiveBack(ctx context.Context, share state.Share) error
}
