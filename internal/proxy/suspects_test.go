package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/roster"
)

// restart gives the router a roster in which one upstream was restarted.
func (h *harness) restart(name poplar.Upstream) { h.proxy.setUpstreams(h.entriesAfterRestart(name)) }

// entriesAfterRestart returns the roster in which the named upstream, if there is one, has
// just started again.
func (h *harness) entriesAfterRestart(name poplar.Upstream) []roster.Entry {
	var entries []roster.Entry
	for service, group := range h.proxy.view.Load().services {
		for _, u := range group {
			announcement := roster.Announcement{
				Name: u.name, Service: service, Address: u.address, Domain: u.domain, Slots: u.slots,
				State: roster.StateReady, StartedAt: u.startTime,
			}
			if u.name == name {
				announcement.StartedAt++
			}
			entries = append(entries, roster.Entry{Announcement: announcement})
		}
	}
	return entries
}

// TestCrashingRequestIsRefused sends a request that crashes each upstream that
// runs it. From the third attempt on the router refuses it, also under a new
// request id. A different request still runs.
func TestCrashingRequestIsRefused(t *testing.T) {
	h := newHarness(t, script{"a": {"reset", "reset", "ok"}})
	for n := range 2 {
		got := h.call(t.Context(), http.MethodPost, "unsafe", "k")
		assert.Equal(t, got.status, http.StatusBadGateway, "attempt %d", n)
		h.restart("a")
	}
	got := h.call(t.Context(), http.MethodPost, "unsafe", "k", "Id", "another")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "must be refused without being run")
	assert.Equal(t, len(h.arrivals()), 2)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "safe", "k").status, http.StatusOK)
	assert.Equal(t, len(h.proxy.suspects.takeUnreported()), 2, "both crashes must be reported to control daemons")
}

// TestCrashIsFoundWithoutAnotherRequest has an upstream that ends with its first
// request. Nobody sends it another one, and no roster tells of its end.
func TestCrashIsFoundWithoutAnotherRequest(t *testing.T) {
	h := newHarness(t, script{})
	ended := h.upstreamThatEnds("")
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusBadGateway)
	assert.NilError(t, <-ended)
	assert.Equal(t, h.awaitCrash().Upstream, poplar.Upstream("a"))
}

// TestCrashInMidStreamIsFoundWithoutAnotherRequest has an upstream that ends after some events
// of its answer. It guards against a crash that nobody looks for because the answer had begun.
func TestCrashInMidStreamIsFoundWithoutAnotherRequest(t *testing.T) {
	h := newHarness(t, script{})
	ended := h.upstreamThatEnds("HTTP/1.1 200 OK\r\nId: 1\r\nSeal: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"30\r\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n\r\n")
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "stream", "k", "Id", "1").status, http.StatusOK)
	assert.NilError(t, <-ended)
	crash := h.awaitCrash()
	assert.Equal(t, crash.Upstream, poplar.Upstream("a"))
	assert.Assert(t, crash.Begun)
}

// mortal is an upstream that ends after three events of its first answer.
type mortal struct {
	listener net.Listener
	ended    atomic.Bool
}

func (m *mortal) run() {
	conn, err := m.listener.Accept()
	m.listener.Close()
	if err != nil {
		return
	}
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	m.ended.Store(true)
	after, _ := strconv.Atoi(req.Header.Get("After"))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: a\r\nContent-Type: text/event-stream\r\n\r\n", req.Header.Get("Id"))
	for i := 1; i <= 3; i++ {
		fmt.Fprintf(conn, "id: %d\ndata: %d\n\n", after+i, after+i)
	}
	fmt.Fprint(conn, "id: ")
}

