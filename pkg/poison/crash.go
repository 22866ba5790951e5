package poison

import (
	"time"

	"poplarbend.example/poplar"
)

// RecordBreaks records that an upstream crashed while the given requests were in flight
// at it. The crash counts for them and for the parts of their prompts to which no answer had
// begun. RecordBreaks returns the records to send to the other daemons.
func (reg *Registry) RecordBreaks(upstream poplar.Upstream, number uint64, breaks []Break, now time.Time) []Record {
	begun, answered := map[Fingerprint]bool{}, map[Fingerprint]bool{}
	fingerprints := make([]Fingerprint, len(breaks))
	for i, b := range breaks {
		before, known := begun[b.Fingerprint]
		begun[b.Fingerprint] = b.Begun && (before || !known)
		fingerprints[i] = b.Fingerprint
		for _, fp := range b.Parts {
			answered[fp] = answered[fp] || b.PartsAnswered
		}
	}
	out := make([]Record, 0, len(breaks))
	for _, fp := range attributed(fingerprints, reg, now) {
		crash := Crash{Upstream: upstream, Incarnation: number, At: now, Concurrent: len(fingerprints) - 1, Begun: begun[fp]}
		out = append(out, reg.merge(Record{Fingerprint: fp, Crashes: []Crash{crash}}))
	}
	var parts []Fingerprint
	for fp, answered := range answered {
		if !answered {
			parts = append(parts, fp)
		}
	}
	return append(out, reg.RecordPartCrash(upstream, number, parts, now)...)
}
