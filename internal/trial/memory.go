package trial

import "time"

// watchPeriod is the time between two looks of a MemoryWatch.
const watchPeriod = 100 * time.Microsecond

// MemoryWatch watches the memory that is in use.
type MemoryWatch struct {
	used func() int64 // in bytes
	stop chan struct{}
	most chan int64 // yields the most memory that was seen
}

// WatchMemory begins to watch the memory that used returns.
func WatchMemory(used func() int64) *MemoryWatch {
	w := &MemoryWatch{used: used, stop: make(chan struct{}), most: make(chan int64)}
	go w.run()
	return w
}

// Stop ends the watch and returns the most memory that was seen, in bytes.
func (w *MemoryWatch) Stop() int64 {
	close(w.stop)
	return <-w.most
}

func (w *MemoryWatch) run() {
	most := int64(0)
	for {
		most = max(most, w.used())
		select {
		case <-w.stop:
			w.most <- most
			return
		case <-time.After(watchPeriod):
		}
	}
}
