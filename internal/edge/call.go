package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/caller"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/fair"
	"poplarbend.example/poplar/pkg/memory"
	"poplarbend.example/poplar/pkg/poison"
)

// A call carries one request through the steps of the request path.

// errDisconnected means that the caller closed its connection.
var errDisconnected = errors.New("the caller disconnected")

// errAborted means that the daemon stops without waiting for open requests.
var errAborted = errors.New("the daemon is stopping without waiting for open requests")

// call is one request. Unless a field says otherwise, only the goroutine of the
// handler uses it.
type call struct {
	edge     *Edge
	policy   *conf.Policy
	response *responseWriter
	request  *http.Request
	ctx      context.Context // done when the work must end, which for a keyed request is Bounds.Grace after the caller disconnects
	cancel   context.CancelCauseFunc
	span     trace.Span
	arrived  time.Time

	caller *conf.Caller
	rank   poplar.Rank
	key    poplar.Key // the caller's idempotency key, or else a random key
	keyed  bool       // true if the caller sent an idempotency key
	id     string     // request id sent to upstreams
	body   []byte
	memory *memory.Account // of the body; nil before it is read
	digest uint64
	parts  []poison.Fingerprint // of the prompt, that other requests may share
	op     operation
	ticket Ticket // nil while the call holds no admission ticket

	dispatched    atomic.Bool    // true once an upstream may have seen the request
	noPriorRun    bool           // true once the ledger has confirmed that no earlier attempt ran
	lastAbandoned poplar.Attempt // last attempt that this call abandoned before dispatch
	billed        poplar.Tokens
	firstTokenAt  time.Time // zero before the first token
}

// operation is the part of a request that differs between completions and plain
// services.
type operation interface {
	// pool returns the name of the group of upstreams that can serve the request.
	pool() string
	// initialReservation returns the tokens to reserve before dispatch.
	initialReservation(policy *conf.Policy) poplar.Tokens
	// idempotent reports whether the request may run more than once.
	idempotent() bool
	// pick chooses an upstream. It returns avoid only if no other upstream can
	// take the request.
	pick(c *call, avoid poplar.Upstream) (*target, error)
	// run sends the request to the upstream of the attempt, responds to the
	// caller, and settles the attempt.
	run(a *attempt) error
	// streaming reports whether the response is a stream of events.
	streaming() bool
}

// begin starts a call: it checks the limits and the configuration, identifies
// the caller and the request, and reads the body.
func (e *Edge) begin(w http.ResponseWriter, r *http.Request) (*call, error) {
	c := &call{edge: e, request: r, arrived: e.conf.Clock.Now(), response: newResponseWriter(e, w)}
	c.ctx, c.span = e.startRequestSpan(r)
	c.policy = e.conf.Policy()
	if e.closed() {
		return c, refuse(poplar.StepDrain, poplar.CodeDrain, "the daemon accepts no new work").At(string(e.conf.Daemon))
	}
	if c.policy == nil {
		return c, refuse(poplar.StepParse, poplar.CodeDrain, "the daemon has no configuration yet").At(string(e.conf.Daemon))
	}
	if e.open.Load() > int64(e.conf.Limits.Streams) {
		return c, refuse(poplar.StepAdmit, poplar.CodeBusy, "%d requests are open, which is the limit", e.conf.Limits.Streams).
			At(string(e.conf.Daemon)).After(c.arrived.Add(time.Second))
	}
	if err := c.identify(); err != nil {
		return c, err
	}
	body, err := c.readBody(w)
	if err != nil {
		return c, err
	}
	c.body, c.digest = body, digestOf(r, body)
	return c, nil
}

// identify authenticates the caller and determines rank and idempotency key.
func (c *call) identify() error {
	_, span := c.startSpan(poplar.StepAuth)
	var err error
	c.caller, err = authenticate(c.policy, c.request.Header)
	endSpan(span, err)
	if err != nil {
		return err
	}
	_, span = c.startSpan(poplar.StepClass)
	err = c.classify()
	endSpan(span, err)
	return err
}

