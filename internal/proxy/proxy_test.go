package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
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
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/purse"
	"poplarbend.example/poplar/pkg/roster"
)

// patience bounds what a test waits for.
const patience = 10 * time.Second

// dialect is a small protocol for tests.
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
	return env, nil
}

func (dialect) Dispatch(h http.Header, d poplar.Dispatch, now time.Time) {
	h.Del("Key")
	h.Set("Workspace", string(d.Workspace))
	h.Set("Upstream", string(d.Upstream))
	h.Set("Wait", strconv.FormatInt(d.Until.Sub(now).Milliseconds(), 10))
	h.Set("After", d.After)
}

func (dialect) Head(resp *http.Response) poplar.Head {
	h := resp.Header
	return poplar.Head{ID: h.Get("Id"), Sealed: h.Get("Seal") != "", Unrun: h.Get("Unrun") != "" || resp.StatusCode == 421, Other: resp.StatusCode == 421}
}

// rig is a router with upstreams whose answers a script says.
type rig struct {
	t       *testing.T
	proxy   *Proxy
	server  *httptest.Server
	mu      sync.Mutex
	arrived []string // invariant: guarded by mu; "upstream id after" of each request
	from    []string // invariant: guarded by mu; the connection of each request
	left    chan string
	fresh   bool // true for a router that no control daemon has told of routers
}

// script maps an upstream to the acts of its answers in turn; the last one
// stays.
type script map[string][]string

func newRig(t *testing.T, s script) *rig {
	t.Helper()
	logger, err := trace.New(io.Discard, "error", "r")
	assert.NilError(t, err)
	r := &rig{t: t, left: make(chan string, 16), fresh: len(s) == 0}
	r.proxy = New(Settings{
		Domain: "d", Holder: purse.Holder{Name: "r", Life: 1}, Repeats: Repeats{Ratio: 0.2, Slack: 20, Span: 10 * time.Second},
		Dialect: dialect{}, Log: logger, Vars: trace.NewVars(),
	}, peer.NewPool("r", "", nil))
	t.Cleanup(r.proxy.Stop)
	var entries []roster.Entry
	for name, acts := range s {
		up := &upstreamFake{rig: r, name: name, acts: acts}
		server := httptest.NewServer(up)
		t.Cleanup(server.Close)
		entries = append(entries, roster.Entry{Notice: roster.Notice{
			Name: poplar.Upstream(name), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Domain: "d", Slots: 8,
			State: roster.StateReady,
		}})
	}
	r.proxy.list(entries)
	r.proxy.enact(testPlan())
	now := time.Now()
	r.proxy.heard.Store(&now)
	if !r.fresh {
		r.proxy.meet([]string{"r"}, now.Add(-settleRouters))
	}
	r.server = httptest.NewServer(r.proxy)
	r.server.Config.ErrorLog = nil
	t.Cleanup(r.server.Close)
	return r
}

func testPlan() *plan.Plan {
	p := &plan.Plan{
		Revision: 1, Services: []plan.Service{{Name: "s", Engine: &plan.Engine{Stride: 2}}},
		Workspaces: []plan.Workspace{{Name: "w", Keys: []string{"k"}}, {Name: "poor", Keys: []string{"p"}, Bound: true, Grant: 1000}},
	}
	for _, kind := range []plan.Kind{plan.KindSafe, plan.KindUnsafe, plan.KindStream, plan.KindResumable} {
		p.Routes = append(p.Routes, plan.Route{
			Name: string(kind), Host: "127.0.0.1", Prefix: "/" + string(kind) + "/", Kind: kind, Timeout: 5 * time.Second, Aim: 50 * time.Millisecond,
			Tries: 2, Targets: []plan.Target{{Service: "s", Weight: 1}},
		})
	}
	return p
}

// upstreamFake is an upstream that acts by its script.
type upstreamFake struct {
	rig  *rig
	name string
	mu   sync.Mutex
	acts []string // invariant: guarded by mu
}

func (u *upstreamFake) next() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	act := u.acts[0]
	if len(u.acts) > 1 {
		u.acts = u.acts[1:]
	}
	return act
}

// ServeHTTP implements http.Handler. The acts are: ok, fail (500), full (refused
// as not run), other (421), reset, mute, unsealed, and stream N, which sends
// the events up to N of 6 and breaks off, or ends whole at 6.
func (u *upstreamFake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.rig.mu.Lock()
	u.rig.from = append(u.rig.from, r.RemoteAddr)
	u.rig.arrived = append(u.rig.arrived, strings.TrimSpace(u.name+" "+r.Header.Get("After")))
	u.rig.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", u.name)
	act, arg, _ := strings.Cut(u.next(), " ")
	switch act {
	case "ok":
		fmt.Fprintf(w, "%s %s %s", u.name, r.Header.Get("Workspace"), body)
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, u.name)
	case "full":
		w.Header().Del("Seal")
		w.Header().Set("Unrun", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "other":
		w.Header().Del("Seal")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case "reset":
		panic(http.ErrAbortHandler)
	case "mute":
		<-r.Context().Done()
		u.rig.left <- r.Header.Get("Id")
	case "unsealed":
		w.Header().Del("Seal")
		fmt.Fprint(w, "nothing")
	case "stream":
		u.stream(w, r, arg)
	}
}

