package meter

import (
	"container/heap"
	"time"
)

// This file holds virtual time: events run in order and take no real time.

// virtual runs functions at virtual times.
type virtual struct {
	now    time.Time
	serial uint64
	events agenda
}

// newVirtual returns a virtual time that starts at a fixed date.
func newVirtual() *virtual { return &virtual{now: time.Unix(1_700_000_000, 0)} }

// after runs do once d has passed.
func (v *virtual) after(d time.Duration, do func()) {
	v.serial++
	heap.Push(&v.events, entry{at: v.now.Add(max(d, 0)), serial: v.serial, do: do})
}

// every runs do each period for ever, the first time after one period.
func (v *virtual) every(period time.Duration, do func()) {
	v.after(period, func() {
		do()
		v.every(period, do)
	})
}

// pass runs all events of the next d.
func (v *virtual) pass(d time.Duration) {
	end := v.now.Add(d)
	for len(v.events) > 0 && !v.events[0].at.After(end) {
		e := heap.Pop(&v.events).(entry)
		v.now = e.at
		e.do()
	}
	v.now = end
}

// entry is one function of an agenda; those of one time run in order of serial.
type entry struct {
	at     time.Time
	serial uint64
	do     func()
}

// agenda is a heap of events by time.
type agenda []entry

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].serial < a[j].serial
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(entry)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	(*a)[last] = entry{}
	*a = (*a)[:last]
	return e
}

// seconds returns s as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
