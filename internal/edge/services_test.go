package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
)

func TestServiceCalls(t *testing.T) {
	cases := []struct {
		name, method, path string
		headers            []string
		status             int
		want               string // part of the body
		runs               int
		billed             poplar.Tokens
		open               int
	}{
		{"idempotent", "GET", "/svc/desk/status/7?x=1", nil, 200, `"path":"/status/7"`, 1, 1, 0},
		{"keyed", "POST", "/svc/desk/claims", []string{"Idempotency-Key", "k"}, 200, `"run":1`, 1, 5, 0},
		{"lost response", "POST", "/svc/desk/claims", []string{"Idempotency-Key", "k", fake.HeaderLose, "1"}, 502, `"run":"unknown"`, 1, 0, 1},
		{"too slow", "POST", "/svc/desk/slow", []string{"Idempotency-Key", "k", fake.HeaderDelay, "200ms"}, 504, `"run":"unknown"`, 1, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1000)
			h.bounds.Wait = 100 * time.Millisecond
			_, a := h.startDaemon("a")
			_, b := h.startDaemon("b")
			first, second := h.startService("s1"), h.startService("s2")
			for i, daemon := range []*httptest.Server{a, b, a} {
				response := h.request(daemon, c.method, c.path, "{}", c.headers...)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				if i == 0 {
					assert.Equal(t, response.StatusCode, c.status, string(body))
					assert.Assert(t, strings.Contains(string(body), c.want), string(body))
				}
				if len(c.headers) == 0 {
					break // without a key, each repetition is a new call
				}
			}
			assert.Equal(t, first.Total()+second.Total(), c.runs)
			_, sum := h.ledger.bills()
			assert.Equal(t, sum, c.billed)
			assert.Equal(t, h.ledger.open(), c.open)
		})
	}
}

// TestClaimRunsOnceDespiteLostResponses sends calls that are not idempotent, each
// several times concurrently through two daemons, while responses are delayed or
// lost. Each call must run once.
func TestClaimRunsOnceDespiteLostResponses(t *testing.T) {
	h := newHarness(t, 100000)
	h.bounds.Wait = 50 * time.Millisecond
	_, a := h.startDaemon("a")
	_, b := h.startDaemon("b")
	services := []*fake.Service{h.startService("s1"), h.startService("s2")}
	var wg sync.WaitGroup
	for i := range 120 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			claim := i % 30
			headers := []string{"Idempotency-Key", fmt.Sprint("claim", claim), fake.HeaderDelay, "5ms"}
			if claim%3 == 0 {
				headers = append(headers, fake.HeaderLose, "1")
			}
			response, err := h.send(context.Background(), []*httptest.Server{a, b}[i%2], "POST", "/svc/desk/claims", "{}", headers...)
			if err == nil {
				response.Body.Close()
			}
		}()
	}
	wg.Wait()
	for claim := range 30 {
		id := requestID("ikeja", poplar.Key(fmt.Sprint("claim", claim)))
		assert.Equal(t, services[0].Runs(id)+services[1].Runs(id), 1, claim)
	}
}

// TestDisconnectBeforeDispatch disconnects the caller while tokens are being
// reserved for its call. Nothing may run or stay reserved, and the retry must run once.
func TestDisconnectBeforeDispatch(t *testing.T) {
	h := newHarness(t, 100)
	e, s := h.startDaemon("a")
	service := h.startService("s")
	ctx, disconnect := context.WithCancel(context.Background())
	slow := true
	h.ledger.loseReply = func(string) error {
		if slow {
			slow = false
			disconnect()
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	}
	key := []string{"Idempotency-Key", "k"}
	_, err := h.send(ctx, s, "POST", "/svc/desk/claims", "{}", key...) //nolint:bodyclose // there is no response
	assert.ErrorContains(t, err, "canceled")
	eventually(t, "the request to end", func() bool { return e.Open() == 0 })
	assert.Equal(t, h.ledger.open(), 0)
	assert.Equal(t, service.Total(), 0)
	assert.Equal(t, h.request(s, "POST", "/svc/desk/claims", "{}", key...).StatusCode, 200)
	assert.Equal(t, service.Total(), 1)
}

// TestUpstreamThatAsksForNothingGetsNothing has an upstream that says in its answers that
// it leaves, and one that refuses calls and names a time.
func TestUpstreamThatAsksForNothingGetsNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		full   bool
		header http.Header
	}{
		{"leave", false, http.Header{poplar.HeaderLeaving: {"1"}}},
		{"pause", true, http.Header{poplar.HeaderRetry: {"60"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 100000)
			_, daemon := h.startDaemon("a")
			first, second := h.startService("s1"), h.startService("s2")
			first.Say(c.full, c.header)
			second.Say(c.full, c.header)
			for range 8 {
				response := h.request(daemon, "GET", "/svc/desk/status/7", "")
				_, err := io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
			}
			for _, s := range []*fake.Service{first, second} {
				assert.Equal(t, s.Total()+s.Refused(), 1)
			}
			third := h.startService("s3")
			eventually(t, "an upstream that asks for nothing special", func() bool {
				return h.request(daemon, "GET", "/svc/desk/status/7", "").StatusCode == http.StatusOK
			})
			assert.Assert(t, third.Total() > 0)
		})
	}
}
