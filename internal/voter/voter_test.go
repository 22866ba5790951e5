package voter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/quorum"
)

func TestRestartPreservesLog(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.compactSize = 4 << 10
	for _, n := range f.names {
		f.stop(n)
		f.start(n)
	}
	var want []string
	for i := range 1000 {
		want = append(want, fmt.Sprint("change ", i))
		f.propose(f.names[i%3], want[i])
	}
	f.assertApplied(want, f.names...)
	for _, n := range f.names {
		f.stop(n)
		f.disks[n].Crash(f.lastSeed)
	}
	// A single voter immediately applies the entries that it knew to be
	// committed.
	f.start("a")
	assert.DeepEqual(t, f.state["a"].list(), want)
	f.start("b")
	f.propose("a", "last")
	f.start("c")
	f.assertApplied(append(want, "last"), f.names...)
	files, err := f.disks["a"].List()
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
}

func TestReplacedDiskRejoins(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.propose("a", "one")
	old := f.voter("c").Status().Self()
	f.stop("c")
	f.disks["c"] = disk.NewMemory()
	f.start("c")
	fresh := f.voter("c").Status().Self()
	assert.Assert(t, fresh != old)
	f.await("the member on the new disk replaces the old one", func() bool {
		set := f.voter(f.leader()).Status().Members()
		return set.IsVoter(fresh) && !set.Has(old)
	})
	f.propose("a", "two")
	// The loss of another voter right after the repair.
	f.crash("b")
	f.propose("c", "three")
	f.assertApplied([]string{"one", "two", "three"}, "a", "c")
}

// TestLaggingVoterInstallsSnapshot restarts a voter after its peers have
// discarded the entries that it lacks, and crashes it once it has caught up.
func TestLaggingVoterInstallsSnapshot(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.propose("a", "first")
	f.stop("c")
	want := []string{"first"}
	f.compactSize = 2 << 10
	for _, n := range []poplar.Daemon{"a", "b"} {
		f.stop(n)
		f.start(n)
	}
	for i := range 200 {
		want = append(want, fmt.Sprint("change ", i))
		f.propose(f.names[i%2], want[i+1])
	}
	// A restarted voter has only the entries after its snapshot in memory.
	for _, n := range []poplar.Daemon{"a", "b"} {
		f.stop(n)
		f.start(n)
	}
	f.compactSize = 1 << 30 // c's journal is compacted only by the installed snapshot
	f.start("c")
	f.assertApplied(want, f.names...)
	f.crash("c")
	f.start("c")
	f.propose("c", "last")
	f.assertApplied(append(want, "last"), f.names...)
	files, err := f.disks["c"].List()
	assert.NilError(t, err)
	assert.Assert(t, !slices.Contains(files, "log.1.log"), "%v", files)
}

// TestReplacedMajorityFoundsNoSecondLog replaces the disks of a majority. The
// log is then lost, and the new members must not found a second one.
func TestReplacedMajorityFoundsNoSecondLog(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.propose("a", "one")
	for _, n := range []poplar.Daemon{"a", "b"} {
		f.stop(n)
		f.disks[n] = disk.NewMemory()
		f.start(n)
	}
	f.await("both new members learn of the log", func() bool { return f.voter("a").Status().Started() && f.voter("b").Status().Started() })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := f.voter("a").Propose(ctx, []byte("two"))
	var e *poplar.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Run(), poplar.RunNo)
	assert.Equal(t, e.Code(), poplar.CodeUnreachable)
	assert.Equal(t, f.voter("a").Status().Term(), poplar.Term(0))
	assert.Equal(t, len(f.state["a"].list()), 0)
}

