package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// This file holds the rig of one play: its folder, its addresses and its record.

// The ports of all machines.
const (
	portControl = 8229
	portCallers = 8227
	portReady   = 8220
	portPeers   = 7340
	portMetrics = 7341
	portEngine  = 8080
)

// rig is the surroundings of one play.
type rig struct {
	trouble bool
	folder  string // temporary
	started time.Time
	expired atomic.Bool

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	engines  []*engine
	prefix   string // of the addresses, a network of the loopback range
	next     int    // last byte of the next address
}

func newRig(record string, trouble bool) (*rig, error) {
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: trouble, folder: folder, record: file, started: time.Now()}
	if r.prefix, err = freeNetwork(); err != nil {
		return nil, err
	}
	r.note("trouble %v, addresses %s.*", trouble, r.prefix)
	return r, nil
}

// freeNetwork returns the first three bytes of loopback addresses that nobody listens on.
func freeNetwork() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		if networkIsFree(prefix) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func networkIsFree(prefix string) bool {
	for _, port := range []int{portControl, portCallers, portReady, portPeers, portMetrics, portEngine} {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", prefix, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// address returns a new loopback address.
func (r *rig) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return fmt.Sprintf("%s.%d", r.prefix, r.next)
}

// note writes a line to the record, with the time since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.record, strings.TrimRight(line, "\n"))
}

// say is note that also prints.
func (r *rig) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Fprintf(os.Stdout, format+"\n", args...)
}

// expire ends a play that takes too long: without processes its waits fail.
func (r *rig) expire() {
	r.expired.Store(true)
	r.stopAll()
}

func (r *rig) stopAll() {
	r.mu.Lock()
	machines, engines := r.machines, r.engines
	r.mu.Unlock()
	for _, e := range engines {
		e.crash()
	}
	for _, m := range machines {
		m.end()
	}
}

// close ends all processes and removes the folder.
func (r *rig) close() {
	r.stopAll()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.machines {
		for _, line := range m.lastLines() {
			fmt.Fprintf(r.record, "log of %s: %s\n", m.name, line)
		}
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.folder)
}

// await waits until ok or the limit.
func (r *rig) await(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) || r.expired.Load() {
			return fmt.Errorf("%s: not in time", what)
		}
	}
	return nil
}

// tail returns the last lines of a file that match, at most the given number.
func tail(path string, most int, match func(string) bool) []string {
	file, err := os.Open(filepath.Clean(path))
	if err != nil {
		return nil
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, 64<<20))
	if err != nil {
		return nil
	}
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if match(line) {
			lines = append(lines, line)
		}
	}
	return lines[max(0, len(lines)-most):]
}
