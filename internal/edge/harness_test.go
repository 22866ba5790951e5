package edge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/internal/intake"
	meters "poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/route"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const callerKey = "pb-caller-key-0123456789"

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// logBuffer is a log that may be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// harness runs one or more daemons of one failure domain against fake
// upstreams.
type harness struct {
	t                   *testing.T
	ledger              *memoryLedger
	roster              *intake.Roster
	announcements       *intake.Desk
	policy              *conf.Policy
	log                 *logBuffer
	spans               *tracetest.InMemoryExporter
	tracer              *trace.TracerProvider
	mu                  sync.Mutex
	announced           map[poplar.Upstream]func() poplar.Announcement // guarded by mu
	bounds              Bounds
	limits              conf.Limits
	publishCrashRecords func([]poison.Record) // for daemons started later; may be nil
	vars                *meters.Vars          // for daemons started later; may be nil
	client              *http.Client
}

// compilePolicy returns the test policy with the given overrides, which are
// the fields of a second configuration file.
func compilePolicy(t testing.TB, overrides string) *conf.Policy {
	t.Helper()
	base, err := os.ReadFile("testdata/folder.jsonc")
	assert.NilError(t, err)
	p, err := conf.Merge(map[string][]byte{"00.jsonc": base, "10.jsonc": []byte("{" + overrides + "}")})
	assert.NilError(t, err)
	return p
}

func newHarness(t *testing.T, tokens poplar.Tokens) *harness {
	t.Helper()
	h := &harness{
		t: t, ledger: newMemoryLedger(tokens), roster: intake.NewRoster("d", route.DefaultSettings()),
		announced: map[poplar.Upstream]func() poplar.Announcement{}, policy: compilePolicy(t, ""), log: &logBuffer{}, spans: tracetest.NewInMemoryExporter(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}},
		bounds: Bounds{Stall: 300 * time.Millisecond, Wait: 5 * time.Second, Grace: 200 * time.Millisecond, Settle: time.Second, Notice: time.Millisecond},
	}
	h.tracer = trace.NewTracerProvider(trace.WithSyncer(h.spans))
	open, err := conf.Secret{}.Gate()
	assert.NilError(t, err)
	h.announcements = intake.NewDesk(intake.Config{Clock: systemClock{}, Watcher: h.roster, Gate: open, Log: log.New(io.Discard)})
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Add(2)
	go func() {
		defer loops.Done()
		h.roster.RunFlush(ctx)
	}()
	go func() {
		defer loops.Done()
		h.renewAnnouncements(ctx, t)
	}()
	t.Cleanup(func() {
		stop()
		loops.Wait()
		h.client.CloseIdleConnections()
	})
	return h
}

// startDaemon starts one daemon.
func (h *harness) startDaemon(name poplar.Daemon) (*Edge, *httptest.Server) {
	h.t.Helper()
	logger := log.NewWithOptions(h.log, log.Options{Formatter: log.JSONFormatter})
	e := New(Config{
		Daemon: name, Domain: "d", Policy: func() *conf.Policy { return h.policy }, Ledger: h.ledger,
		Roster: h.roster, Clock: systemClock{}, Tracer: h.tracer.Tracer("edge"), Log: logger, Bounds: h.bounds, Limits: h.limits, PublishCrashRecords: h.publishCrashRecords, Vars: h.vars,
	})
	ctx, stop := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Add(1)
	go func() {
		defer loop.Done()
		e.Run(ctx)
	}()
	s := httptest.NewUnstartedServer(e)
	s.Config = e.Server()
	s.Start()
	h.t.Cleanup(func() {
		e.Abort()
		s.Close()
		e.Close()
		stop()
		loop.Wait()
	})
	return e, s
}

