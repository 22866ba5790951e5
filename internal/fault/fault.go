// Package fault renders errors as RFC 9457 problem bodies and reads them back.
// Callers and operators get the same body.
package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"strconv"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the problem body and its two directions.

// MediaType is the content type of a problem body, from RFC 9457, section 6.1.
const MediaType = "application/problem+json"

// typePrefix precedes the code in the type of a problem.
const typePrefix = "urn:poplarbend:problem:"

// StatusClosed is the status logged when the caller left before the answer.
const StatusClosed = 499

// readBytes bounds a problem body.
const readBytes = 64 << 10

// Problem is the body of every refusal. Type, title, status and detail are
// those of RFC 9457, section 3.1; the rest are extension members.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Detail describes this occurrence for people.
	Detail string `json:"detail,omitempty"`
	// Code classifies the problem for programs.
	Code poplar.Code `json:"code"`
	Step poplar.Step `json:"step,omitempty"`
	// Peer is the daemon or upstream at which the error arose.
	Peer string `json:"peer,omitempty"`
	// Run tells whether the request ran: no, yes or unknown.
	Run poplar.RunState `json:"run"`
	// Retry is the time after which a retry may succeed.
	Retry *time.Time `json:"retry,omitempty"`
}

// outline is the status and title of one code.
type outline struct {
	status int
	title  string
}

var outlines = map[poplar.Code]outline{
	poplar.CodeInvalid:         {http.StatusBadRequest, "The request is malformed"},
	poplar.CodeAuth:            {http.StatusUnauthorized, "The credentials are missing or unknown"},
	poplar.CodeDenied:          {http.StatusForbidden, "The caller may not do this"},
	poplar.CodeMissing:         {http.StatusNotFound, "There is no such thing"},
	poplar.CodeKey:             {http.StatusBadRequest, "The call needs an Idempotency-Key"},
	poplar.CodeConflict:        {http.StatusConflict, "The key or number was used with another body"},
	poplar.CodeBudget:          {http.StatusPaymentRequired, "The budget cannot cover the request"},
	poplar.CodeBusy:            {http.StatusServiceUnavailable, "The wait would be too long"},
	poplar.CodeOpen:            {http.StatusConflict, "An earlier attempt is still running"},
	poplar.CodeExpired:         {http.StatusGone, "The key is older than the record window"},
	poplar.CodePoison:          {http.StatusUnprocessableEntity, "The request crashed upstreams before"},
	poplar.CodeNone:            {http.StatusServiceUnavailable, "No upstream can serve the request"},
	poplar.CodeUpstream:        {http.StatusBadGateway, "The upstream failed"},
	poplar.CodeTimeout:         {http.StatusGatewayTimeout, "A deadline passed"},
	poplar.CodeUnreachable:     {http.StatusServiceUnavailable, "A needed part of the fleet is unreachable"},
	poplar.CodeStale:           {http.StatusConflict, "The number is out of date"},
	poplar.CodeUnknown:         {http.StatusConflict, "The outcome of an earlier attempt is unknown"},
	poplar.CodeDrain:           {http.StatusServiceUnavailable, "The daemon is shutting down"},
	poplar.CodeCorrupt:         {http.StatusInternalServerError, "Durable state is damaged"},
	poplar.CodeDisk:            {http.StatusServiceUnavailable, "A write to disk failed"},
	poplar.CodeLarge:           {http.StatusRequestEntityTooLarge, "A bound on size or count is exceeded"},
	poplar.CodeInternal:        {http.StatusInternalServerError, "The fleet has a defect"},
	poplar.CodeBudgetExhausted: {http.StatusPaymentRequired, "The budget ran out in mid-stream"},
	poplar.CodeCancelled:       {StatusClosed, "The caller left"},
}

// Status returns the HTTP status of code; an unknown code has 500.
func Status(code poplar.Code) int {
	if o, ok := outlines[code]; ok {
		return o.status
	}
	return http.StatusInternalServerError
}

// Describe returns the problem body of err. An error that holds no
// *poplar.Error becomes code internal with run state unknown, and its text is
// left out, since nobody has judged that it is fit for a caller.
func Describe(err error) Problem {
	var e *poplar.Error
	if !errors.As(err, &e) {
		e = poplar.Fail("", poplar.CodeInternal, nil)
	}
	o, ok := outlines[e.Code()]
	if !ok {
		o = outlines[poplar.CodeInternal]
	}
	p := Problem{
		Type:   typePrefix + string(e.Code()),
		Title:  o.title,
		Status: o.status,
		Code:   e.Code(),
		Step:   e.Step(),
		Peer:   e.Peer(),
		Run:    e.Run(),
	}
	if cause := e.Unwrap(); cause != nil {
		p.Detail = cause.Error()
	}
	if retry := e.Retry(); !retry.IsZero() {
		utc := retry.UTC()
		p.Retry = &utc
	}
	return p
}

// Encode returns the problem body of err as JSON, as it also stands in the
// error event of a stream.
func Encode(err error) []byte {
	body, failed := json.Marshal(Describe(err))
	if failed != nil {
		return []byte(`{"code":"internal","run":"unknown"}`)
	}
	return body
}

// Write answers with the problem body of err, its status, and Retry-After in
// whole seconds, rounded up, when err has a retry time. Nothing may have been
// written to w before.
func Write(w http.ResponseWriter, err error) {
	p := Describe(err)
	header := w.Header()
	header.Set("Content-Type", MediaType)
	header.Set("Cache-Control", "no-store")
	if p.Retry != nil {
		wait := math.Ceil(time.Until(*p.Retry).Seconds())
		header.Set("Retry-After", strconv.Itoa(int(max(wait, 0))))
	}
	if p.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	w.Write(Encode(err))
}

// Read returns the error in the body of resp. A body that is no problem
// becomes code upstream with run state unknown. Read does not close the body.
func Read(resp *http.Response) *poplar.Error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, readBytes))
	if err != nil {
		return poplar.Fail(poplar.StepPeer, poplar.CodeUpstream, fmt.Errorf("read problem: %w", err))
	}
	kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if kind != MediaType {
		return poplar.Failf(poplar.StepPeer, poplar.CodeUpstream, "status %s without a problem body", resp.Status)
	}
	return Decode(body)
}

// Decode returns the error in a problem body. A malformed body becomes code
// upstream with run state unknown.
func Decode(body []byte) *poplar.Error {
	var p Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return poplar.Fail(poplar.StepPeer, poplar.CodeUpstream, fmt.Errorf("decode problem: %w", err))
	}
	if p.Code == "" {
		return poplar.Failf(poplar.StepPeer, poplar.CodeUpstream, "problem without a code")
	}
	var cause error
	if p.Detail != "" {
		cause = errors.New(p.Detail)
	}
	var retry time.Time
	if p.Retry != nil {
		retry = *p.Retry
	}
	return poplar.Fail(p.Step, p.Code, cause).At(p.Peer).Ran(p.Run).After(retry)
}
