package poison

import (
	"slices"
	"sort"
	"time"

	"poplarbend.example/poplar"
)

// The records of a daemon decide whether a request runs, runs alone or is refused.

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Clean means that the request may run without restriction.
	Clean Verdict = iota
	// Isolated means that the request is suspect. It runs at an upstream with
	// nothing else in flight, and no two suspects run at the same upstream at
	// the same time.
	Isolated
	// Refused means that the request crashed two upstreams, or three in the middle of its
	// answer. It is not run.
	Refused
)

// String returns "clean", "alone" or "refused".
func (v Verdict) String() string { return [...]string{"clean", "alone", "refused"}[v] }

// crashLimit is the number of crashes after which a fingerprint is refused, and
// begunCrashLimit the number if the answer had begun in all of them but one.
const (
	crashLimit      = 2
	begunCrashLimit = 3
)

// Registry stores the records of one daemon and decides on requests. It is not
// safe for concurrent use.
type Registry struct {
	settings Settings
	records  map[Fingerprint]Record // invariant: none was expired at the last Sweep
	// culprits maps an upstream incarnation to the fingerprints that certainly
	// caused its crash. Entries may be outdated, so readers check them with
	// isCulprit.
	culprits map[incarnation][]Fingerprint
	// mostCrashes is by crash of parts. It is nil if records of parts have changed since.
	mostCrashes map[incarnation]partCounts
}

// incarnation identifies one run of an upstream. It ends in at most one crash.
type incarnation struct {
	upstream poplar.Upstream
	number   uint64
}

// NewRegistry returns an empty Registry.
func NewRegistry(settings Settings) *Registry {
	return &Registry{settings: settings, records: map[Fingerprint]Record{}, culprits: map[incarnation][]Fingerprint{}}
}

// Set replaces the settings.
func (reg *Registry) Set(settings Settings) { reg.settings = settings }

// Len returns the number of records.
func (reg *Registry) Len() int { return len(reg.records) }

// Check returns the verdict on a fingerprint and the end of the restriction.
// The time is zero when the verdict is Clean.
func (reg *Registry) Check(fp Fingerprint, now time.Time) (Verdict, time.Time) {
	r, ok := reg.records[fp]
	if !ok {
		return Clean, time.Time{}
	}
	return reg.verdict(r, now)
}

// Suspects start at different times: a crash makes every request that was in
// flight suspect, at many routers at once. If two suspects ran at the same
// upstream, a second crash would not show which of them caused it.
const (
	startSlots        = 16
	startSlotInterval = 250 * time.Millisecond
)

// EarliestRun returns the earliest time at which a suspect may run. A hash of the
// fingerprint selects one of the start slots that follow its last crash. The
// zero time means that it may run at once.
func (reg *Registry) EarliestRun(fp Fingerprint) time.Time {
	r := reg.records[fp]
	if len(r.Crashes) == 0 {
		return time.Time{}
	}
	return r.Crashes[len(r.Crashes)-1].At.Add(startSlot(fp))
}

// startSlot returns the time from the last crash of a suspect to its start slot.
func startSlot(fp Fingerprint) time.Duration {
	hash := uint64(fp) * 0x9e3779b97f4a7c15
	return time.Duration(hash>>60%startSlots) * startSlotInterval
}

// StartIsolated records that a suspect is about to run alone at an upstream,
// until the given time at the latest. It returns the record to send to the other
// daemons.
func (reg *Registry) StartIsolated(fp Fingerprint, upstream poplar.Upstream, until time.Time) Record {
	return reg.merge(Record{Fingerprint: fp, IsolatedOn: upstream, IsolatedUntil: until})
}

// HasOtherSuspect reports whether a suspect other than fp runs at the upstream.
// In that case fp has to run elsewhere, because a crash would not show which of
// the two caused it.
func (reg *Registry) HasOtherSuspect(upstream poplar.Upstream, fp Fingerprint, now time.Time) bool {
	for other, r := range reg.records {
		if other == fp || r.IsolatedOn != upstream || !now.Before(r.IsolatedUntil) {
			continue
		}
		if v, _ := reg.verdict(r, now); v == Isolated {
			return true
		}
	}
	return false
}

