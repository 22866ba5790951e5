package meter

import (
	"slices"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
	"poplarbend.example/poplar/pkg/share"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the moves of shares in a run: reports, decisions, returns.

// report tells the leader what a domain needs: each period, and at once when a
// request found too little.
func (r *budgetRun) report(s *budgetSite, periodic bool) {
	if r.method != methodDemand && r.method != methodHasty {
		return
	}
	if periodic {
		r.after(budgetReport, func() { r.report(s, true) })
	}
	if s.cut || s.pending {
		return
	}
	s.pending = true
	a := s.account()
	site := share.DomainShare{
		Domain: s.name, Rate: s.demand.Rate(r.time()), LargestRequest: s.demand.Largest(), Shortfall: s.short, LastReport: r.time(),
	}
	for _, ask := range s.waiting {
		site.Shortfall += ask.most
	}
	site.Shortfall = max(0, site.Shortfall-a.Available())
	s.short = 0
	used, returned, serial := a.Settled()+a.Open(), a.Returned(), poplar.Index(a.Serial())
	r.after(budgetHop, func() {
		s.pending = false
		r.known[s.name], r.spent[s.name] = site, used
		b, _ := r.log.Budget(budgetName)
		if returned > holding(b, s.name).Returned {
			r.commit(state.Command{Return: &state.Return{Shares: []state.Share{{Budget: budgetName, Domain: s.name, Tokens: returned, Serial: serial}}}})
		}
	})
}

// commit applies a command once it is durable, and tells every domain.
func (r *budgetRun) commit(c state.Command) {
	if r.begun {
		r.moves++
	}
	r.after(budgetCommit, func() {
		r.apply(c)
		for _, s := range r.sites {
			r.after(budgetHop, func() { r.follow(s) })
		}
	})
}

// decide runs the policy at the leader, each period.
func (r *budgetRun) decide() {
	r.after(budgetDecide, r.decide)
	b, ok := r.log.Budget(budgetName)
	if !ok || len(r.known) == 0 {
		return
	}
	plan := share.Budget{Free: b.Free, Pending: b.Pending}
	for _, s := range r.sites {
		if site, heard := r.known[s.name]; heard {
			h := holding(b, s.name)
			site.Held = max(0, h.Issued-h.Returned-h.Lost-r.spent[s.name])
			plan.Domains = append(plan.Domains, site)
		}
	}
	var issues []state.Share
	for _, m := range share.Plan(plan, r.policy, r.time()) {
		h := holding(b, m.Domain)
		if m.Issue > 0 {
			issues = append(issues, state.Share{Budget: budgetName, Domain: m.Domain, Tokens: h.Issued + m.Issue, Serial: b.Serial})
			site := r.known[m.Domain]
			site.Shortfall = 0
			r.known[m.Domain] = site
		}
		if m.Recall > 0 {
			r.recall(m.Domain, h.Returned+m.Recall)
		}
	}
	if len(issues) > 0 {
		r.commit(state.Command{Issue: &state.Issue{Shares: issues}})
	}
}

func holding(b state.Budget, domain poplar.Domain) state.Holding {
	if i := slices.IndexFunc(b.Holdings, func(h state.Holding) bool { return h.Domain == domain }); i >= 0 {
		return b.Holdings[i]
	}
	return state.Holding{Domain: domain}
}

// recall asks a domain for tokens, with the answer to its next report. It returns
// what it can, durably, and reports it.
func (r *budgetRun) recall(domain poplar.Domain, total poplar.Tokens) {
	for _, s := range r.sites {
		if s.name != domain {
			continue
		}
		r.after(budgetReport/2, func() {
			a := s.account()
			more := min(total-a.Returned(), a.Available())
			if s.cut || more <= 0 || s.book.Return(budgetName, a.Returned()+more) != nil {
				return
			}
			r.after(budgetCommit, func() { r.report(s, false) })
		})
	}
}

// follow lets a domain hear the log.
func (r *budgetRun) follow(s *budgetSite) {
	if s.cut {
		return
	}
	for d := r.log.Delta(s.name, s.follower.Mark()); !d.Empty(); d = r.log.Delta(s.name, s.follower.Mark()) {
		if _, err := s.follower.Apply(d); err != nil {
			r.fail(err)
			return
		}
	}
	if item, ok := s.follower.Share(budgetName); ok {
		s.book.Issue(budget.Share{
			Budget: budgetName, Serial: uint64(item.Serial), Issued: item.Issued,
			Returned: item.Returned, Lost: item.Lost, Closed: item.Deleted,
		})
	}
	r.serve(s)
}
