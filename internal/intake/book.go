package intake

import (
	"net"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the book of upstreams: who may get new work, and until when.
// It has no clock, lock or goroutine.

const (
	// RenewWithin is how long an announcement holds. An upstream that is not
	// heard of for that long gets no new work.
	RenewWithin = 3 * time.Second
	// leftWithin is how long a leave is remembered against late announcements
	// of the same life.
	leftWithin = 10 * time.Minute
	// maxUpstreams bounds the book.
	maxUpstreams = 8192
)

// Entry is what the book knows of one upstream.
type Entry struct {
	notice poplar.Announcement
	due    time.Time    // invariant: the time at which the announcement lapses
	load   poplar.Stamp // invariant: the newest load report
	cached poplar.Stamp // invariant: the newest cache event
}

// Notice returns the newest announcement.
func (e *Entry) Notice() poplar.Announcement { return e.notice }

// Due returns the time at which the announcement lapses.
func (e *Entry) Due() time.Time { return e.due }

// left remembers a leave.
type left struct {
	life uint64
	due  time.Time
}

// Book orders the messages of all upstreams. It is not safe for concurrent
// use.
type Book struct {
	entries map[poplar.Upstream]*Entry
	gone    map[poplar.Upstream]left
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{entries: map[poplar.Upstream]*Entry{}, gone: map[poplar.Upstream]left{}}
}

// Announce takes an announcement that arrived at now. It reports false when
// the message is late, repeated, or of a life that has left; the message then
// has no effect. The error says what is wrong with the announcement itself.
func (b *Book) Announce(n poplar.Announcement, now time.Time) (bool, error) {
	if err := n.Check(); err != nil {
		return false, poplar.Fail(poplar.StepParse, poplar.CodeInvalid, err).Ran(poplar.RunNo)
	}
	if _, _, err := net.SplitHostPort(n.Address); err != nil {
		return false, poplar.Fail(poplar.StepParse, poplar.CodeInvalid, err).Ran(poplar.RunNo)
	}
	if g, ok := b.gone[n.Upstream]; ok && n.Incarnation <= g.life {
		return false, nil
	}
	e := b.entries[n.Upstream]
	if e == nil && len(b.entries) >= maxUpstreams {
		return false, poplar.Failf(poplar.StepAdmit, poplar.CodeLarge,
			"%d upstreams are known, the bound", maxUpstreams).Ran(poplar.RunNo)
	}
	if e != nil && !n.Newer(e.notice.Stamp) {
		return false, nil
	}
	if e == nil || e.notice.Incarnation != n.Incarnation {
		e = &Entry{}
		b.entries[n.Upstream] = e
	}
	e.notice = n
	e.due = now.Add(RenewWithin)
	return true, nil
}

// Load takes a load report. It reports false when the report has no effect.
func (b *Book) Load(l poplar.Load) (bool, error) {
	if err := l.Check(); err != nil {
		return false, poplar.Fail(poplar.StepParse, poplar.CodeInvalid, err).Ran(poplar.RunNo)
	}
	e := b.entries[l.Upstream]
	if e == nil || l.Incarnation != e.notice.Incarnation || !l.Newer(e.load) {
		return false, nil
	}
	e.load = l.Stamp
	return true, nil
}

// Cached takes a cache event and reports whether events before it are
// missing. ok is false when the event has no effect.
func (b *Book) Cached(c poplar.Cached) (gap, ok bool, err error) {
	if err := c.Check(); err != nil {
		return false, false, poplar.Fail(poplar.StepParse, poplar.CodeInvalid, err).Ran(poplar.RunNo)
	}
	e := b.entries[c.Upstream]
	if e == nil || c.Incarnation != e.notice.Incarnation || !c.Newer(e.cached) {
		return false, false, nil
	}
	gap = c.Sequence != e.cached.Sequence+1
	e.cached = c.Stamp
	return gap, true, nil
}

// Leave ends a life of an upstream. It reports whether the upstream got new
// work until then.
func (b *Book) Leave(l poplar.Leave, now time.Time) (bool, error) {
	if err := l.Check(); err != nil {
		return false, poplar.Fail(poplar.StepParse, poplar.CodeInvalid, err).Ran(poplar.RunNo)
	}
	if g := b.gone[l.Upstream]; l.Incarnation >= g.life && (g.life > 0 || len(b.gone) < maxUpstreams) {
		b.gone[l.Upstream] = left{life: l.Incarnation, due: now.Add(leftWithin)}
	}
	e := b.entries[l.Upstream]
	if e == nil || e.notice.Incarnation > l.Incarnation {
		return false, nil
	}
	delete(b.entries, l.Upstream)
	return true, nil
}

// Lapse removes and returns the upstreams whose announcement lapsed at or
// before now.
func (b *Book) Lapse(now time.Time) []poplar.Upstream {
	var out []poplar.Upstream
	for name, e := range b.entries {
		if !now.Before(e.due) {
			delete(b.entries, name)
			out = append(out, name)
		}
	}
	for name, g := range b.gone {
		if now.After(g.due) {
			delete(b.gone, name)
		}
	}
	return out
}

// Entry returns what is known of an upstream that may get new work at now.
func (b *Book) Entry(name poplar.Upstream, now time.Time) (*Entry, bool) {
	e := b.entries[name]
	if e == nil || !now.Before(e.due) {
		return nil, false
	}
	return e, true
}

// Len returns the number of upstreams in the book.
func (b *Book) Len() int { return len(b.entries) }