// RecordCrash records that an upstream crashed with the given fingerprints in
// flight. It returns the records to send to the other daemons.
func (reg *Registry) RecordCrash(upstream poplar.Upstream, number uint64, fingerprints []Fingerprint, now time.Time) []Record {
	breaks := make([]Break, len(fingerprints))
	for i, fp := range fingerprints {
		breaks[i].Fingerprint = fp
	}
	return reg.RecordBreaks(upstream, number, breaks, now)
}

// RecordFinish records that a request ran to its end. If there is a record of its
// fingerprint and it ran isolated, it is cleared, and RecordFinish returns the
// record to send to the other daemons and true.
func (reg *Registry) RecordFinish(fp Fingerprint, isolated bool, now time.Time) (Record, bool) {
	if _, ok := reg.records[fp]; !ok || !isolated {
		return Record{}, false
	}
	return reg.merge(Record{Fingerprint: fp, Cleared: now}), true
}

// Release clears a fingerprint on an operator's request. It returns the record
// to send to the other daemons.
func (reg *Registry) Release(fp Fingerprint, now time.Time) Record {
	return reg.merge(Record{Fingerprint: fp, Cleared: now})
}

// MergeRecords merges the records of another daemon and reports whether they
// changed anything.
func (reg *Registry) MergeRecords(records []Record) bool {
	changed := false
	for _, r := range records {
		before, ok := reg.records[r.Fingerprint]
		after := reg.merge(r)
		changed = changed || !ok || !equalRecords(before, after)
	}
	return changed
}

// MergeReports merges the records that a router reports to a control daemon, and returns
// the merged records that the other routers need: those that changed, and not those of
// requests whose answers had begun at their only crash, or of parts with one crash. There are
// such records for each stream at each upstream that crashes, and no router refuses them.
func (reg *Registry) MergeReports(records []Record) []Record {
	var out []Record
	for _, r := range records {
		before, known := reg.records[r.Fingerprint]
		after := reg.merge(r)
		if changed := !known || !equalRecords(before, after); changed && (needed(before) || needed(after)) {
			out = append(out, after)
		}
	}
	return out
}

// needed reports whether routers need a record that another one reported.
func needed(r Record) bool {
	return r.crashCount() >= crashLimit || !r.Part && slices.ContainsFunc(r.Crashes, func(c Crash) bool { return !c.Begun })
}

// Records returns the records sorted by fingerprint, at most limit of them: those
// with the latest news. A limit of 0 means no limit.
func (reg *Registry) Records(limit int) []Record {
	return reg.Select(limit, func(Fingerprint) bool { return true })
}

// Select returns what Records does, of the records that are wanted.
func (reg *Registry) Select(limit int, wanted func(Fingerprint) bool) []Record {
	out := make([]Record, 0, len(reg.records))
	for fp, r := range reg.records {
		if wanted(fp) {
			out = append(out, r)
		}
	}
	if limit > 0 && len(out) > limit {
		sort.Slice(out, func(i, j int) bool { return out[i].latest().After(out[j].latest()) })
		out = out[:limit]
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Fingerprint < out[j].Fingerprint })
	return out
}

// latest returns the time of the last crash or, if it is later, of the clearing.
func (r Record) latest() time.Time {
	at := r.clearedAt()
	for _, c := range r.Crashes {
		if c.At.After(at) {
			at = c.At
		}
	}
	return at
}

// Sweep deletes expired records and returns their fingerprints.
func (reg *Registry) Sweep(now time.Time) []Fingerprint {
	var expired []Fingerprint
	for fp, r := range reg.records {
		v, _ := reg.verdict(r, now)
		if v == Clean && now.Sub(r.clearedAt()) > reg.settings.RefuseDuration && !hasRecentCrash(r, reg.settings, now) {
			delete(reg.records, fp)
			reg.mostCrashes = nil
			expired = append(expired, fp)
		}
	}
	for inc, fingerprints := range reg.culprits {
		fingerprints = slices.DeleteFunc(fingerprints, func(fp Fingerprint) bool { return !isCulprit(reg.records[fp]) })
		if reg.culprits[inc] = fingerprints; len(fingerprints) == 0 {
			delete(reg.culprits, inc)
		}
	}
	return expired
}

