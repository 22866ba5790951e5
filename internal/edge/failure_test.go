package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/pkg/retry"
)

// TestDrainCompletesOpenStreams drains a daemon with 100 open streams: all of
// them complete and are billed.
func TestDrainCompletesOpenStreams(t *testing.T) {
	const streams, tokens = 100, 60
	h := newHarness(t, 100000)
	e, s := h.startDaemon("a")
	// Each engine accepts only an eighth of its slots at first, so ten engines
	// are needed.
	var engines [10]*fake.Engine
	for i := range engines {
		engines[i] = h.startEngine(fake.Settings{Name: poplar.Upstream(fmt.Sprint("e", i)), Slots: streams, Step: 5 * time.Millisecond})
	}
	started := func() (n uint64) {
		for _, e := range engines {
			n += e.Started()
		}
		return n
	}
	var wg sync.WaitGroup
	var got [streams]streamResult
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			response, err := h.send(context.Background(), s, "POST", "/v1/completions", completionBody(tokens))
			if err != nil {
				got[i].err = err
				return
			}
			defer response.Body.Close()
			got[i] = readStream(response.Body)
		}()
	}
	eventually(t, "all streams open", func() bool { return started() == streams })
	assert.Equal(t, h.request(s, "GET", "/healthz/ready", "").StatusCode, 204)
	drained := make(chan error, 1)
	go func() { drained <- e.Drain(context.Background()) }()
	eventually(t, "not ready", e.closed)
	assert.Equal(t, h.request(s, "GET", "/healthz/ready", "").StatusCode, 503)
	assert.Equal(t, h.request(s, "GET", "/healthz/live", "").StatusCode, 204)
	checkRefusal(t, h.request(s, "POST", "/v1/completions", completionBody(1)), "503 drain drain no no new work")
	assert.NilError(t, <-drained)
	wg.Wait()
	for i := range got {
		assert.NilError(t, got[i].err)
		nonce, _, _ := strings.Cut(got[i].text, ":")
		assert.Equal(t, got[i].text, generatedText(nonce, tokens))
		assert.Assert(t, got[i].done)
	}
	n, sum := h.ledger.bills()
	assert.Equal(t, n, streams)
	assert.Equal(t, int(sum), streams*(tokens+2))
	assert.Equal(t, h.ledger.open(), 0)
}

func TestAbortEndsStreamsWithError(t *testing.T) {
	h := newHarness(t, 1000)
	e, s := h.startDaemon("a")
	h.startEngine(fake.Settings{Name: "e", Step: 10 * time.Millisecond})
	response := h.request(s, "POST", "/v1/completions", completionBody(500))
	_, err := io.ReadFull(response.Body, make([]byte, 200))
	assert.NilError(t, err)
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, e.Drain(short), "1 requests are open")
	e.Abort()
	assert.NilError(t, e.Drain(context.Background()))
	got := readStream(response.Body)
	assert.Equal(t, got.problem+" "+got.run, "drain yes")
	n, _ := h.ledger.bills()
	assert.Equal(t, n, 1)
}

// faultyProxy is a proxy between a daemon and a fake upstream. A test can make
// its connections fail.
type faultyProxy struct {
	server    *httptest.Server
	mu        sync.Mutex
	failures  int // invariant: guarded by mu; remaining responses to break after passBytes
	passBytes int
	stall     bool // true if responses stall instead of breaking
}

func newFaultyProxy(t *testing.T, address string, failures, passBytes int) *faultyProxy {
	p := &faultyProxy{failures: failures, passBytes: passBytes}
	transport := &http.Transport{}
	p.server = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		// The proxy reads the body of the request before it forwards the request: a
		// server closes the body once it responds, and a transport that is still
		// reading the body then breaks the exchange.
		body, err := io.ReadAll(in.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		req, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+address+in.URL.Path, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		req.Header = in.Header
		response, err := transport.RoundTrip(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			out.Header()[name] = values
		}
		out.WriteHeader(response.StatusCode)
		p.copyBody(out, in, response.Body)
	}))
	t.Cleanup(func() {
		p.server.CloseClientConnections()
		p.server.Close()
		transport.CloseIdleConnections()
	})
	return p
}

