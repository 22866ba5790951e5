package edge

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/route"
)

// A request that may have crashed an upstream is a suspect and runs alone. A
// request that has crashed too many upstreams is refused.

// crashWindow is how long a broken hop may count towards a crash of its
// upstream that is detected later.
const crashWindow = 3 * time.Second

// claimTime is how long the suspects of other routers avoid a claimed upstream.
const claimTime = 5 * time.Second

// maxBrokenHops bounds the broken hops that are retained for one upstream.
const maxBrokenHops = 1024

// errPoisonous means that the request has crashed upstreams before.
var errPoisonous = errors.New("the request crashed two upstreams that ran it")

// errPoisonousPart means that requests with a part of the prompt have crashed
// upstreams before.
var errPoisonousPart = errors.New("a part of the prompt crashed upstreams in other requests")

// brokenHop is a hop whose connection the upstream broke.
type brokenHop struct {
	hop *hop
	at  time.Time
}

// crashTracker protects upstreams from requests that crash them. It is safe for
// concurrent use.
type crashTracker struct {
	tracked   atomic.Int64 // number of records and of upstreams with broken hops; while it is 0, check and sweep take no lock
	broadcast func([]poison.Record)
	position  float64 // invariant: from 0 to 1, differs between daemons; see poison.Registry.CheckParts

	mu       sync.Mutex
	registry *poison.Registry                      // invariant: guarded by mu
	inFlight map[poplar.Upstream]map[*hop]struct{} // invariant: guarded by mu
	broken   map[poplar.Upstream][]brokenHop       // invariant: guarded by mu
}

func newCrashTracker(broadcast func([]poison.Record)) *crashTracker {
	return &crashTracker{
		broadcast: broadcast, position: rand.Float64(), registry: poison.NewRegistry(poison.DefaultSettings()),
		inFlight: map[poplar.Upstream]map[*hop]struct{}{}, broken: map[poplar.Upstream][]brokenHop{},
	}
}

// check returns the verdict on a request and, if the request is refused, when
// the refusal ends.
func (t *crashTracker) check(fingerprint poison.Fingerprint, now time.Time) (poison.Verdict, time.Time) {
	if t.tracked.Load() == 0 {
		return poison.Clean, time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Check(fingerprint, now)
}

// checkParts returns the verdict on the parts of a prompt and, if they are refused,
// when the refusal ends. A trial of a part is published.
func (t *crashTracker) checkParts(parts []poison.Fingerprint, now time.Time) (refused bool, until time.Time) {
	if t.tracked.Load() == 0 {
		return false, time.Time{}
	}
	t.mu.Lock()
	verdict, until := t.registry.CheckParts(parts, t.position, now)
	var records []poison.Record
	if verdict == poison.Isolated {
		records = t.registry.StartTrial(parts, now)
	}
	t.mu.Unlock()
	t.publish(records)
	return verdict == poison.Refused, until
}

// progressPeriod is the time between two looks at how far a response has come while there are
// suspects.
const progressPeriod = 100 * time.Millisecond

// recordProgress records how far a hop has come, now and then while there are suspects. Only the
// goroutine that reads the response calls it.
func (t *crashTracker) recordProgress(h *hop, now time.Time) {
	if t.tracked.Load() == 0 || now.Before(h.progressAt) {
		return
	}
	h.progressAt = now.Add(progressPeriod)
	t.mu.Lock()
	records := t.registry.RecordAnswer(h.answer(int(h.tokens.Load()), false, now))
	t.mu.Unlock()
	t.publish(records)
}

// answer returns how far the upstream has come with its response, as evidence for the parts of
// the prompt. A suspect request is cleared only if it ran alone, see hopEnded.
func (h *hop) answer(events int, whole bool, now time.Time) poison.Answer {
	return poison.Answer{Parts: h.parts, Events: events, Whole: whole, Resumed: h.resumed, At: now}
}

// earliestRun returns the time from which a suspect may run.
func (t *crashTracker) earliestRun(fingerprint poison.Fingerprint) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.EarliestRun(fingerprint)
}

// claim reserves an upstream for a suspect and notifies the other routers. It
// reports false if another suspect has the upstream.
func (t *crashTracker) claim(fingerprint poison.Fingerprint, upstream poplar.Upstream, now time.Time) bool {
	t.mu.Lock()
	if t.registry.HasOtherSuspect(upstream, fingerprint, now) {
		t.mu.Unlock()
		return false
	}
	record := t.registry.StartIsolated(fingerprint, upstream, now.Add(claimTime))
	t.mu.Unlock()
	t.publish([]poison.Record{record})
	return true
}

