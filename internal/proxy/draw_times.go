package proxy

import (
	"math/rand/v2"
	"time"
)

const (
	// drawPeriodPerRouter is the time between two draws of a router for each router of
	// the fleet, if it exceeds drawPeriod and no request waits for tokens. It bounds the
	// draws that the log takes from all routers.
	drawPeriodPerRouter = 3 * time.Millisecond
	// maxDrawBackoff is the factor by which that time grows at most while draws fail.
	maxDrawBackoff = 4
	// restFactor is the ratio of the pause after a draw to the time until it was answered.
	restFactor = 2
)

// drawTimes decides when a router draws. After a separation all routers of a large fleet
// draw at once and for requests that wait. If that is more than the log takes, each draw
// is given up and made again, and the log answers none of them in time. While draws fail,
// a router therefore draws less often the longer they do, whatever waits.
type drawTimes struct {
	next     time.Time // invariant: no draw before it, unless a request waits and draws succeed
	rest     time.Time // invariant: no draw before it, whatever waits
	last     time.Time // invariant: time of the last draw
	failures int       // invariant: draws since the last one that was answered in time
}

// due reports whether a draw may be made. waiting is true if a request waits for tokens.
func (d *drawTimes) due(now time.Time, waiting bool) bool {
	return !now.Before(d.rest) && (waiting && d.failures == 0 || !now.Before(d.next))
}

// made records a draw in a fleet of the given number of routers.
func (d *drawTimes) made(now time.Time, routers int) {
	period := fleetPeriod(routers)
	if d.failures > 0 {
		period *= float64(min(d.failures, maxDrawBackoff)) * (0.5 + rand.Float64())
	}
	d.next = now.Add(time.Duration(period))
	d.failures++
	d.last = now
}

// answered records that the last draw was answered in time. A log that is slow gets the
// next one later.
func (d *drawTimes) answered(now time.Time) {
	d.failures = 0
	d.rest = now.Add(restFactor * now.Sub(d.last))
}

// regained makes a draw due soon, at a time that differs between routers: a control daemon
// answers again, and all routers may notice at once.
func (d *drawTimes) regained(now time.Time, routers int) {
	if soon := now.Add(time.Duration(rand.Float64() * fleetPeriod(routers))); soon.Before(d.next) {
		d.next = soon
	}
}

func fleetPeriod(routers int) float64 { return float64(routers) * float64(drawPeriodPerRouter) }
