package poison

import (
	"time"

	"poplarbend.example/poplar"
)

// Daemons exchange records. The structs below are wire messages.

// Fingerprint identifies the content of a request or a part of prompts. It is a
// hash that the caller of this package computes: for a request from the method, the
// URI, the body and possibly more, but not from the idempotency key.
type Fingerprint uint64

// Crash is one crash of an upstream that had the fingerprint in flight.
type Crash struct {
	Upstream poplar.Upstream `json:"up"`
	// Incarnation identifies the process start of the upstream that crashed, so
	// that a crash reported by several daemons counts once.
	Incarnation uint64    `json:"boot"`
	At          time.Time `json:"at"`
	// Concurrent is the number of other requests that the reporting daemon had
	// in flight at the upstream.
	Concurrent int `json:"beside"`
	// Begun is true if the upstream had begun to answer the request. A request that is
	// sound is often in flight at a crash with its answer begun, so this is weaker evidence.
	Begun bool `json:"begun,omitempty"`
}

// Record is what the fleet knows about one fingerprint.
type Record struct {
	Fingerprint Fingerprint `json:"print"`
	// Part is true if the fingerprint is that of a part of prompts.
	Part    bool    `json:"part,omitempty"`
	Crashes []Crash `json:"crashes"`
	// Cleared is the latest time at which an operator released the fingerprint
	// or it ran alone to its end. Crashes up to this time do not count.
	Cleared time.Time `json:"cleared"`
	// IsolatedOn is the upstream at which the fingerprint runs alone, until
	// IsolatedUntil at the latest. Merge prefers the later end; of equal ends
	// it prefers the greater upstream name.
	IsolatedOn    poplar.Upstream `json:"place,omitempty"`
	IsolatedUntil time.Time       `json:"until,omitzero"`
}

// BegunCrashes returns the number of crashes at which the answer had begun.
func (r Record) BegunCrashes() int {
	count := 0
	for _, c := range r.Crashes {
		if c.Begun {
			count++
		}
	}
	return count
}

// maxCrashes and maxPartCrashes bound the crashes stored in a record of a request and
// of a part. The latest ones are retained.
const (
	maxCrashes     = 8
	maxPartCrashes = 32
)

// Merge returns the union of what a and b report about the same fingerprint. It
// is commutative, associative and idempotent.
func Merge(a, b Record) Record {
	out := Record{Fingerprint: a.Fingerprint, Part: a.Part || b.Part, Cleared: a.Cleared}
	if b.Cleared.After(out.Cleared) {
		out.Cleared = b.Cleared
	}
	out.IsolatedOn, out.IsolatedUntil = a.IsolatedOn, a.IsolatedUntil
	if b.IsolatedUntil.After(a.IsolatedUntil) || b.IsolatedUntil.Equal(a.IsolatedUntil) && b.IsolatedOn > a.IsolatedOn {
		out.IsolatedOn, out.IsolatedUntil = b.IsolatedOn, b.IsolatedUntil
	}
	out.Crashes = append(out.Crashes, a.Crashes...)
	for _, c := range b.Crashes {
		out.Crashes = addCrash(out.Crashes, c)
	}
	limit := maxCrashes
	if out.Part {
		limit = maxPartCrashes
	}
	out.Crashes = latestCrashes(out.Crashes, out.Cleared, limit)
	return out
}
