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
// the domains. At most Free tokens are issued. If Plan is applied repeatedly to its
// own result at constant demand, it reaches a state without further moves.
func Plan(b Budget, p Policy, now time.Time) []Move {
	domains := reachable(b.Domains, p, now)
	if len(domains) == 0 {
		return nil
	}
	left := b.Free
	for _, s := range domains {
		left += max(0, s.Held)
	}
	if b.Pending > 0 {
		return recall(domains, targets(domains, max(0, left-b.Pending), p), b.Pending)
	}
	target := targets(domains, left, p)
	shortfall := -b.Free
	for _, s := range domains {
		shortfall += s.Shortfall
	}
	if shortfall > 0 {
		target = shortageTargets(domains, target, left)
		return append(issue(domains, target, b.Free), recall(domains, target, max(shortfall, surplus(domains, target, p)))...)
	}
	refilled := refillTargets(domains, target, p)
	moves := issue(domains, refilled, b.Free)
	amount := min(surplus(domains, target, p), deficit(domains, refilled)-b.Free)
	return append(moves, recall(domains, target, amount)...)
}

// NeedsTokens reports whether a domain should ask for more tokens at once instead
// of with its next report, because its tokens do not last for the given duration.
func NeedsTokens(s DomainShare, duration time.Duration) bool {
	return s.Shortfall > 0 || float64(s.Held) < s.Rate*duration.Seconds()+float64(s.LargestRequest)
}

// reachable returns the domains with a recent report, in the given order.
func reachable(domains []DomainShare, p Policy, now time.Time) []DomainShare {
	out := make([]DomainShare, 0, len(domains))
	for _, s := range domains {
		if now.Sub(s.LastReport) <= p.MaxReportAge {
			out = append(out, s)
		}
	}
	return out
}

// nearEnd reports whether the remaining tokens cover only a few requests per domain.
func nearEnd(domains []DomainShare, left poplar.Tokens, p Policy) bool {
	return float64(left) < p.EndingRequests*float64(len(domains))*float64(largestRequest(domains))
}

func largestRequest(domains []DomainShare) poplar.Tokens {
	largest := poplar.Tokens(1)
	for _, s := range domains {
		largest = max(largest, s.LargestRequest)
	}
	return largest
}

// targets returns how many of the remaining tokens each domain should hold.
func targets(domains []DomainShare, left poplar.Tokens, p Policy) []poplar.Tokens {
	even, totalRate := p.EvenFraction, 0.0
	for _, s := range domains {
		totalRate += s.Rate
	}
	switch {
	case totalRate == 0:
		even = 1
	case nearEnd(domains, left, p):
		even = 0
	}
	issuable := float64(left) * (1 - p.UnissuedFraction)
	out := make([]poplar.Tokens, len(domains))
	for i, s := range domains {
		part := even / float64(len(domains))
		if totalRate > 0 {
			part += (1 - even) * s.Rate / totalRate
		}
		out[i] = poplar.Tokens(issuable * part)
	}
	return out
}

// refillTargets returns how many tokens each domain should hold after this plan: its
// target if it holds fewer by more than the tolerance and they do not last for
// MinDuration, else what it holds. In both cases the tokens cover waiting requests.
// Shares that last are not changed, so that thousands of idle budgets cause no log
// entries.
func refillTargets(domains []DomainShare, target []poplar.Tokens, p Policy) []poplar.Tokens {
	out := make([]poplar.Tokens, len(domains))
	for i, s := range domains {
		out[i] = s.Held + s.Shortfall
		sufficient := max(s.Rate*p.MinDuration.Seconds(), p.EndingRequests*float64(s.LargestRequest))
		if held := float64(s.Held); held < (1-p.Tolerance)*float64(target[i]) && held <= sufficient {
			out[i] = max(out[i], target[i])
		}
	}
	return out
}

// shortageTargets returns how many tokens each domain should hold when waiting
// requests lack more tokens than are free. The domains that need the least are
// served in full, so that the last tokens are in one place where they suffice for a
// request. The rest goes to the other domains, those with the highest demand first.
func shortageTargets(domains []DomainShare, target []poplar.Tokens, left poplar.Tokens) []poplar.Tokens {
	out := make([]poplar.Tokens, len(domains))
	for _, i := range byNeed(domains) {
		out[i] = min(domains[i].Held+domains[i].Shortfall, left)
		left -= out[i]
	}
	for _, i := range byRate(domains) {
		if domains[i].Shortfall == 0 {
			out[i] = min(target[i], domains[i].Held, left)
			left -= out[i]
		}
	}
	return out
}

// issue raises domains to their targets as far as the free tokens suffice, those with
// waiting requests first, then those with the highest demand.
func issue(domains []DomainShare, target []poplar.Tokens, free poplar.Tokens) []Move {
	give := make([]poplar.Tokens, len(domains))
	for _, i := range byNeed(domains) {
		give[i] = max(0, min(domains[i].Shortfall, target[i]-domains[i].Held, free))
		free -= give[i]
	}
	for _, i := range byRate(domains) {
		n := max(0, min(target[i]-domains[i].Held-give[i], free))
		give[i] += n
		free -= n
	}
	var moves []Move
	for i, n := range give {
		if n > 0 {
			moves = append(moves, Move{Domain: domains[i].Domain, Issue: n})
		}
	}
	return moves
}

// deficit returns the number of tokens by which domains are below their targets.
func deficit(domains []DomainShare, target []poplar.Tokens) poplar.Tokens {
	sum := poplar.Tokens(0)
	for i, s := range domains {
		sum += max(0, target[i]-s.Held)
	}
	return sum
}

// surplus returns the number of tokens above target at domains without waiting
// requests, counting only domains that exceed their target by more than the
// tolerance.
func surplus(domains []DomainShare, target []poplar.Tokens, p Policy) poplar.Tokens {
	sum := poplar.Tokens(0)
	for i, s := range domains {
		if s.Shortfall == 0 && float64(s.Held) > (1+p.Tolerance)*float64(target[i]) {
			sum += s.Held - target[i]
		}
	}
	return sum
}

// recall recalls the given amount from the domains above their targets, starting with
// the lowest demand.
func recall(domains []DomainShare, target []poplar.Tokens, amount poplar.Tokens) []Move {
	take := make([]poplar.Tokens, len(domains))
	order := byRate(domains)
	slices.Reverse(order)
	for _, i := range order {
		take[i] = max(0, min(domains[i].Held-target[i], amount))
		amount -= take[i]
	}
	var moves []Move
	for i, n := range take {
		if n > 0 {
			moves = append(moves, Move{Domain: domains[i].Domain, Recall: n})
		}
	}
	return moves
}

// byNeed returns the indices of the domains with waiting requests, in ascending
// order of the tokens they need.
func byNeed(domains []DomainShare) []int {
	var out []int
	for i, s := range domains {
		if s.Shortfall > 0 {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Compare(domains[a].Held+domains[a].Shortfall, domains[b].Held+domains[b].Shortfall)
	})
	return out
}

// byRate returns the indices of all domains in descending order of demand.
func byRate(domains []DomainShare) []int {
	out := make([]int, len(domains))
	for i := range domains {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(domains[b].Rate, domains[a].Rate) })
	return out
}
