// Package budget implements the accounts of prepaid budgets in one failure
// domain.
//
// The replicated log issues tokens of a budget to a domain, and the domain's
// ledger spends them. Every counter that crosses a process boundary is
// cumulative and its receiver takes the maximum, so late, repeated and reordered
// messages are harmless. The package does no I/O. Its caller must make each
// change durable before it reports the change to anyone.
package budget

import (
	"sort"

	"poplarbend.example/poplar"
)

// This file implements the accounts and their reservations.

// Account is the state of one budget in one domain.
type Account struct {
	// issued is the total that the log has issued to this domain. It never
	// decreases.
	issued poplar.Tokens
	// returned is the total that this domain has returned to the log. It never
	// decreases.
	returned poplar.Tokens
	// settled is the total spent, less voided bills.
	settled poplar.Tokens
	// open is the sum of the open reservations.
	open poplar.Tokens
	// leased is the sum of the leased tokens that routers have reported neither
	// as spent nor as returned.
	leased poplar.Tokens
	// lost is the number of tokens that an earlier ledger of the domain had when
	// its records were lost. They count as spent, less those that the disk of that
	// ledger proves unspent if it is recovered.
	//
	// Invariant: settled + open + leased + lost + returned <= issued, all >= 0.
	lost poplar.Tokens
	// serial counts the creations of budgets with this name. It never decreases.
	// All counters belong to the budget with this serial.
	serial uint64
}

// Issued returns the total tokens that the log has issued to the domain.
func (a Account) Issued() poplar.Tokens { return a.issued }

// Returned returns the total tokens that the domain has returned to the log.
func (a Account) Returned() poplar.Tokens { return a.returned }

// Settled returns the tokens spent, less voided bills.
func (a Account) Settled() poplar.Tokens { return a.settled }

// Open returns the tokens in open reservations.
func (a Account) Open() poplar.Tokens { return a.open }

// Leased returns the leased tokens that routers have reported neither as spent
// nor as returned.
func (a Account) Leased() poplar.Tokens { return a.leased }

// Lost returns the tokens that count as spent because an earlier ledger lost its
// records.
func (a Account) Lost() poplar.Tokens { return a.lost }

// Serial returns the serial of the budget that the counters belong to.
func (a Account) Serial() uint64 { return a.serial }

// Available returns the tokens that may be reserved, leased or returned.
func (a Account) Available() poplar.Tokens {
	return a.issued - a.returned - a.settled - a.open - a.leased - a.lost
}

// Valid reports whether the account satisfies its invariant.
func (a Account) Valid() bool {
	return a.returned >= 0 && a.settled >= 0 && a.open >= 0 && a.leased >= 0 && a.lost >= 0 && a.Available() >= 0
}

// Accounts is the set of accounts in one domain. It is not safe for concurrent use.
type Accounts struct {
	accounts map[poplar.Budget]Account
	closed   map[poplar.Budget]bool          // invariant: keys are in accounts
	recalls  map[poplar.Budget]poplar.Tokens // invariant: value > returned
	leases   map[leaseKey]Lease
}

// New returns an empty Accounts.
func New() *Accounts {
	return &Accounts{
		accounts: map[poplar.Budget]Account{},
		closed:   map[poplar.Budget]bool{},
		recalls:  map[poplar.Budget]poplar.Tokens{},
		leases:   map[leaseKey]Lease{},
	}
}

// Account returns the account of name. ok is false when the log has sent no
// share of the budget to this domain.
func (b *Accounts) Account(name poplar.Budget) (account Account, ok bool) {
	account, ok = b.accounts[name]
	return account, ok
}

// Len returns the number of accounts.
func (b *Accounts) Len() int { return len(b.accounts) }

// Each calls visit with the name of every account, in unspecified order.
func (b *Accounts) Each(visit func(name poplar.Budget)) {
	for name := range b.accounts {
		visit(name)
	}
}

