package proxy

import (
	"math"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/place"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/roster"
)

// view is the state on which the decisions about one request are based. It is
// immutable.
type view struct {
	table     *plan.Table // invariant: nil until the first configuration
	services  map[poplar.Service][]*upstream
	groups    map[poplar.Service]*place.Group // invariant: the same upstreams as services, in the same order
	longSteps map[poplar.Service]int          // invariant: the share of the upstreams for long prompts in groups, see place.Lengths
	routers   []string                        // peer addresses of all routers, including this one
}

// revision returns the revision of the configuration, or 0 before the first one.
func (v *view) revision() poplar.Revision {
	if v.table == nil {
		return 0
	}
	return v.table.Plan().Revision
}

// connectionShare is the share of an upstream's connection limit that the
// routers divide among themselves. The rest is for routers that were just
// added.
const connectionShare = 0.9

// maxConnections returns the number of connections that this router may open to
// one upstream of the service. An upstream resets connections beyond its total
// limit, together with the requests on them.
func (v *view) maxConnections(name poplar.Service) int {
	s := v.table.Service(name)
	if s == nil || s.MaxConnections <= 0 {
		return math.MaxInt
	}
	return max(1, int(connectionShare*float64(s.MaxConnections)/float64(max(1, len(v.routers)))))
}

// updateView replaces the view by a changed copy. It is safe for concurrent
// use.
func (p *Proxy) updateView(change func(*view)) {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	next := *p.view.Load()
	change(&next)
	p.view.Store(&next)
}

// applyPlan applies a configuration. It ignores revisions that are not newer
// than the current one, so that the router never goes back to an older
// configuration.
func (p *Proxy) applyPlan(next *plan.Plan) {
	applied := false
	p.updateView(func(v *view) {
		if v.table != nil && v.revision() >= next.Revision {
			return
		}
		v.table, applied = plan.NewTable(next), true
	})
	if applied {
		p.log.Info("revision", "revision", uint64(next.Revision), "routes", len(next.Routes), "workspaces", len(next.Workspaces))
		p.wakeDrawLoop()
	}
}

// setUpstreams replaces the upstreams by those in the roster. The counters of
// an upstream are retained as long as its incarnation is the same.
func (p *Proxy) setUpstreams(entries []roster.Entry) {
	var restarted []*upstream
	started := map[string]int64{} // the latest start of what is ready, by address
	for _, e := range entries {
		if e.State == roster.StateReady {
			started[e.Address] = max(started[e.Address], e.StartedAt)
		}
	}
	p.updateView(func(v *view) {
		old := map[poplar.Upstream]*upstream{}
		for _, group := range v.services {
			for _, u := range group {
				old[u.name] = u
			}
		}
		v.services = map[poplar.Service][]*upstream{}
		for _, e := range entries {
			u := old[e.Name]
			if u == nil || u.address != e.Address || u.startTime != e.StartedAt || u.service != e.Service {
				u = newUpstream(e)
			}
			p.updateState(u, e)
			u.silent.Store(e.Silent)
			v.services[e.Service] = append(v.services[e.Service], u)
			if old[e.Name] == u {
				delete(old, e.Name)
			}
		}
		for _, u := range old {
			// Requests in progress may still refer to this upstream, which may go on with them
			// if it has left.
			if left := u.leaving.Swap(true); !left && started[u.address] > u.startTime {
				restarted = append(restarted, u)
			}
			p.log.Info("upstream", "upstream", string(u.name), "state", string(roster.StateRemoved), "at", u.address, "service", string(u.service))
		}
		p.prepareGroups(v)
	})
	for _, u := range restarted {
		p.reportCrash(u, poison.EvidenceRestart)
	}
}

// prepareGroups prepares the upstreams of a view that is not used yet for the choice.
func (p *Proxy) prepareGroups(v *view) {
	v.groups, v.longSteps = map[poplar.Service]*place.Group{}, map[poplar.Service]int{}
	for service, group := range v.services {
		steps, _ := p.facts.of(service).longSteps()
		v.groups[service], v.longSteps[service] = newGroup(group, steps), steps
	}
}

// updateGroups prepares the upstreams anew if the share of them for long prompts has changed.
func (p *Proxy) updateGroups() {
	changed := false
	now := p.view.Load()
	for service, group := range now.services {
		steps, share := p.facts.of(service).longSteps()
		if before := now.longSteps[service]; steps != before {
			changed = true
			p.log.Info("long prompts", "service", string(service), "steps", steps, "before", before, "of", place.LongSteps,
				"token_share", float64(int(share*1000))/1000, "upstreams", len(group))
		}
	}
	if changed {
		p.updateView(p.prepareGroups)
	}
}

// newGroup prepares upstreams for the choice, with the share of those for long prompts. Only
// usable ones are preferred for long prompts.
func newGroup(group []*upstream, steps int) *place.Group {
	var usable []poplar.Upstream
	names, long := make([]poplar.Upstream, len(group)), make([]bool, len(group))
	for i, u := range group {
		names[i] = u.name
		if u.usable() {
			usable = append(usable, u.name)
		}
	}
	preferred := place.LongPromptUpstreams(usable, steps)
	for i, name := range names {
		long[i] = preferred[name]
	}
	return place.NewGroup(names, long)
}

// updateState updates the state of an upstream and logs changes.
func (p *Proxy) updateState(u *upstream, e roster.Entry) {
	leaving := e.State != roster.StateReady
	if u.leaving.Swap(leaving) != leaving || !u.logged {
		u.logged = true
		p.log.Info("upstream", "upstream", string(u.name), "state", string(e.State), "silent", e.Silent, "at", u.address,
			"service", string(u.service), "sequence", e.Sequence)
	}
}

// fresh reports whether a control daemon that follows the log answered
// recently. Only then can the router treat an unknown key or route as
// nonexistent.
func (p *Proxy) fresh(now time.Time) bool {
	at := p.lastContact.Load()
	return at != nil && now.Sub(*at) < maxStaleness
}
