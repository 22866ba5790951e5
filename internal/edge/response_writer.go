package edge

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar/internal/fault"
)

// Responses to callers have write deadlines; streams also have heartbeats and
// error events.

var (
	textHeartbeat = []byte(": waiting\n\n")
	textData      = []byte("data: ")
	textEnd       = []byte("\n\n")
	textError     = []byte("event: error\ndata: ")
	textDone      = []byte("data: [DONE]\n\n")
)

// responseWriter writes one response. A timer sends comments as heartbeats
// while a stream is otherwise silent.
type responseWriter struct {
	edge      *Edge
	w         http.ResponseWriter
	control   *http.ResponseController
	lastWrite atomic.Int64 // Unix nanoseconds

	mu          sync.Mutex
	timer       *time.Timer // invariant: guarded by mu; nil unless heartbeats are on
	headerSent  bool        // invariant: guarded by mu; true once the header is sent
	closed      bool        // invariant: guarded by mu; true once the response has ended
	buffered    bool        // invariant: guarded by mu; true while data waits for a flush
	writeFailed bool        // invariant: guarded by mu; true once a write failed
	deadline    time.Time   // invariant: guarded by mu; the write deadline in force
}

func newResponseWriter(e *Edge, w http.ResponseWriter) *responseWriter {
	return &responseWriter{edge: e, w: w, control: http.NewResponseController(w)}
}

// startHeartbeat makes the response a stream and starts the heartbeats.
func (w *responseWriter) startHeartbeat(every time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastWrite.Store(w.edge.conf.Clock.Now().UnixNano())
	w.timer = time.AfterFunc(every, func() { w.heartbeat(every) })
}

// heartbeat sends a comment if the stream was silent for the given period, and
// resets the timer.
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

// sendStreamHeader sends the header of a stream once. It is called with mu held.
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

// writeEvent sends one event. With flush it also flushes the buffer.
func (w *responseWriter) writeEvent(data []byte, flush bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(textData, data, textEnd)
	if flush {
		w.flush()
	}
}

// flushBuffered flushes the buffer if it holds data.
func (w *responseWriter) flushBuffered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.buffered {
		w.flush()
	}
}

// finishStream ends a complete stream.
func (w *responseWriter) finishStream() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(textDone)
	w.flush()
	w.closed = true
}

// fail ends the response with an error: a problem body if nothing was sent yet,
// and otherwise an error event.
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

// writeResponse sends a complete response that is not a stream.
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

// close stops the heartbeats; nothing is sent afterwards.
func (w *responseWriter) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// write writes parts of a stream. A failed write means that the caller has
// disconnected; nothing is sent after it. It is called with mu held.
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

// extendDeadline extends the write deadline. It does so only once half of the
// period has passed, because setting a deadline for every write is expensive.
func (w *responseWriter) extendDeadline() {
	limit := w.edge.conf.Limits.Write
	now := w.edge.conf.Clock.Now()
	if w.deadline.Sub(now) > limit/2 {
		return
	}
	w.deadline = now.Add(limit)
	// httptest.ResponseRecorder supports no deadline.
	_ = w.control.SetWriteDeadline(w.deadline)
}

// writeStored sends stored events, which are already encoded.
func (w *responseWriter) writeStored(encoded []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.headerSent {
		w.w.Header().Set(headerReplay, "1")
	}
	w.write(encoded)
	w.flush()
}
