package plan

import (
	"net"
	"sort"
	"strings"

	"poplarbend.example/poplar"
)

// Table indexes one plan for look-ups by request. It is immutable.
type Table struct {
	plan            *Plan
	routesByHost    map[string][]*Route // invariant: longest prefix first
	workspacesByKey map[string]*Workspace
	services        map[poplar.Service]*Service
}

// NewTable returns the table of p, which must have passed Check and must not
// change afterwards.
func NewTable(p *Plan) *Table {
	t := &Table{
		plan:            p,
		routesByHost:    make(map[string][]*Route),
		workspacesByKey: make(map[string]*Workspace),
		services:        make(map[poplar.Service]*Service, len(p.Services)),
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range p.Workspaces {
		for _, key := range p.Workspaces[i].Keys {
			t.workspacesByKey[key] = &p.Workspaces[i]
		}
	}
	for i := range p.Services {
		t.services[p.Services[i].Name] = &p.Services[i]
	}
	return t
}

// Plan returns the plan of the table.
func (t *Table) Plan() *Plan { return t.plan }

// Route returns the route of host whose prefix is the longest prefix of path, or
// nil. A port in host is ignored.
func (t *Table) Route(host, path string) *Route {
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace to which the key belongs, or nil.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.workspacesByKey[key] }

// RequiresKey reports whether callers need keys, which is the case if the plan
// has workspaces.
func (t *Table) RequiresKey() bool { return len(t.plan.Workspaces) > 0 }

// Service returns the named service, or nil.
func (t *Table) Service(name poplar.Service) *Service { return t.services[name] }

// Target returns the service for a request. draw is a random number that
// selects among the targets by weight.
func (r *Route) Target(draw uint64) poplar.Service {
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(t.Weight)
	}
	if total == 0 {
		return ""
	}
	draw %= total
	for _, t := range r.Targets {
		if draw < uint64(t.Weight) {
			return t.Service
		}
		draw -= uint64(t.Weight)
	}
	return ""
}
