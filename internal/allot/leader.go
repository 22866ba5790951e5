package allot

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/pkg/share"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the leader's side: it decides on issues and recalls.

// Times and bounds of the leader.
const (
	period       = 100 * time.Millisecond
	proposeTime  = 2 * time.Second
	batchMaximum = 512 // shares in one command
	// scanPeriod is the time between two looks at all budgets with free tokens.
	scanPeriod = 5 * time.Second
)

// Config is what an Allotter needs.
type Config struct {
	// Read calls its argument with the replicated state.
	Read func(func(*state.State))
	// Leads reports whether this daemon leads the log.
	Leads func() bool
	// Proposer appends to the log.
	Proposer poplar.Proposer
	Policy   share.Policy
	Clock    poplar.Clock
	Log      *log.Logger
}

// site is what the leader remembers of one budget in one domain.
type site struct {
	want  Want
	short poplar.Tokens // asked for and not yet issued
}

// account is what the leader remembers of one budget.
type account struct {
	serial poplar.Index
	sites  map[poplar.Domain]*site
}

// Allotter decides at the leader of the log. It is safe for concurrent use.
type Allotter struct {
	conf Config

	mu       sync.Mutex
	accounts map[poplar.Budget]*account                      // invariant: guarded by mu
	heard    map[poplar.Domain]time.Time                     // invariant: guarded by mu; last report
	dirty    map[poplar.Budget]bool                          // invariant: guarded by mu; to be decided
	recalls  map[poplar.Domain]map[poplar.Budget]state.Share // invariant: guarded by mu; to be told once
	returns  []state.Share                                   // invariant: guarded by mu; to be proposed
	seen     poplar.Revision                                 // invariant: guarded by mu
	scan     time.Time                                       // invariant: guarded by mu; next look at all budgets

	kick  chan struct{}
	loops loops.Runner
}

var _ Leader = (*Allotter)(nil)

// New returns an allotter. Start must be called for it to decide.
func New(conf Config) *Allotter {
	a := &Allotter{conf: conf, kick: make(chan struct{}, 1)}
	a.reset()
	return a
}

func (a *Allotter) reset() {
	a.accounts = map[poplar.Budget]*account{}
	a.heard = map[poplar.Domain]time.Time{}
	a.dirty = map[poplar.Budget]bool{}
	a.recalls = map[poplar.Domain]map[poplar.Budget]state.Share{}
	a.returns = nil
	a.scan = time.Time{}
}

// Start begins to decide whenever this daemon leads.
func (a *Allotter) Start() { a.loops.Start(a.loop) }

// Stop ends the decisions.
func (a *Allotter) Stop() { a.loops.Stop() }

// Report takes a primary's report and answers with the recalls for its domain.
func (a *Allotter) Report(_ context.Context, report Report) (Orders, error) {
	if !a.conf.Leads() {
		return Orders{}, poplar.Failf(poplar.StepPropose, poplar.CodeStale, "this daemon does not lead").Ran(poplar.RunNo)
	}
	now := a.conf.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.heard[report.Domain]; !known {
		a.scan = time.Time{}
	}
	a.heard[report.Domain] = now
	orders := Orders{}
	for _, w := range report.Wants {
		a.take(report.Domain, w)
		if w.Short > 0 {
			orders.Left = append(orders.Left, Left{Budget: w.Budget, Tokens: a.leftOf(w.Budget, report.Domain, now)})
		}
	}
	if len(orders.Left) > 0 {
		a.hurry()
	}
	orders.Recalls = a.ordersFor(report.Domain)
	return orders, nil
}

// hurry makes the next decision come at once.
func (a *Allotter) hurry() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// leftOf returns the tokens of a budget that are free, or unspent in other
// domains that were heard lately. The caller holds mu.
func (a *Allotter) leftOf(budget poplar.Budget, domain poplar.Domain, now time.Time) poplar.Tokens {
	left := poplar.Tokens(0)
	a.conf.Read(func(s *state.State) {
		b, ok := s.Budget(budget)
		if !ok || b.Deleted {
			return
		}
		left = b.Free
		holdings := make(map[poplar.Domain]state.Holding, len(b.Holdings))
		for _, h := range b.Holdings {
			holdings[h.Domain] = h
		}
		for _, site := range a.sites(b, holdings) {
			if site.Domain != domain && now.Sub(site.LastReport) <= a.conf.Policy.MaxReportAge {
				left += site.Held
			}
		}
	})
	return left
}

// take remembers one want. The caller holds mu.
func (a *Allotter) take(domain poplar.Domain, w Want) {
	acc := a.accounts[w.Budget]
	if acc == nil || acc.serial < w.Serial {
		acc = &account{serial: w.Serial, sites: map[poplar.Domain]*site{}}
		a.accounts[w.Budget] = acc
	}
	if w.Serial < acc.serial && !w.Final {
		return
	}
	s := acc.sites[domain]
	if s == nil {
		s = &site{}
		acc.sites[domain] = s
	}
	s.want = w
	s.short = max(s.short, w.Short)
	a.dirty[w.Budget] = true
	if w.Final || w.Returned > a.returnedOf(domain, w) {
		a.returns = append(a.returns, state.Share{
			Budget: w.Budget, Domain: domain, Tokens: w.Returned, Serial: w.Serial, Final: w.Final,
		})
	}
}

// returnedOf returns what the log knows as returned, so that a counter that it
// has is not proposed again.
func (a *Allotter) returnedOf(domain poplar.Domain, w Want) poplar.Tokens {
	returned := poplar.Tokens(0)
	a.conf.Read(func(s *state.State) {
		b, ok := s.Budget(w.Budget)
		if !ok || b.Serial != w.Serial {
			returned = w.Returned
			return
		}
		for _, h := range b.Holdings {
			if h.Domain == domain {
				returned = h.Returned
			}
		}
	})
	return returned
}

