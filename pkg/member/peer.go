package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarbend.example/poplar"
)

// This file holds what is known of one daemon and of the upstreams it owns.

// peerID is a short name of a daemon. A daemon whose id is taken by another
// name is refused; with 390 daemons the odds are 1 in 50,000.
type peerID uint32

func idOf(name poplar.Daemon) peerID { return peerID(xxhash.Sum64String(string(name))) }

// vouch is what an owner says of one of its upstreams.
type vouch uint8

const (
	vouched  vouch = iota // renewed in time
	dropped               // silent for dropAfter
	departed              // left for good in this life
)

// entry is one upstream on its owner's card.
type entry struct {
	Slot    int                 `json:"slot"`
	Version uint64              `json:"ver"` // invariant: unique on the card
	Vouch   vouch               `json:"vouch,omitempty"`
	Notice  poplar.Announcement `json:"notice"`

	renewed time.Time   // at the owner only
	load    poplar.Load // the newest report
	loadAt  time.Time   // when it was read
	sent    loadCode    // at the owner only: the last report that was spread
}

// peer is one daemon, this one included.
type peer struct {
	id      peerID
	name    poplar.Daemon // empty until its card has arrived
	domain  poplar.Domain
	address string
	life    uint64
	beat    uint64 // invariant: grows within a life
	left    bool
	made    time.Time     // when the newest beat was made, by this clock
	oldest  time.Duration // age of the oldest renewal when the newest beat was made
	heard   time.Duration // when a newer beat last arrived, on the machine's running time
	seen    State

	version uint64     // of the card when the newest beat was made
	have    uint64     // of the card, as held here; invariant: grows within a life
	floor   uint64     // entries removed from the card had versions up to here
	proven  time.Time  // every vouched entry was renewed at or after this
	asked   time.Time  // when the card was last asked for
	loads   []slotLoad // that came with the newest beat
	passed  int        // how often the newest beat was passed on
	entries map[poplar.Upstream]*entry
}

func newPeer(id peerID) *peer {
	return &peer{id: id, entries: map[poplar.Upstream]*entry{}}
}

// newer reports whether life and beat are past what is known of p.
func (p *peer) newer(life, beat uint64) bool {
	return life > p.life || life == p.life && beat > p.beat
}

// staler reports whether a beat from p itself is of an earlier life than is known
// of p: its clock or its count of starts has gone back.
func (p *peer) staler(b *pulse) bool { return b.life < p.life }

// reborn forgets the card of an earlier life.
func (p *peer) reborn(life uint64) {
	p.life, p.beat, p.left = life, 0, false
	p.version, p.have, p.floor = 0, 0, 0
	p.proven = time.Time{}
	clear(p.entries)
}

// due returns when an upstream of p gets no new work any more.
func (p *peer) due(e *entry) time.Time {
	if !e.renewed.IsZero() {
		return e.renewed.Add(RenewWithin)
	}
	return p.proven.Add(RenewWithin)
}

// sorted returns the entries in the order of their versions.
func (p *peer) sorted() []*entry {
	out := make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// card is a part of a peer's card: the entries past From up to Upto.
type card struct {
	Name    poplar.Daemon `json:"name"`
	Domain  poplar.Domain `json:"domain"`
	Address string        `json:"addr"`
	Life    uint64        `json:"life"`
	From    uint64        `json:"from"`
	Upto    uint64        `json:"upto"`
	// Reset is true when the part begins anew, since removals are forgotten.
	Reset   bool    `json:"reset,omitempty"`
	Entries []entry `json:"entries,omitempty"`
}

// part returns the card from a version on, of about room bytes at most.
func (p *peer) part(from uint64, room int) card {
	c := card{Name: p.name, Domain: p.domain, Address: p.address, Life: p.life, From: from, Upto: p.have}
	if from < p.floor {
		c.From, c.Reset = 0, true
	}
	for _, e := range p.sorted() {
		if e.Version <= c.From {
			continue
		}
		room -= sizeOf(e.Notice)
		if room < 0 && len(c.Entries) > 0 {
			c.Upto = c.Entries[len(c.Entries)-1].Version
			break
		}
		c.Entries = append(c.Entries, entry{Slot: e.Slot, Version: e.Version, Vouch: e.Vouch, Notice: e.Notice})
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
		size += 60 // the fields of an engine that takes orders
	}
	for _, l := range n.Loaded {
		size += len(l.Model) + len(l.Version) + 28
	}
	return size
}