func (p *faultyProxy) copyBody(out http.ResponseWriter, in *http.Request, body io.Reader) {
	p.mu.Lock()
	failing := p.failures > 0 && in.URL.Path != "/v1/cancel"
	if failing {
		p.failures--
	}
	p.mu.Unlock()
	buf := make([]byte, 64)
	for sent := 0; ; {
		n, err := body.Read(buf)
		if failing && sent+n > p.passBytes {
			if p.stall {
				<-in.Context().Done()
			}
			panic(http.ErrAbortHandler)
		}
		if _, writeErr := out.Write(buf[:n]); writeErr != nil || errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // a broken response must not look complete
		}
		sent += n
		// A failed flush shows up at the reader.
		_ = http.NewResponseController(out).Flush()
	}
}

// announceVia announces the engine with the address of the proxy.
func (h *harness) announceVia(e *fake.Engine, p *faultyProxy) {
	h.announce(func() poplar.Announcement {
		n := e.Announcement()
		n.Address = strings.TrimPrefix(p.server.URL, "http://")
		return n
	})
}

// TestBrokenStreams breaks the exchange with the upstream. The response must be
// complete or end with an explicit error, and it must be billed once.
func TestBrokenStreams(t *testing.T) {
	cases := []struct {
		name      string
		failures  int // number of responses to break
		passBytes int // bytes of the body to pass before the failure
		stall     bool
		noResume  bool
		other     bool // true if there is a second engine
		stream    bool
		complete  bool
		started   uint64 // generations started at the engine
		problem   string
	}{
		{"resumed", 1, 900, false, false, true, true, true, 1, ""},
		{"resumed twice", 2, 900, false, false, false, true, true, 1, ""},
		{"broken before the header", 1, -1, false, false, false, true, true, 1, ""},
		{"stalled and resumed", 1, 900, true, false, false, true, true, 1, ""},
		{"cannot resume", 1, 900, false, true, true, true, false, 1, "upstream"},
		{"stalled, cannot resume", 1, 900, true, true, false, true, false, 1, "timeout"},
		{"no token yet, run elsewhere", 1, 0, false, true, true, true, true, 1, ""},
		{"buffered response resumed", 1, 100, false, false, false, false, true, 1, ""},
		{"buffered response run elsewhere", 1, 100, false, true, true, false, true, 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1000)
			// A stall is detected only after the time that the rank allows for a first
			// token, so that time is short here.
			h.policy = compilePolicy(t, `"ranks": {"normal": {"first": "300ms"}}`)
			_, s := h.startDaemon("a")
			engine := h.startEngine(fake.Settings{Name: "e", Step: time.Millisecond, NoResume: c.noResume})
			proxy := newFaultyProxy(t, engine.Address(), c.failures, c.passBytes)
			proxy.stall = c.stall
			h.announceVia(engine, proxy)
			body := completionBody(30)
			if !c.stream {
				body = strings.Replace(body, "true", "false", 1)
			}
			if c.other {
				other := h.startEngine(fake.Settings{Name: "other"})
				// The other engine is loaded, so that the router picks the first one.
				peer, _ := h.roster.View().Peer("other")
				peer.LocalState().Start(poplar.Normal, 100000, time.Now())
				defer func() { assert.Assert(t, other.Started() <= 1) }()
			}
			response := h.request(s, "POST", "/v1/completions", body)
			got := readStream(response.Body)
			if c.stream {
				nonce, _, _ := strings.Cut(got.text, ":")
				assert.Equal(t, got.done, c.complete, "%+v", got)
				assert.Equal(t, got.problem, c.problem)
				assert.Assert(t, strings.HasPrefix(generatedText(nonce, 30), got.text), got.text)
				assert.Assert(t, !c.complete || got.text == generatedText(nonce, 30), got.text)
			} else {
				assert.Equal(t, response.StatusCode, 200)
			}
			assert.Equal(t, engine.Started(), c.started)
			n, sum := h.ledger.bills()
			assert.Equal(t, n, 1)
			assert.Equal(t, h.ledger.open(), 0)
			assert.Assert(t, !c.complete || sum == 32, sum)
		})
	}
}

