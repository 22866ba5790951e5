package admit

import (
	"math"
	"time"
)

const (
	// maxReportAge is how long a report is used. Load changes within seconds, so an
	// older report says nothing about the slots that are free now.
	maxReportAge = 3 * time.Second
	// reportDecay is the time in which the weight of a report falls to about a third, so
	// that a limit follows the load within a second where responses are frequent.
	reportDecay = 500 * time.Millisecond
	// maxRunningFactor, maxQueueFactor and maxSlotsFactor bound plausible reports:
	// running requests and slots as multiples of the slots that are configured, and
	// waiting requests as a multiple of them. Requests wait on connections, of which
	// the deployments allow at most 43 for each slot.
	maxRunningFactor = 2
	maxSlotsFactor   = 8
	maxQueueFactor   = 100
)

// Report is the load that an upstream stated in a response.
type Report struct {
	running, waiting, slots int
	sent                    int // requests sent less requests ended since the report, by this router
	at                      time.Time
}

// NewReport returns a report that was read at the given time. slots is 0 if the
// upstream did not state them. The zero Report stands for an upstream that has not
// reported.
func NewReport(running, waiting, slots int, at time.Time) Report {
	return Report{running: running, waiting: waiting, slots: slots, at: at}
}

// WithSent returns a copy of r with the number of requests that this router sent to the
// upstream since the report, less those that ended.
func (r Report) WithSent(n int) Report {
	r.sent = n
	return r
}

// plausible reports whether an upstream that is configured with the given slots can
// have sent r.
func (r Report) plausible(slots int) bool {
	if r.running < 0 || r.waiting < 0 || r.slots < 0 || r.slots > maxSlotsFactor*slots {
		return false
	}
	if r.slots > 0 {
		slots = r.slots
	}
	return r.running <= maxRunningFactor*slots && r.waiting <= maxQueueFactor*slots
}

// Tally sums the reports of the usable upstreams of one service at one time.
type Tally struct {
	now, counted time.Time
	capacity     float64 // slots of all usable upstreams
	upstreams    int
	recent       int     // invariant: upstreams with a plausible report of at most maxReportAge
	weight       float64 // sum of the weights of the recent ones
	slots        float64 // slots of the recent ones, weighted
	held, queued float64 // requests that the recent ones run and queue, and those that they queue, weighted
	ages         float64 // ages of the recent ones in seconds, weighted
	oldest       time.Duration
	ignored      int
}

// NewTally returns an empty tally at now. counted is the time of the previous tally:
// implausible reports are counted once, by the tally that follows them.
func NewTally(now, counted time.Time) Tally { return Tally{now: now, counted: counted} }

// Add adds a usable upstream with the number of slots that the configuration states, and
// its latest report.
func (t *Tally) Add(slots int, r Report) {
	slots = max(slots, 1)
	t.upstreams++
	if r.at.IsZero() || !r.plausible(slots) {
		t.capacity += float64(slots)
		if r.at.After(t.counted) {
			t.ignored++
		}
		return
	}
	if r.slots > 0 {
		slots = r.slots
	}
	t.capacity += float64(slots)
	age := max(t.now.Sub(r.at), 0)
	if age > maxReportAge {
		return
	}
	weight := math.Exp(-age.Seconds() / reportDecay.Seconds())
	t.recent++
	t.weight += weight
	t.slots += weight * float64(slots)
	t.held += weight * max(float64(r.running+r.waiting+r.sent), 0)
	t.queued += weight * float64(r.waiting)
	t.ages += weight * age.Seconds()
	t.oldest = max(t.oldest, age)
}

// Capacity returns the number of slots of the usable upstreams.
func (t *Tally) Capacity() float64 { return t.capacity }

// Upstreams returns the number of usable upstreams.
func (t *Tally) Upstreams() int { return t.upstreams }

// Recent returns the number of usable upstreams whose report is recent and plausible.
func (t *Tally) Recent() int { return t.recent }

// Ignored returns the number of implausible reports since the previous tally.
func (t *Tally) Ignored() int { return t.ignored }

// Age returns the mean age of the recent reports, by their weights.
func (t *Tally) Age() time.Duration {
	if t.weight <= 0 {
		return 0
	}
	return seconds(t.ages / t.weight)
}

// Oldest returns the age of the oldest recent report.
func (t *Tally) Oldest() time.Duration { return t.oldest }

// Held returns the number of requests that all usable upstreams run and queue, if those
// without a recent report are as busy as the others.
func (t *Tally) Held() float64 { return t.scale(t.held) }

// Queued returns the part of Held that waits in queues of upstreams.
func (t *Tally) Queued() float64 { return t.scale(t.queued) }

func (t *Tally) scale(reported float64) float64 {
	if t.slots <= 0 {
		return 0
	}
	return reported / t.slots * t.capacity
}
