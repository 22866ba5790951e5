package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// The fleet is the project's own program as separate processes, on loopback
// addresses and with settings of the form of the deploy templates.

const (
	program     = "target/poplarbend" // as in deploy/system.toml, from the root of the repository
	contactTime = 3 * time.Second     // of the bounds of both small deployments
	stopGrace   = 8 * time.Second
)

// ports are the ports of all machines, which have different addresses.
type ports struct{ callers, ready, control, peers, metrics int }

// machine is one process of the fleet.
type machine struct {
	fleet    *fleet
	name, ip string
	router   bool
	cmd      *exec.Cmd
}

// fleet is a small deployment.
type fleet struct {
	record  *record
	folder  string
	ports   ports
	cores   []*machine
	routers []*machine
}

// newFleet returns a fleet without running processes.
func newFleet(r *record, cores, routers int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder}
	subnet := 2 + os.Getpid()%250
	for i := range cores {
		f.cores = append(f.cores, &machine{fleet: f, name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", subnet, i+1)})
	}
	for i := range routers {
		f.routers = append(f.routers, &machine{fleet: f, name: fmt.Sprintf("frontend-%d", i+1), ip: fmt.Sprintf("127.%d.2.%d", subnet, i+1), router: true})
	}
	free, err := freePorts(fmt.Sprintf("127.%d.1.1", subnet), 5)
	if err != nil {
		return nil, err
	}
	f.ports = ports{callers: free[0], ready: free[1], control: free[2], peers: free[3], metrics: free[4]}
	return f, nil
}

// freePorts returns different ports that are free on an address now.
func freePorts(ip string, count int) ([]int, error) {
	var list []int
	for range count {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // all stay open until the last is chosen
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	return list, nil
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// start starts the process. first is true when the whole fleet starts for the
// first time.
func (m *machine) start(first bool) error {
	f := m.fleet
	seeds := make([]string, len(f.cores))
	for i, c := range f.cores {
		seeds[i] = c.at(f.ports.control)
	}
	listen := map[string]any{"peers": m.at(f.ports.peers), "metrics": m.at(f.ports.metrics)}
	settings := map[string]any{
		"name": m.name, "role": "control", "domain": "zone-" + m.name[len(m.name)-1:], "listen": listen, "seeds": seeds,
		"first": first, "cores": 1, "beat": "1200ms", "grace": stopGrace.String(),
	}
	if m.router {
		listen["callers"], listen["ready"] = m.at(f.ports.callers), m.at(f.ports.ready)
		settings["role"], settings["share"], settings["lag"], settings["memory"] = "router", 0.4, "120ms", 134
		settings["repeats"] = map[string]any{"ratio": 0.2, "slack": 58, "span": "10s"}
	} else {
		listen["control"] = m.at(f.ports.control)
		settings["data"], settings["memory"], settings["losses"] = filepath.Join(f.folder, m.name), 280, 1
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(f.folder, m.name+".jsonc")
	if err = os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(program, "node", file)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	// The process ends with the rig, whatever ends that.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.record.note("process", "%s starts, first=%t", m.name, first)
	return m.cmd.Start()
}

// kill ends the process with SIGKILL and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	m.fleet.record.note("process", "%s is killed", m.name)
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	m.cmd = nil
}

// startAll starts all machines for the first time.
func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine{}, f.cores...), f.routers...) {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// logTail is how much of a log is noted, in bytes.
const logTail = 1500

// noteLogs notes the ends of the logs of the control daemons.
func (f *fleet) noteLogs() {
	for _, m := range f.cores {
		data, err := os.ReadFile(filepath.Join(f.folder, m.name+".log"))
		f.record.note("log", "%s: %s (%v)", m.name, data[max(0, len(data)-logTail):], err)
	}
}

// end ends all processes and removes the folder.
func (f *fleet) end() {
	for _, m := range append(append([]*machine{}, f.cores...), f.routers...) {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

var operatorClient = &http.Client{Timeout: time.Second}

// post sends a call to the control daemon and returns the status, or 0 without an
// answer.
func (m *machine) post(path string, body []byte) int {
	url := "http://" + m.at(m.fleet.ports.control) + path
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// configure sends a configuration to the control daemons in turn until one
// acknowledges it, and reports whether one did within limit.
func (f *fleet) configure(config map[string]any, limit time.Duration) bool {
	body, err := json.Marshal(config)
	if err != nil {
		return false
	}
	end := time.Now().Add(limit)
	last := map[*machine]int{}
	for i := 0; time.Now().Before(end); i++ {
		m := f.cores[i%len(f.cores)]
		status := m.post("/api/Config.Replace", body)
		if status == http.StatusOK {
			f.record.note("operator", "version %v acknowledged by %s", config["version"], m.name)
			return true
		}
		if before, known := last[m]; !known || before != status {
			f.record.note("operator", "version %v at %s: status %d", config["version"], m.name, status)
			last[m] = status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ready reports whether the router says that it is ready.
func (m *machine) ready() bool {
	url := "http://" + m.at(m.fleet.ports.ready) + "/api/readyz"
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := operatorClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready and reports whether they are.
func (f *fleet) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		count := 0
		for _, m := range f.routers {
			if m.ready() {
				count++
			}
		}
		if count == len(f.routers) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
