package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/place"
	"poplarbend.example/poplar/pkg/roster"
)

// This file holds what a router knows of one start of an upstream.

// Times of upstreams that fail.
const (
	// loadAge is how long a told load is believed.
	loadAge = 1500 * time.Millisecond
	// benchFirst and benchMost are the times for which an upstream that did not
	// connect is left out.
	benchFirst = 300 * time.Millisecond
	benchMost  = 3 * time.Second
	// failureTime is the time after which an old failure weighs a third.
	failureTime = 4 * time.Second
)

// upstream is one start of an upstream.
type upstream struct {
	name    poplar.Upstream
	service poplar.Service
	address string
	domain  poplar.Domain
	born    int64
	slots   int
	told    bool // invariant: guarded by the lock of the view
	leaving atomic.Bool
	silent  atomic.Bool
	moved   atomic.Bool // true when another upstream answered at the address

	mu       sync.Mutex
	running  int           // invariant: requests of this router that were sent and have not ended
	unread   poplar.Tokens // invariant: prompt tokens of those without a first byte
	load     poplar.Head
	loadAt   time.Time
	since    int // invariant: sends minus ends since the load was told
	failures float64
	answers  float64
	rateAt   time.Time
	bench    time.Duration // a setting of the next pause
	until    time.Time     // invariant: left out before it
	parts    partCache
}

func newUpstream(e roster.Entry) *upstream {
	return &upstream{
		name: e.Name, service: e.Service, address: e.Address, domain: e.Domain, born: e.Born, slots: e.Slots,
		parts: newPartCache(),
	}
}

// open reports whether new work may go there.
func (u *upstream) open() bool { return !u.leaving.Load() && !u.moved.Load() }

// usable reports whether new work may go there and the upstream is heard.
func (u *upstream) usable() bool { return u.open() && !u.silent.Load() }

// begin counts a request that is sent.
func (u *upstream) begin(prompt poplar.Tokens) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.since++
	u.unread += prompt
}

// busy reports whether this router has the given number of requests open there. A
// connection carries one at a time.
func (u *upstream) busy(most int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running >= most
}

// read counts the first byte of an answer.
func (u *upstream) read(prompt poplar.Tokens) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unread -= prompt
}

// end counts the end of a request.
func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.since--
}

// answered notes the head of an answer.
func (u *upstream) answered(v poplar.Head, failed bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if v.Loaded {
		u.load, u.loadAt, u.since = v, now, 0
	}
	u.bench, u.until = 0, time.Time{}
	u.rate(failed, now)
}

// failed notes an exchange without an answer.
func (u *upstream) failed(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rate(true, now)
}

// unreached notes that no connection could be made, and leaves the upstream out
// for a while.
func (u *upstream) unreached(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bench = min(max(2*u.bench, benchFirst), benchMost)
	u.until = now.Add(u.bench)
}

func (u *upstream) rate(failed bool, now time.Time) {
	if !u.rateAt.IsZero() {
		keep := max(0, 1-float64(now.Sub(u.rateAt))/float64(failureTime))
		u.failures *= keep
		u.answers *= keep
	}
	u.rateAt = now
	u.answers++
	if failed {
		u.failures++
	}
}

// failing returns the portion of recent answers that failed. Few answers weigh
// less.
func (u *upstream) failing(now time.Time) float64 {
	keep := max(0, 1-float64(now.Sub(u.rateAt))/float64(failureTime))
	return u.failures * keep / (u.answers*keep + failureWeight)
}

// failureWeight is the number of good answers that are assumed beside those
// seen.
const failureWeight = 2

// candidate returns the upstream as placement sees it.
func (u *upstream) candidate(parts []poplar.Part, prompt poplar.Tokens, home poplar.Domain, now time.Time) place.Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := place.Candidate{
		Running: float64(u.running),
		Slots:   float64(u.slots),
		Unread:  float64(u.unread),
		Missing: float64(prompt - u.parts.cached(parts)),
		Local:   u.domain == home,
		Suspect: u.silent.Load() || now.Before(u.until),
		Closed:  !u.open(),
	}
	c.Failures = u.failing(now)
	if age := now.Sub(u.loadAt); u.load.Loaded && age < loadAge {
		c.Running = max(c.Running, float64(u.load.Running+u.since))
		c.Waiting = max(0, float64(u.load.Waiting)*(1-float64(age)/float64(loadAge)))
	}
	return c
}

// remember notes that the parts of a prompt were read there.
func (u *upstream) remember(parts []poplar.Part) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.parts.put(parts)
}
