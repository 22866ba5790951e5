package share_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/share"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func TestPlan(t *testing.T) {
	domain := func(name string, held poplar.Tokens, rate float64, shortfall poplar.Tokens) share.DomainShare {
		return share.DomainShare{Domain: poplar.Domain(name), Held: held, Rate: rate, LargestRequest: 100, Shortfall: shortfall, LastReport: start}
	}
	partitioned := func(s share.DomainShare) share.DomainShare {
		s.LastReport = start.Add(-time.Minute)
		return s
	}
	for _, test := range []struct {
		name   string
		budget share.Budget
		want   string
	}{
		{"without demand tokens are split evenly", share.Budget{Free: 8000, Domains: []share.DomainShare{domain("a", 0, 0, 0), domain("b", 0, 0, 0)}}, "a+3800 b+3800"},
		{"shares follow demand", share.Budget{Free: 8000, Domains: []share.DomainShare{domain("a", 0, 30, 0), domain("b", 0, 10, 0)}}, "a+5510 b+2090"},
		{"a share that lasts an hour is not changed", share.Budget{Free: 8000, Domains: []share.DomainShare{domain("a", 4000, 1, 0), domain("b", 4000, 1, 0)}}, ""},
		{"a partitioned domain gets and returns nothing", share.Budget{Free: 0, Domains: []share.DomainShare{partitioned(domain("a", 900, 0, 0)), domain("b", 0, 1, 50)}}, ""},
		{"waiting requests come first, the smallest in full", share.Budget{Free: 100, Domains: []share.DomainShare{domain("a", 0, 9, 90), domain("b", 0, 1, 60), partitioned(domain("c", 0, 1, 1))}}, "a+40 b+60"},
		{"missing tokens are recalled from domains with low demand", share.Budget{Free: 0, Domains: []share.DomainShare{domain("a", 0, 9, 60), domain("b", 500, 5, 0), domain("c", 500, 1, 0)}}, "b-184 c-437"},
		{"the last tokens move to where they suffice", share.Budget{Domains: []share.DomainShare{domain("a", 40, 9, 60), domain("b", 50, 5, 20), domain("c", 10, 1, 30)}}, "a-40"},
		{"near the end idle shares are recalled", share.Budget{Free: 0, Domains: []share.DomainShare{domain("a", 300, 9, 0), domain("b", 300, 0, 0)}}, "b-270"},
		{"a lowered grant is recalled from all", share.Budget{Pending: 800, Domains: []share.DomainShare{domain("a", 500, 1, 0), domain("b", 500, 0, 0)}}, "a-300 b-500"},
	} {
		got := ""
		for _, m := range share.Plan(test.budget, share.DefaultPolicy(), start) {
			if got += fmt.Sprintf(" %s%+d", m.Domain, m.Issue-m.Recall); m.Issue < 0 || m.Recall < 0 {
				t.Errorf("%s: move %+v is negative", test.name, m)
			}
		}
		if test.want != "" {
			test.want = " " + test.want
		}
		assert.Equal(t, got, test.want, test.name)
	}
}

// TestPlanIsBounded checks for random budgets that a plan issues no more tokens than
// are free, recalls no more than are held, and does not change the shares of
// partitioned domains.
func TestPlanIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upTo := func(limit int64, name string) poplar.Tokens {
			return poplar.Tokens(rapid.Int64Range(0, limit).Draw(t, name))
		}
		b := share.Budget{Free: upTo(1e6, "free"), Pending: upTo(3, "pending") * 1000}
		if b.Pending > 0 {
			b.Free = 0
		}
		byName := map[poplar.Domain]share.DomainShare{}
		for i := range rapid.IntRange(1, 13).Draw(t, "sites") {
			s := share.DomainShare{
				Domain: poplar.Domain(fmt.Sprint(i)), Held: upTo(1e5, "held"), Rate: float64(upTo(1e4, "rate")),
				LargestRequest: upTo(1e4, "most"), Shortfall: upTo(1e4, "short") * upTo(1, "lacks"), LastReport: start.Add(-time.Duration(upTo(6, "age")) * time.Second),
			}
			b.Domains = append(b.Domains, s)
			byName[s.Domain] = s
		}
		issued := poplar.Tokens(0)
		for _, m := range share.Plan(b, share.DefaultPolicy(), start) {
			issued += m.Issue
			s := byName[m.Domain]
			assert.Assert(t, m.Issue >= 0 && m.Recall >= 0 && (m.Issue == 0) != (m.Recall == 0), "%+v", m)
			assert.Assert(t, m.Recall <= s.Held, "%+v of %+v", m, s)
			assert.Assert(t, start.Sub(s.LastReport) <= share.DefaultPolicy().MaxReportAge, "%+v is partitioned", s)
		}
		assert.Assert(t, issued <= b.Free, "issued %d of %d", issued, b.Free)
	})
}

// TestPlansConverge applies plans repeatedly to their own result and checks that no
// moves remain.
func TestPlansConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := share.Budget{Free: poplar.Tokens(rapid.Int64Range(0, 1e6).Draw(t, "free"))}
		for i := range rapid.IntRange(1, 13).Draw(t, "sites") {
			b.Domains = append(b.Domains, share.DomainShare{
				Domain: poplar.Domain(fmt.Sprint(i)), Held: poplar.Tokens(rapid.Int64Range(0, 1e5).Draw(t, "held")),
				Rate: float64(rapid.Int64Range(0, 1e4).Draw(t, "rate")), LargestRequest: poplar.Tokens(rapid.Int64Range(0, 1e4).Draw(t, "most")), LastReport: start,
			})
		}
		for range 4 {
			for _, m := range share.Plan(b, share.DefaultPolicy(), start) {
				for i := range b.Domains {
					if b.Domains[i].Domain == m.Domain {
						b.Domains[i].Held += m.Issue - m.Recall
						b.Free -= m.Issue - m.Recall
					}
				}
			}
		}
		assert.Equal(t, len(share.Plan(b, share.DefaultPolicy(), start)), 0, "%+v", b)
	})
}

func TestDemand(t *testing.T) {
	var d share.Demand
	for i := range 600 {
		d.Record(100, start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(600 * time.Second)
	assert.Assert(t, math.Abs(d.Rate(now)-100) < 10, "rate %f", d.Rate(now))
	assert.Equal(t, d.Largest(), poplar.Tokens(100))
	assert.Equal(t, d.Rate(start), d.Rate(now), "the clock jumped back")
	assert.Assert(t, d.Rate(now.Add(time.Minute)) > 50, "demand is retained through a pause")
	assert.Equal(t, d.Rate(now.Add(24*time.Hour)), 0.0)
	assert.Equal(t, d.Largest(), poplar.Tokens(0))
}

func ExamplePlan() {
	now := time.Unix(0, 0)
	budget := share.Budget{Free: 10_000, Domains: []share.DomainShare{
		{Domain: "east", Rate: 300, LargestRequest: 100, LastReport: now},
		{Domain: "west", Rate: 100, LargestRequest: 100, LastReport: now},
	}}
	for _, move := range share.Plan(budget, share.DefaultPolicy(), now) {
		fmt.Println(move.Domain, move.Issue)
	}
	// Output:
	// east 6887
	// west 2612
}
