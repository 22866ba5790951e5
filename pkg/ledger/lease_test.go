package ledger_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// Leases shrink with the available tokens of a budget, so that the last tokens
// do not stay at routers that have no use for them.
func TestLeaseIsBoundedByAvailableTokens(t *testing.T) {
	for _, test := range []struct{ issued, total, want poplar.Tokens }{
		{issued: 1_000_000, total: 4096, want: 4096},
		{issued: 6_400, total: 4096, want: 100},
		{issued: 63, total: 4096, want: 0},
	} {
		m := ledger.New("east", claim.DefaultLimits)
		apply := func(records []ledger.Record) {
			for i := range records {
				assert.NilError(t, m.Apply(&records[i]))
			}
		}
		apply(m.SetPair(1, "a", "", 1))
		apply(m.Issue([]ledger.Share{{Budget: "gold", Serial: 1, Issued: test.issued}}))
		records, total := m.Lease("gold", "router", test.total)
		assert.Equal(t, total, test.want)
		apply(records)

		more, total := m.Lease("gold", "router", test.total)
		assert.Equal(t, total, test.want, "a repeated call leases no more tokens")
		assert.Equal(t, len(more), 0)
	}
}