// hopStarted adds a hop to the hops in flight. If the upstream has a newer
// incarnation than hops that broke, it has crashed in between.
func (t *crashTracker) hopStarted(h *hop, now time.Time) {
	t.mu.Lock()
	all := t.inFlight[h.upstream]
	if all == nil {
		all = map[*hop]struct{}{}
		t.inFlight[h.upstream] = all
	}
	all[h] = struct{}{}
	var records []poison.Record
	var published chan struct{}
	if old := t.broken[h.upstream]; len(old) > 0 && old[0].hop.incarnation < h.incarnation {
		records, published = t.recordCrash(h.upstream, old[0].hop.incarnation, now)
	}
	t.mu.Unlock()
	t.publish(records)
	if published != nil {
		close(published)
	}
}

// hopEnded removes a hop that completed, that the router ended, or whose
// connection broke. A suspect that ran alone and completed is cleared.
func (t *crashTracker) hopEnded(h *hop, complete, connectionBroke bool, now time.Time) {
	t.mu.Lock()
	delete(t.inFlight[h.upstream], h)
	if len(t.inFlight[h.upstream]) == 0 {
		delete(t.inFlight, h.upstream)
	}
	var records []poison.Record
	if connectionBroke && h.published == nil && len(t.broken[h.upstream]) < maxBrokenHops {
		t.broken[h.upstream] = append(t.broken[h.upstream], brokenHop{h, now})
		t.updateTracked()
	}
	if complete {
		events := int(h.tokens.Load())
		if !h.streams {
			events = poison.AllEvents
		}
		records = append(records, t.registry.RecordAnswer(h.answer(events, true, now))...)
	}
	if complete && h.exclusive && !h.resumed {
		if r, cleared := t.registry.RecordFinish(h.fingerprint, true, now); cleared {
			records = append(records, r)
		}
	}
	t.mu.Unlock()
	t.publish(records)
}

// connectFailed records that an upstream accepts no connections. If hops broke
// there shortly before, the upstream has crashed.
func (t *crashTracker) connectFailed(upstream poplar.Upstream, incarnation uint64, now time.Time) {
	t.mu.Lock()
	records, published := t.recordCrash(upstream, incarnation, now)
	t.mu.Unlock()
	t.publish(records)
	close(published)
}

// awaitPublished returns once the crash that broke the hop, if one was detected,
// was published to the other routers.
func (t *crashTracker) awaitPublished(h *hop) {
	t.mu.Lock()
	published := h.published
	t.mu.Unlock()
	if published != nil {
		<-published
	}
}

// recordCrash records the crash of one incarnation. It returns the records to
// publish, and a channel to close after that. A hop counts towards one crash
// only: if it is found broken after the crash was recorded, it belongs to that
// crash. It is called with mu held.
func (t *crashTracker) recordCrash(upstream poplar.Upstream, incarnation uint64, now time.Time) ([]poison.Record, chan struct{}) {
	published := make(chan struct{})
	var breaks []poison.Break
	for _, b := range t.broken[upstream] {
		if b.hop.incarnation == incarnation && now.Sub(b.at) < crashWindow {
			breaks = append(breaks, b.hop.asBreak())
			b.hop.published = published
		}
	}
	delete(t.broken, upstream)
	defer t.updateTracked()
	if len(breaks) == 0 {
		return nil, published
	}
	for h := range t.inFlight[upstream] {
		if h.incarnation == incarnation && h.published == nil && h.sentAt.Before(now.Add(-time.Millisecond)) {
			breaks = append(breaks, h.asBreak())
			h.published = published
		}
	}
	return t.registry.RecordBreaks(upstream, incarnation, breaks, now), published
}

// asBreak returns the hop as a request whose response broke off. That its response had begun
// does not count for the request, which runs alone after a crash.
func (h *hop) asBreak() poison.Break {
	return poison.Break{Fingerprint: h.fingerprint, Parts: h.parts, Events: int(h.tokens.Load())}
}

// learn merges the records of another daemon.
func (t *crashTracker) learn(records []poison.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.MergeRecords(records)
	t.updateTracked()
}

// sweep removes expired records and broken hops.
func (t *crashTracker) sweep(now time.Time) {
	if t.tracked.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Sweep(now)
	for upstream, all := range t.broken {
		if now.Sub(all[len(all)-1].at) > crashWindow {
			delete(t.broken, upstream)
		}
	}
	t.updateTracked()
}

