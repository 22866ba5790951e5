package edge

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conns"
	"poplarbend.example/poplar/pkg/limit"
	"poplarbend.example/poplar/pkg/memory"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/route"
)

// A hop is one exchange with an upstream.

var (
	// errStall means that the upstream stopped sending.
	errStall = errors.New("the upstream stopped sending")
	// errMismatch means that a response belongs to another request or attempt.
	errMismatch = errors.New("the response belongs to another request")
	// errStatus means that a response has no status of a final response.
	errStatus = errors.New("the response has no valid status")
)

// dial connects to an upstream. If it fails, nothing was sent.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &upstreamConn{Conn: c}, nil
}

// upstreamConn is a connection to an upstream. It knows after its end whether all that was
// written has reached the upstream's VM: net/http closes a connection once it has read the
// end of a response there, before the reader of the response is told of it.
type upstreamConn struct {
	net.Conn
	mu     sync.Mutex
	closed bool // invariant: guarded by mu
	unsent bool // invariant: guarded by mu; as of the close
}

// Close implements net.Conn.
func (c *upstreamConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed, c.unsent = true, conns.Unsent(c.Conn)
	}
	return c.Conn.Close()
}

// hasUnsent reports whether bytes written have not reached the upstream's VM.
func (c *upstreamConn) hasUnsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed && c.unsent || !c.closed && conns.Unsent(c.Conn)
}

// dialFailed reports whether err means that no connection was established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// hop is one exchange with an upstream, from the request to the end of the
// response body. It implements io.Reader for that body.
type hop struct {
	call          *call
	upstream      poplar.Upstream
	incarnation   uint64
	fingerprint   poison.Fingerprint
	published     chan struct{} // invariant: guarded by crashTracker.mu; nil before a crash, closed once the crash that broke the hop was published
	address       string
	limit         *limit.Upstream
	sample        *limit.Sample // nil for a resumption, whose latency is not representative
	exclusive     bool          // true if the request is suspect and runs alone at the upstream
	cancel        context.CancelCauseFunc
	ctx           context.Context
	span          trace.Span
	response      *http.Response
	conn          *upstreamConn                   // that carries the request; nil before it is connected
	written       chan httptrace.WroteRequestInfo // invariant: holds the outcome of writing the request once there is one
	memory        *memory.Account                 // counts what is kept of the response
	state         *route.LocalState
	promptTokens  poplar.Tokens
	sentAt        time.Time
	lastActivity  atomic.Int64 // Unix nanoseconds of the last bytes received
	stallTimer    *time.Timer
	gotFirstToken bool                 // true once the first token was recorded in the local state
	tokens        atomic.Int64         // that arrived; unlike gotFirstToken, any goroutine may read it
	progressAt    time.Time            // see crashTracker.recordProgress
	parts         []poison.Fingerprint // of the prompt, that other requests may share
	streams       bool                 // true if the response is a stream of events
	resumed       bool                 // true if the response goes on where another one broke off
}

// outgoingRequest describes a request to an upstream.
type outgoingRequest struct {
	method        string
	path          string // escaped, with the query
	header        http.Header
	body          []byte
	nonIdempotent bool          // the request must not be sent twice
	promptTokens  poplar.Tokens // estimate
}

