package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/caller"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/roster"
	"poplarbend.example/poplar/pkg/wallet"
)

// The stream of the action slow.
const (
	slowEvents = 20
	slowGap    = 10 * time.Millisecond
)

// testTimeout limits the time that a test waits for an event.
const testTimeout = 10 * time.Second

// dialect is a minimal dialect for tests.
type dialect struct{}

func (dialect) Open(r *http.Request) (poplar.Envelope, error) {
	env := poplar.Envelope{ID: r.Header.Get("Id"), Secret: r.Header.Get("Key"), After: r.Header.Get("After")}
	if env.ID == "" {
		return env, fmt.Errorf("no id")
	}
	wait, _ := strconv.Atoi(r.Header.Get("Wait"))
	env.Wait = time.Duration(wait) * time.Millisecond
	prompt, _ := strconv.Atoi(r.Header.Get("Prompt"))
	env.Prompt, env.Output = poplar.Tokens(prompt), poplar.Tokens(prompt)
	for _, name := range strings.Fields(r.Header.Get("Parts")) {
		env.Parts = append(env.Parts, poplar.Part{Name: name, Tokens: 1})
	}
	return env, nil
}

func (dialect) Dispatch(h http.Header, d poplar.Dispatch, now time.Time) {
	h.Del("Key")
	h.Set("Workspace", string(d.Workspace))
	h.Set("Upstream", string(d.Upstream))
	h.Set("Wait", strconv.FormatInt(d.Deadline.Sub(now).Milliseconds(), 10))
	h.Set("After", d.After)
}

func (dialect) Head(resp *http.Response) poplar.Head {
	h := resp.Header
	pause, _ := strconv.Atoi(h.Get("Pause"))
	head := poplar.Head{Pause: time.Duration(pause) * time.Second, ID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Unrun") != "" || resp.StatusCode == 421, WrongUpstream: resp.StatusCode == 421}
	n, _ := fmt.Sscanf(h.Get("Load"), "%d,%d,%d", &head.Running, &head.Waiting, &head.Slots)
	head.HasLoad = n == 3
	return head
}

// harness is a router with scripted upstreams.
type harness struct {
	t           testing.TB
	proxy       *Proxy
	server      *httptest.Server
	mu          sync.Mutex
	arrived     []string // invariant: guarded by mu; upstream name and resume position of each request
	remoteAddrs []string // invariant: guarded by mu; remote address of each request
	cancelled   chan string
	noRouters   bool // true if the router has not received a list of routers
}

// script maps the name of an upstream to its actions, one for each request. The
// last action repeats.
type script map[string][]string

func newHarness(t testing.TB, s script) *harness {
	t.Helper()
	return newHarnessWithMemory(t, s, 0)
}

// newHarnessWithMemory is newHarness with a limit for answers, in bytes.
func newHarnessWithMemory(t testing.TB, s script, answers int64) *harness {
	t.Helper()
	logger, err := trace.New(io.Discard, "error", "r")
	assert.NilError(t, err)
	h := &harness{t: t, cancelled: make(chan string, 16), noRouters: len(s) == 0}
	h.proxy = New(Settings{
		Domain: "d", Holder: wallet.Holder{Name: "r", Incarnation: 1}, RetryBudget: RetryBudget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
		Dialect: dialect{}, Log: logger, Vars: trace.NewVars(), AnswerMemory: answers,
	}, peer.NewPool("r", "", nil))
	t.Cleanup(h.proxy.Stop)
	var entries []roster.Entry
	for name, actions := range s {
		fake := &fakeUpstream{harness: h, name: name, actions: actions}
		server := httptest.NewServer(fake)
		t.Cleanup(server.Close)
		entries = append(entries, roster.Entry{Announcement: roster.Announcement{
			Name: poplar.Upstream(name), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Domain: "d", Slots: 8,
			State: roster.StateReady,
		}})
	}
	h.proxy.setUpstreams(entries)
	h.proxy.applyPlan(testPlan())
	now := time.Now()
	h.proxy.lastContact.Store(&now)
	if !h.noRouters {
		h.proxy.addRouters([]string{"r"}, now.Add(-routerSettleTime))
	}
	h.server = httptest.NewServer(h.proxy)
	h.server.Config.ErrorLog = nil
	t.Cleanup(h.server.Close)
	return h
}

func testPlan() *plan.Plan {
	p := &plan.Plan{
		Revision: 1, Services: []plan.Service{{Name: "s", Engine: &plan.Engine{TokensPerEvent: 2}}},
		Workspaces: []plan.Workspace{{Name: "w", Keys: []string{"k"}}, {Name: "poor", Keys: []string{"p"}, HasBudget: true, Grant: 1000}},
	}
	for _, kind := range []plan.RequestKind{plan.KindSafe, plan.KindUnsafe, plan.KindStream, plan.KindResumable} {
		p.Routes = append(p.Routes, plan.Route{
			Name: string(kind), Host: "127.0.0.1", Prefix: "/" + string(kind) + "/", Kind: kind, Timeout: 5 * time.Second, FirstByteTarget: 50 * time.Millisecond,
			MaxAttempts: 2, Targets: []plan.Target{{Service: "s", Weight: 1}},
		})
	}
	return p
}

// received is the response that a caller receives.
type received struct {
	status int
	header http.Header
	body   string
	closes bool // true if the connection is closed after the response
	err    error
}

func (h *harness) call(ctx context.Context, method, kind, key string, pairs ...string) received {
	h.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, h.server.URL+"/"+kind+"/x", strings.NewReader("ask"))
	assert.NilError(h.t, err)
	req.Header.Set("Id", "id-"+kind)
	req.Header.Set("Key", key)
	for i := 0; i < len(pairs); i += 2 {
		req.Header.Set(pairs[i], pairs[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return received{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, header: resp.Header, body: string(body), closes: resp.Close, err: err}
}

func (h *harness) arrivals() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.arrived...)
}

// TestResponses reads testdata/answers.txt: for each kind of request and each
// behaviour of two upstreams, it lists the expected response and the number of
// requests that arrive.
func TestResponses(t *testing.T) { checkResponses(t, "testdata/answers.txt") }

// TestCutEventDoesNotEndStream guards against streams that look complete to the caller
// although they end inside an event, in any framing. It reads testdata/cut_events.txt.
func TestCutEventDoesNotEndStream(t *testing.T) { checkResponses(t, "testdata/cut_events.txt") }

// checkResponses plays the lines of a file: kind of request, behaviour of two upstreams,
// expected status and number of arrivals, and the expected body if there is one.
func checkResponses(t *testing.T, name string) {
	t.Helper()
	file, err := os.Open(name)
	assert.NilError(t, err)
	defer file.Close()
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := lines.Text()
		if line == "" || line[0] == '#' {
			continue
		}
		cells := strings.Split(line, "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		t.Run(fmt.Sprintf("%d %s", number, cells[0]), func(t *testing.T) {
			h := newHarness(t, script{"a": strings.Split(cells[1], ", "), "b": strings.Split(cells[1], ", ")})
			got := h.call(t.Context(), http.MethodPost, cells[0], "k")
			status := strconv.Itoa(got.status)
			if got.err != nil {
				status = "cut"
			}
			assert.Equal(t, status, cells[2])
			assert.Equal(t, strconv.Itoa(len(h.arrivals())), cells[3], "%v", h.arrivals())
			if cells[4] != "" {
				assert.Equal(t, strings.ReplaceAll(got.body, "\n", ";"), cells[4])
			}
			if got.status == http.StatusServiceUnavailable {
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
		})
	}
}

