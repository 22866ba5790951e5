package ledger

import (
	"sort"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
	"poplarbend.example/poplar/pkg/claim"
)

// This file implements the decisions that belong to no single request: updates
// from the log, departed routers, returned tokens, leases and the record window.

// Share is the state of one budget in this domain according to the log.
type Share = budget.Share

// Issue decides on shares received from the log. A share that changes nothing
// leads to no record.
func (m *Machine) Issue(shares []Share) []Record {
	var records []Record
	for _, share := range shares {
		if !m.budgets.Changes(share) {
			continue
		}
		records = append(records, Record{
			Kind: KindIssue, Budget: share.Budget, Seq: share.Serial, Tokens: share.Issued, Returned: share.Returned,
			Lost: share.Lost, Open: share.Recall, Flags: flagIf(share.Closed, flagClosed),
		})
	}
	return records
}

func (r *Record) share() Share {
	return Share{
		Budget: r.Budget, Serial: r.Seq, Issued: r.Tokens, Returned: r.Returned, Lost: r.Lost, Recall: r.Open,
		Closed: r.hasFlag(flagClosed),
	}
}

// SetPair decides on the pair that the log set for epoch, with a new run. An epoch
// below the one in force changes nothing. The primary calls SetPair for the epoch in
// force again when its process starts, because the records that it sent before
// may differ from those on its disk.
func (m *Machine) SetPair(epoch poplar.Epoch, primary, backup poplar.Daemon, run uint64) []Record {
	if epoch < m.epoch || epoch == m.epoch && run <= m.run {
		return nil
	}
	return []Record{{Kind: KindEpoch, Epoch: epoch, Router: primary, Backup: backup, Nonce: run}}
}

// MarkRecordsLost decides that all records before now were lost. The tokens issued until
// then count as spent through the Lost counters of the log.
func (m *Machine) MarkRecordsLost(now time.Time) []Record {
	return []Record{{Kind: KindRecordsLost, At: now.UnixMilli()}}
}

// SetRevision decides that revision is in force. A revision that is not newer than
// the one in force changes nothing.
func (m *Machine) SetRevision(revision poplar.Revision) []Record {
	if revision <= m.revision {
		return nil
	}
	return []Record{{Kind: KindRevision, Nonce: uint64(revision)}}
}

// OrphanRequests returns the records that mark the open requests of router, which
// has departed, as orphaned.
func (m *Machine) OrphanRequests(router poplar.Daemon, now time.Time) []Record {
	return m.matchReserving(KindOrphan, "", now, func(r *claim.Record) bool {
		return r.State() == claim.Open && r.Router() == router
	})
}

// SettleOrphans returns the records that settle the requests orphaned before cutoff with
// an unknown outcome.
func (m *Machine) SettleOrphans(cutoff, now time.Time) []Record {
	return m.matchReserving(KindSettle, string(poplar.OutcomeUnknown), now, func(r *claim.Record) bool {
		return r.State() == claim.Orphan && r.ChangedAt().Before(cutoff)
	})
}

// matchReserving returns a record of the given kind for each request that has a
// reservation and matches, sorted by workspace and key.
func (m *Machine) matchReserving(kind Kind, outcome string, now time.Time, match func(*claim.Record) bool) []Record {
	var records []Record
	m.claims.EachReserving(func(r *claim.Record) {
		if match(r) {
			records = append(records, Record{
				Kind: kind, Workspace: r.Request().Workspace(), Key: r.Request().Key(),
				Attempt: r.Attempt(), OutcomeOrOp: outcome, At: now.UnixMilli(),
			})
		}
	})
	sort.Slice(records, func(i, j int) bool {
		a, b := &records[i], &records[j]
		return a.Workspace < b.Workspace || a.Workspace == b.Workspace && a.Key < b.Key
	})
	return records
}

// Expire returns the record that removes everything settled before the record
// window. It returns none while the window has not advanced.
func (m *Machine) Expire(now time.Time) []Record {
	horizon := now.Add(-m.limits.Window)
	if !horizon.After(m.claims.Horizon()) {
		return nil
	}
	return []Record{{Kind: KindExpire, At: horizon.UnixMilli()}}
}

// ReturnRecalled decides on the return of tokens for every recall that can be met,
// fully or in part.
func (m *Machine) ReturnRecalled() []Record {
	var records []Record
	for _, name := range m.budgets.Recalls() {
		records = append(records, m.Return(name, m.budgets.ReturnDue(name))...)
	}
	return records
}

// Return decides to return amount tokens of the budget name to the log, or fewer
// if fewer are available.
func (m *Machine) Return(name poplar.Budget, amount poplar.Tokens) []Record {
	account, _ := m.budgets.Account(name)
	amount = min(amount, account.Available())
	if amount <= 0 {
		return nil
	}
	return []Record{{Kind: KindReturn, Budget: name, Tokens: account.Returned() + amount}}
}

// leaseDivisor bounds the unspent part of a lease to the available tokens divided
// by it. When a budget nears its end, its leases shrink too, so that the last
// tokens do not stay at routers that have no use for them.
const leaseDivisor = 64

// Lease decides to raise the cumulative lease of router on the budget name to
// total, or as far as the budget allows. It also returns the new cumulative
// lease.
func (m *Machine) Lease(name poplar.Budget, router poplar.Daemon, total poplar.Tokens) ([]Record, poplar.Tokens) {
	account, _ := m.budgets.Account(name)
	lease := m.budgets.Lease(name, router)
	granted := lease.Granted()
	used := lease.Spent() + lease.Returned()
	total = min(total, used+max(granted-used, account.Available()/leaseDivisor))
	if total <= granted || m.budgets.Closed(name) {
		return nil, granted
	}
	return []Record{{Kind: KindLease, Budget: name, Router: router, Tokens: total}}, total
}

// Report decides on the cumulative counters that a router reports for its lease.
// Counters that exceed the lease are refused with CodeInvalid.
func (m *Machine) Report(name poplar.Budget, router poplar.Daemon, spent, returned poplar.Tokens) Decision {
	lease := m.budgets.Lease(name, router)
	spent, returned = max(spent, lease.Spent()), max(returned, lease.Returned())
	switch {
	case spent+returned > lease.Granted():
		return refuse(poplar.Failf(poplar.StepSettle, poplar.CodeInvalid,
			"router reports %d tokens spent and %d returned of a lease of %d", spent, returned, lease.Granted()).At(string(router)))
	case spent == lease.Spent() && returned == lease.Returned():
		return Decision{}
	}
	return Decision{Records: []Record{{Kind: KindReport, Budget: name, Router: router, Spent: spent, Returned: returned}}}
}
