// Package conns keeps a router's connections to upstreams. A connection carries
// one request at a time; one that showed anything unexpected is not used again.
package conns

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"poplarbend.example/poplar/pkg/memory"
)

// This file holds the pool.

// Times of connections.
const (
	// silentTime is how long sent bytes may stay without acknowledgement, so
	// that a connection to a dead VM fails.
	silentTime = 4 * time.Second
	// probeIdle and probeGap are the keep-alive probes of a quiet connection.
	probeIdle  = 5 * time.Second
	probeGap   = 2 * time.Second
	probeCount = 2
	// idleLimit is the time after which a connection is not used again where
	// the upstream names none.
	idleLimit = 10 * time.Second
	// idleMargin is kept from the time that an upstream names.
	idleMargin = 700 * time.Millisecond
	readBuffer = 4 << 10 // bytes
)

// Conn is one connection to an upstream. It is not safe for concurrent use.
type Conn struct {
	net.Conn
	address string
	head    *headReader
	reader  *bufio.Reader // reads from head
	reused  bool
	until   time.Time // invariant: not used again after it
}

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	answers *memory.Limit // of what is kept of answers, by address
	count   Counter       // invariant: nil if nothing is counted

	mu   sync.Mutex
	idle map[string][]*Conn // invariant: guarded by mu; the latest used last
}

// NewPool returns an empty pool. What is kept of answers counts against the given limit,
// which may be nil.
func NewPool(answers *memory.Limit) *Pool {
	return &Pool{
		idle:    map[string][]*Conn{},
		answers: answers,
		dialer: net.Dialer{
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeGap, Count: probeCount},
			Control:         control,
		},
	}
}

// Counter counts the bytes that pass connections to upstreams.
type Counter interface {
	Received(bytes int)
	// SentRequest counts a request, of which the given part of the body was counted before.
	SentRequest(bytes, charged int)
}

// Count makes the pool count the bytes of connections. It is called before the pool is
// used.
func (p *Pool) Count(c Counter) { p.count = c }

// control bounds the time for which sent bytes may stay unacknowledged.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTime/time.Millisecond))
	})
	return errors.Join(err, failed)
}

// Get returns an idle connection, or a new one until limit. With a recent time,
// only connections used since are taken from the pool.
func (p *Pool) Get(ctx context.Context, address string, limit, recent time.Time) (*Conn, error) {
	if c := p.take(address, recent); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	head := &headReader{conn: raw, count: p.count, left: -1}
	return &Conn{Conn: raw, address: address, head: head, reader: bufio.NewReaderSize(head, readBuffer)}, nil
}

func (p *Pool) take(address string, recent time.Time) *Conn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		used := c.until.Add(-idleLimit)
		if time.Now().After(c.until) || used.Before(recent) || !c.sound() {
			c.Close()
			continue
		}
		c.reused = true
		return c
	}
}

// sound reports whether the connection is open and no byte waits on it, which
// would belong to no request.
func (c *Conn) sound() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(failed, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Put gives back a connection on which no request was sent.
func (p *Pool) Put(c *Conn) { p.put(c, 0) }

// put keeps a connection for later use.
func (p *Pool) put(c *Conn, keep time.Duration) {
	limit := idleLimit
	if keep > 0 {
		limit = min(limit, keep-idleMargin)
	}
	if limit <= 0 || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.until = time.Now().Add(limit)
	p.mu.Lock()
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

// Sweep closes what is too old to be used, and all connections to addresses that
// are not kept.
func (p *Pool) Sweep(kept func(address string) bool) {
	now := time.Now()
	var old []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		good := list[:0]
		for _, c := range list {
			if now.After(c.until) || !kept(address) {
				old = append(old, c)
			} else {
				good = append(good, c)
			}
		}
		if p.idle[address] = good; len(good) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}
