package share

import (
	"math"
	"time"

	"poplarbend.example/poplar"
)

// Half-lives of the two moving averages. The fast one follows a burst within
// seconds, and the slow one retains demand through a pause.
const (
	fastHalfLife = 5 * time.Second
	slowHalfLife = 2 * time.Minute
)

// Demand estimates the tokens per second that a domain reserves from one budget.
// The zero value is ready for use. It is not safe for concurrent use.
type Demand struct {
	updated  time.Time // invariant: never decreases
	fastRate float64   // tokens per second at updated
	slowRate float64   // tokens per second at updated
	largest  poplar.Tokens
}

// Record records a request for tokens at now, whether or not it was granted.
func (d *Demand) Record(tokens poplar.Tokens, now time.Time) {
	d.decay(now)
	d.fastRate += float64(tokens) * math.Ln2 / fastHalfLife.Seconds()
	d.slowRate += float64(tokens) * math.Ln2 / slowHalfLife.Seconds()
	d.largest = max(d.largest, tokens)
}

// RecordUnspent records that tokens of an earlier request were not spent.
func (d *Demand) RecordUnspent(tokens poplar.Tokens, now time.Time) {
	d.decay(now)
	d.fastRate = max(0, d.fastRate-float64(tokens)*math.Ln2/fastHalfLife.Seconds())
	d.slowRate = max(0, d.slowRate-float64(tokens)*math.Ln2/slowHalfLife.Seconds())
}

// Rate returns the larger of the two averages at now, in tokens per second.
func (d *Demand) Rate(now time.Time) float64 {
	d.decay(now)
	return max(d.fastRate, d.slowRate)
}

// Largest returns the size of the largest request, or 0 after a long time without
// demand.
func (d *Demand) Largest() poplar.Tokens { return d.largest }

// decay decays the averages to now. It does nothing if the clock jumped back.
func (d *Demand) decay(now time.Time) {
	if d.updated.IsZero() {
		d.updated = now
	}
	gap := now.Sub(d.updated)
	if gap <= 0 {
		return
	}
	d.updated = now
	d.fastRate *= math.Exp2(-gap.Seconds() / fastHalfLife.Seconds())
	d.slowRate *= math.Exp2(-gap.Seconds() / slowHalfLife.Seconds())
	if d.slowRate < 1e-6 {
		d.fastRate, d.slowRate, d.largest = 0, 0, 0
	}
}
