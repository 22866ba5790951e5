package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"poplarbend.example/poplar"
)

// workload counts the records that a journal was given and those that it has
// acknowledged.
type workload struct {
	acked, appended int
}

func record(i int) []byte { return fmt.Appendf(nil, "record %d %0*d", i, (i*131)%1500, i) }

// run appends, syncs and compacts records until an operation fails.
func (l *workload) run(j *Journal, rounds int) error {
	for round := range rounds {
		for range round % 3 {
			l.appended++
			if err := j.Append(record(l.appended)); err != nil {
				return err
			}
		}
		if err := j.Sync(); err != nil {
			return err
		}
		l.acked = l.appended
		if round%5 == 4 {
			if err := j.Compact(fmt.Appendf(nil, "%d", l.appended)); err != nil {
				return err
			}
		}
	}
	return nil
}

// verify checks that r contains all acknowledged records in order and no record
// that was not appended. It sets both counters to the number of records in r.
func (l *workload) verify(t *testing.T, r Recovered) {
	t.Helper()
	n := 0
	if len(r.Snapshot()) > 0 {
		_, err := fmt.Sscan(string(r.Snapshot()), &n)
		assert.NilError(t, err)
	}
	for _, rec := range r.Records() {
		n++
		assert.Equal(t, string(rec), string(record(n)))
	}
	assert.Assert(t, l.acked <= n && n <= l.appended, "acknowledged %d, appended %d, found %d", l.acked, l.appended, n)
	l.acked, l.appended = n, n
}

func TestFaultAtEveryOperation(t *testing.T) {
	const rounds = 16
	dry := NewMemory()
	j, _, err := Open(dry, "log")
	assert.NilError(t, err)
	assert.NilError(t, (&workload{}).run(j, rounds))
	total := dry.Operations()
	assert.Assert(t, total > 40)
	for _, fault := range []Fault{FaultStop, FaultIO, FaultFull} {
		for at := 1; at <= total; at++ {
			for seed := range uint64(6) {
				m, l := NewMemory(), &workload{}
				m.FailAt(at, fault)
				if j, _, err := Open(m, "log"); err == nil {
					if err = l.run(j, rounds); err != nil {
						assert.Equal(t, poplar.CodeOf(err), poplar.CodeDisk)
					}
				} else {
					assert.Equal(t, poplar.CodeOf(err), poplar.CodeDisk)
				}
				if seed%2 == 0 {
					m.Crash(seed)
				} else {
					// Records that the next process reads must survive a later crash.
					m.Restart()
					_, r, err := Open(m, "log")
					assert.NilError(t, err, "fault %d at %d, seed %d", fault, at, seed)
					l.verify(t, r)
					m.Crash(seed)
				}
				for again := range uint64(3) {
					j, r, err := Open(m, "log")
					assert.NilError(t, err, "fault %d at %d, seed %d", fault, at, seed)
					l.verify(t, r)
					assert.NilError(t, l.run(j, 3))
					m.Crash(seed + again)
				}
			}
		}
	}
}

func TestCrashWhileOpening(t *testing.T) {
	for at := 1; at < 12; at++ {
		m, l := NewMemory(), &workload{}
		j, _, err := Open(m, "log")
		assert.NilError(t, err)
		assert.NilError(t, l.run(j, 7))
		l.appended++
		assert.NilError(t, j.Append(record(l.appended)))
		m.FailAt(2, FaultStop)
		assert.Assert(t, j.Sync() != nil)
		m.Crash(uint64(at))
		m.FailAt(at, FaultStop)
		_, _, _ = Open(m, "log")
		m.Crash(uint64(at))
		_, r, err := Open(m, "log")
		assert.NilError(t, err)
		l.verify(t, r)
	}
}

func TestJournalFailsAfterFailedSync(t *testing.T) {
	for _, fault := range []Fault{FaultIO, FaultFull} {
		m := NewMemory()
		j, _, err := Open(m, "log")
		assert.NilError(t, err)
		m.FailAt(2, fault)
		assert.NilError(t, j.Append([]byte("a")))
		first := j.Sync()
		assert.Equal(t, poplar.CodeOf(first), poplar.CodeDisk)
		assert.Equal(t, errors.Is(first, syscall.ENOSPC), fault == FaultFull)
		assert.Equal(t, j.Append([]byte("b")), first)
		assert.Equal(t, j.Sync(), first)
		assert.Equal(t, j.Compact(nil), first)
	}
}

