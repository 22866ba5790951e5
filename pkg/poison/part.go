package poison

import (
	"hash/fnv"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

// A part of prompts may crash each upstream that begins to answer on it, whatever
// else the request holds. Requests with such a part are all different, so none of
// them is seen twice. What they share is that part, and that no answer got past the
// events at which it crashes upstreams. A part that other requests share is cleared
// as soon as an answer to one of these does, see Answer.

// partCrashLimit is the number of crashes, apart from each other, after which a part
// is refused. It exceeds crashLimit, because several parts are in flight at each
// crash.
const partCrashLimit = 3

// partWeakLimit is the same if answers to other requests got past some of the crashes, which may
// come after a different number of events each time.
const partWeakLimit = 8

// partCrashGap is the time within which crashes count as one. Upstreams that crash
// together mostly have another cause, and parts that many requests share are in
// flight at all of them.
const partCrashGap = 150 * time.Millisecond

// PartFingerprint returns the fingerprint of a part, given its content or a name that
// stands for it.
func PartFingerprint(part []byte) Fingerprint {
	h := fnv.New64a()
	h.Write(part)
	return Fingerprint(h.Sum64())
}

// recordPartCrash records that an upstream crashed while the parts of the given requests were
// in flight at it. It returns the records to send to the other daemons. If some of the parts
// are known to crash upstreams, only these are held responsible.
func (reg *Registry) recordPartCrash(upstream poplar.Upstream, number uint64, breaks []Break, now time.Time) []Record {
	events := map[Fingerprint]int{}
	var parts, culprits []Fingerprint // in the order of the breaks
	for _, b := range breaks {
		for _, fp := range b.Parts {
			before, known := events[fp]
			if !known {
				before = b.Events
				parts = append(parts, fp)
				if reg.certain(fp, now) {
					culprits = append(culprits, fp)
				}
			}
			events[fp] = max(before, b.Events)
		}
	}
	if len(culprits) > 0 {
		parts = culprits
	}
	out := make([]Record, 0, len(parts))
	for _, fp := range parts {
		crash := Crash{Upstream: upstream, Incarnation: number, At: now, Concurrent: len(events) - 1, Begun: events[fp] > 0, Events: events[fp]}
		out = append(out, reg.merge(Record{Fingerprint: fp, Part: true, Crashes: []Crash{crash}}))
	}
	return out
}

// certain reports whether a part is refused and no other part may have caused its crashes.
func (reg *Registry) certain(fp Fingerprint, now time.Time) bool {
	r, known := reg.records[fp]
	if !known || !r.Part {
		return false
	}
	v, _ := reg.partVerdict(r, now)
	return v == Refused && !reg.hasRival(r, nil)
}

// Trials of parts that several crashes have in common.
const (
	// trialDelay is the time after the last crash of a part before a request with it
	// is tried, and trialSpread the time over which the daemons are spread.
	trialDelay  = time.Second
	trialSpread = 1500 * time.Millisecond
	// trialTime is the longest time for which other daemons wait for a trial, and trialEvent
	// what is added for each event after which upstreams crashed.
	trialTime  = 2 * time.Second
	trialEvent = 50 * time.Millisecond
	// Both grow with each crash beyond partCrashLimit: by doubtBackoff up to maxDoubtBackoff,
	// or, for a part for which there is no other explanation, from certainFactor on by
	// certainBackoff up to maxBackoff. These are powers of two.
	doubtBackoff    = 1
	maxDoubtBackoff = 2
	certainFactor   = 2
	certainBackoff  = 2
	maxBackoff      = 12
)

// CheckParts returns the verdict on a request with the given parts at now and, if it
// is refused, the end of the refusal. If the verdict is Isolated, the request is a
// trial of its parts, which the caller announces with StartTrial.
//
// A part is refused after partCrashLimit crashes that no part with more crashes has in common
// with it. Then one request runs at a time, since its answer may clear the part: soon if another
// part that the request does not hold may have caused the crashes as well, and otherwise after a
// wait that grows with each crash, since upstreams may have crashed for another reason. The
// daemon's position, from 0 to 1, says how early it makes a trial.
func (reg *Registry) CheckParts(parts []Fingerprint, position float64, now time.Time) (Verdict, time.Time) {
	suspects := reg.refusedParts(parts, now)
	if len(suspects) == 0 {
		return Clean, time.Time{}
	}
	var trialAt time.Time
	for _, r := range suspects {
		wait := (trialDelay + time.Duration(position*float64(trialSpread))) << reg.backoff(r, parts, 0)
		for _, at := range []time.Time{r.Crashes[len(r.Crashes)-1].At.Add(wait), r.IsolatedUntil} {
			if at.After(trialAt) {
				trialAt = at
			}
		}
	}
	if now.Before(trialAt) {
		return Refused, trialAt
	}
	return Isolated, time.Time{}
}

// StartTrial records that a request with the parts is tried: no other trial begins until this
// one has had time to show something. It returns the records to send to the other daemons.
func (reg *Registry) StartTrial(parts []Fingerprint, now time.Time) []Record {
	suspects := reg.refusedParts(parts, now)
	out := make([]Record, len(suspects))
	for i, r := range suspects {
		until := trialTime + time.Duration(r.mostEvents())*trialEvent
		if !reg.hasRival(r, parts) {
			until = max(until, trialDelay<<reg.backoff(r, parts, 1)) // as after another crash
		}
		out[i] = reg.merge(Record{Fingerprint: r.Fingerprint, Part: true, IsolatedUntil: now.Add(until)})
	}
	return out
}

// refusedParts returns the records of those of the parts that are refused at now.
func (reg *Registry) refusedParts(parts []Fingerprint, now time.Time) []Record {
	var out []Record
	for i, fp := range parts {
		r, known := reg.records[fp]
		if !known || slices.Contains(parts[:i], fp) {
			continue
		}
		if v, _ := reg.partVerdict(r, now); v == Refused {
			out = append(out, r)
		}
	}
	return out
}

// backoff returns the power of two by which the wait before a trial of r in a request with the
// given parts has grown, or will have after more crashes.
func (reg *Registry) backoff(r Record, parts []Fingerprint, more int) int {
	beyond := r.crashCount() + more - partCrashLimit
	if reg.hasRival(r, parts) {
		return min(doubtBackoff*beyond, maxDoubtBackoff)
	}
	return min(certainFactor+certainBackoff*beyond, maxBackoff)
}

// mostEvents returns the largest number of events after which an upstream crashed.
func (r Record) mostEvents() int {
	most := 0
	for _, c := range r.Crashes {
		most = max(most, c.Events)
	}
	return most
}

// hasRival reports whether a part that is none of the excluded ones may have caused the crashes
// of r as well. A part to which whole answers came does not explain the crashes of one without any.
func (reg *Registry) hasRival(r Record, excluded []Fingerprint) bool {
	return reg.mayExplain(r, func(other Record) bool {
		return !slices.Contains(excluded, other.Fingerprint) && (r.answered() || !other.answered())
	})
}

// isExcused reports whether whole answers came to r, but none to another part that may have caused
// the crashes of r. Answers that end before the events at which upstreams crash clear no part, but
// what crashes all of them is the likelier cause.
func (reg *Registry) isExcused(r Record) bool {
	return r.answered() && reg.mayExplain(r, func(other Record) bool { return !other.answered() })
}

// mayExplain reports whether one of the wanted parts may have caused the crashes of r: it was in
// flight at so many of them that the rest would not condemn r.
func (reg *Registry) mayExplain(r Record, wanted func(Record) bool) bool {
	for fp, other := range reg.records {
		if fp == r.Fingerprint || !other.Part || len(other.Crashes) < partCrashLimit || !wanted(other) {
			continue
		}
		common := r.common(other)
		if common >= partCrashLimit && r.crashCount()-common < partCrashLimit && other.condemnedBy(other.distinct()) {
			return true
		}
	}
	return false
}

// partCounts are the largest numbers of crashes of a part that was in flight at a crash: of all
// parts, and of those to which no whole answer came.
type partCounts struct{ all, unanswered int }

// explained reports whether a part with more crashes than r was in flight at crash c of r. Of a part
// without whole answers, only another one without explains crashes.
func (reg *Registry) explained(r Record, c Crash) bool {
	if reg.mostCrashes == nil {
		reg.mostCrashes = map[incarnation]partCounts{}
		for _, other := range reg.records {
			if !other.Part {
				continue
			}
			count := other.crashCount()
			for _, c := range other.Crashes {
				inc := incarnation{c.Upstream, c.Incarnation}
				most := reg.mostCrashes[inc]
				most.all = max(most.all, count)
				if !other.answered() {
					most.unanswered = max(most.unanswered, count)
				}
				reg.mostCrashes[inc] = most
			}
		}
	}
	most := reg.mostCrashes[incarnation{c.Upstream, c.Incarnation}]
	if r.answered() {
		return most.all > r.crashCount()
	}
	return most.unanswered > r.crashCount()
}

// partVerdict returns the verdict on the record of a part at now and the end of the
// restriction. Crashes that another part explains, and parts that are excused, do not count.
func (reg *Registry) partVerdict(r Record, now time.Time) (Verdict, time.Time) {
	crashes := slices.DeleteFunc(slices.Clone(r.distinct()), func(c Crash) bool {
		return now.Sub(c.At) > reg.settings.RefuseDuration || reg.explained(r, c)
	})
	if len(crashes) == 0 {
		return Clean, time.Time{}
	}
	verdict, duration := Isolated, reg.settings.SuspectDuration
	if r.condemnedBy(crashes) && !reg.isExcused(r) {
		verdict, duration = Refused, reg.settings.RefuseDuration
	}
	if until := crashes[len(crashes)-1].At.Add(duration); now.Before(until) {
		return verdict, until
	}
	return Clean, time.Time{}
}

// condemnedBy reports whether the given crashes of r, in the order of their times, are enough to
// refuse it. A part that crashes upstreams after some events lets no answer get further, so a
// crash counts in full only if no answer has: not one that runs, see Ahead, and not one that was
// cut off at another crash.
func (r Record) condemnedBy(crashes []Crash) bool {
	most := r.mostEvents()
	full := func(c Crash) bool {
		for _, report := range r.Crashes {
			if report.same(c) && report.Events+progressMargin >= most && !r.isAhead(report) {
				return true
			}
		}
		return false
	}
	return apart(crashes, func(Crash) bool { return true }) >= partWeakLimit || apart(crashes, full) >= partCrashLimit
}

// apart returns how many of the crashes that count are apart from each other.
func apart(crashes []Crash, counts func(Crash) bool) int {
	var first time.Time // of the crashes that count as one
	count := 0
	for _, c := range crashes {
		if counts(c) && (count == 0 || c.At.Sub(first) >= partCrashGap) {
			first = c.At
			count++
		}
	}
	return count
}
