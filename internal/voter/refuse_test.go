package voter

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
)

// TestCommandThatPanicsIsRefused guards against an entry that ends every member at every start:
// it is refused by all, changes nothing, and the log goes on, also after restarts, with
// snapshots, and for a member that comes with an empty disk.
func TestCommandThatPanicsIsRefused(t *testing.T) {
	for _, compactSize := range []int64{0, 600} {
		t.Run(fmt.Sprint("compact at ", compactSize), func(t *testing.T) {
			f := newFleet(t)
			f.names, f.compactSize = []poplar.Daemon{"a", "b", "c"}, compactSize
			t.Cleanup(func() {
				for _, n := range f.names {
					f.stop(n)
				}
			})
			for _, n := range f.names {
				f.disks[n] = disk.NewMemory()
				f.start(n)
			}
			want := []string{}
			for round := range 6 {
				command := fmt.Sprint("sound ", round)
				f.propose("a", command)
				want = append(want, command)
				f.refuse("b")
				f.refuse("c")
			}
			f.assertApplied(want, f.names...)
			for _, n := range f.names {
				f.crash(n)
			}
			for _, n := range f.names {
				f.start(n)
			}
			f.propose("a", "after the restart")
			want = append(want, "after the restart")
			f.assertApplied(want, f.names...)
			f.crash("c")
			f.disks["c"] = disk.NewMemory()
			f.startJoining("c")
			f.propose("a", "after the loss")
			f.assertApplied(append(want, "after the loss"), f.names...)
		})
	}
}

// refuse proposes a command that the state machine cannot apply.
func (f *fleet) refuse(at poplar.Daemon) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := f.voter(at).Propose(ctx, []byte(brokenCommand))
	assert.Equal(f.t, poplar.CodeOf(err), poplar.CodeInvalid, "%v", err)
	assert.ErrorContains(f.t, err, "cannot be applied: panic")
}

// TestRefusedEntryIsNotReplayed starts a member with a program that can apply the entry that the
// former one refused: the other members have refused it, so the snapshot has to cover it.
func TestRefusedEntryIsNotReplayed(t *testing.T) {
	f := newFleet(t, "a")
	f.propose("a", "one")
	f.refuse("a")
	f.propose("a", "two")
	f.stop("a")
	f.appliesAll = true
	f.start("a")
	f.propose("a", "three")
	f.assertApplied([]string{"one", "two", "three"}, "a")
}
