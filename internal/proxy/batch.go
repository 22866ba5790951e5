package proxy

import (
	"context"
	"sync"
	"time"
)

// batchTimer lets streams that hold events go on at the same time. Each of them then finds
// what has arrived meanwhile, and all together wake the process once.
type batchTimer struct {
	mu   sync.Mutex
	next chan struct{} // invariant: guarded by mu; closed when the timer fires, nil while no stream waits
}

// wait waits until the timer fires, at most for the given time, or until ctx ends.
func (b *batchTimer) wait(ctx context.Context, limit time.Duration) {
	b.mu.Lock()
	if b.next == nil {
		b.next = make(chan struct{})
		time.AfterFunc(limit, b.fire)
	}
	next := b.next
	b.mu.Unlock()
	select {
	case <-next:
	case <-ctx.Done():
	}
}

func (b *batchTimer) fire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.next)
	b.next = nil
}
