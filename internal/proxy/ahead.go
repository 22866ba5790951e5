package proxy

import (
	"errors"
	"io"
	"sync"
	"time"

	"poplarbend.example/poplar/pkg/memory"
)

// A caller that reads slowly must not hold an upstream: the response is then read ahead.

const (
	// aheadDelay is how long a write to the caller may take before its response is read
	// ahead. Upstreams cut off a response that is unread for some seconds.
	aheadDelay = 100 * time.Millisecond
	// aheadBytes is the most that is read ahead for one caller, in bytes.
	aheadBytes = 256 << 10
	aheadBlock = 4 << 10 // bytes of one read
)

// readAhead is the body of a streamed response. It reads from the upstream only when it is
// read itself, until a write to the caller takes long; from then on it reads as fast as the
// response arrives.
type readAhead struct {
	body    io.Reader
	account *memory.Account
	ended   func() // is called when all was read ahead
	timer   *time.Timer

	mu      sync.Mutex
	moved   *sync.Cond // invariant: uses mu; signals changes of the fields below
	writing bool       // invariant: guarded by mu; true while the caller is written to
	started bool       // invariant: guarded by mu; true once loop runs; changes only while writing is true
	queue   []byte     // invariant: guarded by mu; at most aheadBytes
	err     error      // invariant: guarded by mu; follows the queue
	closed  bool       // invariant: guarded by mu
}

func newReadAhead(body io.Reader, account *memory.Account, ended func()) *readAhead {
	r := &readAhead{body: body, account: account, ended: ended}
	r.moved = sync.NewCond(&r.mu)
	return r
}

// Read implements io.Reader.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.started {
		r.mu.Unlock()
		defer r.mu.Lock()
		return r.body.Read(p)
	}
	for len(r.queue) == 0 && r.err == nil {
		r.moved.Wait()
	}
	if len(r.queue) == 0 {
		return 0, r.err
	}
	n := copy(p, r.queue)
	r.queue = r.queue[n:]
	r.account.Shrink(int64(n))
	r.moved.Broadcast()
	return n, nil
}

// beginWrite notes that the caller is written to. Nothing is read meanwhile.
func (r *readAhead) beginWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = true
	switch {
	case r.started:
	case r.timer == nil:
		r.timer = time.AfterFunc(aheadDelay, r.start)
	default:
		r.timer.Reset(aheadDelay)
	}
}

func (r *readAhead) endWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	if !r.started {
		r.timer.Stop()
	}
}

func (r *readAhead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writing && !r.started && !r.closed {
		r.started = true
		go r.loop()
	}
}

// loop reads until the end of the body. It waits while the queue is full.
func (r *readAhead) loop() {
	block := make([]byte, aheadBlock)
	for {
		n, err := r.body.Read(block)
		if !r.add(block[:n], err) {
			return
		}
	}
}

// add adds what was read to the queue and reports whether more may follow.
func (r *readAhead) add(data []byte, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.closed && len(r.queue)+len(data) > aheadBytes {
		r.moved.Wait()
	}
	if r.closed {
		return false
	}
	if full := r.account.Grow(int64(len(data))); full != nil {
		data, err = nil, full
	}
	if errors.Is(err, io.EOF) && !r.account.Seal() {
		err = memory.ErrFull
	}
	r.queue, r.err = append(r.queue, data...), err
	if errors.Is(err, io.EOF) {
		r.ended()
	}
	r.moved.Broadcast()
	return err == nil
}

// close ends reading ahead. A read that is under way ends with its connection.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.account.Close()
	r.moved.Broadcast()
}
