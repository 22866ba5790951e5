package shed

import (
	"time"

	"poplarbend.example/poplar"
)

const (
	// maxDiverted is the number of diverted requests that are remembered. It covers a
	// saturated link: some hundreds of requests a second for the time of returnSpan.
	maxDiverted = 1024
	// returnSpan is how long a diverted request is remembered. A caller's retry may be held
	// up by the link as well.
	returnSpan = 3 * time.Second
	// minDiverted is the number of recently diverted requests of a source from which their
	// returns count.
	minDiverted = 4
	// returnFraction is the fraction of them whose return shows that diverting is of no use.
	returnFraction = 0.25
	// sourceSpan is how long the returns of a source count after the last one. After that,
	// some requests are diverted again to find out. Its counts are halved as often.
	sourceSpan = 10 * time.Second
	// minReturn is the least time until a retry arrives. What arrives earlier is another
	// request.
	minReturn = 5 * time.Millisecond
)

// Returns learns which sources of requests send the retries of diverted requests to this
// router again, as callers do whom the balancer always sends to the same router. Each
// caller retries once, so for them a diverted request is a lost one.
//
// Load: one workspace of which nearly all callers use one router, at a rate that exceeds
// its link.
type Returns struct {
	ring    [maxDiverted]diversion
	next    int
	byKey   map[uint64]int // index in ring of the latest diversion of a request
	sources map[poplar.Workspace]*source
}

// diversion is a request that was diverted.
type diversion struct {
	key    uint64
	source poplar.Workspace
	until  time.Time // invariant: forgotten then; zero if it has returned
}

// source counts the diverted requests of one workspace.
type source struct {
	diverted, returned float64
	halveAt            time.Time // invariant: the counts are halved then
	until              time.Time // invariant: returns count until then
}

// NewReturns returns a state without diverted requests.
func NewReturns() *Returns {
	return &Returns{byKey: map[uint64]int{}, sources: map[poplar.Workspace]*source{}}
}

// Empty reports whether no diverted request is remembered, so that no request can be the
// retry of one.
func (r *Returns) Empty() bool { return len(r.byKey) == 0 }

// MayDivert reports whether a request that has arrived may be diverted: it is not the retry
// of a diverted request, which it counts, and such retries of the workspace reach other
// routers. A key of 0 stands for a request that cannot be told from others.
func (r *Returns) MayDivert(w poplar.Workspace, key uint64, now time.Time) bool {
	return !r.arrived(key, now) && !r.useless(w, now)
}

// arrived reports whether a request is the retry of a diverted one, and counts it if so.
func (r *Returns) arrived(key uint64, now time.Time) bool {
	i, found := r.byKey[key]
	if !found {
		return false
	}
	d := &r.ring[i]
	if now.Before(d.until.Add(minReturn - returnSpan)) {
		return false
	}
	delete(r.byKey, key)
	if now.After(d.until) {
		return false
	}
	s := r.source(d.source, now)
	s.returned++
	s.until = now.Add(sourceSpan)
	return true
}

// Diverted records that a request was diverted.
func (r *Returns) Diverted(w poplar.Workspace, key uint64, now time.Time) {
	if key == 0 {
		return
	}
	old := &r.ring[r.next]
	if i, found := r.byKey[old.key]; found && i == r.next {
		delete(r.byKey, old.key)
	}
	*old = diversion{key: key, source: w, until: now.Add(returnSpan)}
	r.byKey[key] = r.next
	r.next = (r.next + 1) % maxDiverted
	r.source(w, now).diverted++
}

// useless reports whether requests of the workspace are not worth diverting, since their
// retries come back.
func (r *Returns) useless(w poplar.Workspace, now time.Time) bool {
	s := r.sources[w]
	return s != nil && now.Before(s.until) && s.diverted >= minDiverted && s.returned >= returnFraction*s.diverted
}

// source returns the counts of a workspace.
func (r *Returns) source(w poplar.Workspace, now time.Time) *source {
	s := r.sources[w]
	if s == nil {
		s = &source{halveAt: now.Add(sourceSpan)}
		r.sources[w] = s
	}
	if !now.Before(s.halveAt) {
		s.diverted, s.returned, s.halveAt = s.diverted/2, s.returned/2, now.Add(sourceSpan)
	}
	return s
}

// Sweep forgets what no longer counts.
func (r *Returns) Sweep(now time.Time) {
	for key, i := range r.byKey {
		if now.After(r.ring[i].until) {
			delete(r.byKey, key)
		}
	}
	for w, s := range r.sources {
		if !now.Before(s.until) && !now.Before(s.halveAt.Add(sourceSpan)) {
			delete(r.sources, w)
		}
	}
}
