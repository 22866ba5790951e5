package budget

import "poplarbend.example/poplar"

// This file implements the saving and restoring of accounts for snapshots.

// AccountState is the complete state of one account.
type AccountState struct {
	Issued, Returned, Settled, Open, Leased, Lost, Recall poplar.Tokens

	Serial uint64
	Closed bool
}

// State returns the complete state of the account of name.
func (b *Accounts) State(name poplar.Budget) AccountState {
	a := b.accounts[name]
	return AccountState{
		Issued: a.issued, Returned: a.returned, Settled: a.settled, Open: a.open, Leased: a.leased,
		Lost: a.lost, Recall: b.recalls[name], Serial: a.serial, Closed: b.closed[name],
	}
}

// Restore sets the account of name from a snapshot. A state that violates the
// invariant is refused with CodeCorrupt.
func (b *Accounts) Restore(name poplar.Budget, state AccountState) error {
	account := Account{
		issued: state.Issued, returned: state.Returned, settled: state.Settled,
		open: state.Open, leased: state.Leased, lost: state.Lost, serial: state.Serial,
	}
	if !account.Valid() {
		return poplar.Failf(poplar.StepDisk, poplar.CodeCorrupt, "account of budget %q violates its invariant", name)
	}
	b.accounts[name] = account
	if state.Recall > state.Returned {
		b.recalls[name] = state.Recall
	}
	if state.Closed {
		b.closed[name] = true
	}
	return nil
}

// RestoreLease sets a router's lease from a snapshot. The outstanding tokens of
// the lease are already part of the restored account.
func (b *Accounts) RestoreLease(name poplar.Budget, router poplar.Daemon, granted, spent, back poplar.Tokens) {
	b.leases[leaseKey{name, router}] = Lease{granted: granted, spent: spent, returned: back}
}
