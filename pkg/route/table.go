package route

import (
	"sort"
	"time"

	"poplarbend.example/poplar"
)

// Candidate is one upstream as a table sees it. It is immutable except for its
// local state.
type Candidate struct {
	offer  Offer  // invariant: capacities are positive
	report Report // the latest accepted report
	// ownAtReport is the number of this router's requests that were in flight at
	// the upstream when the reported load was measured.
	ownAtReport    float64
	othersAtReport float64 // invariant: >= 0; the other routers' requests in the report
	reportedAt     int64   // when the reported load was measured, in Unix nanoseconds; 0 without a report
	// aheadShare is the share of the upstream's requests that a new one waits
	// for, by the rank of the new one: the running requests, since engines do
	// not preempt, and the waiting requests of the same and more urgent ranks.
	aheadShare [poplar.Ranks]float64
	// meanOthers is the mean number of requests that the other routers have at
	// upstreams of the same group, scaled to the slots of this one. The table
	// sets it.
	meanOthers float64
	// meanOwn is the same mean for this router's own requests.
	meanOwn float64
	// othersPerOwn is the number of requests that the other routers have in
	// the group for each request of this router. The table sets it.
	othersPerOwn float64
	state        *LocalState // invariant: not nil
	validUntil   int64       // Unix nanoseconds from which the upstream gets no new work; a new offer extends it
	leaving      bool        // true once the upstream announced that it leaves
}

// NewCandidate returns the candidate for an offer that is valid until the
// given time. It replaces missing capacities by their defaults.
func NewCandidate(offer Offer, report Report, state *LocalState, until time.Time) Candidate {
	if offer.Slots <= 0 {
		offer.Slots = DefaultSlots
	}
	if offer.PrefillRate <= 0 {
		offer.PrefillRate = DefaultPrefill
	}
	if offer.ServiceTime <= 0 {
		offer.ServiceTime = DefaultServiceTime
	}
	c := Candidate{offer: offer, report: report, state: state, validUntil: until.UnixNano()}
	if !report.At.IsZero() {
		c.reportedAt = report.At.UnixNano()
		c.ownAtReport = float64(state.inFlightAt(report.At))
		c.othersAtReport = max(float64(report.Outstanding(poplar.Bulk))-c.ownAtReport, 0)
	}
	for r := range c.aheadShare {
		c.aheadShare[r] = report.aheadShare(poplar.Rank(r))
	}
	return c
}

// Leaving returns a copy of c that gets no new work.
func (c Candidate) Leaving() Candidate {
	c.leaving = true
	return c
}

// Name returns the name of the upstream.
func (c *Candidate) Name() poplar.Upstream { return c.offer.Name }

// Domain returns the failure domain of the upstream.
func (c *Candidate) Domain() poplar.Domain { return c.offer.Domain }

// Offer returns what the upstream announced, with defaults filled in.
func (c *Candidate) Offer() Offer { return c.offer }

// Report returns the latest accepted load report.
func (c *Candidate) Report() Report { return c.report }

// LocalState returns this router's own state of the upstream, which successive
// tables share.
func (c *Candidate) LocalState() *LocalState { return c.state }

// Eligible reports whether the upstream may get new work at now.
func (c *Candidate) Eligible(now time.Time) bool {
	return c.eligible(now.UnixNano())
}

func (c *Candidate) eligible(now int64) bool {
	s := c.state
	return !c.leaving && !s.left.Load() && now < c.validUntil && now >= s.ejectedUntil.Load() && now >= s.pausedUntil.Load() && !s.exclusive.Load()
}

// Table is an immutable snapshot of the upstreams as seen by a router in one
// failure domain. Its methods are safe for concurrent use.
type Table struct {
	settings    Settings
	localDomain poplar.Domain // the router's own failure domain
	candidates  []Candidate   // invariant: ordered by name
	bySlot      []*Candidate  // by slot of the local state; may contain nil
	models      map[poplar.Model]*group
	services    map[poplar.Service]*group
	index       *PrefixIndex // nil disables prefix affinity
}

