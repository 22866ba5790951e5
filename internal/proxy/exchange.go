package proxy

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/plan"
)

// This file holds a caller's request from its head to its final answer.

// Defaults and bounds of requests.
const (
	defaultBody = 4 << 20 // bytes, until a configuration bounds them
	// retrySoon is when a caller may try again after a refusal that passes.
	retrySoon = 400 * time.Millisecond
	// retryStart is the same while the router has just started and knows no
	// configuration.
	retryStart = time.Second
	// retryPart: callers return after this part of the time they have left at the
	// latest, whatever they are told.
	retryPart = 3
	// leastRetry is the shortest time to return that is told.
	leastRetry = 50 * time.Millisecond
)

// exchange is one request of a caller. It belongs to one goroutine.
type exchange struct {
	p      *Proxy
	w      http.ResponseWriter
	r      *http.Request
	ctx    context.Context // invariant: ends at until, or when the caller leaves
	view   *view
	env    poplar.Envelope
	route  *plan.Route
	holder *plan.Workspace // invariant: nil without a key
	target poplar.Service
	body   []byte
	start  time.Time
	until  time.Time

	reserved poplar.Tokens
	used     poplar.Tokens
	tried    map[*upstream]bool
	sends    int  // invariant: times that the request may have arrived at an upstream
	runs     int  // invariant: times that it may have run
	begun    bool // invariant: true once the head of the answer was written
	first    time.Time
	events   int
	last     string  // invariant: id of the last event delivered
	held     *answer // invariant: an upstream's failure that is delivered when no repeat does better
	by       *upstream
	status   int
}

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
	by     *upstream
}

var seed = maphash.MakeSeed()

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.open.Add(1)
	defer p.open.Add(-1)
	x := &exchange{p: p, w: w, r: r, view: p.view.Load(), start: time.Now(), tried: map[*upstream]bool{}}
	err := x.prepare()
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), x.until)
		defer cancel()
		x.ctx = ctx
		err = x.admit()
	}
	if err == nil {
		err = x.serve()
		x.settle()
	}
	x.finish(err)
}

// prepare reads the request and finds its route and workspace.
func (x *exchange) prepare() *poplar.Error {
	t := x.view.table
	if t == nil {
		return poplar.Failf(poplar.StepClass, poplar.CodeCut, "no configuration is known yet").Ran(poplar.RunNo).After(x.start.Add(retryStart))
	}
	env, err := x.p.settings.Dialect.Open(x.r)
	x.env = env
	if err != nil {
		return poplar.Fail(poplar.StepParse, poplar.CodeInvalid, err).Ran(poplar.RunNo)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if x.route = t.Route(x.r.Host, path); x.route == nil {
		return x.unknown(poplar.StepClass, poplar.CodeMissing, "no route for this host and path")
	}
	if e := x.authenticate(t); e != nil {
		return e
	}
	x.until = x.start.Add(x.route.Timeout)
	if end := x.start.Add(env.Wait); env.Wait > 0 && end.Before(x.until) {
		x.until = end
	}
	x.target = x.route.Target(maphash.String(seed, env.ID))
	return x.readBody(t)
}

// unknown refuses what the configuration does not hold. A router that may have
// an old one says so instead.
func (x *exchange) unknown(step poplar.Step, code poplar.Code, text string) *poplar.Error {
	if !x.p.fresh(x.start) {
		return poplar.Failf(step, poplar.CodeCut, "%s in a configuration that may be old", text).Ran(poplar.RunNo).After(x.start.Add(retrySoon))
	}
	return poplar.Failf(step, code, "%s", text).Ran(poplar.RunNo)
}

func (x *exchange) authenticate(t *plan.Table) *poplar.Error {
	if !t.Keyed() {
		return nil
	}
	x.holder = t.Holder(x.env.Secret)
	if x.holder == nil && !x.route.Public {
		return x.unknown(poplar.StepAuth, poplar.CodeAuth, "the key is not known")
	}
	return nil
}

func (x *exchange) readBody(t *plan.Table) *poplar.Error {
	limit := t.Plan().Limits.Body
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return poplar.Fail(poplar.StepParse, poplar.CodeLarge, err).Ran(poplar.RunNo)
	case err != nil:
		return poplar.Fail(poplar.StepParse, poplar.CodeCancelled, err).Ran(poplar.RunNo)
	}
	x.body = body
	return nil
}