func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	h := newHarness(t, 1000)
	_, s := h.startDaemon("a")
	dead := h.startEngine(fake.Settings{Name: "dead"})
	dead.Kill()
	checkRefusal(t, h.request(s, "POST", "/v1/completions", completionBody(3)), "502 upstream stream no connection refused")
	assert.Equal(t, h.ledger.open(), 0)
	live := h.startEngine(fake.Settings{Name: "live"})
	for range 10 {
		assert.Assert(t, readStream(h.request(s, "POST", "/v1/completions", completionBody(3)).Body).done)
	}
	assert.Equal(t, live.Started(), uint64(10))
	n, _ := h.ledger.bills()
	assert.Equal(t, n, 10)
}

// TestMismatchedEventsAreDropped runs an upstream that mixes in events of other
// requests and attempts.
func TestMismatchedEventsAreDropped(t *testing.T) {
	h := newHarness(t, 1000)
	_, s := h.startDaemon("a")
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get(poplar.HeaderRequest)
		token := func(attempt, n int, id, text string) {
			fmt.Fprintf(w, "id: %d-%d\ndata: {\"id\":%q,\"choices\":[{\"text\":%q,\"finish_reason\":null}]}\n\n", attempt, n, id, text)
		}
		token(1, 1, id, "a")
		token(1, 2, "another request", "X")
		token(0, 2, id, "Y") // late, from an old attempt
		token(1, 2, id, "b")
		token(1, 2, id, "Z") // duplicate
		token(1, 3, id, "c")
		fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
	}))
	defer upstream.Close()
	n := testAnnouncement(upstream)
	n.Resume = true
	h.announce(withNextSequence(n))
	got := readStream(h.request(s, "POST", "/v1/completions", completionBody(9)).Body)
	assert.Equal(t, got.text, "abc")
	assert.Assert(t, got.done)
	assert.DeepEqual(t, got.usage, fake.Usage{Prompt: 2, Completion: 3, Total: 5})
}

// withNextSequence returns a function that returns n with a higher sequence
// number on each call.
func withNextSequence(n poplar.Announcement) func() poplar.Announcement {
	return func() poplar.Announcement {
		n.Sequence++
		return n
	}
}

func testAnnouncement(s *httptest.Server) poplar.Announcement {
	n := poplar.Announcement{
		Domain: "d", Address: strings.TrimPrefix(s.URL, "http://"), Kind: poplar.KindEngine,
		Models: []poplar.Model{"small"}, Slots: 4,
	}
	n.Upstream, n.Incarnation, n.Sequence = "x", 1, 1
	return n
}