func (c *call) classify() error {
	var err error
	if c.rank, err = rankOf(c.caller, c.request.Header); err != nil {
		return err
	}
	if c.key, c.keyed, err = idempotencyKeyOf(c.request.Header); err != nil {
		return err
	}
	c.id = requestID(c.caller.Workspace().Name(), c.key)
	return nil
}

func (c *call) readBody(w http.ResponseWriter) ([]byte, error) {
	_, span := c.startSpan(poplar.StepParse)
	control := http.NewResponseController(w)
	c.memory = c.edge.bodies.Open(string(c.caller.Workspace().Name()), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body, err := readBody(w, c.request, c.edge.conf.Limits, c.memory, c.arrived)
	endSpan(span, err)
	return body, err
}

// detachContext lets the work outlive the context of the HTTP request: a keyed
// request continues for Bounds.Grace after its caller disconnects. The returned
// function releases the resources.
func (c *call) detachContext() func() {
	c.ctx, c.cancel = context.WithCancelCause(context.WithoutCancel(c.ctx))
	stopDisconnect := context.AfterFunc(c.request.Context(), c.onDisconnect)
	stopAbort := context.AfterFunc(c.edge.aborted, c.onAbort)
	return func() {
		stopDisconnect()
		stopAbort()
		c.cancel(nil)
	}
}

// onDisconnect ends the work after the caller disconnects. It does so at once
// if nothing was dispatched, or if the request is not keyed, since no retry
// could then find the result. Otherwise it waits for Bounds.Grace.
func (c *call) onDisconnect() {
	c.edge.metrics.disconnects.Add(1)
	if !c.keyed || !c.dispatched.Load() {
		c.cancel(errDisconnected)
		return
	}
	timer := time.NewTimer(c.edge.conf.Bounds.Grace)
	defer timer.Stop()
	select {
	case <-timer.C:
		c.cancel(errDisconnected)
	case <-c.ctx.Done():
	}
}

// abandoned reports whether the caller has disconnected and nothing may be sent for it,
// see onDisconnect. It does not rely on the context, which ends late while processor time
// is short.
func (c *call) abandoned() bool {
	return (!c.keyed || !c.dispatched.Load()) && caller.Left(c.request.Context())
}

func (c *call) onAbort() { c.cancel(errAborted) }

// serve runs the steps from admission on.
func (c *call) serve() error {
	defer c.detachContext()()
	if c.op.streaming() {
		c.response.startHeartbeat(c.policy.Numbers().Beat)
	}
	ticket, err := c.tryAdmit()
	if err != nil && c.keyed && c.ctx.Err() == nil {
		found, joinErr := c.joinPriorAttempt()
		if found {
			return joinErr
		}
		if errors.Is(err, errMustQueue) {
			ticket, err = c.admit(c.ctx)
		}
	}
	if err != nil {
		return c.finalError(err, false)
	}
	c.ticket = ticket
	defer c.releaseTicket()
	c.edge.retries.earn(c)
	return c.dispatch()
}

// releaseTicket returns the admission ticket, if the call holds one.
func (c *call) releaseTicket() {
	if c.ticket != nil {
		c.ticket.Release(c.billed)
	}
}

// errMustQueue means that a keyed request would have to queue.
var errMustQueue = errors.New("the request must queue")

// queueBeforeLookup is how long a keyed request queues before the ledger is
// asked for an earlier attempt. Continuing that attempt needs no place in the
// queue.
const queueBeforeLookup = 5 * time.Millisecond

// tryAdmit admits the request. A keyed request that would have to queue for
// longer than queueBeforeLookup fails with errMustQueue instead.
func (c *call) tryAdmit() (Ticket, error) {
	if !c.keyed {
		return c.admit(c.ctx)
	}
	deadline := time.Now().Add(queueBeforeLookup)
	ctx, cancel := context.WithDeadlineCause(c.ctx, deadline, errMustQueue)
	defer cancel()
	ticket, err := c.admit(ctx)
	if err != nil && errors.Is(context.Cause(ctx), errMustQueue) {
		return nil, refuse(poplar.StepAdmit, poplar.CodeBusy, "%w", errMustQueue)
	}
	return ticket, err
}

func (c *call) admit(ctx context.Context) (Ticket, error) {
	_, span := c.startSpan(poplar.StepAdmit)
	flow := fair.NewFlow(c.caller.Workspace().Name(), c.caller.Name(), c.caller.Workspace().Weight())
	work := admit.NewRequest(flow, c.rank, c.op.initialReservation(c.policy))
	ticket, err := c.edge.conf.Gate.Admit(ctx, c.op.pool(), work)
	endSpan(span, err)
	return ticket, err
}

// dispatch reserves tokens and runs the request, or continues an earlier
// attempt. While an earlier attempt is still running, the admission ticket is
// returned for other requests.
func (c *call) dispatch() error {
	for {
		t, err := c.pick("")
		if err != nil {
			return c.noUpstream(err)
		}
		grant, err := c.reserve(t.name())
		if err == nil && grant.Verdict == poplar.VerdictRun {
			return c.execute(grant, t)
		}
		t.release()
		if err != nil {
			return c.reserveError(err)
		}
		if grant.Verdict != poplar.VerdictWait {
			return c.execute(grant, t)
		}
		c.ticket.Release(0)
		found, err := c.joinPriorAttempt()
		if found {
			return err
		}
		if c.ticket, err = c.admit(c.ctx); err != nil {
			return c.finalError(err, false)
		}
	}
}

// awaitPriorAttempt pauses before the ledger is asked again about an attempt
// that another router is running. It fails once limit has passed.
func (c *call) awaitPriorAttempt(grant poplar.Grant, limit time.Time, pause time.Duration) error {
	now := c.edge.conf.Clock.Now()
	if now.After(limit) {
		return poplar.Failf(poplar.StepReserve, poplar.CodeOpen, "an earlier attempt is still running").
			At(string(grant.Router)).After(now.Add(maxWait))
	}
	return c.sleep(poplar.StepReserve, pause)
}

// minWait and maxWait bound the pauses while a call polls the ledger or the
// roster. maxWait is also the time after which a refused caller may retry.
const (
	minWait = 20 * time.Millisecond
	maxWait = time.Second
)

// recordFirstToken records the time of the first token and notifies the gate.
func (c *call) recordFirstToken() {
	c.firstTokenAt = c.edge.conf.Clock.Now()
	if c.ticket != nil {
		c.ticket.FirstToken()
	}
}

// sleep waits for d. It fails early if the work must end.
func (c *call) sleep(step poplar.Step, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.ctx.Done():
		return c.contextError(step)
	}
}

