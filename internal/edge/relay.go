package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"poplarbend.example/poplar"
)

// The relay of a streamed response forwards events as they arrive and holds the
// final ones back until the settlement is durable.

var (
	// errGap means that tokens are missing between two events.
	errGap = errors.New("tokens are missing in the stream")
	// errTruncated means that the stream ended before the response was complete.
	errTruncated = errors.New("the stream ended early")
	// errBudgetSpent means that the budget cannot cover the next token.
	errBudgetSpent = errors.New("the budget is spent")
	// errTooManyTokens means that an engine generates more tokens than requested.
	errTooManyTokens = errors.New("the engine exceeded max_tokens")
	// errExtendFailed means that the ledger could not raise the reservation for a
	// reason other than the budget.
	errExtendFailed = errors.New("the reservation cannot be raised")
	// errEndTooLarge means that the events from the one with the finish reason on exceed
	// maxEventBytes.
	errEndTooLarge = errors.New("the end of the response is too large")
	// errUnknownGeneration means that the upstream has no generation to resume.
	errUnknownGeneration = errors.New("the upstream does not know the generation")
)

// maxTokenlessEvents is the number of events without a token that are tolerated
// in a stream without token numbers.
const maxTokenlessEvents = 8

// finalEventOverhead is the memory that a held event takes besides its data, in bytes.
const finalEventOverhead = 64

// relay is one streamed response, possibly over several hops.
type relay struct {
	attempt      *attempt
	request      *completionRequest
	chat         bool
	generated    poplar.Tokens // completion tokens forwarded to the caller
	promptTokens poplar.Tokens // estimate, later the number that the engine reports
	usageKnown   bool          // true once the engine has reported usage
	responseID   []byte        // id that the events of the generation carry; nil before the first event
	finalEvents  [][]byte      // held back until the settlement
	finalBytes   int64         // invariant: memory of finalEvents, at most maxEventBytes
	stored       []byte        // events to store for a retry, if keyed
	tooLarge     bool          // true once stored exceeded the configured size
	resumes      int           // resumptions since the last new token
	lastHop      *hop          // hop that delivered the end of the response
}

// run relays the response to its end and settles the attempt.
func (r *relay) run() error {
	for resume := r.attempt.resume; ; {
		err := r.runHop(resume)
		if err == nil {
			err = r.complete()
			r.lastHop.finish()
			return err
		}
		if resume, err = r.recoverFrom(err); err != nil {
			return r.endIncomplete(err)
		}
	}
}

// runHop runs one hop and returns nil at the end of the response.
func (r *relay) runHop(resume bool) error {
	a := r.attempt
	out := outgoingRequest{
		method: http.MethodPost, path: a.call.request.URL.EscapedPath(),
		header: http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}},
		body:   r.request.body, promptTokens: r.request.promptTokens,
	}
	if resume {
		setResumeHeader(out.header, r.generated)
	}
	r.finalEvents, r.finalBytes = nil, 0 // the engine sends the end of the response again
	h, err := a.open(out)
	if err != nil {
		return err
	}
	err = r.checkStatus(h, resume)
	if err == nil {
		err = r.forwardEvents(h)
	}
	if err == nil {
		r.lastHop = h
		return nil
	}
	err = h.wrapError(err)
	h.close(err)
	return err
}

// checkStatus returns an error unless the header of the response is acceptable.
func (r *relay) checkStatus(h *hop, resume bool) error {
	status := h.response.StatusCode
	if status == http.StatusOK {
		return h.checkIdentity(r.attempt.grant.Attempt)
	}
	if resume && status == http.StatusNotFound {
		return errUnknownGeneration
	}
	return &statusError{status: status, detail: h.errorDetail()}
}

// forwardEvents relays the events of one hop.
func (r *relay) forwardEvents(h *hop) error {
	events := newSSEReader(h, h.memory)
	defer events.free()
	for {
		event, err := events.next()
		switch {
		case err != nil && len(r.finalEvents) > 0 && !errors.Is(err, errCutEvent):
			return nil // the engine has already sent the end of the response
		case errors.Is(err, io.EOF):
			return errTruncated
		case err != nil:
			return err
		}
		if event.isDone() {
			if len(r.finalEvents) == 0 && r.generated == 0 {
				return errTruncated
			}
			return nil
		}
		generated, held := r.generated, len(r.finalEvents)
		if err := r.handleEvent(h, &event, !events.hasBufferedEvent()); err != nil {
			return err
		}
		if r.generated > generated || len(r.finalEvents) > held {
			events.advanced()
		}
	}
}