// Names returns the names of all accounts, sorted.
func (b *Accounts) Names() []poplar.Budget {
	names := make([]poplar.Budget, 0, len(b.accounts))
	for name := range b.accounts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Share is the state of one budget in this domain according to the log. It is a
// wire message. Issued, Returned and Recall are cumulative.
type Share struct {
	Budget poplar.Budget `json:"budget"`
	// Serial counts the creations of budgets with this name.
	Serial uint64 `json:"serial,omitempty"`
	// Issued is the total that the log has issued to the domain.
	Issued poplar.Tokens `json:"issued"`
	// Returned is the total that the log knows to be returned. A ledger starts
	// from it when the records of its predecessor are lost.
	Returned poplar.Tokens `json:"returned,omitempty"`
	// Lost counts as spent, because an earlier ledger of the domain lost its
	// records.
	Lost poplar.Tokens `json:"lost,omitempty"`
	// Recall is the value that the returned counter should reach, or 0.
	Recall poplar.Tokens `json:"recall,omitempty"`
	// Closed stops new reservations: the budget or its workspace is deleted.
	Closed bool `json:"closed,omitempty"`
}

// merge returns the account after share, and whether share changes anything. A
// share with a new serial has no effect until the reservations and leases under
// the current serial have ended. A share that would violate the invariant of the
// account belongs to another ledger of the domain and is ignored.
func (b *Accounts) merge(share Share) (merged Account, changed bool) {
	current, known := b.accounts[share.Budget]
	merged = current
	if share.Serial != current.serial {
		if share.Serial < current.serial || current.open != 0 || current.leased != 0 {
			return current, false
		}
		merged = Account{serial: share.Serial}
	}
	merged.issued = max(merged.issued, share.Issued)
	merged.returned = max(merged.returned, share.Returned)
	merged.lost = share.Lost
	recall := max(merged.returned, b.recalls[share.Budget])
	changed = !known || merged != current || share.Recall > recall || share.Closed != b.closed[share.Budget]
	return merged, changed && merged.Valid()
}

// Changes reports whether Issue would change anything.
func (b *Accounts) Changes(share Share) bool {
	_, changed := b.merge(share)
	return changed
}

// Issue applies a share received from the log. Counters below the known ones
// come from late messages and change nothing.
func (b *Accounts) Issue(share Share) {
	merged, changed := b.merge(share)
	if !changed {
		return
	}
	name := share.Budget
	if merged.serial != b.accounts[name].serial || b.recalls[name] <= merged.returned {
		delete(b.recalls, name)
	}
	b.accounts[name] = merged
	if share.Recall > max(merged.returned, b.recalls[name]) {
		b.recalls[name] = share.Recall
	}
	delete(b.closed, name)
	if share.Closed {
		b.closed[name] = true
	}
}

// Closed reports whether new reservations of name are refused.
func (b *Accounts) Closed(name poplar.Budget) bool { return b.closed[name] }

// Check returns nil when Reserve would succeed with the same arguments, and its
// error otherwise. The codes are CodeInvalid, CodeMissing and CodeBudget.
func (b *Accounts) Check(name poplar.Budget, amount poplar.Tokens) error {
	account, ok := b.accounts[name]
	switch {
	case amount < 0:
		return poplar.Failf(poplar.StepReserve, poplar.CodeInvalid, "cannot reserve %d tokens", amount)
	case !ok:
		return poplar.Failf(poplar.StepReserve, poplar.CodeMissing, "budget %q is unknown in this domain", name)
	case account.Available() < amount:
		return poplar.Failf(poplar.StepReserve, poplar.CodeBudget,
			"budget %q has %d tokens available in this domain, but %d are needed", name, account.Available(), amount)
	}
	return nil
}

// Reserve moves amount of the budget name from available to open. It returns the
// error of Check when it cannot.
func (b *Accounts) Reserve(name poplar.Budget, amount poplar.Tokens) error {
	if err := b.Check(name, amount); err != nil {
		return err
	}
	account := b.accounts[name]
	account.open += amount
	b.accounts[name] = account
	return nil
}

// Settle ends an open reservation: spent tokens of it are settled and the rest is
// released. An error has CodeInvalid.
func (b *Accounts) Settle(name poplar.Budget, reserved, spent poplar.Tokens) error {
	account := b.accounts[name]
	if spent < 0 || spent > reserved || reserved > account.open {
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid,
			"cannot settle %d of %d reserved tokens with %d open in budget %q", spent, reserved, account.open, name)
	}
	account.open -= reserved
	account.settled += spent
	b.accounts[name] = account
	return nil
}

// Void reverses a settled charge because the bill of another domain for the same
// request was stored instead. An error has CodeInvalid.
func (b *Accounts) Void(name poplar.Budget, spent poplar.Tokens) error {
	account := b.accounts[name]
	if spent < 0 || spent > account.settled {
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid,
			"cannot void %d of %d settled tokens of budget %q", spent, account.settled, name)
	}
	account.settled -= spent
	b.accounts[name] = account
	return nil
}

// ReturnDue returns the number of tokens that can be returned now towards the
// recall of name: the recalled tokens that are not yet returned, but no more than
// are available.
func (b *Accounts) ReturnDue(name poplar.Budget) poplar.Tokens {
	target, ok := b.recalls[name]
	if !ok {
		return 0
	}
	account := b.accounts[name]
	return min(target-account.returned, account.Available())
}

// Recalls returns the names of the budgets with an open recall, sorted.
func (b *Accounts) Recalls() []poplar.Budget {
	names := make([]poplar.Budget, 0, len(b.recalls))
	for name := range b.recalls {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Return raises the cumulative returned counter of name to total. It fails with
// CodeBudget when the increase exceeds the available tokens.
func (b *Accounts) Return(name poplar.Budget, total poplar.Tokens) error {
	account := b.accounts[name]
	if total <= account.returned {
		return nil
	}
	if total-account.returned > account.Available() {
		return poplar.Failf(poplar.StepReserve, poplar.CodeBudget,
			"cannot return %d tokens of budget %q: only %d are available", total-account.returned, name, account.Available())
	}
	account.returned = total
	b.accounts[name] = account
	if b.recalls[name] <= total {
		delete(b.recalls, name)
	}
	return nil
}
