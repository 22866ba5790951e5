package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conns"
	"poplarbend.example/poplar/pkg/memory"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/reply"
)

// A request is sent to one upstream after another until one of them completes
// it or no further attempt is allowed.

// Timeouts and limits of attempts.
const (
	// A safe request without a complete response is sent to another upstream
	// after safeTimeoutFactor times the first-byte target of its route, at
	// least minSafeTimeout.
	safeTimeoutFactor = 2
	minSafeTimeout    = 200 * time.Millisecond
	// A resumable stream without an event is resumed at another upstream after
	// stallTimeoutFactor times the route's maximum gap between events, at least
	// minStallTimeout.
	stallTimeoutFactor = 3
	minStallTimeout    = 1500 * time.Millisecond
	// resumeWait is how long an interrupted stream waits in total for an upstream
	// to resume it, with resumeRetryDelay between two tries. Callers abandon a
	// stream after a gap of two seconds or more.
	resumeWait       = 1500 * time.Millisecond
	resumeRetryDelay = 100 * time.Millisecond
	// refusalBodyTimeout limits the time for the body of a refusal, which nobody
	// needs: without it the connection is closed.
	refusalBodyTimeout = 20 * time.Millisecond
	// maxResponseBody is the maximum size, in bytes, of a response that is
	// buffered until it is complete.
	maxResponseBody = 8 << 20
	// minWriteTime is the least time that a caller has to read a long answer.
	minWriteTime = time.Second
	// maxRefusals is the number of refusals by upstreams after which a request
	// fails.
	maxRefusals = 3
	// maxUnreached is the number of upstreams to which no connection could be made
	// after which a request fails.
	maxUnreached = 4
)

// result is the outcome of an attempt.
type result uint8

const (
	// resultDone: the response was delivered completely.
	resultDone result = iota
	// resultNotSent: no connection could be made, so the request was not sent.
	resultNotSent
	// resultRefused: the upstream refused the request without running it.
	resultRefused
	// resultBroken: the request may have run, but there is no complete
	// response.
	resultBroken
	// resultFailed: the upstream answered with a server error, and a retry is
	// allowed.
	resultFailed
	// resultEnded: the caller disconnected or the deadline passed.
	resultEnded
	// resultWithheld: the upstream answered with a status that promises that the request was
	// not run, and did not state that.
	resultWithheld
)

// serve sends the request to upstreams until a response is delivered. It
// returns an error if the request ends without a complete response.
func (x *exchange) serve() *poplar.Error {
	refusals := 0
	if x.env.Prompt > 0 {
		x.p.facts.of(x.service).addPrompt(x.prompt().Own(), x.start)
	}
	for {
		next := x.pick()
		u, reason := next.upstream, "no upstream available"
		if u != nil && x.sends > 0 && !x.mayRetry(time.Now()) {
			u, reason = nil, "retry limit reached"
		}
		if u == nil {
			if x.awaitResume() {
				continue
			}
			if err := x.divertUnconnected(); err != nil {
				return err
			}
			return x.exhausted(reason)
		}
		x.tried[u] = true
		x.upstream, x.choice = u, next
		x.p.countChoice(&next.candidate)
		switch x.try(u) {
		case resultDone:
			return nil
		case resultEnded:
			return x.expired()
		case resultNotSent:
			if x.unreached >= maxUnreached && !x.headerWritten {
				return x.exhausted("no connection to an upstream")
			}
		case resultRefused:
			if refusals++; refusals >= maxRefusals {
				return x.exhausted("too many upstreams refused the request")
			}
		case resultWithheld:
			return x.exhausted("an answer that does not state whether the request was run is withheld")
		case resultBroken, resultFailed:
			if !x.route.Kind.Repeatable() || x.runs >= x.route.MaxAttempts {
				return x.exhausted("no complete response from the upstream")
			}
			if x.mustEnd() {
				return x.exhausted("the request crashed upstreams")
			}
		}
		if !time.Now().Before(x.deadline) || x.ctx.Err() != nil {
			return x.expired()
		}
	}
}

// mayRetry reports whether the request may be sent once more. The retry that
// replaces a stalled attempt was counted before that attempt was given up.
func (x *exchange) mayRetry(now time.Time) bool {
	if x.retryTaken {
		x.retryTaken = false
		return true
	}
	return x.p.takeRetry(x.service, now)
}

