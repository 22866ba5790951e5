package member

import (
	"cmp"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

// State is the state of a daemon as seen by this one.
type State uint8

// The states.
const (
	// Alive means that a heartbeat was received within SuspectTimeout.
	Alive State = iota
	// Suspect means that no heartbeat was received within SuspectTimeout.
	Suspect
	// Dead means that no heartbeat was received within DeadTimeout. Other daemons
	// may take over its open requests; the ledger's attempt numbers fence off a
	// daemon that was only paused. Only daemons of the own domain are ever
	// considered dead.
	Dead
	// Left means that the daemon announced its shutdown.
	Left
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// ChangeKind is the kind of a change.
type ChangeKind uint8

// The kinds of changes.
const (
	// UpstreamRenewed means that an upstream of another daemon is new or was renewed.
	UpstreamRenewed ChangeKind = iota
	// LoadReported means that another daemon reported an upstream's load.
	LoadReported
	// UpstreamGone means that an upstream receives no new work any more.
	UpstreamGone
	// StateChanged means that a daemon's state changed.
	StateChanged
)

// Change is one event since the last call of Changes.
type Change struct {
	Kind   ChangeKind
	Notice poplar.Announcement // for Arrived; for Gone only the name is set
	Due    time.Time           // for Arrived: when the upstream stops receiving new work
	Load   poplar.Load         // for Loaded
	Daemon Daemon              // for Turned
}

// Upstream is an upstream that may get new work until Due.
type Upstream struct {
	Notice poplar.Announcement
	Due    time.Time
	Owner  poplar.Daemon
	// Load is the newest report, taken at LoadAt; it is zero when there is
	// none.
	Load   poplar.Load
	LoadAt time.Time
}

// Daemon is one daemon of the fleet.
type Daemon struct {
	Name        poplar.Daemon
	Domain      poplar.Domain
	Address     string
	Incarnation uint64
	State       State
}

// View is an immutable snapshot.
type View struct {
	// Upstreams are the upstreams of this and other domains that may get new
	// work, sorted by name.
	Upstreams []Upstream
	// Daemons are all known daemons, sorted by name.
	Daemons []Daemon
	// Summaries are the summaries of other domains that are younger than
	// RenewalTimeout, sorted by domain.
	Summaries []Summary
	// Settled is false after the start, a pause or a silence, until a peer
	// confirms that it has received a heartbeat of this daemon made since then.
	// Until then this daemon may lag behind without knowing it.
	Settled bool
	// Revision and Epoch are the highest that this daemon or any peer has in
	// force. This daemon lags behind when its own are lower.
	Revision poplar.Revision
	Epoch    poplar.Epoch
}

// Late reports whether a peer has a higher revision or epoch in force than this
// daemon.
func (m *Machine) Late() bool { return m.maxRevision > m.revision || m.maxEpoch > m.epoch }

// View returns a snapshot as of the last call that advanced the time or changed
// the state.
func (m *Machine) View() *View {
	if m.view == nil {
		m.view = m.build()
	}
	return m.view
}

// Changes returns the events since the last call, in order. It must be called
// after each Tick and Step, since events accumulate until then.
func (m *Machine) Changes() []Change {
	out := m.changes
	m.changes = nil
	return out
}

// emit records a change.
func (m *Machine) emit(c Change) { m.changes = append(m.changes, c) }

// emitGone records that an upstream is gone, unless another owner still
// confirms it.
func (m *Machine) emitGone(name poplar.Upstream) {
	if _, ok := m.bestUpstream(name); !ok {
		m.emit(Change{Kind: UpstreamGone, Notice: poplar.Announcement{Stamp: poplar.Stamp{Upstream: name}}})
	}
}

// bestUpstream returns the upstream as known from the owner with the newest
// incarnation and renewal of it.
func (m *Machine) bestUpstream(name poplar.Upstream) (Upstream, bool) {
	var found Upstream
	ok := false
	for _, p := range m.peers {
		if e := p.entries[name]; e != nil && m.eligible(p, e) {
			if next := upstream(p, e); !ok || next.preferredOver(found) {
				found, ok = next, true
			}
		}
	}
	return found, ok
}

func upstream(p *peer, e *entry) Upstream {
	return Upstream{Notice: e.Notice, Due: p.due(e), Owner: p.name, Load: e.load, LoadAt: e.loadAt}
}

// preferredOver reports whether u is more recent than other; the owner's name
// breaks ties.
func (u Upstream) preferredOver(other Upstream) bool {
	if u.Notice.Incarnation != other.Notice.Incarnation {
		return u.Notice.Incarnation > other.Notice.Incarnation
	}
	if !u.Due.Equal(other.Due) {
		return u.Due.After(other.Due)
	}
	return u.Owner < other.Owner
}

// eligible reports whether an upstream may get new work: its owner confirms it,
// it has not left, and its last renewal is younger than RenewalTimeout.
func (m *Machine) eligible(p *peer, e *entry) bool {
	if e.Status != statusLive || !m.now.Before(p.due(e)) {
		return false
	}
	d, left := m.departures[e.Notice.Upstream]
	return !left || e.Notice.Incarnation > d.incarnation
}

func (m *Machine) build() *View {
	v := &View{Settled: m.settled, Revision: m.maxRevision, Epoch: m.maxEpoch}
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
			if current, ok := ups[name]; !ok || next.preferredOver(current) {
				ups[name] = next
			}
		}
	}
	for _, u := range ups {
		v.Upstreams = append(v.Upstreams, u)
	}
	for _, s := range m.summaries {
		if s.Domain != m.conf.Domain && m.now.Sub(s.Made) < RenewalTimeout {
			v.Summaries = append(v.Summaries, s)
		}
	}
	slices.SortFunc(v.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Notice.Upstream, b.Notice.Upstream) })
	slices.SortFunc(v.Daemons, func(a, b Daemon) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(v.Summaries, func(a, b Summary) int { return cmp.Compare(a.Domain, b.Domain) })
	return v
}

