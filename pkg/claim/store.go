// Package claim stores the request records of a ledger: where each request
// runs, which requests are billed, and, at the home domain of a keyed request,
// which domain may run it. The package does no I/O. The caller makes each
// change durable before it reports it to anyone.
package claim

import (
	"time"
	"unique"

	"poplarbend.example/poplar"
)

// This file implements the set of request records and their changes.

// Limits bound the memory of a Store.
type Limits struct {
	// AnswerBytes is the largest size of one stored answer, in bytes.
	AnswerBytes int
	// TotalAnswerBytes is the largest total size of all stored answers, in bytes.
	TotalAnswerBytes int
	// Tombstones is the largest number of stored fingerprints of expired keys.
	Tombstones int
	// Window is how long a settled record is retained.
	Window time.Duration
	// Unkeyed is the largest number of settled records with generated keys. Such
	// a key cannot arrive again, so its record only serves a repeated
	// settlement and the operators' list of bills.
	Unkeyed int
}

// DefaultLimits retains records for 15 minutes, the latest 2^14 records with
// generated keys, answers of up to 64 KiB each and 8 MiB in total, and 2^18
// fingerprints.
var DefaultLimits = Limits{
	AnswerBytes: 64 << 10, TotalAnswerBytes: 8 << 20, Tombstones: 1 << 18, Window: 15 * time.Minute, Unkeyed: 1 << 14,
}

// Store stores the request records and claims of one ledger. It is not safe for
// concurrent use.
type Store struct {
	limits      Limits
	records     map[poplar.Request]*Record
	claims      map[poplar.Request]*Claim
	tombstones  *Tombstones
	answerBytes int              // invariant: total size of the stored answers, <= limits.TotalAnswerBytes
	answerQueue []poplar.Request // requests with a stored answer, oldest first; may include expired requests
	// unconfirmed contains the keyed requests that are settled, idle or unknown
	// and whose outcome the home domain has not confirmed yet.
	unconfirmed map[poplar.Request]bool
	reserving   map[poplar.Request]*Record // invariant: the records with a reservation
	expiryQueue []expiryEntry              // in the order in which records and claims ended
	unkeyed     []poplar.Request           // settled requests with generated keys, oldest first
	horizon     time.Time                  // invariant: settled claims and confirmed settled records from before it have expired
}

// New returns an empty Store.
func New(limits Limits) *Store {
	return &Store{
		limits:      limits,
		records:     map[poplar.Request]*Record{},
		claims:      map[poplar.Request]*Claim{},
		tombstones:  NewTombstones(limits.Tombstones),
		unconfirmed: map[poplar.Request]bool{}, reserving: map[poplar.Request]*Record{},
	}
}

// expiryEntry contains the time at which a record or claim ended. The record or
// claim may be deleted after the record window, unless it changed in the
// meantime.
type expiryEntry struct {
	request poplar.Request
	at      time.Time
}

// Record returns the record of request, or nil.
func (s *Store) Record(request poplar.Request) *Record { return s.records[request] }

// Len returns the number of records.
func (s *Store) Len() int { return len(s.records) }

// Tombstones returns the fingerprints of expired keys.
func (s *Store) Tombstones() *Tombstones { return s.tombstones }

// Horizon returns the time before which settled records have expired.
func (s *Store) Horizon() time.Time { return s.horizon }

// Each calls visit for every record until visit returns false.
func (s *Store) Each(visit func(*Record) bool) {
	for _, record := range s.records {
		if !visit(record) {
			return
		}
	}
}

// maxAheadWindows bounds how far the time in a key may be ahead of the horizon,
// as a multiple of the record window. The key of a later time is treated like
// an opaque key, because its time would not get it refused soon enough.
const maxAheadWindows = 4