// awaitResume waits a little before a resumable stream that was begun is tried
// again, and reports whether it may be. Without an upstream or a retry for it
// now, the answer would otherwise break off in the middle. The load of other
// requests decides over both, and changes within a second.
func (x *exchange) awaitResume() bool {
	if !x.headerWritten || x.route.Kind != plan.KindResumable || x.runs >= x.route.MaxAttempts {
		return false
	}
	now := time.Now()
	if x.resumeBy.IsZero() {
		x.resumeBy = now.Add(resumeWait)
	}
	return now.Before(x.resumeBy) && sleep(x.ctx, resumeRetryDelay)
}

// exhausted ends a request that cannot be retried. It delivers the fallback
// response if there is one, and otherwise returns an error.
func (x *exchange) exhausted(reason string) *poplar.Error {
	if x.fallback != nil && !x.headerWritten {
		x.writeResponse(x.fallback)
		return nil
	}
	name := ""
	if x.upstream != nil {
		name = string(x.upstream.name)
	}
	if x.runs == 0 {
		return poplar.Failf(poplar.StepPick, poplar.CodeNone, "%s", reason).At(name).Ran(poplar.RunNo).After(x.p.retryTime(x.service, time.Now()))
	}
	return poplar.Failf(poplar.StepStream, poplar.CodeUpstream, "%s", reason).At(name)
}

// expired ends a request whose caller has disconnected or whose deadline has
// passed. At the deadline it delivers the fallback response if there is one.
func (x *exchange) expired() *poplar.Error {
	if x.callerLeft || x.r.Context().Err() != nil {
		return poplar.Failf(poplar.StepStream, poplar.CodeCancelled, "caller disconnected")
	}
	if x.fallback != nil && !x.headerWritten {
		x.writeResponse(x.fallback)
		return nil
	}
	run := poplar.RunUnknown
	if x.runs == 0 {
		run = poplar.RunNo
	}
	return poplar.Failf(poplar.StepStream, poplar.CodeTimeout, "deadline exceeded").Ran(run).After(time.Now().Add(minRetryDelay))
}

// try makes one attempt at u.
func (x *exchange) try(u *upstream) result {
	now := time.Now()
	conn, failed := x.connect(u, now)
	if conn == nil {
		return failed
	}
	uncached := x.env.Prompt - x.cachedTokens(u)
	size, stream := x.size(), x.streamWeight()
	u.requestSent(uncached, size, stream)
	x.sends++
	if x.headerWritten {
		x.p.metrics.resumed.Add(1)
	}
	x.runs++ // undone if the upstream refuses the request
	a := &attempt{
		x: x, u: u, uncached: uncached, size: size, streamWeight: stream, began: now, reused: conn.Reused(), sentAt: time.Now(),
		predicted: x.choice.predicted, resumes: x.headerWritten, eventsAtSend: x.events,
	}
	defer a.noteEnd()
	defer a.noteFirstByte()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	a.stall = newStallTimer(x.stallTimeout(), func() bool { return x.replaceStalled(cancel) })
	defer a.stall.stop()
	a.call = x.p.conns.Send(ctx, conn, x.upstreamRequest(u))
	complete := false
	defer func() { a.call.Finish(complete) }()
	outcome := a.receive()
	if a.call.Evicted() {
		a.err = memory.ErrFull
	}
	x.retryTaken = a.stall.stop()
	complete = a.complete
	if outcome == resultBroken && x.ctx.Err() != nil {
		return resultEnded
	}
	switch outcome {
	case resultBroken:
		u.attemptFailed(time.Now())
		if !x.retryTaken {
			x.recordBroken(u, x.events-a.eventsAtSend)
		}
	case resultDone:
		a.measurePauses(time.Now())
		x.p.suspects.noteAnswer(u, a.sentAt)
		a.recordWhole()
	}
	if outcome != resultDone {
		x.p.log.Info("attempt", "id", x.env.ID, "upstream", string(u.name), "result", resultNames[outcome], "reused", conn.Reused(),
			"events", x.events, "status", a.status, "error", a.err, "ms", time.Since(now).Milliseconds())
	}
	return outcome
}

var resultNames = [...]string{"done", "unsent", "refused", "broken", "failed", "ended", "withheld"}

// cachedTokens estimates how many tokens of the prompt are cached at u.
func (x *exchange) cachedTokens(u *upstream) poplar.Tokens {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.parts.cachedTokens(x.env.Parts)
}

