package holder

import (
	"context"
	"math/rand/v2"
	"sync"

	"poplarbend.example/poplar"
)

// LeasingLedger is the ledger from which a LeasingClient takes its leases.
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

// NewLeasingClient returns a router's access to ledger, with leases of size
// tokens on each budget that it uses. The router's name must differ at each start
// of the process: tokens that an earlier process did not report stay counted as spent.
func NewLeasingClient(ledger LeasingLedger, router poplar.Daemon, size poplar.Tokens) *LeasingClient {
	return &LeasingClient{
		ledger: ledger, router: router, size: size,
		leases: map[poplar.Budget]*lease{}, reservations: map[poplar.Request]*leaseReservation{},
		used: map[poplar.Budget]bool{},
	}
}

// Reserve implements poplar.Ledger. It gives the call a random id, so that the
// ledger recognizes a retry. A grant from a lease has epoch 0.
func (c *LeasingClient) Reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	if ask.CallID == 0 {
		ask.CallID = rand.Uint64()
	}
	grant, err := c.ledger.Reserve(ctx, ask)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used[ask.Budget] = true
	if err == nil || !isUndecided(err) {
		return grant, err
	}
	// A busy ledger releases the reservation of the call itself.
	if len(c.unanswered) < maxUnanswered && poplar.CodeOf(err) != poplar.CodeBusy {
		c.unanswered = append(c.unanswered, ask)
	}
	if ask.Keyed || !ask.Idempotent {
		return grant, err
	}
	l := c.leases[ask.Budget]
	if l == nil || l.available() < ask.MaxTokens || ask.MaxTokens < 1 {
		return grant, err
	}
	request := poplar.NewRequest(ask.Workspace, ask.Key)
	if c.reservations[request] == nil {
		l.reserved += ask.MaxTokens
		c.reservations[request] = &leaseReservation{budget: ask.Budget, reserved: ask.MaxTokens}
	}
	return poplar.Grant{
		Verdict: poplar.VerdictRun, Attempt: 1, Reserved: c.reservations[request].reserved,
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
func (c *LeasingClient) Extend(ctx context.Context, extend poplar.Extend) error {
	c.mu.Lock()
	r := c.reservations[poplar.NewRequest(extend.Workspace, extend.Key)]
	if r == nil {
		c.mu.Unlock()
		return c.ledger.Extend(ctx, extend)
	}
	defer c.mu.Unlock()
	l := c.leases[r.budget]
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
func (c *LeasingClient) Settle(ctx context.Context, settle poplar.Settlement) error {
	request := poplar.NewRequest(settle.Workspace, settle.Key)
	c.mu.Lock()
	r := c.reservations[request]
	if r == nil {
		c.mu.Unlock()
		return c.ledger.Settle(ctx, settle)
	}
	defer c.mu.Unlock()
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
	l := c.leases[r.budget]
	l.reserved -= r.reserved
	l.spent += spent
	delete(c.reservations, request)
	return nil
}

// releaseUnanswered releases grants whose answers were lost, at most limit of them.
// It sends each call again, which opens a new attempt, and settles that attempt
// as not run.
func (c *LeasingClient) releaseUnanswered(ctx context.Context, limit int) error {
	for range limit {
		c.mu.Lock()
		if len(c.unanswered) == 0 {
			c.mu.Unlock()
			return nil
		}
		ask := c.unanswered[0]
		c.mu.Unlock()
		if err := c.releaseCall(ctx, ask); err != nil {
			return err
		}
		c.mu.Lock()
		c.unanswered = c.unanswered[1:]
		c.mu.Unlock()
	}
	return nil
}

func (c *LeasingClient) releaseCall(ctx context.Context, ask poplar.ReserveRequest) error {
	grant, err := c.ledger.Reserve(ctx, ask)
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
	if err := c.ledger.Settle(ctx, settle); err != nil && isUndecided(err) {
		return err
	}
	return nil
}

// Renew releases grants whose answers were lost, reports the tokens spent from
// leases, refills the leases of budgets that were used since the last call, and
// returns the other leases. A router calls it every few seconds, one call at a
// time.
func (c *LeasingClient) Renew(ctx context.Context) error {
	if err := c.releaseUnanswered(ctx, maxReleasePerRenewal); err != nil {
		return err
	}
	call := c.buildReport(false)
	if len(call.Lines) == 0 {
		return nil
	}
	reply, err := c.ledger.Lease(ctx, call)
	if err != nil {
		return err
	}
	c.applyReply(reply)
	return nil
}

// Drain releases grants whose answers were lost, reports the tokens spent from
// leases and returns the rest.
func (c *LeasingClient) Drain(ctx context.Context) error {
	err := c.releaseUnanswered(ctx, maxUnanswered)
	if _, e := c.ledger.Lease(ctx, c.buildReport(true)); e != nil {
		return e
	}
	return err
}

// buildReport builds the report of all leases. Tokens that it returns are not
// used again, even if the answer is lost.
func (c *LeasingClient) buildReport(returnAll bool) LeaseCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	for budget := range c.used {
		if c.leases[budget] == nil && !returnAll {
			c.leases[budget] = &lease{}
		}
	}
	call := LeaseCall{Router: c.router}
	for budget, l := range c.leases {
		total := l.granted
		switch {
		case returnAll || !c.used[budget]:
			l.returned += max(0, l.available())
		default:
			total = l.granted + max(0, c.size-l.available())
		}
		call.Lines = append(call.Lines, LeaseLine{Budget: budget, Total: total, Spent: l.spent, Returned: l.returned})
	}
	clear(c.used)
	return call
}

func (c *LeasingClient) applyReply(reply LeaseCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, granted := range reply.Lines {
		if l := c.leases[granted.Budget]; l != nil {
			l.granted = max(l.granted, granted.Total)
		}
	}
}
