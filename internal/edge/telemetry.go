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

// This file holds spans and counters of the steps.

// metrics are the counters of one Edge.
type metrics struct {
	open               *expvar.Int // requests between arrival and answer
	done               *expvar.Int // requests that were served
	tokens             *expvar.Int // tokens of whole answers
	resumes            *expvar.Int
	retries            *expvar.Int // dispatches to another upstream
	replays            *expvar.Int // answers of earlier attempts
	mismatched         *expvar.Int // events and answers of other requests, dropped
	disconnects        *expvar.Int // callers that left
	lateSettlements    *expvar.Int // settlements that were not durable in time
	droppedSettlements *expvar.Int // late settlements that were given up
	failed             *expvar.Map // by code
	firstToken         timings     // from the arrival to the first token, or to a whole answer
	complete           timings     // from the arrival to the end of an answer that was served
}

// timings are histograms by rank.
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

// startSpan starts the span of one step inside the request's span.
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

// startRequestSpan starts the span of a request under the caller's trace, if it has one.
func (e *Edge) startRequestSpan(r *http.Request) (context.Context, oteltrace.Span) {
	ctx := traceContext.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return e.conf.Tracer.Start(ctx, "request", oteltrace.WithSpanKind(oteltrace.SpanKindServer))
}

// injectTrace passes the trace on to an upstream.
func injectTrace(ctx context.Context, h http.Header) {
	traceContext.Inject(ctx, propagation.HeaderCarrier(h))
}
