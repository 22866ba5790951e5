package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stride is the number of tokens in one event of a stream.
const stride = 6

// plainBytes is the size of an answer of a plain service.
const plainBytes = 800

// engine is a stand-in for a sound engine: it answers each request that names it.
type engine struct {
	rig     *rig
	id      string
	service string
	address string
	zone    string
	slots   int
	born    int64
	event   string        // the data of one event
	gap     time.Duration // between two events
	work    time.Duration // before the answer
	// handler answers the requests that run, if it is set.
	handler func(w http.ResponseWriter, r *http.Request, id string, body []byte)
	// poison crashes the engine and reports true for some requests, if it is set.
	poison func(w http.ResponseWriter, r *http.Request, e *engine) bool
	down   bool
	starts int

	server *http.Server
	done   chan struct{}

	mu       sync.Mutex
	sequence int
	running  int
}

func newEngine(r *rig, number int, service string) *engine {
	e := &engine{
		rig: r, id: fmt.Sprintf("i-%s-%d", service, number), service: service, address: r.at(40+number, r.ports.engine),
		zone: fmt.Sprintf("zone-%d", 1+number%3), slots: 64, event: "token", done: make(chan struct{}),
	}
	r.engines = append(r.engines, e)
	return e
}

// begin listens and announces the engine until it is closed.
func (e *engine) begin() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.born = time.Now().UnixMilli()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go e.run(l)
	go e.loop(e.done)
	return nil
}

func (e *engine) run(l net.Listener) { _ = e.server.Serve(l) }

func (e *engine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.down {
		return
	}
	e.down = true
	close(e.done)
	_ = e.server.Close()
}

// loop announces the engine to one control daemon after the other until one acknowledges.
func (e *engine) loop(done chan struct{}) {
	for turn := 0; ; {
		for range 3 {
			if e.announce(e.rig.seeds()[turn%3]) == http.StatusOK {
				break
			}
			turn++
		}
		select {
		case <-done:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (e *engine) announce(to string) int {
	e.mu.Lock()
	e.sequence++
	beat := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": e.sequence, "born": e.born, "phase": "both",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	}
	e.mu.Unlock()
	body, err := json.Marshal(beat)
	if err != nil {
		return 0
	}
	return e.rig.post(to, "/api/Instances.Heartbeat/"+e.id, body)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Poplarbend-Attempt-Id")
	h.Set("Poplarbend-Attempt-Id", id)
	if r.Header.Get("Poplarbend-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.running++
	running := e.running
	e.mu.Unlock()
	e.rig.noteRequest("%s runs %s (%s, tokens %q, body of %d bytes)", e.id, id, r.URL.Path, r.Header.Get("Poplarbend-Token-Usage"), len(body))
	h.Set("Poplarbend-Instance-Load", fmt.Sprintf("%d,0,%d", running, e.slots))
	h.Set("Poplarbend-Response-Seal", "seal."+e.id+"."+id)
	defer e.end()
	if e.poison != nil && e.poison(w, r, e) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(e.work)
	if e.handler != nil {
		e.handler(w, r, id, body)
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/stream") {
		size, err := strconv.Atoi(r.URL.Query().Get("size"))
		if err != nil {
			size = plainBytes
		}
		if _, err := io.WriteString(w, strings.Repeat("x", size)); err == nil {
			e.finish(id)
		}
		return
	}
	e.stream(w, r, id)
}

// stream sends the events of a run.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	_, most, _ := strings.Cut(r.Header.Get("Poplarbend-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(strings.TrimSpace(most))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := after + 1; n <= events(tokens); n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.event); err != nil || flush.Flush() != nil {
			e.rig.note("%s: the reader of %s has left at event %d", e.id, id, n)
			return
		}
		time.Sleep(e.gap)
	}
	e.finish(id)
}

// events returns the number of events for the given number of output tokens.
func events(tokens int) int { return (tokens + stride - 1) / stride }

func (e *engine) finish(id string) {
	e.rig.noteRequest("%s has made the whole answer to %s", e.id, id)
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
