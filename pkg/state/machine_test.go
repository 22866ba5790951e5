package state_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// domainNode is one domain: a follower, and a ledger that spends its tokens.
type domainNode struct {
	cut      bool
	follower *state.Follower
	spent    map[poplar.Budget]map[poplar.Index]poplar.Tokens
	returned map[poplar.Budget]map[poplar.Index]poplar.Tokens
}

// unspent returns the share of a budget and the tokens that the domain's ledger
// can still spend.
func (n *domainNode) unspent(b poplar.Budget) (state.ShareItem, poplar.Tokens) {
	item, _ := n.follower.Share(b)
	return item, item.Issued - item.Lost - n.returned[b][item.Serial] - n.spent[b][item.Serial]
}

func add(m map[poplar.Budget]map[poplar.Index]poplar.Tokens, b poplar.Budget, serial poplar.Index, n poplar.Tokens) {
	if m[b] == nil {
		m[b] = map[poplar.Index]poplar.Tokens{}
	}
	m[b][serial] += n
}

// fleet drives a state and its domains under message loss, duplication,
// reordering and network partitions.
type fleet struct {
	state           *state.State
	replica         *state.State // restored from snapshots at random
	index           poplar.Index
	nodes           map[poplar.Domain]*domainNode
	domains         []poplar.Domain
	budgets         []poplar.Budget
	inFlight        [][]byte      // commands that can arrive again
	sentDeltas      []state.Delta // deltas that can arrive late
	maxGranted      map[poplar.Budget]map[poplar.Index]poplar.Tokens
	winner          map[poplar.Revision]string
	lastOutstanding map[poplar.Budget]poplar.Tokens
}

func newFleet(domains int) *fleet {
	f := &fleet{
		state: state.New(), replica: state.New(), nodes: map[poplar.Domain]*domainNode{},
		budgets: []poplar.Budget{"a", "b"}, winner: map[poplar.Revision]string{},
		maxGranted: map[poplar.Budget]map[poplar.Index]poplar.Tokens{}, lastOutstanding: map[poplar.Budget]poplar.Tokens{},
	}
	for i := range domains {
		d := poplar.Domain(fmt.Sprintf("d%d", i))
		f.domains = append(f.domains, d)
		f.nodes[d] = &domainNode{
			follower: state.NewFollower(d),
			spent:    map[poplar.Budget]map[poplar.Index]poplar.Tokens{},
			returned: map[poplar.Budget]map[poplar.Index]poplar.Tokens{},
		}
		f.inFlight = append(f.inFlight, state.Encode(state.Command{Ledger: &state.Ledger{Domain: d, Epoch: 1, Primary: state.Holder{Name: "p"}}}))
	}
	f.inFlight = append(f.inFlight, state.Encode(state.Command{Change: &state.Change{Number: 1, Files: map[string]string{"f": "1"}, Budgets: declare(50, f.budgets...)}}))
	for _, c := range f.inFlight {
		f.apply(c)
	}
	return f
}

func declare(tokens poplar.Tokens, names ...poplar.Budget) []state.Declared {
	var out []state.Declared
	for _, n := range names {
		out = append(out, state.Declared{Name: n, Workspace: "w", Tokens: tokens})
	}
	return out
}

func (f *fleet) apply(command []byte) state.Reply {
	f.index++
	out := f.state.Apply(f.index, command)
	if fromReplica := f.replica.Apply(f.index, command); string(out) != string(fromReplica) {
		panic(fmt.Sprintf("replicas answer %s and %s", out, fromReplica))
	}
	reply, _ := state.Decode[state.Reply](out)
	return reply
}

func (f *fleet) send(t *rapid.T, c state.Command) {
	data := state.Encode(c)
	f.inFlight = append(f.inFlight, data)
	if rapid.Bool().Draw(t, "now") {
		f.apply(data)
	}
}

func (f *fleet) domain(t *rapid.T) (poplar.Domain, *domainNode) {
	d := rapid.SampledFrom(f.domains).Draw(t, "domain")
	return d, f.nodes[d]
}

func (f *fleet) budget(t *rapid.T) poplar.Budget {
	return rapid.SampledFrom(f.budgets).Draw(t, "budget")
}

