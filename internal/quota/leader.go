package quota

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

// This file implements the leader's side, which decides on issues and recalls.

// Intervals and limits of the leader.
const (
	decidePeriod   = 100 * time.Millisecond
	proposeTimeout = 2 * time.Second
	maxBatch       = 512 // shares in one command
	// scanPeriod is the time between two scans of all budgets.
	scanPeriod = 5 * time.Second
)

// Config is the configuration of an Issuer.
type Config struct {
	// Read calls its argument with the current replicated state.
	Read func(func(*state.State))
	// Leads reports whether this daemon leads the log.
	Leads func() bool
	// Proposer appends commands to the log.
	Proposer poplar.Proposer
	Policy   share.Policy
	Clock    poplar.Clock
	Log      *log.Logger
}

// domainDemand is the reported demand for one budget in one domain.
type domainDemand struct {
	demand   Demand
	shortage poplar.Tokens // tokens requested and not yet issued
}

// account is the reported demand for one budget in all domains.
type account struct {
	serial  poplar.Index
	domains map[poplar.Domain]*domainDemand
}

// Issuer decides on issues and recalls at the leader of the log. It is safe for
// concurrent use.
type Issuer struct {
	conf Config

	mu         sync.Mutex
	accounts   map[poplar.Budget]*account                      // invariant: guarded by mu
	lastReport map[poplar.Domain]time.Time                     // invariant: guarded by mu; time of the last report
	dirty      map[poplar.Budget]bool                          // invariant: guarded by mu; budgets to decide on
	recalls    map[poplar.Domain]map[poplar.Budget]state.Share // invariant: guarded by mu; each sent once
	returns    []state.Share                                   // invariant: guarded by mu; returns to propose
	revision   poplar.Revision                                 // invariant: guarded by mu
	nextScan   time.Time                                       // invariant: guarded by mu; next scan of all budgets

	wakeup chan struct{}
	loops  loops.Runner
}

var _ Leader = (*Issuer)(nil)

// New returns an issuer, which makes no decisions before Start.
func New(conf Config) *Issuer {
	a := &Issuer{conf: conf, wakeup: make(chan struct{}, 1)}
	a.reset()
	return a
}

func (a *Issuer) reset() {
	a.accounts = map[poplar.Budget]*account{}
	a.lastReport = map[poplar.Domain]time.Time{}
	a.dirty = map[poplar.Budget]bool{}
	a.recalls = map[poplar.Domain]map[poplar.Budget]state.Share{}
	a.returns = nil
	a.nextScan = time.Time{}
}

// Start runs the decision loop, which is active while this daemon leads.
func (a *Issuer) Start() { a.loops.Start(a.loop) }

// Stop ends the decision loop.
func (a *Issuer) Stop() { a.loops.Stop() }

// Report implements Leader. It records a primary's report and returns the recalls
// for its domain.
func (a *Issuer) Report(_ context.Context, report Report) (ReportReply, error) {
	if !a.conf.Leads() {
		return ReportReply{}, poplar.Failf(poplar.StepPropose, poplar.CodeStale, "this daemon does not lead").Ran(poplar.RunNo)
	}
	now := a.conf.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.lastReport[report.Domain]; !known {
		a.nextScan = time.Time{}
	}
	a.lastReport[report.Domain] = now
	orders := ReportReply{}
	for _, w := range report.Demands {
		a.recordDemand(report.Domain, w)
		if w.Shortage > 0 {
			orders.Remainders = append(orders.Remainders, Remainder{Budget: w.Budget, Tokens: a.tokensElsewhere(w.Budget, report.Domain, now)})
		}
	}
	if len(orders.Remainders) > 0 {
		a.wake()
	}
	orders.Recalls = a.takeRecalls(report.Domain)
	return orders, nil
}

// wake starts the next decision round at once.
func (a *Issuer) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// tokensElsewhere returns the tokens of a budget that are not issued, or unspent
// in other domains that have reported recently. The caller holds mu.
func (a *Issuer) tokensElsewhere(budget poplar.Budget, domain poplar.Domain, now time.Time) poplar.Tokens {
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
		for _, site := range a.domainShares(b, holdings) {
			if site.Domain != domain && now.Sub(site.LastReport) <= a.conf.Policy.MaxReportAge {
				left += site.Held
			}
		}
	})
	return left
}

// recordDemand records one demand. The caller holds mu.
func (a *Issuer) recordDemand(domain poplar.Domain, w Demand) {
	acc := a.accounts[w.Budget]
	if acc == nil || acc.serial < w.Serial {
		acc = &account{serial: w.Serial, domains: map[poplar.Domain]*domainDemand{}}
		a.accounts[w.Budget] = acc
	}
	if w.Serial < acc.serial && !w.Final {
		return
	}
	s := acc.domains[domain]
	if s == nil {
		s = &domainDemand{}
		acc.domains[domain] = s
	}
	s.demand = w
	s.shortage = max(s.shortage, w.Shortage)
	a.dirty[w.Budget] = true
	if w.Final || w.Returned > a.loggedReturned(domain, w) {
		a.returns = append(a.returns, state.Share{
			Budget: w.Budget, Domain: domain, Tokens: w.Returned, Serial: w.Serial, Final: w.Final,
		})
	}
}

