package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/place"
	"poplarbend.example/poplar/pkg/room"
	"poplarbend.example/poplar/pkg/roster"
	"poplarbend.example/poplar/pkg/speed"
)

// Time constants of the state of an upstream.
const (
	// maxLoadAge is how long a reported load is used.
	maxLoadAge = 1500 * time.Millisecond
	// An upstream to which no connection could be made is avoided for a
	// back-off between minBackoff and maxBackoff, which doubles with each
	// failure.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// outcomeDecayTime is the time in which the weight of an old outcome falls
	// to about a third under steady traffic.
	outcomeDecayTime = 4 * time.Second
)

// upstream is the state of one incarnation of an upstream, as this router knows
// it.
type upstream struct {
	name      poplar.Upstream
	service   poplar.Service
	address   string
	domain    poplar.Domain
	startTime int64 // Unix milliseconds
	slots     int
	logged    bool // invariant: guarded by Proxy.viewMu
	leaving   atomic.Bool
	silent    atomic.Bool // true if its announcements have stopped, see roster.Entry
	moved     atomic.Bool // true if another upstream answered at the address

	mu            sync.Mutex
	running       int           // invariant: requests of this router that were sent and have not ended
	uncached      poplar.Tokens // invariant: uncached prompt tokens of those requests without a first byte
	load          poplar.Head   // header of the last response with a load report
	loadAt        time.Time
	others        int           // invariant: requests of other routers by the last load report, as of loadAt
	streams       float64       // invariant: streams of this router in flight, each weighed by its rank
	tokens        poplar.Tokens // invariant: prompt and expected output of the requests of this router in flight
	sentSinceLoad int           // invariant: requests sent minus requests ended since the last load report
	failures      float64
	outcomes      float64
	outcomeAt     time.Time
	backoff       time.Duration // length of the last back-off
	backoffUntil  time.Time     // invariant: avoided before this time
	parts         partCache
	speed         speed.Meter
	estimate      speed.Estimate // relative to the other upstreams as of the last sweep
	pause         float64        // usual pause between events of the service, in ms, as of the last sweep
}

func newUpstream(e roster.Entry) *upstream {
	return &upstream{
		name: e.Name, service: e.Service, address: e.Address, domain: e.Domain, startTime: e.StartedAt, slots: e.Slots,
		parts: newPartCache(),
	}
}

// acceptsWork reports whether the upstream accepts new requests.
func (u *upstream) acceptsWork() bool { return !u.leaving.Load() && !u.moved.Load() }

// usable reports whether the upstream accepts new requests and is not silent.
func (u *upstream) usable() bool { return u.acceptsWork() && !u.silent.Load() }

// requestSent counts a request that was sent, with its uncached tokens and all tokens that
// it takes of the upstream's memory. stream is its weight as a stream.
func (u *upstream) requestSent(prompt, size poplar.Tokens, stream float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tokens += size
	u.streams += stream
	u.running++
	u.sentSinceLoad++
	u.uncached += prompt
}

// firstByte counts the first byte of a response.
func (u *upstream) firstByte(prompt poplar.Tokens) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.uncached -= prompt
}

// open returns the number of requests of this router that have not ended.
func (u *upstream) open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// requestEnded counts the end of a request.
func (u *upstream) requestEnded(size poplar.Tokens, stream float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tokens -= size
	u.streams -= stream
	u.running--
	u.sentSinceLoad--
}

// headReceived records the header of a response and ends the back-off.
func (u *upstream) headReceived(head poplar.Head, failed bool, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if head.HasLoad {
		u.load, u.loadAt, u.sentSinceLoad = head, now, 0
		u.others = max(0, head.Running+head.Waiting-u.running)
	}
	u.speed.AddReport(head.Slowness, now)
	u.backoff, u.backoffUntil = 0, time.Time{}
	u.recordOutcome(failed, now)
}

