package main

import (
	"bytes"
	"context"
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

// This file holds the engines of both services.

// Headers of the platform.
const (
	headerAttempt = "Poplarbend-Attempt-Id"
	headerSeal    = "Poplarbend-Response-Seal"
	headerUnrun   = "Poplarbend-Not-Executed"
	headerExpect  = "Poplarbend-Expect-Instance"
	headerUsage   = "Poplarbend-Token-Usage"
	headerPrefix  = "Poplarbend-Prefix-Hash"
	headerAfter   = "Last-Event-Id"
	headerLeft    = "Poplarbend-Deadline-Ms"
)

// poisonMark is in the body of a request that crashes each engine that begins to run it.
const poisonMark = "crashes the engine"

// stride is the number of tokens in an event.
const stride = 6

// beatTime is the time between two heartbeats.
const beatTime = 1200 * time.Millisecond

// engine is an engine of a service. Its address stays the same over restarts.
type engine struct {
	rig      *rig
	service  string
	at       string
	controls []string
	pause    time.Duration // between events
	prefill  time.Duration // until the answer begins
	poison   int           // events after which a poisonous request crashes the engine
	leaving  bool          // true once the engine says in its answers that it leaves

	mu       sync.Mutex
	id       string // of the present incarnation
	starts   int
	born     int64
	sequence int
	up       bool
	server   *http.Server
	conns    map[net.Conn]struct{}
	stop     context.CancelFunc
	runs     []string // attempt ids of the requests that ran
	crashes  []time.Time
}

// engine starts an engine.
func (r *rig) engine(service string, controls []*machine, pause time.Duration, poison int) (*engine, error) {
	e := &engine{rig: r, service: service, at: fmt.Sprintf("%s:%d", r.address(), portEngine), pause: pause, poison: poison}
	for _, m := range controls {
		e.controls = append(e.controls, m.at(portControl))
	}
	r.mu.Lock()
	r.engines = append(r.engines, e)
	r.mu.Unlock()
	return e, e.start()
}

// start starts a new incarnation.
func (e *engine) start() error {
	l, err := net.Listen("tcp4", e.at)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(strings.TrimSuffix(e.at, fmt.Sprint(":", portEngine)), ".", ""), e.starts)
	e.born, e.sequence, e.up = time.Now().UnixMilli(), 0, true
	e.conns = map[net.Conn]struct{}{}
	e.server = &http.Server{Handler: e, ConnState: e.noteConn}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	go e.loop(ctx)
	return nil
}

func (e *engine) noteConn(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// crash ends the incarnation: its port is closed and its connections are reset.
func (e *engine) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	e.crashes = append(e.crashes, time.Now())
	server, stop := e.server, e.stop
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	e.mu.Unlock()
	stop()
	_ = server.Close()
}

// loop sends heartbeats to one daemon, and to the next one after a failure.
func (e *engine) loop(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	tick := time.NewTicker(beatTime)
	defer tick.Stop()
	for next := 0; ctx.Err() == nil; {
		for range e.controls {
			if e.beat(ctx, client, e.controls[next%len(e.controls)]) {
				break
			}
			next++
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

func (e *engine) beat(ctx context.Context, client *http.Client, at string) bool {
	return e.send(ctx, client, at, e.nextBeat())
}

// nextBeat returns the next heartbeat.
func (e *engine) nextBeat() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	body, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.at, "zone": "zone-1", "version": "v1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
		"phase": "both", "sequence": e.sequence, "born": e.born,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// send sends a heartbeat to a daemon and reports whether it was acknowledged.
func (e *engine) send(ctx context.Context, client *http.Client, at string, body []byte) bool {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/api/Instances.Heartbeat/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode/100 == 2
}

// ServeHTTP runs a request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerAttempt)
	e.mu.Lock()
	self, leaving := e.id, e.leaving
	e.mu.Unlock()
	h := w.Header()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	h.Set(headerAttempt, id)
	h.Set("Keep-Alive", "timeout=15")
	h.Set("Poplarbend-Instance-Load", "1,0,64")
	if expected := r.Header.Get(headerExpect); expected != "" && expected != self {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.runs = append(e.runs, id)
	e.mu.Unlock()
	e.rig.note("%s runs %s, %s ms left", self, id, r.Header.Get(headerLeft))
	h.Set(headerSeal, "3e1b."+self+"."+id)
	time.Sleep(e.prefill)
	usage := r.Header.Get(headerUsage)
	if usage == "" {
		w.Write([]byte("done " + id))
		return
	}
	if strings.HasPrefix(r.URL.Path, pathWhole) {
		w.Write([]byte(wholeAnswer(usage)))
		return
	}
	e.stream(w, r, usage, strings.Contains(string(body), poisonMark))
}

// stream sends the events of an answer.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, usage string, poisonous bool) {
	_, most, _ := strings.Cut(usage, ",")
	output, _ := strconv.Atoi(most)
	first, _ := strconv.Atoi(r.Header.Get(headerAfter))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	sent := 0
	for i := first + 1; i <= (output+stride-1)/stride; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.pause):
		}
		if poisonous && sent >= e.poison {
			e.rig.note("%s crashes on %s after %d events", e.at, r.Header.Get(headerAttempt), sent)
			e.crash()
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, r.Header.Get(headerAttempt))
		if flush.Flush() != nil {
			return
		}
		sent++
	}
}

// wholeAnswer returns an answer of the most tokens that the usage allows.
func wholeAnswer(usage string) string {
	_, most, _ := strings.Cut(usage, ",")
	output, _ := strconv.Atoi(most)
	return strings.Repeat("token ", output)
}
