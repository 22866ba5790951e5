package conns

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar/pkg/memory"
)

// This file holds one request on a connection.

// Request is a request as it goes to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   memory.Blocks
	// Charged is the part of the body, in bytes, that the Counter knows of.
	Charged int
}

// errors of an exchange.
var (
	errNoHead   = errors.New("no head of an answer")
	errLongHead = errors.New("the head of an answer exceeds the size limit")
	errLongBody = errors.New("the body of an answer that is dropped exceeds the size limit")
	errLateBody = errors.New("the body of an answer that is dropped did not end in time")
	errStrange  = errors.New("answers to other requests")
)

// Bounds of what an upstream may send, in bytes. One in trouble may send without
// end.
const (
	maxHead    = 64 << 10
	maxDropped = 64 << 10 // of a body that is read only to use the connection again
	// headWeight is the memory that a parsed head takes, as a multiple of its size, where
	// its lines are short.
	headWeight = 8
)

// headReader bounds the bytes that are read for the head of an answer.
type headReader struct {
	conn   net.Conn
	count  Counter         // invariant: nil if nothing is counted
	left   int             // invariant: bytes that may still be read, or negative without a limit
	memory *memory.Account // counts what is read beyond the first buffer
}

func (r *headReader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return r.receive(p)
	}
	if r.left == 0 {
		return 0, errLongHead
	}
	n, err := r.receive(p[:min(len(p), r.left)])
	r.left -= n
	if long := min(n, maxHead-r.left-readBuffer); long > 0 {
		if err := r.memory.Grow(int64(long) * headWeight); err != nil {
			return 0, err
		}
	}
	return n, err
}

// receive reads from the connection and counts what it reads.
func (r *headReader) receive(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 && r.count != nil {
		r.count.Received(n)
	}
	return n, err
}

// Call is one request on its way. It is not safe for concurrent use, but for
// Abort.
type Call struct {
	pool    *Pool
	conn    *Conn
	resp    *http.Response
	written chan error // invariant: yields once, when all was written
	long    bool       // true if the request is written beside the reading of the answer
	done    bool       // invariant: true once the connection was given back or closed
	stop    func() bool
	memory  *memory.Account // counts the head and what the caller reads of the body; nil once kept
	evicted atomic.Bool     // true once the memory was taken away
}

// maxStrange is the number of answers to other requests that are skipped before
// the connection is given up.
const maxStrange = 2

// inlineBody is the size up to which a body is written before the answer is
// read. Longer ones are written beside, since the answer may come early.
const inlineBody = 16 << 10 // bytes

// Send writes a request on c. The call ends with ctx.
func (p *Pool) Send(ctx context.Context, c *Conn, r *Request) *Call {
	k := &Call{pool: p, conn: c, written: make(chan error, 1)}
	k.memory = p.answers.Open(c.address, k.evict)
	k.stop = context.AfterFunc(ctx, k.Abort)
	if r.Body.Size() <= inlineBody {
		k.written <- c.write(r)
	} else {
		k.long = true
		go k.run(r)
	}
	return k
}

// run writes a long request.
func (k *Call) run(r *Request) { k.written <- k.conn.write(r) }

func (c *Conn) write(r *Request) error {
	var head bytes.Buffer
	size := r.Body.Size()
	head.Grow(512 + min(size, inlineBody))
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if size > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", size)
	}
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if c.head.count != nil {
		c.head.count.SentRequest(head.Len()+size, r.Charged)
	}
	if size > inlineBody {
		// The body is not copied: it may be long.
		parts := append(net.Buffers{head.Bytes()}, r.Body...)
		_, err := parts.WriteTo(c.Conn)
		return err
	}
	if _, err := r.Body.WriteTo(&head); err != nil {
		return err
	}
	_, err := c.Write(head.Bytes())
	return err
}

// Abort ends the call from any goroutine: reads and writes fail from now on.
func (k *Call) Abort() { _ = k.conn.SetDeadline(time.Unix(1, 0)) }

func (k *Call) evict() {
	k.evicted.Store(true)
	k.Abort()
}

// Evicted reports whether the call was ended since its answer took too much of the memory
// for all answers.
func (k *Call) Evicted() bool { return k.evicted.Load() }

// Memory returns the account of the answer. The caller counts what it keeps of the body.
func (k *Call) Memory() *memory.Account { return k.memory }

// Keep makes an answer that was read to its end outlive the call, and returns its account,
// which the caller closes. It reports false if the memory was taken away before.
func (k *Call) Keep() (*memory.Account, bool) {
	if !k.memory.Seal() {
		return nil, false
	}
	kept := k.memory
	k.memory = nil
	return kept, true
}

// Answer reads the head of the answer. Answers that mine does not accept as
// those to this request are skipped.
func (k *Call) Answer(method string, mine func(*http.Response) bool) (*http.Response, error) {
	k.conn.head.left, k.conn.head.memory = maxHead, k.memory
	defer func() { k.conn.head.left, k.conn.head.memory = -1, nil }()
	for range maxStrange + 1 {
		resp, err := http.ReadResponse(k.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errNoHead, err)
		}
		if interim(resp.StatusCode) {
			continue
		}
		if !ValidStatus(resp.StatusCode) {
			return nil, fmt.Errorf("%w: %d", errStatus, resp.StatusCode)
		}
		if mine(resp) {
			if unbounded(resp) && resp.Body != http.NoBody {
				resp.Body = &closingBody{ReadCloser: resp.Body, call: k}
			}
			k.resp = resp
			return resp, nil
		}
		if err := drop(resp.Body); err != nil || resp.Close {
			return nil, fmt.Errorf("%w: %w", errStrange, err)
		}
	}
	return nil, errStrange
}

// Drop reads the rest of the answer's body, of which nothing is needed. It fails
// when the body is long or does not end by limit.
func (k *Call) Drop(limit time.Time) error {
	timer := time.AfterFunc(time.Until(limit), k.Abort)
	err := drop(k.resp.Body)
	if !timer.Stop() && err == nil {
		err = errLateBody // the connection may be aborted at any moment
	}
	return err
}

func drop(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDropped+1))
	if err == nil && n > maxDropped {
		err = errLongBody
	}
	return err
}

// Finish ends the call. The connection is used again when the whole answer was
// read and nothing speaks against it.
func (k *Call) Finish(whole bool) {
	if k.done {
		return
	}
	k.done = true
	alive := k.stop()
	alive = k.memory.Close() && alive
	select {
	case err := <-k.written:
		whole = whole && err == nil
		// An upstream that answers early may never read the rest.
		whole = whole && (!k.long || !Unsent(k.conn.Conn))
	default:
		whole = false
	}
	if !alive || !whole || k.resp == nil || k.resp.Close || unbounded(k.resp) || k.conn.reader.Buffered() > 0 {
		k.conn.Close()
		return
	}
	k.pool.put(k.conn, keepAlive(k.resp.Header))
}

// unbounded reports whether the answer has neither a length nor chunks, and ends with
// its connection.
func unbounded(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// keepAlive returns the time for which the upstream keeps an idle connection, or
// 0 if it names none.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
