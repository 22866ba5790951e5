package intake

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/fault"
	"poplarbend.example/poplar/internal/loops"
)

// This file holds the HTTP side of the intake.

const (
	maxMessage  = 1 << 20 // bytes
	sweepPeriod = 250 * time.Millisecond
)

var counters = expvar.NewMap("intake")

// Watcher is told what the upstreams say, in order. Its methods must not
// block and must not call the desk.
type Watcher interface {
	// UpstreamRenewed tells of a new or renewed announcement, which lapses at due.
	UpstreamRenewed(n poplar.Announcement, due time.Time)
	// LoadReported tells of a load report that was received at now.
	LoadReported(l poplar.Load, now time.Time)
	// Cached tells of a cache event; gap means that events before it are lost.
	Cached(c poplar.Cached, gap bool)
	// UpstreamGone tells that an upstream gets no new work.
	UpstreamGone(name poplar.Upstream)
}

// Spreader passes on what an upstream told this router to the other routers
// of the domain. Its methods must not block.
type Spreader interface {
	SpreadNotice(n poplar.Announcement)
	SpreadLeave(l poplar.Leave)
	SpreadLoad(l poplar.Load)
}

// Config is what a Desk needs.
type Config struct {
	// Clock is required.
	Clock poplar.Clock
	// Watcher is required.
	Watcher Watcher
	// Policy returns the configuration in force, by which an upstream without a
	// rule is told so; nil tells none.
	Policy func() *conf.Policy
	// Spreader may be nil when there are no other routers.
	Spreader Spreader
	// Gate checks the upstreams' shared key; the zero value lets none pass.
	Gate conf.Gate
	// Log is required.
	Log *log.Logger
}

// Desk serves a book to upstreams. It is safe for concurrent use.
type Desk struct {
	conf   Config
	router *mux.Router

	mu   sync.Mutex
	book *Book // invariant: guarded by mu
}

// NewDesk returns a desk with an empty book. RunSweep must run beside it.
func NewDesk(config Config) *Desk {
	d := &Desk{conf: config, router: mux.NewRouter(), book: NewBook()}
	handle(d, "/v1/announce", d.announce)
	handle(d, "/v1/load", d.load)
	handle(d, "/v1/cache", d.cached)
	handle(d, "/v1/leave", d.leave)
	d.router.NotFoundHandler = http.HandlerFunc(missing)
	d.router.MethodNotAllowedHandler = http.HandlerFunc(missing)
	return d
}

// ServeHTTP implements http.Handler for the upstreams' listener.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) { d.router.ServeHTTP(w, r) }

func missing(w http.ResponseWriter, r *http.Request) {
	fault.Write(w, poplar.Failf(poplar.StepParse, poplar.CodeMissing,
		"%s is not a route of the intake", r.Method).Ran(poplar.RunNo))
}

// handle serves the messages of one type at path.
func handle[M any](d *Desk, path string, take func(M) error) {
	d.router.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		counters.Add(path, 1)
		if err := d.admit(r); err != nil {
			fault.Write(w, err)
			return
		}
		message, err := decode[M](http.MaxBytesReader(w, r.Body, maxMessage))
		if err == nil {
			err = take(message)
		}
		if err != nil {
			counters.Add("refused", 1)
			d.conf.Log.Warn("message refused", "path", path, "from", r.RemoteAddr, "err", err)
			fault.Write(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
}

// admit checks the upstreams' shared key.
func (d *Desk) admit(r *http.Request) error {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if d.conf.Gate.Admits(key) {
		return nil
	}
	return poplar.Failf(poplar.StepAuth, poplar.CodeAuth, "upstreams need the shared key").Ran(poplar.RunNo)
}

// decode reads one message and nothing after it.
func decode[M any](r io.Reader) (M, error) {
	var message M
	in := json.NewDecoder(r)
	err := in.Decode(&message)
	if err == nil && in.More() {
		err = errors.New("there is more than one message")
	}
	if err == nil {
		return message, nil
	}
	code := poplar.CodeInvalid
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		code = poplar.CodeLarge
	}
	return message, poplar.Fail(poplar.StepParse, code, err).Ran(poplar.RunNo)
}

func (d *Desk) announce(n poplar.Announcement) error {
	fresh, err := d.Announce(n)
	if fresh && d.conf.Spreader != nil {
		d.conf.Spreader.SpreadNotice(n)
	}
	return err
}

func (d *Desk) leave(l poplar.Leave) error {
	if _, err := d.Leave(l); err != nil {
		return err
	}
	if d.conf.Spreader != nil {
		d.conf.Spreader.SpreadLeave(l)
	}
	return nil
}

func (d *Desk) load(l poplar.Load) error {
	fresh, err := d.Load(l)
	if fresh && d.conf.Spreader != nil {
		d.conf.Spreader.SpreadLoad(l)
	}
	return err
}

// Announce takes an announcement, from the upstream itself or as another
// router has spread it, and reports whether it was news.
func (d *Desk) Announce(n poplar.Announcement) (bool, error) {
	now := d.conf.Clock.Now()
	if d.conf.Policy != nil {
		if _, err := permitted(d.conf.Policy(), n); err != nil {
			return false, err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh, err := d.book.Announce(n, now)
	if fresh {
		d.conf.Watcher.UpstreamRenewed(n, now.Add(RenewWithin))
	}
	return fresh, err
}

// Leave takes a leave, from the upstream itself or as another router has
// spread it, and reports whether it was news.
func (d *Desk) Leave(l poplar.Leave) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh, err := d.book.Leave(l, d.conf.Clock.Now())
	if fresh {
		d.conf.Watcher.UpstreamGone(l.Upstream)
		d.conf.Log.Info("upstream leaves", "upstream", l.Upstream)
	}
	return fresh, err
}

// Load takes a load report and reports whether it was news.
func (d *Desk) Load(l poplar.Load) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh, err := d.book.Load(l)
	if fresh {
		d.conf.Watcher.LoadReported(l, d.conf.Clock.Now())
	}
	return fresh, err
}

func (d *Desk) cached(c poplar.Cached) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	gap, fresh, err := d.book.Cached(c)
	if fresh {
		d.conf.Watcher.Cached(c, gap)
	}
	return err
}

// RunSweep drops what was not renewed, until ctx is done.
func (d *Desk) RunSweep(ctx context.Context) {
	loops.Tick(ctx, sweepPeriod, nil, func(context.Context) { d.sweep(d.conf.Clock.Now()) })
}

func (d *Desk) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.book.Lapse(now) {
		d.conf.Watcher.UpstreamGone(name)
		d.conf.Log.Warn("upstream lapsed", "upstream", name)
	}
}

// Len returns the number of upstreams that may get new work.
func (d *Desk) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Len()
}
