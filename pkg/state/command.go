package state

import (
	"time"

	"poplarbend.example/poplar"
)

// This file defines the commands and the reply of the state machine. They are
// encoded in the log and on the wire.

// Limits of commands.
const (
	// MaxFile is the largest configuration file in bytes.
	MaxFile = 256 << 10
	// MaxName is the longest name in bytes.
	MaxName = 256
	// MaxDomains is the number of failure domains of a State.
	MaxDomains = 64
	// MaxTokens is the largest grant of one budget.
	MaxTokens poplar.Tokens = 1 << 52
)

// Command is one entry of the log. Exactly one field is set.
type Command struct {
	Change *Change `json:"change,omitempty"`
	Topup  *Topup  `json:"topup,omitempty"`
	Issue  *Issue  `json:"issue,omitempty"`
	Return *Return `json:"return,omitempty"`
	Ledger *Ledger `json:"ledger,omitempty"`
	Ready  *Ready  `json:"ready,omitempty"`
	Found  *Found  `json:"found,omitempty"`
	Member *Member `json:"member,omitempty"`
	Lease  *Lease  `json:"lease,omitempty"`
}

// Declared is a budget as the compiled configuration folder declares it.
type Declared struct {
	Name      poplar.Budget    `json:"name"`
	Workspace poplar.Workspace `json:"space"`
	Tokens    poplar.Tokens    `json:"tokens"`
}

// Change replaces configuration files. Its number must be the current revision
// + 1 and becomes the new revision.
type Change struct {
	Number poplar.Revision `json:"number"`
	// Files maps names to contents; an empty content deletes the file.
	Files map[string]string `json:"files"`
	// Budgets lists all budgets that the folder declares after the change; other
	// budgets are deleted. With Patch it lists only the budgets that differ from
	// the previous revision, and Drops lists the deleted ones.
	Budgets []Declared      `json:"budgets,omitempty"`
	Patch   bool            `json:"patch,omitempty"`
	Drops   []poplar.Budget `json:"drops,omitempty"`
	// Digest is Digest(Files), or empty.
	Digest   string `json:"digest,omitempty"`
	Operator string `json:"operator"`
}

// Topup raises the grant of a budget, or lowers it when Tokens is negative. It
// is idempotent by ID while the ID is stored: the last TopupWindow top-ups by At
// are.
type Topup struct {
	ID       string        `json:"id"`
	Budget   poplar.Budget `json:"budget"`
	Tokens   poplar.Tokens `json:"tokens"`
	Operator string        `json:"operator"`
	// At is the time at which the operator generated the ID. A resend carries
	// the same time.
	At time.Time `json:"at"`
}

// Share is one cumulative counter of a budget at a failure domain.
type Share struct {
	Budget poplar.Budget `json:"budget"`
	Domain poplar.Domain `json:"domain"`
	// Tokens is cumulative since the budget was created; it never decreases.
	Tokens poplar.Tokens `json:"tokens"`
	// Serial identifies the creation of the budget that the counter belongs to.
	// In an Issue, 0 means the current one.
	Serial poplar.Index `json:"serial,omitempty"`
	// Final, in a Return, means that the domain has no open reservation of the
	// deleted budget and returns no more tokens.
	Final bool `json:"final,omitempty"`
}

// Issue raises the cumulative issued tokens of domains. The larger value wins.
// Tokens beyond the grant are not issued.
type Issue struct {
	Shares []Share `json:"shares"`
}

// Return raises the cumulative returned tokens of domains. The larger value
// wins. The ledger makes the counter durable before it sends the command.
type Return struct {
	Shares []Share `json:"shares"`
}

// Holder is a daemon that stores ledger records, with the incarnation of its
// data folder. A daemon with a new disk is a different holder.
type Holder struct {
	Name poplar.Daemon `json:"name,omitempty"`
	Life uint64        `json:"life,omitempty"`
}

// Ledger assigns a domain's ledger to a pair of daemons. Epoch must be the
// current epoch + 1. The primary must be known to store every acknowledged
// record.
type Ledger struct {
	Domain   poplar.Domain `json:"domain"`
	Epoch    poplar.Epoch  `json:"epoch"`
	Primary  Holder        `json:"primary"`
	Backup   Holder        `json:"backup,omitzero"`
	Proposer poplar.Daemon `json:"proposer"`
	// Force starts an empty ledger when no holder of the records remains. All
	// outstanding tokens of the domain are written off until Found proves them
	// unspent.
	Force bool `json:"force,omitempty"`
}

// Ready reports that the backup of the epoch stores every record of its primary.
// With a new backup, the primary acknowledges no records until Ready is applied.
type Ready struct {
	Domain poplar.Domain `json:"domain"`
	Epoch  poplar.Epoch  `json:"epoch"`
}

// Found proves that tokens written off by a forced takeover are unspent: the
// lost disk is back and its ledger is closed. Tokens are cumulative.
type Found struct {
	Shares []Share `json:"shares"`
}

// Member joins or removes a daemon.
type Member struct {
	Name   poplar.Daemon `json:"name"`
	Domain poplar.Domain `json:"domain"`
	// Life is the incarnation; one lower than the stored one is refused.
	Life      uint64   `json:"life"`
	Addresses []string `json:"addrs,omitempty"`
	Leave     bool     `json:"leave,omitempty"`
}

// Lease acquires, renews or releases the exclusive right to give orders on a
// topic. It is granted if the requester is the holder, if the topic has no
// holder, or if the request carries the current fence and count. The last case
// means that the candidate saw no renewal for the full lease time on its own
// monotonic clock, so clocks of different daemons are never compared.
type Lease struct {
	Topic  string        `json:"topic"`
	Holder poplar.Daemon `json:"holder"`
	Fence  poplar.Fence  `json:"fence,omitempty"`
	Count  uint64        `json:"count,omitempty"`
	// Until is the deadline on the holder's clock, shown to operators only.
	Until   time.Time `json:"until"`
	Release bool      `json:"release,omitempty"`
}

// Reply is the result of a command. Code is empty if the command is in effect,
// through this application or an earlier one.
type Reply struct {
	Code   poplar.Code `json:"code,omitempty"`
	Reason string      `json:"why,omitempty"`
	// Duplicate is true if an earlier application already took effect.
	Duplicate bool `json:"again,omitempty"`
	// Revision is the revision of a change, or of the one that conflicts with it.
	Revision poplar.Revision `json:"revision,omitempty"`
	// Operator and Digest identify the earlier change, top-up or ledger proposal
	// that took effect.
	Operator string `json:"operator,omitempty"`
	Digest   string `json:"digest,omitempty"`
	// Granted is the grant after a top-up. Pending is the number of tokens issued
	// beyond it, which the ledgers must still return.
	Granted poplar.Tokens `json:"granted,omitempty"`
	Pending poplar.Tokens `json:"pending,omitempty"`
	// Shares are the counters after an Issue, Return or Found, in the order of
	// the command.
	Shares []Share `json:"shares,omitempty"`
	// Pair is the current pair after a Ledger or Ready command.
	Pair *Pair `json:"pair,omitempty"`
	// Lease is the current lease after a Lease command.
	Lease *Lease `json:"lease,omitempty"`
}

// Err returns an error of the propose step if the command was refused, or nil. A
// refused command changes nothing.
func (r Reply) Err() error {
	if r.Code == "" {
		return nil
	}
	return poplar.Failf(poplar.StepPropose, r.Code, "%s", r.Reason).Ran(poplar.RunNo)
}
