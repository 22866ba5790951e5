package share

import (
	"cmp"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

// Policy sets the balance between how long a domain can serve through a partition
// and false refusals in other domains.
type Policy struct {
	// UnissuedFraction is the fraction of the remaining tokens that stays unissued.
	UnissuedFraction float64
	// EvenFraction is the fraction of the issued tokens that is split evenly, so
	// that a domain without demand can begin to serve during a partition. The rest
	// is split in proportion to demand.
	EvenFraction float64
	// Tolerance is the deviation of a share from its target, as a fraction of the
	// target, from which it is raised or lowered. It limits the number of log
	// entries.
	Tolerance float64
	// MinDuration is the time for which a share should last at the demand of its
	// domain. A share that lasts longer is not raised.
	MinDuration time.Duration
	// EndingRequests is the number of requests of the largest size, per domain, below
	// which a budget counts as near its end. Nothing is then split evenly, and all
	// shares are proportional to demand.
	EndingRequests float64
	// MaxReportAge is the maximum age of a report. A domain whose last report is older
	// counts as partitioned: it gets no tokens and is not asked to return any.
	MaxReportAge time.Duration
}

// DefaultPolicy returns the policy described in docs/design/shares.md.
func DefaultPolicy() Policy {
	return Policy{UnissuedFraction: 0.05, EvenFraction: 0.1, Tolerance: 0.25, MinDuration: time.Hour, EndingRequests: 8, MaxReportAge: 3 * time.Second}
}

// DomainShare is the known state of the share of one domain.
type DomainShare struct {
	Domain poplar.Domain
	// Held is the number of tokens that the domain can still reserve.
	Held poplar.Tokens
	// Rate is the demand of the domain in tokens per second.
	Rate float64
	// LargestRequest is the size of its largest request in tokens.
	LargestRequest poplar.Tokens
	// Shortfall is the number of tokens that it lacks for waiting requests.
	Shortfall poplar.Tokens
	// LastReport is the time of its last report.
	LastReport time.Time
}

// Budget is the input of Plan for one budget.
type Budget struct {
	// Free is the number of tokens that can be issued.
	Free poplar.Tokens
	// Pending is the number of tokens that must be recalled after the grant was
	// lowered.
	Pending poplar.Tokens
	Domains []DomainShare
}

// Move is a change of the share of one domain. Exactly one of Issue and Recall is
// positive.
type Move struct {
	Domain poplar.Domain
	// Issue is the number of tokens to add to the share.
	Issue poplar.Tokens
	// Recall is the number of unspent tokens to ask back. The domain returns as
	// many of them as it can.
	Recall poplar.Tokens
}

// Plan decides how to change the shares of one budget at now.
//
// Held must be the issued tokens less the returned tokens in the log, less the
// tokens that the domain reported as settled or open, so that tokens in transit
// count as held. The caller must turn a move into the cumulative counters
// issued + Issue and returned + Recall of the same view of the log, which makes
// moves idempotent.
//
// Moves that issue tokens come before moves that recall tokens, each in the order of
// the sites. At most Free tokens are issued. If Plan is applied repeatedly to its own
// result at constant demand, it reaches a state without further moves.
func Plan(b Budget, p Policy, now time.Time) []Move {
	sites := reachable(b.Domains, p, now)
	if len(sites) == 0 {
		return nil
	}
	left := b.Free
	for _, s := range sites {
		left += max(0, s.Held)
	}
	if b.Pending > 0 {
		return recall(sites, targets(sites, max(0, left-b.Pending), p), b.Pending)
	}
	target := targets(sites, left, p)
	shortfall := -b.Free
	for _, s := range sites {
		shortfall += s.Shortfall
	}
	if shortfall > 0 {
		target = shortageTargets(sites, target, left)
		return append(issue(sites, target, b.Free), recall(sites, target, max(shortfall, surplus(sites, target, p)))...)
	}
	refilled := refillTargets(sites, target, p)
	moves := issue(sites, refilled, b.Free)
	amount := min(surplus(sites, target, p), deficit(sites, refilled)-b.Free)
	return append(moves, recall(sites, target, amount)...)
}

// NeedsTokens reports whether a domain should ask for more tokens at once instead of with
// its next report, because its tokens do not last for the given duration.
func NeedsTokens(s DomainShare, duration time.Duration) bool {
	return s.Shortfall > 0 || float64(s.Held) < s.Rate*duration.Seconds()+float64(s.LargestRequest)
}

// reachable returns the sites with a recent report, in the given order.
func reachable(sites []DomainShare, p Policy, now time.Time) []DomainShare {
	out := make([]DomainShare, 0, len(sites))
	for _, s := range sites {
		if now.Sub(s.LastReport) <= p.MaxReportAge {
			out = append(out, s)
		}
	}
	return out
}

// nearEnd reports whether the remaining tokens cover only a few requests per domain.
func nearEnd(sites []DomainShare, left poplar.Tokens, p Policy) bool {
	return float64(left) < p.EndingRequests*float64(len(sites))*float64(largestRequest(sites))
}

func largestRequest(sites []DomainShare) poplar.Tokens {
	most := poplar.Tokens(1)
	for _, s := range sites {
		most = max(most, s.LargestRequest)
	}
	return most
}

// targets returns how many of the remaining tokens each site should hold.
func targets(sites []DomainShare, left poplar.Tokens, p Policy) []poplar.Tokens {
	even, totalRate := p.EvenFraction, 0.0
	for _, s := range sites {
		totalRate += s.Rate
	}
	switch {
	case totalRate == 0:
		even = 1
	case nearEnd(sites, left, p):
		even = 0
	}
	issuable := float64(left) * (1 - p.UnissuedFraction)
	out := make([]poplar.Tokens, len(sites))
	for i, s := range sites {
		part := even / float64(len(sites))
		if totalRate > 0 {
			part += (1 - even) * s.Rate / totalRate
		}
		out[i] = poplar.Tokens(issuable * part)
	}
	return out
}

// refillTargets returns how many tokens each site should hold after this plan: its
// target if it holds fewer by more than the tolerance and they do not last for
// MinDuration, else what it holds. In both cases the tokens cover waiting requests.
// Shares that last are not changed, so that thousands of idle budgets cause no log
// entries.
func refillTargets(sites []DomainShare, target []poplar.Tokens, p Policy) []poplar.Tokens {
	out := make([]poplar.Tokens, len(sites))
	for i, s := range sites {
		out[i] = s.Held + s.Shortfall
		sufficient := max(s.Rate*p.MinDuration.Seconds(), p.EndingRequests*float64(s.LargestRequest))
		if held := float64(s.Held); held < (1-p.Tolerance)*float64(target[i]) && held <= sufficient {
			out[i] = max(out[i], target[i])
		}
	}
	return out
}

// shortageTargets returns how many tokens each site should hold when waiting requests
// lack more tokens than are free. The sites that need the least are served in full,
// so that the last tokens are in one place where they suffice for a request. The
// rest goes to the other sites, those with the highest demand first.
func shortageTargets(sites []DomainShare, target []poplar.Tokens, left poplar.Tokens) []poplar.Tokens {
	out := make([]poplar.Tokens, len(sites))
	for _, i := range byNeed(sites) {
		out[i] = min(sites[i].Held+sites[i].Shortfall, left)
		left -= out[i]
	}
	for _, i := range byRate(sites) {
		if sites[i].Shortfall == 0 {
			out[i] = min(target[i], sites[i].Held, left)
			left -= out[i]
		}
	}
	return out
}

// issue raises sites to their targets as far as the free tokens suffice, those with
// waiting requests first, then those with the highest demand.
func issue(sites []DomainShare, target []poplar.Tokens, free poplar.Tokens) []Move {
	give := make([]poplar.Tokens, len(sites))
	for _, i := range byNeed(sites) {
		give[i] = max(0, min(sites[i].Shortfall, target[i]-sites[i].Held, free))
		free -= give[i]
	}
	for _, i := range byRate(sites) {
		n := max(0, min(target[i]-sites[i].Held-give[i], free))
		give[i] += n
		free -= n
	}
	var moves []Move
	for i, n := range give {
		if n > 0 {
			moves = append(moves, Move{Domain: sites[i].Domain, Issue: n})
		}
	}
	return moves
}

// deficit returns the number of tokens by which sites are below their targets.
func deficit(sites []DomainShare, target []poplar.Tokens) poplar.Tokens {
	sum := poplar.Tokens(0)
	for i, s := range sites {
		sum += max(0, target[i]-s.Held)
	}
	return sum
}

// surplus returns the number of tokens above target at sites without waiting requests,
// counting only sites that exceed their target by more than the tolerance.
func surplus(sites []DomainShare, target []poplar.Tokens, p Policy) poplar.Tokens {
	sum := poplar.Tokens(0)
	for i, s := range sites {
		if s.Shortfall == 0 && float64(s.Held) > (1+p.Tolerance)*float64(target[i]) {
			sum += s.Held - target[i]
		}
	}
	return sum
}

// recall recalls the given amount from the sites above their targets, starting with
// the lowest demand.
func recall(sites []DomainShare, target []poplar.Tokens, amount poplar.Tokens) []Move {
	take := make([]poplar.Tokens, len(sites))
	order := byRate(sites)
	slices.Reverse(order)
	for _, i := range order {
		take[i] = max(0, min(sites[i].Held-target[i], amount))
		amount -= take[i]
	}
	var moves []Move
	for i, n := range take {
		if n > 0 {
			moves = append(moves, Move{Domain: sites[i].Domain, Recall: n})
		}
	}
	return moves
}

// byNeed returns the indices of the sites with waiting requests, in ascending order of
// the tokens they need.
func byNeed(sites []DomainShare) []int {
	var out []int
	for i, s := range sites {
		if s.Shortfall > 0 {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Compare(sites[a].Held+sites[a].Shortfall, sites[b].Held+sites[b].Shortfall)
	})
	return out
}

// byRate returns the indices of all sites in descending order of demand.
func byRate(sites []DomainShare) []int {
	out := make([]int, len(sites))
	for i := range sites {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(sites[b].Rate, sites[a].Rate) })
	return out
}