func TestResumeContinuesAfterLastEvent(t *testing.T) {
	h := newHarness(t, script{"a": {"stream 3", "stream 6"}, "b": {"stream 3", "stream 6"}})
	// The first upstream breaks the response off after three events. The second
	// one follows its own script and breaks off at the same event, so it sends
	// no new event.
	got := h.call(t.Context(), http.MethodPost, "resumable", "k")
	arrivals := h.arrivals()
	assert.Equal(t, len(arrivals), 2)
	assert.Assert(t, strings.HasSuffix(arrivals[1], " 3"), "%v", arrivals)
	assert.Assert(t, got.header.Get("Seal") != "", "%v", got)
	assert.Equal(t, strings.Count(got.body, "data"), 3, "whole events must be delivered before the stream breaks off")
}

func TestOnlyFreshRouterReportsUnknown(t *testing.T) {
	h := newHarness(t, script{"a": {"ok"}})
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "nowhere", "k").status, http.StatusNotFound)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "safe", "other").status, http.StatusUnauthorized)
	old := time.Now().Add(-time.Minute)
	h.proxy.lastContact.Store(&old)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "nowhere", "k").status, http.StatusServiceUnavailable)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "safe", "other").status, http.StatusServiceUnavailable)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "safe", "k").status, http.StatusOK)
}

func TestRevisionNeverDecreases(t *testing.T) {
	h := newHarness(t, script{"a": {"ok"}})
	newer := testPlan()
	newer.Revision, newer.Routes = 5, newer.Routes[:1]
	h.proxy.applyPlan(newer)
	h.proxy.applyPlan(testPlan())
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusNotFound)
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	h := newHarness(t, script{"a": {"ok"}, "b": {"ok"}})
	var entries []roster.Entry
	for _, u := range h.proxy.view.Load().services["s"] {
		state := roster.StateReady
		if u.name == "a" {
			state = roster.StateLeaving
		}
		entries = append(entries, roster.Entry{Announcement: roster.Announcement{Name: u.name, Service: "s", Address: u.address, Domain: "d", State: state}})
	}
	h.proxy.setUpstreams(entries)
	for range 8 {
		assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusOK)
	}
	for _, a := range h.arrivals() {
		assert.Equal(t, a, "b")
	}
}

