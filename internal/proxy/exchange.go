package proxy

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/memory"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/reply"
	"poplarbend.example/poplar/pkg/shed"
)

// An exchange takes a caller's request from its header to the final response.

// Defaults and limits of requests.
const (
	defaultMaxBody = 4 << 20 // bytes, until a configuration sets the limit
	// retryDelay is the delay after which a caller may retry a temporary
	// refusal.
	retryDelay = 400 * time.Millisecond
	// startupRetryDelay is the same delay while the router has no configuration
	// yet because it has just started.
	startupRetryDelay = time.Second
	// retryDelayDivisor bounds the delay that is sent to callers: it is at most
	// the time left to the caller's deadline divided by retryDelayDivisor.
	retryDelayDivisor = 3
	// maxUnreadDivisor bounds the part of its time that a request is taken to have waited
	// unread, since that is an estimate.
	maxUnreadDivisor = 4
	// minRetryDelay is the shortest delay that is sent to callers.
	minRetryDelay = 50 * time.Millisecond
)

// exchange is one request of a caller. It is used by one goroutine.
type exchange struct {
	p         *Proxy
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context // invariant: ends at deadline, or when the caller disconnects
	view      *view           // as of the start of the request
	env       poplar.Envelope
	route     *plan.Route
	workspace *plan.Workspace // invariant: nil without a known API key
	service   poplar.Service
	body      memory.Blocks
	start     time.Time
	deadline  time.Time

	reserved      poplar.Tokens
	used          poplar.Tokens
	tried         map[*upstream]bool
	sends         int         // invariant: number of times that the request may have reached an upstream
	runs          int         // invariant: number of times that an upstream may have run it
	broken        int         // invariant: number of responses that broke off
	retryTaken    bool        // invariant: true if the next retry is already counted
	resumeBy      time.Time   // invariant: end of the wait for a resume, or zero before the first wait
	unreached     int         // invariant: number of upstreams to which no connection could be made
	charge        shed.Charge // the body, charged to the link before it is sent
	charged       bool        // invariant: true once there is a charge
	key           uint64      // see requestKey; 0 until it is asked for
	mayDivert     bool        // invariant: true if the caller's retry is likely to reach another router
	isDiverted    bool        // invariant: true if the request is diverted to a peer router
	callerLeft    bool        // invariant: true once the caller was seen to have closed its connection
	headerWritten bool        // invariant: true once the response header was written
	firstByteAt   time.Time
	events        int
	lastEventID   string // invariant: id of the last event that was delivered
	bodyMemory    *memory.Account
	answers       []heldAnswer // whole answers; freed at the end of the exchange
	withheld      int          // status of an upstream's response that is withheld, or 0
	fallback      *response    // invariant: failure response of an upstream, delivered if no retry succeeds
	upstream      *upstream
	choice        choice // of the last attempt
	status        int

	ticket    admit.Ticket // place at the gate of the service, see enter
	admitted  bool         // invariant: true while ticket holds a place
	admitWait time.Duration
}

// response is a complete response of an upstream.
type response struct {
	status   int
	header   http.Header
	body     memory.Blocks
	upstream *upstream
}

var hashSeed = maphash.MakeSeed()

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	x := &exchange{p: p, w: w, r: r, view: p.view.Load(), start: time.Now(), tried: map[*upstream]bool{}}
	defer x.freeMemory()
	defer x.leave()
	err := x.prepare()
	if err == nil {
		err = x.divert()
		defer x.refundUnsent()
	}
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
		defer cancel()
		x.ctx = ctx
		err = x.admit()
	}
	if err == nil {
		if err = x.enter(); err == nil {
			err = x.serve()
		}
		x.settle()
		x.leave()
	}
	x.finish(err)
}

// heldAnswer is the body of a whole answer and its account.
type heldAnswer struct {
	body    memory.Blocks
	account *memory.Account
}

// freeMemory gives the memory of the body and of whole answers back. The blocks of the body
// are not used again: an attempt that was given up may still write them.
func (x *exchange) freeMemory() {
	x.bodyMemory.Close()
	for _, h := range x.answers {
		h.body.Free()
		h.account.Close()
	}
}

