package follow

import (
	"context"
	"sync"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/voter"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the voter's copy of the replicated state.

// Replica guards the state that a voter applies the log to, and wakes those
// who wait for news. It is safe for concurrent use.
type Replica struct {
	mu    sync.Mutex
	state *state.State // invariant: guarded by mu
	news  *bell
	// applying is true while Apply holds the lock. After a panic Apply goes on holding
	// it until Restore.
	applying bool // invariant: used by the goroutine that applies only
}

var _ voter.Applier = (*Replica)(nil)

// NewReplica returns a replica of the empty state.
func NewReplica() *Replica {
	return &Replica{state: state.New(), news: newBell()}
}

// Apply applies the command at index and returns the encoded reply.
func (r *Replica) Apply(index poplar.Index, command []byte) []byte {
	r.mu.Lock()
	r.applying = true
	reply := r.state.Apply(index, command)
	r.applying = false
	r.mu.Unlock()
	r.news.ring()
	return reply
}

// Snapshot returns the encoded state.
func (r *Replica) Snapshot() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Snapshot()
}

// Restore replaces the state by a snapshot and the commands that follow it. An empty
// snapshot is the empty state.
func (r *Replica) Restore(snapshot []byte, later ...voter.Command) error {
	if !r.applying {
		r.mu.Lock()
	}
	r.applying = false
	defer r.news.ring()
	defer r.mu.Unlock()
	next := state.New()
	if len(snapshot) > 0 {
		if err := next.Restore(snapshot); err != nil {
			return err
		}
	}
	for _, c := range later {
		next.Apply(c.Index, c.Data)
	}
	r.state = next
	return nil
}

// Read calls f with the state, which f must not keep.
func (r *Replica) Read(f func(*state.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

// Answer answers an ask. With Wait it returns when there is news or when ctx
// is done, whichever is first.
func (r *Replica) Answer(ctx context.Context, ask Ask) Answer {
	return r.news.answer(ctx, ask, r.answer)
}

func (r *Replica) answer(ask Ask) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	answer := Answer{Pair: r.state.Pair(ask.Domain), Index: r.state.Index()}
	answer.Delta = r.state.Delta(ask.Domain, ask.Mark)
	if !ask.Shares {
		answer.Delta.Shares = nil
	}
	return answer
}

// bell wakes all who wait, each time that it rings.
type bell struct {
	mu sync.Mutex
	ch chan struct{} // invariant: guarded by mu; closed and replaced by ring
}

func newBell() *bell { return &bell{ch: make(chan struct{})} }

// wait returns a channel that the next ring closes.
func (b *bell) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

// answer returns the answer of look to ask. One that may wait is looked for
// again each time the bell rings, until it has news or ctx is done.
func (b *bell) answer(ctx context.Context, ask Ask, look func(Ask) Answer) Answer {
	for {
		heard := b.wait()
		answer := look(ask)
		if !ask.Wait || !answer.Delta.Empty() || answer.Pair.Epoch != ask.Pair.Epoch {
			return answer
		}
		select {
		case <-ctx.Done():
			return answer
		case <-heard:
		}
	}
}

func (b *bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}
