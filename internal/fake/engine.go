package fake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/route"
)

// This file holds the engine: its life, its decoding loop and its table of
// generations.

// errUnknown means that a resume names no kept generation.
var errUnknown = errors.New("no such generation")

// errStale means that a later attempt of the request was seen.
var errStale = errors.New("a later attempt holds the generation")

// Engine is a stand-in for a model engine.
type Engine struct {
	set    Settings
	beacon *beacon
	host   *host
	work   chan struct{} // invariant: capacity 1; a hint that the batch is busy

	mu    sync.Mutex
	batch batch                  // invariant: guarded by mu
	cache *cache                 // invariant: guarded by mu
	byID  map[string]*generation // invariant: guarded by mu
	left  []*generation          // invariant: guarded by mu; by the time at which the last reader left
	count uint64                 // invariant: guarded by mu; generations started
	shelf *shelf                 // invariant: guarded by mu
	total poplar.Tokens          // invariant: guarded by mu; tokens generated
}

// StartEngine listens, announces itself and serves until Stop, Leave or Kill.
func StartEngine(set Settings) (*Engine, error) {
	set = set.filled()
	e := &Engine{
		set:   set,
		work:  make(chan struct{}, 1),
		batch: batch{slots: set.Slots},
		cache: newCache(set.Blocks),
		byID:  map[string]*generation{},
		shelf: newShelf(set),
	}
	h, err := listen(set.Listen, e.routes())
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", set.Name, err)
	}
	e.host = h
	e.beacon = newBeacon(set, poplar.KindEngine, h.address(), e.load)
	e.beacon.serve(e.shelf.models(), e.shelf.loaded(), e.shelf.role)
	h.wait.Add(1)
	go e.runSteps()
	h.wait.Add(1)
	go e.runBeacon()
	return e, nil
}

// Address returns the host and port that the engine serves.
func (e *Engine) Address() string { return e.host.address() }

// Announcement returns the announcement of the engine.
func (e *Engine) Announcement() poplar.Announcement { return e.beacon.notice() }

// Total returns the tokens that were generated.
func (e *Engine) Total() poplar.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// Started returns the generations that were started.
func (e *Engine) Started() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count
}

// Leave announces that the engine takes no new work, waits until ctx is done
// for open streams, and stops.
func (e *Engine) Leave(ctx context.Context) {
	e.beacon.leave(ctx)
	e.host.drain(ctx)
	e.Kill()
}

// Kill stops at once; open streams break. It returns when no goroutine of the
// engine is left.
func (e *Engine) Kill() { e.host.kill() }

func (e *Engine) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/cancel", e.cancel).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	return r
}

func (e *Engine) runBeacon() {
	defer e.host.wait.Done()
	e.beacon.run(e.host.ctx)
}

// runSteps decodes while there is work.
func (e *Engine) runSteps() {
	defer e.host.wait.Done()
	for {
		busy := e.step(time.Now())
		if busy && e.set.Step == 0 {
			continue
		}
		pause := time.NewTimer(max(e.set.Step, time.Millisecond))
		if !busy {
			pause.Reset(time.Second)
		}
		select {
		case <-e.host.ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		case <-e.idle(busy):
			pause.Stop()
		}
	}
}

// idle returns the hint of new work when the batch is empty. A busy batch
// keeps its pace.
func (e *Engine) idle(busy bool) <-chan struct{} {
	if busy {
		return nil
	}
	return e.work
}

func (e *Engine) step(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.batch.step(now) {
		e.total++
		g.hint()
	}
	e.expire(now)
	return e.batch.busy()
}

// expire forgets the generations that nobody reads any more. All linger for the
// same time, so those that were left first expire first.
func (e *Engine) expire(now time.Time) {
	for len(e.left) > 0 {
		g := e.left[0]
		switch {
		case g.expiry.IsZero() || e.byID[g.id] != g:
		case now.After(g.expiry):
			e.batch.drop(g)
			delete(e.byID, g.id)
		default:
			return
		}
		e.left = e.left[1:]
	}
}

