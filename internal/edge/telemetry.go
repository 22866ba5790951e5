package edge

import (
	"context"
	"expvar"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	oteltrace "go.opentelemetry.io/otel/trace"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/trace"
)

// Every request produces a span, a span for each step, and counters.

// metrics holds the counters of one Edge.
type metrics struct {
	open               *expvar.Int // requests between arrival and response
	done               *expvar.Int // requests served
	tokens             *expvar.Int // completion tokens of complete responses
	resumes            *expvar.Int
	retries            *expvar.Int // failovers to another upstream
	replays            *expvar.Int // responses of earlier attempts
	mismatched         *expvar.Int // dropped events and responses that belong to other requests
	disconnects        *expvar.Int // callers that disconnected
	lateSettlements    *expvar.Int // settlements that were not durable in time
	droppedSettlements *expvar.Int // late settlements that were dropped
	failed             *expvar.Map // by error code
	firstToken         timings     // from arrival to the first token, or to the end of a response that is not streamed
	complete           timings     // from arrival to the end of a served response
}

// timings holds one histogram for each rank.
type timings [poplar.Ranks]*trace.Timing

func newTimings(group *expvar.Map) timings {
	var all timings
	for i := range all {
		all[i] = new(trace.Timing)
		group.Set(poplar.Rank(i).String(), all[i])
	}
	return all
}

func newMetrics(v *trace.Vars) *metrics {
	return &metrics{
		open: v.Count("open"), done: v.Count("done"), tokens: v.Count("tokens"),
		resumes: v.Count("resumes"), retries: v.Count("retries"), replays: v.Count("replays"),
		mismatched: v.Count("crossed"), disconnects: v.Count("left"), lateSettlements: v.Count("late"),
		droppedSettlements: v.Count("lost"), failed: v.Group("failed"),
		firstToken: newTimings(v.Group("first")), complete: newTimings(v.Group("whole")),
	}
}

var traceContext = propagation.TraceContext{}

// startSpan starts the span of one step within the span of the request.
func (c *call) startSpan(name poplar.Step) (context.Context, oteltrace.Span) {
	return c.edge.conf.Tracer.Start(c.ctx, string(name))
}

// endSpan ends a span with the outcome of its step.
func endSpan(span oteltrace.Span, err error) {
	if err != nil && span.IsRecording() {
		span.SetAttributes(attribute.String("poplar.code", string(poplar.CodeOf(err))))
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// startRequestSpan starts the span of a request, in the trace of the caller if
// it sent one.
func (e *Edge) startRequestSpan(r *http.Request) (context.Context, oteltrace.Span) {
	ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return e.conf.Tracer.Start(ctx, "request", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
}

// injectTrace propagates the trace to an upstream.
func injectTrace(ctx context.Context, h http.Header) {
	traceContext.Inject(ctx, propagation.HeaderCarrier(h))
}
