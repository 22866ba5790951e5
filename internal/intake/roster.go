package intake

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/pkg/limit"
	"poplarbend.example/poplar/pkg/route"
)

// This file holds the roster: the snapshot of the upstreams that requests
// read, rebuilt when the watched book changes.

const (
	// flushPeriod bounds the age of load reports in the snapshot. Arrivals and
	// leaves are in it at once.
	flushPeriod = 50 * time.Millisecond
	// indexEntries is the size of the prefix index.
	indexEntries = 1 << 18
)

// Peer is one upstream as the request path sees it. It is immutable.
type Peer struct {
	notice poplar.Announcement
	gauge  *route.LocalState
	limit  *limit.Upstream
}

// Notice returns the announcement.
func (p *Peer) Notice() poplar.Announcement { return p.notice }

// LocalState returns the counters of the upstream.
func (p *Peer) LocalState() *route.LocalState { return p.gauge }

// Limit returns the adaptive limit of the upstream.
func (p *Peer) Limit() *limit.Upstream { return p.limit }

// View is one immutable snapshot of the upstreams.
type View struct {
	table *route.Table
	peers map[poplar.Upstream]*Peer
}

// Table returns the candidates for the choice.
func (v *View) Table() *route.Table { return v.table }

// Peer returns the upstream with the given name, which may be leaving.
func (v *View) Peer(name poplar.Upstream) (*Peer, bool) {
	p, ok := v.peers[name]
	return p, ok
}

// member is what the roster keeps of one upstream between snapshots.
type member struct {
	peer   *Peer
	due    time.Time
	report route.Report
	left   bool // true after UpstreamGone; kept until its open requests have ended
}

// Roster watches a desk and publishes views. It is safe for concurrent use.
type Roster struct {
	home     poplar.Domain
	settings route.Settings
	index    *route.PrefixIndex
	fleet    *limit.Fleet
	view     atomic.Pointer[View]

	mu      sync.Mutex
	policy  func() *conf.Policy         // invariant: guarded by mu; nil allows every upstream
	members map[poplar.Upstream]*member // invariant: guarded by mu
	seats   int                         // invariant: guarded by mu; gauges made so far
	free    []*route.LocalState         // invariant: guarded by mu; of upstreams that are gone
	dirty   bool                        // invariant: guarded by mu
}

var _ Watcher = (*Roster)(nil)

// NewRoster returns a roster for a router in the domain home. RunFlush must
// run beside it.
func NewRoster(home poplar.Domain, settings route.Settings) *Roster {
	r := &Roster{
		home: home, settings: settings, index: route.NewIndex(indexEntries),
		fleet:   limit.NewFleet(limit.DefaultSettings()),
		members: map[poplar.Upstream]*member{},
	}
	r.publish()
	return r
}

// View returns the present snapshot.
func (r *Roster) View() *View { return r.view.Load() }

// Index returns the prefix index.
func (r *Roster) Index() *route.PrefixIndex { return r.index }

// Obey makes the rules of the policy say what upstreams may serve. Each renewal
// is looked at anew, so that a changed rule is in force within the period of
// renewal.
func (r *Roster) Obey(policy func() *conf.Policy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy = policy
}

// UpstreamRenewed implements Watcher.
func (r *Roster) UpstreamRenewed(n poplar.Announcement, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.policy != nil {
		// What is not allowed is left out; the desk has told the upstream.
		n, _ = permitted(r.policy(), n)
	}
	m := r.members[n.Upstream]
	if m == nil {
		m = &member{peer: &Peer{gauge: r.seat()}}
		r.members[n.Upstream] = m
	}
	restarted := m.peer.notice.Incarnation != 0 && m.peer.notice.Incarnation != n.Incarnation
	if restarted {
		m.peer.gauge.ResetCache()
		m.peer.gauge.Restart()
		m.report = route.Report{}
	}
	fresh := m.left || changed(m.peer.notice, n)
	m.peer = &Peer{
		notice: n, gauge: m.peer.gauge,
		limit: r.fleet.Add(n.Upstream, groupOf(n), n.Slots, m.peer.gauge),
	}
	m.due, m.left = due, false
	r.dirty = true
	if fresh {
		r.publish()
	}
}