func (t *crashTracker) updateTracked() { t.tracked.Store(int64(t.registry.Len() + len(t.broken))) }

func (t *crashTracker) publish(records []poison.Record) {
	if len(records) > 0 && t.broadcast != nil {
		t.broadcast(records)
	}
}

// LearnPoison merges records of another daemon on requests that crash
// upstreams.
func (e *Edge) LearnPoison(records []poison.Record) { e.crashes.learn(records) }

// PoisonRecords returns at most limit records to send to another daemon; a
// limit of 0 means all.
func (e *Edge) PoisonRecords(limit int) []poison.Record {
	e.crashes.mu.Lock()
	defer e.crashes.mu.Unlock()
	return e.crashes.registry.Records(limit)
}

// ReleasePoison clears a refused request, so that it may run again. Only an
// operator decides that.
func (e *Edge) ReleasePoison(fingerprint poison.Fingerprint) {
	e.crashes.mu.Lock()
	r := e.crashes.registry.Release(fingerprint, e.conf.Clock.Now())
	e.crashes.mu.Unlock()
	e.crashes.publish([]poison.Record{r})
}

// checkPoison returns an error for a request that has crashed too many
// upstreams, and reports whether the request is a suspect that must run alone.
func (c *call) checkPoison() (exclusive bool, err error) {
	if refused, until := c.edge.crashes.checkParts(c.parts, c.edge.conf.Clock.Now()); refused {
		return false, poplar.Fail(poplar.StepPick, poplar.CodePoison, errPoisonousPart).After(until)
	}
	verdict, until := c.edge.crashes.check(poison.Fingerprint(c.digest), c.edge.conf.Clock.Now())
	switch verdict {
	case poison.Refused:
		return false, poplar.Fail(poplar.StepPick, poplar.CodePoison, errPoisonous).After(until)
	case poison.Isolated:
		return true, nil
	}
	return false, nil
}

// chooseIdle picks an idle upstream and keeps other requests from it until the
// attempt ends. While there is none it waits, for as long as the rank allows
// for a first token, and at least for idleSearchTime after the earliest run.
func (c *call) chooseIdle(avoid poplar.Upstream) (*target, error) {
	until := c.arrived.Add(c.policy.Rank(c.rank).First())
	earliest := c.edge.crashes.earliestRun(poison.Fingerprint(c.digest))
	if last := earliest.Add(idleSearchTime); last.After(until) {
		until = last
	}
	for {
		now := c.edge.conf.Clock.Now()
		if !now.Before(earliest) {
			if t := c.claimIdle(now, avoid); t != nil {
				t.exclusive = true
				return t, nil
			}
		}
		if now.After(until) {
			return nil, poplar.Failf(poplar.StepPick, poplar.CodeBusy,
				"the request is suspected of crashing upstreams, and no upstream is idle to run it alone").
				At(string(c.edge.conf.Daemon)).After(now.Add(maxWait))
		}
		if err := c.sleep(poplar.StepPick, minWait); err != nil {
			return nil, err
		}
	}
}

// claimIdle claims an eligible upstream other than avoid that has no requests
// in flight, neither from this router nor by its own load report. It returns nil
// if there is none.
func (c *call) claimIdle(now time.Time, avoid poplar.Upstream) *target {
	view := c.edge.conf.Roster.View()
	table := view.Table()
	for i := range table.Len() {
		candidate := table.At(i)
		report := candidate.Report()
		if candidate.Name() == avoid || !serves(candidate, c.op.pool()) || !candidate.Eligible(now) ||
			candidate.LocalState().InFlight() > 0 || report.Outstanding(poplar.Bulk) > 0 {
			continue
		}
		peer, ok := view.Peer(candidate.Name())
		if !ok || !claimExclusive(candidate.LocalState()) {
			continue
		}
		if c.edge.crashes.claim(poison.Fingerprint(c.digest), candidate.Name(), now) {
			return &target{peer: peer}
		}
		candidate.LocalState().ReleaseExclusive()
	}
	return nil
}

// idleSearchTime is how long a suspect looks for an idle upstream after the
// time from which it may run.
const idleSearchTime = 2 * time.Second

// claimExclusive takes an upstream for a suspect. It reports false if another
// suspect has it or if a request arrived in the meantime.
func claimExclusive(s *route.LocalState) bool {
	if !s.AcquireExclusive() {
		return false
	}
	if s.InFlight() > 0 {
		s.ReleaseExclusive()
		return false
	}
	return true
}
