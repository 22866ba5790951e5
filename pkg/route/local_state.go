package route

import (
	"math"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
)

const (
	// historySlots is the number of steps that the history of requests in
	// flight covers, and historyStep the length of a step.
	historySlots = 32
	historyStep  = 250 * time.Millisecond
	// serviceTimeWeight is the weight of one sample in the moving mean of
	// service times.
	serviceTimeWeight = 0.1
	// trustWeight is the weight of one sample in cacheTrust.
	trustWeight = 0.05
)

// LocalState is what one router records about one upstream in addition to the
// upstream's reports: the requests in flight, the limit in force, and the
// measured service time and slowdown. It is safe for concurrent use.
type LocalState struct {
	inFlight       [poplar.Ranks]atomic.Int64 // invariant: >= 0; this router's open requests
	pendingPrefill atomic.Int64               // invariant: >= 0; prompt tokens of requests without a first token
	limit          atomic.Uint64              // float64 bits; 0 means no limit
	serviceTime    atomic.Uint64              // float64 bits, seconds; 0 means not measured
	slowdown       atomic.Uint64              // float64 bits, >= 1; factor over the nominal duration
	cacheTrust     atomic.Uint64              // float64 bits in [0, 1]; mean found share of the expected cached tokens
	ejectedUntil   atomic.Int64               // Unix nanoseconds until which the upstream is ejected
	pausedUntil    atomic.Int64               // Unix nanoseconds until which the upstream wants no requests
	left           atomic.Bool                // true once an answer said that the upstream leaves
	exclusive      atomic.Bool                // true while the upstream is reserved for a request that must run alone
	slot           uint16                     // identifies the upstream in the prefix index
	generation     atomic.Uint32              // generation of the prefix entries, reduced modulo 255 in an entry
	// history is a ring of the requests in flight at the end of each past
	// step, packed as step number (40 bits) and count (24 bits).
	history [historySlots]atomic.Uint64
}

// NewLocalState returns the state of an upstream whose entries in the prefix
// index are marked with slot. Two live upstreams must not share a slot.
func NewLocalState(slot uint16) *LocalState {
	s := &LocalState{slot: slot}
	s.cacheTrust.Store(math.Float64bits(1))
	s.slowdown.Store(math.Float64bits(1))
	return s
}

// Start counts a request of rank with the given prompt tokens as in flight.
func (s *LocalState) Start(rank poplar.Rank, prompt poplar.Tokens, now time.Time) {
	s.inFlight[rank].Add(1)
	s.pendingPrefill.Add(int64(prompt))
	s.recordHistory(now)
}

// FirstToken records that the first token arrived, which means that the prompt
// is prefilled. It must be called once per request, with the same prompt tokens
// as Start.
func (s *LocalState) FirstToken(prompt poplar.Tokens) { s.pendingPrefill.Add(-int64(prompt)) }

// Finish counts the request as ended after it occupied the upstream for
// duration. FirstToken must have been called before, even if no token arrived. A
// duration of 0 or less, as for a failed request, is left out of the mean
// service time.
func (s *LocalState) Finish(rank poplar.Rank, duration time.Duration, now time.Time) {
	s.inFlight[rank].Add(-1)
	s.recordHistory(now)
	if duration > 0 {
		updateMean(&s.serviceTime, duration.Seconds(), serviceTimeWeight)
	}
}

// InFlight returns the number of this router's requests in flight, of all ranks.
func (s *LocalState) InFlight() int {
	n := int64(0)
	for i := range s.inFlight {
		n += s.inFlight[i].Load()
	}
	return int(n)
}

// PendingPrefill returns the prompt tokens of the requests that this router sent
// and that have not returned a first token.
func (s *LocalState) PendingPrefill() poplar.Tokens { return poplar.Tokens(s.pendingPrefill.Load()) }

// SetLimit sets the maximum number of requests at the upstream, counted over
// all routers. 0 or less means no limit.
func (s *LocalState) SetLimit(limit float64) { s.limit.Store(math.Float64bits(max(limit, 0))) }

