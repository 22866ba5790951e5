package shed

import "time"

const (
	// shortFrom is the utilization from which a link is short of capacity: a router whose
	// link is short takes no further callers of others, and holds less urgent events.
	shortFrom = 0.6
	// leaveFrom is the utilization from which a router reports that it is not ready, if the
	// predicted delay of the link exceeds leaveDelay: a link that is busy without a queue
	// serves its callers in time.
	leaveFrom  = 0.75
	leaveDelay = 100 * time.Millisecond
	// Both end once the utilization was below calmBelow for calmSpan.
	calmBelow = 0.4
	calmSpan  = 2 * time.Second
	// closeAfter is how long a router has reported that it is not ready before it closes
	// callers' connections after their responses. Balancers ask once a second and take a
	// router out after two failures; before that, a caller would connect to it again, which
	// is more load for its link.
	closeAfter = 1500 * time.Millisecond
	// askFrom is the utilization from which a router asks its peer routers, so that their
	// reports are at hand before it needs them.
	askFrom = 0.5
)

// Gate decides by the utilization of the link whether a router takes new connections.
type Gate struct {
	short    bool
	leaves   bool
	closeAt  time.Time // invariant: closeAfter after leaves became true
	busyTill time.Time // invariant: calmSpan after the utilization last was calmBelow or more
}

// Update applies the current load.
func (g *Gate) Update(l Load, peers *Peers, now time.Time) {
	if l.Utilization >= calmBelow {
		g.busyTill = now.Add(calmSpan)
	}
	calm := !now.Before(g.busyTill)
	g.short = l.Utilization >= shortFrom || g.short && !calm
	switch {
	case !g.leaves:
		// All callers of a workspace may use one router, whose link is saturated within a
		// second of a rise of their load, so a short rise counts.
		g.leaves = max(l.Utilization, l.Recent) >= leaveFrom && l.Delay() >= leaveDelay && peers.MayLeave(now)
		g.closeAt = now.Add(closeAfter)
	case calm:
		g.leaves = false
	default:
		// Other routers may have left since.
		g.leaves = peers.HalfReady(now)
	}
}

// Short reports whether the link is short of capacity.
func (g *Gate) Short() bool { return g.short }

// Closes reports whether callers' connections are closed after their responses.
func (g *Gate) Closes(now time.Time) bool { return g.leaves && !now.Before(g.closeAt) }

// Leaves reports whether the router is not ready.
func (g *Gate) Leaves() bool { return g.leaves }

// Asks reports whether the router needs to know the headroom of its peer routers.
func (g *Gate) Asks(l Load) bool {
	return g.short || g.leaves || max(l.Utilization, l.Recent) >= askFrom
}