// announce announces an upstream and renews the announcement until the test
// ends. It replaces an earlier announcement of the same upstream.
func (h *harness) announce(next func() poplar.Announcement) {
	h.t.Helper()
	n := next()
	_, err := h.announcements.Announce(n)
	assert.NilError(h.t, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.announced[n.Upstream] = next
}

// renewAnnouncements renews all announcements until ctx is done. Cases of a test replace
// h.t meanwhile.
func (h *harness) renewAnnouncements(ctx context.Context, t *testing.T) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		h.mu.Lock()
		for _, next := range h.announced {
			_, err := h.announcements.Announce(next())
			assert.Check(t, err)
		}
		h.mu.Unlock()
	}
}

// startEngine starts a fake engine and announces it.
func (h *harness) startEngine(settings fake.Settings) *fake.Engine {
	h.t.Helper()
	settings.Domain = "d"
	e, err := fake.StartEngine(settings)
	assert.NilError(h.t, err)
	h.t.Cleanup(e.Kill)
	h.announce(e.Announcement)
	return e
}

func (h *harness) startService(name poplar.Upstream) *fake.Service {
	h.t.Helper()
	s, err := fake.StartService(fake.Settings{Name: name, Domain: "d"})
	assert.NilError(h.t, err)
	h.t.Cleanup(s.Kill)
	h.announce(s.Announcement)
	return s
}

// request sends a request with the caller's key and the given additional
// headers.
func (h *harness) request(s *httptest.Server, method, path, body string, headers ...string) *http.Response {
	h.t.Helper()
	response, err := h.send(context.Background(), s, method, path, body, headers...)
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { response.Body.Close() })
	return response
}

func (h *harness) send(ctx context.Context, s *httptest.Server, method, path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return h.client.Do(req)
}

// streamResult is what a caller received of a stream.
type streamResult struct {
	text     string
	done     bool
	problem  string // code of the error event
	run      string
	usage    fake.Usage
	comments int
	err      error
}

// readStream reads a stream to its end.
func readStream(in io.Reader) streamResult {
	var out streamResult
	lines := bufio.NewScanner(in)
	for failed := false; lines.Scan(); {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case strings.HasPrefix(line, ":"):
			out.comments++
		case line == "event: error":
			failed = true
		case isData && failed:
			var p struct{ Code, Run string }
			out.err = json.Unmarshal([]byte(data), &p)
			out.problem, out.run = p.Code, p.Run
		case data == "[DONE]":
			out.done = true
		case isData:
			var c struct {
				Choices []struct{ Text string }
				Usage   *fake.Usage
			}
			out.err = json.Unmarshal([]byte(data), &c)
			for _, choice := range c.Choices {
				out.text += choice.Text
			}
			if c.Usage != nil {
				out.usage = *c.Usage
			}
		}
	}
	if lines.Err() != nil {
		out.err = lines.Err()
	}
	return out
}

// generatedText returns the text of a generation of n tokens.
func generatedText(nonce string, n int) string {
	var all strings.Builder
	for i := range n {
		fmt.Fprintf(&all, "%s:%d ", nonce, i)
	}
	return all.String()
}

func completionBody(tokens int) string {
	return fmt.Sprintf(`{"model":"small","prompt":"hello","max_tokens":%d,"stream":true}`, tokens)
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within 5 s: %s", condition)
}

func (h *harness) postCompletion(s *httptest.Server, body string) *http.Response {
	h.t.Helper()
	return h.request(s, "POST", "/v1/completions", body)
}

// checkProblem compares code and run state of a problem, which is either a
// response body or the error event of a stream.
func checkProblem(t *testing.T, response *http.Response, want string) {
	t.Helper()
	if response.StatusCode == http.StatusOK {
		got := readStream(response.Body)
		assert.Equal(t, got.problem+" "+got.run, want)
		return
	}
	var p struct{ Code, Run string }
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&p))
	assert.Equal(t, p.Code+" "+p.Run, want)
}

// checkListening reports whether a fake upstream accepts connections.
func checkListening(address string) (bool, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, err
	}
	return true, conn.Close()
}
