package meter

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	process "poplarbend.example/poplar/internal/daemon"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/internal/oper"
)

// This file measures what control costs a daemon: processor time, memory and
// bytes, at nine daemons that are idle and at nine that serve callers.

var _ = Add("control", control)

// settingsVariable makes the measurement run the daemon whose settings it names.
const settingsVariable = "POPLARBEND_MEASURE_SETTINGS"

// Sizes, times and targets of the measurement.
const (
	controlWarm  = 8 * time.Second
	controlSpan  = 10 * time.Second
	controlPace  = 100 * time.Millisecond // between two requests at one daemon
	controlCPU   = 2.0                    // percent of a core
	controlRAM   = 32.0                   // MB
	controlBytes = 3.0                    // KB a second
	// headerBytes is an estimate of the HTTP, TCP and IP headers of one call with
	// its answer: about 250 bytes of request head, 110 of answer head, and four
	// segments with 40 bytes each.
	headerBytes = 520
	// ticksPerSecond is the unit of the processor time in /proc.
	ticksPerSecond = 100
)

// controlFolder is the configuration: one caller, whose key is pbk-demo-enugu,
// and one plain service.
const controlFolder = `{
  "domains": {"a": {}, "b": {}, "c": {}},
  "services": {"jobdesk": {"cost": 1, "repeat": true}},
  "upstreams": {"jobdesk-*": {"services": ["jobdesk"]}},
  "workspaces": {"enugu": {"ranks": ["normal"], "callers": {"chidi": {"budget": "main",
    "hash": "4981eacf3c5ea753bdd7d58279b18e7033ff198da2dc16b139a8cb50a281841b"}}}},
  "budgets": {"main": {"workspace": "enugu", "tokens": 1000000}}
}`

// usage is what one daemon has used since its start.
type usage struct {
	ticks    float64 // of processor time
	resident float64 // MB
	messages float64
	bytes    float64
}

// control starts nine daemons as processes and reads what they use.
func control(ctx context.Context, out *Sheet) error {
	if path := os.Getenv(settingsVariable); path != "" {
		settings, err := conf.Load(path)
		if err != nil {
			return err
		}
		return process.Run(ctx, settings, io.Discard)
	}
	dir, err := os.MkdirTemp("", "poplarbend-control-")
	if err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	defer os.RemoveAll(dir)
	settings, err := Plan(dir, Layout{Domains: applyDomains, Each: applyEach, Drain: "1s", Log: "error"})
	if err != nil {
		return err
	}
	var children []*exec.Cmd
	defer func() { endAll(children) }()
	for _, s := range settings {
		c, err := startChild(ctx, filepath.Join(dir, string(s.Name)+".json"))
		if err != nil {
			return err
		}
		children = append(children, c)
	}
	desk, err := prepare(ctx, settings)
	if err != nil {
		return err
	}
	defer desk.Kill()
	pause(ctx, controlWarm)
	if err := span(ctx, out, "control.idle", settings, children, nil); err != nil {
		return err
	}
	return span(ctx, out, "control.busy", settings, children, settings)
}

func startChild(ctx context.Context, path string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find this program: %w", err)
	}
	c := exec.CommandContext(ctx, self, "control")
	c.Env = append(os.Environ(), settingsVariable+"="+path)
	if err := c.Start(); err != nil {
		return nil, fmt.Errorf("start a daemon: %w", err)
	}
	return c, nil
}

func endAll(children []*exec.Cmd) {
	for _, c := range children {
		_ = c.Process.Kill()
		_ = c.Wait() // the error tells of the kill
	}
}

// prepare puts the configuration in force and starts the service.
func prepare(ctx context.Context, settings []*conf.Settings) (*fake.Service, error) {
	client, err := oper.Dial(settings[0].Listen.Operators, "")
	if err != nil {
		return nil, err
	}
	text := controlFolder
	for {
		_, err := client.Change(ctx, oper.Change{Number: 1, By: "measure", Files: map[string]*string{"00.json": &text}})
		if err == nil {
			break
		}
		if ctx.Err() != nil || poplar.CodeOf(err) == poplar.CodeInvalid {
			return nil, err
		}
		pause(ctx, controlPace)
	}
	var announce []string
	for _, s := range settings {
		announce = append(announce, s.Listen.Upstreams)
	}
	return fake.StartService(fake.Settings{
		Name: "jobdesk-1", Domain: "a", Announce: announce, Services: []poplar.Service{"jobdesk"},
	})
}

