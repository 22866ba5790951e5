package proxy

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/poison"
)

// A router detects requests that crash upstreams, refuses them, and reports
// them to the control daemons, which inform the other routers.

const (
	// refusalTime is how long a request that crashed two upstreams is refused.
	// suspicionTime is how long one crash counts, and how long a request is
	// refused that was only in flight together with another suspect. Callers
	// retry such requests within seconds.
	refusalTime   = 5 * time.Minute
	suspicionTime = time.Minute
	// crashWindow is the maximum time between a broken response and the
	// evidence that the upstream has crashed.
	crashWindow = 2 * time.Second
	// begunEvents is the number of delivered events from which a stream counts as
	// begun, so that its parts do not crash upstreams.
	begunEvents = 2
	// reportTimeout limits a report to a control daemon, and reportPeriod is
	// the longest delay of a report.
	reportTimeout = 500 * time.Millisecond
	reportPeriod  = time.Second
)

// suspects tracks the requests that were in flight at upstreams when they
// crashed. A broken response alone does not prove a crash: the upstream must
// also refuse connections or have been restarted. suspects is safe for
// concurrent use.
type suspects struct {
	position float64 // invariant: from 0 to 1, differs between routers

	mu             sync.Mutex
	registry       *poison.Registry
	brokenRequests map[incarnation][]brokenRequest // invariant: entries older than crashWindow are removed when one is added
	probed         map[incarnation]time.Time       // invariant: when the last probe began; entries older than crashWindow are removed with the broken requests
	unreported     []poison.Record                 // invariant: records not yet reported to the control daemons
}

// incarnation identifies one process start of an upstream.
type incarnation struct {
	upstream  poplar.Upstream
	startTime int64 // Unix milliseconds
}

// brokenRequest is a request whose response broke off.
type brokenRequest struct {
	fingerprint poison.Fingerprint
	parts       []poison.Fingerprint // of the prompt
	begun       bool                 // true if the stream had delivered begunEvents
	at          time.Time
}

func newSuspects(position float64) *suspects {
	return &suspects{
		position:       position,
		registry:       poison.NewRegistry(poison.Settings{RefuseDuration: refusalTime, SuspectDuration: suspicionTime}),
		brokenRequests: map[incarnation][]brokenRequest{}, probed: map[incarnation]time.Time{},
	}
}

// fingerprint returns a hash of the request: its API key, method, URI and
// body.
func (x *exchange) fingerprint() poison.Fingerprint {
	h := fnv.New64a()
	for _, part := range []string{x.env.Secret, x.r.Method, x.r.RequestURI} {
		var length [4]byte
		binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	_, _ = x.body.WriteTo(h) // writes to a hash never fail
	return poison.Fingerprint(h.Sum64())
}

// partFingerprints returns hashes of the parts of the prompt that other requests may
// share: all but the last.
func (x *exchange) partFingerprints() []poison.Fingerprint {
	if len(x.env.Parts) < 2 {
		return nil
	}
	fingerprints := make([]poison.Fingerprint, len(x.env.Parts)-1)
	for i := range fingerprints {
		fingerprints[i] = poison.PartFingerprint([]byte(x.env.Parts[i].Name))
	}
	return fingerprints
}

// nonEmpty reports whether there are any records. Fingerprints are computed
// only if there are.
func (s *suspects) nonEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Len() > 0
}

// refused reports whether a request must be refused because it or a part of its
// prompt crashed upstreams, and until when. If it is let through as a trial of a part,
// refused returns the record to report.
func (s *suspects) refused(fp poison.Fingerprint, parts []poison.Fingerprint, now time.Time) (until time.Time, refused bool, trial []poison.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, until := s.registry.Check(fp, now)
	if verdict == poison.Refused {
		return until, true, nil
	}
	verdict, part, until := s.registry.CheckParts(parts, s.position, now)
	if verdict == poison.Isolated {
		trial = []poison.Record{s.registry.StartTrial(part, now)}
	}
	return until, verdict == poison.Refused, trial
}

// recordBroken records that the response of u to a request broke off. It reports
// whether the upstream should be probed for a crash.
func (s *suspects) recordBroken(u *upstream, b brokenRequest, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, list := range s.brokenRequests {
		if now.Sub(list[len(list)-1].at) > crashWindow {
			delete(s.brokenRequests, key)
		}
	}
	for key, at := range s.probed {
		if now.Sub(at) > crashWindow {
			delete(s.probed, key)
		}
	}
	key := incarnation{u.name, u.startTime}
	b.at = now
	s.brokenRequests[key] = append(s.brokenRequests[key], b)
	if _, probed := s.probed[key]; probed || b.begun {
		return false
	}
	s.probed[key] = now
	return true
}

