package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar/pkg/plan"
)

// This file holds streams of events.

// eventBuffer is the size of the reader of a stream, in bytes.
const eventBuffer = 4 << 10

// mostEvent bounds one event, in bytes.
const mostEvent = 1 << 20

var (
	errEvent = errors.New("an event without an end")
	errOrder = errors.New("an event out of order")
)

// stream passes the events of an answer on, each as a whole, so that the stream
// can be resumed after any of them.
func (w *attempt) stream(resp *http.Response) result {
	x := w.x
	reader := bufio.NewReaderSize(resp.Body, eventBuffer)
	control := http.NewResponseController(x.w)
	var event []byte
	for {
		var err error
		event, err = readEvent(reader, event[:0])
		w.watch.touch()
		if err == nil && !x.fits(event) {
			err = errOrder
		}
		if err != nil && !errors.Is(err, io.EOF) {
			w.err = err
			return resultBroken
		}
		end := err != nil
		if end && len(event) == 0 && w.began || end && x.begun {
			w.whole = true
			x.w.Write(event)
			return resultDone
		}
		w.head(resp)
		if _, err := x.w.Write(event); err != nil {
			w.err = err
			return resultEnded
		}
		if end {
			w.whole = true
			return resultDone
		}
		if !more(reader) {
			if err := control.Flush(); err != nil {
				w.err = err
				return resultEnded
			}
		}
	}
}

// more reports whether another whole event has arrived, so that one flush may
// send both.
func more(r *bufio.Reader) bool {
	rest, err := r.Peek(r.Buffered())
	return err == nil && (bytes.Contains(rest, []byte("\n\n")) || bytes.Contains(rest, []byte("\n\r\n")))
}

// head writes the head of the answer before the first event, which is that of
// the first upstream.
func (w *attempt) head(resp *http.Response) {
	x := w.x
	if !w.began {
		w.read()
		w.u.remember(x.env.Parts)
	}
	if x.begun {
		return
	}
	x.first = time.Now()
	x.copyHead(resp.Header)
	x.begin(resp.StatusCode)
}

// fits notes an event and reports whether it follows the last one.
func (x *exchange) fits(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		x.events++
		return true
	}
	if x.route.Kind == plan.KindResumable && x.last != "" {
		last, err := strconv.ParseInt(x.last, 10, 64)
		next, err2 := strconv.ParseInt(id, 10, 64)
		if err == nil && err2 == nil && next <= last {
			return false
		}
	}
	x.last = id
	x.events++
	return true
}

// readEvent appends the next event with its blank line to buffer. It returns
// io.EOF with what stands after the last event of a whole answer.
func readEvent(r *bufio.Reader, buffer []byte) ([]byte, error) {
	for {
		start := len(buffer)
		for {
			line, err := r.ReadSlice('\n')
			buffer = append(buffer, line...)
			if err == nil {
				break
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return buffer, err
			}
			if len(buffer) > mostEvent {
				return buffer, errEvent
			}
		}
		if line := bytes.TrimRight(buffer[start:], "\r\n"); len(line) == 0 {
			return buffer, nil
		}
	}
}

// eventID returns the id of an event.
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

// stall ends an attempt that shows no byte for the time of patience.
type stall struct {
	timer    *time.Timer // invariant: nil without patience
	patience time.Duration
	over     atomic.Bool
}

func newStall(cancel context.CancelFunc, patience time.Duration) *stall {
	s := &stall{patience: patience}
	if patience > 0 {
		s.timer = time.AfterFunc(patience, func() {
			s.over.Store(true)
			cancel()
		})
	}
	return s
}

// touch notes a byte.
func (s *stall) touch() {
	if s.timer != nil {
		s.timer.Reset(s.patience)
	}
}

// fired reports whether the attempt was ended.
func (s *stall) fired() bool { return s.over.Load() }

func (s *stall) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}
