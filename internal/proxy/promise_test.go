package proxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/reply"
	"poplarbend.example/poplar/pkg/roster"
)

// answerForm is how a fallible upstream answers.
type answerForm struct {
	status                       int
	stated, sealed, named, retry bool   // named: with the id of the request; retry: with Retry-After
	body                         string // whole, cut, empty, or none: the connection is closed without an answer
	beforeBody                   bool   // answers before it reads the body
	wait                         time.Duration
}

func (f answerForm) runs() bool { return !f.stated && f.status != http.StatusMisdirectedRequest }

// fallibleUpstream runs each request that it does not refuse, and answers in the form that
// choose returns.
type fallibleUpstream struct {
	choose func() answerForm

	mu  sync.Mutex
	ran map[string]int // invariant: guarded by mu; runs by id
}

// ServeHTTP implements http.Handler.
func (u *fallibleUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f, id := u.choose(), r.Header.Get("Id")
	if f.runs() {
		u.mu.Lock()
		u.ran[id]++
		u.mu.Unlock()
	}
	if !f.beforeBody {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	time.Sleep(f.wait)
	h := w.Header()
	h.Set("Connection", "close") // an answer without an id is ignored on a connection that was used before
	for _, field := range []struct {
		set         bool
		name, value string
	}{{f.named, "Id", id}, {f.sealed, "Seal", "u"}, {f.stated, "Unrun", "1"}, {f.retry, "Retry-After", "0.2"}} {
		if field.set {
			h.Set(field.name, field.value)
		}
	}
	switch f.body {
	case "none":
		panic(http.ErrAbortHandler)
	case "empty":
		w.WriteHeader(f.status)
	case "cut":
		h.Set("Content-Length", "100")
		w.WriteHeader(f.status)
		fmt.Fprint(w, "id: 1\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "whole":
		w.WriteHeader(f.status)
		fmt.Fprint(w, "id: 1\ndata: 1\n\n")
	}
}

func (u *fallibleUpstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// newFallible returns a router with two addresses of one fallible upstream.
func newFallible(t *testing.T, choose func() answerForm) (*harness, *fallibleUpstream) {
	h := newHarness(t, script{"unused": {"ok"}})
	u := &fallibleUpstream{choose: choose, ran: map[string]int{}}
	var entries []roster.Entry
	for _, name := range []string{"a", "b"} {
		server := httptest.NewServer(u)
		server.Config.ErrorLog = nil
		t.Cleanup(server.Close)
		entries = append(entries, roster.Entry{Announcement: roster.Announcement{
			Name: poplar.Upstream(name), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Domain: "d", Slots: 8, State: roster.StateReady,
		}})
	}
	h.proxy.setUpstreams(entries)
	return h, u
}

// TestFailureAfterRunIsNoPromise lets an upstream run a request and answer with each status of a
// failure. It guards against callers who are told that a request which ran has not, and send it
// again: such a status becomes one that promises nothing, without the upstream's seal. Any other
// answer is delivered unchanged.
func TestFailureAfterRunIsNoPromise(t *testing.T) {
	var form answerForm
	h, u := newFallible(t, func() answerForm { return form })
	n := 0
	for _, kind := range []string{"unsafe", "stream"} {
		for _, status := range []int{400, 404, 408, 409, 429, 500, 502, 503, 504} {
			for bits := range 8 {
				for _, body := range []string{"whole", "empty", "cut"} {
					form = answerForm{status: status, sealed: bits&1 > 0, named: bits&2 > 0, retry: bits&4 > 0, body: body}
					n++
					id := strconv.Itoa(n)
					got := h.call(t.Context(), http.MethodPost, kind, "k", "Id", id)
					assert.NilError(t, got.err)
					assert.Equal(t, u.runsOf(id), 1, "%+v", form)
					switch {
					case reply.Promises(status) || body == "cut":
						assert.Equal(t, got.status, http.StatusBadGateway, "%+v", form)
						assert.Equal(t, got.header.Get("Seal")+got.body, "", "%+v", form)
					default:
						assert.Equal(t, got.status, status, "%+v", form)
						assert.Equal(t, got.header.Get("Seal") != "", form.sealed, "%+v", form)
						assert.Equal(t, got.body != "", body == "whole", "%+v", form)
					}
				}
			}
		}
	}
	assert.Assert(t, h.proxy.metrics.withheld.Get("503") != nil, "withheld answers are counted by status")
}

// TestNoPromiseIsFalse sends requests through courses of failures: upstreams that refuse, fail
// after or before they have run, answer before they have read the body, answer late or not at
// all, and end. It asks of each status that promises whether it was true, now and later.
func TestNoPromiseIsFalse(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(seed, 59))
			h, u := newFallible(t, func() answerForm {
				mu.Lock()
				defer mu.Unlock()
				f := answerForm{
					status: 400 + random.IntN(200), stated: random.IntN(4) == 0, sealed: random.IntN(2) == 0, named: random.IntN(4) > 0,
					retry: random.IntN(2) == 0, body: []string{"whole", "cut", "empty", "none"}[random.IntN(4)], beforeBody: random.IntN(4) == 0,
				}
				if random.IntN(2) == 0 {
					f.status = []int{200, 408, 421, 429, 503}[random.IntN(5)]
				}
				if random.IntN(8) == 0 {
					f.wait = time.Duration(random.IntN(80)) * time.Millisecond
				}
				return f
			})
			promised := []string{}
			for n := range 100 {
				mu.Lock()
				kind, wait := []string{"unsafe", "stream"}[random.IntN(2)], strconv.Itoa(20+random.IntN(80))
				mu.Unlock()
				id := fmt.Sprint(seed, "-", n)
				got := h.call(t.Context(), http.MethodPost, kind, "k", "Id", id, "Wait", wait)
				if got.err == nil && reply.Promises(got.status) {
					promised = append(promised, id)
				}
				if n == 50 {
					h.restart("a")
				}
				assert.Assert(t, u.runsOf(id) <= 1, "%s ran %d times", id, u.runsOf(id))
			}
			time.Sleep(100 * time.Millisecond)
			for _, id := range promised {
				assert.Equal(t, u.runsOf(id), 0, "%s has run, and its caller was told that it never would", id)
			}
			assert.Assert(t, len(promised) > 0)
		})
	}
}
