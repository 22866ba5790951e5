// Package pace keeps what upstreams ask of the routers that send them requests: a pause, a
// limit on the requests of the whole fleet, or to send nothing more because they leave.
//
// An upstream says so in its answers, each of which reaches one router. A pause and a
// leave concern that router. A limit concerns all: routers tell each other of its start
// and its end by records that are ordered by a number, and divide it without agreement.
package pace

import (
	"math"
	"time"

	"poplarbend.example/poplar"
)

const (
	// refreshTime is the age from which a record of a limit that still holds is renewed,
	// and limitTime the age at which one that was not renewed ends, as when the upstream
	// is gone.
	refreshTime = time.Minute
	limitTime   = 3 * time.Minute
	// leaveTime is how long a leave is remembered after the last answer that said so.
	leaveTime = 10 * time.Minute
)

// Run is one run of an upstream. What it asks for ends with it.
type Run struct {
	Upstream  poplar.Upstream `json:"up"`
	StartedAt int64           `json:"born,omitempty"` // Unix time in milliseconds
}

// Limit is the record of the limit of an upstream.
type Limit struct {
	Run
	// Number orders the records of a run. Of two with the same number the stricter one
	// holds.
	Number uint64 `json:"no"`
	// Rate is the number of requests a second that all routers together may send, or 0
	// without a limit.
	Rate float64 `json:"rate,omitempty"`
}

// supersedes reports whether l holds in place of old.
func (l Limit) supersedes(old Limit) bool {
	if l.Number != old.Number {
		return l.Number > old.Number
	}
	return l.Rate > 0 && (old.Rate == 0 || l.Rate < old.Rate)
}

// valid reports whether a record of another daemon can be used.
func (l Limit) valid() bool {
	return l.Upstream != "" && l.Rate >= 0 && !math.IsInf(l.Rate, 0) && !math.IsNaN(l.Rate)
}

// Answer is what an answer of an upstream asks for.
type Answer struct {
	Leaving bool
	RetryAt time.Time // the end of a pause, or zero
	Rate    float64   // the limit in requests a second, or 0
	Ran     bool      // false for a refusal, which may not say all that other answers say
	SentAt  time.Time // when the request was sent
}

// entry is what one run asks for.
type entry struct {
	leaveEnd time.Time // invariant: the upstream leaves until then
	pauseEnd time.Time // invariant: it wants nothing until then
	limit    Limit
	learned  time.Time // invariant: when this daemon learned of limit.Rate
	renewed  time.Time // invariant: when it learned of limit.Number
	bucket   bucket
}

// rate returns the limit in force, or 0.
func (e *entry) rate(now time.Time) float64 {
	if now.Sub(e.renewed) > limitTime {
		return 0
	}
	return e.limit.Rate
}

// Book holds what upstreams ask for. It is not safe for concurrent use. It reads no clock.
type Book struct {
	entries map[Run]*entry
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: map[Run]*entry{}} }

// Len returns the number of runs that ask or have asked for something.
func (b *Book) Len() int { return len(b.entries) }

func (b *Book) entry(r Run) *entry {
	e := b.entries[r]
	if e == nil {
		e = &entry{limit: Limit{Run: r}}
		b.entries[r] = e
	}
	return e
}

// Hear takes an answer. It returns a record for the other routers if the limit is new, has
// changed or ended, or is due to be renewed.
func (b *Book) Hear(r Run, a Answer, now time.Time) (Limit, bool) {
	e := b.entries[r]
	if e == nil {
		if !a.Leaving && a.RetryAt.IsZero() && a.Rate == 0 {
			return Limit{}, false
		}
		e = b.entry(r)
	}
	if a.Leaving {
		e.leaveEnd = now.Add(leaveTime)
	}
	if a.RetryAt.After(e.pauseEnd) {
		e.pauseEnd = a.RetryAt
	}
	switch {
	case a.Rate == 0 && (!a.Ran || a.SentAt.Before(e.learned)):
		// The answer was given before the limit, or does not tell.
		return Limit{}, false
	case a.Rate == e.rate(now) && (a.Rate == 0 || now.Sub(e.renewed) < refreshTime):
		return Limit{}, false
	}
	next := e.limit
	next.Number++
	next.Rate = a.Rate
	e.apply(next, now)
	return next, true
}

// Merge takes the records of other routers and returns those that were new.
func (b *Book) Merge(records []Limit, now time.Time) []Limit {
	var changed []Limit
	for _, l := range records {
		if !l.valid() {
			continue
		}
		if e := b.entry(l.Run); l.supersedes(e.limit) {
			e.apply(l, now)
			changed = append(changed, l)
		}
	}
	return changed
}

func (e *entry) apply(l Limit, now time.Time) {
	if l.Rate != e.limit.Rate {
		e.learned = now
	}
	e.limit, e.renewed = l, now
}

// Limits returns the records of all limits, also of those that have ended.
func (b *Book) Limits() []Limit {
	var list []Limit
	for _, e := range b.entries {
		if e.limit.Number > 0 {
			list = append(list, e.limit)
		}
	}
	return list
}

// Sweep removes what no longer matters.
func (b *Book) Sweep(now time.Time) {
	for r, e := range b.entries {
		if !now.Before(e.leaveEnd) && !now.Before(e.pauseEnd) && now.Sub(e.renewed) > limitTime {
			delete(b.entries, r)
		}
	}
}

// Allows reports whether a request may be sent to an upstream now. share returns the part
// of a rate that this router may use, see Share.
func (b *Book) Allows(r Run, share func(rate float64) float64, now time.Time) bool {
	e := b.entries[r]
	if e == nil {
		return true
	}
	if now.Before(e.leaveEnd) || now.Before(e.pauseEnd) {
		return false
	}
	rate := e.rate(now)
	return rate == 0 || e.bucket.level(share(rate), now) >= 1
}

// PauseEnd returns the end of the pause that an upstream has asked for, or the zero time.
func (b *Book) PauseEnd(r Run) time.Time {
	if e := b.entries[r]; e != nil {
		return e.pauseEnd
	}
	return time.Time{}
}

// Take counts a request that is about to be sent. It returns false if it must not be.
func (b *Book) Take(r Run, share func(rate float64) float64, now time.Time) bool {
	if !b.Allows(r, share, now) {
		return false
	}
	if e := b.entries[r]; e != nil && e.rate(now) > 0 {
		e.bucket.tokens--
	}
	return true
}
