package poison

import (
	"hash/fnv"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

// A part of prompts may crash each upstream that begins to answer on it, whatever
// else the request holds. Requests with such a part are all different, so none of
// them is seen twice. What they share is that part, and that none of them was
// answered: a part that other requests share is cleared as soon as one of these is.

// partCrashLimit is the number of crashes, apart from each other, after which a part
// is refused. It exceeds crashLimit, because several parts are in flight at each
// crash.
const partCrashLimit = 3

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

// RecordPartCrash records that an upstream crashed while the given parts were in
// requests without an answer. It returns the records to send to the other daemons.
// If one of the parts was in flight at an earlier crash, only such parts are held
// responsible.
func (reg *Registry) RecordPartCrash(upstream poplar.Upstream, number uint64, parts []Fingerprint, now time.Time) []Record {
	suspects := attributed(parts, reg, now)
	out := make([]Record, 0, len(suspects))
	for _, fp := range suspects {
		crash := Crash{Upstream: upstream, Incarnation: number, At: now, Concurrent: len(parts) - 1}
		out = append(out, reg.merge(Record{Fingerprint: fp, Part: true, Crashes: []Crash{crash}}))
	}
	return out
}

// Trials of parts that several crashes have in common.
const (
	// trialDelay is the time after the last crash of a part before a request with it
	// is tried, and trialSpread the time over which the daemons are spread.
	trialDelay  = time.Second
	trialSpread = 1500 * time.Millisecond
	// trialTime is the longest time for which other daemons wait for a trial.
	trialTime = 2 * time.Second
)

// CheckParts returns the verdict on a request with the given parts at now and, if it
// is refused, the end of the refusal. If the verdict is Isolated, the request is a
// trial of the returned part, which the caller announces with StartTrial.
//
// A part is refused after partCrashLimit crashes. If another part was in flight at
// all of these, either may have caused them, and the first answer to a request with
// only one of them clears it. So one such request runs at a time. The daemon's
// position, from 0 to 1, says how early it makes a trial.
func (reg *Registry) CheckParts(parts []Fingerprint, position float64, now time.Time) (Verdict, Fingerprint, time.Time) {
	var suspects []Record
	for _, fp := range parts {
		r, ok := reg.records[fp]
		if v, _ := reg.partVerdict(r, now); ok && v == Refused && !slices.ContainsFunc(suspects, func(s Record) bool { return s.Fingerprint == fp }) {
			suspects = append(suspects, r)
		}
	}
	if len(suspects) == 0 {
		return Clean, 0, time.Time{}
	}
	r := suspects[0]
	_, until := reg.partVerdict(r, now)
	if len(suspects) > 1 {
		return Refused, 0, now.Add(trialDelay)
	}
	if !reg.hasRival(r, now) {
		return Refused, 0, until
	}
	trialAt := r.Crashes[len(r.Crashes)-1].At.Add(trialDelay + time.Duration(position*float64(trialSpread)))
	if r.IsolatedUntil.After(trialAt) {
		trialAt = r.IsolatedUntil
	}
	if now.Before(trialAt) {
		return Refused, 0, trialAt
	}
	return Isolated, r.Fingerprint, time.Time{}
}

// StartTrial records that a request with the part is tried. It returns the record to
// send to the other daemons.
func (reg *Registry) StartTrial(fp Fingerprint, now time.Time) Record {
	return reg.merge(Record{Fingerprint: fp, Part: true, IsolatedUntil: now.Add(trialTime)})
}

// hasRival reports whether another refused part was in flight at all crashes of r.
func (reg *Registry) hasRival(r Record, now time.Time) bool {
	for fp, other := range reg.records {
		if fp == r.Fingerprint || !other.Part || len(other.Crashes) < len(r.Crashes) {
			continue
		}
		if v, _ := reg.partVerdict(other, now); v == Refused && other.covers(r) {
			return true
		}
	}
	return false
}

// covers reports whether all crashes of other are also crashes of r.
func (r Record) covers(other Record) bool {
	return !slices.ContainsFunc(other.Crashes, func(c Crash) bool {
		return !slices.ContainsFunc(r.Crashes, func(own Crash) bool { return own.Upstream == c.Upstream && own.Incarnation == c.Incarnation })
	})
}

// partVerdict returns the verdict on the record of a part at now and the end of the
// restriction, without regard to other parts. A part is refused for SuspectDuration
// only, since an answer cannot clear it meanwhile.
func (reg *Registry) partVerdict(r Record, now time.Time) (Verdict, time.Time) {
	var first, last time.Time // of the crashes that count as one
	count := 0
	for _, c := range r.Crashes { // in the order of their times
		if now.Sub(c.At) > reg.settings.RefuseDuration {
			continue
		}
		last = c.At
		if count == 0 || c.At.Sub(first) >= partCrashGap {
			first = c.At
			count++
		}
	}
	until := last.Add(reg.settings.SuspectDuration)
	switch {
	case count == 0 || !now.Before(until):
		return Clean, time.Time{}
	case count >= partCrashLimit:
		return Refused, until
	}
	return Isolated, until
}
