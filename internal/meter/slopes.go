package meter

import (
	"context"
	"fmt"
	"strings"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
	allot "poplarbend.example/poplar/pkg/share"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the slopes from which docs/CAPACITY.md is worked out. Each is
// measured at three sizes, and carried to the size of two years from now.

// The size of two years from now.
const (
	aimDaemons    = 390
	aimUpstreams  = 1100
	aimBudgets    = 81_000
	aimWorkspaces = 8_400
	aimDomains    = 13
	aimRequests   = 5_800.0 // a second
	aimChanges    = 650.0   // a day
	aimMemory     = 32.0    // MB for control at a daemon
	aimBytes      = 3.0     // KB a second for control at a daemon
	aimCore       = 2.0     // percent of a core for control at a daemon
	aimInForce    = 6.0     // seconds until a change is in force
)

const (
	mega = 1 << 20
	kilo = 1 << 10
	day  = 24 * time.Hour
)

var _ = Add("slopes", slopes)

// slopes measures each role at three sizes.
func slopes(ctx context.Context, out *Sheet) error {
	for _, f := range []func(*Sheet) error{voterSlopes, ledgerSlopes, routerSlopes, shareSlopes, memberSlopes} {
		if err := f(out); err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

// nthBudget returns the name of the i-th budget.
func nthBudget(i int) poplar.Budget { return poplar.Budget(fmt.Sprintf("budget-%06d", i)) }

// issuedState returns the replicated state of n budgets with a share in each
// domain, and the seconds that the issues took.
func issuedState(n int) (*state.State, float64, error) {
	s := state.New()
	index := poplar.Index(0)
	apply := func(c state.Command) error {
		index++
		reply, err := state.Decode[state.Reply](s.Apply(index, state.Encode(c)))
		if err != nil {
			return err
		}
		return reply.Err()
	}
	change := state.Change{Number: 1, Operator: "meter", Files: map[string]string{"a.json": "{}"}}
	for i := range n {
		change.Budgets = append(change.Budgets, state.Declared{
			Name: nthBudget(i), Workspace: poplar.Workspace(fmt.Sprintf("space-%05d", i/10)), Tokens: 1_000_000,
		})
	}
	if err := apply(state.Command{Change: &change}); err != nil {
		return nil, 0, err
	}
	for d := range aimDomains {
		name := poplar.Daemon(fmt.Sprintf("holder-%02d", d))
		l := state.Ledger{Domain: nthDomain(d), Epoch: 1, Primary: state.Holder{Name: name, Life: 1}, Proposer: name}
		if err := apply(state.Command{Ledger: &l}); err != nil {
			return nil, 0, err
		}
	}
	var failed error
	taken := clocked(func() {
		for d := range aimDomains {
			for i := 0; i < n; i += 512 {
				var issue state.Issue
				for j := i; j < min(n, i+512); j++ {
					issue.Shares = append(issue.Shares, state.Share{Budget: nthBudget(j), Domain: nthDomain(d), Tokens: 1000})
				}
				if err := apply(state.Command{Issue: &issue}); err != nil {
					failed = err
				}
			}
		}
	})
	return s, taken, failed
}

func nthDomain(d int) poplar.Domain { return poplar.Domain(fmt.Sprintf("domain-%02d", d)) }

// voterSlopes measures the replicated state at a voter.
func voterSlopes(out *Sheet) error {
	var memory, snapshot, busy []point
	for _, n := range []int{9_000, 27_000, 81_000} {
		var taken float64
		var err error
		s, bytes := weigh(func() *state.State {
			var made *state.State
			made, taken, err = issuedState(n)
			return made
		})
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(n), bytes})
		snapshot = append(snapshot, point{float64(n), float64(len(s.Snapshot()))})
		busy = append(busy, point{float64(n * aimDomains), taken * 1e6})
	}
	out.Note("voter.memory.budget", fit(memory).slope, "B/budget of 13 shares")
	out.Note("voter.snapshot.budget", fit(snapshot).slope, "B/budget of 13 shares")
	out.Note("voter.apply.share", fit(busy).slope, "us/share")
	out.Note("voter.memory.aim", fit(memory).at(aimBudgets)/mega, "MB at 81,000 budgets")
	return nil
}

// ledgerSlopes measures a domain's ledger: idle budgets, and request records.
func ledgerSlopes(out *Sheet) error {
	var idle, keyed, unkeyed, busy []point
	for _, n := range []int{9_000, 27_000, 81_000} {
		bytes, _, err := ledgerOf(n, 0, false)
		if err != nil {
			return err
		}
		idle = append(idle, point{float64(n), bytes})
		bytes, taken, err := ledgerOf(1, n, true)
		if err != nil {
			return err
		}
		keyed = append(keyed, point{float64(n), bytes})
		busy = append(busy, point{float64(n), taken * 1e6})
		if bytes, _, err = ledgerOf(1, n, false); err != nil {
			return err
		}
		unkeyed = append(unkeyed, point{float64(n), bytes})
	}
	out.Note("ledger.memory.budget", fit(idle).slope, "B/budget")
	out.Note("ledger.memory.keyed", fit(keyed).slope, "B/settled keyed request in the window")
	out.Note("ledger.memory.unkeyed", fit(unkeyed).slope, "B/settled unkeyed request in the window")
	out.Note("ledger.decide", fit(busy).slope, "us/reserve and settle, without disk and network")
	window := claim.DefaultLimits.Window.Seconds() * aimRequests / aimDomains
	out.Note("ledger.memory.aim", (fit(idle).at(aimBudgets)+fit(keyed).slope*window)/mega,
		"MB at 81,000 budgets and every request of the window keyed")
	return nil
}

// ledgerOf returns the bytes of a ledger with the given budgets and settled
// requests, and the seconds that the requests took.
func ledgerOf(budgets, requests int, keyed bool) (bytes, taken float64, err error) {
	_, bytes = weigh(func() *ledger.Machine {
		m, failed := issuedLedger(budgets)
		if err = failed; err == nil {
			taken = clocked(func() { err = settleMany(m, requests, keyed) })
		}
		return m
	})
	return bytes, taken, err
}

// issuedLedger returns a ledger that holds a share of n budgets.
func issuedLedger(n int) (*ledger.Machine, error) {
	m := ledger.New("domain-00", claim.DefaultLimits)
	if err := applyAll(m, m.SetPair(1, "holder-00", "", 1)); err != nil {
		return nil, err
	}
	shares := make([]ledger.Share, 0, n)
	for i := range n {
		shares = append(shares, ledger.Share{Budget: nthBudget(i), Serial: 1, Issued: 1 << 40})
	}
	return m, applyAll(m, m.Issue(shares))
}

func applyAll(m *ledger.Machine, records []ledger.Record) error {
	for i := range records {
		if err := m.Apply(&records[i]); err != nil {
			return err
		}
	}
	return nil
}

// settleMany reserves and settles n requests.
func settleMany(m *ledger.Machine, n int, keyed bool) error {
	now := time.Unix(1_700_000_000, 0)
	for i := range n {
		ask := poplar.ReserveRequest{
			Workspace: "space-00000", Budget: nthBudget(0), Caller: "caller", Key: poplar.Key(fmt.Sprintf("%032x", i)),
			Keyed: keyed, Digest: uint64(i), Rank: poplar.Normal, MaxTokens: 300, Idempotent: true, Router: "router", Upstream: "engine",
		}
		d := m.Reserve(ask, []poplar.Domain{"domain-00"}, now)
		if d.Err != nil {
			return d.Err
		}
		if err := applyAll(m, d.Records); err != nil {
			return err
		}
		s := m.Settle(poplar.Settlement{
			Workspace: ask.Workspace, Key: ask.Key, Attempt: d.Grant.Attempt, Outcome: poplar.OutcomeDone, Spent: 250,
		}, []poplar.Domain{"domain-00"}, now)
		if s.Err != nil {
			return s.Err
		}
		if err := applyAll(m, s.Records); err != nil {
			return err
		}
	}
	return nil
}

// routerSlopes measures the compiled configuration at a router.
func routerSlopes(out *Sheet) error {
	var memory, busy, size []point
	for _, n := range []int{9_000, 27_000, 81_000} {
		files := folderOf(n)
		bytes := 0
		for _, f := range files {
			bytes += len(f)
		}
		var taken float64
		var err error
		_, held := weigh(func() *conf.Policy {
			var p *conf.Policy
			taken = clocked(func() { p, err = conf.Merge(files) })
			return p
		})
		if err != nil {
			return err
		}
		memory = append(memory, point{float64(n), held})
		busy = append(busy, point{float64(n), taken})
		size = append(size, point{float64(n), float64(bytes)})
	}
	out.Note("router.policy.budget", fit(memory).slope, "B/budget with its caller")
	out.Note("router.files.budget", fit(size).slope, "B of files/budget with its caller")
	out.Note("router.compile.budget", fit(busy).slope*1e6, "us/budget with its caller")
	out.AtMost("router.policy.aim", (fit(memory).at(aimBudgets)+fit(size).at(aimBudgets))/mega,
		"MB of policy and files at 81,000 budgets", aimMemory)
	out.AtMost("router.compile.aim", fit(busy).at(aimBudgets), "s at 81,000 budgets", aimInForce)
	out.AtMost("router.compile.core", 100*fit(busy).at(aimBudgets)*aimChanges/day.Seconds(),
		"% of a core at 650 changes a day", aimCore)
	return nil
}

// folderOf returns an operators' folder of n budgets, each with a caller.
func folderOf(n int) map[string][]byte {
	files := map[string][]byte{}
	perSpace := aimBudgets / aimWorkspaces
	for first := 0; first < n; first += perSpace * 100 {
		var spaces, budgets strings.Builder
		for s := first; s < min(n, first+perSpace*100); s += perSpace {
			fmt.Fprintf(&spaces, "%q: {\"weight\": 1, \"callers\": {", fmt.Sprintf("space-%05d", s/perSpace))
			for i := s; i < min(n, s+perSpace); i++ {
				fmt.Fprintf(&spaces, "%q: {\"budget\": %q, \"hash\": \"%064x\"},", fmt.Sprintf("caller-%d", i), nthBudget(i), i)
				fmt.Fprintf(&budgets, "%q: {\"workspace\": %q, \"tokens\": 1000000},\n", nthBudget(i), fmt.Sprintf("space-%05d", s/perSpace))
			}
			spaces.WriteString("}},\n")
		}
		files[fmt.Sprintf("30-%06d.jsonc", first)] = []byte("{\"workspaces\": {" + spaces.String() + "}}")
		files[fmt.Sprintf("40-%06d.jsonc", first)] = []byte("{\"budgets\": {" + budgets.String() + "}}")
	}
	return files
}

// shareSlopes counts the moves of shares while one budget is spent to its end,
// by the number of domains, with demand that differs among them.
func shareSlopes(out *Sheet) error {
	var moves []point
	for _, domains := range []int{4, 8, 13} {
		moves = append(moves, point{float64(domains), float64(movesOf(domains))})
	}
	out.Note("log.moves.domain", fit(moves).slope, "share moves/domain while a budget is spent")
	perSecond := fit(moves).at(aimDomains) * aimBudgets / day.Seconds()
	out.Note("log.moves.aim", perSecond, "share moves/s when each budget lasts a day")
	return nil
}

// movesOf spends one budget over domains with demands of 1, 1/2, 1/3 and so on,
// and counts the issues and recalls.
func movesOf(domains int) int {
	const grant, request = 1_000_000, 250
	now := time.Unix(1_700_000_000, 0)
	free := poplar.Tokens(grant)
	sites := make([]allot.DomainShare, domains)
	due := make([]float64, domains)
	for i := range sites {
		sites[i] = allot.DomainShare{Domain: nthDomain(i), Rate: 1000 / float64(i+1), LargestRequest: request}
	}
	moves := 0
	for spent := true; spent; now = now.Add(250 * time.Millisecond) {
		spent = free > request
		for i := range sites {
			s := &sites[i]
			s.LastReport, s.Shortfall = now, 0
			for due[i] += s.Rate / 4; due[i] >= request; due[i] -= request {
				if s.Held < request {
					s.Shortfall += request
					continue
				}
				s.Held -= request
				spent = true
			}
		}
		for _, m := range allot.Plan(allot.Budget{Free: free, Domains: sites}, allot.DefaultPolicy(), now) {
			for i := range sites {
				if sites[i].Domain == m.Domain {
					sites[i].Held += m.Issue - m.Recall
					free += m.Recall - m.Issue
				}
			}
			moves++
		}
	}
	return moves
}

// memberSlopes measures the messages of membership in one failure domain that
// exchanges upstreams with three others.
func memberSlopes(out *Sheet) error {
	var bytes, busy []point
	for _, daemons := range []int{8, 16, 30} {
		b, cpu, err := gossipOf(daemons, daemons*aimUpstreams/aimDaemons, 10*time.Second)
		if err != nil {
			return err
		}
		bytes = append(bytes, point{float64(daemons), b})
		busy = append(busy, point{float64(daemons), cpu})
	}
	out.Note("member.bytes.daemon", fit(bytes).slope, "B/s/daemon more in the domain")
	aim := float64(aimDaemons) / aimDomains
	out.AtMost("member.bytes.aim", fit(bytes).at(aim)/kilo,
		"KB/s sent and received at 30 daemons and 85 upstreams in the domain, headers included", aimBytes)
	out.AtMost("member.core.aim", fit(busy).at(aim), "% of a core at 30 daemons and 85 upstreams in the domain", aimCore)
	return nil
}

// gossipOf runs the membership of four domains for a virtual time. It returns
// the bytes a second that a daemon sends and receives, and the percent of a core
// that it takes, the network of the measurement included.
func gossipOf(daemons, upstreams int, span time.Duration) (bytes, cpu float64, err error) {
	n := newSpreadNet(spreadDomains, daemons, upstreams, 0, 1)
	if err := n.advance(spreadCalm, nil); err != nil {
		return 0, 0, err
	}
	for _, x := range n.nodes {
		x.sent, x.received = 0, 0
	}
	taken := clocked(func() { err = n.advance(span, nil) })
	total := 0
	for _, x := range n.nodes {
		total += x.sent + x.received
	}
	all := float64(len(n.nodes)) * span.Seconds()
	return float64(total) / all, 100 * taken / all, err
}
