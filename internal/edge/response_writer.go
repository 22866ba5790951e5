package edge

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar/internal/fault"
)

// This file holds the caller's side of an answer.

var (
	textHeartbeat = []byte(": waiting\n\n")
	textData      = []byte("data: ")
	textEnd       = []byte("\n\n")
	textError     = []byte("event: error\ndata: ")
	textDone      = []byte("data: [DONE]\n\n")
)

// responseWriter writes one answer. A stream never falls silent: run by a timer, it
// sends comments while nothing else is sent.
type responseWriter struct {
	edge      *Edge
	w         http.ResponseWriter
	control   *http.ResponseController
	lastWrite atomic.Int64 // Unix nanoseconds of the last write

	mu          sync.Mutex
	timer       *time.Timer // invariant: guarded by mu; nil when no beat is wanted
	headerSent  bool        // invariant: guarded by mu; true once the header is sent
	closed      bool        // invariant: guarded by mu; true once nothing more is sent
	buffered    bool        // invariant: guarded by mu; true while something is buffered
	writeFailed bool        // invariant: guarded by mu; true once a write failed
	deadline    time.Time   // invariant: the write deadline that is set
}

func newResponseWriter(e *Edge, w http.ResponseWriter) *responseWriter {
	return &responseWriter{edge: e, w: w, control: http.NewResponseController(w)}
}

// startHeartbeat makes the sink a stream and starts the comments.
func (w *responseWriter) startHeartbeat(every time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastWrite.Store(w.edge.conf.Clock.Now().UnixNano())
	w.timer = time.AfterFunc(every, func() { w.heartbeat(every) })
}

// heartbeat sends a comment after a silence and sets the next beat.
func (w *responseWriter) heartbeat(every time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.writeFailed {
		return
	}
	now := w.edge.conf.Clock.Now()
	silence := now.Sub(time.Unix(0, w.lastWrite.Load()))
	if silence < every {
		w.timer.Reset(every - silence)
		return
	}
	w.write(textHeartbeat)
	w.flush()
	w.timer.Reset(every)
}

// sendStreamHeader sends the header of a stream, unless it is sent.
func (w *responseWriter) sendStreamHeader() {
	if w.headerSent {
		return
	}
	w.headerSent = true
	h := w.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	w.w.WriteHeader(http.StatusOK)
}

// writeEvent sends one event with the given data; flush sends what is buffered.
func (w *responseWriter) writeEvent(data []byte, flush bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(textData, data, textEnd)
	if flush {
		w.flush()
	}
}

// flushBuffered sends what is buffered, if anything is.
func (w *responseWriter) flushBuffered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffered {
		w.flush()
	}
}

// finishStream ends a whole stream.
func (w *responseWriter) finishStream() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(textDone)
	w.flush()
	w.closed = true
}

// fail ends the answer with a problem: as a whole body when nothing was sent,
// else as an explicit event.
func (w *responseWriter) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if w.headerSent {
		w.write(textError, fault.Encode(err), textEnd)
		w.flush()
	} else {
		w.headerSent = true
		fault.Write(w.w, err)
	}
	w.closed = true
}

// writeResponse sends an answer that is not a stream.
func (w *responseWriter) writeResponse(status int, header http.Header, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.headerSent, w.closed = true, true
	h := w.w.Header()
	for name, values := range header {
		h[name] = values
	}
	w.extendDeadline()
	w.w.WriteHeader(status)
	if _, err := w.w.Write(body); err != nil {
		w.writeFailed = true
	}
}

// close ends the sink; nothing is sent afterwards.
func (w *responseWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// write sends parts of a stream. After a failed write the caller is gone and
// nothing more is sent.
func (w *responseWriter) write(parts ...[]byte) {
	if w.closed || w.writeFailed {
		return
	}
	w.sendStreamHeader()
	w.extendDeadline()
	w.buffered = true
	for _, part := range parts {
		if _, err := w.w.Write(part); err != nil {
			w.writeFailed = true
			return
		}
	}
}

func (w *responseWriter) flush() {
	w.buffered = false
	if w.writeFailed {
		return
	}
	if w.control.Flush() != nil {
		w.writeFailed = true
	}
	w.lastWrite.Store(w.edge.conf.Clock.Now().UnixNano())
}

// extendDeadline moves the write deadline, in steps that keep it cheap.
func (w *responseWriter) extendDeadline() {
	limit := w.edge.conf.Limits.Write
	now := w.edge.conf.Clock.Now()
	if w.deadline.Sub(now) > limit/2 {
		return
	}
	w.deadline = now.Add(limit)
	// A recorder in a test has no deadline.
	_ = w.control.SetWriteDeadline(w.deadline)
}

// writeStored sends kept events, which are encoded already.
func (w *responseWriter) writeStored(encoded []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.headerSent {
		w.w.Header().Set(headerReplay, "1")
	}
	w.write(encoded)
	w.flush()
}
