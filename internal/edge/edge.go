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
	"poplarbend.example/poplar/internal/caller"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/fault"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/memory"
	"poplarbend.example/poplar/pkg/poison"
)

// An Edge runs the request path as an HTTP handler.

// Roster provides the current snapshot of the upstreams.
type Roster interface {
	View() *intake.View
	// Obey makes the roster check announcements against the rules of the current
	// policy on what upstreams may serve.
	Obey(policy func() *conf.Policy)
}

var _ Roster = (*intake.Roster)(nil)

// Config configures an Edge.
type Config struct {
	// Daemon and Domain name this router and its failure domain.
	Daemon poplar.Daemon
	Domain poplar.Domain
	// Policy returns the configuration in force, or nil before the first one.
	Policy func() *conf.Policy
	// Ledger is the ledger of the failure domain of this router.
	Ledger poplar.Ledger
	// Roster provides the upstreams.
	Roster Roster
	// Gate admits requests. If it is nil, the Edge creates one gate for each
	// model and service.
	Gate Gate
	// Routers returns the number of live daemons that send to the same upstreams,
	// this one included. If it is nil, the number is 1.
	Routers func() int
	// PublishCrashRecords passes records of requests that crash upstreams on to the
	// other routers. It must not block. It may be nil.
	PublishCrashRecords func([]poison.Record)
	// Vars publishes the counters. If it is nil, they are not published.
	Vars *trace.Vars
	// Clock provides the time.
	Clock poplar.Clock
	// Tracer starts the spans.
	Tracer oteltrace.Tracer
	// Log receives one line for each request.
	Log *log.Logger
	// Limits bounds the resources that callers can use. The zero value selects
	// the defaults.
	Limits conf.Limits
	// Bounds limits how long the router waits and how much it buffers.
	Bounds Bounds
}

// Edge is the HTTP handler of the listener for callers. It is safe for
// concurrent use.
type Edge struct {
	conf      Config
	router    *mux.Router
	pooled    *http.Transport // for idempotent requests
	singleUse *http.Transport // for other requests: each has a connection of its own
	open      atomic.Int64    // invariant: number of requests between arrival and response
	closeAt   atomic.Int64    // Unix nanoseconds from which new work is refused; 0 unless draining
	aborted   context.Context // done once open requests must end
	abort     context.CancelCauseFunc
	backlog   settlementBacklog
	pools     *pools // nil if Config.Gate was set
	retries   *retryBudgets
	crashes   *crashTracker
	responses *memory.Limit // of what is kept of responses, by upstream
	bodies    *memory.Limit // of the bodies of open requests, by workspace
	metrics   *metrics
}

// New returns a handler. The caller must also start Run.
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
	e := &Edge{router: mux.NewRouter(), retries: newRetryBudgets(), crashes: newCrashTracker(config.PublishCrashRecords)}
	if config.Gate == nil {
		e.pools = newPools(config.Clock, config.Roster, config.Routers)
		e.pools.policy = config.Policy()
		config.Gate = e.pools
	}
	config.Roster.Obey(config.Policy)
	e.conf, e.metrics = config, newMetrics(config.Vars)
	e.responses = memory.NewLimit(config.Bounds.MaxBufferedBytes)
	e.bodies = memory.NewLimit(max(config.Bounds.MaxRequestBytes, 2*config.Limits.Body))
	config.Vars.Func("bodies", func() any { return e.bodies.Used() })
	config.Vars.Func("buffered", func() any { return e.responses.Used() })
	config.Vars.Func("evicted", func() any { return e.responses.Evicted() })
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

// Server returns an HTTP server for the callers' listener that applies the
// limits.
func (e *Edge) Server() *http.Server {
	l := e.conf.Limits
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       l.Idle,
		MaxHeaderBytes:    l.Header,
		ConnContext:       caller.ConnContext,
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	fault.Write(w, poplar.Failf(poplar.StepParse, poplar.CodeMissing,
		"no such route for method %s", r.Method).Ran(poplar.RunNo))
}

// newTransport returns an HTTP transport. With singleUse it never reuses a
// connection, because net/http may resend a request whose connection was closed
// while idle.
func newTransport(singleUse bool) *http.Transport {
	return &http.Transport{
		DisableCompression:     true,
		DisableKeepAlives:      singleUse,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		WriteBufferSize:        bufferBytes,
		ReadBufferSize:         bufferBytes,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DialContext:            dial,
	}
}

const (
	maxIdleConns        = 8192
	maxIdleConnsPerHost = 512
	idleConnTimeout     = 60 * time.Second
	bufferBytes         = 4 << 10
	// maxResponseHeaderBytes is the maximum size of the header of a response.
	maxResponseHeaderBytes = 32 << 10
	dialTimeout            = time.Second
)
