package conf

import (
	"fmt"
	"os"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the settings of a process in a fleet whose routers have no
// disk: a router or a control daemon.

// The roles of a process.
const (
	RoleRouter  = "router"
	RoleControl = "control"
)

// Process is what a router or a control daemon knows when it starts.
type Process struct {
	// Name is stable over restarts.
	Name   poplar.Daemon
	Role   string
	Domain poplar.Domain
	// Data is the data folder of a control daemon.
	Data string
	// Callers, Ready, Control and Peers are addresses of listeners. A router has
	// the first two, a control daemon the third; both have the last.
	Callers, Ready, Control, Peers string
	// Metrics is the address at which metrics are served, or "".
	Metrics string
	// Seeds are addresses of control daemons to start from, as in Control.
	Seeds []string
	// First is true when the whole fleet starts for the first time.
	First bool
	Log   string
	Cores int
	// Share is the processor time of the process, in cores.
	Share float64
	// Link is the speed of the process's own link, in Mbit/s, or 0 if it is not known.
	Link float64
	// Lag is the time within which an event of a stream should reach its caller, or 0 if
	// each must be forwarded as it arrives.
	Lag time.Duration
	// Memory is the most memory of the process, in bytes, or 0.
	Memory int64
	// Losses is the number of control daemons that may be lost at the same time.
	Losses int
	// Beat is the time between two announcements of an upstream.
	Beat time.Duration
	// Grace is the time that a planned stop has.
	Grace time.Duration
	// RepeatRatio, RepeatSlack and RepeatSpan bound the repeats that the fleet
	// sends to a service.
	RepeatRatio, RepeatSlack float64
	RepeatSpan               time.Duration
}

// Defaults and bounds of process settings.
const (
	defaultBeat  = time.Second
	defaultGrace = 8 * time.Second
	defaultRatio = 0.1
	defaultSpan  = 10 * time.Second
	mostSlack    = 1e6
	mostCores    = 256
	leastShare   = 0.001
	mostMemory   = 1 << 20 // megabytes
	mostLink     = 1e6     // Mbit/s

	defaultLosses = 1
	mostLosses    = 100
)

var processShape = record{
	"name":    text(named),
	"role":    oneOf(RoleRouter, RoleControl),
	"domain":  text(named),
	"data":    text(filled),
	"listen":  record{"callers": address, "ready": address, "control": address, "peers": address, "metrics": address},
	"seeds":   list{address},
	"first":   flag(),
	"log":     oneOf("debug", "info", "warn", "error"),
	"cores":   whole(1, mostCores),
	"share":   number(leastShare, mostCores),
	"link":    number(0, mostLink),
	"lag":     span(0, time.Hour),
	"memory":  number(0, mostMemory),
	"losses":  whole(0, mostLosses),
	"beat":    span(time.Millisecond, time.Hour),
	"grace":   span(time.Millisecond, day),
	"repeats": record{"ratio": number(0, 1), "slack": number(0, mostSlack), "span": span(time.Second, time.Hour)},
}

// LoadProcess reads the settings of a process from a file.
func LoadProcess(file string) (*Process, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseProcess(file, data)
}

// ParseProcess reads the settings of a process. The error is a Strays, whose
// file is name.
func ParseProcess(name string, data []byte) (*Process, error) {
	return compile(name, data, processShape, (*compiler).process)
}

// process reads a checked tree.
func (c *compiler) process(root *node) *Process {
	repeats := root.kid("repeats")
	s := &Process{
		Data:        root.kid("data").string(""),
		Seeds:       texts[string](root.kid("seeds")),
		First:       root.kid("first").flag(false),
		Log:         root.kid("log").string("info"),
		Cores:       int(root.kid("cores").whole(1)),
		Link:        root.kid("link").number(0),
		Lag:         root.kid("lag").span(0),
		Memory:      int64(root.kid("memory").number(0) * (1 << 20)),
		Losses:      int(root.kid("losses").whole(defaultLosses)),
		Beat:        root.kid("beat").span(defaultBeat),
		Grace:       root.kid("grace").span(defaultGrace),
		RepeatRatio: repeats.kid("ratio").number(defaultRatio),
		RepeatSlack: repeats.kid("slack").number(0),
		RepeatSpan:  repeats.kid("span").span(defaultSpan),
	}
	s.Share = float64(s.Cores) * root.kid("share").number(1)
	s.Name = poplar.Daemon(c.need(root, "name", nil).string(""))
	s.Domain = poplar.Domain(c.need(root, "domain", nil).string(""))
	s.Role = c.need(root, "role", nil).string("")
	listen := c.need(root, "listen", nil)
	if listen == nil {
		return s
	}
	at := (*path)(nil).to("listen")
	s.Metrics = listen.kid("metrics").string("")
	s.Peers = c.need(listen, "peers", at).string("")
	if s.Role == RoleRouter {
		s.Callers = c.need(listen, "callers", at).string("")
		s.Ready = c.need(listen, "ready", at).string("")
		return s
	}
	s.Control = c.need(listen, "control", at).string("")
	c.need(root, "data", nil)
	return s
}
