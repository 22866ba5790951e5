package poison

import (
	"time"

	"poplarbend.example/poplar"
)

// RecordBreaks records that an upstream crashed while the given requests were in flight
// at it. The crash counts for them and for the parts of their prompts. RecordBreaks returns the
// records to send to the other daemons.
func (reg *Registry) RecordBreaks(upstream poplar.Upstream, number uint64, breaks []Break, now time.Time) []Record {
	crashes := map[Fingerprint]Crash{}
	fingerprints := make([]Fingerprint, len(breaks))
	for i, b := range breaks {
		c, known := crashes[b.Fingerprint]
		if !known {
			c = Crash{Upstream: upstream, Incarnation: number, At: now, Concurrent: len(breaks) - 1, Begun: b.Begun, Events: b.Events}
		}
		c.Begun, c.Events = c.Begun && b.Begun, max(c.Events, b.Events)
		crashes[b.Fingerprint] = c
		fingerprints[i] = b.Fingerprint
	}
	out := make([]Record, 0, len(breaks))
	for _, fp := range attributed(fingerprints, reg, now) {
		out = append(out, reg.merge(Record{Fingerprint: fp, Crashes: []Crash{crashes[fp]}}))
	}
	return append(out, reg.recordPartCrash(upstream, number, breaks, now)...)
}
