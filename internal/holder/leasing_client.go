package holder

import (
	"context"
	"math/rand/v2"
	"sync"

	"poplarbend.example/poplar"
)

// LeasingLedger is the ledger from which a Leased takes its leases.
type LeasingLedger interface {
	poplar.Ledger
	Lease(ctx context.Context, call LeaseCall) (LeaseCall, error)
}

// LeasingClient is a router's access to its ledger. It identifies each call, so that the
// ledger recognizes a retry. While the ledger is unreachable, it reserves tokens
// for idempotent requests with generated keys from small leases. All other
// requests need the ledger, which alone knows their keys. It is safe for
// concurrent use.
type LeasingClient struct {
	ledger LeasingLedger
	router poplar.Daemon
	size   poplar.Tokens

	mu           sync.Mutex
	leases       map[poplar.Budget]*lease             // guarded by mu
	reservations map[poplar.Request]*leaseReservation // guarded by mu; open reservations on leases
	used         map[poplar.Budget]bool               // guarded by mu; budgets used since the last Renew
	// unanswered holds the calls that got no answer and have no waiting caller.
	// The ledger may have granted them.
	unanswered []poplar.ReserveRequest // guarded by mu
}

// Limits on the unanswered calls that a LeasingClient stores, and that it releases in
// one renewal.
const (
	maxUnanswered        = 4096
	maxReleasePerRenewal = 64
)

// lease is a lease on one budget. All amounts are in tokens.
type lease struct {
	granted  poplar.Tokens // invariant: only grows
	spent    poplar.Tokens // invariant: only grows
	returned poplar.Tokens // invariant: only grows
	// reserved is the sum of open reservations.
	// Invariant: spent + returned + reserved <= granted.
	reserved poplar.Tokens
}

func (l *lease) available() poplar.Tokens { return l.granted - l.spent - l.returned - l.reserved }

// leaseReservation is one open reservation from a lease.
type leaseReservation struct {
	budget   poplar.Budget
	reserved poplar.Tokens
}

var _ poplar.Ledger = (*LeasingClient)(nil)

// NewLeased returns a router's access to ledger, with leases of size tokens on
// each budget that it uses. The router's name must differ at each start of the
// process: tokens that an earlier process did not report stay counted as spent.
func NewLeased(ledger LeasingLedger, router poplar.Daemon, size poplar.Tokens) *LeasingClient {
	return &LeasingClient{
		ledger: ledger, router: router, size: size,
		leases: map[poplar.Budget]*lease{}, reservations: map[poplar.Request]*leaseReservation{},
		used: map[poplar.Budget]bool{},
	}
}

// Reserve implements poplar.Ledger. It gives the call a random id, so that the
// ledger recognizes a retry. A grant from a lease has epoch 0.
func (p *LeasingClient) Reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	if ask.CallID == 0 {
		ask.CallID = rand.Uint64()
	}
	grant, err := p.ledger.Reserve(ctx, ask)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used[ask.Budget] = true
	if err == nil || !isUndecided(err) {
		return grant, err
	}
	// A busy ledger releases the reservation of the call itself.
	if len(p.unanswered) < maxUnanswered && poplar.CodeOf(err) != poplar.CodeBusy {
		p.unanswered = append(p.unanswered, ask)
	}
	if ask.Keyed || !ask.Idempotent {
		return grant, err
	}
	l := p.leases[ask.Budget]
	if l == nil || l.available() < ask.MaxTokens || ask.MaxTokens < 1 {
		return grant, err
	}
	request := poplar.NewRequest(ask.Workspace, ask.Key)
	if p.reservations[request] == nil {
		l.reserved += ask.MaxTokens
		p.reservations[request] = &leaseReservation{budget: ask.Budget, reserved: ask.MaxTokens}
	}
	return poplar.Grant{
		Verdict: poplar.VerdictRun, Attempt: 1, Reserved: p.reservations[request].reserved,
		Upstream: ask.Upstream, Router: ask.Router,
	}, nil
}

// isUndecided reports whether err means that no decision of the ledger arrived.
func isUndecided(err error) bool {
	switch poplar.CodeOf(err) {
	case poplar.CodeUnreachable, poplar.CodeTimeout, poplar.CodeDisk, poplar.CodeStale, poplar.CodeDrain, poplar.CodeBusy:
		return true
	}
	return false
}

// Extend implements poplar.Ledger.
func (p *LeasingClient) Extend(ctx context.Context, extend poplar.Extend) error {
	p.mu.Lock()
	r := p.reservations[poplar.NewRequest(extend.Workspace, extend.Key)]
	if r == nil {
		p.mu.Unlock()
		return p.ledger.Extend(ctx, extend)
	}
	defer p.mu.Unlock()
	l := p.leases[r.budget]
	if extend.More < 0 || l.available() < extend.More {
		return poplar.Failf(poplar.StepReserve, poplar.CodeBudget,
			"the lease on budget %q has %d tokens available, %d are needed", r.budget, l.available(), extend.More)
	}
	l.reserved += extend.More
	r.reserved += extend.More
	return nil
}

