package guard

import (
	"errors"
	"io"
	"time"

	"poplarbend.example/poplar/pkg/memory"
)

// This file holds the body of one request.

// bodyWeight is the memory that a body takes where a handler reads it into one piece that
// grows, as a multiple of its size.
const bodyWeight = 2

// body is the body of a request. It is used by one goroutine.
type body struct {
	io.ReadCloser
	conn    *Conn
	account *memory.Account // nil where the handler counts
	ended   bool            // invariant: true once the body was read to its end
}

// newBody returns the body of the request whose head was read last. Until its end is read,
// its connection has a deadline, and may be closed to make room for others.
func (c *Conn) newBody(r io.ReadCloser) *body {
	l := c.listener
	b := &body{ReadCloser: r, conn: c, account: l.settings.Bodies.Open(c.source, c.abort)}
	c.mu.Lock()
	c.bodyAccount = b.account
	c.mu.Unlock()
	limit := l.settings.Limits().withDefaults().BodyTime
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit > 0 {
		c.bodyBy = time.Now().Add(limit)
	}
	l.move(c, l.bodies)
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if failed := b.account.Grow(int64(n) * bodyWeight); failed != nil {
		return 0, failed
	}
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return n, err
}

func (b *body) end() {
	if b.ended {
		return
	}
	b.ended = true
	b.account.Seal()
	l := b.conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlist(b.conn)
	b.conn.bodyBy = time.Time{}
}

// abandon bounds the time that the server waits for the rest of a body that the handler has
// not read.
func (b *body) abandon() {
	if b.ended {
		return
	}
	l := b.conn.listener
	by := time.Now().Add(l.settings.Limits().withDefaults().HeadTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.conn.bodyBy.IsZero() || by.Before(b.conn.bodyBy) {
		b.conn.bodyBy = by
	}
}
