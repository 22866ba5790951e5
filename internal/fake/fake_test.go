package fake

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/route"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func post(t *testing.T, address, path, body string, headers ...string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	answer, err := client.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { answer.Body.Close() })
	return answer
}

func start(t *testing.T, set Settings) *Engine {
	t.Helper()
	e, err := StartEngine(set)
	assert.NilError(t, err)
	t.Cleanup(e.Kill)
	return e
}

const small = `{"model":"small","prompt":"hello","max_tokens":5,"stream":true}`

// texts returns the tokens of the events of r.
func texts(t *testing.T, r io.Reader) string {
	t.Helper()
	var all strings.Builder
	for in := bufio.NewScanner(r); in.Scan(); {
		var chunk struct {
			Choices []struct{ Text string }
		}
		data, ok := strings.CutPrefix(in.Text(), "data: ")
		if ok && json.Unmarshal([]byte(data), &chunk) == nil {
			all.WriteString(chunk.Choices[0].Text)
		}
	}
	return all.String()
}

func TestEngineResumes(t *testing.T) {
	e := start(t, Settings{Name: "e", Step: time.Millisecond})
	whole := texts(t, post(t, e.Address(), "/v1/completions", small, poplar.HeaderRequest, "r").Body)
	assert.Equal(t, whole, "e.1:0 e.1:1 e.1:2 e.1:3 e.1:4 ")
	rest := post(t, e.Address(), "/v1/completions", small,
		poplar.HeaderRequest, "r", poplar.HeaderResume, "3", poplar.HeaderAttempt, "2")
	assert.Equal(t, texts(t, rest.Body), "e.1:3 e.1:4 ")
	assert.Equal(t, e.Started(), uint64(1))
	cases := []struct {
		name    string
		headers []string
		status  int
	}{
		{"unknown request", []string{poplar.HeaderRequest, "x", poplar.HeaderResume, "0"}, 404},
		{"older attempt", []string{poplar.HeaderRequest, "r", poplar.HeaderResume, "0", poplar.HeaderAttempt, "1"}, 409},
		{"negative token", []string{poplar.HeaderRequest, "r", poplar.HeaderResume, "-1"}, 400},
		{"bad rank", []string{poplar.HeaderRank, "first"}, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, post(t, e.Address(), "/v1/completions", small, c.headers...).StatusCode, c.status)
		})
	}
}

func TestEngineCancelsAndForgets(t *testing.T) {
	e := start(t, Settings{Name: "e", Step: 5 * time.Millisecond})
	open := post(t, e.Address(), "/v1/completions", strings.Replace(small, "5", "500", 1), poplar.HeaderRequest, "r")
	var used Usage
	answer := post(t, e.Address(), "/v1/cancel", "", poplar.HeaderRequest, "r")
	assert.NilError(t, json.NewDecoder(answer.Body).Decode(&used))
	assert.Equal(t, used.Prompt, 2) // the raw value "hello" has 7 bytes
	assert.Assert(t, used.Completion < 500)
	_, err := io.ReadAll(open.Body)
	assert.ErrorContains(t, err, "EOF")
	assert.Equal(t, post(t, e.Address(), "/v1/cancel", "", poplar.HeaderRequest, "r").StatusCode, 404)
}

