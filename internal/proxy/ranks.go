package proxy

import (
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/plan"
)

// The ranks of requests, and those of the gate.

// maxRouteRank is the highest rank of a route. Higher values are reduced to
// it.
const maxRouteRank = 2

// rank returns the rank of the request, from 0 to 9. Requests are ordered by
// the rank of the workspace first and by that of the route second.
func (x *exchange) rank() int {
	return requestRank(x.route, x.workspace)
}

// requestRank returns the rank of requests of a workspace, which may be nil, on a route.
func requestRank(r *plan.Route, w *plan.Workspace) int {
	rank := min(max(r.Rank, 0), maxRouteRank)
	if w != nil && w.Rank != nil {
		rank += max(*w.Rank, 0) * (maxRouteRank + 1)
	}
	return min(rank, maxRank)
}

// maxRank is the highest rank of a request, see exchange.rank.
const maxRank = 9

// rankMap maps the ranks of requests to those of the gate. It never decreases.
type rankMap [maxRank + 1]poplar.Rank

// of returns the rank at the gate of a request with the given rank.
func (m *rankMap) of(r int) poplar.Rank { return m[min(max(r, 0), maxRank)] }

// newRankMap divides the ranks that requests to the service may have, in their order,
// evenly among the ranks of the gate. Up to three different ranks keep their order
// strictly; of more, neighbours share a rank.
func newRankMap(p *plan.Plan, service poplar.Service) rankMap {
	var present [maxRank + 1]bool
	for i := range p.Routes {
		r := &p.Routes[i]
		for _, t := range r.Targets {
			if t.Service != service {
				continue
			}
			present[requestRank(r, nil)] = present[requestRank(r, nil)] || r.NoKey || len(p.Workspaces) == 0
			for j := range p.Workspaces {
				present[requestRank(r, &p.Workspaces[j])] = true
			}
		}
	}
	count := 0
	for _, is := range present {
		if is {
			count++
		}
	}
	var m rankMap
	below := 0
	for i, is := range present {
		at := min(below, max(count-1, 0))
		m[i] = poplar.Rank(at * poplar.Ranks / max(count, poplar.Ranks))
		if is {
			below++
		}
	}
	return m
}
