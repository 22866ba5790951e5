package peer

import (
	"context"
	"sync"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the one-way sender that batches messages for each peer.

// Bounds of an outbox.
const (
	queueMaximum = 1024            // messages for one peer; older ones are dropped
	batchMaximum = 128             // messages in one call
	sendTimeout  = 2 * time.Second // of one call, by default
)

// Outbox sends messages of one operation to the peers, in the background, in
// batches, at most once. A message to a slow or dead peer is dropped when its
// queue is full, so that Send never blocks.
type Outbox[M any] struct {
	pool  *Pool
	op    Op
	limit time.Duration // a setting: the longest time of one call
	mu    sync.Mutex
	lanes map[poplar.Daemon]*lane[M] // invariant: guarded by mu
	stop  context.CancelFunc
	ctx   context.Context
	done  sync.WaitGroup
}

var _ poplar.Sender[int] = (*Outbox[int])(nil)

// NewOutbox returns an outbox that delivers by the operation op, whose handler
// takes a slice of messages.
func NewOutbox[M any](pool *Pool, op Op) *Outbox[M] {
	return NewOutboxWithin[M](pool, op, sendTimeout)
}

// NewOutboxWithin is NewOutbox with the longest time of one call. While a peer
// is silent, each message to it waits for that time at most.
func NewOutboxWithin[M any](pool *Pool, op Op, limit time.Duration) *Outbox[M] {
	ctx, stop := context.WithCancel(context.Background())
	return &Outbox[M]{pool: pool, op: op, limit: limit, lanes: map[poplar.Daemon]*lane[M]{}, ctx: ctx, stop: stop}
}

// Send queues message for the daemon to.
func (o *Outbox[M]) Send(to poplar.Daemon, message M) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() != nil {
		return
	}
	l, ok := o.lanes[to]
	if !ok {
		l = &lane[M]{to: to, wake: make(chan struct{}, 1)}
		o.lanes[to] = l
		o.done.Add(1)
		go l.loop(o)
	}
	l.put(message)
}

// Close stops the senders. Queued messages are dropped.
func (o *Outbox[M]) Close() {
	o.stop()
	o.done.Wait()
}

// lane is the queue to one peer.
type lane[M any] struct {
	to    poplar.Daemon
	wake  chan struct{}
	mu    sync.Mutex
	queue []M // invariant: guarded by mu, at most queueMaximum long
}

func (l *lane[M]) put(message M) {
	l.mu.Lock()
	if len(l.queue) >= queueMaximum {
		l.queue = l.queue[1:]
	}
	l.queue = append(l.queue, message)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *lane[M]) take() []M {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.queue), batchMaximum)
	batch := l.queue[:n:n]
	l.queue = l.queue[n:]
	return batch
}

func (l *lane[M]) loop(o *Outbox[M]) {
	defer o.done.Done()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-l.wake:
		}
		for batch := l.take(); len(batch) > 0; batch = l.take() {
			l.send(o, batch)
		}
	}
}

// send drops the batch when the call fails: delivery is at most once, and the
// state machines behind it repeat what matters.
func (l *lane[M]) send(o *Outbox[M], batch []M) {
	ctx, cancel := context.WithTimeout(o.ctx, o.limit)
	defer cancel()
	_, err := Call[[]M, struct{}](ctx, o.pool, l.to, o.op, batch)
	if err != nil {
		o.pool.meter.drop()
	}
}
