package edge

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/pkg/route"
)

// All routes for callers, completions and services alike, share the function
// handle.

func (e *Edge) completions(w http.ResponseWriter, r *http.Request) {
	chat := strings.HasSuffix(r.URL.Path, "/chat/completions")
	e.handle(w, r, func(c *call) (operation, error) {
		request, err := decodeCompletion(c.policy, c.body, chat)
		if err != nil {
			return nil, err
		}
		request.chat = chat
		c.parts = request.sharedParts()
		return request, nil
	})
}

// handle serves one request. After the caller is known and the body is read, it
// calls decode to get the operation.
func (e *Edge) handle(w http.ResponseWriter, r *http.Request, decode func(*call) (operation, error)) {
	e.open.Add(1)
	e.metrics.open.Add(1)
	defer e.metrics.open.Add(-1)
	defer e.open.Add(-1)
	c, err := e.begin(w, r)
	defer func() { c.memory.Close() }()
	if err == nil {
		c.op, err = decode(c)
	}
	if err == nil {
		err = c.serve()
	}
	if err != nil {
		c.response.fail(err)
	}
	c.response.close()
	c.logOutcome(err)
}

// logOutcome ends the span of the request, updates the counters and writes one
// log line.
func (c *call) logOutcome(err error) {
	log := c.edge.conf.Log
	now := c.edge.conf.Clock.Now()
	duration := now.Sub(c.arrived)
	c.recordTimings(err, now)
	fields := []any{
		"request", c.id, "path", c.request.URL.Path, "ms", duration.Milliseconds(), "billed", int64(c.billed),
	}
	if trace := c.span.SpanContext(); trace.HasTraceID() {
		fields = append(fields, "trace", trace.TraceID().String())
	}
	if c.caller != nil {
		fields = append(fields, "workspace", string(c.caller.Workspace().Name()), "caller", string(c.caller.Name()), "rank", c.rank.String())
		c.span.SetAttributes(attribute.String("poplar.request", c.id), attribute.String("poplar.rank", c.rank.String()))
	}
	endSpan(c.span, err)
	if err == nil {
		c.edge.metrics.done.Add(1)
		log.Info("served", fields...)
		return
	}
	code := poplar.CodeOf(err)
	c.edge.metrics.failed.Add(string(code), 1)
	fields = append(fields, "code", string(code), "err", err.Error())
	var e *poplar.Error
	if errors.As(err, &e) {
		fields = append(fields, "run", e.Run().String())
	}
	log.Warn("not served", fields...)
}

// recordTimings adds the latencies of a request to the metrics. A stream that
// broke counts for the first token; a response that is not streamed counts only
// if it was served. A replayed response has no first token.
func (c *call) recordTimings(err error, now time.Time) {
	if !c.firstTokenAt.IsZero() && (err == nil || c.op.streaming()) {
		c.edge.metrics.firstToken[c.rank].Since(c.arrived, c.firstTokenAt)
	}
	if err == nil {
		c.edge.metrics.complete[c.rank].Since(c.arrived, now)
	}
}

// pool implements operation.
func (r *completionRequest) pool() string { return string(r.model.Name()) }

// initialReservation implements operation.
func (r *completionRequest) initialReservation(policy *conf.Policy) poplar.Tokens {
	return r.initialCost(policy.Numbers().Reserve)
}

// idempotent implements operation. A completion has no effect other than its
// response.
func (r *completionRequest) idempotent() bool { return true }

// streaming implements operation.
func (r *completionRequest) streaming() bool { return r.streamed }

// pick implements operation.
func (r *completionRequest) pick(c *call, avoid poplar.Upstream) (*target, error) {
	blocks := route.HashBlocks(string(r.model.Name()), r.promptJSON)
	return c.choose(route.ForModel(r.model.Name(), c.rank, r.promptTokens, blocks), avoid)
}

// run implements operation.
func (r *completionRequest) run(a *attempt) error {
	if !r.streamed {
		return r.runBuffered(a)
	}
	return (&relay{attempt: a, request: r, chat: r.chat, promptTokens: r.promptTokens}).run()
}
