package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"poplarbend.example/poplar"
)

// This file holds the streamed answer: events go to the caller as they come,
// the last ones after the settlement.

var (
	// errGap means that tokens are missing between two events.
	errGap = errors.New("tokens are missing in the stream")
	// errTruncated means that the stream ended before the answer did.
	errTruncated = errors.New("the stream ended early")
	// errBudgetSpent means that the budget cannot cover the next token.
	errBudgetSpent = errors.New("the budget is spent")
	// errTooManyTokens means that an engine generates more than it was asked for.
	errTooManyTokens = errors.New("the engine went past max_tokens")
	// errExtendFailed means that the ledger does not answer for more tokens.
	errExtendFailed = errors.New("the reservation cannot be raised")
	// errUnknownGeneration means that the upstream does not know the generation.
	errUnknownGeneration = errors.New("the upstream does not know the generation")
)

// maxTokenlessEvents bounds the events without a token in a stream that tells no
// token numbers.
const maxTokenlessEvents = 8

// relay is one streamed answer over all its hops.
type relay struct {
	attempt      *attempt
	request      *completionRequest
	chat         bool
	generated    poplar.Tokens // tokens that went to the caller
	promptTokens poplar.Tokens // of the prompt: the estimate, then the engine's count
	usageKnown   bool          // true once the engine told usage
	responseID   []byte        // of the generation; nil before the first event
	finalEvents  [][]byte      // the last events, kept back until the settlement
	stored       []byte        // the events so far for a retry, when keyed
	tooLarge     bool          // true once kept was over the bound
	resumes      int           // resumptions since the last new token
	lastHop      *hop          // the hop that brought the end of the answer
}

// run relays the answer to its end and settles the attempt.
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

// runHop does one hop and returns nil at the end of the answer.
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

// checkStatus judges the header of an answer.
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

// forwardEvents sends the events of one hop on.
func (r *relay) forwardEvents(h *hop) error {
	events := newSSEReader(h)
	for {
		event, err := events.next()
		switch {
		case err != nil && len(r.finalEvents) > 0:
			return nil // the engine has told the end of the answer
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
		if err := r.handleEvent(h, &event, !events.hasBufferedEvent()); err != nil {
			return err
		}
	}
}

// handleEvent sends one event on, holds it back, or drops it.
func (r *relay) handleEvent(h *hop, event *sseEvent, flush bool) error {
	if !r.belongs(event) {
		r.attempt.call.edge.metrics.mismatched.Add(1)
		return nil
	}
	if event.isFinal() || len(r.finalEvents) > 0 {
		r.attempt.call.response.flushBuffered()
		r.holdBack(event)
		return nil
	}
	if event.numbered && event.position <= r.generated {
		return nil // sent before
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
			r.responseID = []byte(r.attempt.call.id)
		}
	}
	return bytes.Equal(id, r.responseID)
}

// holdBack keeps an event back until the settlement.
func (r *relay) holdBack(event *sseEvent) {
	if event.hasUsage() {
		if prompt, generated, ok := parseUsage(event.data); ok {
			r.promptTokens, r.generated, r.usageKnown = prompt, generated, true
		}
	}
	r.finalEvents = append(r.finalEvents, bytes.Clone(event.data))
}

// ensureReserved makes sure that the reservation covers made tokens.
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

// store remembers an event for a retry.
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

// complete settles a whole answer and sends its end.
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
		// The prompt was longer than estimated. What the budget cannot cover is
		// not billed.
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

// storedResponse returns the kept answer for the settlement.
func (r *relay) storedResponse(complete bool) []byte {
	if !r.attempt.call.keyed || r.tooLarge {
		return nil
	}
	return encodeStored(storedHeader{Status: http.StatusOK, Type: contentTypeEvents, Complete: complete}, r.stored)
}

// recoverFrom decides how a broken answer goes on: resumed at the same upstream,
// run anew at another before the first token, or not at all.
func (r *relay) recoverFrom(err error) (resume bool, failErr error) {
	a := r.attempt
	if a.call.ctx.Err() != nil {
		return false, a.call.contextError(poplar.StepStream)
	}
	if errors.Is(err, errBudgetSpent) {
		return false, poplar.Fail(poplar.StepStream, poplar.CodeSpent, errBudgetSpent)
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

// endIncomplete ends an answer that is not whole: the generation is cancelled, what was
// generated is billed, and the caller is told.
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
		_ = a.settle(poplar.OutcomeUnrun, 0, nil)
	case r.generated == 0 && !ok:
		// The engine may have generated; nobody saw it, and it is not billed.
		_ = a.settle(poplar.OutcomeCut, 0, nil)
	default:
		_ = a.settle(poplar.OutcomeCut, r.request.cost(r.promptTokens, r.generated), r.storedResponse(false))
	}
	return c.finalError(err, r.generated > 0)
}

// finalError returns err with the run state that is true at the end of an attempt.
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

// statusError is an answer of an upstream that is no success.
type statusError struct {
	status int
	detail string
}

// Error implements error.
func (e *statusError) Error() string {
	return http.StatusText(e.status) + ": " + e.detail
}

// retryable reports whether another upstream may answer otherwise.
func (e *statusError) retryable() bool {
	return e.status >= http.StatusInternalServerError ||
		e.status == http.StatusTooManyRequests || e.status == http.StatusNotFound
}