// open sends the request under the attempt and returns once the response header
// has arrived. After an error before the connection is established, the call
// still counts as not dispatched.
func (a *attempt) open(out outgoingRequest) (*hop, error) {
	c := a.call
	if c.abandoned() {
		c.cancel(errDisconnected)
		return nil, c.contextError(poplar.StepStream).At(string(a.target.name()))
	}
	h := &hop{
		call: c, upstream: a.target.name(), incarnation: a.target.peer.Notice().Incarnation, fingerprint: poison.Fingerprint(c.digest),
		address: a.target.peer.Notice().Address,
		state:   a.target.peer.LocalState(), limit: a.target.peer.Limit(), exclusive: a.target.exclusive,
		promptTokens: out.promptTokens, sentAt: c.edge.conf.Clock.Now(), written: make(chan httptrace.WroteRequestInfo, 1),
		parts: c.parts, streams: c.op.streaming(), resumed: out.header.Get(poplar.HeaderResume) != "",
	}
	ctx, span := c.startSpan(poplar.StepStream)
	span.SetAttributes(attribute.String("poplar.upstream", string(h.upstream)), attribute.Int("poplar.attempt", int(a.grant.Attempt)))
	h.span = span
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	h.memory = c.edge.responses.Open(string(h.upstream), h.evict)
	request, err := a.newRequest(httptrace.WithClientTrace(h.ctx, h.connectionTrace()), out)
	if err != nil {
		h.cancel(err)
		endSpan(span, err)
		return nil, poplar.Fail(poplar.StepStream, poplar.CodeInternal, err).At(string(h.upstream))
	}
	h.recordStart(a)
	h.startStallTimer()
	h.response, err = c.edge.transport(out.nonIdempotent).RoundTrip(request) //nolint:bodyclose // hop.close closes it
	if err != nil {
		if dialFailed(err) {
			h.markUnreachable(a.target)
		}
		err = h.wrapError(err)
		h.close(err)
		return nil, err
	}
	if status := h.response.StatusCode; !conns.ValidStatus(status) {
		err = h.wrapError(fmt.Errorf("%w: %d", errStatus, status))
		h.close(err)
		return nil, err
	}
	h.recordActivity()
	h.heed()
	return h, nil
}

// evict ends the hop, whose response takes too much of the memory for all responses.
func (h *hop) evict() { h.cancel(memory.ErrFull) }

// maxPause bounds the time that an upstream may name, so that times with it cannot
// overflow.
const maxPause = 24 * time.Hour

// heed takes what the response asks for beside its answer: no new requests at all, or none
// for some time.
func (h *hop) heed() {
	header := h.response.Header
	if strings.TrimSpace(header.Get(poplar.HeaderLeaving)) == "1" {
		h.state.Leave()
	}
	if h.response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header.Get(poplar.HeaderRetry)), 64)
	if err != nil || !(seconds > 0) { // NaN is not
		return
	}
	pause := time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
	h.state.Pause(h.call.edge.conf.Clock.Now().Add(pause))
}

// connectionTrace returns a trace that marks the call as dispatched as soon as it
// has a connection, since from then on bytes may reach the upstream.
func (h *hop) connectionTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			h.conn = info.Conn.(*upstreamConn) // made by dial
			h.call.dispatched.Store(true)
		},
		WroteRequest: h.requestWritten,
	}
}

// requestWritten notes how the last write of the request has ended.
func (h *hop) requestWritten(info httptrace.WroteRequestInfo) {
	select {
	case <-h.written: // of a write on another connection
	default:
	}
	h.written <- info
}

// errUnsent ends a response that ended with its connection, before the request was written.
var errUnsent = fmt.Errorf("the response ends before the request was written: %w", io.ErrUnexpectedEOF)

// checkWritten returns err, the end of the body, unless only the end of the connection says so
// and the request was not written: the upstream may have ended before its response did.
func (h *hop) checkWritten(err error) error {
	if h.response.ContentLength >= 0 || len(h.response.TransferEncoding) > 0 {
		return err
	}
	select {
	case info := <-h.written:
		h.written <- info
		if info.Err == nil && !h.conn.hasUnsent() {
			return err
		}
	case <-h.ctx.Done():
	}
	return errUnsent
}

// unreachableTime is how long an upstream that accepts no connections gets no
// new work.
const unreachableTime = time.Second

// markUnreachable ejects an upstream that accepts no connections, unless it is
// already ejected, so that it gets no new work.
func (h *hop) markUnreachable(t *target) {
	now := h.call.edge.conf.Clock.Now()
	h.call.edge.crashes.connectFailed(h.upstream, h.incarnation, now)
	t.release()
	if !h.state.Ejected(now) {
		h.state.Eject(now.Add(unreachableTime))
	}
}

// recordStart registers the hop with the local state and the concurrency limit
// of the upstream, and with the crash tracker.
func (h *hop) recordStart(a *attempt) {
	h.state.Start(h.call.rank, h.promptTokens, h.sentAt)
	if !a.resume {
		h.sample = h.limit.RecordSent(a.target.decision.PredictedWait(), h.sentAt)
	}
	h.call.edge.crashes.hopStarted(h, h.sentAt)
}