// hasRecentCrash reports whether a crash of r is recent enough to count.
func hasRecentCrash(r Record, s Settings, now time.Time) bool {
	for _, c := range r.Crashes {
		if now.Sub(c.At) <= s.RefuseDuration {
			return true
		}
	}
	return false
}

// merge merges r into the stored record, updates the culprits, and returns the
// merged record.
func (reg *Registry) merge(r Record) Record {
	merged := Merge(reg.records[r.Fingerprint], r)
	merged.Fingerprint = r.Fingerprint
	reg.records[r.Fingerprint] = merged
	if merged.Part {
		reg.mostCrashes = nil
	}
	if isCulprit(merged) {
		for _, c := range merged.Crashes {
			inc := incarnation{c.Upstream, c.Incarnation}
			if !slices.Contains(reg.culprits[inc], merged.Fingerprint) {
				reg.culprits[inc] = append(reg.culprits[inc], merged.Fingerprint)
			}
		}
	}
	return merged
}

// isCulprit reports whether r certainly caused its crashes: there are at least
// two, and in one of them it was the only request in flight. The reporting daemon does
// not know of requests of others, whose answers have often begun, so such crashes do not
// count. Parts do not take crashes off requests.
func isCulprit(r Record) bool {
	if r.Part {
		return false
	}
	alone := slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Concurrent == 0 && !c.Begun })
	return alone && r.crashCount() >= crashLimit
}

// hasOtherCulprit reports whether a fingerprint other than fp certainly caused
// the crash, so that the crash does not count against fp.
func (reg *Registry) hasOtherCulprit(fp Fingerprint, c Crash) bool {
	return slices.ContainsFunc(reg.culprits[incarnation{c.Upstream, c.Incarnation}], func(other Fingerprint) bool {
		return other != fp && isCulprit(reg.records[other])
	})
}

// ambiguous reports whether each crash of r has another culprit, so that r may be
// healthy. This happens when two suspects ran at the same upstream.
func (reg *Registry) ambiguous(r Record) bool {
	return !slices.ContainsFunc(r.Crashes, func(c Crash) bool { return !reg.hasOtherCulprit(r.Fingerprint, c) })
}

// verdict returns the verdict on a record at now and the end of the
// restriction. A crash that has another culprit counts only if r is a culprit
// itself.
func (reg *Registry) verdict(r Record, now time.Time) (Verdict, time.Time) {
	if r.Part {
		return reg.partVerdict(r, now)
	}
	s := reg.settings
	last, count, begun := time.Time{}, 0, 0
	for _, c := range r.distinct() {
		if now.Sub(c.At) > s.RefuseDuration || !isCulprit(r) && reg.hasOtherCulprit(r.Fingerprint, c) {
			continue
		}
		count++
		if c.Begun {
			begun++
		}
		if c.At.After(last) {
			last = c.At
		}
	}
	refused, refuse := count-begun >= crashLimit, s.RefuseDuration
	if !refused && count >= begunCrashLimit {
		unexplained, rival := reg.unexplained(r)
		refused = unexplained >= begunCrashLimit
		switch {
		case rival && count <= begunCrashLimit+1:
			// The next crash shows which of them it is, if they start at different times.
			refuse = startSlot(r.Fingerprint)
		case rival:
			refuse = min(s.SuspectDuration, s.RefuseDuration)
		}
	}
	if reg.ambiguous(r) {
		refuse = min(s.SuspectDuration, s.RefuseDuration)
	}
	switch {
	case refused && now.Before(last.Add(refuse)):
		return Refused, last.Add(refuse)
	case refused && now.Before(last.Add(s.RefuseDuration)):
		return Isolated, last.Add(s.RefuseDuration)
	case count > 0 && now.Before(last.Add(s.SuspectDuration)):
		return Isolated, last.Add(s.SuspectDuration)
	default:
		return Clean, time.Time{}
	}
}