// open starts the generation that ask describes, or joins the one with its id.
func (e *Engine) open(ask ask, now time.Time) (*generation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ask.id == "" {
		ask.id = fmt.Sprintf("%s.%d", e.set.Name, e.count+1) // nobody can resume it
	}
	g := e.byID[ask.id]
	if g != nil && ask.attempt < g.attempt {
		return nil, errStale
	}
	if g != nil && ask.resume {
		g.attempt = ask.attempt
		g.readers++
		g.expiry = time.Time{}
		g.hint()
		return g, nil
	}
	if ask.resume {
		return nil, errUnknown
	}
	if g != nil {
		g.over = true
		e.batch.drop(g)
		g.hint()
	}
	e.count++
	chain := route.HashBlocks(ask.body.Model, []byte(ask.prompt))
	hit, stored, evicted := e.cache.take(chain)
	e.beacon.changed(stored, evicted, now)
	g = &generation{
		id: ask.id, attempt: ask.attempt, rank: ask.rank, model: ask.body.Model, chat: ask.chat,
		nonce:  fmt.Sprintf("%s.%d", e.set.Name, e.count),
		prompt: promptTokens(ask.prompt),
		want:   e.set.length(ask),
		ready:  now.Add(time.Duration(len(chain)-hit) * e.set.Prefill),
		wake:   make(chan struct{}, 1),

		readers: 1,
	}
	e.byID[ask.id] = g
	e.batch.add(g)
	select {
	case e.work <- struct{}{}:
	default:
	}
	return g, nil
}

// look returns how many tokens g has, whether it is complete, and whether the
// given attempt still holds it.
func (e *Engine) look(g *generation, attempt poplar.Attempt) (made int, done, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.made, g.done(), g.attempt == attempt && !g.over
}

// close detaches the reader of an attempt from g.
func (e *Engine) close(g *generation, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	if g.readers > 0 {
		return
	}
	g.expiry = now.Add(e.set.Linger)
	e.left = append(e.left, g)
	if e.set.NoResume && e.byID[g.id] == g {
		e.batch.drop(g)
		delete(e.byID, g.id)
	}
}

// stop cancels the generation with the given id and returns its tokens.
func (e *Engine) stop(id string, attempt poplar.Attempt) (prompt, made int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.byID[id]
	if g == nil {
		return 0, 0, errUnknown
	}
	if attempt < g.attempt {
		return 0, 0, errStale
	}
	g.over = true
	e.batch.drop(g)
	delete(e.byID, id)
	g.hint()
	return g.prompt, g.made, nil
}

func (e *Engine) load() poplar.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := poplar.Load{Free: e.cache.free()}
	for _, g := range e.batch.running {
		l.Running[g.rank]++
	}
	for _, g := range e.batch.waiting {
		l.Waiting[g.rank]++
		if g.made == 0 {
			l.PendingPrefill += poplar.Tokens(g.prompt)
		}
	}
	return l
}

// host is the listener of a stand-in.
type host struct {
	server *http.Server
	bound  net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func listen(address string, handler http.Handler) (*host, error) {
	bound, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{bound: bound, ctx: ctx, cancel: cancel}
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	h.wait.Add(1)
	go h.runServe()
	return h, nil
}

func (h *host) address() string { return h.bound.Addr().String() }

func (h *host) runServe() {
	defer h.wait.Done()
	// Serve always returns an error; after a close it is the expected one.
	_ = h.server.Serve(h.bound)
}

func (h *host) drain(ctx context.Context) {
	// When ctx ends first, the open streams are broken by kill.
	_ = h.server.Shutdown(ctx)
}

func (h *host) kill() {
	h.cancel()
	// Close fails only for a listener that is closed already.
	_ = h.server.Close()
	h.wait.Wait()
}
