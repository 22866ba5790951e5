package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/internal/trial"
)

// endlessEngine sends the same bytes until the request is cancelled. ID stands for the id of
// the request.
type endlessEngine struct {
	header, start, repeat string
	requests              atomic.Int64
}

// ServeHTTP implements http.Handler.
func (e *endlessEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/completions" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.requests.Add(1)
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	id := r.Header.Get(poplar.HeaderRequest)
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n%s%s", e.header, strings.ReplaceAll(e.start, "ID", id))
	block := strings.Repeat(strings.ReplaceAll(e.repeat, "ID", id), 1+16<<10/len(e.repeat))
	for err == nil {
		_, err = out.WriteString(block)
	}
}

// TestEndlessResponsesShareMemory guards against an engine whose responses have no end: all
// of them together must stay within the limit of the daemon, none may look complete, and
// requests to another engine must be served beside.
func TestEndlessResponsesShareMemory(t *testing.T) {
	const limit, requests = 1 << 20, 24
	const finish = "data: {\"id\":\"ID\",\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"
	for _, c := range []struct {
		name   string
		engine *endlessEngine
		stream bool
	}{
		{"body", &endlessEngine{header: "\r\n", start: `{"choices":"`, repeat: "x"}, false},
		{"long body", &endlessEngine{header: "Content-Length: 9000000000\r\n\r\n", start: `{"choices":"`, repeat: "x"}, false},
		{"header line", &endlessEngine{header: "X: ", start: "", repeat: "x"}, true},
		{"header lines", &endlessEngine{header: "", start: "", repeat: "X: y\r\n"}, true},
		{"line of an event", &endlessEngine{header: "\r\n", start: "data: ", repeat: "x"}, true},
		{"lines of an event", &endlessEngine{header: "\r\n", start: "", repeat: "data: x\n"}, true},
		{"line after the end", &endlessEngine{header: "\r\n", start: finish + "data: ", repeat: "x"}, true},
		{"events after the end", &endlessEngine{header: "\r\n", start: finish, repeat: finish}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1_000_000)
			// A late first token is no matter of memory.
			h.policy = compilePolicy(t, `"models": {"large": {"tokens": 1000}}, "ranks": {"normal": {"first": "20s"}}`)
			h.bounds.MaxBufferedBytes = limit
			e, s := h.startDaemon("a")
			upstream := httptest.NewServer(c.engine)
			defer upstream.Close()
			n := testAnnouncement(upstream)
			n.Slots, n.Models = requests, []poplar.Model{"large"}
			h.announce(withNextSequence(n))
			h.startEngine(fake.Settings{Name: "sound"})
			watch := trial.WatchMemory(e.responses.Used)
			var done sync.WaitGroup
			for range requests {
				done.Go(func() { checkEndless(t, h, s, c.stream) })
				done.Go(func() {
					response, err := h.send(t.Context(), s, "POST", "/v1/completions", completionBody(3))
					if assert.Check(t, err) {
						got := readStream(response.Body)
						assert.Check(t, got.done, "status %d, %+v", response.StatusCode, got)
						response.Body.Close()
					}
				})
			}
			done.Wait()
			most := watch.Stop()
			t.Logf("at most %d bytes, %d responses evicted, %d requests at the engine", most, e.responses.Evicted(), c.engine.requests.Load())
			assert.Assert(t, c.engine.requests.Load() > 0)
			assert.Assert(t, most <= limit, "%d bytes", most)
			eventually(t, "no memory is held", func() bool { return e.responses.Used() == 0 })
			assert.Equal(t, h.ledger.open(), 0)
		})
	}
}