// CheckNew returns an error if a request without a record may have run earlier
// or could not be recognized later. The code is CodeExpired, with run state
// RunUnknown since the request may have run, if the key has expired or contains
// a time before the horizon. It is CodeLarge if the request is not idempotent,
// its key is opaque or contains a time too far ahead, and no further
// fingerprint can be stored.
func (s *Store) CheckNew(request poplar.Request, idempotent bool) error {
	if _, ok := s.tombstones.Lookup(request); ok {
		return poplar.Failf(poplar.StepClaim, poplar.CodeExpired, "key %q is past the record window", request.Key())
	}
	at, dated := KeyTime(request.Key())
	if dated && at.Before(s.horizon) {
		return poplar.Failf(poplar.StepClaim, poplar.CodeExpired,
			"key %q is dated %s, before the record window", request.Key(), at.UTC().Format(time.RFC3339))
	}
	tooFarAhead := at.After(s.horizon.Add(maxAheadWindows * s.limits.Window))
	if (!dated || tooFarAhead) && !idempotent && s.tombstones.Full() {
		return poplar.Failf(poplar.StepClaim, poplar.CodeLarge,
			"too many opaque keys of non-idempotent requests are stored: use a UUID of version 7 as key").
			Ran(poplar.RunNo)
	}
	return nil
}

// EachReserving calls visit for every record with a reservation.
func (s *Store) EachReserving(visit func(*Record)) {
	for _, record := range s.reserving {
		visit(record)
	}
}

// ReservingCount returns the number of records with a reservation.
func (s *Store) ReservingCount() int { return len(s.reserving) }

// Start records that an attempt of the request in req starts with the given
// reservation. It creates the record if there is none.
//
// Names are interned to save memory, because each router message contains its
// own copies of them.
func (s *Store) Start(req poplar.ReserveRequest, attempt poplar.Attempt, reserved poplar.Tokens, nonce uint64, at time.Time) *Record {
	req.Workspace, req.Budget, req.Caller = intern(req.Workspace), intern(req.Budget), intern(req.Caller)
	req.Router, req.Upstream = intern(req.Router), intern(req.Upstream)
	request := poplar.NewRequest(req.Workspace, req.Key)
	record := s.records[request]
	if record == nil {
		record = &Record{
			request: request, budget: req.Budget, caller: req.Caller, digest: req.Digest,
			keyed: req.Keyed, idempotent: req.Idempotent, rank: req.Rank,
		}
		s.records[request] = record
	}
	delete(s.unconfirmed, request)
	record.budget, record.digest, record.idempotent = req.Budget, req.Digest, req.Idempotent
	record.router, record.upstream, record.callID = req.Router, req.Upstream, req.CallID
	record.attempt, record.reserved, record.nonce = attempt, reserved, nonce
	record.state, record.changedAt = Open, at
	record.provisional, record.reported = false, false
	s.reserving[request] = record
	return record
}

func intern[T ~string](name T) T { return unique.Make(name).Value() }

// Charge records the serial number of the budget that is charged. Each creation
// of a budget gets a new number.
func (r *Record) Charge(serial uint64) { r.budgetSerial = serial }

// Extend sets the reservation of an open attempt, and its upstream if upstream
// is not empty.
func (r *Record) Extend(reserved poplar.Tokens, upstream poplar.Upstream) {
	r.reserved = reserved
	if upstream != "" {
		r.upstream = upstream
	}
}

// MarkProvisional marks the record as run without a claim.
func (r *Record) MarkProvisional() { r.provisional = true }

// MarkOrphaned marks an open attempt whose router left the fleet or restarted.
func (r *Record) MarkOrphaned(at time.Time) {
	if r.state == Open {
		r.state, r.changedAt = Orphan, at
	}
}

// Settle ends the latest attempt. After OutcomeUnknown the reservation remains.
// After OutcomeNotRun the key may be used again. An idle record with a generated
// key is deleted at once, since its key cannot arrive again. The answer is
// stored if the limits permit.
func (s *Store) Settle(record *Record, settlement poplar.Settlement, at time.Time) {
	record.changedAt, record.outcome = at, settlement.Outcome
	switch settlement.Outcome {
	case poplar.OutcomeUnknown:
		record.state = Unknown
	case poplar.OutcomeNotRun:
		record.state, record.reserved = Idle, 0
		s.endReservation(record)
	default:
		record.state, record.reserved, record.spent = Settled, 0, settlement.Spent
		s.storeAnswer(record, settlement.Response)
		s.endReservation(record)
	}
	if record.keyed {
		s.unconfirmed[record.request] = true
	}
}