// Limit returns the limit in force, or 0 if there is none.
func (s *LocalState) Limit() float64 { return math.Float64frombits(s.limit.Load()) }

// SetSlowdown sets the factor, at least 1, by which the upstream is slower than
// nominal. Predicted waits grow by this factor.
func (s *LocalState) SetSlowdown(slowdown float64) {
	s.slowdown.Store(math.Float64bits(max(slowdown, 1)))
}

// Slowdown returns the factor by which the upstream is slower than nominal.
func (s *LocalState) Slowdown() float64 { return math.Float64frombits(s.slowdown.Load()) }

// Eject ejects the upstream until the given time: Pick does not choose it. A
// time in the past, such as the zero time, ends the ejection.
func (s *LocalState) Eject(until time.Time) {
	if until.IsZero() {
		s.ejectedUntil.Store(0)
		return
	}
	s.ejectedUntil.Store(until.UnixNano())
}

// Ejected reports whether the upstream is ejected at now.
func (s *LocalState) Ejected(now time.Time) bool { return now.UnixNano() < s.ejectedUntil.Load() }

// Pause stops new requests until the given time, which the upstream has named. Unlike an
// ejection it is never shortened.
func (s *LocalState) Pause(until time.Time) {
	for {
		old := s.pausedUntil.Load()
		if until.UnixNano() <= old || s.pausedUntil.CompareAndSwap(old, until.UnixNano()) {
			return
		}
	}
}

// Leave stops new requests to the upstream, one of whose answers said that it leaves.
func (s *LocalState) Leave() { s.left.Store(true) }

// Restart ends what an earlier run of the upstream has asked for.
func (s *LocalState) Restart() {
	s.pausedUntil.Store(0)
	s.left.Store(false)
}

// AcquireExclusive reserves the upstream for one request that must run alone. It
// returns false if the upstream is reserved already. Pick does not choose the
// upstream until ReleaseExclusive is called.
func (s *LocalState) AcquireExclusive() bool { return s.exclusive.CompareAndSwap(false, true) }

// ReleaseExclusive ends a reservation made by AcquireExclusive.
func (s *LocalState) ReleaseExclusive() { s.exclusive.Store(false) }

// ObserveCacheHit records how many of the expected prompt tokens the upstream
// found in its cache, according to its response. If it finds fewer than the
// cache events promised, later estimates of its cached tokens are scaled down.
func (s *LocalState) ObserveCacheHit(expected, found poplar.Tokens) {
	if expected <= 0 {
		return
	}
	hitRatio := min(max(float64(found)/float64(expected), 0), 1)
	updateMean(&s.cacheTrust, hitRatio, trustWeight)
}

// ResetCache drops all prefix entries of the upstream, for example after its
// restart.
func (s *LocalState) ResetCache() {
	s.generation.Add(1)
	s.cacheTrust.Store(math.Float64bits(1))
}

// recordHistory stores the requests in flight in the step that contains now.
func (s *LocalState) recordHistory(now time.Time) {
	step := uint64(now.UnixNano() / int64(historyStep))
	count := uint64(max(s.InFlight(), 0))
	s.history[step%historySlots].Store(step<<24 | count&(1<<24-1))
}

// inFlightAt returns the number of requests in flight at a past time, or the
// present number if the history does not cover that time.
func (s *LocalState) inFlightAt(at time.Time) int {
	step := uint64(at.UnixNano() / int64(historyStep))
	for back := range uint64(historySlots) {
		v := s.history[(step-back)%historySlots].Load()
		if v>>24 == (step-back)&(1<<40-1) {
			return int(v & (1<<24 - 1))
		}
	}
	return s.InFlight()
}

// updateMean moves the float64 in bits towards sample. The first sample
// replaces 0.
func updateMean(bits *atomic.Uint64, sample, weight float64) {
	for {
		old := bits.Load()
		mean := math.Float64frombits(old)
		if mean == 0 {
			mean = sample
		}
		next := math.Float64bits(mean + weight*(sample-mean))
		if bits.CompareAndSwap(old, next) {
			return
		}
	}
}
