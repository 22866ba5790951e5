package meter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/node"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/roster"
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

// pacedFleet is a control daemon, engines, and a router in a process of its own.
type pacedFleet struct {
	callers string // address
	core    *core.Core
	peers   *http.Server
	bound   net.Listener
	engines []*pacedEngine
	router  *exec.Cmd
}

func startPacedFleet(ctx context.Context, dir string) (*pacedFleet, error) {
	f := &pacedFleet{}
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	f.callers = "127.0.0.1:" + ports[0]
	if err := f.startControl(ctx, "127.0.0.2:"+ports[3]); err != nil {
		f.close()
		return nil, err
	}
	settings := fmt.Sprintf(`{"name": "router", "role": "router", "domain": "d", "log": "info", "cores": 1, "memory": %d, "share": 0.1, "lag": "200ms",
		"listen": {"callers": %q, "ready": "127.0.0.1:%s", "peers": "127.0.0.1:%s", "metrics": "127.0.0.1:%s"},
		"seeds": ["127.0.0.2:1"], "repeats": {"ratio": 0.2, "slack": 58, "span": "10s"}}`,
		pacedMemory, f.callers, ports[1], ports[3], ports[2])
	path := filepath.Join(dir, "router.json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		f.close()
		return nil, fmt.Errorf("write settings: %w", err)
	}
	self, err := os.Executable()
	if err != nil {
		f.close()
		return nil, fmt.Errorf("find this program: %w", err)
	}
	f.router = exec.CommandContext(ctx, self, "paced")
	f.router.Env = append(os.Environ(), pacedVariable+"="+path)
	f.router.Stderr = os.Stderr
	if err := f.router.Start(); err != nil {
		f.router = nil
		f.close()
		return nil, fmt.Errorf("start the router: %w", err)
	}
	return f, f.await(ctx, "http://127.0.0.1:"+ports[1])
}

// startControl starts the control daemon and announces the engines to it.
func (f *pacedFleet) startControl(ctx context.Context, address string) error {
	quiet := log.NewWithOptions(io.Discard, log.Options{})
	pool := peer.NewPool(poplar.Daemon(address), "", nil)
	c, err := core.Start(core.Settings{
		Address: address, Seeds: []string{address}, First: true, Files: disk.NewMemory(), Quiet: time.Hour, Clock: poplar.System{}, Log: quiet,
	}, pool)
	if err != nil {
		return err
	}
	f.core = c
	f.peers = &http.Server{Handler: peer.NewServer(poplar.Daemon(address), "", c.Methods()), ReadHeaderTimeout: time.Minute}
	if f.bound, err = net.Listen("tcp4", address); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go f.run()
	for {
		_, err := c.Put(ctx, 1, "1", []byte("1"), pacedGrants())
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return err
		}
	}
	for i := range pacedEngines {
		e, err := startPacedEngine(poplar.Upstream("e" + strconv.Itoa(i)))
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
		if err := c.Hear(ctx, roster.Announcement{
			Name: e.name, Service: "s", Address: e.listener.Addr().String(), Domain: "d", Slots: 64, State: roster.StateReady, StartedAt: 1, Sequence: 1,
		}); err != nil {
			return err
		}
	}
	return nil
}

// run serves the peers of the control daemon.
func (f *pacedFleet) run() { _ = f.peers.Serve(f.bound) }

// await waits until the router is ready.
func (f *pacedFleet) await(ctx context.Context, url string) error {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("ask the router: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		pause(ctx, 20*time.Millisecond)
	}
	return ctx.Err()
}

func (f *pacedFleet) close() {
	if f.router != nil {
		endAll([]*exec.Cmd{f.router})
	}
	for _, e := range f.engines {
		e.close()
	}
	if f.peers != nil {
		f.peers.Close()
	}
	if f.core != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = f.core.Stop(ctx) // nothing is kept
	}
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

// freePorts returns ports that are free on loopback.
func freePorts(count int) ([]string, error) {
	var ports []string
	for range count {
		l, err := net.Listen("tcp4", "0.0.0.0:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		_, port, err := net.SplitHostPort(l.Addr().String())
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		ports = append(ports, port)
	}
	return ports, nil
}