// prepare parses the request, finds its route and workspace, and reads its
// body.
func (x *exchange) prepare() *poplar.Error {
	t := x.view.table
	if t == nil {
		return poplar.Failf(poplar.StepClass, poplar.CodeUnreachable, "no configuration received yet").Ran(poplar.RunNo).After(x.start.Add(startupRetryDelay))
	}
	env, err := x.p.settings.Dialect.Open(x.r)
	x.env = env
	if err != nil {
		return poplar.Fail(poplar.StepParse, poplar.CodeInvalid, err).Ran(poplar.RunNo)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if x.route = t.Route(x.r.Host, path); x.route == nil {
		return x.refuseUnknown(poplar.StepClass, poplar.CodeMissing, "no route matches the host and path")
	}
	if e := x.authenticate(t); e != nil {
		return e
	}
	sent := x.start.Add(-min(x.p.dials.unread(x.start), x.route.Timeout/maxUnreadDivisor))
	x.deadline = sent.Add(x.route.Timeout)
	if callerDeadline := sent.Add(env.Wait); env.Wait > 0 && callerDeadline.Before(x.deadline) {
		x.deadline = callerDeadline
	}
	x.service = x.route.Target(maphash.String(hashSeed, env.ID))
	return x.readBody(t)
}

// refuseUnknown returns the error for a key or route that the configuration does
// not contain. If the configuration may be stale, the error is a temporary one.
func (x *exchange) refuseUnknown(step poplar.Step, code poplar.Code, text string) *poplar.Error {
	if !x.p.fresh(x.start) {
		return poplar.Failf(step, poplar.CodeUnreachable, "%s in a configuration that may be stale", text).Ran(poplar.RunNo).After(x.start.Add(retryDelay))
	}
	return poplar.Failf(step, code, "%s", text).Ran(poplar.RunNo)
}

func (x *exchange) authenticate(t *plan.Table) *poplar.Error {
	if !t.RequiresKey() {
		return nil
	}
	x.workspace = t.WorkspaceByKey(x.env.Secret)
	if x.workspace == nil && !x.route.NoKey {
		return x.refuseUnknown(poplar.StepAuth, poplar.CodeAuth, "unknown API key")
	}
	return nil
}

func (x *exchange) readBody(t *plan.Table) *poplar.Error {
	limit := t.Plan().Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	control := http.NewResponseController(x.w)
	if x.r.ContentLength != 0 {
		// A request whose body is late cannot be served in time.
		_ = control.SetReadDeadline(x.deadline)
	}
	var evicted atomic.Bool
	x.bodyMemory = x.p.bodies.Open(x.bodySource(), func() {
		evicted.Store(true)
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	body, err := x.bodyMemory.ReadReserved(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, limit)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large), errors.Is(err, memory.ErrTooLong):
		return poplar.Fail(poplar.StepParse, poplar.CodeLarge, err).Ran(poplar.RunNo)
	case evicted.Load(), errors.Is(err, memory.ErrFull), err == nil && !x.bodyMemory.Seal():
		x.w.Header().Set("Connection", "close") // the rest of the body is not read
		return poplar.Fail(poplar.StepParse, poplar.CodeBusy, memory.ErrFull).Ran(poplar.RunNo).After(x.start.Add(retryDelay))
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close") // the deadline remains set
		return poplar.Fail(poplar.StepParse, poplar.CodeTimeout, err).Ran(poplar.RunNo).After(time.Now().Add(retryDelay))
	case err != nil:
		return poplar.Fail(poplar.StepParse, poplar.CodeCancelled, err).Ran(poplar.RunNo)
	case x.r.ContentLength != 0:
		_ = control.SetReadDeadline(time.Time{})
	}
	x.body = body
	return nil
}

// bodySource returns whom the body of the request comes from: the workspace, or the host
// of a caller without one.
func (x *exchange) bodySource() string {
	if x.workspace != nil {
		return string(x.workspace.Name)
	}
	host, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		return x.r.RemoteAddr
	}
	return "@" + host // no name of a workspace
}

// admit rejects requests that crashed upstreams, counts the request, and
// reserves its tokens.
func (x *exchange) admit() *poplar.Error {
	if err := x.checkSuspect(); err != nil {
		return err
	}
	x.p.countRequest(x.service, x.start)
	cost := x.env.Cost()
	if x.workspace == nil || !x.workspace.HasBudget {
		return nil
	}
	if cost <= 0 {
		if x.route.PrefixAffinity {
			return poplar.Failf(poplar.StepParse, poplar.CodeInvalid, "no tokens can be reserved for a prompt without a token count").Ran(poplar.RunNo)
		}
		return nil
	}
	if err := x.reserve(cost); err != nil {
		return err
	}
	x.reserved = cost
	return nil
}

// budgetExhausted reports whether the budget cannot cover the request even with
// the tokens of all routers, so that a retry is useless. The grant is taken
// from the latest configuration, which may have arrived while the request
// waited.
func (x *exchange) budgetExhausted(cost poplar.Tokens) bool {
	w := x.p.view.Load().table.WorkspaceByKey(x.env.Secret)
	return w != nil && x.p.wallet.Exhausted(w.Name, cost, w.Grant, time.Now())
}

