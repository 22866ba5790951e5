package poison

import (
	"math"
	"slices"
	"time"
)

// What clears a record is as grave as what condemns it: an answer is evidence only as far as
// it has come, and only if its upstream made it from the start.

// AllEvents is the number of events of an answer that is no stream.
const AllEvents = math.MaxInt

// progressMargin is the number of events by which an answer that is not yet whole must have
// passed the events after which an upstream crashed. Of the last events before a crash some may
// not arrive.
const progressMargin = 4

// Answer is how far an upstream has come with the answer to a request.
type Answer struct {
	Fingerprint Fingerprint
	Parts       []Fingerprint // of the prompt
	Events      int           // that the upstream has sent; AllEvents if it is no stream
	Whole       bool
	// Resumed is true if the answer goes on after events of another one. What crashes
	// upstreams may be in the part of the answer that this upstream did not make.
	Resumed bool
	At      time.Time
}

// passed returns what the answer shows of its request and of the parts of its prompt: that they
// do not crash upstreams up to some event. It returns false if the answer shows nothing.
func (a Answer) passed() (Passed, bool) {
	events := a.Events
	if !a.Whole {
		events -= progressMargin + 1
	}
	return Passed{At: a.At, Events: events}, !a.Resumed && events >= 0
}

// RecordAnswer clears the request and the parts of its prompt of the crashes that a whole answer
// got past, and notes for the parts that there was one. Of one that is not yet whole it notes for the parts how far it has come: it may still
// end in a crash, so that alone clears nothing. RecordAnswer returns the records to send to the
// other daemons.
func (reg *Registry) RecordAnswer(a Answer) []Record {
	p, shows := a.passed()
	if !shows {
		return nil
	}
	var out []Record
	for _, fp := range a.Parts {
		if a.Whole {
			out = reg.noteWhole(fp, p, out)
		} else {
			out = reg.noteAhead(fp, p, out)
		}
	}
	if a.Whole {
		out = reg.clear(a.Fingerprint, p, out)
	}
	return out
}

// noteWhole clears a part of the crashes that a whole answer got past. If there are none, it notes
// the first whole answer since the first crash. It appends the record to out if there is news.
func (reg *Registry) noteWhole(fp Fingerprint, p Passed, out []Record) []Record {
	r := reg.records[fp]
	if cleared := reg.clear(fp, p, out); len(cleared) > len(out) || len(r.Crashes) == 0 || r.answered() {
		return cleared
	}
	return append(out, reg.merge(Record{Fingerprint: fp, Part: true, Passed: []Passed{p}}))
}

// clear clears a record of the crashes that an answer got past, and appends it to out if there
// are any.
func (reg *Registry) clear(fp Fingerprint, p Passed, out []Record) []Record {
	p, shows := p.past(reg.records[fp].Crashes)
	if !shows {
		return out
	}
	return append(out, reg.merge(Record{Fingerprint: fp, Passed: []Passed{p}}))
}

// noteAhead notes that an answer got past crashes of a part, and appends its record to out if
// that is news.
func (reg *Registry) noteAhead(fp Fingerprint, p Passed, out []Record) []Record {
	r := reg.records[fp]
	news := slices.DeleteFunc(slices.Clone(r.Crashes), r.isAhead)
	p, shows := p.past(news)
	if !shows {
		return out
	}
	return append(out, reg.merge(Record{Fingerprint: fp, Part: true, Ahead: []Passed{p}}))
}

// past returns p for all of the crashes that it got past, and whether there are any. They precede
// the answer, also if the clock of the daemon that reported one of them is ahead.
func (p Passed) past(crashes []Crash) (Passed, bool) {
	shows := false
	for _, c := range crashes {
		if c.Events > p.Events {
			continue
		}
		shows = true
		if c.At.After(p.At) {
			p.At = c.At
		}
	}
	return p, shows
}

// answered reports whether a whole answer came since the first crash of a part.
func (r Record) answered() bool {
	return len(r.Passed) > 0 && len(r.Crashes) > 0 && r.Passed[len(r.Passed)-1].At.After(r.Crashes[0].At)
}

// isAhead reports whether an answer got past a crash without being whole.
func (r Record) isAhead(c Crash) bool {
	return slices.ContainsFunc(r.Ahead, func(p Passed) bool { return p.covers(c) })
}
