package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"poplarbend.example/poplar/pkg/memory"
	"poplarbend.example/poplar/pkg/plan"
)

// An attempt forwards an event stream as whole events.

// eventBufferSize is the buffer size of the stream reader, in bytes.
const eventBufferSize = 4 << 10

// maxEventSize is the maximum size of one event, in bytes.
const maxEventSize = 1 << 20

var (
	errEventTooLong   = errors.New("event exceeds the size limit")
	errCutEvent       = errors.New("stream ended inside an event")
	errNoContinuation = errors.New("the answer does not continue the stream")
	errEventOrder     = errors.New("event id is not greater than the previous one")
)

// stream forwards the events of a response. Each event is forwarded as a whole,
// so that the stream can be resumed after any of them.
func (a *attempt) stream(resp *http.Response) result {
	x := a.x
	ahead := newReadAhead(resp.Body, x.p.answers.Open(x.bodySource(), a.abort), a.release)
	defer ahead.close()
	reader := eventReaders.Get().(*bufio.Reader)
	reader.Reset(ahead)
	defer releaseEventReader(reader)
	resumed, first := x.headerWritten, true
	account := x.p.answers.Open(a.u.address, a.abort) // that of the call ends with it, see release
	defer account.Close()
	buffer := memory.NewBuffer(account)
	defer buffer.Free()
	for {
		buffer.Reset()
		err := readEvent(reader, buffer)
		event := buffer.Bytes()
		a.stall.reset()
		eof := errors.Is(err, io.EOF)
		switch {
		case eof && insideEvent(event):
			eof, err = false, errCutEvent
		case err == nil && resumed && first && !hasEventID(event):
			err = errNoContinuation
		case err == nil && !x.acceptEvent(event):
			err = errEventOrder
		}
		first = false
		if err != nil && !eof {
			a.err = err
			return resultBroken
		}
		if eof && x.headerWritten {
			a.complete = true
			x.w.Write(event)
			return resultDone
		}
		a.startStream(resp)
		a.recordProgress()
		flush := !eof && !eventBuffered(reader)
		if err := a.forward(event, flush, ahead); err != nil {
			a.err = err
			return resultEnded
		}
		if eof {
			a.complete = true
			return resultDone
		}
		if flush {
			x.holdEvents()
		}
	}
}

// forward writes an event to the caller. An upstream that waits for a slow caller has not
// stalled.
func (a *attempt) forward(event []byte, flush bool, ahead *readAhead) error {
	a.stall.hold(true)
	defer a.stall.hold(false)
	ahead.beginWrite()
	defer ahead.endWrite()
	_, err := a.x.w.Write(event)
	if err == nil && flush {
		err = http.NewResponseController(a.x.w).Flush()
	}
	return err
}

// holdPart is the part of the time within which an event should reach its caller for
// which the router may hold it.
const holdPart = 0.6

// holdEvents waits before the next event is read, while the router uses much of its
// processor time or, for requests that are not of the most urgent rank, of its link. What
// arrives meanwhile is forwarded with one read and one write, and in fewer packets.
func (x *exchange) holdEvents() {
	lag := x.p.settings.EventLag
	if lag > 0 && (x.p.cpu.high(time.Now()) || x.rank() > 0 && x.p.link.short()) {
		x.p.batches.wait(x.ctx, time.Duration(holdPart*float64(lag)))
	}
}

// eventReaders holds the buffers of streams that have ended.
var eventReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferSize) }}

func releaseEventReader(r *bufio.Reader) {
	r.Reset(nil)
	eventReaders.Put(r)
}

// hasEventID reports whether an event has an id. The first event of a resumed stream must
// have one: something else than the rest of the stream, such as the text of an error with
// a status of success, has none.
func hasEventID(event []byte) bool {
	_, ok := eventID(event)
	return ok
}

