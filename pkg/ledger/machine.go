package ledger

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
	"poplarbend.example/poplar/pkg/claim"
)

// This file holds the state machine and the application of its records.

// Machine is the state of one domain's ledger. It is not safe for concurrent
// use.
type Machine struct {
	domain poplar.Domain
	limits claim.Limits
	budget *budget.Book
	claim  *claim.Store
	epoch  poplar.Epoch
	// primary and backup are the pair of epoch; backup is "" for one alone.
	primary poplar.Daemon
	backup  poplar.Daemon
	// run numbers the streams of copies over the life of the ledger. It only
	// grows; a primary starts a new run when its process starts.
	run uint64
	// seq is the number of records ever applied. Invariant: equal at two
	// machines that hold the same records.
	seq uint64
	// dark is the time at which the records before it were lost, or zero.
	dark time.Time
	// revision is the configuration in force in the domain. It only grows.
	revision poplar.Revision
}

// New returns the empty machine of domain.
func New(domain poplar.Domain, limits claim.Limits) *Machine {
	return &Machine{domain: domain, limits: limits, budget: budget.New(), claim: claim.New(limits)}
}

// Domain returns the failure domain.
func (m *Machine) Domain() poplar.Domain { return m.domain }

// Budgets returns the accounts, for reading.
func (m *Machine) Budgets() *budget.Book { return m.budget }

// Claims returns the request records and claims, for reading.
func (m *Machine) Claims() *claim.Store { return m.claim }

// Epoch returns the epoch of the pair in force.
func (m *Machine) Epoch() poplar.Epoch { return m.epoch }

// Primary returns the daemon that decides in the epoch.
func (m *Machine) Primary() poplar.Daemon { return m.primary }

// Backup returns the daemon that holds the copy in the epoch, or "".
func (m *Machine) Backup() poplar.Daemon { return m.backup }

// Run returns the number of the latest stream of copies.
func (m *Machine) Run() uint64 { return m.run }

// Seq returns the number of the last applied record.
func (m *Machine) Seq() uint64 { return m.seq }

// Revision returns the configuration in force in the domain.
func (m *Machine) Revision() poplar.Revision { return m.revision }

// Open returns the number of requests that hold a reservation.
func (m *Machine) Open() int { return m.claim.ReservingCount() }

// Dark returns the time at which the records before it were lost, or zero.
func (m *Machine) Dark() time.Time { return m.dark }

// Apply changes the state by one record. An error has CodeCorrupt and means
// that the record does not follow from the state: the machine must not be used
// any further.
func (m *Machine) Apply(r *Record) error {
	if err := m.apply(r); err != nil {
		return corrupt("record %d of kind %d: %w", m.seq+1, r.Kind, err)
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
		m.budget.Issue(r.share())
	case KindReserve:
		return m.applyReserve(r)
	case KindExtend, KindSettle, KindVoid, KindProvision, KindOrphan, KindConfirm:
		return m.applyRequest(r)
	case KindReturn:
		return m.budget.Return(r.Budget, r.Tokens)
	case KindLease:
		return m.budget.Grant(r.Budget, r.Router, r.Tokens)
	case KindReport:
		return m.budget.Report(r.Budget, r.Router, r.Spent, r.Back)
	case KindPlea:
		m.claim.Apply(r.plea(), r.time())
	case KindExpire:
		m.claim.Expire(r.time())
	case KindDark:
		m.dark = r.time()
	case KindRevision:
		m.revision = max(m.revision, poplar.Revision(r.Nonce))
	default:
		return corrupt("unknown kind %d", r.Kind)
	}
	return nil
}

func (m *Machine) applyReserve(r *Record) error {
	var before poplar.Tokens
	old := m.claim.Record(r.Request())
	if old != nil {
		before = old.Reserved()
	}
	if err := m.budget.Reserve(r.Budget, r.Tokens-before); err != nil {
		return err
	}
	ask := poplar.ReserveRequest{
		Workspace: r.Workspace, Key: r.Key, Budget: r.Budget, Caller: r.Caller, Digest: r.Digest,
		Rank: poplar.Rank(r.Rank), Keyed: r.has(flagKeyed), Idempotent: r.has(flagRepeat),
		Router: r.Router, Upstream: r.Upstream, CallID: r.Call,
	}
	m.claim.Start(ask, r.Attempt, r.Tokens, r.Nonce, r.time()).Charge(r.Seq)
	return nil
}

func (m *Machine) applyRequest(r *Record) error {
	record := m.claim.Record(r.Request())
	if record == nil {
		return corrupt("no record of request %s", r.Request())
	}
	switch r.Kind {
	case KindExtend:
		if err := m.budget.Reserve(record.Budget(), r.Tokens-record.Reserved()); err != nil {
			return err
		}
		record.Extend(r.Tokens, r.Upstream)
	case KindSettle:
		return m.applySettle(record, r)
	case KindVoid:
		return m.applyVoid(record, r)
	case KindProvision:
		record.MarkProvisional()
	case KindOrphan:
		record.MarkOrphaned(r.time())
	case KindConfirm:
		m.claim.Confirm(record)
	}
	return nil
}

func (m *Machine) applySettle(record *claim.Record, r *Record) error {
	outcome := poplar.Outcome(r.Word)
	if outcome != poplar.OutcomeUnknown {
		if err := m.budget.Settle(record.Budget(), record.Reserved(), r.Tokens); err != nil {
			return err
		}
	}
	m.claim.Settle(record, poplar.Settlement{Outcome: outcome, Spent: r.Tokens, Response: r.Answer}, r.time())
	return nil
}

func (m *Machine) applyVoid(record *claim.Record, r *Record) error {
	if record.State() == claim.Settled {
		account, _ := m.budget.Account(record.Budget())
		if account.Serial() == record.Serial() {
			if err := m.budget.Void(record.Budget(), record.Spent()); err != nil {
				return err
			}
		}
		m.claim.Void(record)
		return nil
	}
	if err := m.budget.Settle(record.Budget(), record.Reserved(), 0); err != nil {
		return err
	}
	m.claim.EndForOther(record, r.time())
	return nil
}

// holds reports whether a record in state s holds a reservation.
func holds(s claim.State) bool {
	return s == claim.Open || s == claim.Orphan || s == claim.Unknown
}

func (r *Record) time() time.Time { return time.UnixMilli(r.At) }

func (r *Record) plea() claim.Request {
	return claim.Request{
		Workspace: r.Workspace, Key: r.Key, Domain: r.Domain, Digest: r.Digest, Nonce: r.Nonce,
		Idempotent: r.has(flagRepeat), Op: claim.Op(r.Word), Spent: r.Tokens,
	}
}

// milli encodes a time, the zero time as 0.
func milli(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func timeOf(milli int64) time.Time {
	if milli == 0 {
		return time.Time{}
	}
	return time.UnixMilli(milli)
}
