package quorum

import (
	"slices"

	"poplarbend.example/poplar"
)

// This file implements the placement of voters across failure domains.

// EligibleDaemon is a daemon that can become a voter, with its failure domain.
type EligibleDaemon struct {
	Daemon poplar.Daemon
	Domain poplar.Domain
}

// Place selects count voters from the given daemons so that each failure domain
// has fewer than half of them, and a majority remains when one domain fails. The
// voters are distributed across the domains as evenly as possible. The result
// does not depend on the order of the daemons. With one or two domains, one of
// them always has at least half of the voters. Place then fails with
// poplar.CodeInvalid unless count is 1. It also fails with poplar.CodeInvalid when
// there are too few daemons.
func Place(daemons []EligibleDaemon, count int) ([]poplar.Daemon, error) {
	groups := map[poplar.Domain][]poplar.Daemon{}
	for _, e := range daemons {
		groups[e.Domain] = append(groups[e.Domain], e.Daemon)
	}
	domains := make([]poplar.Domain, 0, len(groups))
	for d := range groups {
		slices.Sort(groups[d])
		domains = append(domains, d)
	}
	// Larger domains come first, so that small ones are not exhausted.
	slices.SortFunc(domains, func(a, b poplar.Domain) int {
		if n := len(groups[b]) - len(groups[a]); n != 0 {
			return n
		}
		if a < b {
			return -1
		}
		return 1
	})
	maxPerDomain := (count - 1) / 2
	var picked []poplar.Daemon
	for round := range maxPerDomain {
		for _, d := range domains {
			if round < len(groups[d]) && len(picked) < count {
				picked = append(picked, groups[d][round])
			}
		}
	}
	if count == 1 && len(domains) > 0 {
		picked = []poplar.Daemon{groups[domains[0]][0]}
	}
	if count < 1 || len(picked) < count {
		return nil, invalidError("%d voters cannot be placed on %d daemons in %d failure domains with fewer than half of the voters in each domain", count, len(daemons), len(domains))
	}
	slices.Sort(picked)
	return picked, nil
}