// execute acts on the verdict of the ledger.
func (c *call) execute(grant poplar.Grant, t *target) error {
	if grant.Verdict == poplar.VerdictReplay {
		return c.replay(grant)
	}
	a := &attempt{call: c, grant: grant, target: t, reserved: grant.Reserved}
	defer a.finish()
	if grant.Verdict == poplar.VerdictResume {
		c.dispatched.Store(true) // by the departed router
		peer, ok := c.edge.conf.Roster.View().Peer(grant.Upstream)
		if ok && peer.Notice().Resume {
			a.resume, a.target = true, &target{peer: peer}
		}
	}
	if a.target == nil {
		return c.pickAndRun(a)
	}
	return c.op.run(a)
}

// pickAndRun runs an attempt that has no upstream yet.
func (c *call) pickAndRun(a *attempt) error {
	t, err := c.pick("")
	if err != nil {
		return c.finalError(err, false)
	}
	a.target = t
	return c.op.run(a)
}

func (c *call) pick(avoid poplar.Upstream) (*target, error) {
	_, span := c.startSpan(poplar.StepPick)
	exclusive, err := c.checkPoison()
	var t *target
	switch {
	case err != nil:
	case exclusive:
		t, err = c.chooseIdle(avoid)
	default:
		t, err = c.op.pick(c, avoid)
	}
	if err == nil && span.IsRecording() {
		span.SetAttributes(decisionAttr(t.decision))
	}
	endSpan(span, err)
	return t, err
}