// insideEvent reports whether a stream that ends with the given data, after its last whole
// event, ends inside an event. Whole comment lines belong to no event. A length or a last
// chunk does not make the event whole: an upstream may end its answer properly anywhere.
func insideEvent(rest []byte) bool {
	for len(rest) > 0 {
		line, after, ended := bytes.Cut(rest, []byte{'\n'})
		if !ended || line[0] != ':' {
			return true
		}
		rest = after
	}
	return false
}

// eventBuffered reports whether another whole event is buffered, so that one
// flush can send both.
func eventBuffered(r *bufio.Reader) bool {
	rest, err := r.Peek(r.Buffered())
	return err == nil && (bytes.Contains(rest, []byte("\n\n")) || bytes.Contains(rest, []byte("\n\r\n")))
}

// startStream writes the response header before the first event. A resumed
// stream keeps the header of the first upstream.
func (a *attempt) startStream(resp *http.Response) {
	x := a.x
	if !a.gotFirstByte {
		a.noteFirstByte()
		a.measureFirstEvent(time.Now())
		a.u.cacheParts(x.env.Parts)
	}
	if x.headerWritten {
		return
	}
	x.firstByteAt = time.Now()
	x.firstToken()
	x.copyHeader(resp.Header)
	x.writeHeader(resp.StatusCode)
}

// acceptEvent records an event and reports whether it is in order. In a resumable
// stream, numeric event ids must increase.
func (x *exchange) acceptEvent(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		x.events++
		return true
	}
	if x.route.Kind == plan.KindResumable && x.lastEventID != "" {
		last, err := strconv.ParseInt(x.lastEventID, 10, 64)
		next, err2 := strconv.ParseInt(id, 10, 64)
		if err == nil && err2 == nil && next <= last {
			return false
		}
	}
	x.lastEventID = id
	x.events++
	return true
}

// readEvent appends the next event, with the blank line that ends it, to buffer. At
// the end of a complete response it returns io.EOF, and buffer has the data after the
// last event.
func readEvent(r *bufio.Reader, buffer *memory.Buffer) error {
	for {
		start := len(buffer.Bytes())
		for {
			line, err := r.ReadSlice('\n')
			if len(buffer.Bytes())+len(line) > maxEventSize {
				return errEventTooLong
			}
			if err := buffer.Append(line); err != nil {
				return err
			}
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return err
			}
		}
		if line := bytes.TrimRight(buffer.Bytes()[start:], "\r\n"); len(line) == 0 {
			return nil
		}
	}
}

// eventID returns the id of an event, if it has one.
func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte{'\n'})
		event = rest
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// stallTimer replaces an attempt if reset is not called within the timeout.
type stallTimer struct {
	timeout time.Duration
	replace func() bool // reports whether the attempt was cancelled

	mu      sync.Mutex
	timer   *time.Timer // invariant: guarded by mu; nil without a timeout and after stop
	expired bool        // invariant: guarded by mu; true once the attempt was cancelled
	held    bool        // invariant: guarded by mu; true while the timeout does not count
}

// newStallTimer returns a timer that calls replace after each timeout, until it
// returns true.
func newStallTimer(timeout time.Duration, replace func() bool) *stallTimer {
	s := &stallTimer{timeout: timeout, replace: replace}
	if timeout > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = time.AfterFunc(timeout, s.expire)
	}
	return s
}

func (s *stallTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil || s.expired {
		return
	}
	if !s.held {
		s.expired = s.replace()
	}
	if !s.expired {
		s.timer.Reset(s.timeout)
	}
}

// reset restarts the timeout.
func (s *stallTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil && !s.expired {
		s.timer.Reset(s.timeout)
	}
}

// hold suspends the timeout, or restarts it.
func (s *stallTimer) hold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = on
	if !on && s.timer != nil && !s.expired {
		s.timer.Reset(s.timeout)
	}
}

// stop ends the timer and reports whether it has cancelled the attempt.
func (s *stallTimer) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	return s.expired
}