func (f *fleet) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"cut": func(t *rapid.T) {
			_, node := f.domain(t)
			node.cut = !node.cut
		},
		"issue": func(t *rapid.T) {
			d, _ := f.domain(t)
			n := rapid.Int64Range(0, 150).Draw(t, "n")
			f.send(t, state.Command{Issue: &state.Issue{Shares: []state.Share{{Budget: f.budget(t), Domain: d, Tokens: poplar.Tokens(n)}}}})
		},
		"spend": func(t *rapid.T) {
			_, node := f.domain(t)
			b := f.budget(t)
			if item, unspent := node.unspent(b); unspent > 0 && !item.Deleted {
				add(node.spent, b, item.Serial, poplar.Tokens(rapid.Int64Range(1, int64(unspent)).Draw(t, "n")))
			}
		},
		"return": func(t *rapid.T) {
			d, node := f.domain(t)
			b := f.budget(t)
			item, unspent := node.unspent(b)
			if unspent > 0 {
				add(node.returned, b, item.Serial, poplar.Tokens(rapid.Int64Range(0, int64(unspent)).Draw(t, "n")))
			}
			if item.Deleted {
				add(node.returned, b, item.Serial, unspent-max(0, unspent)+max(0, item.Issued-item.Lost-node.returned[b][item.Serial]-node.spent[b][item.Serial]))
			}
			share := state.Share{Budget: b, Domain: d, Tokens: node.returned[b][item.Serial], Serial: item.Serial, Final: item.Deleted}
			if !node.cut {
				f.send(t, state.Command{Return: &state.Return{Shares: []state.Share{share}}})
			}
		},
		"topup": func(t *rapid.T) {
			id := rapid.IntRange(1, 12).Draw(t, "id")
			f.send(t, state.Command{Topup: &state.Topup{ID: fmt.Sprint(id), Budget: f.budget(t), Tokens: poplar.Tokens(id*10 - 60), Operator: "o", At: time.Unix(int64(id), 0)}})
		},
		"change": func(t *rapid.T) {
			n := f.state.Revision() + poplar.Revision(rapid.IntRange(0, 2).Draw(t, "ahead"))
			body := rapid.SampledFrom([]string{"x", "y", ""}).Draw(t, "body")
			c := state.Change{Number: n, Files: map[string]string{"f": body, "g" + body: body}, Operator: "o" + body}
			c.Budgets = declare(poplar.Tokens(rapid.IntRange(0, 100).Draw(t, "tokens")), f.budgets[:rapid.IntRange(0, 2).Draw(t, "kept")]...)
			f.send(t, state.Command{Change: &c})
		},
		"force": func(t *rapid.T) {
			d, node := f.domain(t)
			if rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
				return
			}
			// The old ledger is lost. The new one starts from the log, so it
			// counts as spent only the tokens that the log wrote off.
			next := state.Ledger{Domain: d, Epoch: f.state.Pair(d).Epoch + 1, Primary: state.Holder{Name: "n"}, Force: true}
			assert.NilError(t, f.apply(state.Encode(state.Command{Ledger: &next})).Err())
			f.loseLedger(node, d)
		},
		"resend": func(t *rapid.T) { f.apply(rapid.SampledFrom(f.inFlight).Draw(t, "command")) },
		"pull": func(t *rapid.T) {
			d, node := f.domain(t)
			if !node.cut {
				f.sentDeltas = append(f.sentDeltas, f.state.Delta(d, node.follower.Mark()))
				_, err := node.follower.Apply(f.sentDeltas[len(f.sentDeltas)-1])
				assert.NilError(t, err)
			}
		},
		"late": func(t *rapid.T) {
			_, node := f.domain(t)
			if len(f.sentDeltas) > 0 {
				rev, index := node.follower.Revision(), node.follower.Index()
				delta := f.sentDeltas[rapid.IntRange(0, len(f.sentDeltas)-1).Draw(t, "delta")]
				_, err := node.follower.Apply(delta)
				assert.Equal(t, err == nil, delta.Domain == node.follower.Domain())
				assert.Assert(t, node.follower.Revision() >= rev && node.follower.Index() >= index, "reverted")
			}
		},
		"restart": func(t *rapid.T) {
			next := state.New()
			assert.NilError(t, next.Restore(f.replica.Snapshot()))
			f.replica = next
			d, node := f.domain(t)
			restored := state.NewFollower(d)
			assert.NilError(t, restored.Restore(node.follower.Snapshot()))
			assert.Equal(t, restored.Revision(), node.follower.Revision())
			node.follower = restored
		},
		"": f.check,
	}
}

