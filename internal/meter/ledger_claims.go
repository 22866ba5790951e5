package meter

import (
	"fmt"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
)

// This file holds what claims let each side of a cut serve.

// ledgerKeys is the number of keys that a cut is judged by.
const ledgerKeys = 20_000

// measureClaims notes what part of all new non-idempotent requests, which
// arrive evenly, is served in each position of a cut: with claims at home
// domains and with claims in the log. The log's voters stand 2/2/1 in three
// domains and 2/1/1/1 in four; a side without a majority of 3 serves none.
func measureClaims(out *Sheet) {
	for _, voters := range [][]int{{2, 2, 1}, {2, 1, 1, 1}} {
		var domains []poplar.Domain
		for i := range voters {
			domains = append(domains, poplar.Domain(fmt.Sprintf("domain-%d", i)))
		}
		// One side of each cut has the last domain not.
		for side := 1; side < 1<<(len(voters)-1); side++ {
			name := fmt.Sprintf("ledger.claims.%d.cut-%0*b", len(voters), len(voters), side)
			out.Note(name+".home", servedHome(domains, side), "% of non-idempotent requests")
			out.Note(name+".log", servedLog(voters, side), "% of non-idempotent requests")
		}
	}
}

func servedHome(domains []poplar.Domain, side int) float64 {
	served := 0
	for i := range ledgerKeys {
		key := poplar.Key(fmt.Sprintf("key-%d", i))
		home := claim.Home(poplar.NewRequest("workspace", key), domains)
		at := i % len(domains)
		for j, domain := range domains {
			if domain == home && side>>j&1 == side>>at&1 {
				served++
			}
		}
	}
	return 100 * float64(served) / ledgerKeys
}

func servedLog(voters []int, side int) float64 {
	served := 0
	for at := range voters {
		reach := 0
		for j, n := range voters {
			if side>>j&1 == side>>at&1 {
				reach += n
			}
		}
		if reach >= 3 {
			served++
		}
	}
	return 100 * float64(served) / float64(len(voters))
}
