package member

import (
	"reflect"
	"time"

	"poplarbend.example/poplar"
)

// This file holds what upstreams say to this daemon: the own card.

// Announce takes a notice that an upstream sent to this daemon, and makes this
// daemon its owner. A renewal changes nothing on the card.
func (m *Machine) Announce(n poplar.Announcement, now time.Time) []Envelope {
	m.advance(now)
	if d, ok := m.gone[n.Upstream]; ok && n.Incarnation <= d.life {
		return nil
	}
	e := m.self.entries[n.Upstream]
	if e != nil && e.Notice.Incarnation == n.Incarnation && n.Sequence <= e.Notice.Sequence {
		return nil
	}
	if e == nil && len(m.self.entries) >= maxEntries {
		return nil
	}
	same := e != nil && e.Vouch == vouched && sameNotice(e.Notice, n)
	if e == nil || e.Notice.Incarnation != n.Incarnation {
		e = &entry{Slot: m.freeSlot(n.Upstream)}
		m.self.entries[n.Upstream] = e
	}
	e.Notice, e.renewed, e.Vouch = n, now, vouched
	m.view = nil
	if !same {
		e.Version = m.nextVersion()
	}
	return nil
}

// sameNotice reports whether two notices differ in their sequence only.
func sameNotice(a, b poplar.Announcement) bool {
	a.Sequence = b.Sequence
	return reflect.DeepEqual(a, b)
}

// Load takes a load report of an upstream that this daemon owns. It is spread
// with a later beat, when it has changed by a step.
func (m *Machine) Load(l poplar.Load, now time.Time) {
	m.advance(now)
	e := m.self.entries[l.Upstream]
	if e == nil || e.Notice.Incarnation != l.Incarnation || e.load.Incarnation == l.Incarnation && l.Sequence <= e.load.Sequence {
		return
	}
	e.load, e.loadAt = l, now.Add(-time.Duration(l.Age)*time.Millisecond)
	m.view = nil
}

// Leave takes an upstream's leave. It is told to the whole domain at once, again
// with the next tick, and stays on this daemon's card for those who miss both.
func (m *Machine) Leave(l poplar.Leave, now time.Time) []Envelope {
	m.advance(now)
	if !m.depart(l) {
		return nil
	}
	e := m.self.entries[l.Upstream]
	if e == nil {
		e = &entry{Slot: m.freeSlot(l.Upstream)}
		m.self.entries[l.Upstream] = e
	}
	e.Vouch, e.Notice, e.renewed = departed, poplar.Announcement{Stamp: l.Stamp}, time.Time{}
	e.Version = m.nextVersion()
	m.again = append(m.again, l)
	m.pulsate()
	return m.broadcast([]poplar.Leave{l})
}

// Stop tells the domain that this daemon leaves. No later call is made.
func (m *Machine) Stop(now time.Time) []Envelope {
	m.advance(now)
	m.self.left = true
	m.pulsate()
	return m.broadcast(nil)
}

// depart records a leave and reports whether it is news.
func (m *Machine) depart(l poplar.Leave) bool {
	d, ok := m.gone[l.Upstream]
	if l.Upstream == "" || len(l.Upstream) > maxName || ok && l.Incarnation <= d.life {
		return false
	}
	if !ok && len(m.gone) >= maxPeers*8 {
		return false
	}
	m.gone[l.Upstream] = departure{life: l.Incarnation, at: m.now}
	m.view = nil
	if e := m.self.entries[l.Upstream]; e != nil && e.Notice.Incarnation <= l.Incarnation && e.Vouch == vouched {
		e.Vouch, e.renewed = departed, time.Time{}
		e.Version = m.nextVersion()
	}
	m.lost(l.Upstream)
	return true
}

// lapse stops to vouch for upstreams that have been silent, and reports whether
// there was one.
func (m *Machine) lapse() bool {
	found := false
	for _, e := range m.self.sorted() {
		if e.Vouch == vouched && m.now.Sub(e.renewed) >= dropAfter {
			e.Vouch, e.renewed = dropped, time.Time{}
			e.Version = m.nextVersion()
			m.lost(e.Notice.Upstream)
			found = true
		}
	}
	return found
}

// nextVersion changes the own card. The next beat names the new version.
func (m *Machine) nextVersion() uint64 {
	m.self.have++
	m.self.version = m.self.have
	m.view = nil
	return m.self.have
}

// freeSlot returns the slot of an upstream on the own card, or an unused one.
func (m *Machine) freeSlot(name poplar.Upstream) int {
	if e := m.self.entries[name]; e != nil {
		return e.Slot
	}
	used := make(map[int]bool, len(m.self.entries))
	for _, e := range m.self.entries {
		used[e.Slot] = true
	}
	slot := 0
	for used[slot] {
		slot++
	}
	return slot
}

// oldest is the age of the oldest renewal that the own beat vouches for.
func (m *Machine) oldest() time.Duration {
	age := time.Duration(0)
	for _, e := range m.self.entries {
		if e.Vouch == vouched {
			age = max(age, m.self.made.Sub(e.renewed))
		}
	}
	return age
}

// changedLoads returns the own loads that differ from what was last spread, and
// now and then all of them, for those who missed some.
func (m *Machine) changedLoads() []slotLoad {
	all := m.now.Sub(m.allLoadsAt) >= allLoadsEvery
	if all {
		m.allLoadsAt = m.now
	}
	var out []slotLoad
	for _, e := range m.self.sorted() {
		if code := codeOf(e.load); e.Vouch == vouched && (all || code != e.sent) {
			e.sent = code
			out = append(out, slotLoad{slot: e.Slot, code: code})
		}
	}
	return out
}

// takeLoads takes the loads that came with the newest beat of p.
func (m *Machine) takeLoads(p *peer) {
	for _, l := range p.loads {
		for _, e := range p.entries {
			if e.Slot != l.slot || e.Vouch != vouched {
				continue
			}
			e.load, e.loadAt = l.code.load(), p.made
			e.load.Stamp = poplar.Stamp{Upstream: e.Notice.Upstream, Incarnation: e.Notice.Incarnation, Sequence: p.beat}
			e.load.Age = m.now.Sub(p.made).Milliseconds()
			m.note(Change{Kind: Loaded, Load: e.load})
		}
	}
}

// forget drops what is too old to matter: dead daemons, leaves, and entries of
// the own card that say only that an upstream is gone.
func (m *Machine) forget() {
	for id, p := range m.peers {
		if p != m.self && m.running-p.heard > forgetAfter {
			delete(m.peers, id)
			if m.byName[p.name] == p {
				delete(m.byName, p.name)
			}
		}
	}
	for name, d := range m.gone {
		if m.now.Sub(d.at) > forgetAfter {
			delete(m.gone, name)
			if e := m.self.entries[name]; e != nil && e.Vouch == departed {
				m.self.floor = max(m.self.floor, e.Version)
				delete(m.self.entries, name)
			}
		}
	}
}