func TestEngineCrashesOnMark(t *testing.T) {
	e := start(t, Settings{Name: "e"})
	_, err := client.Post("http://"+e.Address()+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"small","prompt":"`+CrashMark+`"}`))
	assert.ErrorContains(t, err, "EOF")
	_, err = client.Get("http://" + e.Address())
	assert.ErrorContains(t, err, "refused")
}

func TestEngineChecksFences(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		e := start(t, Settings{Name: "e", Fenced: fenced})
		order := func(verb string, fence int) int {
			return post(t, e.Address(), "/v1/orders",
				`{"verb":"`+verb+`","model":"big","number":1,"fence":`+strconv.Itoa(fence)+`}`).StatusCode
		}
		assert.Equal(t, order("load", 7), 204)
		want := 204
		if fenced {
			want = 409
		}
		assert.Equal(t, order("unload", 6), want)
		assert.Equal(t, len(e.Announcement().Models) == 2, fenced)
	}
}

// TestLoadsShareTheStore checks that the store gives one model after the other,
// and that an engine serves a model once it has it.
func TestLoadsShareTheStore(t *testing.T) {
	now := time.Unix(1000, 0)
	store := NewStore(10)
	assert.Equal(t, store.fetch(20, now), now.Add(2*time.Second))
	assert.Equal(t, store.fetch(10, now.Add(time.Second)), now.Add(3*time.Second))
	assert.Equal(t, store.fetch(10, now.Add(9*time.Second)), now.Add(10*time.Second))
	assert.Equal(t, store.Bytes(), 40.0)

	e := start(t, Settings{
		Name: "e", Bare: true, Memory: 2e9, Store: NewStore(1e3),
		Sizes: map[poplar.Model]float64{"soon": 1, "late": 1e9, "huge": 3e9},
	})
	load := func(m string, number int) int {
		return post(t, e.Address(), "/v1/orders", `{"verb":"load","model":"`+m+`","number":`+strconv.Itoa(number)+`}`).StatusCode
	}
	assert.Equal(t, load("huge", 1), 507)
	assert.Equal(t, load("soon", 2), 204)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(e.Announcement().Loaded) == 1 {
			return poll.Success()
		}
		return poll.Continue("not loaded")
	})
	assert.Equal(t, e.Announcement().Loaded[0].Model, poplar.Model("soon"))
	assert.Equal(t, load("late", 3), 204)
	assert.Equal(t, len(e.Announcement().Loaded), 1)
	assert.Equal(t, post(t, e.Address(), "/v1/completions", `{"model":"late","prompt":"x"}`).StatusCode, 404)
}

func TestBatchPreemptsByRank(t *testing.T) {
	b := batch{slots: 2}
	gen := func(id string, rank poplar.Rank) *generation {
		return &generation{id: id, rank: rank, want: 2, wake: make(chan struct{}, 1)}
	}
	for _, g := range []*generation{
		gen("b1", poplar.Bulk), gen("b2", poplar.Bulk), gen("n1", poplar.Normal),
		gen("u1", poplar.Urgent), gen("n2", poplar.Normal), gen("u2", poplar.Urgent),
	} {
		b.add(g)
	}
	var order []string
	now := time.Unix(0, 0)
	for b.busy() {
		for _, g := range b.step(now) {
			if g.done() {
				order = append(order, g.id)
			}
		}
	}
	assert.DeepEqual(t, order, []string{"u1", "u2", "n1", "n2", "b1", "b2"})
}

func TestCacheStaysBounded(t *testing.T) {
	c := newCache(3)
	chain := func(text string) []uint64 { return route.HashBlocks("small", []byte(text)) }
	text := strings.Repeat("a", 2*route.BlockBytes)
	hit, stored, evicted := c.take(chain(text))
	assert.Equal(t, hit, 0)
	assert.Equal(t, len(stored), 2)
	assert.Equal(t, len(evicted), 0)
	hit, stored, evicted = c.take(chain(text + strings.Repeat("b", 2*route.BlockBytes)))
	assert.Equal(t, hit, 2)
	assert.Equal(t, len(stored), 2)
	assert.Equal(t, len(evicted), 1)
	assert.Equal(t, c.free(), 0)
}

func TestStandInsAnnounceReportAndLeave(t *testing.T) {
	seen := make(chan string, 100)
	router := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		seen <- r.URL.Path
	}))
	defer router.Close()
	// The second address never answers; it must not delay the first.
	address := []string{strings.TrimPrefix(router.URL, "http://"), "127.0.0.1:1"}
	s, err := StartService(Settings{Name: "s", Domain: "d", Announce: address})
	assert.NilError(t, err)
	assert.Equal(t, <-seen, pathAnnounce)
	assert.Equal(t, <-seen, pathLoad)
	for run := 1; run <= 2; run++ {
		var got Receipt
		answer := post(t, s.Address(), "/jobs", "{}", poplar.HeaderRequest, "k")
		assert.NilError(t, json.NewDecoder(answer.Body).Decode(&got))
		assert.DeepEqual(t, got, Receipt{Service: "s", Path: "/jobs", Request: "k", Run: run, Bytes: 2})
	}
	s.Leave(context.Background())
	last := ""
	for len(seen) > 0 {
		last = <-seen
	}
	assert.Equal(t, last, pathLeave)
}

// A stand-in says that a router refuses its announcement, and that it takes it
// later, once each.
func TestStandInTellsOfRefusals(t *testing.T) {
	var refuse atomic.Bool
	refuse.Store(true)
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refuse.Load() && r.URL.Path == pathAnnounce {
			http.Error(w, "the credential is missing", http.StatusUnauthorized)
		}
	}))
	defer router.Close()
	told := make(chan error, 10)
	b := newBeacon(Settings{
		Name: "s", Announce: []string{strings.TrimPrefix(router.URL, "http://")}, Told: func(_ string, err error) { told <- err },
	}, poplar.KindService, "127.0.0.1:1", func() poplar.Load { return poplar.Load{} })
	defer b.client.CloseIdleConnections()
	for range 2 {
		b.tell(t.Context(), time.Now())
	}
	assert.ErrorContains(t, <-told, "401 Unauthorized: the credential is missing")
	refuse.Store(false)
	for range 2 {
		b.tell(t.Context(), time.Now())
	}
	assert.NilError(t, <-told)
	assert.Equal(t, len(told), 0)
}