func (e *Edge) transport(nonIdempotent bool) *http.Transport {
	if nonIdempotent {
		return e.singleUse
	}
	return e.pooled
}

// newRequest builds the HTTP request to the upstream. Its body cannot be
// rewound, so the transport never sends it twice.
func (a *attempt) newRequest(ctx context.Context, out outgoingRequest) (*http.Request, error) {
	url := "http://" + a.target.peer.Notice().Address + out.path
	r, err := http.NewRequestWithContext(ctx, out.method, url, io.NopCloser(bytes.NewReader(out.body)))
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(out.body))
	if len(out.body) == 0 {
		r.Body = http.NoBody
	}
	r.Header = out.header
	r.Header.Set(poplar.HeaderRequest, a.call.id)
	r.Header.Set(poplar.HeaderAttempt, strconv.FormatUint(uint64(a.grant.Attempt), 10))
	r.Header.Set(poplar.HeaderRank, a.call.rank.String())
	injectTrace(ctx, r.Header)
	return r, nil
}

// Read implements io.Reader.
func (h *hop) Read(p []byte) (int, error) {
	n, err := h.response.Body.Read(p)
	if n > 0 {
		h.recordActivity()
	}
	if errors.Is(err, io.EOF) {
		err = h.checkWritten(err)
	}
	return n, err
}

func (h *hop) recordActivity() { h.lastActivity.Store(h.call.edge.conf.Clock.Now().UnixNano()) }

// startStallTimer starts the timer that ends the hop when the upstream stalls.
func (h *hop) startStallTimer() {
	h.recordActivity()
	stall := h.call.edge.conf.Bounds.Stall
	// checkStall uses the timer, so the timer may fire only once it is stored.
	h.stallTimer = time.AfterFunc(time.Hour, h.checkStall)
	h.stallTimer.Reset(stall)
}

// checkStall ends the hop if the upstream has been silent for too long. While
// the upstream is eligible for new work, it may be silent for as long as the
// rank allows for a first token.
func (h *hop) checkStall() {
	e := h.call.edge
	now := e.conf.Clock.Now()
	silent := now.Sub(time.Unix(0, h.lastActivity.Load()))
	stall := e.conf.Bounds.Stall
	allowed := max(stall, h.call.policy.Rank(h.call.rank).First())
	candidate, known := e.conf.Roster.View().Table().Find(h.upstream)
	if known && candidate.Eligible(now) && silent < allowed || silent < stall {
		h.stallTimer.Reset(max(stall-silent, stall/4))
		return
	}
	h.cancel(errStall)
}

// recordToken records the arrival of a token.
func (h *hop) recordToken() {
	h.tokens.Add(1)
	h.call.edge.crashes.recordProgress(h, h.call.edge.conf.Clock.Now())
	if !h.gotFirstToken {
		h.gotFirstToken = true
		h.state.FirstToken(h.promptTokens)
		if h.sample != nil {
			h.limit.FirstToken(h.sample, h.call.edge.conf.Clock.Now())
		}
	}
}

// wrapError returns err as an error of the step. If the router itself ended the
// hop, the error states that reason instead.
func (h *hop) wrapError(err error) error {
	code := poplar.CodeUpstream
	if reason := context.Cause(h.ctx); reason != nil {
		err = reason
	}
	if errors.Is(err, errExtendFailed) {
		return poplar.Fail(poplar.StepReserve, poplar.CodeOf(err), err)
	}
	if errors.Is(err, errStall) {
		code = poplar.CodeTimeout
	}
	if errors.Is(err, errDisconnected) {
		code = poplar.CodeCancelled
	}
	if errors.Is(err, errAborted) {
		code = poplar.CodeDrain
	}
	return poplar.Fail(poplar.StepStream, code, err).At(string(h.upstream))
}

