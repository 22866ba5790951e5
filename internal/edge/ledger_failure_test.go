package edge

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
)

// TestLedgerFailures makes calls of the ledger fail.
func TestLedgerFailures(t *testing.T) {
	cut := poplar.Fail(poplar.StepReserve, poplar.CodeUnreachable, errors.New("ledger unreachable"))
	cases := []struct {
		name, method string
		times        int
		keyed        bool
		status       int
		want         string // code and run state of the problem
		billed       int
	}{
		{"reserve fails", "reserve", 100, false, 503, "cut no", 0},
		{"reserve of a keyed request fails", "reserve", 100, true, 503, "cut unknown", 0},
		{"settle fails twice", "settle", 2, false, 200, "", 1},
		{"settle fails for long", "settle", 6, false, 200, "cut yes", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1000)
			h.bounds.Settle = 200 * time.Millisecond
			failures := c.times
			h.ledger.fail = func(method string) error {
				if method != c.method || failures == 0 {
					return nil
				}
				failures--
				return cut
			}
			e, s := h.startDaemon("a")
			h.startEngine(fake.Settings{Name: "e"})
			var headers []string
			if c.keyed {
				headers = []string{"Idempotency-Key", "k"}
			}
			response := h.request(s, "POST", "/v1/completions", completionBody(3), headers...)
			assert.Equal(t, response.StatusCode, c.status)
			if c.status != 200 {
				code, run, _ := strings.Cut(c.want, " ")
				checkRefusal(t, response, fmt.Sprintf("503 %s reserve %s ledger unreachable", code, run))
				return
			}
			got := readStream(response.Body)
			assert.Equal(t, strings.TrimSpace(got.problem+" "+got.run), c.want)
			assert.Equal(t, got.done, c.want == "")
			assert.NilError(t, e.Drain(context.Background()))
			n, _ := h.ledger.bills()
			assert.Equal(t, n, c.billed)
		})
	}
}

// TestNewBudgetIsReportedBusy sends a request whose budget the ledger does not
// know yet. The refusal must allow a retry, and the retry must be served once
// the budget is known.
func TestNewBudgetIsReportedBusy(t *testing.T) {
	for _, run := range []poplar.RunState{poplar.RunNo, poplar.RunUnknown} {
		h := newHarness(t, 100)
		_, s := h.startDaemon("a")
		engine := h.startEngine(fake.Settings{Name: "e"})
		known := false
		h.ledger.fail = func(string) error {
			if known {
				return nil
			}
			return poplar.Failf(poplar.StepReserve, poplar.CodeMissing, "budget main is not known").Ran(run)
		}
		key := []string{"Idempotency-Key", "k"}
		response := h.request(s, "POST", "/v1/completions", completionBody(5), key...)
		assert.Equal(t, response.Header.Get("Retry-After"), "1")
		checkRefusal(t, response, "503 busy reserve "+run.String()+" no share of it yet")
		assert.Equal(t, engine.Started(), uint64(0))
		h.ledger.mu.Lock()
		known = true
		h.ledger.mu.Unlock()
		assert.Assert(t, readStream(h.request(s, "POST", "/v1/completions", completionBody(5), key...).Body).done)
	}
}

// TestLostReserveReply loses the reply to a reservation that the ledger has
// made. The request must be refused, its reservation released, and a retry must
// run once.
func TestLostReserveReply(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		h := newHarness(t, 100)
		_, s := h.startDaemon("a")
		engine := h.startEngine(fake.Settings{Name: "e"})
		lost := false
		h.ledger.loseReply = func(string) error {
			if lost {
				return nil
			}
			lost = true
			return poplar.Failf(poplar.StepReserve, poplar.CodeTimeout, "reply lost")
		}
		var headers []string
		run := "no"
		if keyed {
			headers, run = []string{"Idempotency-Key", "k"}, "unknown"
		}
		checkRefusal(t, h.request(s, "POST", "/v1/completions", completionBody(90), headers...), "504 timeout reserve "+run+" reply lost")
		eventually(t, "nothing reserved", func() bool { return h.ledger.open() == 0 })
		assert.Equal(t, engine.Started(), uint64(0))
		assert.Assert(t, readStream(h.request(s, "POST", "/v1/completions", completionBody(90), headers...).Body).done)
		n, sum := h.ledger.bills()
		assert.Equal(t, n, 1)
		assert.Equal(t, int(sum), 92)
	}
}

// TestLedgerUnavailableMidStream makes every request for more tokens fail. The
// stream must end with an error, and what was sent must be billed.
func TestLedgerUnavailableMidStream(t *testing.T) {
	h := newHarness(t, 1000)
	h.policy = compilePolicy(t, `"policy": {"reserve": 0.1}`)
	h.ledger.fail = func(method string) error {
		if method != "extend" {
			return nil
		}
		return poplar.Failf(poplar.StepReserve, poplar.CodeUnreachable, "ledger unreachable")
	}
	_, s := h.startDaemon("a")
	h.startEngine(fake.Settings{Name: "e", Step: time.Millisecond})
	got := readStream(h.request(s, "POST", "/v1/completions", completionBody(98)).Body)
	assert.Equal(t, got.problem+" "+got.run, "cut yes")
	assert.Equal(t, got.text, generatedText("e.1", 8))
	_, sum := h.ledger.bills()
	assert.Equal(t, int(sum), 10)
}
