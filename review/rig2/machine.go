package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file holds the machines of the system and what the platform does with them.

// program is what the deploy file builds and runs.
const program = "target/poplarbend"

// restartDelay is how long after its end a process is started again.
const restartDelay = 300 * time.Millisecond

// machine is a machine of the system with its one process.
type machine struct {
	rig      *rig
	name     string
	ip       string
	settings map[string]any

	mu       sync.Mutex
	process  *os.Process
	wanted   bool // false while the machine is down
	ended    bool // true once the play is over
	ownEnds  int  // ends that the rig did not cause
	expected bool // true if the rig has caused the next end
	done     chan struct{}
}

// control returns a control machine that is not started.
func (r *rig) control(name, ip string, seeds []string, first bool) *machine {
	return r.machine(name, ip, map[string]any{
		"name": name, "role": "control", "domain": "zone-" + name[len(name)-1:], "data": filepath.Join(r.folder, name+".data"),
		"listen": map[string]any{
			"control": fmt.Sprintf("%s:%d", ip, portControl), "peers": fmt.Sprintf("%s:%d", ip, portPeers),
			"metrics": fmt.Sprintf("%s:%d", ip, portMetrics),
		},
		"seeds": seeds, "first": first, "cores": 1, "memory": 280, "losses": 1, "beat": "1200ms", "grace": "8s",
	})
}

// router returns a router machine that is not started.
func (r *rig) router(name, ip string, seeds []string) *machine {
	return r.machine(name, ip, map[string]any{
		"name": name, "role": "router", "domain": "zone-" + name[len(name)-1:],
		"listen": map[string]any{
			"callers": fmt.Sprintf("%s:%d", ip, portCallers), "ready": fmt.Sprintf("%s:%d", ip, portReady),
			"peers": fmt.Sprintf("%s:%d", ip, portPeers), "metrics": fmt.Sprintf("%s:%d", ip, portMetrics),
		},
		"seeds": seeds, "first": true, "cores": 1, "share": 0.4, "link": 1000, "lag": "120ms", "memory": 134, "beat": "1200ms", "grace": "8s",
		"repeats": map[string]any{"ratio": 0.2, "slack": 58, "span": "10s"},
	})
}

func (r *rig) machine(name, ip string, settings map[string]any) *machine {
	m := &machine{rig: r, name: name, ip: ip, settings: settings}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machines = append(r.machines, m)
	return m
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) logFile() string { return filepath.Join(m.rig.folder, m.name+".log") }

// start starts the process, and starts it again whenever it ends, as the platform does.
func (m *machine) start() error {
	data, err := json.MarshalIndent(m.settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(m.rig.folder, m.name+".jsonc")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(m.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return nil
	}
	cmd := exec.Command(program, "node", file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process, m.wanted, m.expected, m.done = cmd.Process, true, false, make(chan struct{})
	go m.run(cmd, m.done)
	return nil
}

// run waits for the end of the process.
func (m *machine) run(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	m.mu.Lock()
	m.process = nil
	own := !m.expected && !m.ended
	if own {
		m.ownEnds++
	}
	again := m.wanted && !m.ended
	m.mu.Unlock()
	close(done)
	if own {
		m.rig.note("%s has ended by itself: %v", m.name, err)
	}
	if !again {
		return
	}
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.rig.note("%s: %v", m.name, err)
	}
}

// signal sends a signal. stays is false if the process is not started again.
func (m *machine) signal(s syscall.Signal, stays bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.expected, m.wanted = true, stays
	}
	_ = m.process.Signal(s)
	m.rig.note("%s gets %v", m.name, s)
}

// end ends the process for good.
func (m *machine) end() {
	m.mu.Lock()
	m.ended, m.expected, m.wanted = true, true, false
	process, done := m.process, m.done
	m.mu.Unlock()
	if process != nil {
		_ = process.Kill()
		<-done
	}
}

// ends returns how often the process has ended by itself.
func (m *machine) ends() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownEnds
}

// lastLines returns the last warnings and errors of the process.
func (m *machine) lastLines() []string {
	return tail(m.logFile(), 12, func(line string) bool {
		return strings.Contains(line, `"level":"error"`) || strings.Contains(line, `"level":"warn"`) || strings.HasPrefix(line, "panic:") ||
			strings.Contains(line, "\tpkg/") || strings.HasPrefix(line, "poplarbend.example/")
	})
}
