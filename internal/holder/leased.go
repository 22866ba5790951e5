package holder

import (
	"context"
	"math/rand/v2"
	"sync"

	"poplarbend.example/poplar"
)

// This file holds the router's side: calls that are known when they are sent
// again, and small leases with which a router goes on with idempotent work
// while the ledger is away.

// Leaser is the ledger that a Leased draws on.
type Leaser interface {
	poplar.Ledger
	Lease(ctx context.Context, call LeaseCall) (LeaseCall, error)
}

// Leased is a router's access to its ledger. While the ledger is unreachable it
// reserves idempotent requests with generated keys from small leases; all
// other requests need the ledger, since only it knows their key. It is safe
// for concurrent use.
type Leased struct {
	ledger Leaser
	router poplar.Daemon
	size   poplar.Tokens

	mu     sync.Mutex
	lines  map[poplar.Budget]*line   // guarded by mu
	drafts map[poplar.Request]*draft // guarded by mu; open reservations on leases
	used   map[poplar.Budget]bool    // guarded by mu; budgets asked for since the last Renew
	// unsure holds the calls that got no answer and that nobody waits for. The
	// ledger may have granted them.
	unsure []poplar.ReserveRequest // guarded by mu
}

// The bounds of the calls without an answer that a Leased cleans up, in all and
// in one renewal.
const (
	maxUnsure  = 4096
	maxRelease = 64
)

// line is the lease on one budget.
type line struct {
	granted poplar.Tokens // invariant: only grows
	spent   poplar.Tokens // invariant: only grows
	back    poplar.Tokens // invariant: only grows
	// open is reserved. Invariant: spent + back + open <= granted.
	open poplar.Tokens
}

func (l *line) available() poplar.Tokens { return l.granted - l.spent - l.back - l.open }

// draft is one reservation on a lease.
type draft struct {
	budget   poplar.Budget
	reserved poplar.Tokens
}

var _ poplar.Ledger = (*Leased)(nil)

// NewLeased returns a router's access to ledger, with leases of size tokens on
// each budget that it uses. The router's name must differ at each start of the
// process: what an earlier one did not report stays counted as spent.
func NewLeased(ledger Leaser, router poplar.Daemon, size poplar.Tokens) *Leased {
	return &Leased{
		ledger: ledger, router: router, size: size,
		lines: map[poplar.Budget]*line{}, drafts: map[poplar.Request]*draft{},
		used: map[poplar.Budget]bool{},
	}
}

// Reserve implements poplar.Ledger. It names the call, so that the ledger knows
// it when it is sent again. A grant on a lease has epoch 0.
func (p *Leased) Reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	if ask.CallID == 0 {
		ask.CallID = rand.Uint64()
	}
	grant, err := p.ledger.Reserve(ctx, ask)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used[ask.Budget] = true
	if err == nil || !away(err) {
		return grant, err
	}
	// A busy ledger undoes the call by itself.
	if len(p.unsure) < maxUnsure && poplar.CodeOf(err) != poplar.CodeBusy {
		p.unsure = append(p.unsure, ask)
	}
	if ask.Keyed || !ask.Idempotent {
		return grant, err
	}
	l := p.lines[ask.Budget]
	if l == nil || l.available() < ask.MaxTokens || ask.MaxTokens < 1 {
		return grant, err
	}
	request := poplar.NewRequest(ask.Workspace, ask.Key)
	if p.drafts[request] == nil {
		l.open += ask.MaxTokens
		p.drafts[request] = &draft{budget: ask.Budget, reserved: ask.MaxTokens}
	}
	return poplar.Grant{
		Verdict: poplar.VerdictRun, Attempt: 1, Reserved: p.drafts[request].reserved,
		Upstream: ask.Upstream, Router: ask.Router,
	}, nil
}

// away reports whether err means that the ledger did not decide.
func away(err error) bool {
	switch poplar.CodeOf(err) {
	case poplar.CodeCut, poplar.CodeTimeout, poplar.CodeDisk, poplar.CodeStale, poplar.CodeDrain, poplar.CodeBusy:
		return true
	}
	return false
}

// Extend implements poplar.Ledger.
func (p *Leased) Extend(ctx context.Context, extend poplar.Extend) error {
	p.mu.Lock()
	d := p.drafts[poplar.NewRequest(extend.Workspace, extend.Key)]
	if d == nil {
		p.mu.Unlock()
		return p.ledger.Extend(ctx, extend)
	}
	defer p.mu.Unlock()
	l := p.lines[d.budget]
	if extend.More < 0 || l.available() < extend.More {
		return poplar.Failf(poplar.StepReserve, poplar.CodeBudget,
			"the lease on budget %q has %d tokens, %d are needed", d.budget, l.available(), extend.More)
	}
	l.open += extend.More
	d.reserved += extend.More
	return nil
}