// span lets the daemons run for a while, with requests at busy, and writes what
// they used.
func span(ctx context.Context, out *Sheet, name string, settings []*conf.Settings, children []*exec.Cmd, busy []*conf.Settings) error {
	before, err := readAll(ctx, settings, children)
	if err != nil {
		return err
	}
	served := 0
	end := time.Now().Add(controlSpan)
	for time.Now().Before(end) && ctx.Err() == nil {
		next := time.Now().Add(controlPace)
		for _, s := range busy {
			if ask(ctx, s) {
				served++
			}
		}
		pause(ctx, time.Until(next))
	}
	after, err := readAll(ctx, settings, children)
	if err != nil {
		return err
	}
	var cpu, most, ram, messages, bytes float64
	for i := range after {
		used := (after[i].ticks - before[i].ticks) / ticksPerSecond / controlSpan.Seconds() * 100
		cpu += used / float64(len(after))
		most = max(most, used)
		ram = max(ram, after[i].resident)
		messages += after[i].messages - before[i].messages
		bytes += after[i].bytes - before[i].bytes
	}
	// Each call is counted where it starts, and costs both ends.
	perDaemon := 2 / float64(len(after)) / controlSpan.Seconds()
	out.Note(name+".requests", float64(served), "requests")
	if busy == nil {
		out.AtMost(name+".cpu.most", most, "% of a core", controlCPU)
	} else {
		out.Note(name+".cpu.most.with-requests", most, "% of a core")
	}
	out.Note(name+".cpu.mean", cpu, "% of a core")
	out.AtMost(name+".memory", ram, "MB", controlRAM)
	out.Note(name+".messages", messages*perDaemon, "a second and daemon")
	out.Note(name+".bytes.without-headers", bytes*perDaemon/1000, "KB/s")
	out.AtMost(name+".bytes.with-estimated-headers", (bytes+messages*headerBytes)*perDaemon/1000, "KB/s", controlBytes)
	return nil
}

// ask sends one idempotent call and reports whether it was served.
func ask(ctx context.Context, s *conf.Settings) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Listen.Callers+"/svc/jobdesk/status", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer pbk-demo-enugu")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func readAll(ctx context.Context, settings []*conf.Settings, children []*exec.Cmd) ([]usage, error) {
	all := make([]usage, len(settings))
	for i, s := range settings {
		u, err := readProcess(children[i].Process.Pid)
		if err == nil {
			err = u.readVars(ctx, s.Listen.Operators)
		}
		if err != nil {
			return nil, err
		}
		all[i] = u
	}
	return all, nil
}

// readProcess reads processor time and memory; the fields are those of
// proc_pid_stat(5).
func readProcess(pid int) (usage, error) {
	const utime, stime, rss = 11, 12, 21 // after the name of the program
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, fmt.Errorf("read the use of a daemon: %w", err)
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	var u usage
	for _, f := range []struct {
		at    int
		scale float64
		to    *float64
	}{{utime, 1, &u.ticks}, {stime, 1, &u.ticks}, {rss, float64(os.Getpagesize()) / 1e6, &u.resident}} {
		n, err := strconv.ParseFloat(fields[f.at], 64)
		if err != nil {
			return usage{}, fmt.Errorf("read the use of a daemon: %w", err)
		}
		*f.to += n * f.scale
	}
	return u, nil
}

// readVars reads the counters of control traffic.
func (u *usage) readVars(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	defer resp.Body.Close()
	var vars struct {
		Own struct {
			Control struct{ Messages, Calls, Sent float64 }
		} `json:"poplarbend"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return fmt.Errorf("read metrics: %w", err)
	}
	c := vars.Own.Control
	u.messages, u.bytes = c.Messages, c.Calls+c.Sent
	return nil
}
