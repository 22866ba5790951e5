package quorum

import (
	"math"

	"poplarbend.example/poplar"
)

// This file implements the part of the log that is in memory.

// unlimited is a size limit in bytes that no log reaches.
const unlimited = math.MaxInt

// entryLog is the log after a base entry, which is part of the snapshot. Only the
// index and term of the base entry are retained.
type entryLog struct {
	base     poplar.Index // invariant: at most the index of the snapshot
	baseTerm poplar.Term
	list     []Entry // invariant: list[i].Index == base+1+i
}

// last returns the index of the last entry.
func (l *entryLog) last() poplar.Index { return l.base + poplar.Index(len(l.list)) }

// lastTerm returns the term of the last entry.
func (l *entryLog) lastTerm() poplar.Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. It returns false when the entry is
// compacted or not yet appended.
func (l *entryLog) term(index poplar.Index) (poplar.Term, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.list[index-l.base-1].Term, true
}

// matches reports whether the log has an entry with this index and term.
func (l *entryLog) matches(index poplar.Index, term poplar.Term) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// from returns the entries from first to last, inclusive, with at most limit
// bytes in total. It returns the first entry even when that exceeds the limit.
func (l *entryLog) from(first, last poplar.Index, limit int) []Entry {
	last = min(last, l.last())
	if first <= l.base || first > last {
		return nil
	}
	part := l.list[first-l.base-1 : last-l.base]
	bytes := 0
	for i, e := range part {
		bytes += e.size()
		if i > 0 && bytes > limit {
			part = part[:i]
			break
		}
	}
	return part[:len(part):len(part)]
}

// truncate removes the entries from index on. It does not reuse the array, since
// messages and writes may still refer to it.
func (l *entryLog) truncate(index poplar.Index) {
	retained := int(index - l.base - 1)
	l.list = append([]Entry(nil), l.list[:retained]...)
}

// compact removes the entries up to index.
func (l *entryLog) compact(index poplar.Index) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	l.list = append([]Entry(nil), l.list[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// hint returns the index of the last entry, at index or before, whose term is at
// most term. This is the last entry that may match a log whose entry at index has
// that term.
func (l *entryLog) hint(index poplar.Index, term poplar.Term) poplar.Index {
	index = min(index, l.last())
	for index > l.base {
		if own, _ := l.term(index); own <= term {
			break
		}
		index--
	}
	return index
}
