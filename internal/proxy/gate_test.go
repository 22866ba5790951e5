package proxy

import (
	"bufio"
	"context"
	"fmt"
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
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/roster"
)

// fakeEngine is an upstream that runs a number of requests at once, queues the others,
// and reports both.
type fakeEngine struct {
	harness          *harness
	gate             *gate
	slots            chan struct{}
	hold             time.Duration
	mu               sync.Mutex
	running, waiting int             // invariant: guarded by mu
	ids              map[string]bool // invariant: guarded by mu; ids of the requests that arrived
}

func (e *fakeEngine) change(running, waiting int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
	return fmt.Sprintf("%d,%d,%d", e.running, e.waiting, cap(e.slots))
}

// arrived reports whether a request with the id arrived.
func (e *fakeEngine) arrived(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ids[id]
}

// ServeHTTP implements http.Handler.
func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.ids[r.Header.Get("Id")] = true
	e.mu.Unlock()
	e.change(0, 1)
	e.slots <- struct{}{}
	w.Header().Set("Load", e.change(1, -1))
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "engine")
	fmt.Fprint(w, "id: 1\ndata: 1\n\n")
	_ = http.NewResponseController(w).Flush()
	select {
	case <-time.After(e.hold):
	case <-r.Context().Done():
	}
	e.change(-1, 0)
	<-e.slots
	fmt.Fprint(w, "id: 2\ndata: 2\n\n")
}

// gateTarget is the latency target of all routes.
const gateTarget = time.Second

// gatePlan is testPlan with slots and ranks: urgent requests on the route stream, bulk
// requests on the route resumable.
func gatePlan(slots int) *plan.Plan {
	next := testPlan()
	next.Revision = 2
	next.Services[0].Engine.Slots = slots
	for i := range next.Routes {
		r := &next.Routes[i]
		r.FirstByteTarget = gateTarget
		if r.Name == string(plan.KindResumable) {
			r.Rank = 2
		}
	}
	return next
}

// newEngine returns a router with one engine of the given number of slots.
func newEngine(t *testing.T, slots int, hold time.Duration) *fakeEngine {
	e := &fakeEngine{harness: newHarness(t, script{"a": {"ok"}}), slots: make(chan struct{}, slots), hold: hold, ids: map[string]bool{}}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	e.harness.proxy.setUpstreams([]roster.Entry{{Announcement: roster.Announcement{
		Name: "engine", Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Domain: "d", Slots: slots, State: roster.StateReady,
	}}})
	e.harness.proxy.applyPlan(gatePlan(slots))
	e.gate, _ = e.harness.proxy.gate("s")
	return e
}

// gateCaller sends requests of one kind.
type gateCaller struct {
	engine  *fakeEngine
	kind    string
	replies chan received
}

func (c *gateCaller) run(ctx context.Context, id string) {
	c.replies <- c.engine.harness.call(ctx, http.MethodPost, c.kind, "k", "Id", id)
}

func (e *fakeEngine) start(ctx context.Context, kind string) *gateCaller {
	c := &gateCaller{engine: e, kind: kind, replies: make(chan received, 1)}
	go c.run(ctx, "id-"+kind)
	return c
}

// awaitGate waits until the gate has the given number of requests of the rank.
func (e *fakeEngine) awaitGate(r poplar.Rank, open, waiting int) {
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s := e.gate.admission.Status()
		if s.Open[r] == open && s.Waiting[r] == waiting {
			return
		}
		assert.Assert(e.harness.t, time.Now().Before(end), "open %v, waiting %v", s.Open, s.Waiting)
	}
}

