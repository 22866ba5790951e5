// Package roster records what upstreams announce about themselves.
// Announcements arrive late, duplicated and out of order at any of the control
// daemons. Each is ordered by the start time of the upstream and its sequence
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

// supersedes reports whether the same upstream issued n after m. Within one
// incarnation an upstream that leaves does not return. A notice without a
// start time belongs to the known incarnation.
func (n Announcement) supersedes(m Announcement) bool {
	if n.StartedAt != m.StartedAt && n.StartedAt != 0 && m.StartedAt != 0 {
		return n.StartedAt > m.StartedAt
	}
	if n.State != m.State {
		return n.State == StateRemoved || (n.State == StateLeaving && m.State == StateReady)
	}
	return n.Sequence > m.Sequence
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
}

// retention is how long an upstream is remembered after its last contact, so
// that late announcements of an ended upstream are recognized as late.
const retention = 2 * time.Minute

// New returns an empty roster. An upstream without contact for silenceTimeout
// counts as silent.
func New(silenceTimeout time.Duration) *Roster {
	return &Roster{silenceTimeout: silenceTimeout, entries: map[poplar.Upstream]*record{}, version: 1}
}

// Apply processes an announcement. It reports whether the state that routers
// need has changed.
func (r *Roster) Apply(n Announcement, now time.Time) bool {
	rec := r.entries[n.Name]
	if rec == nil {
		if r.addressTaken(n) {
			return false
		}
		r.entries[n.Name] = &record{entry: Entry{Announcement: n}, lastContact: now}
		r.version++
		return true
	}
	if !n.supersedes(rec.entry.Announcement) {
		return false
	}
	rec.lastContact = now
	if n.State == StateRemoved {
		service, address := rec.entry.Service, rec.entry.Address
		if n.Service == "" {
			n.Service, n.Address = service, address
		}
		n.StartedAt = max(n.StartedAt, rec.entry.StartedAt)
	}
	changed := rec.entry.Silent || n.State != rec.entry.State || n.StartedAt != rec.entry.StartedAt ||
		n.Address != rec.entry.Address || n.Service != rec.entry.Service
	rec.entry = Entry{Announcement: n}
	if changed {
		r.version++
	}
	return changed
}

// addressTaken reports whether another upstream that started later uses the
// address of n.
func (r *Roster) addressTaken(n Announcement) bool {
	for _, rec := range r.entries {
		if rec.entry.Address == n.Address && rec.entry.State != StateRemoved && n.StartedAt != 0 && rec.entry.StartedAt > n.StartedAt {
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
func (r *Roster) Entries() []Entry {
	list := make([]Entry, 0, len(r.entries))
	for _, rec := range r.entries {
		list = append(list, rec.entry)
	}
	return list
}
