package meter

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"poplarbend.example/poplar/internal/node"
	"poplarbend.example/poplar/pkg/plan"
)

// This file measures what a paced stream costs a router of a fleet without disks:
// processor time, calls that read or write, wake-ups, and connections to engines. The
// router is a process of its own; the callers, the engines and the control daemon are in
// this one.

var _ = Add("paced", paced)

// pacedVariable makes the measurement run the router whose settings it names.
const pacedVariable = "POPLARBEND_MEASURE_ROUTER"

// Sizes, times and targets of the measurement. The targets are half of what the streams
// cost before events were sent together.
const (
	pacedEngines  = 16
	pacedRate     = 80.0 // streams a second, each on a new connection of its caller
	pacedEvents   = 18
	pacedGap      = 60 * time.Millisecond // mean time between two events
	pacedJitter   = 0.5                   // part of the gap by which it varies
	pacedWarm     = 4 * time.Second
	pacedSpan     = 10 * time.Second
	pacedMemory   = 112     // MB
	pacedTokens   = 1 << 40 // grant of the workspace
	pacedPrompt   = 800
	pacedOutput   = 288
	pacedPerEvent = 16 // tokens
	pacedCalls    = 30.0
	pacedWakes    = 17.5
)

// paced drives streams through one router.
func paced(ctx context.Context, out *Sheet) error {
	if path := os.Getenv(pacedVariable); path != "" {
		return node.Run(ctx, path, node.Parts{
			Dialect: pacedDialect{}, Read: func([]byte) (*plan.Plan, error) { return pacedPlan(), nil },
		}, io.Discard)
	}
	dir, err := os.MkdirTemp("", "poplarbend-paced-")
	if err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	defer os.RemoveAll(dir)
	fleet, err := startPacedFleet(ctx, dir)
	if err != nil {
		return err
	}
	defer fleet.close()
	load := newPacedLoad(fleet.callers)
	go load.run()
	defer load.close()
	pause(ctx, pacedWarm)
	before, err := fleet.use(load)
	if err != nil {
		return err
	}
	pause(ctx, pacedSpan)
	after, err := fleet.use(load)
	if err != nil {
		return err
	}
	streams := after.streams - before.streams
	if streams == 0 || after.failed > before.failed {
		return fmt.Errorf("of %d streams %d failed: %w", streams, after.failed-before.failed, load.failure())
	}
	each := func(before, after float64) float64 { return (after - before) / float64(streams) }
	out.Note("streams", float64(streams), "streams")
	out.Note("processor", each(before.processor, after.processor), "us a stream")
	out.AtMost("calls", each(before.calls, after.calls), "reads and writes a stream", pacedCalls)
	out.AtMost("wakes", each(before.wakes, after.wakes), "wake-ups a stream", pacedWakes)
	out.Note("connections", each(before.connections, after.connections), "new connections a stream")
	return nil
}

// pacedUse is what the router has used since its start, and what it was asked for.
type pacedUse struct {
	processor, calls, wakes, connections float64 // microseconds and counts
	streams, failed                      int64
}

// use reads what the kernel counts for the router, see proc_pid_io(5) and
// proc_pid_status(5).
func (f *pacedFleet) use(load *pacedLoad) (pacedUse, error) {
	u := pacedUse{streams: load.ended.Load(), failed: load.failed.Load()}
	for _, e := range f.engines {
		u.connections += float64(e.accepted.Load())
	}
	root := fmt.Sprintf("/proc/%d", f.router.Process.Pid)
	for _, field := range []string{"syscr:", "syscw:"} {
		n, err := procField(filepath.Join(root, "io"), field)
		if err != nil {
			return u, err
		}
		u.calls += n
	}
	tasks, err := os.ReadDir(filepath.Join(root, "task"))
	if err != nil {
		return u, fmt.Errorf("list the threads of the router: %w", err)
	}
	for _, task := range tasks {
		dir := filepath.Join(root, "task", task.Name())
		n, err := procField(filepath.Join(dir, "status"), "voluntary_ctxt_switches:")
		if err != nil {
			return u, err
		}
		u.wakes += n
		data, err := os.ReadFile(filepath.Join(dir, "schedstat"))
		if err != nil {
			return u, fmt.Errorf("read the processor time of the router: %w", err)
		}
		nanoseconds, err := strconv.ParseFloat(strings.Fields(string(data))[0], 64)
		if err != nil {
			return u, fmt.Errorf("read the processor time of the router: %w", err)
		}
		u.processor += nanoseconds / 1000
	}
	return u, nil
}

// procField returns the number after the name in a file of /proc.
func procField(path, name string) (float64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("read what the router uses: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil {
				return 0, fmt.Errorf("read what the router uses: %w", err)
			}
			return n, nil
		}
	}
	return 0, fmt.Errorf("%s has no %q", path, name)
}
