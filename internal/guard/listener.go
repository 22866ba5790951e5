package guard

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// This file holds the connections of a listener.

const (
	// sweepPeriod is the time between two looks for connections whose time is over.
	sweepPeriod = 250 * time.Millisecond
	// firstByteTime is how long a new connection that has sent nothing is taken for one of a
	// caller whose head is on its way, and makes room after those that are idle.
	firstByteTime = time.Second
)

// Listener bounds the connections that it accepts. It must be used by a server that Apply was
// called for.
type Listener struct {
	net.Listener
	settings Settings
	closed   chan struct{}
	once     sync.Once

	mu     sync.Mutex
	open   map[*Conn]struct{} // invariant: guarded by mu; the open connections
	fresh  *list.List         // invariant: guarded by mu; connections that have sent nothing, in the order of their accept
	kept   *list.List         // invariant: guarded by mu; connections that wait for a further request, by the end of the last
	heads  *list.List         // invariant: guarded by mu; connections whose head is not whole, by its first byte
	bodies *list.List         // invariant: guarded by mu; connections whose request is not whole, by the end of its head
}

// NewListener returns a listener that accepts from l.
func NewListener(l net.Listener, s Settings) *Listener {
	g := &Listener{
		Listener: l, settings: s, closed: make(chan struct{}), open: map[*Conn]struct{}{},
		fresh: list.New(), kept: list.New(), heads: list.New(), bodies: list.New(),
	}
	go g.loop()
	return g
}

// Accept implements net.Listener. Where there are too many connections, it closes the one that
// is the victim, or the new one if there is none.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l, source: sourceOf(raw)}
		victim, ok := l.add(c)
		if victim != nil {
			victim.abort()
		}
		if ok {
			return c, nil
		}
		raw.Close()
	}
}

// add adds a connection, unless it returns false, and returns the one to close for it.
func (l *Listener) add(c *Conn) (victim *Conn, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.settings.MaxConns > 0 && len(l.open) >= l.settings.MaxConns {
		if victim = l.victim(); victim == nil {
			return nil, false
		}
		l.remove(victim)
	}
	l.open[c] = struct{}{}
	c.since = time.Now()
	l.move(c, l.fresh)
	return victim, true
}

// victim returns the connection that makes room for another, or nil: the oldest one that has
// sent nothing for firstByteTime, then the one that has been idle after a response for the
// longest time, then the oldest of those that have sent nothing or a part of a head, then the
// one whose body has been awaited for the longest time, then the one that has read nothing of
// its response for the longest time, at least HeadTime. mu must be held.
//
// A kept connection makes room after new ones older than firstByteTime, whichever is older:
// otherwise connections that only connect would close all kept ones, which are older.
func (l *Listener) victim() *Conn {
	now := time.Now()
	fresh, kept, head, body := first(l.fresh), first(l.kept), first(l.heads), first(l.bodies)
	switch {
	case fresh != nil && now.Sub(fresh.since) >= firstByteTime:
		return fresh
	case kept != nil:
		return kept
	case fresh != nil && (head == nil || fresh.since.Before(head.begun)):
		return fresh
	case head != nil:
		return head
	case body != nil:
		return body
	}
	return l.stalled(now)
}

// first returns the first connection of a list, or nil.
func first(waiting *list.List) *Conn {
	if e := waiting.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// stalled returns the connection that has read nothing of its response for the longest time,
// or nil if none has for HeadTime. mu must be held.
func (l *Listener) stalled(at time.Time) *Conn {
	now := at.UnixNano()
	stall := int64(l.settings.Limits().withDefaults().HeadTime)
	var found *Conn
	longest := int64(0)
	for c := range l.open {
		since := c.writing.Load()
		if blocked := now - since; since > 0 && blocked >= stall && blocked > longest {
			found, longest = c, blocked
		}
	}
	return found
}

// remove forgets a connection. mu must be held.
func (l *Listener) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	delete(l.open, c)
	l.unlist(c)
}

// move puts a connection at the end of a list. mu must be held.
func (l *Listener) move(c *Conn, to *list.List) {
	l.unlist(c)
	if !c.removed {
		c.waits = to
		c.place = to.PushBack(c)
	}
}

// unlist takes a connection from the list that it waits in. mu must be held.
func (l *Listener) unlist(c *Conn) {
	if c.place != nil {
		c.waits.Remove(c.place)
		c.place = nil
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// loop closes connections whose time is over. It goes on after the listener was closed while
// there are connections.
func (l *Listener) loop() {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	closed := l.closed
	for {
		select {
		case <-closed:
			closed = nil
		case now := <-tick.C:
			if open := l.sweep(now); open == 0 && closed == nil {
				return
			}
		}
	}
}

// sweep closes the connections whose time is over, and returns the number of the others.
func (l *Listener) sweep(now time.Time) int {
	limits := l.settings.Limits().withDefaults()
	var over []*Conn
	l.mu.Lock()
	for _, waiting := range []*list.List{l.fresh, l.kept, l.heads, l.bodies} {
		for e := waiting.Front(); e != nil; e = e.Next() {
			c := e.Value.(*Conn)
			if until := c.until(limits); !until.IsZero() && !now.Before(until) {
				over = append(over, c)
			}
		}
	}
	for _, c := range over {
		l.remove(c)
	}
	open := len(l.open)
	l.mu.Unlock()
	for _, c := range over {
		c.abort()
	}
	return open
}
