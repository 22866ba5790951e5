package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// effortPeriod is the time over which processor time is measured.
	effortPeriod = 200 * time.Millisecond
	// Events are held once the router uses busyPart of its processor time, until it uses
	// less than calmPart. Holding them lowers the use, so calmPart is well below.
	busyPart = 0.5
	calmPart = 0.2
)

// effort measures which part of its processor time the process uses. It is safe for
// concurrent use.
type effort struct {
	share float64 // invariant: processor time that the process has, in cores
	busy  atomic.Bool
	due   atomic.Int64 // time of the next measurement, in nanoseconds since start
	start time.Time

	mu   sync.Mutex
	at   time.Time     // invariant: guarded by mu; time of the last measurement
	used time.Duration // invariant: guarded by mu; processor time used until then
}

func newEffort(share float64, now time.Time) *effort {
	return &effort{share: share, start: now, at: now, used: processorTime()}
}

// high reports whether the process uses much of its processor time. It measures at most
// once in effortPeriod.
func (e *effort) high(now time.Time) bool {
	since := int64(now.Sub(e.start))
	if due := e.due.Load(); since >= due && e.due.CompareAndSwap(due, since+int64(effortPeriod)) {
		e.measure(now, processorTime())
	}
	return e.busy.Load()
}

// measure takes the processor time used until now.
func (e *effort) measure(now time.Time, used time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	passed := now.Sub(e.at)
	if passed < effortPeriod/2 {
		return
	}
	part := float64(used-e.used) / float64(passed) / e.share
	e.at, e.used = now, used
	switch {
	case part >= busyPart:
		e.busy.Store(true)
	case part < calmPart:
		e.busy.Store(false)
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var use unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