// TestUrgentRequestsPassFlood guards against a flood of the least urgent kind that delays
// the most urgent one, against urgent requests that take the floor of the flood, and
// against refusals that claim that a request did not run although it arrived.
func TestUrgentRequestsPassFlood(t *testing.T) {
	e := newEngine(t, 8, 60*time.Millisecond)
	p := e.harness.proxy
	p.start(p.gateLoop)
	ctx, stop := context.WithCancel(t.Context())
	var flood sync.WaitGroup
	defer flood.Wait()
	defer stop()
	var mu sync.Mutex
	served, refused := 0, map[string]bool{}
	for n := range 40 {
		flood.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("bulk-%d-%d", n, i)
				got := e.harness.call(t.Context(), http.MethodPost, string(plan.KindResumable), "k", "Id", id, "Prompt", "100")
				mu.Lock()
				if got.status == http.StatusOK {
					served++
				} else {
					assert.Check(t, got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "", "%v", got)
					refused[id] = true
				}
				mu.Unlock()
			}
		})
	}
	for e.gate.admission.Status().Limit == 0 {
		time.Sleep(time.Millisecond)
	}
	const urgent = 20
	inTime := 0
	for range urgent {
		start := time.Now()
		got := e.harness.call(t.Context(), http.MethodPost, string(plan.KindStream), "k", "Prompt", "100")
		assert.Equal(t, got.status, http.StatusOK)
		if time.Since(start) <= gateTarget {
			inTime++
		}
	}
	assert.Assert(t, inTime >= urgent*95/100, "%d of %d urgent requests were served in time", inTime, urgent)
	stop()
	flood.Wait()
	assert.Assert(t, served >= 5, "%d requests of the flood were served", served)
	for id := range refused {
		assert.Assert(t, !e.arrived(id), "%s arrived and was refused as not run", id)
	}
}

// TestLeavingCallerFreesPlace guards against places that are held for callers that left
// while they waited or while their request ran.
func TestLeavingCallerFreesPlace(t *testing.T) {
	e := newEngine(t, 2, time.Hour)
	e.gate.admission.SetLimit(1)
	ctx, leave := context.WithCancel(t.Context())
	first := e.start(ctx, "stream")
	e.awaitGate(poplar.Urgent, 1, 0)
	waiterCtx, leaveQueue := context.WithCancel(t.Context())
	second := e.start(waiterCtx, "stream")
	e.awaitGate(poplar.Urgent, 1, 1)
	leaveQueue()
	assert.Assert(t, (<-second.replies).err != nil)
	e.awaitGate(poplar.Urgent, 1, 0)
	leave()
	<-first.replies
	e.awaitGate(poplar.Urgent, 0, 0)
}

// TestRefusalAtGate guards against a refusal that sends the request, keeps its tokens, or
// has no retry time.
func TestRefusalAtGate(t *testing.T) {
	e := newEngine(t, 2, time.Hour)
	h := e.harness
	h.drawLast(500)
	before := h.proxy.wallet.Snapshot("poor", time.Now()).Ready
	assert.Assert(t, before >= 20, "%d tokens are ready", before)
	e.gate.admission.SetLimit(1)
	e.start(t.Context(), "stream")
	e.awaitGate(poplar.Urgent, 1, 0)
	got := h.call(t.Context(), http.MethodPost, "stream", "p", "Prompt", "10", "Id", "late", "Wait", "100")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, !e.arrived("late"))
	assert.Equal(t, e.gate.admission.Status().Counts.Refused[poplar.Urgent], uint64(1))
	assert.Equal(t, h.proxy.wallet.Snapshot("poor", time.Now()).Ready, before)
}