// TestRequestThatCrashedThreeUpstreamsIsNotSentOn sends a resumable request that may be sent to six
// upstreams and crashes each of them in the middle of its answer. It guards against an attempt
// that goes on before the crash of the last upstream is known.
func TestRequestThatCrashedThreeUpstreamsIsNotSentOn(t *testing.T) {
	h := newHarness(t, script{"former": {"ok"}})
	p := testPlan()
	p.Revision = 2
	for i := range p.Routes {
		p.Routes[i].MaxAttempts = 6
	}
	h.proxy.applyPlan(p)
	var upstreams []*mortal
	var entries []roster.Entry
	for i := range 6 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		m := &mortal{listener: listener}
		defer listener.Close()
		go m.run()
		upstreams = append(upstreams, m)
		entries = append(entries, roster.Entry{Announcement: roster.Announcement{
			Name: poplar.Upstream(strconv.Itoa(i)), Service: "s", Address: listener.Addr().String(), Domain: "d", Slots: 8, State: roster.StateReady,
		}})
	}
	h.proxy.setUpstreams(entries)
	for range 3 {
		h.call(t.Context(), http.MethodPost, "resumable", "k", "Id", "1")
		time.Sleep(2 * suspectPause)
	}
	got := h.call(t.Context(), http.MethodPost, "resumable", "k", "Id", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	ended := 0
	for _, m := range upstreams {
		if m.ended.Load() {
			ended++
		}
	}
	assert.Assert(t, ended < len(upstreams), "all upstreams crashed")
}

// upstreamThatEnds makes an upstream the only one that reads a request, writes the given bytes
// and ends. Its error comes on the channel.
func (h *harness) upstreamThatEnds(answer string) <-chan error {
	h.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(h.t, err)
	h.proxy.setUpstreams([]roster.Entry{{Announcement: roster.Announcement{
		Name: "a", Service: "s", Address: listener.Addr().String(), Domain: "d", Slots: 8, State: roster.StateReady,
	}}})
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		listener.Close()
		if err == nil {
			_, err = http.ReadRequest(bufio.NewReader(conn))
			_, _ = conn.Write([]byte(answer))
			conn.Close()
		}
		ended <- err
	}()
	return ended
}

// awaitCrash returns the first crash that the router reports.
func (h *harness) awaitCrash() poison.Crash {
	h.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		if records := h.proxy.suspects.takeUnreported(); len(records) > 0 {
			return records[0].Crashes[0]
		}
		assert.Assert(h.t, time.Now().Before(deadline), "the crash was not found")
	}
}

// TestRequestThatCrashesInMidStreamIsRefused sends a request that crashes each upstream after
// some events of its answer. It guards against one that crashes all upstreams one by one. The
// third crash is not followed by another attempt, and a sound stream is still served.
func TestRequestThatCrashesInMidStreamIsRefused(t *testing.T) {
	h := newHarness(t, script{"a": {"stream 3", "stream 3", "stream 3", "stream 6"}})
	for range 3 {
		got := h.call(t.Context(), http.MethodPost, "stream", "k", "Id", "poisonous", "Parts", "one two")
		assert.Equal(t, got.status, http.StatusOK)
		h.restart("a")
		time.Sleep(2 * time.Millisecond) // records are ordered by time
	}
	got := h.call(t.Context(), http.MethodPost, "stream", "k", "Id", "poisonous", "Parts", "one two")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "must be refused without being run")
	assert.Equal(t, len(h.arrivals()), 3)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "safe", "k").status, http.StatusOK)
}

// TestPoisonousPartIsRefusedInAllRequests sends requests that are all different and share
// one part, which crashes each upstream, and others that share the first part only.
// After three crashes the router refuses the former and serves the latter.
func TestPoisonousPartIsRefusedInAllRequests(t *testing.T) {
	h := newHarness(t, script{"a": {"reset", "stream 6", "reset", "stream 6", "reset", "stream 6"}})
	call := func(id, parts string) int {
		return h.call(t.Context(), http.MethodPost, "stream", "k", "Id", id, "Parts", parts).status
	}
	for i := range 3 {
		n := strconv.Itoa(i)
		assert.Equal(t, call("poisonous"+n, "first poisonous last"+n), http.StatusBadGateway)
		h.restart("a")
		time.Sleep(time.Second / 4) // crashes in quick succession count as one
		assert.Equal(t, call("sound"+n, "first other last"+n), http.StatusOK)
	}
	assert.Equal(t, call("poisonous3", "first poisonous last3"), http.StatusServiceUnavailable)
	assert.Equal(t, call("sound3", "first other last3"), http.StatusOK)
	assert.Equal(t, call("end", "first last4 poisonous"), http.StatusOK, "the last part belongs to one request")
}

