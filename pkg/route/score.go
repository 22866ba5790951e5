package route

import (
	"math"
	"time"

	"poplarbend.example/poplar"
)

// This file predicts the wait of a request at a candidate.

// herdFactor is the deviation from the expected load that each other router is
// assumed to have, relative to this router's own deviation.
const herdFactor = 1

// estimate is the estimated state of a candidate at one moment.
type estimate struct {
	// load is the number of requests there: this router's own, which are
	// exact, and an estimate of the other routers'.
	load float64
	// herdLoad is load plus the change that the other routers are assumed to
	// have caused since the report.
	herdLoad    float64
	serviceTime float64 // seconds for which a request occupies a slot
}

// estimate returns the estimated state of the upstream at now. The number of
// the other routers' requests is the reported number less this router's part
// in it. As the report ages, it moves towards the mean of the group, because
// within one service time requests end and others arrive. Without a fresh
// report only this router's own requests count.
//
// herdLoad assumes that the other routers acted like this router since the
// report, scaled by their share of the load. All routers see the same stale
// reports; without this correction they all send to the upstream that was
// empty in the last report (herd effect).
func (c *Candidate) estimate(now int64, s *Settings) estimate {
	own := float64(c.state.InFlight())
	e := estimate{load: own, herdLoad: own, serviceTime: c.serviceTime()}
	age := now - c.reportedAt
	if c.reportedAt == 0 || age > int64(s.MaxReportAge) {
		return e
	}
	reportWeight := e.serviceTime / (e.serviceTime + max(float64(age)/float64(time.Second), 0))
	e.load += reportWeight*c.othersAtReport + (1-reportWeight)*c.meanOthers
	expectedOwn := reportWeight*c.ownAtReport + (1-reportWeight)*c.meanOwn
	drift := (own - expectedOwn) * c.othersPerOwn * herdFactor
	e.herdLoad = max(e.load+min(drift, float64(c.offer.Slots)), own)
	return e
}

// serviceTime returns the seconds for which a request occupies a slot.
func (c *Candidate) serviceTime() float64 {
	if measured := math.Float64frombits(c.state.serviceTime.Load()); measured > 0 {
		return measured
	}
	return c.offer.ServiceTime
}

// limit returns the number of requests at the upstream below which r may be
// sent there. Bulk requests leave slots free on each upstream, so that an urgent
// request seldom waits for a slot. Urgent requests may exceed the limit of the
// others by the headroom.
func (c *Candidate) limit(r *Request, s *Settings) float64 {
	limit := float64(c.offer.Slots)
	if adapted := c.state.Limit(); adapted > 0 {
		limit = min(limit, adapted)
	}
	switch {
	case r.rank == poplar.Urgent:
		limit *= 1 + s.Headroom
	case r.rank == poplar.Bulk && !r.belowFloor:
		limit *= 1 - s.BulkReserve
	}
	return max(math.Round(limit), 1)
}

// atLimit reports whether the estimated load has reached the limit for r.
func (c *Candidate) atLimit(r *Request, e estimate, s *Settings) bool {
	return c.aheadShare[r.rank]*e.herdLoad >= c.limit(r, s)
}

// acceptsOverflow reports whether r may go to the upstream although it is at
// its limit. The limit is compared with herdLoad, which is only an assumption,
// and admission has already counted the total load of the upstreams. Bulk
// requests wait instead.
func (c *Candidate) acceptsOverflow(r *Request, e estimate, s *Settings) bool {
	if r.rank == poplar.Bulk && !r.belowFloor {
		return false
	}
	return c.aheadShare[r.rank]*e.load < c.limit(r, s)*(1+s.Headroom)
}

// forecast is the prediction for one candidate, in seconds to the first token.
type forecast struct {
	wait         float64 // with the cached prefix
	uncachedWait float64 // without the cached prefix
	score        float64 // wait computed with herdLoad instead of load
}

// forecast predicts the wait for r if the given number of prompt tokens is
// cached. A queue forms when the slots are full. Below that each request slows
// the others slightly, and this term also spreads the load.
func (c *Candidate) forecast(r *Request, e estimate, cached poplar.Tokens, now int64) forecast {
	pending := max(float64(c.state.pendingPrefill.Load()), c.reportedPrefill(now), 0)
	prefill := (pending + float64(r.prompt)) / c.offer.PrefillRate
	cachedPrefill := float64(cached) / c.offer.PrefillRate
	slowdown := c.state.Slowdown()
	uncachedWait := (c.queueDelay(c.aheadShare[r.rank]*e.load, e.serviceTime) + prefill) * slowdown
	score := (c.queueDelay(c.aheadShare[r.rank]*e.herdLoad, e.serviceTime) + prefill - cachedPrefill) * slowdown
	return forecast{wait: uncachedWait - cachedPrefill*slowdown, uncachedWait: uncachedWait, score: score}
}

// queueDelay returns the seconds by which the present requests delay a new
// one.
func (c *Candidate) queueDelay(load, serviceTime float64) float64 {
	slots := float64(c.offer.Slots)
	interval := serviceTime / slots
	return max(load+1-slots, 0)*interval + load/slots*interval
}

// reportedPrefill returns the reported prompt tokens that still await prefill.
// The upstream has continued to prefill since the report.
func (c *Candidate) reportedPrefill(now int64) float64 {
	age := float64(now-c.reportedAt) / float64(time.Second)
	return float64(c.report.PendingPrefill) - age*c.offer.PrefillRate
}