// Settle implements poplar.Ledger. What a lease paid is reported by the next
// Renew. An unknown outcome is reported as spent.
func (p *Leased) Settle(ctx context.Context, settle poplar.Settlement) error {
	request := poplar.NewRequest(settle.Workspace, settle.Key)
	p.mu.Lock()
	d := p.drafts[request]
	if d == nil {
		p.mu.Unlock()
		return p.ledger.Settle(ctx, settle)
	}
	defer p.mu.Unlock()
	if settle.Spent < 0 || settle.Spent > d.reserved {
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid, "spent %d of %d reserved", settle.Spent, d.reserved)
	}
	spent := settle.Spent
	switch settle.Outcome {
	case poplar.OutcomeNotRun:
		spent = 0
	case poplar.OutcomeUnknown:
		spent = d.reserved
	}
	l := p.lines[d.budget]
	l.open -= d.reserved
	l.spent += spent
	delete(p.drafts, request)
	return nil
}

// release gives back what the ledger granted without an answer. Each call is
// sent again, which opens its next attempt, and that attempt is settled: nobody
// ran it.
func (p *Leased) release(ctx context.Context, most int) error {
	for range most {
		p.mu.Lock()
		if len(p.unsure) == 0 {
			p.mu.Unlock()
			return nil
		}
		ask := p.unsure[0]
		p.mu.Unlock()
		if err := p.giveUp(ctx, ask); err != nil {
			return err
		}
		p.mu.Lock()
		p.unsure = p.unsure[1:]
		p.mu.Unlock()
	}
	return nil
}

func (p *Leased) giveUp(ctx context.Context, ask poplar.ReserveRequest) error {
	grant, err := p.ledger.Reserve(ctx, ask)
	if err != nil {
		if away(err) {
			return err
		}
		return nil
	}
	settle := poplar.Settlement{
		Workspace: ask.Workspace, Key: ask.Key, Attempt: grant.Attempt, Outcome: poplar.OutcomeNotRun,
	}
	switch grant.Verdict {
	case poplar.VerdictResume:
		// An attempt of a router that is gone was taken over. It did run.
		settle.Outcome = poplar.OutcomeUnknown
	case poplar.VerdictRun:
	default:
		return nil
	}
	if err := p.ledger.Settle(ctx, settle); err != nil && away(err) {
		return err
	}
	return nil
}

// Renew gives back what was granted without an answer, reports what the leases
// paid, fills up the leases of budgets that were used since the last call, and
// gives back the others. A router calls it every few seconds, one call at a
// time.
func (p *Leased) Renew(ctx context.Context) error {
	if err := p.release(ctx, maxRelease); err != nil {
		return err
	}
	call := p.call(false)
	if len(call.Lines) == 0 {
		return nil
	}
	reply, err := p.ledger.Lease(ctx, call)
	if err != nil {
		return err
	}
	p.take(reply)
	return nil
}

// Drain gives back what was granted without an answer, reports what the leases
// paid and gives back the rest.
func (p *Leased) Drain(ctx context.Context) error {
	err := p.release(ctx, maxUnsure)
	if _, e := p.ledger.Lease(ctx, p.call(true)); e != nil {
		return e
	}
	return err
}

// call builds the report. What is given back here is not used any more, even
// if the answer is lost.
func (p *Leased) call(drain bool) LeaseCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	for budget := range p.used {
		if p.lines[budget] == nil && !drain {
			p.lines[budget] = &line{}
		}
	}
	call := LeaseCall{Router: p.router}
	for budget, l := range p.lines {
		wish := l.granted
		switch {
		case drain || !p.used[budget]:
			l.back += max(0, l.available())
		default:
			wish = l.granted + max(0, p.size-l.available())
		}
		call.Lines = append(call.Lines, LeaseLine{Budget: budget, Total: wish, Spent: l.spent, Back: l.back})
	}
	clear(p.used)
	return call
}

func (p *Leased) take(reply LeaseCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, granted := range reply.Lines {
		if l := p.lines[granted.Budget]; l != nil {
			l.granted = max(l.granted, granted.Total)
		}
	}
}
