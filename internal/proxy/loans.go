package proxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/wallet"
)

// A router borrows tokens from other routers when it lacks them. The requests of a
// workspace that wait for tokens share one round of loan requests: calls for each of them
// would grow with the load of a router that is already short, and take the processor time
// and the bandwidth that its draws need.

const (
	// loanTimeout limits a call to another router. A router that does not
	// answer is not asked again for lenderBackoff.
	loanTimeout   = 80 * time.Millisecond
	lenderBackoff = time.Second
	// maxLenders is the number of routers that are asked in one round.
	maxLenders = 24
	// parallelLoans is the number of routers that are asked at once while the log is
	// unreachable. Each may lend all that is lacking, so a larger number takes more from
	// the others than is needed.
	parallelLoans = 3
)

// loanRound asks other routers for the tokens that all waiting requests of a workspace
// lack.
type loanRound struct {
	proxy     *Proxy
	workspace poplar.Workspace

	mu       sync.Mutex
	news     chan struct{} // invariant: guarded by mu; closed at the next loan and at the end
	ended    bool          // invariant: guarded by mu
	lendable poplar.Tokens // invariant: guarded by mu; what the routers that were asked may lend in the next second
}

// borrow takes part in a round of loans until the tokens can be reserved. If they cannot,
// lendable is the sum of the tokens that the routers which were asked may be able to lend
// in the next second. The wallet must know of the request, see wallet.Await.
func (p *Proxy) borrow(ctx context.Context, w poplar.Workspace, tokens poplar.Tokens) (ok bool, lendable poplar.Tokens) {
	r, joined := p.joinLoanRound(w)
	for {
		news, ended, lendable := r.state()
		if p.wallet.Reserve(w, tokens, time.Now()) {
			return true, 0
		}
		if ended {
			if !joined {
				return false, lendable
			}
			// The routers that were asked before the request joined did not lend
			// for it.
			r, _ = p.joinLoanRound(w)
			joined = false
			continue
		}
		select {
		case <-news:
		case <-ctx.Done():
			return false, lendable
		}
	}
}

// joinLoanRound returns the current round of a workspace, or starts one. It reports
// whether the round had begun.
func (p *Proxy) joinLoanRound(w poplar.Workspace) (r *loanRound, begun bool) {
	p.lenderMu.Lock()
	defer p.lenderMu.Unlock()
	r, begun = p.loanRounds[w]
	if !begun {
		r = &loanRound{proxy: p, workspace: w, news: make(chan struct{})}
		p.loanRounds[w] = r
		p.start(r.run)
	}
	return r, begun
}

// run asks other routers, at most maxLenders of them, until the waiting requests have
// their tokens.
func (r *loanRound) run() {
	p := r.proxy
	routers := p.likelyLenders(r.workspace, time.Now())
	routers = routers[:min(len(routers), maxLenders)]
	for len(routers) > 0 && p.ctx.Err() == nil && p.wallet.Awaited(r.workspace) > 0 {
		count := 1
		if p.drewOnce.Load() && !p.drawsSucceed.Load() {
			count = min(parallelLoans, len(routers))
		}
		var calls sync.WaitGroup
		for _, address := range routers[:count] {
			c := &loanCall{round: r, address: address}
			calls.Go(c.run)
		}
		calls.Wait()
		routers = routers[count:]
	}
	p.lenderMu.Lock()
	delete(p.loanRounds, r.workspace)
	p.lenderMu.Unlock()
	r.tell(0, true)
}

// loanCall asks one router.
type loanCall struct {
	round   *loanRound
	address string
}

func (c *loanCall) run() {
	r := c.round
	r.tell(r.proxy.borrowFrom(c.address, r.workspace), false)
}

// likelyLenders returns the other routers in random order, those first that last had the
// most tokens of the workspace. It leaves out those that are not asked now.
func (p *Proxy) likelyLenders(w poplar.Workspace, now time.Time) []string {
	routers := slices.Clone(p.view.Load().routers)
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	p.lenderMu.Lock()
	defer p.lenderMu.Unlock()
	routers = slices.DeleteFunc(routers, func(a string) bool {
		return a == p.settings.Address || now.Before(p.lenders[a].notBefore)
	})
	slices.SortStableFunc(routers, func(a, b string) int {
		return cmp.Compare(p.lenders[b].likely(w), p.lenders[a].likely(w))
	})
	return routers
}

// tell wakes the requests that take part.
func (r *loanRound) tell(lendable poplar.Tokens, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lendable += lendable
	r.ended = ended
	close(r.news)
	r.news = make(chan struct{})
}

func (r *loanRound) state() (news <-chan struct{}, ended bool, lendable poplar.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.news, r.ended, r.lendable
}

// borrowFrom asks one router for a loan and returns the tokens that it may be
// able to lend in the next second.
func (p *Proxy) borrowFrom(address string, w poplar.Workspace) poplar.Tokens {
	p.lenderMu.Lock()
	from := p.lenders[address]
	p.lenderMu.Unlock()
	now := time.Now()
	req, lacks := p.wallet.NextLoan(w, from.life, p.wallet.Awaited(w), now)
	if !lacks || now.Before(from.notBefore) {
		return 0
	}
	p.metrics.loans.Add(1)
	resp, err := peer.CallWithin[wallet.LoanRequest, wallet.LoanResponse](p.ctx, loanTimeout, p.pool, peer.Seed(address), core.OpLend, req)
	if err != nil {
		p.metrics.loansFailed.Add(1)
		p.log.Debug("loan request failed; router not asked again until back-off ends", "at", address, "error", err)
		p.setLender(address, lender{life: from.life, notBefore: time.Now().Add(lenderBackoff)})
		return 0
	}
	// A router that has restarted begins the sum of its loans at zero.
	p.setLender(address, lender{life: resp.Lender, workspace: w, tokens: resp.ReadySoon})
	p.wallet.ApplyLoan(w, resp)
	p.log.Debug("loan", "at", address, "workspace", string(w), "had", int64(req.Received), "sum", int64(resp.Total))
	return resp.ReadySoon
}

// lender is the state of a router that is asked for loans.
type lender struct {
	life      wallet.Life // of the router, that answered last
	notBefore time.Time   // invariant: no loan request is sent before this time
	workspace poplar.Workspace
	tokens    poplar.Tokens // of the workspace, that it last expected to have or reported
}

// likely returns the tokens of a workspace that the router may have.
func (l lender) likely(w poplar.Workspace) poplar.Tokens {
	if l.workspace != w {
		return 0
	}
	return l.tokens
}

// noteLender records what a router reported about its tokens of a workspace.
func (p *Proxy) noteLender(address string, w poplar.Workspace, tokens poplar.Tokens) {
	if w == "" {
		return
	}
	p.lenderMu.Lock()
	defer p.lenderMu.Unlock()
	l := p.lenders[address]
	l.workspace, l.tokens = w, tokens
	p.lenders[address] = l
}

func (p *Proxy) setLender(address string, l lender) {
	p.lenderMu.Lock()
	defer p.lenderMu.Unlock()
	p.lenders[address] = l
}