// Settle implements poplar.Ledger. The next Renew reports the tokens spent from a
// lease. With an unknown outcome the whole reservation counts as spent.
func (p *LeasingClient) Settle(ctx context.Context, settle poplar.Settlement) error {
	request := poplar.NewRequest(settle.Workspace, settle.Key)
	p.mu.Lock()
	r := p.reservations[request]
	if r == nil {
		p.mu.Unlock()
		return p.ledger.Settle(ctx, settle)
	}
	defer p.mu.Unlock()
	if settle.Spent < 0 || settle.Spent > r.reserved {
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid, "spent %d tokens, but %d are reserved", settle.Spent, r.reserved)
	}
	spent := settle.Spent
	switch settle.Outcome {
	case poplar.OutcomeNotRun:
		spent = 0
	case poplar.OutcomeUnknown:
		spent = r.reserved
	}
	l := p.leases[r.budget]
	l.reserved -= r.reserved
	l.spent += spent
	delete(p.reservations, request)
	return nil
}

// releaseUnanswered releases grants whose answers were lost, at most limit of them.
// It sends each call again, which opens a new attempt, and settles that attempt
// as not run.
func (p *LeasingClient) releaseUnanswered(ctx context.Context, limit int) error {
	for range limit {
		p.mu.Lock()
		if len(p.unanswered) == 0 {
			p.mu.Unlock()
			return nil
		}
		ask := p.unanswered[0]
		p.mu.Unlock()
		if err := p.releaseCall(ctx, ask); err != nil {
			return err
		}
		p.mu.Lock()
		p.unanswered = p.unanswered[1:]
		p.mu.Unlock()
	}
	return nil
}

func (p *LeasingClient) releaseCall(ctx context.Context, ask poplar.ReserveRequest) error {
	grant, err := p.ledger.Reserve(ctx, ask)
	if err != nil {
		if isUndecided(err) {
			return err
		}
		return nil
	}
	settle := poplar.Settlement{
		Workspace: ask.Workspace, Key: ask.Key, Attempt: grant.Attempt, Outcome: poplar.OutcomeNotRun,
	}
	switch grant.Verdict {
	case poplar.VerdictResume:
		// The call took over the attempt of a removed router, which did run.
		settle.Outcome = poplar.OutcomeUnknown
	case poplar.VerdictRun:
	default:
		return nil
	}
	if err := p.ledger.Settle(ctx, settle); err != nil && isUndecided(err) {
		return err
	}
	return nil
}

// Renew releases grants whose answers were lost, reports the tokens spent from
// leases, refills the leases of budgets that were used since the last call, and
// returns the other leases. A router calls it every few seconds, one call at a
// time.
func (p *LeasingClient) Renew(ctx context.Context) error {
	if err := p.releaseUnanswered(ctx, maxReleasePerRenewal); err != nil {
		return err
	}
	call := p.buildReport(false)
	if len(call.Lines) == 0 {
		return nil
	}
	reply, err := p.ledger.Lease(ctx, call)
	if err != nil {
		return err
	}
	p.applyReply(reply)
	return nil
}

// Drain releases grants whose answers were lost, reports the tokens spent from
// leases and returns the rest.
func (p *LeasingClient) Drain(ctx context.Context) error {
	err := p.releaseUnanswered(ctx, maxUnanswered)
	if _, e := p.ledger.Lease(ctx, p.buildReport(true)); e != nil {
		return e
	}
	return err
}

// buildReport builds the report of all leases. Tokens that it returns are not
// used again, even if the answer is lost.
func (p *LeasingClient) buildReport(returnAll bool) LeaseCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	for budget := range p.used {
		if p.leases[budget] == nil && !returnAll {
			p.leases[budget] = &lease{}
		}
	}
	call := LeaseCall{Router: p.router}
	for budget, l := range p.leases {
		total := l.granted
		switch {
		case returnAll || !p.used[budget]:
			l.returned += max(0, l.available())
		default:
			total = l.granted + max(0, p.size-l.available())
		}
		call.Lines = append(call.Lines, LeaseLine{Budget: budget, Total: total, Spent: l.spent, Returned: l.returned})
	}
	clear(p.used)
	return call
}

func (p *LeasingClient) applyReply(reply LeaseCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, granted := range reply.Lines {
		if l := p.leases[granted.Budget]; l != nil {
			l.granted = max(l.granted, granted.Total)
		}
	}
}