// recordEnd records that the incarnation of an upstream has ended. It returns
// the records of the requests whose responses broke off shortly before.
func (s *suspects) recordEnd(u *upstream, now time.Time) []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := incarnation{u.name, u.startTime}
	var requests, parts []poison.Fingerprint
	begun := map[poison.Fingerprint]bool{}
	for _, b := range s.brokenRequests[key] {
		if now.Sub(b.at) > crashWindow {
			continue
		}
		requests = append(requests, b.fingerprint)
		for _, fp := range b.parts {
			if begun[fp] = begun[fp] || b.begun; !b.begun {
				parts = append(parts, fp)
			}
		}
	}
	delete(s.brokenRequests, key)
	if len(requests) == 0 {
		return nil
	}
	parts = slices.DeleteFunc(parts, func(fp poison.Fingerprint) bool { return begun[fp] })
	records := s.registry.RecordCrash(u.name, uint64(u.startTime), requests, now)
	return append(records, s.registry.RecordPartCrash(u.name, uint64(u.startTime), parts, now)...)
}

// recordFinished clears a request that completed, and the parts of its prompt. It
// returns the records to report of those that were suspects.
func (s *suspects) recordFinished(fingerprints []poison.Fingerprint, now time.Time) []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.RecordAnswered(fingerprints, now)
}

// learn merges the records of other routers.
func (s *suspects) learn(records []poison.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.MergeRecords(records)
}

// sweep removes expired records.
func (s *suspects) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Sweep(now)
}

func (s *suspects) queue(records []poison.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreported = append(s.unreported, records...)
}

// takeUnreported returns the records that are still to be reported, and clears
// them.
func (s *suspects) takeUnreported() []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.unreported
	s.unreported = nil
	return records
}

// reportCrash records that the incarnation of an upstream has ended, and
// reports the requests that may have crashed it.
func (p *Proxy) reportCrash(u *upstream) { p.reportSuspects(p.suspects.recordEnd(u, time.Now())) }

// reportSuspects queues records for the control daemons, which forward them to
// all routers. Crashes are reported at once.
func (p *Proxy) reportSuspects(records []poison.Record) {
	if len(records) == 0 {
		return
	}
	crashed := false
	for _, r := range records {
		crashed = crashed || len(r.Crashes) > 0
		p.log.Warn("suspect", "print", uint64(r.Fingerprint), "part", r.Part, "crashes", len(r.Crashes), "cleared", !r.Cleared.IsZero())
	}
	p.suspects.queue(records)
	if !crashed {
		return
	}
	select {
	case p.reportWake <- struct{}{}:
	default:
	}
}

// reportLoop runs reportOnce periodically and when a crash or a limit is queued.
func (p *Proxy) reportLoop() { loops.Tick(p.ctx, reportPeriod, p.reportWake, p.reportOnce) }

func (p *Proxy) reportOnce(ctx context.Context) {
	p.reportLimits(ctx)
	records := p.suspects.takeUnreported()
	if len(records) == 0 {
		return
	}
	for _, to := range p.reachableControlAddrs() {
		_, err := peer.CallWithin[[]poison.Record, struct{}](ctx, reportTimeout, p.pool, peer.Seed(to), core.OpPoison, records)
		if err != nil && ctx.Err() == nil {
			p.log.Info("suspects not reported to control daemon", "at", to, "error", err)
		}
	}
}

// recordBroken records that the response of an upstream broke off, and probes the
// upstream if that may have been a crash.
func (x *exchange) recordBroken(u *upstream) {
	b := brokenRequest{fingerprint: x.fingerprint(), parts: x.partFingerprints(), begun: x.events >= begunEvents}
	if x.p.suspects.recordBroken(u, b, time.Now()) {
		go crashProbe{x.p, u}.run()
	}
}

// checkSuspect refuses a request that crashed upstreams before, or a part of whose
// prompt did.
func (x *exchange) checkSuspect() *poplar.Error {
	if !x.p.suspects.nonEmpty() {
		return nil
	}
	until, refused, trial := x.p.suspects.refused(x.fingerprint(), x.partFingerprints(), x.start)
	x.p.reportSuspects(trial)
	if !refused {
		return nil
	}
	return poplar.Failf(poplar.StepAdmit, poplar.CodePoison, "the request or a part of its prompt crashed upstreams before").
		Ran(poplar.RunNo).After(until)
}

// clearParts clears the parts of the prompt of a request whose answer has begun.
func (x *exchange) clearParts() {
	if x.p.suspects.nonEmpty() {
		x.p.reportSuspects(x.p.suspects.recordFinished(x.partFingerprints(), time.Now()))
	}
}

// clearSuspicion clears a request that was answered with success, and the parts of
// its prompt.
func (x *exchange) clearSuspicion() {
	if x.p.suspects.nonEmpty() && x.status/100 == 2 {
		x.p.reportSuspects(x.p.suspects.recordFinished(append(x.partFingerprints(), x.fingerprint()), time.Now()))
	}
}
