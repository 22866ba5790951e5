package proxy

import (
	"math"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/place"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/roster"
)

// This file holds what a router knows at one moment.

// view is what a request is decided on. It is immutable.
type view struct {
	table    *plan.Table // invariant: nil until the first configuration
	services map[poplar.Service][]*upstream
	longs    map[poplar.Service]map[poplar.Upstream]bool // upstreams that long prompts prefer
	routers  []string                                    // peer addresses of the routers, this one included
}

// connectionPart is the part of the connections that an upstream takes which the
// routers divide among themselves. The rest is for routers that were just added.
const connectionPart = 0.9

// connections returns the number of connections that this router may have to one
// upstream of the service: an upstream resets those beyond what it takes from all
// routers, with the requests on them.
func (v *view) connections(name poplar.Service) int {
	s := v.table.Service(name)
	if s == nil || s.Connections <= 0 {
		return math.MaxInt
	}
	return max(1, int(connectionPart*float64(s.Connections)/float64(max(1, len(v.routers)))))
}

// publish replaces the view. It is called by one goroutine at a time.
func (p *Proxy) publish(change func(*view)) {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	next := *p.view.Load()
	change(&next)
	p.view.Store(&next)
}

// enact puts a configuration in force. A lower revision than the one in force is
// dropped, so that the router never goes back.
func (p *Proxy) enact(next *plan.Plan) {
	put := false
	p.publish(func(v *view) {
		if v.table != nil && v.table.Plan().Revision >= next.Revision {
			return
		}
		v.table, put = plan.NewTable(next), true
	})
	if put {
		p.log.Info("revision", "revision", uint64(next.Revision), "routes", len(next.Routes), "workspaces", len(next.Workspaces))
		p.kickDraw()
	}
}

// list replaces the upstreams by what the control daemons say. The counters of
// an upstream live as long as its start.
func (p *Proxy) list(entries []roster.Entry) {
	var gone []*upstream
	p.publish(func(v *view) {
		old := map[poplar.Upstream]*upstream{}
		for _, group := range v.services {
			for _, u := range group {
				old[u.name] = u
			}
		}
		v.services = map[poplar.Service][]*upstream{}
		for _, e := range entries {
			u := old[e.Name]
			if u == nil || u.address != e.Address || u.born != e.Born || u.service != e.Service {
				u = newUpstream(e)
			}
			p.noteState(u, e)
			u.silent.Store(e.Silent)
			v.services[e.Service] = append(v.services[e.Service], u)
			if old[e.Name] == u {
				delete(old, e.Name)
			}
		}
		for _, u := range old {
			// Requests that are open may still know it.
			u.leaving.Store(true)
			gone = append(gone, u)
			p.log.Info("upstream", "upstream", string(u.name), "state", string(roster.StateGone), "at", u.address, "service", string(u.service))
		}
		v.longs = map[poplar.Service]map[poplar.Upstream]bool{}
		for service, group := range v.services {
			v.longs[service] = longs(group)
		}
	})
	for _, u := range gone {
		p.crashed(u)
	}
}

// longs returns the upstreams that long prompts prefer, of those that take new
// work.
func longs(group []*upstream) map[poplar.Upstream]bool {
	var names []poplar.Upstream
	for _, u := range group {
		if u.usable() {
			names = append(names, u.name)
		}
	}
	return place.Longs(names)
}

// noteState follows the state of an upstream and logs its changes.
func (p *Proxy) noteState(u *upstream, e roster.Entry) {
	leaving := e.State != roster.StateReady
	if u.leaving.Swap(leaving) != leaving || !u.told {
		u.told = true
		p.log.Info("upstream", "upstream", string(u.name), "state", string(e.State), "silent", e.Silent, "at", u.address,
			"service", string(u.service), "sequence", e.Sequence)
	}
}

// fresh reports whether a control daemon that follows the log has answered
// lately, so that what the router does not know can be said not to be.
func (p *Proxy) fresh(now time.Time) bool {
	at := p.heard.Load()
	return at != nil && now.Sub(*at) < freshTime
}
