package poison

import (
	"slices"
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
	// Events is the number of events of the answer that had arrived, of several answers the
	// most: what crashes an upstream after some events lets no answer get further.
	Events int `json:"events,omitempty"`
}

// Passed is an answer that got past the given number of events, so that a crash up to its time
// and after no more events had another cause.
type Passed struct {
	At     time.Time `json:"at"`
	Events int       `json:"events"`
}

// covers reports whether the answer shows that a crash had another cause.
func (p Passed) covers(c Crash) bool { return !c.At.After(p.At) && c.Events <= p.Events }

// Record is what the fleet knows about one fingerprint.
type Record struct {
	Fingerprint Fingerprint `json:"print"`
	// Part is true if the fingerprint is that of a part of prompts.
	Part    bool    `json:"part,omitempty"`
	Crashes []Crash `json:"crashes"`
	// Cleared is the latest time at which an operator released the fingerprint or it ran
	// alone to its end. Crashes up to this time do not count.
	Cleared time.Time `json:"cleared"`
	// Passed are whole answers, the oldest first. Crashes that they got past do not count any
	// more. None is both older than another one and has no more events. Ahead are the same of
	// answers that were not yet whole; crashes that these got past are weaker evidence.
	Passed []Passed `json:"passed,omitempty"`
	Ahead  []Passed `json:"ahead,omitempty"`
	// IsolatedOn is the upstream at which the fingerprint runs alone, until
	// IsolatedUntil at the latest. Merge prefers the later end; of equal ends
	// it prefers the greater upstream name.
	IsolatedOn    poplar.Upstream `json:"place,omitempty"`
	IsolatedUntil time.Time       `json:"until,omitzero"`
}

// BegunCrashes returns the number of crashes at which the answer had begun.
func (r Record) BegunCrashes() int {
	count := 0
	for _, c := range r.distinct() {
		if c.Begun {
			count++
		}
	}
	return count
}

// same reports whether two reports are of one crash.
func (c Crash) same(other Crash) bool {
	return c.Upstream == other.Upstream && c.Incarnation == other.Incarnation
}

// distinct returns the crashes in the order of their times. Of several reports of a crash it
// has the last one.
func (r Record) distinct() []Crash {
	repeated := func(i int) bool { return slices.ContainsFunc(r.Crashes[i+1:], r.Crashes[i].same) }
	for i := range r.Crashes {
		if !repeated(i) {
			continue
		}
		list := slices.Clone(r.Crashes[:i])
		for k := i; k < len(r.Crashes); k++ {
			if !repeated(k) {
				list = append(list, r.Crashes[k])
			}
		}
		return list
	}
	return r.Crashes
}

// crashCount returns the number of crashes, of which there may be several reports each.
func (r Record) crashCount() int { return len(r.distinct()) }

// common returns the number of crashes of r that are also crashes of other, or that other may have
// dropped because its list is full.
func (r Record) common(other Record) int {
	count := 0
	for _, c := range r.distinct() {
		dropped := len(other.Crashes) >= maxPartCrashes && c.At.Before(other.Crashes[0].At)
		if dropped || slices.ContainsFunc(other.Crashes, c.same) {
			count++
		}
	}
	return count
}

// covers reports whether all crashes of other are also crashes of r.
func (r Record) covers(other Record) bool { return r.common(other) == other.crashCount() }

// maxCrashes and maxPartCrashes bound the crashes stored in a record of a request and
// of a part, and maxPassed the answers. The latest ones are retained.
const (
	maxCrashes     = 8
	maxPartCrashes = 32
	maxPassed      = 8
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
	for _, p := range slices.Concat(a.Passed, b.Passed) {
		out.Passed = addPassed(out.Passed, p)
	}
	for _, p := range slices.Concat(a.Ahead, b.Ahead) {
		out.Ahead = addPassed(out.Ahead, p)
	}
	for _, c := range slices.Concat(a.Crashes, b.Crashes) {
		out.Crashes = addCrash(out.Crashes, c)
	}
	limit := maxCrashes
	if out.Part {
		limit = maxPartCrashes
	}
	out.Crashes = latestCrashes(out, limit)
	return out
}

// addPassed adds p and leaves out what it or another answer makes superfluous.
func addPassed(list []Passed, p Passed) []Passed {
	if slices.ContainsFunc(list, func(o Passed) bool { return !o.At.Before(p.At) && o.Events >= p.Events }) {
		return list
	}
	list = slices.DeleteFunc(list, func(o Passed) bool { return !p.At.Before(o.At) && p.Events >= o.Events })
	list = append(list, p)
	slices.SortFunc(list, func(x, y Passed) int { return x.At.Compare(y.At) })
	return list[max(0, len(list)-maxPassed):]
}

// clearedAt returns the latest time at which the record was cleared, in full or in part.
func (r Record) clearedAt() time.Time {
	at := r.Cleared
	for _, p := range r.Passed {
		if p.At.After(at) {
			at = p.At
		}
	}
	return at
}
