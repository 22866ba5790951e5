package member

import (
	"reflect"
	"time"

	"poplarbend.example/poplar"
)

// This file maintains the catalog of the upstreams that this daemon owns.

// Announce handles an announcement that an upstream sent to this daemon, and
// makes this daemon the upstream's owner. A mere renewal does not change the
// version of the catalog.
func (m *Machine) Announce(n poplar.Announcement, now time.Time) []Envelope {
	m.advance(now)
	if d, ok := m.departures[n.Upstream]; ok && n.Incarnation <= d.incarnation {
		return nil
	}
	e := m.self.entries[n.Upstream]
	if e != nil && e.Notice.Incarnation == n.Incarnation && n.Sequence <= e.Notice.Sequence {
		return nil
	}
	if e == nil && len(m.self.entries) >= maxEntries {
		return nil
	}
	same := e != nil && e.Status == statusLive && sameNotice(e.Notice, n)
	if e == nil || e.Notice.Incarnation != n.Incarnation {
		e = &entry{Slot: m.freeSlot(n.Upstream)}
		m.self.entries[n.Upstream] = e
	}
	e.Notice, e.renewed, e.Status = n, now, statusLive
	m.view = nil
	if !same {
		e.Version = m.nextVersion()
	}
	return nil
}

// sameNotice reports whether two notices are equal apart from their sequence
// numbers.
func sameNotice(a, b poplar.Announcement) bool {
	a.Sequence = b.Sequence
	return reflect.DeepEqual(a, b)
}

// Load handles a load report of an upstream that this daemon owns. The load is
// sent with a later heartbeat if its encoding has changed.
func (m *Machine) Load(l poplar.Load, now time.Time) {
	m.advance(now)
	e := m.self.entries[l.Upstream]
	if e == nil || e.Notice.Incarnation != l.Incarnation || e.load.Incarnation == l.Incarnation && l.Sequence <= e.load.Sequence {
		return
	}
	e.load, e.loadAt = l, now.Add(-time.Duration(l.Age)*time.Millisecond)
	m.view = nil
}

// Leave handles an upstream's leave. It is broadcast to the whole domain at
// once and again on the next tick, and stays in this daemon's catalog for
// daemons that miss both.
func (m *Machine) Leave(l poplar.Leave, now time.Time) []Envelope {
	m.advance(now)
	if !m.recordLeave(l) {
		return nil
	}
	e := m.self.entries[l.Upstream]
	if e == nil {
		e = &entry{Slot: m.freeSlot(l.Upstream)}
		m.self.entries[l.Upstream] = e
	}
	e.Status, e.Notice, e.renewed = statusLeft, poplar.Announcement{Stamp: l.Stamp}, time.Time{}
	e.Version = m.nextVersion()
	m.rebroadcast = append(m.rebroadcast, l)
	m.nextHeartbeat()
	return m.broadcast([]poplar.Leave{l})
}

// Stop announces to the domain that this daemon leaves.
func (m *Machine) Stop(now time.Time) []Envelope {
	m.advance(now)
	m.self.left = true
	m.nextHeartbeat()
	return m.broadcast(nil)
}

// recordLeave records a leave and reports whether it was unknown before.
func (m *Machine) recordLeave(l poplar.Leave) bool {
	d, ok := m.departures[l.Upstream]
	if l.Upstream == "" || len(l.Upstream) > maxName || ok && l.Incarnation <= d.incarnation {
		return false
	}
	if !ok && len(m.departures) >= maxPeers*8 {
		return false
	}
	m.departures[l.Upstream] = departure{incarnation: l.Incarnation, at: m.now}
	m.view = nil
	if e := m.self.entries[l.Upstream]; e != nil && e.Notice.Incarnation <= l.Incarnation && e.Status == statusLive {
		e.Status, e.renewed = statusLeft, time.Time{}
		e.Version = m.nextVersion()
	}
	m.emitGone(l.Upstream)
	return true
}

// expireSilent marks upstreams of this daemon that have been silent for
// ownerExpiry as expired, and reports whether there were any.
func (m *Machine) expireSilent() bool {
	found := false
	for _, e := range m.self.sorted() {
		if e.Status == statusLive && m.now.Sub(e.renewed) >= ownerExpiry {
			e.Status, e.renewed = statusExpired, time.Time{}
			e.Version = m.nextVersion()
			m.emitGone(e.Notice.Upstream)
			found = true
		}
	}
	return found
}

// nextVersion increments the version of this daemon's catalog. The next
// heartbeat names the new version.
func (m *Machine) nextVersion() uint64 {
	m.self.heldVersion++
	m.self.latestVersion = m.self.heldVersion
	m.view = nil
	return m.self.heldVersion
}

// freeSlot returns the slot of an upstream in this daemon's catalog, or an
// unused one.
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

// oldestRenewal returns the age of the oldest renewal that this daemon's
// heartbeat confirms.
func (m *Machine) oldestRenewal() time.Duration {
	age := time.Duration(0)
	for _, e := range m.self.entries {
		if e.Status == statusLive {
			age = max(age, m.self.heartbeatAt.Sub(e.renewed))
		}
	}
	return age
}

// changedLoads returns the loads of this daemon's upstreams that differ from
// those last sent, and all loads every fullLoadInterval, for daemons that
// missed some.
func (m *Machine) changedLoads() []slotLoad {
	all := m.now.Sub(m.allLoadsAt) >= fullLoadInterval
	if all {
		m.allLoadsAt = m.now
	}
	var out []slotLoad
	for _, e := range m.self.sorted() {
		if code := codeOf(e.load); e.Status == statusLive && (all || code != e.sentLoad) {
			e.sentLoad = code
			out = append(out, slotLoad{slot: e.Slot, code: code})
		}
	}
	return out
}

// applyLoads applies the loads carried by the newest heartbeat of p.
func (m *Machine) applyLoads(p *peer) {
	for _, l := range p.loads {
		for _, e := range p.entries {
			if e.Slot != l.slot || e.Status != statusLive {
				continue
			}
			e.load, e.loadAt = l.code.load(), p.heartbeatAt
			e.load.Stamp = poplar.Stamp{Upstream: e.Notice.Upstream, Incarnation: e.Notice.Incarnation, Sequence: p.seq}
			e.load.Age = m.now.Sub(p.heartbeatAt).Milliseconds()
			m.emit(Change{Kind: LoadReported, Load: e.load})
		}
	}
}

// prune removes outdated state: dead daemons, leaves, and catalog entries that
// record only that an upstream left.
func (m *Machine) prune() {
	for id, p := range m.peers {
		if p != m.self && m.activeTime-p.lastContact > removeAfter {
			delete(m.peers, id)
			if m.byName[p.name] == p {
				delete(m.byName, p.name)
			}
		}
	}
	for name, d := range m.departures {
		if m.now.Sub(d.at) > removeAfter {
			delete(m.departures, name)
			if e := m.self.entries[name]; e != nil && e.Status == statusLeft {
				m.self.removedUpTo = max(m.self.removedUpTo, e.Version)
				delete(m.self.entries, name)
			}
		}
	}
}
