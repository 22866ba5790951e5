package meter

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/voter"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/quorum"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the measurement of the log's durability: the restart of a
// voter after many records, and what sharing a sync gains.

var _ = Add("recovery", Recovery)

const (
	// recoveryWriters is the number of concurrent proposers that fill a log.
	recoveryWriters = 64
	// recoveryAlone is the number of proposals that wait for a sync each.
	recoveryAlone = 300
	// recoveryRestarts is the number of restarts of one log.
	recoveryRestarts = 5
	// recoveryElection is the election timeout of the single voter.
	recoveryElection = 50 * time.Millisecond
	// recoveryBudgets is the number of budgets that the top-ups spread over.
	recoveryBudgets = 1000
	// recoveryFiles is the number of files that the changes spread over.
	recoveryFiles = 50
)

// Recovery measures the restart of a voter on a real folder after 1,000 changes
// and after 100,000 top-ups, without a snapshot and with snapshots at the size
// in force, and the commits a second of many writers that share syncs and of one
// alone.
func Recovery(ctx context.Context, out *Sheet) error {
	for _, way := range []recoveryWay{
		{"changes.1000", 1000, 1, 1 << 40, recoveryChange},
		{"topups.1000", 1000, recoveryWriters, 1 << 40, recoveryTopup},
		{"topups.100000", 100_000, recoveryWriters, 1 << 40, recoveryTopup},
		{"topups.100000.snapshots", 100_000, recoveryWriters, 0, recoveryTopup},
	} {
		if err := way.measure(ctx, out); err != nil {
			return fmt.Errorf("%s: %w", way.name, err)
		}
	}
	return nil
}

// recoveryWay is one filling of the log.
type recoveryWay struct {
	name    string
	records int
	writers int
	compact int64
	command func(i int64) []byte
}

func (w recoveryWay) measure(ctx context.Context, out *Sheet) error {
	path, err := os.MkdirTemp("", "recovery")
	if err != nil {
		return err
	}
	defer os.RemoveAll(path)
	if err := w.fill(ctx, path, out); err != nil {
		return err
	}
	size, err := folderSize(path)
	if err != nil {
		return err
	}
	out.Note("recovery."+w.name+".bytes", float64(size), "B")
	return w.restart(path, out)
}

// fill writes the records: the last ones by a single writer.
func (w recoveryWay) fill(ctx context.Context, path string, out *Sheet) error {
	v, folder, err := w.open(path, follow.NewReplica())
	if err != nil {
		return err
	}
	defer folder.Close()
	shared := w.records - recoveryAlone
	took, err := w.write(ctx, v, 0, shared, w.writers)
	if err != nil {
		return err
	}
	out.Note(fmt.Sprintf("recovery.%s.commits.%d", w.name, w.writers), float64(shared)/took.Seconds(), "commits/s")
	if took, err = w.write(ctx, v, shared, w.records, 1); err != nil {
		return err
	}
	out.Note("recovery."+w.name+".commits.alone", recoveryAlone/took.Seconds(), "commits/s")
	return v.Stop(ctx)
}

func (w recoveryWay) open(path string, replica *follow.Replica) (*voter.Voter, *disk.Folder, error) {
	folder, err := disk.OpenFolder(path)
	if err != nil {
		return nil, nil, err
	}
	v, err := voter.Start(voter.Config{
		Name: "a", Founders: []poplar.Daemon{"a"}, Files: folder, Applier: replica,
		Sender: nobody{}, Clock: poplar.System{}, CompactSize: w.compact, Seed: 1,
		Election: recoveryElection, Heartbeat: recoveryElection / 5,
	})
	return v, folder, err
}

// nobody is the network of a single voter.
type nobody struct{}

func (nobody) Send(poplar.Daemon, quorum.Message) {}

// write proposes the records from first to last by the given number of writers.
func (w recoveryWay) write(ctx context.Context, v *voter.Voter, first, last, writers int) (time.Duration, error) {
	p := &proposers{voter: v, command: w.command, next: int64(first), last: int64(last)}
	if _, err := v.Propose(ctx, recoveryBudget()); err != nil { // waits for the election
		return 0, err
	}
	begin := time.Now()
	var wg sync.WaitGroup
	for range writers {
		wg.Add(1)
		go p.run(ctx, &wg)
	}
	wg.Wait()
	return time.Since(begin), errors.Join(p.errs...)
}

// proposers write one range of records together.
type proposers struct {
	voter   *voter.Voter
	command func(i int64) []byte
	next    int64 // invariant: atomic
	last    int64
	mu      sync.Mutex
	errs    []error // invariant: guarded by mu
}

func (p *proposers) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	for i := atomic.AddInt64(&p.next, 1) - 1; i < p.last; i = atomic.AddInt64(&p.next, 1) - 1 {
		if _, err := p.voter.Propose(ctx, p.command(i)); err != nil {
			p.mu.Lock()
			p.errs = append(p.errs, err)
			p.mu.Unlock()
			return
		}
	}
}

// recoveryBudget returns the first change, which declares the budgets.
func recoveryBudget() []byte {
	c := state.Change{Number: 1, Files: map[string]string{"00-budgets.json": "{}"}}
	for i := range recoveryBudgets {
		c.Budgets = append(c.Budgets, state.Declared{Name: recoveryName(int64(i)), Workspace: "space", Tokens: 1 << 20})
	}
	return state.Encode(state.Command{Change: &c})
}

func recoveryName(i int64) poplar.Budget {
	return poplar.Budget(fmt.Sprintf("budget-%d", i%recoveryBudgets))
}

// recoveryChange returns the change after i others and the first one.
func recoveryChange(i int64) []byte {
	name := fmt.Sprintf("%02d-rule.json", i%recoveryFiles)
	return state.Encode(state.Command{Change: &state.Change{
		Number: poplar.Revision(i + 2),
		Files:  map[string]string{name: fmt.Sprintf(`{"budgets": {"b%d": {"tokens": %d}}}`, i, i)},
		Patch:  true,
	}})
}

func recoveryTopup(i int64) []byte {
	return state.Encode(state.Command{Topup: &state.Topup{
		ID: fmt.Sprintf("topup-%d", i), Budget: recoveryName(i), Tokens: 1000, Operator: "operator", At: time.Unix(i, 0),
	}})
}

// restart measures the time until the voter has applied what it knows to be
// committed: the median of some restarts.
func (w recoveryWay) restart(path string, out *Sheet) error {
	var took []float64
	var applied poplar.Index
	for range recoveryRestarts {
		begin := time.Now()
		v, folder, err := w.open(path, follow.NewReplica())
		if err != nil {
			return err
		}
		took = append(took, time.Since(begin).Seconds()*1000)
		applied = v.Status().Applied()
		err = v.Stop(context.Background())
		if err = errors.Join(err, folder.Close()); err != nil {
			return err
		}
	}
	slices.Sort(took)
	out.Note("recovery."+w.name+".restart", took[len(took)/2], "ms")
	out.AtLeast("recovery."+w.name+".applied", float64(applied), "entries", float64(w.records-recoveryAlone))
	return nil
}

func folderSize(path string) (int64, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for _, e := range entries {
		info, err := os.Stat(filepath.Join(path, e.Name()))
		if err != nil {
			return 0, err
		}
		total += info.Size()
	}
	return total, nil
}
