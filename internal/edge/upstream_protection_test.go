package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/pkg/poison"
)

// TestPoisonousRequestCrashesAtMostTwoUpstreams sends a request that crashes
// every engine that runs it, together with harmless ones, and then repeats it.
// Two engines may crash; then the request is refused and the others are served.
func TestPoisonousRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			h := newHarness(t, 100000)
			_, s := h.startDaemon("a")
			engines := make([]*fake.Engine, 4)
			for i := range engines {
				engines[i] = h.startEngine(fake.Settings{Name: poplar.Upstream(fmt.Sprint("e", i)), Step: time.Millisecond})
			}
			poisonous := fmt.Sprintf(`{"model":"small","prompt":%q,"max_tokens":5,"stream":%t}`, fake.CrashMark, stream)
			var wg sync.WaitGroup
			for range 20 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					response, err := h.send(context.Background(), s, "POST", "/v1/completions", completionBody(20))
					if err == nil {
						response.Body.Close()
					}
				}()
			}
			checkProblem(t, h.postCompletion(s, poisonous), "poison unknown")
			wg.Wait()
			for range 3 {
				checkProblem(t, h.postCompletion(s, poisonous), "poison no")
			}
			dead := 0
			for _, e := range engines {
				if _, err := checkListening(e.Address()); err != nil {
					dead++
				}
			}
			assert.Equal(t, dead, 2)
			for range 5 {
				assert.Assert(t, readStream(h.request(s, "POST", "/v1/completions", completionBody(3)).Body).done)
			}
			eventually(t, "no reservation", func() bool { return h.ledger.open() == 0 })
		})
	}
}

// TestPoisonousMessageIsRefusedInAllRequests sends chats that are all different and share
// a message that crashes every engine. After few crashes such chats are refused, and
// others are served.
func TestPoisonousMessageIsRefusedInAllRequests(t *testing.T) {
	h := newHarness(t, 100000)
	_, s := h.startDaemon("a")
	engines := make([]*fake.Engine, 8)
	for i := range engines {
		engines[i] = h.startEngine(fake.Settings{Name: poplar.Upstream(fmt.Sprint("e", i)), Step: time.Millisecond})
	}
	chat := func(message string, n int) string {
		return fmt.Sprintf(`{"model":"small","messages":[{"role":"system","content":"all"},{"role":"system","content":%q},{"role":"user","content":"%d"}],"max_tokens":5,"stream":true}`, message, n)
	}
	post := func(body string) *http.Response { return h.request(s, "POST", "/v1/chat/completions", body) }
	const most = 6 // chats; each crashes two engines at most
	refused := 0
	for n := range most {
		response := post(chat(fake.CrashMark, n))
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		if strings.Contains(string(text), errPoisonousPart.Error()) {
			refused++
		}
		assert.Assert(t, readStream(post(chat("hello", n)).Body).done)
		time.Sleep(time.Second / 5) // crashes in quick succession count as one
	}
	dead := 0
	for _, e := range engines {
		if _, err := checkListening(e.Address()); err != nil {
			dead++
		}
	}
	assert.Assert(t, dead <= 5, "%d engines crashed", dead)
	assert.Assert(t, refused >= 3, "%d of %d chats were refused for a part", refused, most)
}

// TestCrashIsPublishedBeforeResponse crashes an engine during two streams that
// cannot be resumed, while the exchange of crash records is slow. A caller that
// sees the error may retry at another router, so that router must have the
// records by then.
func TestCrashIsPublishedBeforeResponse(t *testing.T) {
	h := newHarness(t, 1000)
	b, _ := h.startDaemon("b")
	h.publishCrashRecords = func(records []poison.Record) {
		time.Sleep(50 * time.Millisecond)
		b.LearnPoison(records)
	}
	_, s := h.startDaemon("a")
	engine := h.startEngine(fake.Settings{Name: "e", Step: 5 * time.Millisecond, NoResume: true})
	var responses [2]*http.Response
	for i := range responses {
		responses[i] = h.postCompletion(s, strings.Replace(completionBody(100), "hello", fmt.Sprint("hello", i), 1))
		_, err := io.ReadFull(responses[i].Body, make([]byte, 200))
		assert.NilError(t, err)
	}
	engine.Kill()
	var wg sync.WaitGroup
	for _, response := range responses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			got := readStream(response.Body)
			assert.Check(t, got.problem == "upstream" && got.run == "yes", "%+v", got)
			records := b.PoisonRecords(0)
			assert.Check(t, len(records) == 2, "%+v", records)
			for _, record := range records {
				assert.Check(t, len(record.Crashes) == 1 && record.Crashes[0].Concurrent == 1, "%+v", record)
			}
		}()
	}
	wg.Wait()
}

