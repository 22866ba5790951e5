package edge

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/memory"
)

// Server-sent events are decoded according to the HTML standard, section 9.2.6,
// as far as engines use them.

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxUselessBytes bounds what an engine sends without a token or the end of the
	// response: comments, repeated events, and those of other requests.
	maxUselessBytes = 4 << 20
)

var (
	// errEventTooLarge means that an event exceeds maxEventBytes.
	errEventTooLarge = errors.New("an event is too large")
	// errUseless means that a stream exceeds maxUselessBytes.
	errUseless = errors.New("the stream brings nothing new")
	// errCutEvent means that the stream ended inside an event, or that the rest of the
	// event is not read.
	errCutEvent = errors.New("the event is not whole")
)

// cutEvent returns the error of a stream that ended inside an event with err. Inside an
// event also a proper end is an unexpected one.
func cutEvent(err error) error {
	if errors.Is(err, errCutEvent) {
		return err
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", errCutEvent, err)
}

// sseEvent is one server-sent event.
type sseEvent struct {
	data     []byte // valid until the next call of next
	attempt  poplar.Attempt
	position poplar.Tokens // completion tokens up to and including this event
	numbered bool          // true if the event has an id with attempt and position
}

// The router recognizes kinds of events by these byte sequences. Inside a JSON
// string the quotes would be escaped, so generated text cannot contain them.
var (
	markDone   = []byte("[DONE]")
	markFinish = []byte(`"finish_reason":"`)
	markUsage  = []byte(`"usage":{`)
	markEmpty  = []byte(`"choices":[]`)
	markID     = []byte(`{"id":"`)
	fieldData  = []byte("data:")
	fieldID    = []byte("id:")
)

func (e *sseEvent) isDone() bool   { return bytes.Equal(e.data, markDone) }
func (e *sseEvent) hasUsage() bool { return bytes.Contains(e.data, markUsage) }

// isFinal reports whether no token follows the event.
func (e *sseEvent) isFinal() bool {
	return bytes.Contains(e.data, markFinish) || e.hasUsage() && bytes.Contains(e.data, markEmpty)
}

// responseID returns the id of the response that the event belongs to, or nil
// if the event has none.
func (e *sseEvent) responseID() []byte {
	rest, ok := bytes.CutPrefix(e.data, markID)
	if !ok {
		return nil
	}
	id, _, ok := bytes.Cut(rest, []byte{'"'})
	if !ok {
		return nil
	}
	return id
}

// sseReader reads events from an upstream.
type sseReader struct {
	in   *bufio.Reader
	data *memory.Buffer // reused between events
	long *memory.Buffer // a line that is longer than the buffer of in

	useless int // bytes read since the last call of advanced
}

// newSSEReader returns a reader whose events count against an account, which may be nil.
func newSSEReader(r io.Reader, account *memory.Account) *sseReader {
	return &sseReader{in: bufio.NewReaderSize(r, bufferBytes), data: memory.NewBuffer(account), long: memory.NewBuffer(account)}
}

// free gives the memory of the last event back.
func (r *sseReader) free() {
	r.data.Free()
	r.long.Free()
}

// advanced notes that the last event brought something new.
func (r *sseReader) advanced() { r.useless = 0 }

// hasBufferedEvent reports whether another event can be read without blocking.
func (r *sseReader) hasBufferedEvent() bool {
	buffered, err := r.in.Peek(r.in.Buffered())
	return err == nil && bytes.Contains(buffered, []byte("\n\n"))
}

// next reads the next event with data. Comments and other fields are skipped.
// At the end of the stream it returns io.EOF, and errCutEvent inside an event.
func (r *sseReader) next() (sseEvent, error) {
	var event sseEvent
	r.data.Reset()
	for begun := false; ; {
		line, err := r.readLine()
		if err != nil {
			if begun {
				err = cutEvent(err)
			}
			return event, err
		}
		if r.useless += len(line) + 1; r.useless > maxUselessBytes {
			return event, cutEvent(errUseless)
		}
		begun = len(line) > 0 && (begun || line[0] != ':')
		switch {
		case len(line) == 0:
			if event.data = r.data.Bytes(); len(event.data) > 0 {
				return event, nil
			}
		case bytes.HasPrefix(line, fieldData):
			if err := r.appendData(bytes.TrimPrefix(line[len(fieldData):], []byte(" "))); err != nil {
				return event, cutEvent(err)
			}
		case bytes.HasPrefix(line, fieldID):
			event.parseID(bytes.TrimPrefix(line[len(fieldID):], []byte(" ")))
		}
	}
}

// appendData adds a line to the data of the event.
func (r *sseReader) appendData(line []byte) error {
	size := len(r.data.Bytes())
	if size+1+len(line) > maxEventBytes {
		return errEventTooLarge
	}
	if size > 0 {
		if err := r.data.Append([]byte{'\n'}); err != nil {
			return err
		}
	}
	return r.data.Append(line)
}

// readLine reads one line and strips the line ending. At the end of the stream it returns
// errCutEvent inside a line.
func (r *sseReader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		if len(line) > 0 {
			err = cutEvent(err)
		}
		return nil, err
	}
	r.long.Reset()
	for {
		if len(r.long.Bytes())+len(line) > maxEventBytes {
			return nil, cutEvent(errEventTooLarge)
		}
		if err := r.long.Append(line); err != nil {
			return nil, cutEvent(err)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			break
		}
		line, err = r.in.ReadSlice('\n')
	}
	if err != nil {
		return nil, cutEvent(err)
	}
	return bytes.TrimRight(r.long.Bytes(), "\r\n"), nil
}

// parseID parses an event id of the form ATTEMPT-TOKENS. Any other id is
// ignored.
func (e *sseEvent) parseID(id []byte) {
	left, right, ok := bytes.Cut(id, []byte{'-'})
	if !ok {
		return
	}
	attempt, err := strconv.ParseUint(string(left), 10, 32)
	if err != nil {
		return
	}
	position, err := strconv.ParseInt(string(right), 10, 64)
	if err != nil || position < 0 {
		return
	}
	e.attempt, e.position, e.numbered = poplar.Attempt(attempt), poplar.Tokens(position), true
}
