package ledger

import (
	"sort"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
	"poplarbend.example/poplar/pkg/claim"
)

// This file holds the decisions that no request asks for: what the log says,
// lost routers, give-back, leases and the record window.

// Share is what the log says of one budget in this domain.
type Share = budget.Share

// Issue decides on shares that the log reports. Shares that say nothing new
// lead to no record.
func (m *Machine) Issue(shares []Share) []Record {
	var records []Record
	for _, share := range shares {
		if !m.budget.News(share) {
			continue
		}
		records = append(records, Record{
			Kind: KindIssue, Budget: share.Budget, Seq: share.Serial, Tokens: share.Issued, Back: share.Returned,
			Lost: share.Lost, Open: share.Recall, Flags: flag(share.Closed, flagClosed),
		})
	}
	return records
}

func (r *Record) share() Share {
	return Share{
		Budget: r.Budget, Serial: r.Seq, Issued: r.Tokens, Returned: r.Back, Lost: r.Lost, Recall: r.Open,
		Closed: r.has(flagClosed),
	}
}

// Name decides on the pair that the log named, under a new run. An epoch below
// the one in force changes nothing. The primary names the epoch in force again
// when its process starts, since what it sent before may differ from what it
// has on disk.
func (m *Machine) Name(epoch poplar.Epoch, primary, backup poplar.Daemon, run uint64) []Record {
	if epoch < m.epoch || epoch == m.epoch && run <= m.run {
		return nil
	}
	return []Record{{Kind: KindEpoch, Epoch: epoch, Router: primary, Backup: backup, Nonce: run}}
}

// Darken decides that the records before now were lost. What was issued by then
// counts as spent through the Lost counters of the log.
func (m *Machine) Darken(now time.Time) []Record {
	return []Record{{Kind: KindDark, At: now.UnixMilli()}}
}

// Revise decides that revision is in force.
func (m *Machine) Revise(revision poplar.Revision) []Record {
	if revision <= m.revision {
		return nil
	}
	return []Record{{Kind: KindRevision, Nonce: uint64(revision)}}
}

// RouterGone decides that the open requests of router have lost it.
func (m *Machine) RouterGone(router poplar.Daemon, now time.Time) []Record {
	return m.each(KindOrphan, "", now, func(r *claim.Record) bool {
		return r.State() == claim.Open && r.Router() == router
	})
}

// Sweep decides that requests orphaned before limit are unknown.
func (m *Machine) Sweep(limit, now time.Time) []Record {
	return m.each(KindSettle, string(poplar.OutcomeUnknown), now, func(r *claim.Record) bool {
		return r.State() == claim.Orphan && r.At().Before(limit)
	})
}

func (m *Machine) each(kind Kind, word string, now time.Time, match func(*claim.Record) bool) []Record {
	var records []Record
	m.claim.EachReserving(func(r *claim.Record) {
		if match(r) {
			records = append(records, Record{
				Kind: kind, Workspace: r.Request().Workspace(), Key: r.Request().Key(),
				Attempt: r.Attempt(), Word: word, At: now.UnixMilli(),
			})
		}
	})
	sort.Slice(records, func(i, j int) bool {
		a, b := &records[i], &records[j]
		return a.Workspace < b.Workspace || a.Workspace == b.Workspace && a.Key < b.Key
	})
	return records
}

// Expire decides that everything settled before the window is forgotten.
func (m *Machine) Expire(now time.Time) []Record {
	horizon := now.Add(-m.limits.Window)
	if !horizon.After(m.claim.Horizon()) {
		return nil
	}
	return []Record{{Kind: KindExpire, At: horizon.UnixMilli()}}
}

// GiveBack decides on all recalls that can be met, fully or in part.
func (m *Machine) GiveBack() []Record {
	var records []Record
	for _, name := range m.budget.Recalls() {
		records = append(records, m.Return(name, m.budget.Due(name))...)
	}
	return records
}

// Return decides to give back amount of name, or what is available of it.
func (m *Machine) Return(name poplar.Budget, amount poplar.Tokens) []Record {
	account, _ := m.budget.Account(name)
	amount = min(amount, account.Available())
	if amount <= 0 {
		return nil
	}
	return []Record{{Kind: KindReturn, Budget: name, Tokens: account.Returned() + amount}}
}

// leasePart is the part of the available tokens, as its inverse, that one router
// may hold as a lease. Near the end of a budget the leases end too, so that the
// last tokens are not left where nobody asks for them.
const leasePart = 64

// Lease decides to raise the cumulative lease of router on name to total, or
// as far as the budget allows. It returns the cumulative lease.
func (m *Machine) Lease(name poplar.Budget, router poplar.Daemon, total poplar.Tokens) ([]Record, poplar.Tokens) {
	account, _ := m.budget.Account(name)
	lease := m.budget.Lease(name, router)
	granted := lease.Granted()
	used := lease.Spent() + lease.Back()
	total = min(total, used+max(granted-used, account.Available()/leasePart))
	if total <= granted || m.budget.Closed(name) {
		return nil, granted
	}
	return []Record{{Kind: KindLease, Budget: name, Router: router, Tokens: total}}, total
}

// Report decides on a router's cumulative counters of its lease.
func (m *Machine) Report(name poplar.Budget, router poplar.Daemon, spent, back poplar.Tokens) Decision {
	lease := m.budget.Lease(name, router)
	spent, back = max(spent, lease.Spent()), max(back, lease.Back())
	switch {
	case spent+back > lease.Granted():
		return refuse(poplar.Failf(poplar.StepSettle, poplar.CodeInvalid,
			"router reports %d spent and %d back of a lease of %d", spent, back, lease.Granted()).At(string(router)))
	case spent == lease.Spent() && back == lease.Back():
		return Decision{}
	}
	return Decision{Records: []Record{{Kind: KindReport, Budget: name, Router: router, Spent: spent, Back: back}}}
}
