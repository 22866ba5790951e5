package disk

import (
	"sync"

	"poplarbend.example/poplar"
)

// Group is a group committer: many goroutines commit records to one journal, and
// records that arrive while a sync runs share the next sync. It is safe for
// concurrent use.
type Group struct {
	journal poplar.Journal
	mu      sync.Mutex
	queue   []*entry // invariant: in order of arrival; guarded by mu
	closed  bool     // invariant: guarded by mu; no entry is queued once set
	wake    chan struct{}
	done    chan struct{} // invariant: closed when loop has returned
}

// entry is one queued commit, or a compaction if compact is set.
type entry struct {
	records  [][]byte
	snapshot []byte
	compact  bool
	done     func(error) // invariant: called once, from loop
}

// NewGroup returns a committer for journal, which it owns until Close.
func NewGroup(journal poplar.Journal) *Group {
	g := &Group{journal: journal, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go g.loop()
	return g
}

// Commit writes the records and returns once they are durable, or returns the
// error of the journal. Records of concurrent calls are written in order of
// arrival.
func (g *Group) Commit(records ...[]byte) error {
	return <-g.Queue(records...)
}

// Queue is Commit without the wait: the order of the records is fixed when it
// returns, and the channel yields the result once. A goroutine that holds a lock
// can call Queue under the lock and wait after it is released.
func (g *Group) Queue(records ...[]byte) <-chan error {
	result := make(chan error, 1)
	g.Submit(func(err error) { result <- err }, records...)
	return result
}

// Submit is like Queue, but calls done with the result. done must not block,
// since the next batch waits for it.
func (g *Group) Submit(done func(error), records ...[]byte) {
	g.enqueue(&entry{records: records, done: done})
}

// Compact replaces all records queued so far with snapshot. It returns once the
// snapshot is durable, or returns the error of the journal. The goroutine that takes the
// snapshot must call Compact or SubmitCompact before any later record is queued.
func (g *Group) Compact(snapshot []byte) error {
	result := make(chan error, 1)
	g.SubmitCompact(func(err error) { result <- err }, snapshot)
	return <-result
}

// SubmitCompact is Compact without the wait; see Submit.
func (g *Group) SubmitCompact(done func(error), snapshot []byte) {
	g.enqueue(&entry{snapshot: snapshot, compact: true, done: done})
}

func (g *Group) enqueue(e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		e.done(poplar.Fail(poplar.StepDisk, poplar.CodeDisk, errClosed))
		return
	}
	g.queue = append(g.queue, e)
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Size returns the size in bytes of the records since the last snapshot.
func (g *Group) Size() int64 { return g.journal.Size() }

// Close commits the queued entries, ends the loop and closes the journal. Later
// commits fail.
func (g *Group) Close() error {
	g.mu.Lock()
	if !g.closed {
		g.closed = true
		close(g.wake)
	}
	g.mu.Unlock()
	<-g.done
	return g.journal.Close()
}

func (g *Group) loop() {
	defer close(g.done)
	for open := true; open; {
		_, open = <-g.wake
		g.mu.Lock()
		queue := g.queue
		g.queue = nil
		g.mu.Unlock()
		g.commit(queue)
	}
}

// commit writes the queued entries. Each compaction ends a batch.
func (g *Group) commit(queue []*entry) {
	start := 0
	for i, e := range queue {
		if !e.compact {
			continue
		}
		g.commitBatch(queue[start:i])
		e.done(g.journal.Compact(e.snapshot))
		start = i + 1
	}
	g.commitBatch(queue[start:])
}

// commitBatch appends the records of all entries to the journal and syncs once.
func (g *Group) commitBatch(entries []*entry) {
	if len(entries) == 0 {
		return
	}
	appended := entries[:0:0]
	for _, e := range entries {
		if err := g.journal.Append(e.records...); err != nil {
			e.done(err)
			continue
		}
		appended = append(appended, e)
	}
	err := g.journal.Sync()
	for _, e := range appended {
		e.done(err)
	}
}
