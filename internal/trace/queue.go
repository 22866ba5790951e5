package trace

import (
	"io"
	"sync/atomic"
	"time"
)

// This file holds the writer that keeps log lines from holding up their callers.

// Bounds of a Queue.
const (
	queueLines = 2048 // lines that wait to be written
	// lineRate and lineBurst bound the lines in steady state and at once.
	lineRate  = 150 // lines a second
	lineBurst = 600 // lines
)

// Queue is a writer of log lines that never blocks: a loop of its own writes
// them, and lines beyond its bounds are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	spent   atomic.Int64 // invariant: lines taken since start
	start   time.Time
	done    chan struct{} // invariant: closed when loop has returned
	out     io.Writer
}

// NewQueue returns a queue to out and starts its loop.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), start: time.Now(), done: make(chan struct{}), out: out}
	go q.loop()
	return q
}

// Write implements io.Writer for one line.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.allowed() {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// allowed takes a line of the allowance: it grows with time, and what is not
// used of it is kept up to the burst.
func (q *Queue) allowed() bool {
	granted := int64(time.Since(q.start).Seconds() * lineRate)
	for {
		spent := q.spent.Load()
		next := max(spent, granted-lineBurst) + 1
		if next > granted+lineBurst {
			return false
		}
		if q.spent.CompareAndSwap(spent, next) {
			return true
		}
	}
}

// Dropped returns the number of lines that were not written.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits and ends the loop. No line may be written later.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}

func (q *Queue) loop() {
	defer close(q.done)
	for line := range q.lines {
		// A log that cannot be written has nowhere to say so but the counter.
		if _, err := q.out.Write(line); err != nil {
			q.dropped.Add(1)
		}
	}
}