// loggedReturned returns the returned counter in the log, so that the same value
// is not proposed again.
func (a *Issuer) loggedReturned(domain poplar.Domain, w Demand) poplar.Tokens {
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

// takeRecalls removes and returns recalls for a domain, at most maxBatch. Each is
// sent once. If the answer is lost, the next decision on the budget adds the recall
// again. The caller holds mu.
func (a *Issuer) takeRecalls(domain poplar.Domain) []state.Share {
	var orders []state.Share
	for budget, order := range a.recalls[domain] {
		delete(a.recalls[domain], budget)
		orders = append(orders, order)
		if len(orders) == maxBatch {
			break
		}
	}
	return orders
}

func (a *Issuer) loop(ctx context.Context) { loops.Tick(ctx, decidePeriod, a.wakeup, a.round) }

// round proposes the reported returns, at most maxBatch, decides on the dirty budgets
// and proposes the issues. It drops all reports if this daemon does not lead.
func (a *Issuer) round(ctx context.Context) {
	if !a.conf.Leads() {
		a.mu.Lock()
		if len(a.lastReport) > 0 {
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
		n := min(len(issues), maxBatch)
		a.propose(ctx, state.Command{Issue: &state.Issue{Shares: issues[:n]}})
		issues = issues[n:]
	}
}

func (a *Issuer) takeReturns() []state.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.returns), maxBatch)
	out := a.returns[:n:n]
	a.returns = a.returns[n:]
	return out
}

func (a *Issuer) propose(ctx context.Context, c state.Command) {
	call, cancel := context.WithDeadline(ctx, time.Now().Add(proposeTimeout))
	defer cancel()
	if _, err := a.conf.Proposer.Propose(call, state.Encode(c)); err != nil && ctx.Err() == nil {
		a.conf.Log.Warn("share proposal not confirmed; its effect is unknown", "step", poplar.StepPropose, "err", err)
	}
}

// decide returns the issues that the policy requires and records the recalls.
func (a *Issuer) decide(now time.Time) []state.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.lastReport) == 0 {
		return nil
	}
	var issues []state.Share
	a.conf.Read(func(s *state.State) {
		if s.Revision() != a.revision || !now.Before(a.nextScan) {
			a.revision = s.Revision()
			a.nextScan = now.Add(scanPeriod)
			a.markDirty(s)
		}
		for name := range a.dirty {
			if b, ok := s.Budget(name); ok {
				issues = append(issues, a.decideBudget(b, now)...)
			} else {
				delete(a.accounts, name)
			}
		}
	})
	clear(a.dirty)
	return issues
}

// markDirty marks each budget with tokens to issue or to recall.
func (a *Issuer) markDirty(s *state.State) {
	s.Budgets(func(b state.Budget) bool {
		if b.Free > 0 || b.Pending > 0 {
			a.dirty[b.Name] = true
		}
		return true
	})
}

// decideBudget applies the policy to one budget. The caller holds mu.
func (a *Issuer) decideBudget(b state.Budget, now time.Time) []state.Share {
	if b.Deleted {
		return nil
	}
	holdings := make(map[poplar.Domain]state.Holding, len(b.Holdings))
	for _, h := range b.Holdings {
		holdings[h.Domain] = h
	}
	plan := share.Budget{Free: b.Free, Pending: b.Pending, Domains: a.domainShares(b, holdings)}
	var issues []state.Share
	for _, m := range share.Plan(plan, a.conf.Policy, now) {
		h := holdings[m.Domain]
		if m.Issue > 0 {
			issues = append(issues, state.Share{Budget: b.Name, Domain: m.Domain, Tokens: h.Issued + m.Issue, Serial: b.Serial})
			a.clearShortage(b.Name, m.Domain)
		}
		if m.Recall > 0 {
			a.addRecall(b, m.Domain, h.Returned+m.Recall)
		}
	}
	return issues
}

// domainShares returns the share and the demand of a budget in each domain that
// has reported.
func (a *Issuer) domainShares(b state.Budget, holdings map[poplar.Domain]state.Holding) []share.DomainShare {
	acc := a.accounts[b.Name]
	sites := make([]share.DomainShare, 0, len(a.lastReport))
	for _, domain := range sortedDomains(a.lastReport) {
		h := holdings[domain]
		s := share.DomainShare{Domain: domain, LastReport: a.lastReport[domain]}
		held := h.Issued - h.Returned - h.Lost
		if acc != nil && acc.serial == b.Serial && acc.domains[domain] != nil {
			known := acc.domains[domain]
			held -= known.demand.Used
			s.Rate, s.LargestRequest, s.Shortfall = known.demand.Rate, known.demand.MaxRequest, known.shortage
		}
		s.Held = max(0, held)
		sites = append(sites, s)
	}
	return sites
}

// clearShortage clears the shortage of a domain, since tokens are being issued.
func (a *Issuer) clearShortage(budget poplar.Budget, domain poplar.Domain) {
	if acc := a.accounts[budget]; acc != nil && acc.domains[domain] != nil {
		acc.domains[domain].shortage = 0
	}
}

func (a *Issuer) addRecall(b state.Budget, domain poplar.Domain, tokens poplar.Tokens) {
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