// TestCallerDisconnectCancelsUpstreamRequest cancels a request at an upstream
// that does not answer.
func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	h := newHarness(t, script{"a": {"mute"}})
	ctx, cancel := context.WithCancel(t.Context())
	go h.cancelOnArrival(cancel)
	got := h.call(ctx, http.MethodPost, "stream", "k")
	assert.Assert(t, got.err != nil)
	select {
	case id := <-h.cancelled:
		assert.Equal(t, id, "id-stream")
	case <-time.After(testTimeout):
		t.Fatal("upstream request was not cancelled")
	}
}

// cancelOnArrival calls cancel once a request has arrived at an upstream.
func (h *harness) cancelOnArrival(cancel context.CancelFunc) {
	for len(h.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
}

// TestDeadlineReturnsGatewayTimeout sends a request to an upstream that does
// not answer. The router must answer at the deadline, with a status that does
// not claim that the request was not run.
func TestDeadlineReturnsGatewayTimeout(t *testing.T) {
	h := newHarness(t, script{"a": {"mute"}})
	got := h.call(t.Context(), http.MethodPost, "unsafe", "k", "Wait", "200")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}

// TestUnreachableUpstreamIsSkipped lists an upstream at an address without a
// listener. The request must go to the other upstream, even if its kind does
// not allow retries.
func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	h := newHarness(t, script{"a": {"ok"}})
	entries := []roster.Entry{{Announcement: roster.Announcement{Name: "dead", Service: "s", Address: "127.0.0.1:1", Domain: "d", State: roster.StateReady}}}
	for _, u := range h.proxy.view.Load().services["s"] {
		entries = append(entries, roster.Entry{Announcement: roster.Announcement{Name: u.name, Service: "s", Address: u.address, Domain: "far", State: roster.StateReady}})
	}
	h.proxy.setUpstreams(entries)
	got := h.call(t.Context(), http.MethodPost, "unsafe", "k")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "a w ask")
}

// TestRemovedUpstreamIsClosedToOpenRequests removes an upstream that never
// announced that it leaves, while a request in progress still uses an older
// view. In that view the upstream must accept no new requests, and the request
// must not choose it.
func TestRemovedUpstreamIsClosedToOpenRequests(t *testing.T) {
	h := newHarness(t, script{"a": {"ok"}, "b": {"ok"}})
	old := h.proxy.view.Load()
	var entries []roster.Entry
	for _, u := range old.services["s"] {
		if u.name == "b" {
			entries = append(entries, roster.Entry{Announcement: roster.Announcement{Name: u.name, Service: "s", Address: u.address, Domain: "d", State: roster.StateReady}})
		}
	}
	h.proxy.setUpstreams(entries)
	for _, u := range old.services["s"] {
		assert.Equal(t, u.acceptsWork(), u.name == "b")
	}
	x := &exchange{p: h.proxy, view: old, service: "s", tried: map[*upstream]bool{}}
	for range 8 {
		assert.Equal(t, x.pick().upstream.name, poplar.Upstream("b"))
	}
}

// TestKnownRoutersAreRetained lets a control daemon that has just started list
// a single router. This must not increase the share of the fleet's slack that a
// router may use. A router that has just started may use none.
func TestKnownRoutersAreRetained(t *testing.T) {
	h := newHarness(t, script{})
	now := time.Now()
	retries := func(at time.Time) int {
		n := 0
		for h.proxy.takeRetry("s", at) {
			n++
		}
		return n
	}
	assert.Equal(t, retries(now), 0)
	h.proxy.addRouters([]string{"r1", "r2", "r3", "r4"}, now)
	assert.Equal(t, retries(now), 0)
	h.proxy.addRouters([]string{"r1"}, now.Add(routerSettleTime))
	assert.Equal(t, retries(now.Add(routerSettleTime)), 4, "0.8 of a slack of 20, divided by four routers")
	assert.Equal(t, len(h.proxy.view.Load().routers), 4)
	h.proxy.addRouters([]string{"r1"}, now.Add(routerRetention+time.Second))
	assert.Equal(t, len(h.proxy.view.Load().routers), 1)
}

// serveLate serves callers at another listener, which accepts nothing until it is opened.
func (h *harness) serveLate() *lateListener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(h.t, err)
	late := &lateListener{Listener: l, opened: make(chan struct{})}
	s := &httptest.Server{Listener: late, Config: &http.Server{Handler: h.proxy, ConnContext: caller.ConnContext}}
	s.Start()
	h.t.Cleanup(s.Close)
	return late
}