func (m *Machine) daemon(p *peer) Daemon {
	return Daemon{Name: p.name, Domain: p.domain, Address: p.address, Incarnation: p.incarnation, State: m.stateOf(p)}
}

// stateOf measures silence in active time, so that a pause of this process does
// not make other daemons look dead.
func (m *Machine) stateOf(p *peer) State {
	switch silence := m.activeTime - p.lastContact; {
	case p.left:
		return Left
	case p == m.self || silence < SuspectTimeout:
		return Alive
	case silence < DeadTimeout || p.domain != m.conf.Domain:
		return Suspect
	}
	return Dead
}

// emitStateChanges records the daemons of the domain whose state changed.
func (m *Machine) emitStateChanges() {
	for _, p := range m.peers {
		if now := m.stateOf(p); now != p.reportedState && p.name != "" && p.domain == m.conf.Domain {
			p.reportedState = now
			m.view = nil
			m.emit(Change{Kind: StateChanged, Daemon: m.daemon(p)})
		}
	}
}

// summary returns the summary of this daemon's domain.
func (m *Machine) summary() Summary {
	s := Summary{Domain: m.conf.Domain}
	for _, u := range m.View().Upstreams {
		if u.Notice.Domain != m.conf.Domain {
			continue
		}
		s.Upstreams++
		s.Slots += u.Notice.Slots
		for i := range poplar.Ranks {
			s.Requests += u.Load.Running[i] + u.Load.Waiting[i]
		}
	}
	return s
}

// mergeSummary stores the summary of a domain if it is newer than the stored
// one.
func (m *Machine) mergeSummary(s Summary) {
	if s.Domain == "" || len(s.Domain) > maxName {
		return
	}
	s.Made = m.now.Add(-s.age)
	stored, ok := m.summaries[s.Domain]
	if ok && !s.Made.After(stored.Made) || !ok && len(m.summaries) >= 64 {
		return
	}
	m.summaries[s.Domain] = s
	m.view = nil
}
