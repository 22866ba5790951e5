package claim

import (
	"sort"
	"time"

	"poplarbend.example/poplar"
)

// This file exports and restores records for snapshots.

// RecordState is the complete state of one record.
type RecordState struct {
	Workspace   poplar.Workspace
	Key         poplar.Key
	Budget      poplar.Budget
	Caller      poplar.Caller
	Router      poplar.Daemon
	Upstream    poplar.Upstream
	Digest      uint64
	Nonce       uint64
	Serial      uint64
	CallID      uint64
	Rank        poplar.Rank
	State       State
	Attempt     poplar.Attempt
	Reserved    poplar.Tokens
	Spent       poplar.Tokens
	Keyed       bool
	Idempotent  bool
	Provisional bool
	Reported    bool
	Void        bool
	Outcome     poplar.Outcome
	Answer      []byte
	At          time.Time
}

// Export returns the complete state of r.
func (r *Record) Export() RecordState {
	return RecordState{
		Workspace: r.request.Workspace(), Key: r.request.Key(), Budget: r.budget, Caller: r.caller,
		Router: r.router, Upstream: r.upstream, Digest: r.digest, Nonce: r.nonce, Serial: r.budgetSerial, CallID: r.callID, Rank: r.rank,
		State: r.state, Attempt: r.attempt, Reserved: r.reserved, Spent: r.spent, Keyed: r.keyed,
		Idempotent: r.idempotent, Provisional: r.provisional, Reported: r.reported, Void: r.void,
		Outcome: r.outcome, Answer: r.answer, At: r.changedAt,
	}
}

// Restore adds the record described by state. If state violates the invariants
// of a record, Restore adds nothing and returns false.
func (s *Store) Restore(state RecordState) bool {
	request := poplar.NewRequest(state.Workspace, state.Key)
	record := &Record{
		request: request, budget: state.Budget, caller: state.Caller, router: state.Router,
		upstream: state.Upstream, digest: state.Digest, nonce: state.Nonce, budgetSerial: state.Serial, callID: state.CallID, rank: state.Rank,
		state: state.State, attempt: state.Attempt, reserved: state.Reserved, spent: state.Spent,
		keyed: state.Keyed, idempotent: state.Idempotent, provisional: state.Provisional, reported: state.Reported,
		void: state.Void, outcome: state.Outcome, changedAt: state.At,
	}
	if !record.Valid() || state.State > Settled {
		return false
	}
	s.records[request] = record
	if record.state == Settled || record.state == Idle {
		s.endReservation(record)
	} else {
		s.reserving[request] = record
	}
	if record.state == Settled {
		s.storeAnswer(record, state.Answer)
	}
	if record.keyed && !record.reported && (record.state == Settled || record.state == Idle || record.state == Unknown) {
		s.unconfirmed[request] = true
	}
	return true
}

// FinishRestore sorts the queue of records and claims to expire. It must be called
// after all records and claims of a snapshot are restored.
func (s *Store) FinishRestore() {
	sort.SliceStable(s.expiryQueue, func(i, j int) bool { return s.expiryQueue[i].at.Before(s.expiryQueue[j].at) })
}

// RestoreHorizon sets the time before which settled records have expired.
func (s *Store) RestoreHorizon(horizon time.Time) { s.horizon = horizon }