// replaceStalled cancels an attempt that has stalled, if the request may be sent
// to another upstream instead. Otherwise the attempt goes on, since it may still
// end well. It is called while the attempt waits for its upstream, and reads only
// what does not change meanwhile.
func (x *exchange) replaceStalled(cancel context.CancelFunc) bool {
	if x.pick().upstream == nil || !x.p.takeRetry(x.service, time.Now()) {
		return false
	}
	cancel()
	return true
}

// stallTimeout returns the time without an event, or for a safe request without
// a complete response, after which the attempt is given up. It returns 0, for
// no limit, if the request cannot be sent to another upstream.
func (x *exchange) stallTimeout() time.Duration {
	if x.runs >= x.route.MaxAttempts || len(x.view.services[x.service]) < 2 {
		return 0
	}
	switch x.route.Kind {
	case plan.KindSafe:
		return max(safeTimeoutFactor*x.route.FirstByteTarget, minSafeTimeout)
	case plan.KindResumable:
		return max(stallTimeoutFactor*x.route.MaxEventGap, minStallTimeout)
	}
	return 0
}

// upstreamRequest returns the request that is sent to u.
func (x *exchange) upstreamRequest(u *upstream) *conns.Request {
	h := conns.EndToEnd(x.r.Header)
	d := poplar.Dispatch{Upstream: u.name, Deadline: x.deadline, Urgent: x.route.Kind.Streams(), Urgency: x.rank(), After: x.env.After}
	if x.lastEventID != "" {
		d.After = x.lastEventID
	}
	if x.workspace != nil {
		d.Workspace = x.workspace.Name
	}
	x.p.settings.Dialect.Dispatch(h, d, time.Now())
	charged := 0
	if x.sends == 1 && x.charged {
		charged = x.p.link.left(x.charge) // a repeated body passes the link again
	}
	return &conns.Request{Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body, Charged: charged}
}

// attempt is one request sent to one upstream.
type attempt struct {
	x            *exchange
	u            *upstream
	call         *conns.Call
	stall        *stallTimer
	uncached     poplar.Tokens
	size         poplar.Tokens // see exchange.size
	streamWeight float64       // see exchange.streamWeight
	began        time.Time
	reused       bool // true if the connection has carried another request
	sentAt       time.Time
	predicted    float64   // see choice
	resumes      bool      // true if an earlier attempt has delivered a part of the response
	eventsAtSend int       // events of the exchange when the attempt began
	firstEventAt time.Time // zero before the first event
	eventsBefore int       // events of the exchange up to the first one of this attempt
	progressAt   time.Time // when recordProgress looks next at how far the stream has come
	gotFirstByte bool      // invariant: true once the first byte was received
	status       int       // of the response; 0 before its header was received
	complete     bool      // invariant: true once the response was read to its end
	err          error
	ended        sync.Once // whose function tells the upstream's counters

	mu       sync.Mutex
	released bool // invariant: guarded by mu; true once the call was finished before the caller has its response
}

// noteEnd tells the upstream's counters, once, that the upstream has nothing more to do.
func (a *attempt) noteEnd() {
	a.ended.Do(func() { a.x.requestEnded(a.u, a.size, a.streamWeight, a.began) })
}

// release ends the call, whose response was read to its end, while the caller still reads:
// its connection and its place at the upstream are free for other requests.
func (a *attempt) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released = true
	a.call.Finish(true)
	a.noteEnd()
}

// abort ends the call from any goroutine, unless it was released.
func (a *attempt) abort() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.released {
		a.call.Abort()
	}
}

// noteFirstByte tells the upstream's counters, once, that the first byte of the
// response was received. It is also called when the attempt ends, so that the
// prompt of an attempt without a response no longer counts as pending.
func (a *attempt) noteFirstByte() {
	if !a.gotFirstByte {
		a.gotFirstByte = true
		a.u.firstByte(a.uncached)
	}
}