// close ends the hop. The connection is reused if the response was read to the
// end.
func (h *hop) close(err error) {
	h.stallTimer.Stop()
	h.memory.Close()
	if h.response != nil {
		h.response.Body.Close()
	}
	reason := context.Cause(h.ctx)
	h.cancel(context.Canceled)
	now := h.call.edge.conf.Clock.Now()
	duration := now.Sub(h.sentAt)
	if err != nil {
		duration = 0
	}
	endedHere := errors.Is(reason, errDisconnected) || errors.Is(reason, errAborted) || errors.Is(err, errBudgetSpent)
	failed := err != nil && !endedHere && !permanentFailure(err)
	h.recordEnd(duration, failed, now)
	broken := failed && reason == nil && h.connectionBroke(err)
	h.call.edge.crashes.hopEnded(h, err == nil, broken, now)
	if broken {
		h.probe()
	}
	endSpan(h.span, err)
}

// probeDelays are the waits before the tries of a probe. An upstream that crashes may accept
// connections for a moment longer than it keeps those that it has.
var probeDelays = [...]time.Duration{0, 25 * time.Millisecond, 100 * time.Millisecond}

// probe checks whether the upstream crashed when the connection broke, and
// returns once the crash was published by Config.PublishCrashRecords. The caller
// must not see the error earlier, because its retry might then reach a router
// that does not know of the crash.
func (h *hop) probe() {
	e := h.call.edge
	for _, delay := range probeDelays {
		if delay > 0 {
			time.Sleep(delay)
		}
		conn, err := dial(context.WithoutCancel(h.ctx), "tcp", h.address)
		if err != nil {
			e.crashes.connectFailed(h.upstream, h.incarnation, e.conf.Clock.Now())
			break
		}
		conn.Close()
	}
	e.crashes.awaitPublished(h)
}

// connectionBroke reports whether err means that the upstream broke the
// connection. A response with neither a length nor chunks ends early without an error of
// the connection.
func (h *hop) connectionBroke(err error) bool {
	var op *net.OpError
	endedEarly := errors.Is(err, errTruncated) || errors.Is(err, errCutEvent) || errors.Is(err, errNotJSON)
	return !dialFailed(err) &&
		(h.response == nil || endedEarly || errors.As(err, &op) || errors.Is(err, io.ErrUnexpectedEOF))
}

// bodyDrainTimeout bounds the wait for the end of the body after the last
// event.
const bodyDrainTimeout = 100 * time.Millisecond

// finish reads the rest of the body, so that the connection can be reused, and
// closes the hop.
func (h *hop) finish() {
	h.stallTimer.Stop()
	timer := time.AfterFunc(bodyDrainTimeout, h.cancelBodyDrain)
	// If the body does not end in time, the connection is not reused.
	_, _ = io.CopyN(io.Discard, h.response.Body, bufferBytes)
	timer.Stop()
	h.close(nil)
}

func (h *hop) cancelBodyDrain() { h.cancel(context.Canceled) }

// recordEnd removes the hop from the local state and ends its latency sample.
func (h *hop) recordEnd(duration time.Duration, failed bool, now time.Time) {
	if !h.gotFirstToken {
		h.state.FirstToken(h.promptTokens)
	}
	h.state.Finish(h.call.rank, duration, now)
	if h.sample == nil {
		return
	}
	if !failed && duration > 0 {
		h.limit.FirstToken(h.sample, now)
	}
	h.limit.RecordEnd(h.sample, failed)
}

// checkIdentity refuses a response that names another request or attempt.
func (h *hop) checkIdentity(attempt poplar.Attempt) error {
	header := h.response.Header
	if id := header.Get(poplar.HeaderRequest); id != "" && id != h.call.id {
		h.call.edge.metrics.mismatched.Add(1)
		return errMismatch
	}
	text := header.Get(poplar.HeaderAttempt)
	if text == "" {
		return nil
	}
	if n, err := strconv.ParseUint(text, 10, 32); err != nil || poplar.Attempt(n) != attempt {
		h.call.edge.metrics.mismatched.Add(1)
		return errMismatch
	}
	return nil
}

// errorDetail returns the start of a response body for use in an error.
func (h *hop) errorDetail() string {
	part, err := io.ReadAll(io.LimitReader(h, maxDetailBytes))
	if err != nil {
		return ""
	}
	return string(bytes.TrimSpace(part))
}

const maxDetailBytes = 256