func (u *upstreamFake) stream(w http.ResponseWriter, r *http.Request, arg string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("After"))
	end, _ := strconv.Atoi(arg)
	for i := last + 1; i <= end; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
	if end < 6 {
		fmt.Fprint(w, "id: 99\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// reply is what a caller gets.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r *rig) call(ctx context.Context, method, kind, key string, pairs ...string) reply {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, r.server.URL+"/"+kind+"/x", strings.NewReader("ask"))
	assert.NilError(r.t, err)
	req.Header.Set("Id", "id-"+kind)
	req.Header.Set("Key", key)
	for i := 0; i < len(pairs); i += 2 {
		req.Header.Set(pairs[i], pairs[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func (r *rig) arrivals() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.arrived...)
}

// TestAnswers reads testdata/answers.txt: for each kind of request and each
// behaviour of two upstreams, the answer and the number of arrivals.
func TestAnswers(t *testing.T) {
	file, err := os.Open("testdata/answers.txt")
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
			r := newRig(t, script{"a": strings.Split(cells[1], ", "), "b": strings.Split(cells[1], ", ")})
			got := r.call(t.Context(), http.MethodPost, cells[0], "k")
			status := strconv.Itoa(got.status)
			if got.err != nil {
				status = "cut"
			}
			assert.Equal(t, status, cells[2])
			assert.Equal(t, strconv.Itoa(len(r.arrivals())), cells[3], "%v", r.arrivals())
			if cells[4] != "" {
				assert.Equal(t, strings.ReplaceAll(got.body, "\n", ";"), cells[4])
			}
			if got.status == http.StatusServiceUnavailable {
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
		})
	}
}

func TestResumeContinuesAfterTheLastEvent(t *testing.T) {
	r := newRig(t, script{"a": {"stream 3", "stream 6"}, "b": {"stream 3", "stream 6"}})
	// Whichever upstream is first breaks off after three events; the second
	// begins its own script, so it breaks off as well unless it resumes.
	got := r.call(t.Context(), http.MethodPost, "resumable", "k")
	arrivals := r.arrivals()
	assert.Equal(t, len(arrivals), 2)
	assert.Assert(t, strings.HasSuffix(arrivals[1], " 3"), "%v", arrivals)
	assert.Assert(t, got.header.Get("Seal") != "", "%v", got)
	assert.Equal(t, strings.Count(got.body, "data"), 3, "whole events are delivered before the stream is cut")
}

func TestUnknownIsSaidOnlyByAFreshRouter(t *testing.T) {
	r := newRig(t, script{"a": {"ok"}})
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "nowhere", "k").status, http.StatusNotFound)
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "safe", "other").status, http.StatusUnauthorized)
	old := time.Now().Add(-time.Minute)
	r.proxy.heard.Store(&old)
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "nowhere", "k").status, http.StatusServiceUnavailable)
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "safe", "other").status, http.StatusServiceUnavailable)
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "safe", "k").status, http.StatusOK)
}

func TestRevisionNeverGoesBack(t *testing.T) {
	r := newRig(t, script{"a": {"ok"}})
	newer := testPlan()
	newer.Revision, newer.Routes = 5, newer.Routes[:1]
	r.proxy.enact(newer)
	r.proxy.enact(testPlan())
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusNotFound)
}

func TestLeaverGetsNoNewWork(t *testing.T) {
	r := newRig(t, script{"a": {"ok"}, "b": {"ok"}})
	var entries []roster.Entry
	for _, u := range r.proxy.view.Load().services["s"] {
		state := roster.StateReady
		if u.name == "a" {
			state = roster.StateLeaving
		}
		entries = append(entries, roster.Entry{Notice: roster.Notice{Name: u.name, Service: "s", Address: u.address, Domain: "d", State: state}})
	}
	r.proxy.list(entries)
	for range 8 {
		assert.Equal(t, r.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusOK)
	}
	for _, a := range r.arrivals() {
		assert.Equal(t, a, "b")
	}
}

func TestEmptyWalletRefusesWithoutASend(t *testing.T) {
	r := newRig(t, script{"a": {"stream 6"}})
	got := r.call(t.Context(), http.MethodPost, "stream", "p", "Prompt", "100")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(r.arrivals()), 0)
}

// TestPromptsWithoutASizeAreRefused sends a prompt of a workspace with a budget that
// does not say how many tokens it may use.
func TestPromptsWithoutASizeAreRefused(t *testing.T) {
	r := newRig(t, script{"a": {"stream 6"}})
	next := testPlan()
	next.Revision = 2
	for i := range next.Routes {
		next.Routes[i].Sticky = true
	}
	r.proxy.enact(next)
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "stream", "p").status, http.StatusBadRequest)
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "stream", "p", "Prompt", "0").status, http.StatusBadRequest)
	assert.Equal(t, len(r.arrivals()), 0)
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "stream", "k").status, http.StatusOK, "a workspace without a budget needs none")
}