// ordersFor takes the recalls of a domain. Each is told once; when the answer
// is lost, the next decision about the budget asks again. The caller holds mu.
func (a *Allotter) ordersFor(domain poplar.Domain) []state.Share {
	var orders []state.Share
	for budget, order := range a.recalls[domain] {
		delete(a.recalls[domain], budget)
		orders = append(orders, order)
		if len(orders) == batchMaximum {
			break
		}
	}
	return orders
}

func (a *Allotter) loop(ctx context.Context) { loops.Tick(ctx, period, a.kick, a.round) }

// round decides on what has changed and proposes it.
func (a *Allotter) round(ctx context.Context) {
	if !a.conf.Leads() {
		a.mu.Lock()
		if len(a.heard) > 0 {
			a.reset()
		}
		a.mu.Unlock()
		return
	}
	if returns := a.takeReturns(); len(returns) > 0 {
		a.propose(ctx, state.Command{Return: &state.Return{Shares: returns}})
	}
	issues := a.decide(a.conf.Clock.Now())
	for len(issues) > 0 {
		n := min(len(issues), batchMaximum)
		a.propose(ctx, state.Command{Issue: &state.Issue{Shares: issues[:n]}})
		issues = issues[n:]
	}
}

func (a *Allotter) takeReturns() []state.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.returns), batchMaximum)
	out := a.returns[:n:n]
	a.returns = a.returns[n:]
	return out
}

func (a *Allotter) propose(ctx context.Context, c state.Command) {
	call, cancel := context.WithDeadline(ctx, time.Now().Add(proposeTime))
	defer cancel()
	if _, err := a.conf.Proposer.Propose(call, state.Encode(c)); err != nil && ctx.Err() == nil {
		a.conf.Log.Warn("shares are not moved", "step", poplar.StepPropose, "err", err)
	}
}

// decide returns the issues that the policy wants, and notes the recalls.
func (a *Allotter) decide(now time.Time) []state.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.heard) == 0 {
		return nil
	}
	var issues []state.Share
	a.conf.Read(func(s *state.State) {
		if s.Revision() != a.seen || !now.Before(a.scan) {
			a.seen = s.Revision()
			a.scan = now.Add(scanPeriod)
			a.markAll(s)
		}
		for name := range a.dirty {
			if b, ok := s.Budget(name); ok {
				issues = append(issues, a.decideOne(b, now)...)
			} else {
				delete(a.accounts, name)
			}
		}
	})
	clear(a.dirty)
	return issues
}

// markAll marks each budget with tokens to give or to take back.
func (a *Allotter) markAll(s *state.State) {
	s.Budgets(func(b state.Budget) bool {
		if b.Free > 0 || b.Pending > 0 {
			a.dirty[b.Name] = true
		}
		return true
	})
}

// decideOne applies the policy to one budget. The caller holds mu.
func (a *Allotter) decideOne(b state.Budget, now time.Time) []state.Share {
	if b.Deleted {
		return nil
	}
	holdings := make(map[poplar.Domain]state.Holding, len(b.Holdings))
	for _, h := range b.Holdings {
		holdings[h.Domain] = h
	}
	plan := share.Budget{Free: b.Free, Pending: b.Pending, Domains: a.sites(b, holdings)}
	var issues []state.Share
	for _, m := range share.Plan(plan, a.conf.Policy, now) {
		h := holdings[m.Domain]
		if m.Issue > 0 {
			issues = append(issues, state.Share{Budget: b.Name, Domain: m.Domain, Tokens: h.Issued + m.Issue, Serial: b.Serial})
			a.served(b.Name, m.Domain)
		}
		if m.Recall > 0 {
			a.recall(b, m.Domain, h.Returned+m.Recall)
		}
	}
	return issues
}

// sites returns what is known of a budget in each domain that has reported.
func (a *Allotter) sites(b state.Budget, holdings map[poplar.Domain]state.Holding) []share.DomainShare {
	acc := a.accounts[b.Name]
	sites := make([]share.DomainShare, 0, len(a.heard))
	for _, domain := range sortedDomains(a.heard) {
		h := holdings[domain]
		s := share.DomainShare{Domain: domain, LastReport: a.heard[domain]}
		held := h.Issued - h.Returned - h.Lost
		if acc != nil && acc.serial == b.Serial && acc.sites[domain] != nil {
			known := acc.sites[domain]
			held -= known.want.Used
			s.Rate, s.LargestRequest, s.Shortfall = known.want.Rate, known.want.Most, known.short
		}
		s.Held = max(0, held)
		sites = append(sites, s)
	}
	return sites
}

// served forgets what a domain lacked, since tokens are on their way.
func (a *Allotter) served(budget poplar.Budget, domain poplar.Domain) {
	if acc := a.accounts[budget]; acc != nil && acc.sites[domain] != nil {
		acc.sites[domain].short = 0
	}
}

func (a *Allotter) recall(b state.Budget, domain poplar.Domain, tokens poplar.Tokens) {
	byBudget := a.recalls[domain]
	if byBudget == nil {
		byBudget = map[poplar.Budget]state.Share{}
		a.recalls[domain] = byBudget
	}
	byBudget[b.Name] = state.Share{Budget: b.Name, Domain: domain, Tokens: tokens, Serial: b.Serial}
}

func sortedDomains(m map[poplar.Domain]time.Time) []poplar.Domain {
	return slices.Sorted(maps.Keys(m))
}