// TestReportsThatStopLiftLimit guards against requests that wait for reports that no
// longer arrive, for a service that is no longer configured with slots, and behind
// reports that no upstream can have meant.
func TestReportsThatStopLiftLimit(t *testing.T) {
	now := time.Now()
	old := now.Add(-4 * time.Second)
	for _, c := range []struct {
		name           string
		running, slots int
		at             time.Time
		configured     int
		bound          bool
	}{
		{"full", 2, 2, now, 2, true},
		{"old", 2, 2, old, 2, false},
		{"implausible", 1000, 2, now, 2, false},
		{"unconfigured", 2, 2, now, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEngine(t, 2, time.Hour)
			p := e.harness.proxy
			g := e.gate
			u := p.view.Load().services["s"][0]
			u.headReceived(poplar.Head{HasLoad: true, Running: 2, Slots: 2}, false, time.Now())
			p.updateGates(t.Context())
			assert.Assert(t, g.limit.Bound())
			g.admission.SetLimit(1)
			e.start(t.Context(), "stream")
			e.awaitGate(poplar.Urgent, 1, 0)
			e.start(t.Context(), "stream")
			e.awaitGate(poplar.Urgent, 1, 1)
			next := gatePlan(c.configured)
			next.Revision = 3
			p.applyPlan(next)
			u.mu.Lock()
			u.sentSinceLoad = 0
			u.load = poplar.Head{HasLoad: true, Running: c.running, Slots: c.slots}
			u.loadAt = c.at
			u.mu.Unlock()
			p.updateGates(t.Context())
			assert.Equal(t, g.admission.Status().Limit > 0, c.bound)
			if !c.bound {
				e.awaitGate(poplar.Urgent, 2, 0)
			}
		})
	}
}

// TestRankMap guards against ranks that the gate serves in another order than upstreams
// do. It reads testdata/ranks.txt.
func TestRankMap(t *testing.T) {
	data, err := os.Open("testdata/ranks.txt")
	assert.NilError(t, err)
	defer data.Close()
	for lines := bufio.NewScanner(data); lines.Scan(); {
		fields := strings.Split(lines.Text(), "|")
		if strings.HasPrefix(fields[0], "#") {
			continue
		}
		p := &plan.Plan{}
		for _, n := range numbers(t, fields[0]) {
			p.Routes = append(p.Routes, plan.Route{Rank: n, Targets: []plan.Target{{Service: "s", Weight: 1}}})
		}
		for _, n := range numbers(t, fields[1]) {
			p.Workspaces = append(p.Workspaces, plan.Workspace{Rank: &n})
		}
		m := newRankMap(p, "s")
		var got []string
		for _, w := range p.Workspaces {
			for i := range p.Routes {
				got = append(got, m.of(requestRank(&p.Routes[i], &w)).String())
			}
		}
		assert.Equal(t, strings.Join(got, " "), strings.TrimSpace(fields[2]), "%s", lines.Text())
	}
}

func numbers(t *testing.T, text string) []int {
	var list []int
	for _, field := range strings.Fields(text) {
		n, err := strconv.Atoi(field)
		assert.NilError(t, err)
		list = append(list, n)
	}
	return list
}

// BenchmarkEnter measures an admission while nothing waits, with 1,100 upstreams.
func BenchmarkEnter(b *testing.B) {
	h := newHarness(b, script{"a": {"ok"}})
	h.proxy.applyPlan(gatePlan(12))
	var entries []roster.Entry
	for i := range 1100 {
		entries = append(entries, roster.Entry{Announcement: roster.Announcement{Name: poplar.Upstream(strconv.Itoa(i)), Service: "s", Slots: 12, State: roster.StateReady}})
	}
	h.proxy.setUpstreams(entries)
	for _, u := range h.proxy.view.Load().services["s"] {
		u.headReceived(poplar.Head{HasLoad: true, Running: 12, Slots: 12}, false, time.Now())
	}
	x := &exchange{p: h.proxy, r: httptest.NewRequest(http.MethodPost, "http://127.0.0.1/stream/x", nil), view: h.proxy.view.Load(), ctx: b.Context(), service: "s", start: time.Now()}
	x.route, x.workspace = x.view.table.Route("127.0.0.1", "/stream/"), x.view.table.WorkspaceByKey("k")
	x.deadline = x.start.Add(time.Hour)
	other := *x
	assert.Assert(b, other.enter() == nil) // another request runs meanwhile
	g, _ := h.proxy.gate("s")
	for _, limit := range []float64{admit.Unlimited, 100} {
		g.admission.SetLimit(limit)
		b.Run(fmt.Sprintf("limit=%g", limit), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := x.enter(); err != nil {
					b.Fatal(err)
				}
				x.leave()
			}
		})
	}
	b.Run("update", func(b *testing.B) {
		for b.Loop() {
			h.proxy.updateGates(b.Context())
		}
	})
}