// unexplained returns the number of crashes of r that no record with more crashes has in
// common with it. A request that crashes its upstreams takes part in all of their crashes,
// a sound one only in those at which both ran. A rival took part in all crashes of r and in
// no other, so that either may have caused them.
func (reg *Registry) unexplained(r Record) (count int, rival bool) {
	explained := map[incarnation]bool{}
	for fp, other := range reg.records {
		if fp == r.Fingerprint || other.Part || other.crashCount() < r.crashCount() {
			continue
		}
		if other.crashCount() == r.crashCount() {
			rival = rival || other.covers(r)
			continue
		}
		for _, c := range other.Crashes {
			explained[incarnation{c.Upstream, c.Incarnation}] = true
		}
	}
	for _, c := range r.distinct() {
		if !explained[incarnation{c.Upstream, c.Incarnation}] {
			count++
		}
	}
	return count, rival
}

// attributed returns the fingerprints that a crash counts against: those that
// were suspect before or, if there are none, all. When a suspect was in flight,
// healthy requests beside it are not held responsible. A request is no such suspect
// if its answer had begun in all of its crashes.
func attributed(fingerprints []Fingerprint, reg *Registry, now time.Time) []Fingerprint {
	unique := slices.Clone(fingerprints)
	slices.Sort(unique)
	unique = slices.Compact(unique)
	var suspects []Fingerprint
	for _, fp := range unique {
		v, _ := reg.Check(fp, now)
		if v != Clean && slices.ContainsFunc(reg.records[fp].Crashes, func(c Crash) bool { return !c.Begun }) {
			suspects = append(suspects, fp)
		}
	}
	if len(suspects) > 0 {
		return suspects
	}
	return unique
}

// addCrash adds c unless a report of the same crash says as much. Daemons have seen different
// answers break off at a crash, and know of it at different times. A report that is earlier and
// after fewer events than another one is left out: whatever clears the other one would clear it.
// The others are retained, so the order of merges and clearings does not matter.
func addCrash(list []Crash, c Crash) []Crash {
	if slices.ContainsFunc(list, func(o Crash) bool { return c.same(o) && !crashLess(o, c) && o.Events >= c.Events }) {
		return list
	}
	list = slices.DeleteFunc(list, func(o Crash) bool { return c.same(o) && !crashLess(c, o) && c.Events >= o.Events })
	return append(list, c)
}

// latestCrashes returns the crashes of r that are not cleared, sorted, at most limit of them.
func latestCrashes(r Record, limit int) []Crash {
	list := slices.DeleteFunc(r.Crashes, func(c Crash) bool {
		return !c.At.After(r.Cleared) || slices.ContainsFunc(r.Passed, func(p Passed) bool { return p.covers(c) })
	})
	sort.Slice(list, func(i, j int) bool { return crashLess(list[i], list[j]) })
	if len(list) > limit {
		list = list[len(list)-limit:]
	}
	return list
}

// crashLess orders crashes by time, then by their other fields. Of two reports at the same
// time the one of an answer that had not begun is the later one.
func crashLess(a, b Crash) bool {
	if !a.At.Equal(b.At) {
		return a.At.Before(b.At)
	}
	if a.Upstream != b.Upstream {
		return a.Upstream < b.Upstream
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	if a.Begun != b.Begun {
		return a.Begun
	}
	if a.Concurrent != b.Concurrent {
		return a.Concurrent < b.Concurrent
	}
	return a.Events < b.Events
}

func equalRecords(a, b Record) bool {
	same := func(x, y Crash) bool { return !crashLess(x, y) && !crashLess(y, x) }
	if a.IsolatedOn != b.IsolatedOn || !a.IsolatedUntil.Equal(b.IsolatedUntil) {
		return false
	}
	samePassed := func(x, y Passed) bool { return x.At.Equal(y.At) && x.Events == y.Events }
	if !slices.EqualFunc(a.Passed, b.Passed, samePassed) || !slices.EqualFunc(a.Ahead, b.Ahead, samePassed) {
		return false
	}
	return a.Cleared.Equal(b.Cleared) && slices.EqualFunc(a.Crashes, b.Crashes, same)
}
