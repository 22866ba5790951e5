package limit

import (
	"sync"
	"time"

	"poplarbend.example/poplar"
)

// Gauge passes the limits and ejections of one upstream to the component that
// routes requests. *route.LocalState implements it.
type Gauge interface {
	// SetLimit sets the maximum number of concurrent requests at the upstream.
	SetLimit(limit float64)
	// SetSlowdown sets the ratio of the measured to the predicted time to first
	// token.
	SetSlowdown(slowdown float64)
	// Eject stops new requests to the upstream until the given time.
	Eject(until time.Time)
}

// Upstream is the limit of one upstream. It is safe for concurrent use.
type Upstream struct {
	name  poplar.Upstream
	group string
	gauge Gauge

	mu              sync.Mutex
	limit           *Limit    // invariant: guarded by mu
	ejectedUntil    time.Time // zero when no ejection is in force
	recentEjections int       // ejections since the count was last reset
	probing         bool      // true from the end of an ejection to the next success; the limit is then 1
	countResetAt    time.Time // recentEjections is reset after this time
}

// Fleet holds the limits of all upstreams. It is safe for concurrent use.
type Fleet struct {
	mu        sync.Mutex
	settings  Settings                      // invariant: guarded by mu
	upstreams map[poplar.Upstream]*Upstream // invariant: guarded by mu
}

// NewFleet returns a Fleet without upstreams.
func NewFleet(settings Settings) *Fleet {
	return &Fleet{settings: settings, upstreams: map[poplar.Upstream]*Upstream{}}
}

// Add adds an upstream to a group of comparable upstreams, in slow start, and
// returns it. It returns the existing Upstream if the name is already present.
// An upstream that is added again after Remove begins in slow start.
func (f *Fleet) Add(name poplar.Upstream, group string, slots int, gauge Gauge) *Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.upstreams[name]
	if u == nil {
		u = &Upstream{name: name, group: group, gauge: gauge, limit: NewLimit(slots)}
		f.upstreams[name] = u
		gauge.SetLimit(u.limit.Value())
		gauge.SetSlowdown(1)
	}
	return u
}

// Remove removes an upstream.
func (f *Fleet) Remove(name poplar.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.upstreams, name)
}

// SetSettings replaces the settings.
func (f *Fleet) SetSettings(settings Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
}

// Update adapts all limits and ejects outliers. The owner calls it once per
// Period. It returns the new ejections, for logs and trace spans.
func (f *Fleet) Update(now time.Time) []Ejection {
	f.mu.Lock()
	defer f.mu.Unlock()
	healths := make([]Health, 0, len(f.upstreams))
	for _, u := range f.upstreams {
		healths = append(healths, u.refreshHealth(now))
	}
	medians := medianSlowdowns(healths)
	for _, u := range f.upstreams {
		u.update(f.settings.Tolerance, medians[u.group], now)
	}
	ejections := Eject(healths, f.settings, now)
	for _, e := range ejections {
		f.upstreams[e.name].eject(e, f.settings)
	}
	return ejections
}

// RecordSent records that a request was sent; see Limit.RecordSent.
func (u *Upstream) RecordSent(expected time.Duration, now time.Time) *Sample {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit.RecordSent(expected, now)
}

// FirstToken records the first token of a request; see Limit.FirstToken.
func (u *Upstream) FirstToken(s *Sample, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit.FirstToken(s, now)
}

// RecordEnd records the end of a request; see Limit.RecordEnd.
func (u *Upstream) RecordEnd(s *Sample, failed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit.RecordEnd(s, failed)
	if u.probing && s.gotFirst && !failed {
		u.probing = false
	}
}

// refreshHealth ends an ejection whose time is over, resets the ejection count
// when it is due, and returns the health of the upstream.
func (u *Upstream) refreshHealth(now time.Time) Health {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ejectedUntil.IsZero() && !now.Before(u.ejectedUntil) {
		u.ejectedUntil = time.Time{}
		u.probing = true
		u.limit.Restart()
	}
	if now.After(u.countResetAt) {
		u.recentEjections = 0
	}
	return NewHealth(u.name, u.group, u.limit.Failures(), u.limit.LongSlowdown()).WithEjection(u.ejectedUntil, u.recentEjections)
}

// update closes a period. The slowdown is measured against the median of the
// group: when all upstreams are slower than predicted, the cause is the
// prediction or the admission, and lower limits would only waste capacity.
func (u *Upstream) update(tolerance, median float64, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit.Update(tolerance*median, now)
	value := u.limit.Value()
	if u.probing {
		value = 1
	}
	u.gauge.SetLimit(value)
	u.gauge.SetSlowdown(u.limit.Slowdown() / median)
}

// eject starts an ejection. Ejections that follow each other within ten times
// the longest ejection are counted together.
func (u *Upstream) eject(e Ejection, s Settings) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ejectedUntil = e.until
	u.recentEjections++
	u.countResetAt = e.until.Add(10 * s.Longest)
	u.gauge.Eject(e.until)
}
