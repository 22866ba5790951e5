package daemon

import (
	"context"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/quota"
	"poplarbend.example/poplar/pkg/share"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the primary's reports of what its budgets need.

// Times of the reports.
const (
	// endurance is how long a share should last without the log; a budget that
	// lasts shorter is reported at once.
	endurance = 10 * time.Second
	// retell is how often a budget in use is reported at least.
	retell = 10 * time.Second
)

// tally is what the demandSource remembers of one budget.
type tally struct {
	demand share.Demand
	last   holder.ShareStatus // as of the last look
	told   holder.ShareStatus // as of the last report
	next   time.Time          // when it is reported at the latest
}

// demandSource reports a holder's budgets. It is safe for concurrent use.
type demandSource struct {
	holder *holder.Replica
	clock  poplar.Clock
	mu     sync.Mutex
	tally  map[poplar.Budget]*tally // invariant: guarded by mu
}

var _ quota.Source = (*demandSource)(nil)

func newDemandSource(h *holder.Replica, clock poplar.Clock) *demandSource {
	return &demandSource{holder: h, clock: clock, tally: map[poplar.Budget]*tally{}}
}

// Demands implements quota.Source.
func (p *demandSource) Demands() (quota.Report, bool) {
	status := p.holder.Status()
	if status.Role != holder.RolePrimary {
		return quota.Report{}, false
	}
	report := quota.Report{Domain: status.Domain, Epoch: status.Pair.Epoch}
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.holder.Shares(false) {
		if want, due := p.look(s, now); due {
			report.Demands = append(report.Demands, want)
		}
	}
	return report, true
}

// look updates the tally of one budget, and returns what to report when
// something must be told. The caller holds mu.
func (p *demandSource) look(s holder.ShareStatus, now time.Time) (quota.Demand, bool) {
	t := p.tally[s.Budget]
	if t == nil {
		t = &tally{}
		p.tally[s.Budget] = t
	}
	if t.last.Serial != s.Serial {
		*t = tally{}
	}
	asked := s.Asked - t.last.Asked
	short := s.Refused - t.last.Refused
	if asked > 0 {
		t.demand.Record(asked-short, now)
	}
	t.last = s
	want := quota.Demand{
		Budget: s.Budget, Serial: poplar.Index(s.Serial), Used: s.Settled + s.Open + s.Leased + s.Lost,
		Returned: s.Returned, Rate: t.demand.Rate(now), MaxRequest: t.demand.Largest(), Shortage: short,
		Final: s.Closed && s.Open+s.Leased == 0 && s.Available == 0,
	}
	if !t.due(s, want, now) {
		return quota.Demand{}, false
	}
	t.told, t.next = s, now.Add(retell)
	return want, true
}

// due reports whether the leader must hear of the budget now.
func (t *tally) due(s holder.ShareStatus, w quota.Demand, now time.Time) bool {
	switch {
	case w.Shortage > 0 || s.Returned != t.told.Returned || w.Final && !t.told.Closed:
		return true
	case s == t.told:
		return false
	case now.After(t.next):
		return true
	}
	site := share.DomainShare{Held: s.Available, Rate: w.Rate, LargestRequest: w.MaxRequest, Shortfall: w.Shortage}
	return share.NeedsTokens(site, endurance) && s.Settled+s.Open != t.told.Settled+t.told.Open
}

// Return implements quota.Source.
func (p *demandSource) Return(ctx context.Context, want state.Share) error {
	s, known := p.holder.Share(want.Budget)
	if !known || s.Serial != uint64(want.Serial) || want.Tokens <= s.Returned {
		return nil
	}
	return p.holder.Return(ctx, want.Budget, want.Tokens-s.Returned)
}
