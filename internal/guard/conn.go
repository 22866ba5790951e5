package guard

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"poplarbend.example/poplar/pkg/memory"
)

// This file holds one connection of a client.

const (
	// byteWeight and lineWeight are the memory that a head takes, in bytes, for each byte
	// and for each line of it: a header with a short name takes an entry of a map, which
	// grows by doubling, its name and its values, and is copied once for the upstream.
	byteWeight = 2
	lineWeight = 256
	// readSlack is the block of net/http, in bytes. Of a head that begins in the block of the
	// request before it, only the rest is seen, whose end may not be found before the block's.
	readSlack = 4 << 10
	// writePart is the most that is written at once, in bytes, so that a client that reads
	// slowly makes progress that can be seen.
	writePart = 16 << 10
	// lingerTime is kept before a connection with a refusal is closed, since a close with
	// unread data may destroy the refusal on its way.
	lingerTime = 500 * time.Millisecond
)

// Refusals of a head over the limit, and of one for which there is no memory.
const (
	tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errRefused ends the reads of a connection with a refusal. net/http answers other errors
// inside a head, io.EOF included, with 400.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	listener *Listener
	source   string
	writing  atomic.Int64 // Unix nanoseconds of the last progress of a write that is under way, or 0

	waits   *list.List    // invariant: guarded by listener.mu; the list of place
	place   *list.Element // invariant: guarded by listener.mu; nil while a whole request is in progress
	since   time.Time     // invariant: guarded by listener.mu; time of the accept or of the last response
	begun   time.Time     // invariant: guarded by listener.mu; time of the first byte of the head, or zero
	bodyBy  time.Time     // invariant: guarded by listener.mu; deadline of the body, or zero
	removed bool          // invariant: guarded by listener.mu

	mu          sync.Mutex
	inHead      bool            // invariant: guarded by mu; false while a request is in progress
	started     bool            // invariant: guarded by mu; false before the first byte of the head
	scanner     headScanner     // invariant: guarded by mu; of the head so far
	refused     bool            // invariant: guarded by mu; true once a refusal was written
	size        int             // invariant: guarded by mu; bytes of the head so far
	account     *memory.Account // invariant: guarded by mu; nil until the head is long
	bodyAccount *memory.Account // invariant: guarded by mu; nil without a body that counts
	counted     int64           // invariant: guarded by mu; weight of the head so far
	writeBy     time.Time       // invariant: guarded by mu; deadline that the server has set
	accepted    bool            // invariant: guarded by mu; true once the first head was expected
}

func sourceOf(c net.Conn) string {
	at, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return at.Addr().String()
}

// until returns the time at which a connection that waits for a request is closed, or zero.
// listener.mu must be held.
func (c *Conn) until(l Limits) time.Time {
	if c.waits == c.listener.bodies {
		return c.bodyBy
	}
	if c.begun.IsZero() {
		return c.since.Add(l.IdleTime)
	}
	return c.begun.Add(l.HeadTime)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if failed := c.count(p[:n]); failed != nil {
			return 0, failed
		}
	}
	return n, err
}

// count counts bytes that may belong to a head.
func (c *Conn) count(data []byte) error {
	c.mu.Lock()
	if !c.accepted {
		c.accepted, c.inHead = true, true
	}
	if !c.inHead || c.scanner.ended {
		c.mu.Unlock()
		return nil
	}
	first := !c.started
	c.started = true
	part, lines := c.scanner.scan(data)
	c.size += part
	size := c.size
	weight := int64(byteWeight*part + lineWeight*lines)
	c.counted += weight
	if c.account == nil && c.counted > memory.Allowance {
		c.account = c.listener.settings.Heads.Open(c.source, c.abort)
		weight = c.counted
	}
	account, ended := c.account, c.scanner.ended
	c.mu.Unlock()
	if first {
		c.listener.mu.Lock()
		c.begun = time.Now()
		c.listener.move(c, c.listener.heads)
		c.listener.mu.Unlock()
	}
	if size > min(c.listener.settings.Limits().withDefaults().HeadBytes, mostHead)+readSlack {
		return c.refuse(tooLarge)
	}
	grow := account.Grow
	if ended {
		grow = account.GrowLast
	}
	if err := grow(weight); err != nil {
		return c.refuse(noMemory)
	}
	return nil
}

// refuse answers a head that the handler has not seen, and ends the data to the client.
func (c *Conn) refuse(response string) error {
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, response); err == nil && c.CloseWrite() == nil {
		c.mu.Lock()
		c.refused = true
		c.mu.Unlock()
	}
	return errRefused
}

// headRead notes that the head of a request is whole. It counts until the response was sent,
// and is not evicted any more.
func (c *Conn) headRead() {
	c.mu.Lock()
	c.accepted, c.inHead, c.started = true, false, false
	c.size, c.counted, c.scanner = 0, 0, headScanner{}
	account := c.account
	c.mu.Unlock()
	account.Seal() // where the end was seen by the server only
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.unlist(c)
}

// responseSent notes that the next head may begin.
func (c *Conn) responseSent() {
	c.closeAccounts()
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.since, c.begun, c.bodyBy = time.Now(), time.Time{}, time.Time{}
	l.move(c, l.kept)
}

// closeAccounts gives the memory of the head and the body back.
func (c *Conn) closeAccounts() {
	c.mu.Lock()
	c.inHead, c.started = true, false
	c.size, c.counted, c.scanner = 0, 0, headScanner{}
	head, body := c.account, c.bodyAccount
	c.account, c.bodyAccount = nil, nil
	c.mu.Unlock()
	head.Close()
	body.Close()
}

// abort closes the connection from any goroutine. The server notices and closes it as well.
func (c *Conn) abort() { _ = c.Conn.Close() }

// Write implements net.Conn. It goes on while the client takes anything, up to the deadline
// that the server has set.
func (c *Conn) Write(p []byte) (int, error) {
	idle := c.listener.settings.Limits().withDefaults().IdleTime
	total := 0
	defer c.writing.Store(0)
	for total < len(p) {
		c.writing.Store(time.Now().UnixNano())
		c.mu.Lock()
		by, own := c.writeBy, false
		if limit := time.Now().Add(idle); by.IsZero() || limit.Before(by) {
			by, own = limit, true
		}
		err := c.Conn.SetWriteDeadline(by)
		c.mu.Unlock()
		if err != nil {
			return total, err
		}
		n, err := c.Conn.Write(p[total:min(total+writePart, len(p))])
		total += n
		if slow := own && n > 0 && errors.Is(err, os.ErrDeadlineExceeded); err != nil && !slow {
			return total, err
		}
	}
	return total, nil
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBy = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn. The memory is given back at once, since others may wait for it;
// a connection with a refusal is open for lingerTime and counts until then.
func (c *Conn) Close() error {
	c.closeAccounts()
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		time.AfterFunc(lingerTime, func() { _ = c.end() })
		return nil
	}
	return c.end()
}

func (c *Conn) end() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the data to the client.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
