package edge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/pkg/memory"
	"poplarbend.example/poplar/pkg/poison"
)

// A completion request is decoded and priced before it is admitted.

// bytesPerToken is used to estimate the tokens of a prompt before the engine
// reports their number.
const bytesPerToken = 4

// completionFields is the part of a request body that the router reads. The
// engine receives all other fields unchanged.
type completionFields struct {
	Model               poplar.Model    `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Choices             *int64          `json:"n"`
	Stream              bool            `json:"stream"`
}

// completionRequest is a decoded completion request.
type completionRequest struct {
	model        *conf.Model
	chat         bool
	streamed     bool          // true if the response is a stream of events
	promptJSON   []byte        // raw JSON value of the prompt
	body         []byte        // body sent to the engine
	promptTokens poplar.Tokens // estimate, at least 1
	maxTokens    poplar.Tokens // invariant: completion tokens allowed, from 1 to the maximum of the model
}

// decodeCompletion decodes a completion request for a model of the policy.
func decodeCompletion(policy *conf.Policy, body []byte, chat bool) (*completionRequest, error) {
	var c completionFields
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, refuse(poplar.StepParse, poplar.CodeInvalid, "decode body: %w", err)
	}
	if body[0] == 'n' {
		return nil, refuse(poplar.StepParse, poplar.CodeInvalid, "decode body: null is not an object")
	}
	promptJSON := c.Prompt
	if chat {
		promptJSON = c.Messages
	}
	if len(promptJSON) == 0 || string(promptJSON) == "null" {
		field := "prompt"
		if chat {
			field = "messages"
		}
		return nil, refuse(poplar.StepParse, poplar.CodeInvalid, "field %s is missing", field)
	}
	if chat && promptJSON[0] != '[' {
		return nil, refuse(poplar.StepParse, poplar.CodeInvalid, "field messages is not a list")
	}
	if c.Choices != nil && *c.Choices != 1 {
		return nil, refuse(poplar.StepParse, poplar.CodeInvalid, "field n is %d, only 1 is supported", *c.Choices)
	}
	model, ok := policy.Model(c.Model)
	if !ok {
		return nil, refuse(poplar.StepParse, poplar.CodeMissing, "there is no model %q", c.Model)
	}
	maxTokens, err := c.maxTokens(model)
	if err != nil {
		return nil, err
	}
	r := &completionRequest{model: model, streamed: c.Stream, promptJSON: promptJSON, maxTokens: maxTokens}
	r.promptTokens = poplar.Tokens(len(promptJSON)+bytesPerToken-1) / bytesPerToken
	r.body = withTokenLimit(body, c.Stream, chat && c.MaxCompletionTokens != nil, maxTokens)
	return r, nil
}

// sharedParts returns the fingerprints of the messages of a chat that other requests
// may share: all but the last.
func (r *completionRequest) sharedParts() []poison.Fingerprint {
	var messages []json.RawMessage
	if !r.chat || json.Unmarshal(r.promptJSON, &messages) != nil || len(messages) < 2 {
		return nil
	}
	parts := make([]poison.Fingerprint, len(messages)-1)
	for i := range parts {
		parts[i] = poison.PartFingerprint(messages[i])
	}
	return parts
}

// maxTokens returns the maximum number of completion tokens.
func (c *completionFields) maxTokens(model *conf.Model) (poplar.Tokens, error) {
	limit := c.MaxTokens
	if limit == nil {
		limit = c.MaxCompletionTokens
	}
	if limit == nil {
		return model.Tokens(), nil
	}
	maxTokens := poplar.Tokens(*limit)
	if maxTokens < 1 || maxTokens > model.Tokens() {
		return 0, refuse(poplar.StepParse, poplar.CodeInvalid,
			"max_tokens is %d, model %s allows 1 to %d", maxTokens, model.Name(), model.Tokens())
	}
	return maxTokens, nil
}

// withTokenLimit returns body with the token limit, and for a stream with the
// request for usage, appended as its last fields. Decoders take the last of
// repeated fields, so these override the caller's.
func withTokenLimit(body []byte, stream, setMaxCompletion bool, maxTokens poplar.Tokens) []byte {
	body = bytes.TrimRight(body, " \t\r\n")
	out := make([]byte, 0, len(body)+96)
	out = append(out, body[:len(body)-1]...)
	out = fmt.Appendf(out, `,"max_tokens":%d`, maxTokens)
	if setMaxCompletion {
		out = fmt.Appendf(out, `,"max_completion_tokens":%d`, maxTokens)
	}
	if stream {
		out = append(out, `,"stream_options":{"include_usage":true}`...)
	}
	return append(out, '}')
}

// cost returns the cost of the prompt and of the generated tokens, rounded up.
func (r *completionRequest) cost(promptTokens, generated poplar.Tokens) poplar.Tokens {
	cost := r.model.Prefill()*float64(promptTokens) + r.model.Decode()*float64(generated)
	return max(poplar.Tokens(math.Ceil(cost)), 1)
}

// maxCost returns the maximum cost of the request, based on the estimate for
// the prompt.
func (r *completionRequest) maxCost() poplar.Tokens { return r.cost(r.promptTokens, r.maxTokens) }

// initialCost returns the tokens to reserve before dispatch: the given portion
// of the maximum cost, but at least the cost of the prompt and one token.
func (r *completionRequest) initialCost(portion float64) poplar.Tokens {
	part := poplar.Tokens(math.Ceil(portion * float64(r.maxCost())))
	return min(max(part, r.cost(r.promptTokens, 1)), r.maxCost())
}

// readBody reads the body of r within the limits for size and time, and within the memory
// for all bodies.
func readBody(w http.ResponseWriter, r *http.Request, l conf.Limits, account *memory.Account, now time.Time) ([]byte, error) {
	if r.ContentLength > l.Body {
		return nil, refuse(poplar.StepParse, poplar.CodeLarge,
			"the body has %d bytes, the limit is %d", r.ContentLength, l.Body)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// httptest.ResponseRecorder supports no deadline; the size limit still applies.
	_ = control.SetReadDeadline(now.Add(l.Read))
	body, err := readAll(http.MaxBytesReader(w, r.Body, l.Body), r.ContentLength, l.Body, account)
	full := !account.Seal() || errors.Is(err, memory.ErrFull)
	if err == nil && !full {
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The deadline remains set, so that the server does not wait for the rest of
	// the body either.
	w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case full:
		return nil, refuse(poplar.StepParse, poplar.CodeBusy, "%w", memory.ErrFull).After(now.Add(maxWait))
	case errors.As(err, &tooLarge):
		return nil, refuse(poplar.StepParse, poplar.CodeLarge, "the body has more than %d bytes", l.Body)
	}
	return nil, refuse(poplar.StepParse, poplar.CodeInvalid, "the body is incomplete")
}

// readAll reads r to its end, with a single allocation if the length is known.
func readAll(r io.Reader, length, limit int64, account *memory.Account) ([]byte, error) {
	if length < 0 {
		blocks, err := account.Read(r, length, limit)
		if err != nil {
			return nil, err
		}
		return account.Join(blocks)
	}
	if err := account.Grow(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	return body, nil
}
