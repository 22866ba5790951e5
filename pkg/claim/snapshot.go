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

// Restore adds the record described by image. If image violates the invariants
// of a record, Restore adds nothing and returns false.
func (b *Store) Restore(image RecordState) bool {
	request := poplar.NewRequest(image.Workspace, image.Key)
	record := &Record{
		request: request, budget: image.Budget, caller: image.Caller, router: image.Router,
		upstream: image.Upstream, digest: image.Digest, nonce: image.Nonce, budgetSerial: image.Serial, callID: image.CallID, rank: image.Rank,
		state: image.State, attempt: image.Attempt, reserved: image.Reserved, spent: image.Spent,
		keyed: image.Keyed, idempotent: image.Idempotent, provisional: image.Provisional, reported: image.Reported,
		void: image.Void, outcome: image.Outcome, changedAt: image.At,
	}
	if !record.Valid() || image.State > Settled {
		return false
	}
	b.records[request] = record
	if record.state == Settled || record.state == Idle {
		b.endReservation(record)
	} else {
		b.reserving[request] = record
	}
	if record.state == Settled {
		b.storeAnswer(record, image.Answer)
	}
	if record.keyed && !record.reported && (record.state == Settled || record.state == Idle || record.state == Unknown) {
		b.unconfirmed[request] = true
	}
	return true
}

// Restored must be called after all records and claims of a snapshot are
// restored.
func (b *Store) Restored() {
	sort.SliceStable(b.expiryQueue, func(i, j int) bool { return b.expiryQueue[i].at.Before(b.expiryQueue[j].at) })
}

// RestoreHorizon sets the time before which settled records have expired.
func (b *Store) RestoreHorizon(horizon time.Time) { b.horizon = horizon }