// TestMalformedUpstreamStreams runs upstreams with malformed responses. The
// caller must get a problem response or an error event, and nothing may stay
// reserved.
func TestMalformedUpstreamStreams(t *testing.T) {
	cases := []struct{ name, body, problem string }{
		{"no event", "", "upstream"},
		{"done at once", "data: [DONE]\n\n", "upstream"},
		{"gap", "id: 1-1\ndata: {}\n\nid: 1-3\ndata: {}\n\n", "upstream"},
		{"endless", "", "upstream"},
		{"too large", "data: " + strings.Repeat("x", maxEventBytes+10) + "\n\n", "upstream"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1000)
			_, s := h.startDaemon("a")
			var calls atomic.Int32
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				calls.Add(1)
				fmt.Fprint(w, c.body)
				for c.name == "endless" && req.Context().Err() == nil {
					if _, err := io.WriteString(w, "data: {}\n\n"); err != nil {
						return
					}
				}
			}))
			defer upstream.Close()
			h.announce(withNextSequence(testAnnouncement(upstream)))
			response := h.request(s, "POST", "/v1/completions", completionBody(5))
			got := readStream(response.Body)
			assert.Assert(t, !got.done)
			if response.StatusCode == 200 {
				assert.Equal(t, got.problem, c.problem, "%+v", got)
			} else {
				assert.Equal(t, response.StatusCode, 502)
			}
			assert.Assert(t, int(calls.Load()) <= retry.DefaultSettings().MaxAttempts)
			eventually(t, "no reservation", func() bool { return h.ledger.open() == 0 })
		})
	}
}

// TestRetryAfterRouterDeath marks a daemon with an open stream as dead in the
// ledger and retries the request at a second daemon. There must be one generation, one
// complete response and one bill.
func TestRetryAfterRouterDeath(t *testing.T) {
	h := newHarness(t, 1000)
	_, b := h.startDaemon("b")
	engine := h.startEngine(fake.Settings{Name: "e", Step: 3 * time.Millisecond})
	key := []string{"Idempotency-Key", "k"}
	e, a := h.startDaemon("a")
	response := h.request(a, "POST", "/v1/completions", completionBody(80), key...)
	_, err := io.ReadFull(response.Body, make([]byte, 300))
	assert.NilError(t, err)
	// From here on, the ledger treats the first daemon as dead.
	h.ledger.mu.Lock()
	h.ledger.dead["a"] = true
	h.ledger.mu.Unlock()
	got := readStream(h.request(b, "POST", "/v1/completions", completionBody(80), key...).Body)
	assert.Equal(t, got.text, generatedText("e.1", 80))
	assert.Assert(t, got.done)
	assert.Equal(t, engine.Started(), uint64(1))
	first := readStream(response.Body)
	assert.Assert(t, !first.done, "the old attempt completed as well as the new one")
	assert.Assert(t, first.problem != "")
	eventually(t, "the old attempt to end", func() bool { return e.Open() == 0 })
	n, sum := h.ledger.bills()
	assert.Equal(t, n, 1)
	assert.Equal(t, int(sum), 82)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	h := newHarness(t, 1000)
	_, s := h.startDaemon("a")
	leaving := h.startEngine(fake.Settings{Name: "leaver", Step: 5 * time.Millisecond})
	response := h.request(s, "POST", "/v1/completions", completionBody(40))
	eventually(t, "the stream", func() bool { return leaving.Started() == 1 })
	remaining := h.startEngine(fake.Settings{Name: "stayer"})
	n := leaving.Announcement()
	_, err := h.announcements.Leave(poplar.Leave{Stamp: n.Stamp})
	assert.NilError(t, err)
	for range 20 {
		assert.Assert(t, readStream(h.request(s, "POST", "/v1/completions", completionBody(2)).Body).done)
	}
	got := readStream(response.Body)
	assert.Assert(t, got.done)
	assert.Equal(t, got.text, generatedText("leaver.1", 40))
	assert.Equal(t, leaving.Started(), uint64(1))
	assert.Equal(t, remaining.Started(), uint64(20))
}

// TestStallTimerFiresEarly guards against a check for a stall that runs before its timer is
// known to it. It needs the race detector.
func TestStallTimerFiresEarly(t *testing.T) {
	h := newHarness(t, 1000)
	h.bounds.Stall = time.Millisecond
	_, s := h.startDaemon("a")
	h.startEngine(fake.Settings{Name: "e", Step: 5 * time.Millisecond})
	for range 20 {
		assert.Assert(t, readStream(h.request(s, "POST", "/v1/completions", completionBody(3)).Body).done)
	}
}
