package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines. Each machine has an address of its own.
type ports struct{ callers, ready, peers, metrics, control, engine int }

// rig is one small deployment: machines with one process each, and stand-ins.
type rig struct {
	trouble bool
	started time.Time
	folder  string // temporary
	network string // the first three numbers of all addresses
	ports   ports
	client  *http.Client
	patient *http.Client // without a time limit

	mu        sync.Mutex
	record    *os.File
	processes []*process
	engines   []*engine
	version   int  // of the configuration that was sent last
	memory    int  // of a router, in MB
	quiet     bool // true if single requests are not noted
}

// process is one process of the project.
type process struct {
	name    string
	address string // IP
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

func newRig(record string, trouble bool) (*rig, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r := &rig{
		trouble: trouble, started: time.Now(), memory: frontMemory, folder: folder, record: file,
		client:  &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		patient: &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for range 50 {
		r.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(9000)
		r.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
		if r.free() {
			r.note("trouble: %t", trouble)
			return r, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// free reports whether the ports of the first machines can be listened on.
func (r *rig) free() bool {
	for _, port := range []int{r.ports.callers, r.ports.ready, r.ports.peers, r.ports.metrics, r.ports.control, r.ports.engine} {
		l, err := net.Listen("tcp4", r.at(11, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (r *rig) at(machine, port int) string { return fmt.Sprintf("%s.%d:%d", r.network, machine, port) }

// note writes a line with the time since the start into the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// noteRequest is note for what happens to a single request.
func (r *rig) noteRequest(format string, args ...any) {
	if !r.quiet {
		r.note(format, args...)
	}
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, e := range r.engines {
		e.close()
	}
	for _, p := range r.processes {
		_ = p.command.Process.Kill() // it may have ended
		<-p.ended
	}
	_ = os.RemoveAll(r.folder)
	_ = r.record.Close()
}

// Limits of the machines, as in the sheet of acw-lagos.
const (
	frontMemory = 134  // MB
	coreMemory  = 280  // MB
	frontFiles  = 4100 // descriptors
)

func (r *rig) seeds() []string {
	return []string{r.at(11, r.ports.control), r.at(12, r.ports.control), r.at(13, r.ports.control)}
}

// startControl starts control daemon i of three.
func (r *rig) startControl(i int, first bool) (*process, error) {
	machine := 10 + i
	name := fmt.Sprintf("core-%d", i)
	data := filepath.Join(r.folder, name)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return nil, err
	}
	return r.start(name, machine, map[string]any{
		"name": name, "role": "control", "domain": fmt.Sprintf("zone-%d", i), "data": data,
		"listen": map[string]any{
			"control": r.at(machine, r.ports.control), "peers": r.at(machine, r.ports.peers), "metrics": r.at(machine, r.ports.metrics),
		},
		"seeds": r.seeds(), "first": first, "cores": 1, "memory": coreMemory, "losses": 1, "beat": "1200ms", "grace": "8s",
	})
}

// startRouter starts router i.
func (r *rig) startRouter(i int, first bool) (*process, error) {
	machine := 20 + i
	name := fmt.Sprintf("front-%d", i)
	return r.start(name, machine, map[string]any{
		"name": name, "role": "router", "domain": fmt.Sprintf("zone-%d", 1+(i-1)%3),
		"listen": map[string]any{
			"callers": r.at(machine, r.ports.callers), "ready": r.at(machine, r.ports.ready),
			"peers": r.at(machine, r.ports.peers), "metrics": r.at(machine, r.ports.metrics),
		},
		"seeds": r.seeds(), "first": first, "cores": 1, "share": 0.4, "link": 1000, "lag": "120ms", "memory": r.memory,
		"beat": "1200ms", "grace": "8s", "repeats": map[string]any{"ratio": 0.2, "slack": 58, "span": "10s"},
	})
}

// start writes the settings of a process and starts it with the command of the deploy file.
func (r *rig) start(name string, machine int, settings map[string]any) (*process, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.folder, name+".jsonc")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(r.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{name: name, address: fmt.Sprintf("%s.%d", r.network, machine), ended: make(chan struct{})}
	p.command = exec.Command("target/poplarbend", "node", file)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	r.processes = append(r.processes, p)
	r.note("%s starts, pid %d", name, p.command.Process.Pid)
	go p.run()
	return p, nil
}

func (p *process) run() {
	_ = p.command.Wait() // how it ended does not matter
	close(p.ended)
}

func (p *process) signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// startFleet starts three control daemons and the given number of routers, and waits until
// the configuration is in force and the routers are ready.
func (r *rig) startFleet(routers int, config map[string]any, engines ...*engine) ([]*process, error) {
	// The limit of descriptors holds for all that this process starts.
	files := syscall.Rlimit{Cur: frontFiles, Max: frontFiles}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return nil, err
	}
	for i := 1; i <= 3; i++ {
		if _, err := r.startControl(i, true); err != nil {
			return nil, err
		}
	}
	var list []*process
	for i := 1; i <= routers; i++ {
		p, err := r.startRouter(i, true)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	if err := r.configure(config); err != nil {
		return nil, err
	}
	for _, e := range engines {
		if err := e.begin(); err != nil {
			return nil, err
		}
	}
	for _, p := range list {
		if err := await(p.name+" ready", 30*time.Second, func() bool { return r.ready(p) }); err != nil {
			return nil, err
		}
	}
	r.note("all routers are ready")
	return list, nil
}

// ready asks a router for its readiness, as the platform does.
func (r *rig) ready(p *process) bool {
	resp, err := r.client.Get(fmt.Sprintf("http://%s:%d/api/readyz", p.address, r.ports.ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// configure sends a configuration under the next version until it is acknowledged.
func (r *rig) configure(config map[string]any) error {
	r.version++
	config["version"] = r.version
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	turn := 0
	err = await("a configuration", 30*time.Second, func() bool {
		turn++
		return r.post(r.seeds()[turn%3], "/api/Config.Replace", body) == http.StatusOK
	})
	if err == nil {
		r.note("configuration %d acknowledged", r.version)
	}
	return err
}

// post sends a call to a control daemon and returns the status, or 0.
func (r *rig) post(to, path string, body []byte) int {
	resp, err := r.client.Post("http://"+to+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Names in the configurations.
const (
	host   = "h.example"
	key    = "key-of-the-caller"
	tenant = "caller"
)

// route returns a route to a service.
func route(name, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "routeType": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 500,
		"priority": 0, "service": service, "maxAttempts": 1, "public": false, "sticky": kind == "streaming", "resumable": false, "gapAimMs": 500,
	}
}

// configuration returns one with the given routes to the services "pool" of model engines and
// "desk".
func configuration(prepaid int64, routes ...map[string]any) map[string]any {
	return map[string]any{
		"routes": routes,
		"services": []any{
			map[string]any{
				"name": "pool", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacity": 431128, "stride": stride, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{key}, "priority": 0, "prepaid": prepaid}},
	}
}
