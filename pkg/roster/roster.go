// Package roster records what upstreams announce about themselves.
// Announcements arrive late, duplicated and out of order at any of the control
// daemons. They are ordered by the start time of the upstream and a sequence
// number, so that all rosters converge on the latest announcement.
package roster

import (
	"time"

	"poplarbend.example/poplar"
)

// State is the state that an upstream announces.
type State string

// The states of an upstream.
const (
	StateReady State = "ready"
	// StateLeaving is the state of an upstream that takes no new work.
	StateLeaving State = "leaving"
	// StateRemoved is the state of an upstream that has ended.
	StateRemoved State = "gone"
)

// Announcement is one announcement of an upstream.
type Announcement struct {
	Name      poplar.Upstream `json:"name"`
	Service   poplar.Service  `json:"service,omitempty"`
	Address   string          `json:"at,omitempty"`
	Domain    poplar.Domain   `json:"domain,omitempty"`
	Slots     int             `json:"slots,omitempty"`
	State     State           `json:"state"`
	StartedAt int64           `json:"born,omitempty"` // incarnation: Unix time of the start in milliseconds, 0 if unknown
	Sequence  uint64          `json:"seq,omitempty"`
}

// supersedes reports whether the same upstream issued a after other. Within one
// incarnation an upstream that leaves does not return. An announcement without a
// start time belongs to the known incarnation.
func (a Announcement) supersedes(other Announcement) bool {
	if a.StartedAt != other.StartedAt && a.StartedAt != 0 && other.StartedAt != 0 {
		return a.StartedAt > other.StartedAt
	}
	if a.State != other.State {
		return a.State == StateRemoved || (a.State == StateLeaving && other.State == StateReady)
	}
	return a.Sequence > other.Sequence
}

// Entry is the known state of an upstream.
type Entry struct {
	Announcement
	// Silent is true if the upstream has not announced itself within the
	// silence timeout.
	Silent bool `json:"silent,omitempty"`
}

// Roster is the set of upstreams that have announced themselves to a control
// daemon. It is not safe for concurrent use.
type Roster struct {
	silenceTimeout time.Duration
	entries        map[poplar.Upstream]*record
	version        uint64
}

type record struct {
	entry       Entry
	lastContact time.Time
	version     uint64 // invariant: version of the roster at the last change that routers need
}

// retention is how long an upstream is remembered after its last contact, so
// that delayed announcements of an ended upstream are recognized as outdated.
const retention = 2 * time.Minute

// New returns an empty roster. An upstream without contact for silenceTimeout
// counts as silent.
func New(silenceTimeout time.Duration) *Roster {
	return &Roster{silenceTimeout: silenceTimeout, entries: map[poplar.Upstream]*record{}, version: 1}
}

// Apply processes an announcement received at now. It reports whether the state
// that routers need has changed.
func (r *Roster) Apply(a Announcement, now time.Time) bool {
	rec := r.entries[a.Name]
	if rec == nil {
		if r.addressTaken(a) {
			return false
		}
		r.version++
		r.entries[a.Name] = &record{entry: Entry{Announcement: a}, lastContact: now, version: r.version}
		return true
	}
	if !a.supersedes(rec.entry.Announcement) {
		return false
	}
	rec.lastContact = now
	if a.State == StateRemoved {
		service, address := rec.entry.Service, rec.entry.Address
		if a.Service == "" {
			a.Service, a.Address = service, address
		}
		a.StartedAt = max(a.StartedAt, rec.entry.StartedAt)
	}
	changed := rec.entry.Silent || a.State != rec.entry.State || a.StartedAt != rec.entry.StartedAt ||
		a.Address != rec.entry.Address || a.Service != rec.entry.Service
	rec.entry = Entry{Announcement: a}
	if changed {
		r.version++
		rec.version = r.version
	}
	return changed
}

// StartedAt returns the start of the last known run of an upstream, or 0 if it is not known.
func (r *Roster) StartedAt(name poplar.Upstream) int64 {
	if rec := r.entries[name]; rec != nil {
		return rec.entry.StartedAt
	}
	return 0
}

// addressTaken reports whether another upstream that started later uses the
// address of a.
func (r *Roster) addressTaken(a Announcement) bool {
	for _, rec := range r.entries {
		if rec.entry.Address == a.Address && rec.entry.State != StateRemoved && a.StartedAt != 0 && rec.entry.StartedAt > a.StartedAt {
			return true
		}
	}
	return false
}

// Sweep marks silent upstreams and removes those without contact for the
// retention time. It reports whether the state that routers need has changed.
func (r *Roster) Sweep(now time.Time) bool {
	changed := false
	for name, rec := range r.entries {
		age := now.Sub(rec.lastContact)
		if age > retention {
			delete(r.entries, name)
			changed = changed || rec.entry.State != StateRemoved
			continue
		}
		if !rec.entry.Silent && rec.entry.State == StateReady && age > r.silenceTimeout {
			rec.entry.Silent = true
			rec.version = r.version + 1
			changed = true
		}
	}
	if changed {
		r.version++
	}
	return changed
}

// Version increases with each change of the state that routers need.
func (r *Roster) Version() uint64 { return r.version }

// Entries returns all known upstreams, in no particular order.
func (r *Roster) Entries() []Entry { return r.EntriesSince(0) }

// EntriesSince returns the upstreams that have changed since the roster had the
// given version, in no particular order. Upstreams that were removed from the
// roster since then are not returned.
func (r *Roster) EntriesSince(version uint64) []Entry {
	var list []Entry
	for _, rec := range r.entries {
		if rec.version > version {
			list = append(list, rec.entry)
		}
	}
	return list
}
