package budget

import (
	"sort"

	"poplarbend.example/poplar"
)

// This file implements the leases of routers.

// leaseKey identifies the lease of one router on one budget.
type leaseKey struct {
	budget poplar.Budget
	router poplar.Daemon
}

// Lease is the part of a budget that a router may spend on idempotent requests
// while it cannot reach the ledger. The router reports cumulative counters.
type Lease struct {
	granted  poplar.Tokens // invariant: never decreases
	spent    poplar.Tokens // invariant: never decreases
	returned poplar.Tokens // invariant: never decreases; spent + back <= granted
}

// Granted returns the total tokens leased to the router.
func (l Lease) Granted() poplar.Tokens { return l.granted }

// Spent returns the total tokens that the router has reported as spent.
func (l Lease) Spent() poplar.Tokens { return l.spent }

// Returned returns the total tokens that the router has returned.
func (l Lease) Returned() poplar.Tokens { return l.returned }

// Lease returns the lease of router on the budget name.
func (b *Accounts) Lease(name poplar.Budget, router poplar.Daemon) Lease {
	return b.leases[leaseKey{name, router}]
}

// RouterLease is a lease with its router and budget.
type RouterLease struct {
	Budget poplar.Budget
	Router poplar.Daemon
	Lease  Lease
}

// Leases returns all leases, sorted by budget and router.
func (b *Accounts) Leases() []RouterLease {
	all := make([]RouterLease, 0, len(b.leases))
	for key, lease := range b.leases {
		all = append(all, RouterLease{Budget: key.budget, Router: key.router, Lease: lease})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Budget != all[j].Budget {
			return all[i].Budget < all[j].Budget
		}
		return all[i].Router < all[j].Router
	})
	return all
}

// Grant raises the cumulative lease of router on name to total. It returns the
// error of Check when the increase exceeds the available tokens. Tokens that the
// router does not report stay leased and are not available.
func (b *Accounts) Grant(name poplar.Budget, router poplar.Daemon, total poplar.Tokens) error {
	lease := b.leases[leaseKey{name, router}]
	if total <= lease.granted {
		return nil
	}
	if err := b.Check(name, total-lease.granted); err != nil {
		return err
	}
	account := b.accounts[name]
	account.leased += total - lease.granted
	lease.granted = total
	b.accounts[name] = account
	b.leases[leaseKey{name, router}] = lease
	return nil
}

// Report applies the cumulative counters that a router reports. Values below the
// known ones come from late messages and change nothing. Counters that exceed
// the lease are refused with CodeInvalid.
func (b *Accounts) Report(name poplar.Budget, router poplar.Daemon, spent, returned poplar.Tokens) error {
	lease := b.leases[leaseKey{name, router}]
	spent = max(spent, lease.spent)
	returned = max(returned, lease.returned)
	if spent+returned > lease.granted {
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid,
			"router reports %d tokens spent and %d returned of a lease of %d on budget %q", spent, returned, lease.granted, name).
			At(string(router))
	}
	account := b.accounts[name]
	account.leased -= spent - lease.spent + returned - lease.returned
	account.settled += spent - lease.spent
	lease.spent, lease.returned = spent, returned
	b.accounts[name] = account
	b.leases[leaseKey{name, router}] = lease
	return nil
}