// handleEvent forwards one event, holds it back, or drops it.
func (r *relay) handleEvent(h *hop, event *sseEvent, flush bool) error {
	if !r.belongs(event) {
		r.attempt.call.edge.metrics.mismatched.Add(1)
		return nil
	}
	if event.isFinal() || len(r.finalEvents) > 0 {
		r.attempt.call.response.flushBuffered()
		return r.holdBack(h, event)
	}
	if event.numbered && event.position <= r.generated {
		return nil // already sent
	}
	if event.numbered && event.position > r.generated+1 {
		return errGap
	}
	if r.generated >= r.request.maxTokens+maxTokenlessEvents || event.numbered && event.position > r.request.maxTokens {
		return errTooManyTokens
	}
	if err := r.ensureReserved(min(r.generated+1, r.request.maxTokens)); err != nil {
		return err
	}
	r.generated++
	if r.generated == 1 {
		r.attempt.call.recordFirstToken()
	}
	h.recordToken()
	r.resumes = 0
	r.store(event.data)
	r.attempt.call.response.writeEvent(event.data, flush)
	return nil
}

// belongs reports whether the event belongs to this attempt and generation.
func (r *relay) belongs(event *sseEvent) bool {
	if event.numbered && event.attempt != r.attempt.grant.Attempt {
		return false
	}
	id := event.responseID()
	if id == nil {
		return true
	}
	if r.responseID == nil {
		r.responseID = bytes.Clone(id)
		if r.attempt.target.peer.Notice().Resume {
			// Such an engine names the generation by the id of the request.
			r.responseID = []byte(r.attempt.call.id)
		}
	}
	return bytes.Equal(id, r.responseID)
}

// holdBack retains an event until the settlement.
func (r *relay) holdBack(h *hop, event *sseEvent) error {
	size := int64(len(event.data) + finalEventOverhead)
	if r.finalBytes += size; r.finalBytes > maxEventBytes {
		return errEndTooLarge
	}
	if err := h.memory.Grow(size); err != nil {
		return err
	}
	if event.hasUsage() {
		if prompt, generated, ok := parseUsage(event.data); ok {
			r.promptTokens, r.generated, r.usageKnown = prompt, generated, true
		}
	}
	r.finalEvents = append(r.finalEvents, bytes.Clone(event.data))
	return nil
}

// ensureReserved makes the reservation cover the given number of completion
// tokens.
func (r *relay) ensureReserved(generated poplar.Tokens) error {
	a := r.attempt
	cost := r.request.cost(r.promptTokens, generated)
	if cost <= a.reserved {
		return nil
	}
	step := r.request.initialCost(a.call.policy.Numbers().Reserve)
	more := max(cost-a.reserved, min(step, r.request.maxCost()-a.reserved))
	err := a.extend(more)
	if poplar.CodeOf(err) == poplar.CodeBudget && more > cost-a.reserved {
		err = a.extend(cost - a.reserved)
	}
	if err == nil {
		return nil
	}
	if poplar.CodeOf(err) == poplar.CodeBudget {
		return errBudgetSpent
	}
	return fmt.Errorf("%w: %w", errExtendFailed, err)
}

// store appends an event to the response that is stored for a retry.
func (r *relay) store(data []byte) {
	c := r.attempt.call
	if !c.keyed || r.tooLarge {
		return
	}
	if int64(len(r.stored)+len(data)+len(textData)+len(textEnd)) > c.policy.Numbers().Keep {
		r.tooLarge, r.stored = true, nil
		return
	}
	r.stored = append(append(append(r.stored, textData...), data...), textEnd...)
}