// group is the set of candidates that serve one model or service.
type group struct {
	local  []*Candidate // in the router's own failure domain
	remote []*Candidate // in the other failure domains
}

// NewTable returns the snapshot for a router in localDomain. Successive tables
// share the index, which may be nil.
func NewTable(localDomain poplar.Domain, candidates []Candidate, index *PrefixIndex, settings Settings) *Table {
	t := &Table{
		settings:    settings,
		localDomain: localDomain,
		candidates:  append([]Candidate(nil), candidates...),
		models:      map[poplar.Model]*group{},
		services:    map[poplar.Service]*group{},
		index:       index,
	}
	sort.Slice(t.candidates, func(i, j int) bool { return t.candidates[i].Name() < t.candidates[j].Name() })
	for i := range t.candidates {
		t.insert(&t.candidates[i])
	}
	for _, g := range t.models {
		g.setMeans()
	}
	for _, g := range t.services {
		g.setMeans()
	}
	return t
}

func (t *Table) insert(c *Candidate) {
	slot := int(c.state.slot)
	for len(t.bySlot) <= slot {
		t.bySlot = append(t.bySlot, nil)
	}
	t.bySlot[slot] = c
	for _, m := range c.offer.Models {
		addToGroup(t.models, m, c, c.Domain() == t.localDomain)
	}
	for _, s := range c.offer.Services {
		addToGroup(t.services, s, c, c.Domain() == t.localDomain)
	}
}

func addToGroup[K comparable](groups map[K]*group, key K, c *Candidate, local bool) {
	g := groups[key]
	if g == nil {
		g = &group{}
		groups[key] = g
	}
	if local {
		g.local = append(g.local, c)
	} else {
		g.remote = append(g.remote, c)
	}
}

// setMeans sets the fields of the candidates that are computed from the whole
// group: meanOthers, meanOwn and othersPerOwn.
func (g *group) setMeans() {
	others, own, slots := 0.0, 0.0, 0.0
	for _, list := range [][]*Candidate{g.local, g.remote} {
		for _, c := range list {
			if c.reportedAt != 0 {
				others += min(c.othersAtReport, float64(c.offer.Slots))
				own += c.ownAtReport
				slots += float64(c.offer.Slots)
			}
		}
	}
	for _, list := range [][]*Candidate{g.local, g.remote} {
		for _, c := range list {
			c.othersPerOwn = others / max(own, 1)
			c.meanOwn = own / max(slots, 1) * float64(c.offer.Slots)
			c.meanOthers = others / max(slots, 1) * float64(c.offer.Slots)
		}
	}
}

// Len returns the number of upstreams, eligible or not.
func (t *Table) Len() int { return len(t.candidates) }

// At returns the upstream at position i in the order of names.
func (t *Table) At(i int) *Candidate { return &t.candidates[i] }

// Find returns the upstream with the given name.
func (t *Table) Find(name poplar.Upstream) (*Candidate, bool) {
	i := sort.Search(len(t.candidates), func(i int) bool { return t.candidates[i].Name() >= name })
	if i == len(t.candidates) || t.candidates[i].Name() != name {
		return nil, false
	}
	return &t.candidates[i], true
}

// Models returns the sorted models that at least one upstream serves.
func (t *Table) Models() []poplar.Model {
	names := make([]poplar.Model, 0, len(t.models))
	for m := range t.models {
		names = append(names, m)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// group returns the candidates for a request, or nil if nothing serves it.
func (t *Table) group(r *Request) *group {
	if r.service != "" {
		return t.services[r.service]
	}
	return t.models[r.model]
}

// penalty returns the seconds by which c must be faster than a local upstream.
func (t *Table) penalty(c *Candidate) float64 {
	if c.Domain() == t.localDomain {
		return 0
	}
	return t.settings.RemotePenalty.Seconds()
}
