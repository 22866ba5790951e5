package guard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/pkg/memory"
)

// testTimeout bounds what a test waits for.
const testTimeout = 20 * time.Second

// serverTime is a time of the server, which must not be in force.
const serverTime = 50 * time.Millisecond

// harness is a server on a guarded listener. Its handler answers with the size of the body;
// at /held it waits for release first.
type harness struct {
	t       *testing.T
	address string
	guarded *Listener
	entered chan struct{} // yields for each request at /held
	release chan struct{}
	heads   *memory.Limit
}

func newHarness(t *testing.T, limits Limits, maxConns int, headMemory int64) *harness {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &harness{t: t, address: raw.Addr().String(), entered: make(chan struct{}, 1024), release: make(chan struct{}), heads: memory.NewLimit(headMemory)}
	s := &http.Server{Handler: h, ReadHeaderTimeout: serverTime, IdleTimeout: serverTime}
	Apply(s)
	l := NewListener(raw, Settings{Heads: h.heads, Limits: func() Limits { return limits }, MaxConns: maxConns})
	h.guarded = l
	go s.Serve(l) //nolint:errcheck // ends with the test
	t.Cleanup(func() { s.Close() })
	return h
}

// ServeHTTP implements http.Handler.
func (h *harness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := max(r.ContentLength, 0)
	if _, err := io.CopyN(io.Discard, r.Body, n); err != nil { // does not read on to the end
		return
	}
	if r.URL.Path == "/held" {
		h.entered <- struct{}{}
		<-h.release
	}
	fmt.Fprint(w, n)
}

// client is one connection to the harness.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (h *harness) dial() *client {
	h.t.Helper()
	c, err := net.Dial("tcp4", h.address)
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { c.Close() })
	assert.NilError(h.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return &client{Conn: c, t: h.t, reader: bufio.NewReader(c)}
}

// dialAt is dial for a connection that sends nothing yet and was accepted at the given time.
func (h *harness) dialAt(since time.Time) *client {
	h.t.Helper()
	c := h.dial()
	h.wait(func() bool {
		last := h.guarded.fresh.Back()
		if last == nil || last.Value.(*Conn).RemoteAddr().String() != c.LocalAddr().String() {
			return false
		}
		last.Value.(*Conn).since = since
		return true
	})
	return c
}

// wait waits until done, which is called with the listener locked, returns true.
func (h *harness) wait(done func() bool) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		h.guarded.mu.Lock()
		ok := done()
		h.guarded.mu.Unlock()
		if ok {
			return
		}
		assert.Assert(h.t, time.Now().Before(end))
	}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// status reads a response and returns its status and body.
func (c *client) status() (int, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(c.t, err)
	return resp.StatusCode, string(body)
}

// ended reports whether the connection ends without a response.
func (c *client) ended() bool {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	var failed net.Error
	assert.Assert(c.t, !errors.As(err, &failed) || !failed.Timeout(), "the connection is open")
	return err != nil
}

// head returns a head of the given size.
func head(path string, size int) string {
	start := "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nX: "
	return start + strings.Repeat("x", size-len(start)-4) + "\r\n\r\n"
}

// TestHeadLimit guards against heads that are accepted over the limit, and against refusals of
// those within it: on a new and on a kept connection, and of requests with bodies.
func TestHeadLimit(t *testing.T) {
	h := newHarness(t, Limits{}, 0, 1<<20)
	c := h.dial()
	for _, size := range []int{100, Defaults.HeadBytes, 100, 5000, Defaults.HeadBytes} {
		c.send(head("/", size) + "abc")
		status, body := c.status()
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "3")
	}
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("\n", 100_000))
	status, body := c.status()
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "100000")
	c.send(head("/", Defaults.HeadBytes+2*readSlack))
	status, _ = c.status()
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Assert(t, c.ended())
}

// TestPipelinedRequests guards against requests that are counted as parts of one head.
func TestPipelinedRequests(t *testing.T) {
	h := newHarness(t, Limits{}, 0, 1<<20)
	c := h.dial()
	const requests = 50
	go c.send(strings.Repeat(head("/", 2000)+"abc", requests))
	for range requests {
		status, body := c.status()
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "3")
	}
}

// TestTimes guards against connections that send nothing, stay inside a head or are kept
// without an end, and against a request in progress that such a limit ends.
func TestTimes(t *testing.T) {
	h := newHarness(t, Limits{HeadTime: 300 * time.Millisecond, IdleTime: 600 * time.Millisecond}, 0, 1<<20)
	held := h.dial()
	held.send(head("/held", 100) + "abc")
	silent, inside, kept := h.dial(), h.dial(), h.dial()
	kept.send(head("/", 100) + "abc")
	status, _ := kept.status()
	assert.Equal(t, status, http.StatusOK)
	inside.send("POST / HTTP/1.1\r\nHos")
	assert.Assert(t, inside.ended() && silent.ended() && kept.ended())
	close(h.release)
	status, _ = held.status()
	assert.Equal(t, status, http.StatusOK)
}

// TestConnectionLimit guards against connections without requests that keep others out. The
// one that has waited longest must make room, and a request in progress must not be ended.
func TestConnectionLimit(t *testing.T) {
	const most = 4
	h := newHarness(t, Limits{}, most, 1<<20)
	held := h.dial()
	held.send(head("/held", 100) + "abc")
	<-h.entered // only then is the request in progress
	var silent []*client
	for range 3 * most {
		silent = append(silent, h.dial())
	}
	c := h.dial()
	c.send(head("/", 100) + "abc")
	status, _ := c.status()
	assert.Equal(t, status, http.StatusOK)
	for _, s := range silent[:2*most] {
		assert.Assert(t, s.ended())
	}
	close(h.release)
	status, _ = held.status()
	assert.Equal(t, status, http.StatusOK)
}