func (c *call) reserve(upstream poplar.Upstream) (poplar.Grant, error) {
	ctx, span := c.startSpan(poplar.StepReserve)
	req := poplar.ReserveRequest{
		Workspace: c.caller.Workspace().Name(), Budget: c.caller.Budget(), Caller: c.caller.Name(),
		Key: c.key, Keyed: c.keyed, Digest: c.digest, Rank: c.rank,
		MaxTokens: c.op.initialReservation(c.policy), Idempotent: c.op.idempotent(),
		Router: c.edge.conf.Daemon, Upstream: upstream, CallID: rand.Uint64() | 1,
	}
	// Reserve continues when the caller disconnects: an unnoticed grant would
	// keep its tokens reserved and make every retry wait.
	grant, err := c.edge.conf.Ledger.Reserve(context.WithoutCancel(ctx), req)
	err = c.mapUnknownBudget(err)
	endSpan(span, err)
	if err != nil && !reserveRefused(err) {
		c.edge.backlog.addUnconfirmed(req)
	}
	if err == nil && grant.Verdict == poplar.VerdictRun {
		c.noPriorRun = grant.Attempt <= c.lastAbandoned+1
	}
	return grant, err
}

// mapUnknownBudget returns err, except when the ledger does not know a budget
// that the policy declares. Then it returns a retryable error, because for a
// moment after a revision takes effect the domain has no share of a new budget.
func (c *call) mapUnknownBudget(err error) error {
	if poplar.CodeOf(err) != poplar.CodeMissing {
		return err
	}
	name := c.caller.Budget()
	if _, declared := c.policy.Budget(name); !declared {
		return err
	}
	run := poplar.RunUnknown
	var e *poplar.Error
	if errors.As(err, &e) {
		run = e.Run()
	}
	return poplar.Failf(poplar.StepReserve, poplar.CodeBusy, "budget %q is new, and the domain has no share of it yet", name).
		At(string(c.edge.conf.Daemon)).After(c.edge.conf.Clock.Now().Add(maxWait)).Ran(run)
}

// reserveError returns an error of the ledger with the run state of the request
// as a whole. A request without a key cannot have arrived before; for a keyed
// request only the ledger knows.
func (c *call) reserveError(err error) error {
	var e *poplar.Error
	if !errors.As(err, &e) {
		e = poplar.Fail(poplar.StepReserve, poplar.CodeInternal, err)
	}
	if !c.keyed && !c.dispatched.Load() {
		return withRunState(e, poplar.RunNo)
	}
	return e
}

// withRunState returns a copy of e with the given run state. It copies because
// e may be shared.
func withRunState(e *poplar.Error, run poplar.RunState) *poplar.Error {
	return poplar.Fail(e.Step(), e.Code(), e.Unwrap()).At(e.Peer()).After(e.Retry()).Ran(run)
}

// contextError returns the reason for which the work had to end.
func (c *call) contextError(step poplar.Step) *poplar.Error {
	run := poplar.RunUnknown
	if !c.dispatched.Load() && (!c.keyed || c.noPriorRun) {
		run = poplar.RunNo
	}
	if errors.Is(context.Cause(c.ctx), errAborted) {
		return poplar.Fail(step, poplar.CodeDrain, errAborted).At(string(c.edge.conf.Daemon)).Ran(run)
	}
	return poplar.Fail(step, poplar.CodeCancelled, errDisconnected).Ran(run)
}