func TestMinorityRejectsAsNotRun(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.propose("a", "one")
	isolated := f.leader()
	f.isolate(isolated, true)
	f.await("the leader steps down", func() bool { return f.voter(isolated).Status().Role() != quorum.RoleLeader })
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := f.voter(isolated).Propose(ctx, []byte("lost"))
	var e *poplar.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Run(), poplar.RunNo)
	_, err = f.voter(isolated).ReadIndex(ctx)
	assert.Assert(t, err != nil)
	f.isolate(isolated, false)
	f.propose(isolated, "two")
	f.assertApplied([]string{"one", "two"}, f.names...)
}

func TestDiskFailureStopsVoter(t *testing.T) {
	for _, fault := range []disk.Fault{disk.FaultIO, disk.FaultFull} {
		f := newFleet(t, "a", "b", "c")
		f.propose("a", "one")
		failed := f.leader()
		v := f.voter(failed)
		f.disks[failed].FailAt(1, fault)
		_, err := v.Propose(context.Background(), []byte("two"))
		<-v.Done()
		var e *poplar.Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Code(), poplar.CodeDisk)
		assert.Assert(t, e.Run() != poplar.RunYes)
		assert.Equal(t, poplar.CodeOf(v.Err()), poplar.CodeDisk)
		_, err = v.Propose(context.Background(), nil)
		assert.Equal(t, poplar.CodeOf(err), poplar.CodeDisk)
		_, err = v.ProposeHere(context.Background(), nil)
		assert.Equal(t, poplar.CodeOf(err), poplar.CodeDrain)
		other := f.names[(slices.Index(f.names, failed)+1)%3]
		f.propose(other, "three")
		f.await("three is applied", func() bool { return slices.Contains(f.state[other].list(), "three") })
		want := f.state[other].list() // the outcome of "two" may be unknown
		assert.Assert(t, e.Run() == poplar.RunUnknown || !slices.Contains(want, "two"))
		assert.Assert(t, slices.Equal(want, []string{"one", "three"}) || slices.Equal(want, []string{"one", "two", "three"}))
		f.crash(failed)
		f.start(failed)
		f.assertApplied(want, f.names...)
	}
}

func TestCorruptJournalIsRejected(t *testing.T) {
	f := newFleet(t, "a")
	f.propose("a", "one")
	f.stop("a")
	f.disks["a"].Flip("log.1.log", 300)
	_, err := Start(f.config("a"))
	var damage *disk.Damage
	assert.Assert(t, errors.As(err, &damage))
	assert.Equal(t, damage.File(), "log.1.log")
	f.disks["a"] = disk.NewMemory()
	f.start("a")
	f.stop("a")
	config := f.config("a")
	config.Name = "z"
	_, err = Start(config)
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeConflict)
}

func TestStopTransfersLeadership(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.propose("a", "one")
	old := f.leader()
	v := f.voter(old)
	assert.NilError(t, v.Stop(context.Background()))
	f.stop(old)
	next := f.leader()
	assert.Assert(t, next != old)
	f.propose(next, "two")
}

// TestLinearizable runs clients against all voters during message loss,
// partitions and crashes.
func TestLinearizable(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.propose("a", "first")
	f.mu.Lock()
	f.loss = 0.05
	f.mu.Unlock()
	var history []porcupine.Operation
	var mu sync.Mutex
	var wg sync.WaitGroup
	begin := time.Now()
	record := func(client int, in string, call time.Time, out int, done int64) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(begin)), Output: out, Return: done})
	}
	const end = int64(time.Hour)
	for client := range 4 {
		wg.Go(func() {
			for i := range 25 {
				in := fmt.Sprintf("%d.%d", client, i)
				ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
				call := time.Now()
				var index int
				v := f.voter(f.names[(client+i)%3])
				if v == nil {
					cancel()
					continue
				}
				reply, err := v.Propose(ctx, []byte(in))
				cancel()
				var e *poplar.Error
				switch {
				case err == nil:
					_, scan := fmt.Sscanf(string(reply), in+"@%d", &index)
					assert.Check(t, scan)
					record(client, in, call, index, int64(time.Since(begin)))
				case errors.As(err, &e) && e.Run() == poplar.RunNo:
					record(client, in, call, -1, int64(time.Since(begin)))
				default:
					record(client, in, call, 0, end)
				}
			}
		})
	}
	for _, n := range []poplar.Daemon{"a", "b", "c", "a"} {
		f.isolate(n, true)
		time.Sleep(80 * time.Millisecond)
		f.isolate(n, false)
		f.crash(n)
		f.start(n)
		time.Sleep(80 * time.Millisecond)
	}
	wg.Wait()
	f.mu.Lock()
	f.loss = 0
	f.mu.Unlock()
	f.propose("b", "end")
	f.await("the end", func() bool { l := f.state["a"].list(); return len(l) > 0 && l[len(l)-1] == "end" })
	final := f.state["a"].list()
	f.assertApplied(final, "b", "c")
	check(t, history, final)
}

