package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarbend.example/poplar"
)

// peerID is a hash of a daemon's name. A daemon whose ID is already taken by
// another name is rejected; with 390 daemons the probability of a collision is
// 1 in 50,000.
type peerID uint32

func idOf(name poplar.Daemon) peerID { return peerID(xxhash.Sum64String(string(name))) }

// entryStatus is the state of an upstream as announced by its owner.
type entryStatus uint8

const (
	statusLive    entryStatus = iota // renewed in time
	statusExpired                    // silent for ownerExpiry
	statusLeft                       // left permanently in this incarnation
)

// entry is one upstream in its owner's catalog.
type entry struct {
	Slot    int                 `json:"slot"`
	Version uint64              `json:"ver"` // invariant: unique within the catalog
	Status  entryStatus         `json:"vouch,omitempty"`
	Notice  poplar.Announcement `json:"notice"`

	renewed  time.Time   // at the owner only
	load     poplar.Load // the newest report
	loadAt   time.Time   // when the report was taken
	sentLoad loadCode    // at the owner only: the last report that was sent
}

// peer is the state of one daemon, this one included, and of the upstreams it
// owns.
type peer struct {
	id            peerID
	name          poplar.Daemon // empty until a delta of its catalog has arrived
	domain        poplar.Domain
	address       string
	incarnation   uint64
	seq           uint64 // invariant: grows within an incarnation
	left          bool
	heartbeatAt   time.Time     // when the newest heartbeat was made, by this clock
	oldestRenewal time.Duration // age of the oldest renewal when the newest heartbeat was made
	lastContact   time.Duration // active time when a newer heartbeat last arrived
	reportedState State

	latestVersion uint64     // catalog version named by the newest heartbeat
	heldVersion   uint64     // catalog version held here; invariant: grows within an incarnation
	removedUpTo   uint64     // entries removed from the catalog had versions up to this one
	confirmedAt   time.Time  // every live entry was renewed at or after this time
	requestedAt   time.Time  // when a catalog delta was last requested
	loads         []slotLoad // loads carried by the newest heartbeat
	forwards      int        // how often the newest heartbeat was forwarded
	entries       map[poplar.Upstream]*entry
}

func newPeer(id peerID) *peer {
	return &peer{id: id, entries: map[poplar.Upstream]*entry{}}
}

// newer reports whether incarnation and seq are past the newest known heartbeat
// of p.
func (p *peer) newer(incarnation, seq uint64) bool {
	return incarnation > p.incarnation || incarnation == p.incarnation && seq > p.seq
}

// supersedes reports whether a heartbeat from p itself belongs to an earlier
// incarnation than the known one: its clock or its start count has gone back.
func (p *peer) supersedes(b *heartbeat) bool { return b.incarnation < p.incarnation }

// resetIncarnation discards the catalog of an earlier incarnation.
func (p *peer) resetIncarnation(incarnation uint64) {
	p.incarnation, p.seq, p.left = incarnation, 0, false
	p.latestVersion, p.heldVersion, p.removedUpTo = 0, 0, 0
	p.confirmedAt = time.Time{}
	clear(p.entries)
}

// due returns when an upstream of p stops receiving new work.
func (p *peer) due(e *entry) time.Time {
	if !e.renewed.IsZero() {
		return e.renewed.Add(RenewalTimeout)
	}
	return p.confirmedAt.Add(RenewalTimeout)
}

// sorted returns the entries in order of their versions.
func (p *peer) sorted() []*entry {
	out := make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// catalogDelta is a part of a peer's catalog: the entries with versions after
// From, up to To.
type catalogDelta struct {
	Name        poplar.Daemon `json:"name"`
	Domain      poplar.Domain `json:"domain"`
	Address     string        `json:"addr"`
	Incarnation uint64        `json:"life"`
	From        uint64        `json:"from"`
	To          uint64        `json:"upto"`
	// Reset is true when the delta replaces the held catalog, because removals
	// since the requested version are no longer recorded.
	Reset   bool    `json:"reset,omitempty"`
	Entries []entry `json:"entries,omitempty"`
}

// delta returns the catalog after the version from, in about room bytes at
// most.
func (p *peer) delta(from uint64, room int) catalogDelta {
	c := catalogDelta{Name: p.name, Domain: p.domain, Address: p.address, Incarnation: p.incarnation, From: from, To: p.heldVersion}
	if from < p.removedUpTo {
		c.From, c.Reset = 0, true
	}
	for _, e := range p.sorted() {
		if e.Version <= c.From {
			continue
		}
		room -= sizeOf(e.Notice)
		if room < 0 && len(c.Entries) > 0 {
			c.To = c.Entries[len(c.Entries)-1].Version
			break
		}
		c.Entries = append(c.Entries, entry{Slot: e.Slot, Version: e.Version, Status: e.Status, Notice: e.Notice})
	}
	return c
}

// sizeOf estimates the encoded size of a notice in bytes.
func sizeOf(n poplar.Announcement) int {
	size := 140 + len(n.Upstream) + len(n.Address) + len(n.Domain)
	for _, m := range n.Models {
		size += len(m) + 3
	}
	for _, s := range n.Services {
		size += len(s) + 3
	}
	if n.Memory > 0 || len(n.Loaded) > 0 {
		size += 60 // fields of an engine that loads models on orders
	}
	for _, l := range n.Loaded {
		size += len(l.Model) + len(l.Version) + 28
	}
	return size
}
