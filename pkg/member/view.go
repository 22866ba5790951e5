package member

import (
	"cmp"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

// This file holds what others read: the view and the changes.

// State is how a daemon seems from here.
type State uint8

// The states.
const (
	// Alive means that a beat was heard within SuspectAfter.
	Alive State = iota
	// Suspect means that none was.
	Suspect
	// Dead means that none was heard within DeadAfter. Its open requests may be
	// taken over; the ledger's attempt numbers fence a daemon that only paused.
	// Only daemons of the own domain are ever held for dead.
	Dead
	// Left means that the daemon said that it stops.
	Left
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// Kind is the kind of a change.
type Kind uint8

// The kinds of changes.
const (
	// Arrived means that an upstream of another daemon is new or renewed.
	Arrived Kind = iota
	// Loaded means that another daemon told of an upstream's load.
	Loaded
	// Gone means that an upstream gets no new work.
	Gone
	// Turned means that a daemon's state changed.
	Turned
)

// Change is one thing that happened since Changes was last called.
type Change struct {
	Kind   Kind
	Notice poplar.Announcement // of Arrived; only the name for Gone
	Due    time.Time           // of Arrived: when the upstream gets no new work
	Load   poplar.Load         // of Loaded
	Daemon Daemon              // of Turned
}

// Upstream is an upstream that may get new work until Due.
type Upstream struct {
	Notice poplar.Announcement
	Due    time.Time
	Owner  poplar.Daemon
	// Load is the newest report, read at LoadAt; it is zero when there is none.
	Load   poplar.Load
	LoadAt time.Time
}

// Daemon is one daemon of the fleet.
type Daemon struct {
	Name    poplar.Daemon
	Domain  poplar.Domain
	Address string
	Life    uint64
	State   State
}

// View is an immutable snapshot.
type View struct {
	// Upstreams are those of the own and other domains that may get new work, by
	// name.
	Upstreams []Upstream
	// Daemons are all that are known, by name.
	Daemons []Daemon
	// Domains are the sums of other domains that are younger than RenewWithin.
	Domains []Summary
	// Settled is false after the start, a pause or a silence, until a peer has
	// heard this daemon again. Until then it may be late without knowing.
	Settled bool
	// Revision and Epoch are the highest that any peer has in force. This daemon
	// is late when it has a lower one.
	Revision poplar.Revision
	Epoch    poplar.Epoch
}

// Late reports whether a peer has a higher revision or epoch in force than this
// daemon.
func (m *Machine) Late() bool { return m.topRev > m.revision || m.topEpoch > m.epoch }

// View returns the snapshot at the time of the last call.
func (m *Machine) View() *View {
	if m.view == nil {
		m.view = m.build()
	}
	return m.view
}

// Changes returns what happened since the last call, in order. It must be called
// after each Tick and Step, since changes are kept until then.
func (m *Machine) Changes() []Change {
	out := m.changes
	m.changes = nil
	return out
}

// note adds a change.
func (m *Machine) note(c Change) { m.changes = append(m.changes, c) }

// lost notes that an upstream is gone, unless another owner vouches for it.
func (m *Machine) lost(name poplar.Upstream) {
	if _, ok := m.best(name); !ok {
		m.note(Change{Kind: Gone, Notice: poplar.Announcement{Stamp: poplar.Stamp{Upstream: name}}})
	}
}

// best returns the upstream by the owner with the newest life and renewal.
func (m *Machine) best(name poplar.Upstream) (Upstream, bool) {
	var found Upstream
	ok := false
	for _, p := range m.peers {
		if e := p.entries[name]; e != nil && m.eligible(p, e) {
			if next := upstream(p, e); !ok || next.beats(found) {
				found, ok = next, true
			}
		}
	}
	return found, ok
}

func upstream(p *peer, e *entry) Upstream {
	return Upstream{Notice: e.Notice, Due: p.due(e), Owner: p.name, Load: e.load, LoadAt: e.loadAt}
}

// beats reports whether u is better known than other.
func (u Upstream) beats(other Upstream) bool {
	if u.Notice.Incarnation != other.Notice.Incarnation {
		return u.Notice.Incarnation > other.Notice.Incarnation
	}
	if !u.Due.Equal(other.Due) {
		return u.Due.After(other.Due)
	}
	return u.Owner < other.Owner
}

// eligible reports whether an upstream may get new work: its owner vouches for
// it, it has not left, and its last renewal is younger than RenewWithin.
func (m *Machine) eligible(p *peer, e *entry) bool {
	if e.Vouch != vouched || !m.now.Before(p.due(e)) {
		return false
	}
	d, left := m.gone[e.Notice.Upstream]
	return !left || e.Notice.Incarnation > d.life
}

func (m *Machine) build() *View {
	v := &View{Settled: m.settled, Revision: m.topRev, Epoch: m.topEpoch}
	ups := map[poplar.Upstream]Upstream{}
	for _, p := range m.peers {
		if p.name == "" {
			continue
		}
		v.Daemons = append(v.Daemons, m.daemon(p))
		for name, e := range p.entries {
			if !m.eligible(p, e) {
				continue
			}
			next := upstream(p, e)
			if had, ok := ups[name]; !ok || next.beats(had) {
				ups[name] = next
			}
		}
	}
	for _, u := range ups {
		v.Upstreams = append(v.Upstreams, u)
	}
	for _, s := range m.sums {
		if s.Domain != m.conf.Domain && m.now.Sub(s.Made) < RenewWithin {
			v.Domains = append(v.Domains, s)
		}
	}
	slices.SortFunc(v.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Notice.Upstream, b.Notice.Upstream) })
	slices.SortFunc(v.Daemons, func(a, b Daemon) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(v.Domains, func(a, b Summary) int { return cmp.Compare(a.Domain, b.Domain) })
	return v
}

func (m *Machine) daemon(p *peer) Daemon {
	return Daemon{Name: p.name, Domain: p.domain, Address: p.address, Life: p.life, State: m.stateOf(p)}
}

// stateOf judges by the time in which this process ran, so that its own pause
// makes nobody else look dead.
func (m *Machine) stateOf(p *peer) State {
	switch silence := m.running - p.heard; {
	case p.left:
		return Left
	case p == m.self || silence < SuspectAfter:
		return Alive
	case silence < DeadAfter || p.domain != m.conf.Domain:
		return Suspect
	}
	return Dead
}

// judge notes the daemons whose state changed.
func (m *Machine) judge() {
	for _, p := range m.peers {
		if now := m.stateOf(p); now != p.seen && p.name != "" && p.domain == m.conf.Domain {
			p.seen = now
			m.view = nil
			m.note(Change{Kind: Turned, Daemon: m.daemon(p)})
		}
	}
}

// summary sums up the own domain.
func (m *Machine) summary() Summary {
	s := Summary{Domain: m.conf.Domain}
	for _, u := range m.View().Upstreams {
		if u.Notice.Domain != m.conf.Domain {
			continue
		}
		s.Upstreams++
		s.Slots += u.Notice.Slots
		for i := range poplar.Ranks {
			s.Held += u.Load.Running[i] + u.Load.Waiting[i]
		}
	}
	return s
}

// takeSummary keeps the younger summary of a domain.
func (m *Machine) takeSummary(s Summary) {
	if s.Domain == "" || len(s.Domain) > maxName {
		return
	}
	s.Made = m.now.Add(-s.age)
	had, ok := m.sums[s.Domain]
	if ok && !s.Made.After(had.Made) || !ok && len(m.sums) >= 64 {
		return
	}
	m.sums[s.Domain] = s
	m.view = nil
}