// loseLedger simulates the loss of a ledger and of its record of spent tokens. The
// test moves the spent tokens to a separate node, to check the sum.
func (f *fleet) loseLedger(node *domainNode, d poplar.Domain) {
	lost := f.nodes["lost/"+d]
	if lost == nil {
		lost = &domainNode{spent: map[poplar.Budget]map[poplar.Index]poplar.Tokens{}}
		f.nodes["lost/"+d] = lost
	}
	for b, serials := range node.spent {
		for serial, n := range serials {
			add(lost.spent, b, serial, n)
		}
	}
	clear(node.spent)
	clear(node.returned)
	node.follower = state.NewFollower(d)
	for delta := f.state.Delta(d, node.follower.Mark()); !delta.Empty(); delta = f.state.Delta(d, node.follower.Mark()) {
		_, _ = node.follower.Apply(delta)
	}
	for _, b := range f.budgets {
		if item, ok := node.follower.Share(b); ok {
			add(node.returned, b, item.Serial, item.Returned)
		}
	}
}

// check asserts rules P1 (spending is at most the grant) and P8 (one body per
// revision) after every step.
func (f *fleet) check(t *rapid.T) {
	for b := range f.state.Budgets {
		if f.maxGranted[b.Name] == nil {
			f.maxGranted[b.Name] = map[poplar.Index]poplar.Tokens{}
		}
		f.maxGranted[b.Name][b.Serial] = max(f.maxGranted[b.Name][b.Serial], b.Granted)
		assert.Assert(t, b.Deleted || b.Out <= b.Granted || b.Out <= f.lastOutstanding[b.Name], "budget %+v exceeds its grant, outstanding before: %d", b, f.lastOutstanding[b.Name])
		f.lastOutstanding[b.Name] = b.Out
		sum := poplar.Tokens(0)
		for _, h := range b.Holdings {
			assert.Assert(t, h.Returned >= 0 && h.Lost >= 0 && h.Returned+h.Lost <= h.Issued, "%+v", b)
			sum += h.Issued - h.Returned
		}
		assert.Equal(t, sum, b.Out)
	}
	for _, b := range f.budgets {
		for serial, peak := range f.maxGranted[b] {
			spent := poplar.Tokens(0)
			for _, node := range f.nodes {
				spent += node.spent[b][serial]
			}
			assert.Assert(t, spent <= peak, "spent %d of %s, granted at most %d", spent, b, peak)
		}
	}
	f.checkChanges(t)
}

func (f *fleet) checkChanges(t *rapid.T) {
	for _, d := range f.domains {
		x := f.nodes[d].follower
		assert.Assert(t, x.Revision() <= f.state.Revision())
		body := fmt.Sprint(x.Files())
		if x.Revision() == f.state.Revision() {
			assert.Equal(t, body, fmt.Sprint(f.state.Files()))
		}
		if won, ok := f.winner[x.Revision()]; ok {
			assert.Equal(t, won, body)
		}
	}
	f.winner[f.state.Revision()] = fmt.Sprint(f.state.Files())
}

// syncAll brings every domain up to date, and a router through each domain.
func (f *fleet) syncAll(t *rapid.T) {
	for _, d := range f.domains {
		x, router := f.nodes[d].follower, state.NewFollower(d)
		for delta := f.state.Delta(d, x.Mark()); !delta.Empty(); delta = f.state.Delta(d, x.Mark()) {
			_, err := x.Apply(delta)
			assert.NilError(t, err)
		}
		for delta := x.Delta(router.Mark()); !delta.Empty(); delta = x.Delta(router.Mark()) {
			_, err := router.Apply(delta)
			assert.NilError(t, err)
		}
		for _, y := range []*state.Follower{x, router} {
			assert.Equal(t, y.Revision(), f.state.Revision())
			assert.DeepEqual(t, y.Files(), f.state.Files())
			assert.DeepEqual(t, y.Pairs(), f.state.Pairs())
		}
		for b := range f.state.Budgets {
			i := slices.IndexFunc(b.Holdings, func(h state.Holding) bool { return h.Domain == d })
			if item, ok := x.Share(b.Name); i >= 0 {
				assert.Assert(t, ok)
				assert.Equal(t, item.Issued, b.Holdings[i].Issued)
				assert.Equal(t, item.Lost, b.Holdings[i].Lost)
				assert.Equal(t, item.Deleted, b.Deleted)
			}
		}
	}
}

func TestFleetKeepsPromises(t *testing.T) {
	for _, domains := range []int{3, 4} {
		t.Run(fmt.Sprint(domains), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(domains)
				t.Repeat(f.steps())
				f.syncAll(t)
			})
		})
	}
}
