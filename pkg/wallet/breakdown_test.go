package wallet

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// TestBreakdownsAddUpToTheGrant draws, spends, lends and loses tokens of a budget.
func TestBreakdownsAddUpToTheGrant(t *testing.T) {
	b := NewBudgets()
	b.Declare(map[poplar.Workspace]Grant{
		"w": {Tokens: 1000, Bound: true}, "full": {Tokens: 500, Bound: true}, "unused": {Tokens: 1, Bound: true}, "unbound": {},
	})
	draw := func(router poplar.Daemon, incarnation, number uint64, workspace poplar.Workspace, e DrawEntry) {
		b.HandleDraw(DrawRequest{
			Holder: Holder{Name: router, Incarnation: incarnation}, Number: number, Entries: map[poplar.Workspace]DrawEntry{workspace: e},
		}, 0)
	}
	draw("r1", 1, 1, "w", DrawEntry{Needed: 300})
	draw("r1", 1, 2, "w", DrawEntry{Issued: 300, Spent: 80, Open: 50, Reserve: 100, NetBorrowed: -20})
	draw("r2", 1, 1, "w", DrawEntry{Needed: 400})
	draw("r2", 1, 2, "w", DrawEntry{Issued: 400, Spent: 10, Open: 30, NetBorrowed: 20})
	draw("r1", 1, 3, "full", DrawEntry{Needed: 100})
	assert.DeepEqual(t, b.Breakdowns(), []Breakdown{
		{Workspace: "w", Grant: 1000, Spent: 90, Open: 80, Reserve: 100, Ready: 430, Free: 300},
		{Workspace: "full", Grant: 500, Ready: 100, Free: 400},
	})
	draw("r2", 2, 1, "w", DrawEntry{})
	w := b.Breakdowns()[0]
	assert.DeepEqual(t, w, Breakdown{Workspace: "w", Grant: 1000, Spent: 90, WrittenOff: 390, Open: 50, Reserve: 100, Ready: 50, Free: 300})
	// The loan of 20 is now counted as lost by its borrower and as given by its lender.
	assert.Equal(t, w.Spent+w.WrittenOff+w.Open+w.Reserve+w.Ready+w.Free, w.Grant-20)
}
