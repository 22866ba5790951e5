package state_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/pkg/state"
)

// seedState returns a state with budgets, a ledger, shares, a member, a lease and a
// forced takeover, and the commands that created it.
func seedState(f *testing.F) (*state.State, [][]byte) {
	var commands [][]byte
	for _, c := range []state.Command{
		{Change: &state.Change{Number: 1, Files: map[string]string{"a": "1", "b": "2"}, Budgets: declare(100, "x", "y")}},
		{Ledger: &state.Ledger{Domain: "d", Epoch: 1, Primary: state.Holder{Name: "p", Life: 1}}},
		{Issue: &state.Issue{Shares: []state.Share{{Budget: "x", Domain: "d", Tokens: 50}}}},
		{Member: &state.Member{Name: "p", Domain: "d", Life: 1, Addresses: []string{"a:1"}}},
		{Lease: &state.Lease{Topic: "t", Holder: "p"}},
		{Ledger: &state.Ledger{Domain: "d", Epoch: 2, Primary: state.Holder{Name: "q"}, Force: true}},
		{Found: &state.Found{Shares: []state.Share{{Budget: "x", Domain: "d", Tokens: 5, Serial: 1}}}},
		{Return: &state.Return{Shares: []state.Share{{Budget: "x", Domain: "d", Tokens: 5, Serial: 1}}}},
	} {
		commands = append(commands, state.Encode(c))
	}
	s := state.New()
	for _, c := range commands {
		reply, err := state.Decode[state.Reply](s.Apply(s.Index()+1, c))
		assert.NilError(f, err)
		assert.NilError(f, reply.Err())
	}
	return s, commands
}

func FuzzApply(f *testing.F) {
	s, commands := seedState(f)
	for _, c := range commands {
		f.Add(c)
	}
	snapshot := s.Snapshot()
	f.Fuzz(func(t *testing.T, command []byte) {
		a, b := state.New(), state.New()
		assert.NilError(t, a.Restore(snapshot))
		assert.NilError(t, b.Restore(snapshot))
		for range 2 {
			assert.Equal(t, string(a.Apply(a.Index()+1, command)), string(b.Apply(b.Index()+1, command)))
		}
		for x := range a.Budgets {
			assert.Assert(t, x.Deleted || x.Out <= x.Granted || x.Pending == x.Out-x.Granted, "%+v", x)
		}
		next := state.New()
		assert.NilError(t, next.Restore(a.Snapshot()))
	})
}

func FuzzDelta(f *testing.F) {
	s, _ := seedState(f)
	f.Add(state.Encode(s.Delta("d", state.Mark{})))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := state.Decode[state.Delta](data)
		if err != nil {
			return
		}
		x := state.NewFollower("d")
		_, _ = x.Apply(d)
		restored := state.NewFollower("d")
		assert.NilError(t, restored.Restore(x.Snapshot()))
		assert.Equal(t, restored.Revision(), x.Revision())
		_ = s.Delta("d", d.Mark)
		_ = x.Delta(d.From)
	})
}

func FuzzRestore(f *testing.F) {
	s, _ := seedState(f)
	f.Add(s.Snapshot())
	x := state.NewFollower("d")
	_, err := x.Apply(s.Delta("d", state.Mark{}))
	assert.NilError(f, err)
	f.Add(x.Snapshot())
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		if y := state.New(); y.Restore(snapshot) == nil {
			y.Apply(y.Index()+1, state.Encode(state.Command{Change: &state.Change{Number: y.Revision() + 1}}))
			_ = y.Delta("d", state.Mark{})
		}
		_ = state.NewFollower("d").Restore(snapshot)
	})
}
