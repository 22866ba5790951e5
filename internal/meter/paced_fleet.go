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
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/roster"
)

// This file holds the fleet of the measurement of paced streams.

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
	if err := f.await(ctx, "http://127.0.0.1:"+ports[1]); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
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
