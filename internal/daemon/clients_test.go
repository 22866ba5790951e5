package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// headClients clients at a time hold a head each, and headMemory is the memory of a control
// daemon's VM, in MiB. The race detector takes some of it.
const (
	headClients = 16
	headMemory  = 280
)

// longHeads are what clients send instead of a request. The server answers or closes before
// their end.
func longHeads() map[string]string {
	const size = 1 << 20
	const begin = "POST / HTTP/1.1\r\nHost: h\r\n"
	var names strings.Builder
	for i := 0; names.Len() < size; i++ {
		fmt.Fprintf(&names, "X%x:\r\n", i)
	}
	return map[string]string{
		"names":                       begin + names.String(),
		"line":                        begin + "X: " + strings.Repeat("x", size),
		"request line":                "GET /" + strings.Repeat("x", size),
		"empty lines":                 strings.Repeat("\r\n", size/2),
		"empty lines after a request": begin + "Content-Length: 0\r\n\r\n" + strings.Repeat("\r\n", size/2),
	}
}

// TestHeadsLeaveMemory guards against clients whose heads have no end and that take a daemon
// to the memory of its VM, at each of its listeners. A call must be answered afterwards.
func TestHeadsLeaveMemory(t *testing.T) {
	f := newFleet(t, 1, 1, true)
	n := f.nodes[0]
	for name, address := range map[string]string{
		"callers": n.Listen.Callers, "peers": n.Listen.Peers, "upstreams": n.Listen.Upstreams, "operators": n.Listen.Operators,
	} {
		for kind, head := range longHeads() {
			t.Run(kind+" at "+name, func(t *testing.T) {
				sendHeads(t, address, head)
				peak := peakOf(t, n.process.Process.Pid)
				t.Logf("most memory %d MiB", peak)
				assert.Assert(t, peak < headMemory, "%d MiB", peak)
				c, err := net.Dial("tcp4", address)
				assert.NilError(t, err)
				defer c.Close()
				assert.NilError(t, c.SetDeadline(time.Now().Add(generous)))
				_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				assert.NilError(t, err)
				answer, err := http.ReadResponse(bufio.NewReader(c), nil)
				assert.NilError(t, err)
				answer.Body.Close()
			})
		}
	}
}

// sendHeads lets all clients send a head and hold it for a second.
func sendHeads(t *testing.T, address, head string) {
	t.Helper()
	var done sync.WaitGroup
	for range headClients {
		done.Go(func() {
			c, err := net.Dial("tcp4", address)
			if !assert.Check(t, err) {
				return
			}
			defer c.Close()
			assert.Check(t, c.SetDeadline(time.Now().Add(generous)))
			_, _ = io.WriteString(c, head)
			time.Sleep(time.Second) // the head is held where it was read
		})
	}
	done.Wait()
}

// peakOf returns the most memory that a process has used, in MiB, as the system counts it.
func peakOf(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err, "the daemon has ended")
	_, text, _ := strings.Cut(string(status), "VmHWM:")
	kib := 0
	_, err = fmt.Sscan(text, &kib)
	assert.NilError(t, err)
	return kib >> 10
}
