package proxy

import (
	"context"
	"sync"
	"time"
)

// pulse lets streams that hold events go on at the same time. Each of them then finds
// what has arrived meanwhile, and all together wake the process once.
type pulse struct {
	mu   sync.Mutex
	next chan struct{} // invariant: guarded by mu; closed at the next beat, nil while nothing waits for it
}

// wait waits for the next beat, at most for the given time, or until ctx ends.
func (p *pulse) wait(ctx context.Context, limit time.Duration) {
	p.mu.Lock()
	if p.next == nil {
		p.next = make(chan struct{})
		time.AfterFunc(limit, p.beat)
	}
	next := p.next
	p.mu.Unlock()
	select {
	case <-next:
	case <-ctx.Done():
	}
}

func (p *pulse) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.next)
	p.next = nil
}
