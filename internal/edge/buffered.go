package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/memory"
)

// Responses that are not streamed are read to the end, settled, and then sent to
// the caller.

var (
	// errResponseTooLarge means that a response exceeds Bounds.MaxResponseBytes.
	errResponseTooLarge = errors.New("the response is too large")
	// errNotJSON means that the response of an engine is not JSON, or not all of it.
	errNotJSON = errors.New("the response is not a whole JSON value")
)

// upstreamResponse is a complete response of an upstream.
type upstreamResponse struct {
	status int
	header http.Header
	body   []byte
}

// fetch runs one exchange with the upstream and reads the whole response.
func (a *attempt) fetch(out outgoingRequest) (*upstreamResponse, error) {
	h, err := a.open(out)
	if err != nil {
		return nil, err
	}
	response, err := a.readResponse(h)
	if err != nil {
		err = h.wrapError(err)
	}
	h.close(err)
	return response, err
}

func (a *attempt) readResponse(h *hop) (*upstreamResponse, error) {
	if err := h.checkIdentity(a.grant.Attempt); err != nil {
		return nil, err
	}
	body, err := a.readBody(h)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	h.recordToken()
	a.call.recordFirstToken()
	return &upstreamResponse{status: h.response.StatusCode, header: h.response.Header, body: body}, nil
}

// readBody reads the whole body of a response. Its memory is counted until the attempt
// finishes.
func (a *attempt) readBody(h *hop) ([]byte, error) {
	length := h.response.ContentLength
	if h.response.Body == http.NoBody {
		length = 0
	}
	blocks, err := h.memory.Read(h, length, a.call.edge.conf.Bounds.MaxResponseBytes)
	if errors.Is(err, memory.ErrTooLong) {
		return nil, errResponseTooLarge
	}
	if err != nil {
		return nil, err
	}
	body, err := h.memory.Join(blocks)
	if err != nil {
		return nil, err
	}
	if !h.memory.Seal() {
		return nil, memory.ErrFull
	}
	a.responses = append(a.responses, h.memory)
	h.memory = nil
	return body, nil
}

// storedResponse encodes the response for storage in the ledger. It returns nil
// if the request is not keyed or the response exceeds the configured size.
func (a *attempt) storedResponse(response *upstreamResponse) []byte {
	if !a.call.keyed || int64(len(response.body)) > a.call.policy.Numbers().Keep {
		return nil
	}
	return encodeStored(storedHeader{Status: response.status, Type: response.header.Get("Content-Type"), Complete: true}, response.body)
}

// runBuffered runs a completion that is not streamed.
func (r *completionRequest) runBuffered(a *attempt) error {
	for resumes := 0; ; {
		response, err := r.fetch(a)
		if err == nil {
			return r.settle(a, response)
		}
		if a.call.ctx.Err() != nil {
			return r.fail(a, a.call.contextError(poplar.StepStream))
		}
		if a.resumable(err) && resumes < maxResumes {
			resumes++
			a.resume = true
			a.call.edge.metrics.resumes.Add(1)
			if failErr := a.call.sleep(poplar.StepStream, resumePause<<resumes); failErr != nil {
				return r.fail(a, failErr)
			}
			continue
		}
		if permanentFailure(err) {
			return r.fail(a, err)
		}
		if failErr := a.failOverAfter(err); failErr != nil {
			return r.fail(a, failErr)
		}
		resumes = 0
	}
}

// resumable reports whether, after err, the upstream may still have a
// generation that the attempt can resume.
func (a *attempt) resumable(err error) bool {
	var status *statusError
	switch {
	case !a.call.dispatched.Load() || !a.target.peer.Notice().Resume:
		return false
	case errors.As(err, &status), errors.Is(err, errUnknownGeneration), errors.Is(err, errResponseTooLarge):
		return false
	}
	return true
}

// permanentFailure reports whether err would recur at any other upstream.
func permanentFailure(err error) bool {
	var status *statusError
	return errors.Is(err, errResponseTooLarge) || errors.Is(err, errTooManyTokens) || errors.Is(err, errExtendFailed) ||
		errors.As(err, &status) && !status.retryable()
}

// fetch runs one exchange with the upstream and checks status and body. A body with neither
// a length nor chunks may have been cut, and only its content shows that.
func (r *completionRequest) fetch(a *attempt) (*upstreamResponse, error) {
	response, err := a.fetch(r.outgoingRequest(a))
	if err != nil {
		return nil, err
	}
	if err := r.checkStatus(a, response); err != nil {
		return nil, err
	}
	if !json.Valid(response.body) {
		return nil, poplar.Fail(poplar.StepStream, poplar.CodeUpstream, errNotJSON).At(string(a.target.name()))
	}
	return response, nil
}

func (r *completionRequest) outgoingRequest(a *attempt) outgoingRequest {
	out := outgoingRequest{
		method: http.MethodPost, path: a.call.request.URL.EscapedPath(),
		header: http.Header{"Content-Type": {"application/json"}},
		body:   r.body, promptTokens: r.promptTokens,
	}
	if a.resume {
		setResumeHeader(out.header, 0)
	}
	return out
}

// checkStatus returns an error unless the response is a success.
func (r *completionRequest) checkStatus(a *attempt, response *upstreamResponse) error {
	if response.status == http.StatusOK {
		return nil
	}
	if a.resume && response.status == http.StatusNotFound {
		return errUnknownGeneration
	}
	statusErr := &statusError{status: response.status, detail: string(response.body[:min(len(response.body), maxDetailBytes)])}
	return poplar.Fail(poplar.StepStream, poplar.CodeUpstream, statusErr).At(string(a.target.name()))
}

// settle bills a complete response and sends it to the caller.
func (r *completionRequest) settle(a *attempt, response *upstreamResponse) error {
	prompt, generated, ok := parseUsage(response.body)
	if !ok {
		prompt, generated = r.promptTokens, r.maxTokens
	}
	cost := r.cost(prompt, generated)
	if cost > a.reserved {
		// Any cost that the budget cannot cover is not billed.
		_ = a.extend(cost - a.reserved)
	}
	if err := a.settle(poplar.OutcomeDone, cost, a.storedResponse(response)); err != nil {
		return poplar.Fail(poplar.StepSettle, poplar.CodeOf(err), err).Ran(poplar.RunYes)
	}
	a.call.edge.metrics.tokens.Add(int64(generated))
	a.call.response.writeResponse(response.status, responseHeader(response.header), response.body)
	return nil
}

// fail ends a completion without a response. Tokens that the engine reports as
// generated are billed.
func (r *completionRequest) fail(a *attempt, err error) error {
	c := a.call
	if !c.dispatched.Load() {
		_ = a.settle(poplar.OutcomeNotRun, 0, nil)
		return c.finalError(err, false)
	}
	prompt, generated, ok := a.cancelGeneration()
	var status *statusError
	switch {
	case ok && generated > 0:
		_ = a.settle(poplar.OutcomeIncomplete, r.cost(prompt, generated), nil)
	case errors.As(err, &status):
		_ = a.settle(poplar.OutcomeNotRun, 0, nil)
	default:
		_ = a.settle(poplar.OutcomeIncomplete, 0, nil)
	}
	return c.finalError(err, ok && generated > 0)
}