// groupOf names the upstreams that are alike, among which one can stand out.
func groupOf(n poplar.Announcement) string {
	return fmt.Sprint(n.Kind, n.Models, n.Services)
}

// changed reports whether an announcement is more than a renewal.
func changed(old, now poplar.Announcement) bool {
	return old.Incarnation != now.Incarnation || old.Address != now.Address || old.Domain != now.Domain ||
		old.Slots != now.Slots || old.Resume != now.Resume || !slices.Equal(old.Loaded, now.Loaded) ||
		!slices.Equal(old.Models, now.Models) || !slices.Equal(old.Services, now.Services)
}

// LoadReported implements Watcher.
func (r *Roster) LoadReported(l poplar.Load, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[l.Upstream]
	if m == nil {
		return
	}
	m.report = route.Report{
		Seq: l.Sequence, At: now.Add(-time.Duration(l.Age) * time.Millisecond),
		Running: l.Running, Waiting: l.Waiting, PendingPrefill: l.PendingPrefill,
	}
	r.dirty = true
}

// Cached implements Watcher. After a gap the entries stay: a wrong one costs a
// worse choice, which the gauge learns from.
func (r *Roster) Cached(c poplar.Cached, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[c.Upstream]
	if m == nil {
		return
	}
	r.index.Remove(m.peer.gauge, c.Evicted)
	r.index.Add(m.peer.gauge, c.Stored)
}

// UpstreamGone implements Watcher.
func (r *Roster) UpstreamGone(name poplar.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[name]
	if m == nil {
		return
	}
	m.left = true
	r.fleet.Remove(name)
	r.publish()
}

// RunFlush publishes changed load reports and adapts the limits of the
// upstreams, until ctx is done.
func (r *Roster) RunFlush(ctx context.Context) {
	tick := time.NewTicker(flushPeriod)
	defer tick.Stop()
	limits := time.NewTicker(limit.Period)
	defer limits.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.flush()
		case now := <-limits.C:
			r.fleet.Update(now)
		}
	}
}

func (r *Roster) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dirty {
		return
	}
	for name, m := range r.members {
		if m.left && m.peer.gauge.InFlight() == 0 {
			r.vacate(name)
		}
	}
	r.publish()
}

// seat returns a gauge whose slot in the prefix index no other upstream has.
func (r *Roster) seat() *route.LocalState {
	if n := len(r.free); n > 0 {
		g := r.free[n-1]
		r.free = r.free[:n-1]
		return g
	}
	r.seats++
	return route.NewLocalState(uint16(r.seats - 1))
}

// vacate forgets an upstream. Its gauge goes to the next new one, without what
// was learned of the old.
func (r *Roster) vacate(name poplar.Upstream) {
	g := r.members[name].peer.gauge
	delete(r.members, name)
	g.ResetCache()
	g.Restart()
	g.SetLimit(0)
	g.Eject(time.Time{})
	r.free = append(r.free, g)
}

// publish replaces the snapshot.
func (r *Roster) publish() {
	v := &View{peers: make(map[poplar.Upstream]*Peer, len(r.members))}
	all := make([]route.Candidate, 0, len(r.members))
	for name, m := range r.members {
		v.peers[name] = m.peer
		n := m.peer.notice
		c := route.NewCandidate(route.Offer{
			Name: n.Upstream, Domain: n.Domain, Models: n.Models, Services: n.Services,
			Slots: n.Slots, PrefillRate: n.Prefill,
		}, m.report, m.peer.gauge, m.due)
		if m.left {
			c = c.Leaving()
		}
		all = append(all, c)
	}
	v.table = route.NewTable(r.home, all, r.index, r.settings)
	r.view.Store(v)
	r.dirty = false
}
