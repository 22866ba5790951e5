package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The requests with a part that crashes servers, beside sound ones of the same caller.
const (
	poisonEngines = 12 // as the sheet of acw-lagos has
	poisonRouters = 3
	poisonPart    = "deadbeef"
	poisonEvents  = 2 // that a server writes before it crashes
	poisonGap     = 20 * time.Millisecond
	poisonPause   = 250 * time.Millisecond // between two requests with the part
	poisonTime    = 25 * time.Second
	poisonBack    = 3 * time.Second // until a server that crashed is back
	soundClients  = 6
	soundPause    = 20 * time.Millisecond // between two requests of one sound client
	soundOutput   = 60                    // tokens
	// The rule: crashes after which, and the time from then on after which, no more than
	// poisonMost requests may reach servers.
	poisonCrashes = 5
	contact       = 3 * time.Second
	poisonMost    = 3
)

// poisonWatch holds what servers and clients saw.
type poisonWatch struct {
	rig *rig

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of requests with the part
	good     map[int]int // sound requests that were answered whole, by the second of their start
	bad      map[int]int // and those that were not
}

// hit crashes the server while it answers a request with the part.
func (p *poisonWatch) hit(w http.ResponseWriter, q *http.Request, e *engine) bool {
	if !strings.Contains(q.Header.Get("Poplarbend-Prefix-Hash"), poisonPart) {
		return false
	}
	return p.crash(w, q, e)
}

// crash writes the first events of an answer and ends the server.
func (p *poisonWatch) crash(w http.ResponseWriter, q *http.Request, e *engine) bool {
	id := q.Header.Get("Poplarbend-Attempt-Id")
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := 1; n <= poisonEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.event); err != nil || flush.Flush() != nil {
			return true
		}
		time.Sleep(poisonGap)
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	count := len(p.crashes)
	p.mu.Unlock()
	p.rig.note("crash %d: %s, after %d events of %s", count, e.id, poisonEvents, id)
	e.crash()
	return true
}

// sound counts a sound request.
func (p *poisonWatch) sound(second int, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if whole {
		p.good[second]++
	} else {
		p.bad[second]++
	}
}

// late returns the number of requests with the part that reached servers too late by the rule.
func (p *poisonWatch) late() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < poisonCrashes {
		return 0
	}
	count, by := 0, p.crashes[poisonCrashes-1].Add(contact)
	for _, at := range p.arrivals {
		if at.After(by) {
			count++
		}
	}
	return count
}

// playPoison sends requests with one part that crashes each server that begins to answer on it.
func playPoison(r *rig) (bool, error) {
	r.quiet = true
	watch := &poisonWatch{rig: r, good: map[int]int{}, bad: map[int]int{}}
	var engines []*engine
	for i := range poisonEngines {
		e := newEngine(r, 1+i, "pool")
		e.poison, e.gap = watch.hit, poisonGap
		engines = append(engines, e)
	}
	routers, err := r.startFleet(poisonRouters, configuration(1_000_000_000, route("stream", "streaming", "pool", 8000)), engines...)
	if err != nil {
		return false, err
	}
	for _, p := range routers {
		if err := await("a warm router", 20*time.Second, func() bool { return r.stream(p, "warm") }); err != nil {
			return false, err
		}
	}
	var stop atomic.Bool
	var wait sync.WaitGroup
	begin := time.Now()
	for i := range soundClients {
		wait.Go(func() {
			for n := 0; !stop.Load(); n++ {
				second := int(time.Since(begin).Seconds())
				id := fmt.Sprintf("sound-%d-%d", i, n)
				watch.sound(second, r.prompt(routers[i%poisonRouters], id, fmt.Sprintf("aa:100,%x:50", n), "prompt of "+id))
				time.Sleep(soundPause)
			}
		})
	}
	for n := 0; time.Since(begin) < poisonTime; n++ {
		if r.trouble {
			wait.Go(func() {
				id := fmt.Sprintf("poison-%d", n)
				r.prompt(routers[n%poisonRouters], id, fmt.Sprintf("aa:100,%s:80,%x:50", poisonPart, n), "prompt of "+id)
			})
		}
		time.Sleep(poisonPause)
	}
	stop.Store(true)
	wait.Wait()
	for second := range int(poisonTime.Seconds()) {
		r.note("second %2d: of the sound requests %d were answered whole, %d not", second, watch.good[second], watch.bad[second])
	}
	late := watch.late()
	r.note("%d crashes; %d requests with the part reached servers, %d of them later than %s after crash %d",
		len(watch.crashes), len(watch.arrivals), late, contact, poisonCrashes)
	return late > poisonMost, nil
}

// crash ends the engine; it is back under another id later.
func (e *engine) crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.starts++
	starts := e.starts
	close(e.done)
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	go func() {
		time.Sleep(poisonBack)
		e.mu.Lock()
		e.id = fmt.Sprintf("%s.%d", strings.Split(e.id, ".")[0], starts)
		e.done = make(chan struct{})
		e.down, e.sequence = false, 0
		e.mu.Unlock()
		if err := e.begin(); err != nil {
			e.rig.note("engine %s does not start: %v", e.id, err)
		}
	}()
}

// prompt sends a request whose prompt has the given parts, and reports whether it was answered
// whole.
func (r *rig) prompt(p *process, id, parts, body string) bool {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/stream/x", p.address, r.ports.callers), strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = host
	req.Header.Set("Poplarbend-Attempt-Id", id)
	req.Header.Set("Poplarbend-Model", "m")
	req.Header.Set("Poplarbend-Token-Usage", fmt.Sprintf("300,%d", soundOutput))
	req.Header.Set("Poplarbend-Prefix-Hash", parts)
	req.Header.Set("Poplarbend-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := r.patient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Count(string(answer), "\n\n") == events(soundOutput)
}