// attemptFailed records an attempt without a complete response.
func (u *upstream) attemptFailed(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordOutcome(true, now)
}

// connectFailed records that no connection could be made, and starts a
// back-off.
func (u *upstream) connectFailed(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.backoff = min(max(2*u.backoff, minBackoff), maxBackoff)
	u.backoffUntil = now.Add(u.backoff)
}

// recordOutcome counts an outcome and reduces the weight of the older ones.
func (u *upstream) recordOutcome(failed bool, now time.Time) {
	if !u.outcomeAt.IsZero() {
		decay := max(0, 1-float64(now.Sub(u.outcomeAt))/float64(outcomeDecayTime))
		u.failures *= decay
		u.outcomes *= decay
	}
	u.outcomeAt = now
	u.outcomes++
	if failed {
		u.failures++
	}
}

// failureRatio returns the share of recent outcomes that were failures. Few
// outcomes give a lower ratio, because of priorOutcomes.
func (u *upstream) failureRatio(now time.Time) float64 {
	decay := max(0, 1-float64(now.Sub(u.outcomeAt))/float64(outcomeDecayTime))
	return u.failures * decay / (u.outcomes*decay + priorOutcomes)
}

// priorOutcomes is the number of successes that are assumed in addition to the
// recorded outcomes.
const priorOutcomes = 2

// roomState returns what this router knows of the memory and slots in use. u.mu must be
// held.
func (u *upstream) roomState(now time.Time) room.State {
	s := room.State{Tokens: float64(u.tokens), Requests: float64(u.running), Others: float64(u.others), Age: -1}
	if u.load.HasLoad {
		s.Age = now.Sub(u.loadAt)
	}
	return s
}

// othersStream is the weight of a stream of another router, whose rank is not known.
const othersStream = 0.5

// bounds are what the candidates of a request have in common.
type bounds struct {
	domain  poplar.Domain
	maxOpen int           // connections that this router may open to each upstream
	size    poplar.Tokens // tokens that the request takes of an upstream's memory
	memory  poplar.Tokens // an upstream's memory in tokens, 0 if unknown
	usual   room.Usual
}

// candidate returns the state of the upstream as input for the placement. It is excluded
// if this router has maxOpen open requests there, each of which uses a connection.
func (u *upstream) candidate(prompt place.Prompt, b *bounds, now time.Time) place.Candidate {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := place.Candidate{
		Upstream:       u.name,
		Usable:         u.usable(),
		Running:        float64(u.running),
		Slots:          float64(u.slots),
		PendingPrefill: float64(u.uncached),
		Uncached:       float64(prompt.Tokens - u.parts.cachedTokens(prompt.Parts)),
		Local:          u.domain == b.domain,
		Suspect:        u.silent.Load() || now.Before(u.backoffUntil),
		Excluded:       !u.acceptsWork() || u.running >= b.maxOpen,
	}
	if b.memory > 0 {
		// A plain service has few upstreams with few slots, which all routers would leave
		// and return to together by its reports.
		limits := room.Limits{Tokens: float64(b.memory), Slots: float64(u.slots)}
		load := b.usual.Load(u.roomState(now))
		c.Crowding = room.Crowding(load.Free(limits, float64(b.size)))
		c.Streams = u.streams + othersStream*max(0, load.Requests-float64(u.running))
		c.Slowness, c.StepSlowness = u.estimate.At(now)
		c.Pause = u.pause * c.StepSlowness
	}
	c.FailureRatio = u.failureRatio(now)
	if age := now.Sub(u.loadAt); u.load.HasLoad && age < maxLoadAge {
		c.Running = max(c.Running, float64(u.load.Running+u.sentSinceLoad))
		c.Waiting = max(0, float64(u.load.Waiting)*(1-float64(age)/float64(maxLoadAge)))
	}
	return c
}

// cacheParts records that the upstream has processed the parts of a prompt.
func (u *upstream) cacheParts(parts []poplar.Part) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.parts.add(parts)
}