// complete settles a complete response and sends its final events.
func (r *relay) complete() error {
	a := r.attempt
	c := a.call
	if !r.usageKnown {
		data := usageEvent(c.id, r.request.model.Name(), r.chat, r.promptTokens, r.generated)
		r.finalEvents = append(r.finalEvents, data)
	}
	for _, data := range r.finalEvents {
		r.store(data)
	}
	cost := r.request.cost(r.promptTokens, r.generated)
	if cost > a.reserved {
		// The prompt was longer than estimated. Any cost that the budget cannot
		// cover is not billed.
		_ = a.extend(cost - a.reserved)
	}
	if err := a.settle(poplar.OutcomeDone, cost, r.storedResponse(true)); err != nil {
		return poplar.Fail(poplar.StepSettle, poplar.CodeOf(err), err).Ran(poplar.RunYes)
	}
	c.edge.metrics.tokens.Add(int64(r.generated))
	for _, data := range r.finalEvents {
		c.response.writeEvent(data, false)
	}
	c.response.finishStream()
	return nil
}

// storedResponse encodes the response for storage in the ledger, or returns nil
// if it is not to be stored.
func (r *relay) storedResponse(complete bool) []byte {
	if !r.attempt.call.keyed || r.tooLarge {
		return nil
	}
	return encodeStored(storedHeader{Status: http.StatusOK, Type: contentTypeEvents, Complete: complete}, r.stored)
}

// recoverFrom decides how to continue after a hop failed: resume at the same
// upstream, start again at another one if no token was forwarded, or give up.
func (r *relay) recoverFrom(err error) (resume bool, failErr error) {
	a := r.attempt
	if a.call.ctx.Err() != nil {
		return false, a.call.contextError(poplar.StepStream)
	}
	if errors.Is(err, errBudgetSpent) {
		return false, poplar.Fail(poplar.StepStream, poplar.CodeBudgetExhausted, errBudgetSpent)
	}
	if permanentFailure(err) {
		return false, err
	}
	if a.resumable(err) && r.resumes < maxResumes {
		r.resumes++
		a.call.edge.metrics.resumes.Add(1)
		return true, a.call.sleep(poplar.StepStream, resumePause<<r.resumes)
	}
	if r.generated > 0 {
		return false, err
	}
	r.responseID, r.resumes = nil, 0
	return false, a.failOverAfter(err)
}

// endIncomplete ends a response that is incomplete. It cancels the generation,
// bills what was generated, and returns the error for the caller.
func (r *relay) endIncomplete(err error) error {
	a := r.attempt
	c := a.call
	prompt, generated, ok := poplar.Tokens(0), poplar.Tokens(0), false
	if c.dispatched.Load() {
		prompt, generated, ok = a.cancelGeneration()
	}
	if ok {
		r.promptTokens, r.generated = prompt, max(r.generated, generated)
	}
	var status *statusError
	switch {
	case !c.dispatched.Load() || errors.As(err, &status) && r.generated == 0:
		// Nothing was generated.
		_ = a.settle(poplar.OutcomeNotRun, 0, nil)
	case r.generated == 0 && !ok:
		// The engine may have generated tokens, but nobody has received any, so
		// they are not billed.
		_ = a.settle(poplar.OutcomeIncomplete, 0, nil)
	default:
		_ = a.settle(poplar.OutcomeIncomplete, r.request.cost(r.promptTokens, r.generated), r.storedResponse(false))
	}
	return c.finalError(err, r.generated > 0)
}

// finalError returns err with the run state at the end of an attempt.
func (c *call) finalError(err error, ran bool) error {
	var e *poplar.Error
	if !errors.As(err, &e) {
		e = poplar.Fail(poplar.StepStream, poplar.CodeInternal, err)
	}
	switch {
	case ran:
		return withRunState(e, poplar.RunYes)
	case !c.dispatched.Load() && (!c.keyed || c.noPriorRun):
		return withRunState(e, poplar.RunNo)
	default:
		return withRunState(e, poplar.RunUnknown)
	}
}

// statusError is an unsuccessful response of an upstream.
type statusError struct {
	status int
	detail string
}

// Error implements error.
func (e *statusError) Error() string {
	return http.StatusText(e.status) + ": " + e.detail
}

// retryable reports whether another upstream may respond differently.
func (e *statusError) retryable() bool {
	return e.status >= http.StatusInternalServerError ||
		e.status == http.StatusTooManyRequests || e.status == http.StatusNotFound
}
