package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	oteltrace "go.opentelemetry.io/otel/trace"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/fault"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/poison"
)

// This file holds the handler and what it is made of.

// Roster offers the present snapshot of the upstreams.
type Roster interface {
	View() *intake.View
	// Obey makes the rules of the policy say what upstreams may serve.
	Obey(policy func() *conf.Policy)
}

var _ Roster = (*intake.Roster)(nil)

// Config is what an Edge needs.
type Config struct {
	// Daemon and Domain name this router.
	Daemon poplar.Daemon
	Domain poplar.Domain
	// Policy returns the configuration in force, or nil before the first one.
	Policy func() *conf.Policy
	// Ledger is the ledger of the router's domain.
	Ledger poplar.Ledger
	// Roster offers the upstreams.
	Roster Roster
	// Gate admits requests; nil stands for gates of the Edge's own, one for
	// each model and service.
	Gate Gate
	// Routers returns the live daemons that send to the same upstreams, this
	// one included; nil means one.
	Routers func() int
	// Spread passes on what the router learned of requests that crash
	// upstreams; it may be nil and must not block.
	Spread func([]poison.Record)
	// Vars takes the counters; nil keeps them unseen.
	Vars *trace.Vars
	// Clock tells the time.
	Clock poplar.Clock
	// Tracer starts the spans.
	Tracer oteltrace.Tracer
	// Log takes one line for each request.
	Log *log.Logger
	// Limits bounds what a caller may hold; the zero value takes the defaults.
	Limits conf.Limits
	// Bounds limits what the router waits for and keeps.
	Bounds Bounds
}

// Edge is the handler of the callers' listener. It is safe for concurrent use.
type Edge struct {
	conf      Config
	router    *mux.Router
	pooled    *http.Transport // for calls that may be repeated
	singleUse *http.Transport // for calls that may not: each has its own connection
	open      atomic.Int64    // invariant: requests between arrival and answer
	closeAt   atomic.Int64    // Unix nanoseconds from which no new work is taken; 0 while not draining
	aborted   context.Context // done once open requests must end
	abort     context.CancelCauseFunc
	backlog   settlementBacklog
	pools     *pools // nil when the gate was given
	retries   *retryBudgets
	crashes   *crashTracker
	metrics   *metrics
}

// New returns a handler. Run must run beside it.
func New(config Config) *Edge {
	if config.Limits.Body == 0 {
		config.Limits = defaultLimits
	}
	config.Bounds = config.Bounds.withDefaults()
	if config.Vars == nil {
		config.Vars = trace.NewVars()
	}
	if config.Routers == nil {
		config.Routers = func() int { return 1 }
	}
	e := &Edge{router: mux.NewRouter(), retries: newRetryBudgets(), crashes: newCrashTracker(config.Spread)}
	if config.Gate == nil {
		e.pools = newPools(config.Clock, config.Roster, config.Routers)
		e.pools.policy = config.Policy()
		config.Gate = e.pools
	}
	config.Roster.Obey(config.Policy)
	e.conf, e.metrics = config, newMetrics(config.Vars)
	e.aborted, e.abort = context.WithCancelCause(context.Background())
	e.backlog.wake = make(chan struct{}, 1)
	e.pooled = newTransport(false)
	e.singleUse = newTransport(true)
	e.routes()
	return e
}

func (e *Edge) routes() {
	r := e.router
	r.SkipClean(true)
	r.UseEncodedPath()
	r.HandleFunc("/healthz/live", e.live).Methods(http.MethodGet)
	r.HandleFunc("/healthz/ready", e.ready).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", e.models).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.completions).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.completions).Methods(http.MethodPost)
	r.PathPrefix("/svc/{service}").HandlerFunc(e.services)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(notFound)
}

// ServeHTTP implements http.Handler.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Server returns an HTTP server for the callers' listener with the bounds of
// the limits.
func (e *Edge) Server() *http.Server {
	l := e.conf.Limits
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       l.Idle,
		MaxHeaderBytes:    l.Header,
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	fault.Write(w, poplar.Failf(poplar.StepParse, poplar.CodeMissing,
		"there is no such route for %s", r.Method).Ran(poplar.RunNo))
}

// newTransport returns an HTTP client side that never repeats a request by
// itself.
func newTransport(once bool) *http.Transport {
	return &http.Transport{
		DisableCompression:  true,
		DisableKeepAlives:   once,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		WriteBufferSize:     bufferBytes,
		ReadBufferSize:      bufferBytes,
		DialContext:         dial,
	}
}

const (
	maxIdle        = 8192
	maxIdlePerHost = 512
	idleTimeout    = 60 * time.Second
	bufferBytes    = 4 << 10
	dialTimeout    = time.Second
)