// check verifies that acknowledged commands are in the log exactly once, in an
// order consistent with real time, and that rejected ones are not in it.
func check(t *testing.T, history []porcupine.Operation, final []string) {
	model := porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, output any) (bool, any) {
			place := slices.Index(final, input.(string))
			if output.(int) == 0 && place < 0 {
				return true, state
			}
			return place >= state.(int), place
		},
	}
	var ran []porcupine.Operation
	acked := 0
	for _, op := range history {
		count := 0
		for _, line := range final {
			if line == op.Input {
				count++
			}
		}
		switch op.Output.(int) {
		case -1:
			assert.Equal(t, count, 0, "%v was rejected as not run", op.Input)
		case 0:
			assert.Assert(t, count <= 1)
			ran = append(ran, op)
		default:
			assert.Equal(t, count, 1)
			acked++
			ran = append(ran, op)
		}
	}
	assert.Assert(t, acked > 0)
	assert.Equal(t, porcupine.CheckOperationsTimeout(model, ran, 20*time.Second), porcupine.Ok)
}

// TestReplacedEntryIsRejected has two proposals of different terms wait at the
// same index. Only the one whose entry was committed may succeed.
func TestReplacedEntryIsRejected(t *testing.T) {
	replaced, committed := &proposal{term: 1, result: make(chan outcome, 1)}, &proposal{term: 2, result: make(chan outcome, 1)}
	v := &Voter{config: Config{Applier: &commandLog{}}, proposals: map[poplar.Index][]*proposal{1: {replaced, committed}}}
	v.apply(quorum.Entry{Index: 1, Term: 2, Data: []byte("x")})
	assert.Equal(t, string((<-committed.result).reply), "x@1")
	var e *poplar.Error
	assert.Assert(t, errors.As((<-replaced.result).err, &e))
	assert.Equal(t, e.Run(), poplar.RunNo)
}

// TestImage applies records in which later entries replace earlier ones, and
// checks that an encoded image contains the whole state.
func TestImage(t *testing.T) {
	var im image
	add := func(index poplar.Index, term poplar.Term) error {
		return im.add(record{Entry: &quorum.Entry{Index: index, Term: term}})
	}
	for index := range poplar.Index(4) {
		assert.NilError(t, add(index+1, 1))
	}
	assert.NilError(t, add(2, 2))
	assert.Equal(t, len(im.Entries), 2)
	assert.Equal(t, im.Entries[1].Term, poplar.Term(2))
	assert.ErrorContains(t, add(9, 2), "does not follow")
	f := newFleet(t, "a")
	f.propose("a", "one")
	v := f.voter("a")
	f.stop("a")
	var decoded image
	assert.NilError(t, json.Unmarshal(v.image(), &decoded))
	want := image{
		Self: v.founder.self, Found: v.founder.founding, Hard: v.machine.Hard(),
		Snapshot: v.machine.Snapshot(), Entries: v.machine.Entries(),
	}
	assert.Assert(t, want.Hard.Term > 0 && len(want.Entries) > 0)
	assert.DeepEqual(t, decoded, want)
}
