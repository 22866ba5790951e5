package meter

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"poplarbend.example/poplar/internal/conf"
)

// This file measures the operators' folder: the time to compile it and the
// memory that its policy keeps, at three sizes up to that of two years.

const (
	folderRuns   = 3
	samplePeriod = 5 * time.Millisecond
)

var _ = Add("folder", folder)

// folder compiles folders of a quarter, a half and the whole of the two-year
// size, one file for each workspace.
func folder(ctx context.Context, out *Sheet) error {
	for _, part := range []int{4, 2, 1} {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("folder: %w", err)
		}
		spaces, budgets := aimWorkspaces/part, aimBudgets/part
		files := folderFiles(spaces, budgets)
		peak, err := peakFolder(files)
		if err != nil {
			return err
		}
		took, kept, err := compileFolder(files)
		if err != nil {
			return err
		}
		size := fmt.Sprintf("at %d budgets", budgets)
		out.Note("compile "+size, took, "s")
		if part > 1 {
			out.Note("policy kept "+size, kept, "MB")
			out.Note("peak of a compile "+size, peak, "MB")
			continue
		}
		out.AtMost("policy kept "+size, kept, "MB", aimMemory)
		out.AtMost("peak of a compile "+size, peak, "MB", aimMemory)
		out.AtMost("share of a core at 650 changes a day", 100*took*aimChanges/day.Seconds(), "%", aimCore)
	}
	return nil
}

// compileFolder returns the shortest time of a few compiles in seconds, and the
// megas that the policy keeps.
func compileFolder(files map[string][]byte) (seconds, kept float64, err error) {
	before := inUse()
	for range folderRuns {
		start := time.Now()
		policy, err := conf.Merge(files)
		if err != nil {
			return 0, 0, err
		}
		took := time.Since(start).Seconds()
		if seconds == 0 || took < seconds {
			seconds = took
		}
		kept = (inUse() - before) / mega
		runtime.KeepAlive(policy)
	}
	runtime.KeepAlive(files)
	return seconds, kept, nil
}

// peakFolder returns the most megas in use during a compile, the files not
// counted, with a collector that runs often.
func peakFolder(files map[string][]byte) (float64, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(10))
	s := sampler{stop: make(chan struct{}), done: make(chan struct{})}
	before := inUse()
	go s.run()
	policy, err := conf.Merge(files)
	close(s.stop)
	<-s.done
	runtime.KeepAlive(policy)
	return (s.most - before) / mega, err
}

// sampler watches the heap until it is stopped.
type sampler struct {
	stop chan struct{}
	done chan struct{}
	most float64 // invariant: read only after done is closed
}

func (s *sampler) run() {
	defer close(s.done)
	tick := time.NewTicker(samplePeriod)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			s.most = max(s.most, float64(stats.HeapAlloc))
		}
	}
}

// inUse returns the bytes in use after a collection.
func inUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// folderFiles returns a folder whose budgets each have one caller.
func folderFiles(spaces, budgets int) map[string][]byte {
	files := make(map[string][]byte, spaces)
	for i := range spaces {
		var grants, callers strings.Builder
		for j := i; j < budgets; j += spaces {
			fmt.Fprintf(&grants, "\"budget-%d\": {\"workspace\": \"space-%d\", \"tokens\": 1000000},\n", j, i)
			fmt.Fprintf(&callers, "\"caller-%d\": {\"hash\": \"%064x\", \"budget\": \"budget-%d\"},\n", j, j, j)
		}
		text := fmt.Sprintf("{\"workspaces\": {\"space-%d\": {\"callers\": {\n%s}}},\n\"budgets\": {\n%s}}\n", i, &callers, &grants)
		files[fmt.Sprintf("space-%05d.jsonc", i)] = []byte(text)
	}
	return files
}
