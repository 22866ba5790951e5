package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// An engine stands in for a model engine, by the users' pages: it announces itself,
// reads a prompt, and streams events. With a deadly part in a prompt it crashes as
// it begins to write the answer, and is back some seconds later as a new
// incarnation with another id.

const (
	beatPeriod   = 1200 * time.Millisecond
	downTime     = 3 * time.Second // from a crash to the next start
	promptPerMs  = 61.2            // prompt tokens read in a millisecond
	eventTokens  = 6               // tokens in one event
	eventTime    = 20 * time.Millisecond
	engineSlots  = 64
	serviceModel = "model-service"
)

// engineSet is what all engines of a run share.
type engineSet struct {
	record *record
	fleet  *fleet
	deadly string // name of the part that crashes engines
	spoilt int    // number of engines that stop inside an event of some answers
	nextID atomic.Int64

	mu      sync.Mutex
	crashes []time.Time // invariant: guarded by mu; ascending
	deadlyA []time.Time // invariant: guarded by mu; arrivals of requests with the deadly part
	broken  int         // invariant: guarded by mu; runs without the deadly part that a crash broke off
}

// engine is one place for an engine, with one incarnation at a time.
type engine struct {
	set     *engineSet
	index   int
	address string
	stop    chan struct{}

	mu       sync.Mutex
	id       string           // invariant: guarded by mu, as are the others
	born     int64            // Unix milliseconds
	sequence int              // announcements of the incarnation
	server   *http.Server     // nil while the engine is down
	conns    map[net.Conn]int // open connections
	running  int
	answers  int // answers that were begun
	control  int // index of the control daemon that took the last announcement
}

func (s *engineSet) add(index int) (*engine, error) {
	ip := fmt.Sprintf("127.0.3.%d", index+1)
	free, err := freePorts(ip, 1)
	if err != nil {
		return nil, err
	}
	e := &engine{set: s, index: index, address: fmt.Sprintf("%s:%d", ip, free[0]), stop: make(chan struct{}), control: index}
	if err := e.up(); err != nil {
		return nil, err
	}
	go e.loop()
	return e, nil
}

// up starts a new incarnation.
func (e *engine) up() error {
	l, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.id = fmt.Sprintf("i-%04d", e.set.nextID.Add(1))
	e.born, e.sequence, e.running = time.Now().UnixMilli(), 0, 0
	e.conns = map[net.Conn]int{}
	e.server = &http.Server{Handler: e, ConnState: e.noteConn, ReadHeaderTimeout: time.Minute}
	go e.run(e.server, l)
	e.set.record.note("engine", "%s starts at %s", e.id, e.address)
	return nil
}

func (e *engine) run(s *http.Server, l net.Listener) { _ = s.Serve(l) }

func (e *engine) noteConn(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = 0
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// crash ends the incarnation: its port refuses and its connections are reset.
func (e *engine) crash(id, request string) {
	e.mu.Lock()
	if e.id != id || e.server == nil {
		e.mu.Unlock()
		return
	}
	server, conns, lost := e.server, e.conns, e.running-1
	e.server, e.conns = nil, map[net.Conn]int{}
	e.mu.Unlock()
	e.set.record.note("engine", "%s crashes as it begins to answer %s, %d other runs are lost", id, request, lost)
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	e.set.mu.Lock()
	e.set.crashes = append(e.set.crashes, time.Now())
	e.set.broken += lost
	e.set.mu.Unlock()
	time.AfterFunc(downTime, func() {
		if err := e.up(); err != nil {
			e.set.record.note("engine", "cannot start again: %v", err)
			return
		}
		e.announce()
	})
}

func (e *engine) loop() {
	tick := time.NewTicker(beatPeriod)
	defer tick.Stop()
	for {
		e.announce()
		select {
		case <-e.stop:
			return
		case <-tick.C:
		}
	}
}

// announce sends one announcement, to the next control daemon if one fails.
func (e *engine) announce() {
	e.mu.Lock()
	if e.server == nil {
		e.mu.Unlock()
		return
	}
	e.sequence++
	id := e.id
	body, err := json.Marshal(map[string]any{
		"service": serviceModel, "address": e.address, "zone": "zone-1", "version": "v1", "slots": engineSlots, "state": "ready",
		"coldRemainingMs": 0, "phase": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"sequence": e.sequence, "born": e.born,
	})
	e.mu.Unlock()
	if err != nil {
		return
	}
	cores := e.set.fleet.cores
	for range cores {
		if status := cores[e.control%len(cores)].post("/api/Instances.Heartbeat/"+id, body); status/100 == 2 {
			return
		}
		e.control++
	}
}

func (e *engine) begin() (id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	return e.id
}

// load returns the number of running requests.
func (e *engine) load() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *engine) done(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.id == id {
		e.running--
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := e.begin()
	defer e.done(id)
	h := w.Header()
	request := r.Header.Get("Poplarbend-Attempt-Id")
	h.Set("Poplarbend-Attempt-Id", request)
	h.Set("Poplarbend-Instance", id)
	if r.URL.Path == "/healthz" {
		return
	}
	if want := r.Header.Get("Poplarbend-Expect-Instance"); want != "" && want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, output := usage(r)
	deadly := slices.ContainsFunc(strings.Split(r.Header.Get("Poplarbend-Prefix-Hash"), ","), func(part string) bool {
		return strings.HasPrefix(part, e.set.deadly+":")
	})
	e.set.record.note("engine", "%s gets %s, deadly=%t", id, request, deadly)
	if deadly {
		e.set.mu.Lock()
		e.set.deadlyA = append(e.set.deadlyA, time.Now())
		e.set.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r))
	defer cancel()
	if !pause(ctx, time.Duration(float64(prompt)/promptPerMs*float64(time.Millisecond))) {
		return
	}
	if deadly {
		e.crash(id, request)
		return
	}
	h.Set("Poplarbend-Response-Seal", "seal."+id+"."+request)
	h.Set("Poplarbend-Instance-Load", fmt.Sprintf("%d,0,%d", e.load(), engineSlots))
	h.Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.stream(ctx, w, request, after, (output+eventTokens-1)/eventTokens)
}

// spoiltEvery is the number of answers of a spoilt engine of which one stops inside an
// event.
const spoiltEvery = 51

// stops reports whether the answer that begins stops inside an event.
func (e *engine) stops() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	return e.index < e.set.spoilt && e.answers%spoiltEvery == 0
}

// stream writes the events of an answer that follow the given one.
func (e *engine) stream(ctx context.Context, w http.ResponseWriter, request string, after, events int) {
	control := http.NewResponseController(w)
	stops := e.stops()
	for i := after + 1; i <= events; i++ {
		if i > after+1 && !pause(ctx, eventTime) {
			panic(http.ErrAbortHandler)
		}
		if stops && i == events/2 {
			e.set.record.note("engine", "stops inside event %d of %d of %s", i, events, request)
			fmt.Fprintf(w, "id: %d\ndata: six", i)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: six tokens\n\n", i)
		if control.Flush() != nil {
			return
		}
	}
}

// usage returns the tokens of the prompt and the most tokens of the answer.
func usage(r *http.Request) (prompt, output int) {
	in, out, _ := strings.Cut(r.Header.Get("Poplarbend-Token-Usage"), ",")
	prompt, _ = strconv.Atoi(in)
	output, _ = strconv.Atoi(out)
	return prompt, output
}

// deadline returns the time for which the caller waits.
func deadline(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("Poplarbend-Deadline-Ms"))
	if err != nil {
		ms = 15000
	}
	return time.Duration(ms) * time.Millisecond
}

// pause waits and reports whether ctx is still active.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
