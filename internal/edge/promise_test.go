package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// TestFailureAfterRunRunsOnce has a service that runs each call and fails it with a status that
// elsewhere means that it has not run. It guards against a second run when the caller believes
// the status and sends the call again: the second call gets the first answer, at any daemon.
func TestFailureAfterRunRunsOnce(t *testing.T) {
	for _, status := range []int{408, 421, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var runs atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				w.Header().Set("Retry-After", "0")
				w.WriteHeader(status)
			}))
			defer server.Close()
			h := newHarness(t, 1000)
			_, a := h.startDaemon("a")
			_, b := h.startDaemon("b")
			n := testAnnouncement(server)
			n.Kind, n.Models, n.Services = poplar.KindService, nil, []poplar.Service{"desk"}
			h.announce(withNextSequence(n))
			for i, daemon := range []*httptest.Server{a, a, b} {
				response := h.request(daemon, "POST", "/svc/desk/claims", "{}", "Idempotency-Key", "k")
				assert.Equal(t, response.StatusCode, status)
				assert.Equal(t, response.Header.Get(headerReplay) != "", i > 0)
			}
			assert.Equal(t, runs.Load(), int64(1))
		})
	}
}

// TestFailedCompletionIsNotSaidToBeUnrun has an engine that may have run a completion and answers
// with each such status, so that the caller must not be told that it has not run.
func TestFailedCompletionIsNotSaidToBeUnrun(t *testing.T) {
	for _, status := range []int{408, 421, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(status) }))
			defer server.Close()
			h := newHarness(t, 100000)
			_, s := h.startDaemon("a")
			h.announce(withNextSequence(testAnnouncement(server)))
			checkProblem(t, h.postCompletion(s, completionBody(20)), "upstream unknown")
		})
	}
}