// endReservation records that a settled or idle record no longer has a
// reservation, and schedules its expiry. An idle record with a generated key is
// deleted at once, and so is the oldest settled one when there are more than
// Limits.Unkeyed.
func (s *Store) endReservation(record *Record) {
	delete(s.reserving, record.request)
	switch {
	case record.keyed:
		s.expiryQueue = append(s.expiryQueue, expiryEntry{record.request, record.changedAt})
		return
	case record.state == Idle:
		delete(s.records, record.request)
		return
	}
	s.expiryQueue = append(s.expiryQueue, expiryEntry{record.request, record.changedAt})
	s.unkeyed = append(s.unkeyed, record.request)
	if len(s.unkeyed) > s.limits.Unkeyed {
		delete(s.records, s.unkeyed[0])
		s.unkeyed = s.unkeyed[1:]
	}
}

func (s *Store) storeAnswer(record *Record, answer []byte) {
	if !record.keyed || len(answer) == 0 || len(answer) > s.limits.AnswerBytes {
		return
	}
	record.answer = answer
	s.answerBytes += len(answer)
	s.answerQueue = append(s.answerQueue, record.request)
	for s.answerBytes > s.limits.TotalAnswerBytes {
		s.dropAnswer(s.records[s.answerQueue[0]])
		s.answerQueue = s.answerQueue[1:]
	}
}

func (s *Store) dropAnswer(record *Record) {
	if record == nil {
		return
	}
	s.answerBytes -= len(record.answer)
	record.answer = nil
}

// Unconfirmed returns up to limit records whose outcome the home domain has not
// confirmed and for which match returns true.
func (s *Store) Unconfirmed(limit int, match func(*Record) bool) []*Record {
	var due []*Record
	for request := range s.unconfirmed {
		if len(due) == limit {
			break
		}
		if record := s.records[request]; match(record) {
			due = append(due, record)
		}
	}
	return due
}

// Confirm records that the home domain knows the outcome of record.
func (s *Store) Confirm(record *Record) {
	record.reported, record.provisional = true, false
	delete(s.unconfirmed, record.request)
}

// Void cancels the charge of a settled record because another domain billed the
// request.
func (s *Store) Void(record *Record) {
	record.spent, record.void = 0, true
	s.Confirm(record)
}

// EndForOther settles a record that is not yet settled, without a charge,
// because another domain billed the request.
func (s *Store) EndForOther(record *Record, at time.Time) {
	record.state, record.reserved, record.changedAt = Settled, 0, at
	record.outcome = poplar.OutcomeIncomplete
	s.endReservation(record)
	s.Void(record)
}

// Expire deletes the settled and idle records and the settled claims that last
// changed before horizon. Records that are open, orphaned, unknown or
// unconfirmed remain. Expired keys leave a fingerprint; that of a key with an
// old enough time in it may be deleted later, since the time is enough to
// refuse the key.
func (s *Store) Expire(horizon time.Time) {
	if !horizon.After(s.horizon) {
		return
	}
	s.horizon = horizon
	for len(s.expiryQueue) > 0 && s.expiryQueue[0].at.Before(horizon) {
		request := s.expiryQueue[0].request
		s.expiryQueue = s.expiryQueue[1:]
		s.removeExpired(request, horizon)
	}
}

func (s *Store) removeExpired(request poplar.Request, horizon time.Time) {
	if s.unconfirmed[request] {
		s.expiryQueue = append(s.expiryQueue, expiryEntry{request, horizon})
	} else if record := s.records[request]; record != nil && record.changedAt.Before(horizon) && s.reserving[request] == nil {
		s.dropAnswer(record)
		delete(s.records, request)
		if record.keyed {
			s.addTombstone(request, "", record.idempotent)
		}
	}
	claim := s.claims[request]
	if claim != nil && claim.settled && claim.changedAt.Before(horizon) {
		delete(s.claims, request)
		s.addTombstone(request, claim.domain, claim.idempotent)
	}
}

func (s *Store) addTombstone(request poplar.Request, domain poplar.Domain, idempotent bool) {
	at, dated := KeyTime(request.Key())
	refusedByDate := dated && at.Before(s.horizon) // the time in the key is enough to refuse it
	s.tombstones.Add(request, domain, idempotent || refusedByDate)
}
