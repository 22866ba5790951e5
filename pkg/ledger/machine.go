package ledger

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
	"poplarbend.example/poplar/pkg/claim"
)

// This file implements the state of a ledger and the application of records.

// Machine is the state of the ledger of one failure domain. It is not safe for
// concurrent use.
type Machine struct {
	domain  poplar.Domain
	limits  claim.Limits
	budgets *budget.Accounts
	claims  *claim.Store
	epoch   poplar.Epoch
	// primary and backup form the pair of epoch. backup is "" when the primary
	// has no backup.
	primary poplar.Daemon
	backup  poplar.Daemon
	// run is the number of the latest replication stream. It never decreases. A
	// primary starts a new run when its process starts.
	run uint64
	// seq is the number of records ever applied. Invariant: two machines that
	// applied the same records have the same seq.
	seq uint64
	// recordsLostAt is the time before which all records were lost, or zero.
	recordsLostAt time.Time
	// revision is the configuration in force in the domain. It never decreases.
	revision poplar.Revision
}

// New returns the empty machine of domain.
func New(domain poplar.Domain, limits claim.Limits) *Machine {
	return &Machine{domain: domain, limits: limits, budgets: budget.New(), claims: claim.New(limits)}
}

// Domain returns the failure domain.
func (m *Machine) Domain() poplar.Domain { return m.domain }

// Budgets returns the accounts. The caller must not change them.
func (m *Machine) Budgets() *budget.Accounts { return m.budgets }

// Claims returns the request records and claims. The caller must not change
// them.
func (m *Machine) Claims() *claim.Store { return m.claims }

// Epoch returns the epoch of the pair in force.
func (m *Machine) Epoch() poplar.Epoch { return m.epoch }

// Primary returns the primary of the epoch.
func (m *Machine) Primary() poplar.Daemon { return m.primary }

// Backup returns the backup of the epoch, or "" when there is none.
func (m *Machine) Backup() poplar.Daemon { return m.backup }

// Run returns the number of the latest replication stream.
func (m *Machine) Run() uint64 { return m.run }

// Seq returns the number of the last applied record.
func (m *Machine) Seq() uint64 { return m.seq }

// Revision returns the configuration in force in the domain.
func (m *Machine) Revision() poplar.Revision { return m.revision }

// ReservationCount returns the number of requests that have a reservation.
func (m *Machine) ReservationCount() int { return m.claims.ReservingCount() }

// RecordsLostAt returns the time before which all records were lost, or zero.
func (m *Machine) RecordsLostAt() time.Time { return m.recordsLostAt }

// Apply changes the state by one record. An error has CodeCorrupt and means
// that the record contradicts the state. The machine must not be used after an
// error.
func (m *Machine) Apply(r *Record) error {
	if err := m.apply(r); err != nil {
		return corruptf("apply record %d of kind %d: %w", m.seq+1, r.Kind, err)
	}
	m.seq++
	return nil
}

func (m *Machine) apply(r *Record) error {
	switch r.Kind {
	case KindEpoch:
		m.epoch, m.primary, m.backup = r.Epoch, r.Router, r.Backup
		m.run = max(m.run, r.Nonce)
	case KindIssue:
		m.budgets.Issue(r.share())
	case KindReserve:
		return m.applyReserve(r)
	case KindExtend, KindSettle, KindVoid, KindProvisional, KindOrphan, KindConfirm:
		return m.applyRequest(r)
	case KindReturn:
		return m.budgets.Return(r.Budget, r.Tokens)
	case KindLease:
		return m.budgets.Grant(r.Budget, r.Router, r.Tokens)
	case KindReport:
		return m.budgets.Report(r.Budget, r.Router, r.Spent, r.Returned)
	case KindClaimRequest:
		m.claims.Apply(r.claimRequest(), r.timestamp())
	case KindExpire:
		m.claims.Expire(r.timestamp())
	case KindRecordsLost:
		m.recordsLostAt = r.timestamp()
	case KindRevision:
		m.revision = max(m.revision, poplar.Revision(r.Nonce))
	default:
		return corruptf("unknown record kind %d", r.Kind)
	}
	return nil
}

func (m *Machine) applyReserve(r *Record) error {
	var oldReserved poplar.Tokens
	existing := m.claims.Record(r.Request())
	if existing != nil {
		oldReserved = existing.Reserved()
	}
	if err := m.budgets.Reserve(r.Budget, r.Tokens-oldReserved); err != nil {
		return err
	}
	req := poplar.ReserveRequest{
		Workspace: r.Workspace, Key: r.Key, Budget: r.Budget, Caller: r.Caller, Digest: r.Digest,
		Rank: poplar.Rank(r.Rank), Keyed: r.hasFlag(flagKeyed), Idempotent: r.hasFlag(flagIdempotent),
		Router: r.Router, Upstream: r.Upstream, CallID: r.Call,
	}
	m.claims.Start(req, r.Attempt, r.Tokens, r.Nonce, r.timestamp()).Charge(r.Seq)
	return nil
}

func (m *Machine) applyRequest(r *Record) error {
	record := m.claims.Record(r.Request())
	if record == nil {
		return corruptf("no record of request %s", r.Request())
	}
	switch r.Kind {
	case KindExtend:
		if err := m.budgets.Reserve(record.Budget(), r.Tokens-record.Reserved()); err != nil {
			return err
		}
		record.Extend(r.Tokens, r.Upstream)
	case KindSettle:
		return m.applySettle(record, r)
	case KindVoid:
		return m.applyVoid(record, r)
	case KindProvisional:
		record.MarkProvisional()
	case KindOrphan:
		record.MarkOrphaned(r.timestamp())
	case KindConfirm:
		m.claims.Confirm(record)
	}
	return nil
}

func (m *Machine) applySettle(record *claim.Record, r *Record) error {
	outcome := poplar.Outcome(r.OutcomeOrOp)
	if outcome != poplar.OutcomeUnknown {
		if err := m.budgets.Settle(record.Budget(), record.Reserved(), r.Tokens); err != nil {
			return err
		}
	}
	m.claims.Settle(record, poplar.Settlement{Outcome: outcome, Spent: r.Tokens, Response: r.Answer}, r.timestamp())
	return nil
}

func (m *Machine) applyVoid(record *claim.Record, r *Record) error {
	if record.State() == claim.Settled {
		account, _ := m.budgets.Account(record.Budget())
		if account.Serial() == record.BudgetSerial() {
			if err := m.budgets.Void(record.Budget(), record.Spent()); err != nil {
				return err
			}
		}
		m.claims.Void(record)
		return nil
	}
	if err := m.budgets.Settle(record.Budget(), record.Reserved(), 0); err != nil {
		return err
	}
	m.claims.EndForOther(record, r.timestamp())
	return nil
}

// hasReservation reports whether a record in state s has a reservation.
func hasReservation(s claim.State) bool {
	return s == claim.Open || s == claim.Orphan || s == claim.Unknown
}

func (r *Record) timestamp() time.Time { return time.UnixMilli(r.At) }

func (r *Record) claimRequest() claim.Request {
	return claim.Request{
		Workspace: r.Workspace, Key: r.Key, Domain: r.Domain, Digest: r.Digest, Nonce: r.Nonce,
		Idempotent: r.hasFlag(flagIdempotent), Op: claim.Op(r.OutcomeOrOp), Spent: r.Tokens,
	}
}

// toUnixMilli returns the Unix time in milliseconds, and 0 for the zero time.
func toUnixMilli(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

// fromUnixMilli is the inverse of toUnixMilli.
func fromUnixMilli(milli int64) time.Time {
	if milli == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milli)
}
