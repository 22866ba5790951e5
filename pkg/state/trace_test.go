package state_test

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/budget"
	"poplarbend.example/poplar/pkg/state"
)

// replica is one holder of domain 0 in a trace of models/shares.pml. Its budget
// book is rebuilt from the operations that it has synced.
type replica struct {
	epoch   poplar.Epoch
	primary int
	ops     []func(*budget.Accounts) error
}

func (r *replica) book(t *testing.T) *budget.Accounts {
	b := budget.New()
	for _, op := range r.ops {
		assert.NilError(t, op(b))
	}
	return b
}

// TestTraces replays runs of the model on State and budget.Accounts. Every step of a
// trace must be possible, with the same counters as in the model.
// The command spin -DTRACE -nSEED models/shares.pml generates a trace.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/traces/shares-*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runTrace(t, file) })
	}
}

func runTrace(t *testing.T, file string) {
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	s, index := state.New(), poplar.Index(0)
	apply := func(c state.Command) state.Reply {
		index++
		reply, err := state.Decode[state.Reply](s.Apply(index, state.Encode(c)))
		assert.NilError(t, err)
		return reply
	}
	domains := []poplar.Domain{"zero", "one"}
	holders := []state.Holder{{Name: "r0"}, {Name: "r1"}}
	apply(state.Command{Change: &state.Change{Number: 1, Budgets: []state.Declared{{Name: "b", Workspace: "w", Tokens: 2}}}})
	apply(state.Command{Ledger: &state.Ledger{Domain: "zero", Epoch: 1, Primary: holders[0], Backup: holders[1]}})
	apply(state.Command{Ledger: &state.Ledger{Domain: "one", Epoch: 1, Primary: state.Holder{Name: "x"}}})
	sent := []func(*budget.Accounts) error{}
	replicas := []*replica{{epoch: 1}, {epoch: 1}}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for line := 1; lines.Scan(); line++ {
		var step string
		var a, b, c int
		_, err := fmt.Sscanf(lines.Text(), "step %s %d %d %d", &step, &a, &b, &c)
		assert.NilError(t, err)
		at := fmt.Sprintf("%s:%d: %s", file, line, lines.Text())
		appendOp := func(op func(*budget.Accounts) error) {
			replicas[a].ops = append(replicas[a].ops[:len(replicas[a].ops):len(replicas[a].ops)], op)
		}
		switch step {
		case "issue":
			got := apply(state.Command{Issue: &state.Issue{Shares: []state.Share{{Budget: "b", Domain: domains[a], Tokens: poplar.Tokens(b)}}}})
			assert.Equal(t, got.Shares[0].Tokens, poplar.Tokens(b), at)
		case "report":
			got := apply(state.Command{Return: &state.Return{Shares: []state.Share{{Budget: "b", Domain: domains[a], Tokens: poplar.Tokens(b), Serial: 1}}}})
			assert.Equal(t, got.Shares[0].Tokens, poplar.Tokens(b), at)
		case "learn":
			appendOp(func(k *budget.Accounts) error {
				k.Issue(budget.Share{Budget: "b", Serial: 1, Issued: poplar.Tokens(b)})
				return nil
			})
		case "reserve":
			appendOp(func(k *budget.Accounts) error { return k.Reserve("b", 1) })
		case "settle":
			appendOp(func(k *budget.Accounts) error { return k.Settle("b", 1, 1) })
		case "giveback":
			appendOp(func(k *budget.Accounts) error { return k.Return("b", poplar.Tokens(b)) })
		case "copy":
			sent = replicas[a].ops
		case "accept":
			assert.Assert(t, poplar.Epoch(b) >= replicas[a].epoch, at)
			replicas[a].epoch, replicas[a].primary, replicas[a].ops = poplar.Epoch(b), 1-a, sent
		case "takeover":
			l := state.Ledger{Domain: "zero", Epoch: poplar.Epoch(c), Primary: holders[a]}
			if b == 1 {
				l.Backup = holders[1-a]
			}
			assert.NilError(t, apply(state.Command{Ledger: &l}).Err(), at)
		case "hear":
			pair := s.Pair("zero")
			assert.Equal(t, pair.Epoch, poplar.Epoch(b), at)
			replicas[a].epoch = pair.Epoch
		case "ready":
			assert.NilError(t, apply(state.Command{Ready: &state.Ready{Domain: "zero", Epoch: poplar.Epoch(a)}}).Err(), at)
			assert.Assert(t, s.Pair("zero").Ready(), at)
		}
		for _, x := range replicas {
			account, _ := x.book(t).Account("b")
			assert.Assert(t, account.Valid(), at)
		}
		got, _ := s.Budget("b")
		assert.Assert(t, got.Out <= got.Granted, at)
	}
}
