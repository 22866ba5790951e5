package proxy

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"sync"
	"sync/atomic"
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
	// progressPeriod is the time between two looks at how far a stream has come while there
	// are suspects.
	progressPeriod = 100 * time.Millisecond
	// suspectPause is how long a request that may crash upstreams waits after a broken
	// response, before it is sent to another one. It covers the first try of a probe.
	suspectPause = 50 * time.Millisecond
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

	records atomic.Int64 // number of records; while it is 0, no fingerprints are computed
	broken  atomic.Int64 // number of runs with breaks; while it is 0, answers take no lock

	mu         sync.Mutex
	registry   *poison.Registry // invariant: guarded by mu
	breaks     *poison.Breaks   // invariant: guarded by mu
	unreported []poison.Record  // invariant: guarded by mu; records not yet reported to the control daemons
}

func newSuspects(position float64) *suspects {
	return &suspects{
		position: position,
		registry: poison.NewRegistry(poison.Settings{RefuseDuration: refusalTime, SuspectDuration: suspicionTime}),
		breaks:   poison.NewBreaks(),
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
func (s *suspects) nonEmpty() bool { return s.records.Load() > 0 }

// unlock counts what there is after a change, and unlocks mu.
func (s *suspects) unlock() {
	s.records.Store(int64(s.registry.Len()))
	s.broken.Store(int64(s.breaks.Len()))
	s.mu.Unlock()
}

// refused reports whether a request must be refused because it or a part of its
// prompt crashed upstreams, and until when. If it is let through as a trial of a part,
// refused returns the record to report.
func (s *suspects) refused(fp poison.Fingerprint, parts []poison.Fingerprint, now time.Time) (until time.Time, refused bool, trial []poison.Record) {
	s.mu.Lock()
	defer s.unlock()
	verdict, until := s.registry.Check(fp, now)
	if verdict == poison.Refused {
		return until, true, nil
	}
	verdict, until = s.registry.CheckParts(parts, s.position, now)
	if verdict == poison.Isolated {
		trial = s.registry.StartTrial(parts, now)
	}
	return until, verdict == poison.Refused, trial
}

// recordBroken records that a response of u broke off. If u is known to have ended, it
// returns the records to report; otherwise probe tells whether u should be probed.
func (s *suspects) recordBroken(u *upstream, b poison.Break) (records []poison.Record, probe bool) {
	s.mu.Lock()
	defer s.unlock()
	crashed, probe := s.breaks.Add(u.name, uint64(u.startTime), b)
	if crashed {
		return s.registry.RecordBreaks(u.name, uint64(u.startTime), []poison.Break{b}, b.At), false
	}
	return nil, probe
}

// recordEnd records that the run of an upstream has ended. It returns the records of the
// requests for which that counts as a crash.
func (s *suspects) recordEnd(u *upstream, evidence poison.Evidence, now time.Time) []poison.Record {
	s.mu.Lock()
	defer s.unlock()
	breaks := s.breaks.NoteEnd(u.name, uint64(u.startTime), evidence, now)
	return s.registry.RecordBreaks(u.name, uint64(u.startTime), breaks, now)
}

// noteAnswer records that u answered a request that was sent at the given time.
func (s *suspects) noteAnswer(u *upstream, sentAt time.Time) {
	if s.broken.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.unlock()
	s.breaks.NoteAnswer(u.name, uint64(u.startTime), sentAt)
}

// known reports whether a request is under a restriction, and whether it must be refused.
func (s *suspects) known(fp poison.Fingerprint, now time.Time) (known, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, _ := s.registry.Check(fp, now)
	return verdict != poison.Clean, verdict == poison.Refused
}

// recordAnswer records how far the answer to a request has come. It returns the records to
// report of the suspects for which that is evidence.
func (s *suspects) recordAnswer(a poison.Answer) []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.RecordAnswer(a)
}

// all returns the records with the latest news, at most the given number.
func (s *suspects) all(most int) []poison.Record {
	if !s.nonEmpty() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Records(most)
}

// learn merges the records of other routers.
func (s *suspects) learn(records []poison.Record) {
	s.mu.Lock()
	defer s.unlock()
	s.registry.MergeRecords(records)
}

// sweep removes expired records.
func (s *suspects) sweep(now time.Time) {
	s.mu.Lock()
	defer s.unlock()
	s.registry.Sweep(now)
	s.breaks.Sweep(now)
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

// reportCrash records that the run of an upstream has ended, and reports the requests that
// may have crashed it.
func (p *Proxy) reportCrash(u *upstream, evidence poison.Evidence) {
	p.reportSuspects(p.suspects.recordEnd(u, evidence, time.Now()))
}

// reportSuspects queues records of crashes and trials for the control daemons, which forward them
// to all routers, and has them sent at once.
func (p *Proxy) reportSuspects(records []poison.Record) {
	if len(records) == 0 {
		return
	}
	p.queueSuspects(records)
	select {
	case p.reportWake <- struct{}{}:
	default:
	}
}

// queueSuspects queues records for the next report. There is one of each part at each crash, so
// only those of parts with several crashes are logged.
func (p *Proxy) queueSuspects(records []poison.Record) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		if r.Part && len(r.Crashes) == 1 {
			continue
		}
		p.log.Warn("suspect", "print", uint64(r.Fingerprint), "part", r.Part, "crashes", len(r.Crashes), "begun", r.BegunCrashes(),
			"passed", len(r.Passed), "ahead", len(r.Ahead), "cleared", len(r.Crashes) == 0)
	}
	p.suspects.queue(records)
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

// recordBroken records that the response of an upstream broke off after the given number
// of events, and probes the upstream if that may have been a crash.
func (x *exchange) recordBroken(u *upstream, events int) {
	x.broken++
	b := poison.Break{
		Fingerprint: x.fingerprint(), Parts: x.partFingerprints(), Begun: events > 0, Events: events, At: time.Now(),
	}
	records, probe := x.p.suspects.recordBroken(u, b)
	x.p.reportSuspects(records)
	if probe {
		go crashProbe{x.p, u}.run()
	}
}

// mustEnd reports whether a request whose response broke off must not be sent to another
// upstream because it has crashed several. A suspect, or a request whose responses broke off
// before, waits for what the probe of the last upstream shows.
func (x *exchange) mustEnd() bool {
	if x.broken < 2 && !x.p.suspects.nonEmpty() {
		return false
	}
	fp := x.fingerprint()
	known, refused := x.p.suspects.known(fp, time.Now())
	if (known || x.broken >= 2) && !refused && sleep(x.ctx, suspectPause) {
		_, refused = x.p.suspects.known(fp, time.Now())
	}
	return refused
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

// recordProgress records how far the stream has come, now and then while there are suspects.
func (a *attempt) recordProgress() {
	s := a.x.p.suspects
	if !s.nonEmpty() {
		return
	}
	if now := time.Now(); !now.Before(a.progressAt) {
		a.progressAt = now.Add(progressPeriod)
		a.x.p.queueSuspects(s.recordAnswer(a.answer(false, now)))
	}
}

// recordWhole records that the request was answered with success, if it was.
func (a *attempt) recordWhole() {
	if s := a.x.p.suspects; s.nonEmpty() && a.x.status/100 == 2 {
		a.x.p.queueSuspects(s.recordAnswer(a.answer(true, time.Now())))
	}
}

// answer returns how far the upstream has come with its answer.
func (a *attempt) answer(whole bool, now time.Time) poison.Answer {
	x := a.x
	events := x.events - a.eventsAtSend
	if !x.route.Kind.Streams() {
		events = poison.AllEvents
	}
	answer := poison.Answer{Parts: x.partFingerprints(), Events: events, Whole: whole, Resumed: a.resumes || x.env.After != "", At: now}
	if whole {
		answer.Fingerprint = x.fingerprint()
	}
	return answer
}
