package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// A router that uses much of its processor time saves some of it at the cost of latency,
// see holdEvents.

const (
	// cpuPeriod is the time over which processor time is measured.
	cpuPeriod = 200 * time.Millisecond
	// Events are held once the router uses highPart of its processor time, until it uses
	// less than lowPart. Holding them lowers the use, so lowPart is well below.
	highPart = 0.5
	lowPart  = 0.2
)

// cpuMeter measures which part of its processor time the process uses. It is safe for
// concurrent use.
type cpuMeter struct {
	share float64 // invariant: processor time that the process has, in cores
	busy  atomic.Bool
	due   atomic.Int64 // time of the next measurement, in nanoseconds since start
	start time.Time

	mu   sync.Mutex
	at   time.Time     // invariant: guarded by mu; time of the last measurement
	used time.Duration // invariant: guarded by mu; processor time used until then
}

func newCPUMeter(share float64, now time.Time) *cpuMeter {
	return &cpuMeter{share: share, start: now, at: now, used: processorTime()}
}

// high reports whether the process uses much of its processor time. It measures at most
// once in cpuPeriod.
func (e *cpuMeter) high(now time.Time) bool {
	since := int64(now.Sub(e.start))
	if due := e.due.Load(); since >= due && e.due.CompareAndSwap(due, since+int64(cpuPeriod)) {
		e.measure(now, processorTime())
	}
	return e.busy.Load()
}

// measure takes the processor time used until now.
func (e *cpuMeter) measure(now time.Time, used time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	passed := now.Sub(e.at)
	if passed < cpuPeriod/2 {
		return
	}
	part := float64(used-e.used) / float64(passed) / e.share
	e.at, e.used = now, used
	switch {
	case part >= highPart:
		e.busy.Store(true)
	case part < lowPart:
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