// admit counts the request and reserves its tokens.
func (x *exchange) admit() *poplar.Error {
	if err := x.checkPoison(); err != nil {
		return err
	}
	x.p.count(x.target, x.start)
	cost := x.env.Cost()
	if x.holder == nil || !x.holder.Bound {
		return nil
	}
	if cost <= 0 {
		if x.route.Sticky {
			return poplar.Failf(poplar.StepParse, poplar.CodeInvalid, "a prompt without a size cannot be reserved").Ran(poplar.RunNo)
		}
		return nil
	}
	if err := x.p.reserve(x.ctx, x.holder.Name, cost, x.route.Aim, x.until); err != nil {
		if x.uncovered(cost) {
			had := x.p.wallet.Look(x.holder.Name, time.Now())
			return poplar.Failf(poplar.StepReserve, poplar.CodeBudget,
				"the budget cannot cover %d tokens: of %d granted, %d were spent and %d lost with routers %s ago",
				cost, had.Grant, had.Spent, had.Lost, had.Age.Round(time.Millisecond)).Ran(poplar.RunNo)
		}
		return err
	}
	x.reserved = cost
	return nil
}

// uncovered reports whether nobody has the tokens that the request needs, so that
// its caller need not return. The grant is that of the latest configuration,
// which may have come while the request waited.
func (x *exchange) uncovered(cost poplar.Tokens) bool {
	w := x.p.view.Load().table.Holder(x.env.Secret)
	return w != nil && x.p.wallet.Exhausted(w.Name, cost, w.Grant, time.Now())
}

// settle returns what was not used. A request that delivered anything is charged
// its prompt, once, and the events that were delivered.
func (x *exchange) settle() {
	if x.reserved == 0 {
		return
	}
	used := poplar.Tokens(0)
	if x.events > 0 {
		used = x.env.Prompt + min(x.env.Output, poplar.Tokens(x.events*x.stride()))
	}
	x.used = used
	x.p.wallet.Settle(x.holder.Name, x.reserved, used)
}

// stride returns the most tokens in one event.
func (x *exchange) stride() int {
	if s := x.view.table.Service(x.target); s != nil && s.Engine != nil && s.Engine.Stride > 0 {
		return s.Engine.Stride
	}
	return int(x.env.Output)
}

// finish writes the final answer where none has been begun, and logs the
// outcome. It does not return when an answer that was begun stays incomplete.
func (x *exchange) finish(err *poplar.Error) {
	now := time.Now()
	if err != nil && !x.begun && err.Code() != poplar.CodeCancelled {
		x.refuse(err, now)
	}
	x.note(err, now)
	if err != nil && (x.begun || err.Code() == poplar.CodeCancelled) {
		panic(http.ErrAbortHandler)
	}
}

var statuses = map[poplar.Code]int{
	poplar.CodeInvalid: http.StatusBadRequest,
	poplar.CodeAuth:    http.StatusUnauthorized,
	poplar.CodeBudget:  http.StatusPaymentRequired,
	poplar.CodeMissing: http.StatusNotFound,
	poplar.CodeLarge:   http.StatusRequestEntityTooLarge,
}

// refuse writes a failure of the router itself. Only what certainly has not run
// gets a status that says so.
func (x *exchange) refuse(err *poplar.Error, now time.Time) {
	status, known := statuses[err.Code()]
	switch {
	case known && err.Run() == poplar.RunNo:
	case err.Run() == poplar.RunNo:
		status = http.StatusServiceUnavailable
	case err.Code() == poplar.CodeTimeout:
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	h := x.w.Header()
	if status == http.StatusServiceUnavailable {
		wait := err.Retry().Sub(now)
		if !x.until.IsZero() {
			wait = min(wait, x.until.Sub(now)/retryPart)
		}
		wait = max(wait, leastRetry)
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	x.status = status
	x.begin(status)
	x.begun = false
}

// begin writes the head of the answer.
func (x *exchange) begin(status int) {
	x.begun = true
	x.status = status
	if x.p.drains.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// note logs the outcome and counts it.
func (x *exchange) note(err *poplar.Error, now time.Time) {
	outcome := "answered"
	fields := []any{
		"id", x.env.ID, "status", x.status, "sends", x.sends, "runs", x.runs,
		"ms", now.Sub(x.start).Milliseconds(),
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "service", string(x.target))
	}
	if x.env.Prompt > 0 {
		fields = append(fields, "prompt", int64(x.env.Prompt), "output", int64(x.env.Output), "used", int64(x.used))
	}
	if x.holder != nil {
		fields = append(fields, "workspace", string(x.holder.Name))
	}
	if x.by != nil {
		fields = append(fields, "upstream", string(x.by.name))
	}
	if !x.first.IsZero() {
		fields = append(fields, "first_ms", x.first.Sub(x.start).Milliseconds(), "events", x.events)
		x.p.meters.first.Since(x.start, x.first)
	}
	if x.view.table != nil {
		fields = append(fields, "revision", uint64(x.view.table.Plan().Revision))
	}
	x.p.meters.whole.Since(x.start, now)
	if err == nil {
		x.p.meters.requests.Add(outcome, 1)
		x.p.log.Info("request", fields...)
		return
	}
	x.p.meters.requests.Add(string(err.Code()), 1)
	fields = append(fields, "step", string(err.Step()), "code", string(err.Code()), "ran", err.Run().String(), "cause", err.Unwrap())
	x.p.log.Warn("request", fields...)
}
