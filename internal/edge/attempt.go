package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"poplarbend.example/poplar"
)

// This file holds one attempt: what was reserved for it, where it runs, and
// its one settlement.

const (
	// maxResumes bounds the resumptions of a stream without a new token.
	maxResumes = 3
	// resumePause is the wait before the first resumption; it doubles.
	resumePause = 20 * time.Millisecond
	// settlePause is the wait before a settlement is sent again; it doubles.
	settlePause = 20 * time.Millisecond
	// cancelTimeout bounds the cancelling of a generation.
	cancelTimeout = time.Second
)

// attempt is one dispatch that the ledger has granted.
type attempt struct {
	call      *call
	grant     poplar.Grant
	target    *target
	reserved  poplar.Tokens // invariant: what the ledger holds for the attempt
	resume    bool          // true when an earlier generation is to be joined
	failovers int
	settled   bool // invariant: true after the one settlement was sent
}

// extend raises the reservation by more.
func (a *attempt) extend(more poplar.Tokens) error {
	ctx, span := a.call.startSpan(poplar.StepReserve)
	err := a.call.edge.conf.Ledger.Extend(ctx, poplar.Extend{
		Workspace: a.call.caller.Workspace().Name(), Key: a.call.key,
		Attempt: a.grant.Attempt, More: more,
	})
	endSpan(span, err)
	if err == nil {
		a.reserved += more
	}
	return err
}

// failOver goes to another upstream and tells the ledger, so that a router that
// takes over looks there.
func (a *attempt) failOver() error {
	a.failovers++
	c := a.call
	now := c.edge.conf.Clock.Now()
	at, ok := c.edge.retries.decide(a, now)
	if !ok {
		return errNoRetry
	}
	if err := c.sleep(poplar.StepPick, at.Sub(now)); err != nil {
		return err
	}
	a.target.release()
	t, err := c.pick(a.target.name())
	if err != nil {
		return err
	}
	c.edge.metrics.retries.Add(1)
	a.target, a.resume = t, false
	ctx, span := c.startSpan(poplar.StepReserve)
	err = c.edge.conf.Ledger.Extend(ctx, poplar.Extend{
		Workspace: c.caller.Workspace().Name(), Key: c.key,
		Attempt: a.grant.Attempt, Upstream: t.name(),
	})
	endSpan(span, err)
	return err
}

// failOverAfter moves on after err, or returns what the caller is told: that the
// request is refused from now on, or err itself.
func (a *attempt) failOverAfter(err error) error {
	failErr := a.failOver()
	if failErr == nil || poplar.CodeOf(failErr) == poplar.CodePoison {
		return failErr
	}
	return err
}

// errNoRetry means that the bound on retries is reached.
var errNoRetry = errors.New("no retry is left")

// settle sends the one settlement. An error means that it is not known to be
// durable; it is sent again in the background until it is.
func (a *attempt) settle(outcome poplar.Outcome, spent poplar.Tokens, response []byte) error {
	if a.settled {
		return nil
	}
	a.settled = true
	c := a.call
	settle := poplar.Settle{
		Workspace: c.caller.Workspace().Name(), Key: c.key, Attempt: a.grant.Attempt,
		Outcome: outcome, Spent: min(spent, a.reserved), Answer: response,
	}
	c.billed = settle.Spent
	ctx, span := c.startSpan(poplar.StepSettle)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.edge.conf.Bounds.Settle)
	defer cancel()
	err := c.edge.settleUntilDurable(ctx, settle)
	endSpan(span, err)
	if err == nil || poplar.CodeOf(err) == poplar.CodeStale {
		return err
	}
	c.edge.metrics.lateSettlements.Add(1)
	if c.edge.backlog.add(settle) {
		c.edge.metrics.droppedSettlements.Add(1)
	}
	return err
}

// settleUntilDurable sends a settlement until it is durable, refused, or ctx is done.
func (e *Edge) settleUntilDurable(ctx context.Context, settle poplar.Settle) error {
	for pause := settlePause; ; pause *= 2 {
		err := e.conf.Ledger.Settle(ctx, settle)
		if err == nil || settlementRefused(err) {
			return err
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return err
		}
	}
}

// settlementRefused reports whether the ledger will never take a settlement.
func settlementRefused(err error) bool {
	switch poplar.CodeOf(err) {
	case poplar.CodeStale, poplar.CodeInvalid, poplar.CodeMissing, poplar.CodeExpired:
		return true
	default:
		return false
	}
}

// finish settles an attempt that ended without a settlement.
func (a *attempt) finish() {
	a.target.release()
	if a.settled {
		return
	}
	outcome := poplar.OutcomeUnrun
	if a.call.dispatched.Load() {
		outcome = poplar.OutcomeUnknown
	}
	// The error is kept in the backlog, and the caller has its own.
	_ = a.settle(outcome, 0, nil)
}

// cancelGeneration cancels the generation at the upstream and returns the tokens of prompt
// and answer that it had used, when the upstream tells.
func (a *attempt) cancelGeneration() (prompt, generated poplar.Tokens, ok bool) {
	if !a.target.peer.Notice().Resume {
		return 0, 0, false // the closed connection tells it
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.call.ctx), cancelTimeout)
	defer cancel()
	req, err := a.newRequest(ctx, outgoingRequest{method: http.MethodPost, path: "/v1/cancel", header: http.Header{}})
	if err != nil {
		return 0, 0, false
	}
	response, err := a.call.edge.pooled.RoundTrip(req)
	if err != nil {
		return 0, 0, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, bufferBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, 0, false
	}
	return parseUsage(append([]byte(`{"usage":`), append(body, '}')...))
}

// setResumeHeader asks for the generation from the given token on.
func setResumeHeader(h http.Header, from poplar.Tokens) {
	h.Set(poplar.HeaderResume, strconv.FormatInt(int64(from), 10))
}
