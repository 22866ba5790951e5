package budget_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // flags on the command line override this
	flag.Parse()
	os.Exit(m.Run())
}

// TestBookInvariant makes random calls, most of them invalid, and compares the
// account with separately kept counters.
func TestBookInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := budget.New()
		var issued, returned, settled, leased, spent, leaseReturned, granted poplar.Tokens
		var open []poplar.Tokens
		amount := func(t *rapid.T) poplar.Tokens { return poplar.Tokens(rapid.IntRange(-5, 60).Draw(t, "amount")) }
		sum := func() (total poplar.Tokens) {
			for _, n := range open {
				total += n
			}
			return total
		}
		b.Issue(budget.Share{Budget: "b", Serial: 1})
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				a, _ := b.Account("b")
				assert.Assert(t, a.Valid(), "%+v", a)
				assert.Equal(t, a.Issued(), issued)
				assert.Equal(t, a.Returned(), returned)
				assert.Equal(t, a.Settled(), settled)
				assert.Equal(t, a.Open(), sum())
				assert.Equal(t, a.Leased(), leased)
				restored := budget.New()
				assert.NilError(t, restored.Restore("b", b.State("b")))
				assert.DeepEqual(t, restored.State("b"), b.State("b"))
			},
			"issue": func(t *rapid.T) {
				n := amount(t)
				b.Issue(budget.Share{Budget: "b", Serial: 1, Issued: issued + n})
				issued = max(issued, issued+n)
			},
			"reserve": func(t *rapid.T) {
				n := amount(t)
				available := issued - returned - settled - leased - sum()
				err := b.Reserve("b", n)
				assert.Equal(t, err == nil, n >= 0 && n <= available)
				if err == nil {
					open = append(open, n)
				}
			},
			"settle": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				n := amount(t)
				if b.Settle("b", open[0], n) == nil {
					assert.Assert(t, n >= 0 && n <= open[0])
					settled += n
					open = open[1:]
				}
			},
			"void": func(t *rapid.T) {
				n := amount(t)
				if b.Void("b", n) == nil {
					settled -= n
				}
			},
			"return": func(t *rapid.T) {
				n := returned + amount(t)
				if b.Return("b", n) == nil {
					returned = max(returned, n)
				}
			},
			"lease": func(t *rapid.T) {
				n := granted + amount(t)
				if b.Grant("b", "r", n) == nil && n > granted {
					leased += n - granted
					granted = n
				}
			},
			"report": func(t *rapid.T) {
				s, r := spent+amount(t), leaseReturned+amount(t)
				if b.Report("b", "r", s, r) == nil {
					s, r = max(s, spent), max(r, leaseReturned)
					leased -= s - spent + r - leaseReturned
					settled += s - spent
					spent, leaseReturned = s, r
				}
			},
		})
	})
}

func TestShares(t *testing.T) {
	for _, test := range []struct {
		name      string
		share     budget.Share
		changes   bool
		available poplar.Tokens
		serial    uint64
		due       poplar.Tokens
	}{
		{"same", budget.Share{Serial: 1, Issued: 100}, false, 60, 1, 0},
		{"late", budget.Share{Serial: 1, Issued: 80}, false, 60, 1, 0},
		{"more", budget.Share{Serial: 1, Issued: 120}, true, 80, 1, 0},
		{"lost", budget.Share{Serial: 1, Issued: 100, Lost: 30}, true, 30, 1, 0},
		{"lost by another ledger", budget.Share{Serial: 1, Issued: 100, Lost: 90}, false, 60, 1, 0},
		{"recall", budget.Share{Serial: 1, Issued: 100, Recall: 70}, true, 60, 1, 60},
		{"new serial while open", budget.Share{Serial: 2, Issued: 9}, false, 60, 1, 0},
		{"old serial", budget.Share{Issued: 900}, false, 60, 1, 0},
	} {
		b := budget.New()
		b.Issue(budget.Share{Budget: "b", Serial: 1, Issued: 100})
		assert.NilError(t, b.Reserve("b", 40))
		test.share.Budget = "b"
		assert.Equal(t, b.Changes(test.share), test.changes, test.name)
		b.Issue(test.share)
		a, _ := b.Account("b")
		assert.Equal(t, a.Available(), test.available, test.name)
		assert.Equal(t, a.Serial(), test.serial, test.name)
		assert.Equal(t, b.ReturnDue("b"), test.due, test.name)
	}
}

func ExampleAccounts() {
	book := budget.New()
	book.Issue(budget.Share{Budget: "films", Serial: 1, Issued: 100})
	fmt.Println(book.Reserve("films", 60))
	fmt.Println(poplar.CodeOf(book.Reserve("films", 60)))
	fmt.Println(book.Settle("films", 60, 25))
	account, _ := book.Account("films")
	fmt.Println(account.Available())
	// Output:
	// <nil>
	// budget
	// <nil>
	// 75
}
