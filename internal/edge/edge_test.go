package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
)

func TestStreamIsServedAndBilledOnce(t *testing.T) {
	h := newHarness(t, 1000)
	_, s := h.startDaemon("a")
	engine := h.startEngine(fake.Settings{Name: "e", Step: time.Millisecond})
	got := readStream(h.request(s, "POST", "/v1/completions", completionBody(20)).Body)
	assert.DeepEqual(t, got.text, generatedText("e.1", 20))
	assert.Assert(t, got.done)
	assert.Equal(t, got.usage, fake.Usage{Prompt: 2, Completion: 20, Total: 22})
	n, sum := h.ledger.bills()
	assert.Equal(t, n, 1)
	assert.Equal(t, int(sum), 22)
	assert.Equal(t, int(engine.Total()), 20)

	complete := h.request(s, "POST", "/v1/chat/completions", `{"model":"small","messages":[{"role":"user","content":"hi"}],"max_tokens":3}`)
	body, err := io.ReadAll(complete.Body)
	assert.NilError(t, err)
	assert.Equal(t, complete.StatusCode, 200, string(body))
	assert.Assert(t, strings.Contains(string(body), generatedText("e.2", 3)), string(body))
	_, sum = h.ledger.bills()
	prompt := (len(`[{"role":"user","content":"hi"}]`) + 3) / 4
	assert.Equal(t, int(sum), 22+prompt+3)
	assert.Equal(t, h.ledger.open(), 0)
}

// TestRefusals sends the requests of a file and compares the problem responses.
// None of the requests may be billed or reach an upstream.
func TestRefusals(t *testing.T) {
	h := newHarness(t, 1000)
	_, s := h.startDaemon("a")
	engine, service := h.startEngine(fake.Settings{Name: "e"}), h.startService("s")
	data, err := os.ReadFile("testdata/refusals.txt")
	assert.NilError(t, err)
	for _, part := range strings.Split(string(data), "\n== ")[1:] {
		name, rest, _ := strings.Cut(part, "\n")
		request, want, ok := strings.Cut(rest, "\n=> ")
		assert.Assert(t, ok, name)
		t.Run(name, func(t *testing.T) {
			h.t = t
			checkRefusal(t, h.sendCase(t, s.Listener.Addr().String(), request), want)
		})
	}
	n, _ := h.ledger.bills()
	assert.Equal(t, n+h.ledger.open(), 0)
	assert.Equal(t, engine.Started(), uint64(0))
	assert.Equal(t, service.Total(), 0)
}

// sendCase sends the request that a case of the file describes.
func (h *harness) sendCase(t *testing.T, address, text string) *http.Response {
	head, body, _ := strings.Cut(text, "\n\n")
	body = strings.TrimSpace(body)
	if size, ok := strings.CutPrefix(body, "repeat "); ok {
		n, err := strconv.Atoi(size)
		assert.NilError(t, err)
		body = `{"model":"small","prompt":"` + strings.Repeat("x", n) + `"}`
	}
	lines := strings.Split(strings.TrimSpace(head), "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(t, err)
	for _, line := range lines[1:] {
		key, value, _ := strings.Cut(line, ":")
		req.Header.Add(key, strings.ReplaceAll(strings.TrimSpace(value), "SECRET", callerKey))
	}
	response, err := h.client.Do(req)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// checkRefusal compares a problem response with "STATUS CODE STEP RUN DETAIL".
func checkRefusal(t *testing.T, response *http.Response, want string) {
	var p struct{ Code, Step, Run, Detail string }
	assert.Equal(t, response.Header.Get("Content-Type"), "application/problem+json")
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&p))
	words := strings.SplitN(strings.TrimSpace(want), " ", 5)
	got := []string{strconv.Itoa(response.StatusCode), p.Code, p.Step, p.Run}
	assert.DeepEqual(t, got, words[:4])
	assert.Assert(t, strings.Contains(p.Detail, words[4]), "detail %q lacks %q", p.Detail, words[4])
	assert.Assert(t, !strings.Contains(p.Detail, callerKey))
}

func TestOverspendIsRefused(t *testing.T) {
	h := newHarness(t, 10)
	h.policy = compilePolicy(t, `"policy": {"reserve": 1}`)
	_, s := h.startDaemon("a")
	engine := h.startEngine(fake.Settings{Name: "e"})
	checkRefusal(t, h.request(s, "POST", "/v1/completions", completionBody(9)), "402 budget reserve no 10 are left")
	assert.Equal(t, engine.Started(), uint64(0))
	got := readStream(h.request(s, "POST", "/v1/completions", completionBody(8)).Body)
	assert.Assert(t, got.done)
	_, sum := h.ledger.bills()
	assert.Equal(t, int(sum), 10)
}

func TestBudgetSpentMidStream(t *testing.T) {
	h := newHarness(t, 30)
	h.policy = compilePolicy(t, `"policy": {"reserve": 0.1}`)
	_, s := h.startDaemon("a")
	engine := h.startEngine(fake.Settings{Name: "e", Step: time.Millisecond})
	got := readStream(h.request(s, "POST", "/v1/completions", completionBody(100)).Body)
	assert.Equal(t, got.problem, "spent", "%+v %s", got, h.log)
	assert.Equal(t, got.run, "yes")
	assert.Assert(t, !got.done)
	assert.Equal(t, got.text, generatedText("e.1", 28))
	n, sum := h.ledger.bills()
	assert.Equal(t, n, 1)
	assert.Equal(t, int(sum), 30)
	assert.Assert(t, engine.Total() < 100, "the generation continues")
}

