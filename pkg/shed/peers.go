package shed

import (
	"time"

	"poplarbend.example/poplar"
)

const (
	// maxReports is the number of reports that are kept. It covers those of the time for
	// which a report is used.
	maxReports = 16
	// reportUse is how long a report is used.
	reportUse = 2 * time.Second
	// askedKnown is the number of peer routers that are asked at a time, and askedUnknown
	// the number of routers of unknown failure domain that are asked besides.
	askedKnown   = 4
	askedUnknown = 2
	// askedFirst is the number of routers that are asked while fewer than askedKnown peer
	// routers are known. With three failure domains, four of twelve are peer routers.
	askedFirst = 12
)

// Report is what a peer router reports about itself.
type Report struct {
	Delay       time.Duration // predicted delay of its link
	Utilization float64       // of its link
	Ready       bool          // true if it reports that it is ready
	Workspace   poplar.Workspace
	Tokens      poplar.Tokens // tokens that it holds for the workspace or can draw
}

// entry is a report, or the lack of one.
type entry struct {
	address  string
	answered bool
	report   Report
	validTo  time.Time
}

// Peers keeps the reports of the peer routers of one router.
type Peers struct {
	domain  poplar.Domain
	domains map[string]poplar.Domain // failure domains of routers that have answered, by address
	entries [maxReports]entry        // invariant: a ring; an address is in it at most once
	next    int                      // invariant: index of the oldest entry
}

// NewPeers returns the empty state of a router in the given failure domain.
func NewPeers(domain poplar.Domain) *Peers {
	return &Peers{domain: domain, domains: map[string]poplar.Domain{}}
}

// Choose returns the routers to ask. routers are the addresses of the other routers in
// random order.
func (p *Peers) Choose(routers []string) []string {
	var known, unknown []string
	for _, a := range routers {
		switch domain, ok := p.domains[a]; {
		case !ok:
			unknown = append(unknown, a)
		case domain == p.domain:
			known = append(known, a)
		}
	}
	if len(known) < askedKnown {
		return append(known, unknown[:min(len(unknown), askedFirst-len(known))]...)
	}
	return append(known[:askedKnown], unknown[:min(len(unknown), askedUnknown)]...)
}

// Forget removes the routers that are not listed any more. Their addresses may be used by
// routers of other failure domains later.
func (p *Peers) Forget(listed func(address string) bool) {
	for a := range p.domains {
		if !listed(a) {
			delete(p.domains, a)
		}
	}
}

// Answered records a report of a router in the given failure domain.
func (p *Peers) Answered(address string, domain poplar.Domain, r Report, now time.Time) {
	p.domains[address] = domain
	if domain == p.domain {
		p.record(entry{address: address, answered: true, report: r, validTo: now.Add(reportUse)})
	}
}

// Failed records that a router did not answer. A router of unknown failure domain does
// not count: it may be in another one.
func (p *Peers) Failed(address string, now time.Time) {
	if p.domains[address] == p.domain {
		p.record(entry{address: address, validTo: now.Add(reportUse)})
	}
}

func (p *Peers) record(e entry) {
	for i := range p.entries {
		if p.entries[i].address == e.address {
			p.entries[i] = e
			return
		}
	}
	p.entries[p.next] = e
	p.next = (p.next + 1) % maxReports
}

// Known returns the number of peer routers that have answered at any time.
func (p *Peers) Known() int {
	n := 0
	for _, domain := range p.domains {
		if domain == p.domain {
			n++
		}
	}
	return n
}

// Headroom reports whether most of the peer routers that were asked have headroom for a
// request. One that did not answer has none.
func (p *Peers) Headroom(r Request, now time.Time) bool {
	asked, free := p.count(now, func(report *Report) bool { return report.hasHeadroom(r) })
	return 2*free > asked
}

// MayLend reports whether most of the peer routers that were asked have headroom for a
// request, and most of those whose tokens were asked about have what it needs. A request
// that is diverted in vain has used up its caller's retry.
func (p *Peers) MayLend(r Request, w poplar.Workspace, tokens poplar.Tokens, now time.Time) bool {
	if !p.Headroom(r, now) {
		return false
	}
	_, told := p.count(now, func(report *Report) bool { return report.Workspace == w })
	_, able := p.count(now, func(report *Report) bool {
		return report.hasHeadroom(r) && report.Workspace == w && report.Tokens >= tokens
	})
	return 2*able > told
}

// Counts returns the number of peer routers whose reports are recent or that did not
// answer recently, and of those whose link is not short.
func (p *Peers) Counts(now time.Time) (asked, free int) {
	return p.count(now, func(report *Report) bool { return report.Ready && report.Utilization < shortFrom })
}

// Age returns the age of the oldest report that is still used.
func (p *Peers) Age(now time.Time) time.Duration {
	age := time.Duration(0)
	for i := range p.entries {
		if e := &p.entries[i]; e.address != "" && !now.After(e.validTo) {
			age = max(age, reportUse-e.validTo.Sub(now))
		}
	}
	return age
}

// MayLeave reports whether callers may be sent to the peer routers: most of those that were
// asked can take more, and enough of them are ready, see HalfReady.
func (p *Peers) MayLeave(now time.Time) bool {
	asked, free := p.Counts(now)
	return 2*free > asked && p.HalfReady(now)
}

// HalfReady reports whether at least half of the routers of the failure domain are ready
// without this one, as far as the recent reports show.
func (p *Peers) HalfReady(now time.Time) bool {
	asked, ready := p.count(now, func(report *Report) bool { return report.Ready })
	if asked < max(1, min(askedKnown, p.Known())) {
		return false
	}
	others := float64(max(p.Known(), asked))
	return float64(ready)/float64(asked)*others >= (others+1)/2
}

func (r *Report) hasHeadroom(request Request) bool {
	return r.Ready && r.Utilization < shortFrom && r.Delay <= fraction(lowFraction, request.target())
}

// count returns the number of recent entries, and of those that match.
func (p *Peers) count(now time.Time, match func(*Report) bool) (asked, matching int) {
	for i := range p.entries {
		e := &p.entries[i]
		if e.address == "" || now.After(e.validTo) {
			continue
		}
		asked++
		if e.answered && match(&e.report) {
			matching++
		}
	}
	return asked, matching
}