// TestPartThatCrashesInMidStreamIsRefused sends requests that are all different and share one
// part, which crashes each upstream after three events, and others that share the first part only.
// It guards against a part that is cleared by the answers at which it crashes upstreams.
func TestPartThatCrashesInMidStreamIsRefused(t *testing.T) {
	h := newHarness(t, script{"a": {"stream 3", "stream 6", "stream 3", "stream 6", "stream 3", "stream 6"}})
	call := func(id, parts string) int {
		return h.call(t.Context(), http.MethodPost, "stream", "k", "Id", id, "Parts", parts, "Prompt", "1").status
	}
	for i := range 3 {
		n := strconv.Itoa(i)
		assert.Equal(t, call("poisonous"+n, "first poisonous last"+n), http.StatusOK)
		h.restart("a")
		time.Sleep(time.Second / 4) // crashes in quick succession count as one
		assert.Equal(t, call("sound"+n, "first other last"+n), http.StatusOK)
	}
	assert.Equal(t, call("poisonous3", "first poisonous last3"), http.StatusServiceUnavailable)
	assert.Equal(t, call("sound3", "first other last3"), http.StatusOK)
}

// TestResumedAnswerClearsNothing sends a request that crashes its upstream after three events, and
// that the next upstream resumes and finishes. It guards against a request that crashes one
// upstream each time it is sent because the rest of its answer clears it.
func TestResumedAnswerClearsNothing(t *testing.T) {
	h := newHarness(t, script{"a": {"resumed stream 6"}, "b": {"resumed stream 6"}})
	for n := range 3 {
		got := h.call(t.Context(), http.MethodPost, "resumable", "k", "Id", "poisonous")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, strings.Count(got.body, "\n\n"), 6)
		crashed, _, _ := strings.Cut(h.arrivals()[2*n], " ")
		h.restart(poplar.Upstream(crashed))
		time.Sleep(2 * time.Millisecond) // records are ordered by time
	}
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "resumable", "k", "Id", "poisonous").status, http.StatusServiceUnavailable)
	assert.Equal(t, len(h.arrivals()), 6)
}

// TestFailedAnswerDoesNotClear answers a suspect with a failure of the upstream.
func TestFailedAnswerDoesNotClear(t *testing.T) {
	h := newHarness(t, script{"a": {"reset", "fail", "reset", "ok"}})
	for _, want := range []int{http.StatusBadGateway, http.StatusInternalServerError, http.StatusBadGateway} {
		assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, want)
		h.restart("a")
		time.Sleep(2 * time.Millisecond) // records are ordered by time
	}
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusServiceUnavailable)
}

// TestBrokenResponsesAreNotCrashes breaks responses of an upstream that is not
// restarted: the request must not be refused.
func TestBrokenResponsesAreNotCrashes(t *testing.T) {
	h := newHarness(t, script{"a": {"reset"}})
	for range 5 {
		assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusBadGateway)
	}
	assert.Equal(t, len(h.arrivals()), 5)
}

// TestCompleteResponseClearsSuspect completes a request after each of two
// crashes that it did not cause. The request must be cleared and not refused.
func TestCompleteResponseClearsSuspect(t *testing.T) {
	h := newHarness(t, script{"a": {"reset", "ok", "reset", "ok"}})
	for _, want := range []int{http.StatusBadGateway, http.StatusOK, http.StatusBadGateway, http.StatusOK} {
		assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, want)
		if want == http.StatusBadGateway {
			h.restart("a")
		}
		time.Sleep(2 * time.Millisecond) // records are ordered by time
	}
	assert.Equal(t, len(h.proxy.suspects.takeUnreported()), 4, "two crashes, each cleared once")
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusOK)
	assert.Equal(t, len(h.proxy.suspects.takeUnreported()), 0, "a cleared request must not be reported again")
}

// TestRoutersShareSuspects sends a request that crashes one upstream of each of
// two routers. A router that learns of the crash at the other router must
// refuse the request.
func TestRoutersShareSuspects(t *testing.T) {
	one, other := newHarness(t, script{"a": {"reset"}}), newHarness(t, script{"b": {"reset"}})
	for _, h := range []*harness{one, other} {
		assert.Equal(t, h.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusBadGateway)
	}
	one.restart("a")
	other.restart("b")
	other.proxy.suspects.learn(one.proxy.suspects.takeUnreported())
	got := other.call(t.Context(), http.MethodPost, "unsafe", "k")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(other.arrivals()), 1)
}