// TestDamage flips every bit of every file, truncates the log at every length and
// removes each file.
func TestDamage(t *testing.T) {
	build := func() *Memory {
		m := NewMemory()
		j, _, err := Open(m, "log")
		assert.NilError(t, err)
		assert.NilError(t, j.Compact([]byte("snapshot")))
		for i := range 3 {
			assert.NilError(t, j.Append(fmt.Appendf(nil, "record %d", i)))
			assert.NilError(t, j.Sync())
		}
		return m
	}
	for _, name := range []string{"log.2.snap", "log.2.log"} {
		size := len(build().live[name].data)
		for bit := range size * 8 {
			m := build()
			m.Flip(name, bit)
			_, _, err := Open(m, "log")
			var damage *Damage
			assert.Assert(t, errors.As(err, &damage), "%s: bit %d is not refused", name, bit)
			assert.Equal(t, poplar.CodeOf(err), poplar.CodeCorrupt)
			assert.Equal(t, damage.File(), name)
			assert.Assert(t, damage.Offset() <= int64(bit/8))
		}
	}
	frame := frameHeader + len("record 0") + 1
	size := len(build().live["log.2.log"].data)
	for cut := frameHeader; cut <= size; cut++ {
		m := build()
		assert.NilError(t, m.Truncate("log.2.log", int64(cut)))
		_, r, err := Open(m, "log")
		assert.NilError(t, err)
		assert.Equal(t, len(r.Records()), (cut-frameHeader)/frame)
		assert.Equal(t, r.TornBytes(), int64((cut-frameHeader)%frame))
	}
	for _, name := range []string{"log.2.snap", "log.2.log"} {
		m := build()
		assert.NilError(t, m.Remove(name))
		_, _, err := Open(m, "log")
		assert.Equal(t, poplar.CodeOf(err), poplar.CodeCorrupt, "%s is missing", name)
	}
}

func TestDir(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	dir, err := OpenFolder(path)
	assert.NilError(t, err)
	_, err = OpenFolder(path)
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeConflict)
	l := &workload{}
	j, r, err := Open(dir, "log")
	assert.NilError(t, err)
	assert.Assert(t, r.Fresh())
	assert.NilError(t, l.run(j, 12))
	assert.Assert(t, j.Size() > 0)
	assert.NilError(t, j.Close())
	assert.Assert(t, j.Append(nil) != nil)
	assert.NilError(t, dir.Close())
	dir, err = OpenFolder(path)
	assert.NilError(t, err)
	defer dir.Close()
	j, r, err = Open(dir, "log")
	assert.NilError(t, err)
	defer j.Close()
	l.verify(t, r)
	assert.Assert(t, !r.Fresh())
	for _, bad := range []string{"../x", "a/b", lockName, ".."} {
		_, err = dir.Create(bad)
		assert.ErrorContains(t, err, "not allowed")
	}
	entries, err := os.ReadDir(path)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 3) // lock, snapshot, log
}

func TestGroupSharesSyncs(t *testing.T) {
	const writers, each = 32, 20
	m := NewMemory()
	j, _, err := Open(m, "log")
	assert.NilError(t, err)
	g := NewGroup(j)
	before := m.Operations()
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := range each {
				assert.Check(t, g.Commit(fmt.Appendf(nil, "%d %d", w, i)))
			}
		})
	}
	wg.Wait()
	// Each batch takes a write and a sync. A separate sync for each commit takes
	// two operations per commit.
	assert.Assert(t, m.Operations()-before <= 2*writers*each)
	assert.NilError(t, g.Compact([]byte("all")))
	assert.NilError(t, g.Commit([]byte("last")))
	assert.NilError(t, g.Close())
	assert.Assert(t, g.Commit([]byte("late")) != nil)
	m.Crash(1)
	_, r, err := Open(m, "log")
	assert.NilError(t, err)
	assert.Equal(t, string(r.Snapshot()), "all")
	assert.Equal(t, len(r.Records()), 1)
}

func TestGroupReportsFailure(t *testing.T) {
	m := NewMemory()
	j, _, err := Open(m, "log")
	assert.NilError(t, err)
	g := NewGroup(j)
	defer g.Close()
	assert.Equal(t, poplar.CodeOf(g.Commit(make([]byte, MaxRecord+1))), poplar.CodeLarge)
	assert.NilError(t, g.Commit([]byte("fits")))
	m.FailAt(2, FaultIO)
	assert.Equal(t, poplar.CodeOf(g.Commit([]byte("a"))), poplar.CodeDisk)
	assert.Equal(t, poplar.CodeOf(g.Commit([]byte("b"))), poplar.CodeDisk)
}

func FuzzFrame(f *testing.F) {
	f.Add(appendFrame(nil, 7, appendRecord(nil, []byte("record"))), uint64(7))
	f.Add([]byte{}, uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, seq uint64) {
		containsFrame(data, seq)
		hasSingleBitError(data)
		body, size, err := decodeFrame(data, seq)
		if err != nil {
			return
		}
		assert.DeepEqual(t, appendFrame(nil, seq, body), data[:size])
		_, _ = decodeRecords(nil, body)
	})
}

func Example() {
	files := NewMemory() // or OpenFolder("/var/lib/poplarbend")
	journal, _, _ := Open(files, "log")
	_ = journal.Append([]byte("one"), []byte("two"))
	_ = journal.Sync()
	_ = journal.Append([]byte("not synced"))
	files.Crash(1)
	_, recovered, _ := Open(files, "log")
	for _, r := range recovered.Records() {
		fmt.Println(string(r))
	}
	// Output:
	// one
	// two
}