// TestOnlyDeliveredTokensAreCharged gives the wallet tokens and breaks a stream
// off after two events of two tokens.
func TestOnlyDeliveredTokensAreCharged(t *testing.T) {
	r := newRig(t, script{"a": {"stream 2"}})
	book := purse.NewBook()
	grants := map[poplar.Workspace]purse.Grant{"poor": {Tokens: 1000, Bound: true}}
	book.Declare(grants)
	fill := func() purse.Stand {
		r.proxy.wallet.Reserve("poor", 200, time.Now()) // tells the need
		d, _ := r.proxy.wallet.Draw(grants, time.Now())
		answer := book.Draw(d, time.Now().UnixMilli())
		r.proxy.wallet.Apply(d, answer, time.Now())
		return answer.Stands["poor"]
	}
	fill()
	got := r.call(t.Context(), http.MethodPost, "stream", "p", "Prompt", "100")
	assert.Assert(t, got.err != nil)
	d, _ := r.proxy.wallet.Draw(grants, time.Now())
	assert.Equal(t, d.Wants["poor"].Spent, poplar.Tokens(100+2*2))
}

// TestCallerWhoLeavesEndsTheWork cancels a request at an upstream that is
// silent.
func TestCallerWhoLeavesEndsTheWork(t *testing.T) {
	r := newRig(t, script{"a": {"mute"}})
	ctx, cancel := context.WithCancel(t.Context())
	go r.runCancel(cancel)
	got := r.call(ctx, http.MethodPost, "stream", "k")
	assert.Assert(t, got.err != nil)
	select {
	case id := <-r.left:
		assert.Equal(t, id, "id-stream")
	case <-time.After(patience):
		t.Fatal("the upstream works on")
	}
}

// runCancel cancels once a request has arrived.
func (r *rig) runCancel(cancel context.CancelFunc) {
	for len(r.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
}

// TestDeadlineIsAnswered covers a request whose upstream is silent: the answer
// comes at the deadline and promises nothing.
func TestDeadlineIsAnswered(t *testing.T) {
	r := newRig(t, script{"a": {"mute"}})
	got := r.call(t.Context(), http.MethodPost, "unsafe", "k", "Wait", "200")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}

// TestDeadAddressIsNoArrival lists an upstream whose address nobody listens at:
// the request goes on to the other, whatever its kind.
func TestDeadAddressIsNoArrival(t *testing.T) {
	r := newRig(t, script{"a": {"ok"}})
	entries := []roster.Entry{{Notice: roster.Notice{Name: "dead", Service: "s", Address: "127.0.0.1:1", Domain: "d", State: roster.StateReady}}}
	for _, u := range r.proxy.view.Load().services["s"] {
		entries = append(entries, roster.Entry{Notice: roster.Notice{Name: u.name, Service: "s", Address: u.address, Domain: "far", State: roster.StateReady}})
	}
	r.proxy.list(entries)
	got := r.call(t.Context(), http.MethodPost, "unsafe", "k")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "a w ask")
}

// TestGoneUpstreamIsClosedToOpenRequests drops an upstream that was never heard
// to leave, while a request that knows it is open: neither the request's old
// view nor a new choice may lead there.
func TestGoneUpstreamIsClosedToOpenRequests(t *testing.T) {
	r := newRig(t, script{"a": {"ok"}, "b": {"ok"}})
	old := r.proxy.view.Load()
	var entries []roster.Entry
	for _, u := range old.services["s"] {
		if u.name == "b" {
			entries = append(entries, roster.Entry{Notice: roster.Notice{Name: u.name, Service: "s", Address: u.address, Domain: "d", State: roster.StateReady}})
		}
	}
	r.proxy.list(entries)
	for _, u := range old.services["s"] {
		assert.Equal(t, u.open(), u.name == "b")
	}
	x := &exchange{p: r.proxy, view: old, target: "s", tried: map[*upstream]bool{}}
	for range 8 {
		assert.Equal(t, x.pick().name, poplar.Upstream("b"))
	}
}

// TestRoutersAreNotForgotten lets a control daemon that has just started name a
// single router: the part of the fleet's slack that a router may use must not
// grow by that. A router that has just started uses none.
func TestRoutersAreNotForgotten(t *testing.T) {
	r := newRig(t, script{})
	now := time.Now()
	repeats := func(at time.Time) int {
		n := 0
		for r.proxy.repeat("s", at) {
			n++
		}
		return n
	}
	assert.Equal(t, repeats(now), 0)
	r.proxy.meet([]string{"r1", "r2", "r3", "r4"}, now)
	assert.Equal(t, repeats(now), 0)
	r.proxy.meet([]string{"r1"}, now.Add(settleRouters))
	assert.Equal(t, repeats(now.Add(settleRouters)), 4, "0.8 of a slack of 20 among four")
	assert.Equal(t, len(r.proxy.view.Load().routers), 4)
	r.proxy.meet([]string{"r1"}, now.Add(keepRouter+time.Second))
	assert.Equal(t, len(r.proxy.view.Load().routers), 1)
}
