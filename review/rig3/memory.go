package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Two machines of acw-lagos-grown, with its number of engines. The rule counts two machines on
// which a process ends three times.
const (
	memoryLimit   = 112 // MB
	memoryEngines = 60
	memoryRouters = 2
	memoryEnds    = 3
	// memoryLong is the length of a name, so that its head is within maxHeaderBytes.
	memoryLong    = 15 << 10
	memoryShort   = 8
	memoryHead    = 400 // the most bytes of the rest of the head
	memoryClients = 32
	memoryTime    = 110 * time.Second // of the whole play
	// memoryLook is the time between two looks of the platform at the memory of a process,
	// and memoryPause the time until it starts one again.
	memoryLook  = 50 * time.Millisecond
	memoryPause = 500 * time.Millisecond
	// ordinaryPause is the time between two requests of the ordinary client.
	ordinaryPause = 100 * time.Millisecond
)

// memoryOf returns the anonymous memory of a process in MB, which leaves out its program text.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, err := strconv.Atoi(fields[1])
			if err == nil {
				return kilobytes >> 10
			}
		}
	}
	return 0
}

// warden is the platform's limit of memory at one machine: it kills a process that uses more,
// and starts it again. An ordinary client sends requests meanwhile.
type warden struct {
	rig          *rig
	number       int
	process      *process
	limit        int // MB
	length       int // of the names of parts
	until        time.Time
	sent, served atomic.Int64
	peak, kills  int
	whole        int // requests of the ordinary client that were served
	failed       int
	over         atomic.Bool
}

func (w *warden) run() {
	defer w.over.Store(true)
	ordinary := time.Now()
	for time.Now().Before(w.until) && w.kills < memoryEnds {
		time.Sleep(memoryLook)
		if time.Since(ordinary) > ordinaryPause {
			ordinary = time.Now()
			if w.rig.stream(w.process, "ordinary") {
				w.whole++
			} else {
				w.failed++
			}
		}
		used := memoryOf(w.process.command.Process.Pid)
		w.peak = max(w.peak, used)
		if used <= w.limit {
			continue
		}
		w.kills++
		w.rig.note("%s uses %d MB of %d MB after %d requests with such names: the platform ends it", w.process.name, used, w.limit, w.served.Load())
		if !w.restart() {
			return
		}
	}
}

// restart ends the process as the platform does, and starts it again.
func (w *warden) restart() bool {
	_ = w.process.signal(syscall.SIGKILL)
	<-w.process.ended
	time.Sleep(memoryPause)
	p, err := w.rig.startRouter(w.number, false)
	if err != nil {
		w.rig.note("%s does not start: %v", w.process.name, err)
		return false
	}
	w.process = p
	return true
}

// namer is a client whose requests name parts that nobody else names.
type namer struct{ warden *warden }

func (c *namer) run() {
	for !c.warden.over.Load() {
		_ = c.session() // the connection has ended
		time.Sleep(20 * time.Millisecond)
	}
}

// session sends requests on one connection until it ends.
func (c *namer) session() error {
	w := c.warden
	raw, err := net.DialTimeout("tcp4", w.rig.at(20+w.number, w.rig.ports.callers), time.Second)
	if err != nil {
		return err
	}
	defer raw.Close()
	reader := bufio.NewReader(raw)
	for !w.over.Load() {
		id := fmt.Sprintf("%08x", w.sent.Add(1))
		name := id + strings.Repeat("0", w.length-len(id))
		if err := raw.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(raw, "POST /stream/x HTTP/1.1\r\nHost: %s\r\nPoplarbend-Attempt-Id: name-%d-%s\r\nPoplarbend-Model: m\r\n"+
			"Poplarbend-Token-Usage: 1,1\r\nPoplarbend-Prefix-Hash: %s:1\r\nPoplarbend-Deadline-Ms: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
			host, w.number, id, name, key); err != nil {
			return err
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		switch {
		case err != nil:
			return err
		case resp.StatusCode == http.StatusOK:
			w.served.Add(1)
		}
		if resp.Close {
			return io.EOF
		}
	}
	return nil
}

// playMemory lets a client name parts with long names, and watches the memory of the routers.
func playMemory(r *rig) (bool, error) {
	r.quiet, r.memory = true, memoryLimit
	var engines []*engine
	for i := range memoryEngines {
		engines = append(engines, newEngine(r, 1+i, "pool"))
	}
	config := configuration(1_000_000_000, route("stream", "streaming", "pool", 8000))
	routers, err := r.startFleet(memoryRouters, config, engines...)
	if err != nil {
		return false, err
	}
	length := memoryShort
	if r.trouble {
		length = memoryLong
	}
	r.note("clients send requests whose one part each has a name of %d characters; a head has at most %d bytes", length, length+memoryHead)
	var wardens []*warden
	var wait sync.WaitGroup
	until := r.started.Add(memoryTime)
	for i, p := range routers {
		if err := await("a warm router", 20*time.Second, func() bool { return r.stream(p, "warm") }); err != nil {
			return false, err
		}
		w := &warden{rig: r, number: 1 + i, process: p, limit: memoryLimit, length: length, until: until}
		wardens = append(wardens, w)
		wait.Go(w.run)
		for range memoryClients {
			wait.Go((&namer{warden: w}).run)
		}
	}
	wait.Wait()
	often := 0
	for _, w := range wardens {
		r.note("%s: %d requests sent, %d served whole; of an ordinary client %d served and %d not; most memory %d MB of %d MB; ended %d times for its memory",
			w.process.name, w.sent.Load(), w.served.Load(), w.whole, w.failed, w.peak, w.limit, w.kills)
		if w.kills >= memoryEnds {
			often++
		}
	}
	return often >= memoryRouters, nil
}

// stream sends a short stream and reports whether it was served.
func (r *rig) stream(p *process, id string) bool {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/stream/x", p.address, r.ports.callers), nil)
	if err != nil {
		return false
	}
	req.Host = host
	req.Header.Set("Poplarbend-Attempt-Id", fmt.Sprintf("%s-%d", id, time.Now().UnixNano()))
	req.Header.Set("Poplarbend-Model", "m")
	req.Header.Set("Poplarbend-Token-Usage", "10,6")
	req.Header.Set("Poplarbend-Prefix-Hash", "1:10")
	req.Header.Set("Poplarbend-Deadline-Ms", "900")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := r.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
