package retry

import "time"

// Window bounds the retries that one router sends to one service. In any period
// as long as the window, the retries are at most a ratio of the requests in
// that period plus a constant slack; requests of up to one bucket before the
// period count as well. If each router of a fleet applies its own
// window and the slacks add up to the slack of the fleet, the bound holds for
// the whole fleet, even while routers cannot reach each other. A Window is not
// safe for concurrent use.
type Window struct {
	span     time.Duration
	requests counter
	retries  counter
}

// buckets is the number of buckets that cover the window. The oldest bucket,
// which the window covers only in part, counts in full.
const buckets = 20

// counter counts events in a ring of buckets.
type counter struct {
	counts [buckets + 1]int
	newest int64 // invariant: number of the newest bucket
}

// NewWindow returns a window of the given length.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// bucket returns the number of the bucket to which now belongs.
func (w *Window) bucket(now time.Time) int64 {
	return now.UnixNano() / int64(w.span/buckets)
}

// advance makes bucket the newest one and clears those that it replaces.
func (c *counter) advance(bucket int64) {
	if bucket-c.newest > buckets {
		*c = counter{newest: bucket}
		return
	}
	for c.newest < bucket {
		c.newest++
		c.counts[c.newest%(buckets+1)] = 0
	}
}

func (c *counter) add(bucket int64) {
	c.advance(bucket)
	c.counts[c.newest%(buckets+1)]++
}

func (c *counter) sum(bucket int64) int {
	c.advance(bucket)
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}

// CountRequest counts a request from a caller.
func (w *Window) CountRequest(now time.Time) { w.requests.add(w.bucket(now)) }

// AllowRetry counts a retry and returns true, unless the retries would exceed
// ratio times the requests plus slack.
func (w *Window) AllowRetry(ratio, slack float64, now time.Time) bool {
	bucket := w.bucket(now)
	if float64(w.retries.sum(bucket)+1) > ratio*float64(w.requests.sum(bucket))+slack {
		return false
	}
	w.retries.add(bucket)
	return true
}