func TestHeartbeatComments(t *testing.T) {
	h := newHarness(t, 1000)
	h.bounds.Stall = 5 * time.Second
	_, s := h.startDaemon("a")
	h.startEngine(fake.Settings{Name: "e", Step: 250 * time.Millisecond})
	got := readStream(h.request(s, "POST", "/v1/completions", completionBody(2)).Body)
	assert.Assert(t, got.done)
	assert.Assert(t, got.comments >= 2, "%d comments", got.comments)
}

func TestDisconnectedCallerIsBilledForGeneratedTokens(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		t.Run(fmt.Sprint("keyed ", keyed), func(t *testing.T) {
			h := newHarness(t, 1000)
			_, s := h.startDaemon("a")
			engine := h.startEngine(fake.Settings{Name: "e", Step: 2 * time.Millisecond})
			var headers []string
			if keyed {
				headers = []string{"Idempotency-Key", "k"}
			}
			ctx, disconnect := context.WithCancel(context.Background())
			response, err := h.send(ctx, s, "POST", "/v1/completions", completionBody(500), headers...)
			assert.NilError(t, err)
			_, err = io.ReadFull(response.Body, make([]byte, 300))
			assert.NilError(t, err)
			disconnect()
			response.Body.Close()
			eventually(t, "the bill", func() bool { n, _ := h.ledger.bills(); return n == 1 })
			generated := engine.Total()
			_, sum := h.ledger.bills()
			assert.Equal(t, sum, generated+2)
			assert.Assert(t, generated < 500)
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, engine.Total(), generated, "the generation continues")
			if !keyed {
				return
			}
			again := h.request(s, "POST", "/v1/completions", completionBody(500), headers...)
			got := readStream(again.Body)
			assert.Equal(t, got.problem, "cut", "%+v %s", got, h.log)
			assert.Assert(t, strings.HasPrefix(generatedText("e.1", 500), got.text) && got.text != "")
			n, newSum := h.ledger.bills()
			assert.Equal(t, n, 1)
			assert.Equal(t, newSum, sum)
		})
	}
}

func TestRetryReplaysStoredResponse(t *testing.T) {
	h := newHarness(t, 1000)
	_, a := h.startDaemon("a")
	_, b := h.startDaemon("b")
	engine := h.startEngine(fake.Settings{Name: "e", Step: time.Millisecond})
	key := []string{"Idempotency-Key", "k"}
	first := readStream(h.request(a, "POST", "/v1/completions", completionBody(10), key...).Body)
	response := h.request(b, "POST", "/v1/completions", completionBody(10), key...)
	assert.Equal(t, response.Header.Get("X-Replay"), "1")
	second := readStream(response.Body)
	second.comments = first.comments
	assert.DeepEqual(t, fmt.Sprint(first), fmt.Sprint(second))
	checkRefusal(t, h.request(b, "POST", "/v1/completions", completionBody(11), key...), "409 clash reserve unknown another body")
	assert.Equal(t, engine.Started(), uint64(1))
	n, _ := h.ledger.bills()
	assert.Equal(t, n, 1)
}

func TestRetryWaitsForAttemptAtAnotherDaemon(t *testing.T) {
	h := newHarness(t, 1000)
	_, a := h.startDaemon("a")
	waiter, b := h.startDaemon("b")
	engine := h.startEngine(fake.Settings{Name: "e", Step: 5 * time.Millisecond})
	key := []string{"Idempotency-Key", "k"}
	response := h.request(a, "POST", "/v1/completions", completionBody(300), key...)
	again := h.request(b, "POST", "/v1/completions", completionBody(300), key...)
	// While it waits, the retry holds no admission ticket.
	gate := waiter.Admission()["small"]
	assert.Equal(t, waiter.Open(), int64(1))
	assert.Equal(t, gate.Counts.Started[poplar.Normal], uint64(1))
	assert.Equal(t, gate.Open, [poplar.Ranks]int{})
	second := readStream(again.Body)
	first := readStream(response.Body)
	assert.Equal(t, first.text, second.text)
	assert.Assert(t, first.done && second.done)
	assert.Equal(t, engine.Started(), uint64(1))
	n, _ := h.ledger.bills()
	assert.Equal(t, n, 1)
}

func TestCallerKeyIsNotLoggedOrTraced(t *testing.T) {
	h := newHarness(t, 1000)
	_, s := h.startDaemon("a")
	h.startEngine(fake.Settings{Name: "e"})
	readStream(h.request(s, "POST", "/v1/completions", completionBody(3)).Body)
	checkRefusal(t, h.request(s, "POST", "/v1/completions", `{"model":"big","prompt":"x"}`), "404 missing parse no no model")
	eventually(t, "two log lines", func() bool { return strings.Count(h.log.String(), "\n") == 2 })
	assert.Assert(t, !strings.Contains(h.log.String(), callerKey), h.log.String())
	var line struct{ Request, Trace, Workspace, Caller string }
	assert.NilError(t, json.Unmarshal([]byte(strings.SplitN(h.log.String(), "\n", 2)[0]), &line))
	assert.Equal(t, line.Workspace+"/"+line.Caller, "ikeja/amaka")
	assert.Equal(t, len(line.Request), 32)
	spans := h.spans.GetSpans()
	names := map[string]int{}
	for _, span := range spans {
		names[span.Name]++
		assert.Assert(t, !strings.Contains(fmt.Sprint(span), callerKey))
		if span.Name == "request" && names["request"] == 1 {
			assert.Equal(t, span.SpanContext.TraceID().String(), line.Trace)
		}
	}
	for _, step := range []string{"request", "auth", "parse", "classify", "admit", "pick", "reserve", "stream", "settle"} {
		assert.Assert(t, names[step] > 0, "no span %s among %v", step, names)
	}
}