// settle returns the unused tokens to the wallet. A request that delivered any
// event is charged for its prompt, once, and for the delivered events.
func (x *exchange) settle() {
	if x.reserved == 0 {
		return
	}
	used := x.tokensUsed()
	x.used = used
	x.p.wallet.Settle(x.workspace.Name, x.reserved, used)
	x.p.wallet.NoteUse(x.workspace.Name, x.route.Rank, used, time.Now())
}

// tokensUsed returns the tokens that the delivered events cost.
func (x *exchange) tokensUsed() poplar.Tokens {
	if x.events == 0 {
		return 0
	}
	return x.env.Prompt + min(x.env.Output, poplar.Tokens(x.events*x.maxEventTokens()))
}

// maxEventTokens returns the maximum number of tokens in one event.
func (x *exchange) maxEventTokens() int {
	if s := x.view.table.Service(x.service); s != nil && s.Engine != nil && s.Engine.TokensPerEvent > 0 {
		return s.Engine.TokensPerEvent
	}
	return int(x.env.Output)
}

// finish writes an error response if no response was begun, and logs the
// outcome. It aborts the connection with a panic if a response was begun but
// remains incomplete, or if the caller has disconnected.
func (x *exchange) finish(err *poplar.Error) {
	now := time.Now()
	if err != nil && !x.headerWritten && err.Code() != poplar.CodeCancelled {
		x.writeFailure(err, now)
	}
	x.logOutcome(err, now)
	if err != nil && (x.headerWritten || err.Code() == poplar.CodeCancelled) {
		panic(http.ErrAbortHandler)
	}
}

var statusByCode = map[poplar.Code]int{
	poplar.CodeInvalid: http.StatusBadRequest,
	poplar.CodeAuth:    http.StatusUnauthorized,
	poplar.CodeBudget:  http.StatusPaymentRequired,
	poplar.CodeMissing: http.StatusNotFound,
	poplar.CodeLarge:   http.StatusRequestEntityTooLarge,
}

// writeFailure writes an error response of the router itself. Only a request
// that certainly was not run gets a status that says so.
func (x *exchange) writeFailure(err *poplar.Error, now time.Time) {
	status, known := statusByCode[err.Code()]
	switch {
	case known && err.Run() == poplar.RunNo:
	default:
		status = reply.Failure(err.Run() == poplar.RunNo, err.Code() == poplar.CodeTimeout)
	}
	h := x.w.Header()
	if status == http.StatusServiceUnavailable {
		wait := err.Retry().Sub(now)
		if !x.deadline.IsZero() {
			wait = min(wait, x.deadline.Sub(now)/retryDelayDivisor)
		}
		if x.isDiverted {
			h.Set("Connection", "close")
			wait = max(wait, divertDelay)
		} else {
			wait = max(wait, minRetryDelay)
		}
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	x.status = status
	x.writeHeader(status)
	x.headerWritten = false // the response is complete, so finish must not abort the connection
}

// writeHeader writes the response header. While the router sheds connections, it also
// closes the caller's after the response.
func (x *exchange) writeHeader(status int) {
	x.headerWritten = true
	x.status = status
	if x.p.sheds(time.Now()) {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// logOutcome logs and counts the outcome.
func (x *exchange) logOutcome(err *poplar.Error, now time.Time) {
	outcome := "answered"
	fields := []any{
		"id", x.env.ID, "status", x.status, "sends", x.sends, "runs", x.runs,
		"ms", now.Sub(x.start).Milliseconds(),
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "service", string(x.service))
	}
	if x.env.Prompt > 0 {
		fields = append(fields, "prompt", int64(x.env.Prompt), "output", int64(x.env.Output), "used", int64(x.used))
	}
	if x.workspace != nil {
		fields = append(fields, "workspace", string(x.workspace.Name))
	}
	if x.upstream != nil {
		fields = append(fields, "upstream", string(x.upstream.name))
		fields = append(fields, x.choice.logFields()...)
	}
	if !x.firstByteAt.IsZero() {
		fields = append(fields, "first_ms", x.firstByteAt.Sub(x.start).Milliseconds(), "events", x.events)
		x.p.metrics.firstByte.Since(x.start, x.firstByteAt)
	}
	if x.withheld > 0 {
		fields = append(fields, "withheld", x.withheld)
	}
	if wait := x.admitWait.Milliseconds(); wait > 0 {
		fields = append(fields, "wait_ms", wait)
	}
	if x.view.table != nil {
		fields = append(fields, "revision", uint64(x.view.table.Plan().Revision))
	}
	x.p.metrics.wholeResponse.Since(x.start, now)
	if err == nil {
		x.p.metrics.requests.Add(outcome, 1)
		x.p.log.Info("request", fields...)
		return
	}
	x.p.metrics.requests.Add(string(err.Code()), 1)
	fields = append(fields, "step", string(err.Step()), "code", string(err.Code()), "ran", err.Run().String(), "cause", err.Unwrap())
	x.p.log.Warn("request", fields...)
}
