package wallet

import (
	"cmp"
	"slices"

	"poplarbend.example/poplar"
)

// Breakdown tells where the tokens of one budget are, by the last draws of the routers.
// Its parts add up to the grant, but for loans of which only one side has been reported.
type Breakdown struct {
	Workspace poplar.Workspace
	Grant     poplar.Tokens
	// Spent is what routers reported as spent, and WrittenOff what was lost with ended
	// incarnations.
	Spent, WrittenOff poplar.Tokens
	// Open is reserved by running requests, Reserve was promised not to be used, and
	// Ready is the rest of what routers hold.
	Open, Reserve, Ready poplar.Tokens
	// Free is not issued.
	Free poplar.Tokens
}

// Breakdowns returns the breakdowns of the bound budgets of which tokens were issued. The
// budgets with the smallest fraction of free tokens come first.
func (b *Budgets) Breakdowns() []Breakdown {
	var list []Breakdown
	for name, budget := range b.ByWorkspace {
		if t := budget.totals(); budget.Bound && (t.outstanding > 0 || budget.ClosedIssued > 0) {
			list = append(list, budget.breakdown(name))
		}
	}
	slices.SortFunc(list, func(x, y Breakdown) int {
		return cmp.Or(cmp.Compare(float64(x.Free)*float64(y.Grant), float64(y.Free)*float64(x.Grant)), cmp.Compare(x.Workspace, y.Workspace))
	})
	return list
}

func (b *Budget) breakdown(name poplar.Workspace) Breakdown {
	d := Breakdown{
		Workspace: name, Grant: b.Grant, Spent: b.spent(), WrittenOff: b.ClosedIssued - b.ClosedSpent, Free: b.free(),
	}
	for _, a := range b.Accounts {
		open := min(a.Open, a.Held)
		reserve := min(a.Reserve, a.Held-open)
		d.Open += open
		d.Reserve += reserve
		d.Ready += a.Held - open - reserve
	}
	return d
}