// TestOrderOfRoom guards against a caller whose head is on its way, on a new or a kept
// connection, that makes room while idle connections stay, and against kept connections that
// make room while older ones have never sent anything.
func TestOrderOfRoom(t *testing.T) {
	const most = 6
	h := newHarness(t, Limits{HeadTime: testTimeout, IdleTime: testTimeout}, most, 1<<20)
	soon := time.Now().Add(testTimeout) // a new connection stays younger than firstByteTime
	silent := h.dialAt(time.Now().Add(-firstByteTime))
	var kept []*client
	for range 3 {
		c := h.dial()
		c.send(head("/", 100) + "abc")
		status, _ := c.status()
		assert.Equal(t, status, http.StatusOK)
		kept = append(kept, c)
	}
	request := head("/", 100) + "abc"
	recent := h.dialAt(soon)
	inside := []*client{kept[0], h.dialAt(soon)}
	for _, c := range inside {
		c.send(request[:20])
	}
	h.wait(func() bool { return h.guarded.heads.Len() == len(inside) })
	for range 3 {
		h.dialAt(soon)
	}
	assert.Assert(t, silent.ended() && kept[1].ended() && kept[2].ended())
	for _, c := range inside {
		c.send(request[20:])
		status, _ := c.status()
		assert.Equal(t, status, http.StatusOK)
	}
	recent.send(request)
	status, _ := recent.status()
	assert.Equal(t, status, http.StatusOK)
}

// TestWholeRequestsAreKept guards against requests in progress that are ended to make room,
// also where their handler has not read on to the end of the body.
func TestWholeRequestsAreKept(t *testing.T) {
	const most = 2
	h := newHarness(t, Limits{}, most, 1<<20)
	var held []*client
	for range most {
		c := h.dial()
		c.send(head("/held", 100) + "abc")
		<-h.entered
		held = append(held, c)
	}
	assert.Assert(t, h.dial().ended())
	close(h.release)
	for _, c := range held {
		status, _ := c.status()
		assert.Equal(t, status, http.StatusOK)
	}
}

// TestHeadsShareMemory guards against heads that are each within the limit and together are
// not. The memory must stay within its limit, and a usual request must be served beside.
func TestHeadsShareMemory(t *testing.T) {
	const limit, clients = 256 << 10, 64
	h := newHarness(t, Limits{}, 0, limit)
	var inside []*client
	for range clients {
		c := h.dial()
		text := head("/", Defaults.HeadBytes)
		_, _ = io.WriteString(c, text[:len(text)-2])
		inside = append(inside, c)
	}
	for end := time.Now().Add(testTimeout); h.heads.Evicted() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	assert.Assert(t, h.heads.Used() <= limit, "%d bytes", h.heads.Used())
	c := h.dial()
	c.send(head("/", 1000) + "abc")
	status, _ := c.status()
	assert.Equal(t, status, http.StatusOK)
	for _, c := range inside {
		c.Close()
	}
	for end := time.Now().Add(testTimeout); h.heads.Used() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are held", h.heads.Used())
	}
}

// TestBodiesAreNotHeads guards against bodies that arrive with their heads and take the memory
// of heads: valid requests were refused.
func TestBodiesAreNotHeads(t *testing.T) {
	const clients, size = 80, 12_000
	h := newHarness(t, Limits{}, 0, 16<<10)
	var open []*client
	for range clients {
		c := h.dial()
		c.send(fmt.Sprintf("POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size) + strings.Repeat("\n", size))
		open = append(open, c)
	}
	close(h.release)
	for _, c := range open {
		status, body := c.status()
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, fmt.Sprint(size))
	}
}

// TestNoMemoryForHead guards against a valid request that is called invalid, and so not sent
// again, for lack of memory. What other requests hold must stay, and be free after them.
func TestNoMemoryForHead(t *testing.T) {
	const size = 8000
	h := newHarness(t, Limits{}, 0, 16<<10)
	held, c := h.dial(), h.dial()
	held.send(head("/held", size) + "abc")
	for end := time.Now().Add(testTimeout); h.heads.Used() < size; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	c.send(head("/", size) + "abc")
	resp, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	assert.Assert(t, resp.Close)
	assert.Assert(t, c.ended())
	close(h.release)
	status, _ := held.status()
	assert.Equal(t, status, http.StatusOK)
	for end := time.Now().Add(testTimeout); h.heads.Used() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are held", h.heads.Used())
	}
	c = h.dial()
	c.send(head("/", size) + "abc")
	status, _ = c.status()
	assert.Equal(t, status, http.StatusOK)
}

// TestRequestsWithoutHandler guards against heads that add up over requests which net/http
// answers itself, so that the handler never sees them.
func TestRequestsWithoutHandler(t *testing.T) {
	h := newHarness(t, Limits{}, 0, 1<<20)
	c := h.dial()
	for range 30 {
		c.send("OPTIONS * HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2000) + "\r\n\r\n")
		status, _ := c.status()
		assert.Equal(t, status, http.StatusOK)
	}
	c.send(head("/", Defaults.HeadBytes+2*readSlack))
	status, _ := c.status()
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
}

// TestServerTimes guards against times of the server that end connections within the limits of
// the listener.
func TestServerTimes(t *testing.T) {
	h := newHarness(t, Limits{}, 0, 1<<20)
	c := h.dial()
	for range 2 {
		time.Sleep(3 * serverTime)
		c.send(head("/", 100) + "abc")
		status, _ := c.status()
		assert.Equal(t, status, http.StatusOK)
	}
}
