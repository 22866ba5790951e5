package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/memory"
)

// An attempt is reserved, run at one or more upstreams, and settled once.

const (
	// maxResumes bounds the consecutive resumptions without a new token.
	maxResumes = 3
	// resumePause is half the wait before the first resumption; the wait doubles.
	resumePause = 20 * time.Millisecond
	// settlePause is the wait before a settlement is resent; the wait doubles.
	settlePause = 20 * time.Millisecond
	// cancelTimeout bounds the request that cancels a generation.
	cancelTimeout = time.Second
)

// attempt is one attempt at a request, granted by the ledger.
type attempt struct {
	call      *call
	grant     poplar.Grant
	target    *target
	reserved  poplar.Tokens // invariant: tokens that the ledger has reserved for the attempt
	resume    bool          // true if the attempt joins a generation of an earlier one
	failovers int
	settled   bool              // invariant: true once the only settlement was sent
	responses []*memory.Account // of whole responses; closed by finish
}

// extend raises the reservation by more tokens.
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

// failOver picks another upstream after a failure and reports it to the ledger,
// so that a router that takes over the attempt resumes it at that upstream.
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

// failOverAfter fails over after err. When that is impossible it returns the
// error for the caller: the refusal if the request is now known to be
// poisonous, and err otherwise.
func (a *attempt) failOverAfter(err error) error {
	failErr := a.failOver()
	if failErr == nil || poplar.CodeOf(failErr) == poplar.CodePoison {
		return failErr
	}
	return err
}

// errNoRetry means that package retry allows no further attempt, for instance
// because the retry budget is exhausted.
var errNoRetry = errors.New("no further retry is allowed")

// settle sends the settlement, once per attempt. An error means that the
// settlement is not known to be durable. Unless the ledger has refused it as
// stale, it is resent in the background until it is durable or refused.
func (a *attempt) settle(outcome poplar.Outcome, spent poplar.Tokens, response []byte) error {
	if a.settled {
		return nil
	}
	a.settled = true
	c := a.call
	settlement := poplar.Settlement{
		Workspace: c.caller.Workspace().Name(), Key: c.key, Attempt: a.grant.Attempt,
		Outcome: outcome, Spent: min(spent, a.reserved), Response: response,
	}
	c.billed = settlement.Spent
	ctx, span := c.startSpan(poplar.StepSettle)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.edge.conf.Bounds.Settle)
	defer cancel()
	err := c.edge.settleUntilDurable(ctx, settlement)
	endSpan(span, err)
	if err == nil || poplar.CodeOf(err) == poplar.CodeStale {
		return err
	}
	c.edge.metrics.lateSettlements.Add(1)
	if c.edge.backlog.add(settlement) {
		c.edge.metrics.droppedSettlements.Add(1)
	}
	return err
}

// settleUntilDurable sends a settlement until it is durable or refused, or ctx
// is done.
func (e *Edge) settleUntilDurable(ctx context.Context, settlement poplar.Settlement) error {
	for pause := settlePause; ; pause *= 2 {
		err := e.conf.Ledger.Settle(ctx, settlement)
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

// settlementRefused reports whether err means that the ledger will never accept
// the settlement.
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
	for _, account := range a.responses {
		account.Close()
	}
	if a.settled {
		return
	}
	outcome := poplar.OutcomeNotRun
	if a.call.dispatched.Load() {
		outcome = poplar.OutcomeUnknown
	}
	// A failed settlement is resent from the backlog, and the caller already has
	// an error.
	_ = a.settle(outcome, 0, nil)
}

// cancelGeneration cancels the generation at the upstream. It returns the
// prompt and completion tokens used so far if the upstream reports them.
func (a *attempt) cancelGeneration() (prompt, generated poplar.Tokens, ok bool) {
	if !a.target.peer.Notice().Resume {
		return 0, 0, false // closing the connection cancels it
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

// setResumeHeader asks the upstream to resume the generation at the given
// token.
func setResumeHeader(h http.Header, from poplar.Tokens) {
	h.Set(poplar.HeaderResume, strconv.FormatInt(int64(from), 10))
}