// TestFullFleetRefusesWithTrueRunState fills the only engine. The next request
// must be refused with the correct run state, and a retry of a settled request
// must get its response.
func TestFullFleetRefusesWithTrueRunState(t *testing.T) {
	h := newHarness(t, 100000)
	h.policy = compilePolicy(t, `"ranks": {"urgent": {"first": "1ms"}, "normal": {"first": "50ms"}}`)
	h.bounds.Stall = 5 * time.Second
	_, s := h.startDaemon("a")
	engine := h.startEngine(fake.Settings{Name: "e", Slots: 1, Step: 2 * time.Millisecond})
	key := []string{"Idempotency-Key", "k"}
	first := readStream(h.request(s, "POST", "/v1/completions", completionBody(5), key...).Body)
	assert.Assert(t, first.done)
	long := h.request(s, "POST", "/v1/completions", completionBody(900), "X-Rank", "bulk")
	eventually(t, "the long stream", func() bool { return engine.Started() == 2 })
	for _, c := range []struct {
		headers []string
		want    string
	}{
		{nil, "busy no"},
		{[]string{"Idempotency-Key", "new"}, "busy no"},
	} {
		response := h.request(s, "POST", "/v1/completions", strings.Replace(completionBody(5), "true", "false", 1), c.headers...)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
		checkProblem(t, response, c.want)
	}
	again := readStream(h.request(s, "POST", "/v1/completions", completionBody(5), key...).Body)
	assert.Equal(t, again.text, first.text)
	assert.Equal(t, engine.Started(), uint64(2))
	long.Body.Close()
	eventually(t, "no reservation", func() bool { return h.ledger.open() == 0 })
}

// TestDisconnectedCallerLeavesQueue disconnects a caller while its request
// queues. The request must neither run nor be billed.
func TestDisconnectedCallerLeavesQueue(t *testing.T) {
	h := newHarness(t, 100000)
	h.bounds.Stall = 5 * time.Second
	e, s := h.startDaemon("a")
	engine := h.startEngine(fake.Settings{Name: "e", Slots: 1, Step: 2 * time.Millisecond})
	long := h.request(s, "POST", "/v1/completions", completionBody(100))
	eventually(t, "the long stream", func() bool { return engine.Started() == 1 })
	for _, headers := range [][]string{nil, {"Idempotency-Key", "k"}} {
		ctx, disconnect := context.WithTimeout(context.Background(), 30*time.Millisecond)
		response, err := h.send(ctx, s, "POST", "/v1/completions", completionBody(7), headers...)
		if err == nil {
			readStream(response.Body)
			response.Body.Close()
		}
		disconnect()
	}
	assert.Assert(t, readStream(long.Body).done)
	eventually(t, "the requests to end", func() bool { return e.Open() == 0 })
	assert.Equal(t, engine.Started(), uint64(1))
	n, _ := h.ledger.bills()
	assert.Equal(t, n, 1)
	assert.Equal(t, h.ledger.open(), 0)
}

// TestSuspectsOfTwoRoutersUseDifferentUpstreams claims an upstream for a
// suspect of one router. The suspects of another router must use other
// upstreams until the first suspect is cleared or its claim expires.
func TestSuspectsOfTwoRoutersUseDifferentUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newCrashTracker(nil)
	a := newCrashTracker(b.learn)
	a.publish(a.registry.RecordCrash("dead", 1, []poison.Fingerprint{1, 2, 3}, now))
	for _, p := range []poison.Fingerprint{1, 2, 3} {
		verdict, _ := b.check(p, now)
		assert.Equal(t, verdict, poison.Isolated)
	}
	assert.Assert(t, a.claim(1, "e", now))
	assert.Assert(t, !b.claim(2, "e", now))
	assert.Assert(t, b.claim(2, "f", now))
	assert.Assert(t, b.claim(3, "e", now.Add(claimTime)))
	a.hopEnded(&hop{upstream: "f", fingerprint: 2, exclusive: true}, true, false, now)
	assert.Assert(t, b.claim(1, "f", now), "fingerprint 2 was cleared there")
}