// TestSkippedEventsEndTheStream guards against an engine that sends without end what belongs
// to no request: the stream must end, long before the caller leaves, and not look complete.
func TestSkippedEventsEndTheStream(t *testing.T) {
	const token = "id: 1-1\ndata: {\"id\":\"ID\",\"choices\":[{\"text\":\"1\",\"finish_reason\":null}]}\n\n"
	for name, repeat := range map[string]string{
		"comments":                  ": waiting\n\n",
		"empty lines":               "\n",
		"other fields":              "event: x\n\n",
		"events of another request": "id: 1-1\ndata: {\"id\":\"other\"}\n\n",
		"events of another attempt": "id: 9-1\ndata: {\"id\":\"ID\"}\n\n",
		"repeated events":           token,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1000)
			_, s := h.startDaemon("a")
			upstream := httptest.NewServer(&endlessEngine{header: "\r\n", start: token, repeat: repeat})
			defer upstream.Close()
			h.announce(withNextSequence(testAnnouncement(upstream)))
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			response, err := h.send(ctx, s, "POST", "/v1/completions", completionBody(5))
			assert.NilError(t, err)
			defer response.Body.Close()
			got := readStream(response.Body)
			assert.NilError(t, got.err)
			assert.Equal(t, got.problem, "upstream")
			assert.Assert(t, !got.done)
			assert.Equal(t, h.ledger.open(), 0)
		})
	}
}

// checkEndless sends a request for the model of the endless engine.
func checkEndless(t *testing.T, h *harness, s *httptest.Server, stream bool) {
	body := strings.Replace(completionBody(3), "small", "large", 1)
	if !stream {
		body = strings.Replace(body, "true", "false", 1)
	}
	response, err := h.send(t.Context(), s, "POST", "/v1/completions", body)
	if !assert.Check(t, err) {
		return
	}
	defer response.Body.Close()
	if stream {
		assert.Check(t, !readStream(response.Body).done)
	} else {
		assert.Check(t, response.StatusCode >= 400, "status %d", response.StatusCode)
	}
}

// TestLongBodiesShareMemory guards against callers whose bodies are each within the limit and
// together are not. One for which there is no memory must be rejected at once as not run, with
// a time at which to come back, and short ones must be served beside.
func TestLongBodiesShareMemory(t *testing.T) {
	const limit, size, requests = 1 << 20, 400 << 10, 12
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked=%t", chunked), func(t *testing.T) {
			h := newHarness(t, 1_000_000)
			h.bounds.MaxRequestBytes = limit
			h.limits = defaultLimits
			h.limits.Body = limit / 2
			e, s := h.startDaemon("a")
			h.startService("s")
			watch := trial.WatchMemory(e.bodies.Used)
			var done sync.WaitGroup
			var served, rejected atomic.Int64
			for range requests {
				done.Go(func() {
					switch h.sendLong(t, s, size, chunked) {
					case http.StatusServiceUnavailable:
						rejected.Add(1)
					case 0: // the connection was closed while the body was still sent
					case http.StatusOK:
						served.Add(1)
					default:
						t.Error("a long request was neither served nor rejected")
					}
				})
				done.Go(func() {
					response, err := h.send(t.Context(), s, "GET", "/svc/desk/status/1", "")
					if assert.Check(t, err) {
						assert.Check(t, response.StatusCode == http.StatusOK)
						response.Body.Close()
					}
				})
			}
			done.Wait()
			most := watch.Stop()
			t.Logf("at most %d bytes, %d served, %d rejected", most, served.Load(), rejected.Load())
			assert.Assert(t, most <= limit, "%d bytes", most)
			eventually(t, "no memory is held", func() bool { return e.bodies.Used() == 0 })
			assert.Equal(t, h.sendLong(t, s, size, chunked), http.StatusOK)
		})
	}
}

// sendLong sends a long request and returns its status, or 0 without a response.
func (h *harness) sendLong(t *testing.T, s *httptest.Server, size int, chunked bool) int {
	var body io.Reader = strings.NewReader(strings.Repeat("x", size))
	if chunked {
		body = io.MultiReader(body) // its length is not known
	}
	req, err := http.NewRequestWithContext(t.Context(), "POST", s.URL+"/svc/desk/claims", body)
	if !assert.Check(t, err) {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Idempotency-Key", uuid.NewString())
	response, err := h.client.Do(req)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable {
		assert.Check(t, response.Header.Get("Retry-After") != "")
		checkProblem(t, response, "busy no")
	}
	return response.StatusCode
}