// receive reads the response and forwards it to the caller.
func (a *attempt) receive() result {
	x := a.x
	dialect := x.p.settings.Dialect
	resp, err := a.call.Answer(x.r.Method, func(resp *http.Response) bool { //nolint:bodyclose // see below
		return reply.Answers(dialect.Head(resp).ID, x.env.ID, a.reused)
	})
	if err != nil {
		a.err = err
		return resultBroken
	}
	// The body is not closed, since Close reads it to its end, which may never
	// come. The connection is closed unless the whole body was read.
	head := dialect.Head(resp)
	a.status = resp.StatusCode
	x.p.countReport(&head)
	x.p.hearPace(a.u, head, a.sentAt, time.Now())
	a.u.headReceived(head, resp.StatusCode >= http.StatusInternalServerError && !head.NotRun, time.Now())
	if head.HasLoad {
		x.p.facts.of(a.u.service).addReport(a.u, a.u.othersReported(), time.Now())
	}
	if head.WrongUpstream {
		a.u.moved.Store(true)
	}
	verdict := reply.Decide(
		reply.Answer{Status: a.status, Unrun: head.NotRun, Sealed: head.Sealed, Encoded: resp.Header.Get("Content-Encoding") != ""},
		reply.Request{
			Repeatable: x.route.Kind.Repeatable(), Streams: x.route.Kind.Streams(), MayRepeat: x.runs < x.route.MaxAttempts, Begun: x.headerWritten,
		})
	switch verdict {
	case reply.Refused:
		x.runs--
		a.drop()
		return resultRefused
	case reply.Withheld:
		a.drop()
		x.withheld = a.status
		x.p.metrics.withheld.Add(strconv.Itoa(a.status), 1)
		return resultWithheld
	case reply.Streamed:
		return a.stream(resp)
	case reply.Delivered, reply.Repeated:
		return a.deliverBuffered(resp, verdict)
	}
	a.err = errUnusable
	return resultBroken
}

// drop reads the body of a response that is not delivered, so that the connection can be
// used again.
func (a *attempt) drop() {
	a.err = a.call.Drop(time.Now().Add(refusalBodyTimeout))
	a.complete = a.err == nil
}

// errUnusable ends an attempt whose response cannot be delivered: a success for which the
// upstream does not vouch with a seal, see poplar.Head, or no rest of a stream.
var errUnusable = errors.New("response without a seal, with a content encoding, or in place of the rest of a stream")

// deliverBuffered reads a complete response and delivers it, or keeps it in case that no
// later attempt succeeds.
func (a *attempt) deliverBuffered(resp *http.Response, verdict reply.Verdict) result {
	x := a.x
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0
	}
	body, err := a.call.Memory().Read(resp.Body, length, maxResponseBody)
	if err != nil {
		a.err = err
		return resultBroken
	}
	account, kept := a.call.Keep()
	if !kept {
		a.err = memory.ErrFull
		return resultBroken
	}
	x.answers = append(x.answers, heldAnswer{body: body, account: account})
	a.noteFirstByte()
	a.complete = true
	buffered := &response{status: resp.StatusCode, header: resp.Header, body: body, upstream: a.u}
	if verdict == reply.Repeated {
		x.fallback = buffered
		return resultFailed
	}
	if good := a.status/100 == http.StatusOK/100; !good && x.fallback != nil {
		buffered = x.fallback
	}
	a.release()
	x.writeResponse(buffered)
	return resultDone
}

// writeResponse writes a buffered response to the caller.
func (x *exchange) writeResponse(resp *response) {
	x.leave() // the upstream's slot is free
	x.upstream = resp.upstream
	if x.firstByteAt.IsZero() {
		x.firstByteAt = time.Now()
	}
	x.copyHeader(resp.header)
	x.writeHeader(resp.status)
	x.writeBody(resp.body)
}

// writeBody writes the body of a buffered response. A caller that does not read must not
// keep the memory of a long one.
func (x *exchange) writeBody(body memory.Blocks) {
	if body.Size() > memory.Allowance {
		limit := time.Now().Add(minWriteTime)
		if limit.Before(x.deadline) {
			limit = x.deadline
		}
		control := http.NewResponseController(x.w)
		_ = control.SetWriteDeadline(limit)
		defer control.SetWriteDeadline(time.Time{}) //nolint:errcheck // the connection has ended then
	}
	_, _ = body.WriteTo(x.w) // a failed write means that the caller has left
}

// copyHeader copies the end-to-end header fields of the upstream's response.
func (x *exchange) copyHeader(h http.Header) {
	out := x.w.Header()
	for name, values := range conns.EndToEnd(h) {
		out[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		out["Content-Type"] = nil // prevents content sniffing by net/http
	}
	if _, ok := h["Date"]; !ok {
		out["Date"] = nil // prevents a date set by net/http
	}
}
