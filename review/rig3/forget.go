package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A request that crashes servers comes again after all processes were killed.
const (
	forgetPause = 100 * time.Millisecond // between two sends of the request
	forgetFirst = 4 * time.Second        // for which the request comes before the kill
	forgetDown  = time.Second            // that the processes are down
	forgetCalm  = 7 * time.Second        // until all machines are in touch again, twice contactMs at most
	forgetAgain = 10 * time.Second       // for which the request comes after it
	forgetMark  = "crash this"           // the body of the request
	forgetCrash = 3                      // the crash after which the rule counts
)

// hitRequest crashes the server while it answers the request with the mark.
func (p *poisonWatch) hitRequest(w http.ResponseWriter, q *http.Request, e *engine) bool {
	if !strings.Contains(q.Header.Get("Poplarbend-Attempt-Id"), "crash-") {
		return false
	}
	return p.crash(w, q, e)
}

// playForget kills all processes between two rows of a request that crashes servers.
func playForget(r *rig) (bool, error) {
	r.quiet = true
	watch := &poisonWatch{rig: r, good: map[int]int{}, bad: map[int]int{}}
	var engines []*engine
	for i := range poisonEngines {
		e := newEngine(r, 1+i, "pool")
		e.poison, e.gap = watch.hitRequest, poisonGap
		engines = append(engines, e)
	}
	rt := route("stream", "streaming", "pool", 12000)
	rt["resumable"], rt["maxAttempts"] = true, 2
	routers, err := r.startFleet(poisonRouters, configuration(1_000_000_000, rt), engines...)
	if err != nil {
		return false, err
	}
	if err := r.awaitServed(routers); err != nil {
		return false, err
	}
	var stop atomic.Bool
	var wait sync.WaitGroup
	for i, p := range routers { // a router has the same address again after the kill
		wait.Go(func() {
			for n := 0; !stop.Load(); n++ {
				r.prompt(p, fmt.Sprintf("sound-%d-%d", i, n), fmt.Sprintf("aa:100,%x:50", n), fmt.Sprintf("sound %d %d", i, n))
				time.Sleep(soundPause)
			}
		})
	}
	r.comeAgain(routers, "before", forgetFirst)
	if r.trouble {
		if err := r.killAll(routers); err != nil {
			return false, err
		}
	}
	if err := r.awaitServed(routers); err != nil {
		return false, err
	}
	time.Sleep(forgetCalm)
	again := time.Now()
	r.comeAgain(routers, "after", forgetAgain)
	stop.Store(true)
	wait.Wait()
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if len(watch.crashes) < forgetCrash {
		return false, fmt.Errorf("only %d crashes", len(watch.crashes))
	}
	late := 0
	for _, at := range watch.arrivals {
		if at.After(again) && at.After(watch.crashes[forgetCrash-1].Add(contact)) {
			late++
		}
	}
	r.note("%d crashes; %d requests reached servers, %d of them later than %s after crash %d, sent by machines in touch",
		len(watch.crashes), len(watch.arrivals), late, contact, forgetCrash)
	return late > poisonMost, nil
}

// awaitServed waits until all routers serve.
func (r *rig) awaitServed(routers []*process) error {
	for _, p := range routers {
		if err := await("a request at "+p.name, 20*time.Second, func() bool { return r.stream(p, "warm") }); err != nil {
			return err
		}
	}
	return nil
}

// comeAgain sends the request that crashes servers at one router after the other.
func (r *rig) comeAgain(routers []*process, row string, limit time.Duration) {
	r.note("the request comes, %s", row)
	var wait sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < limit; n++ {
		wait.Go(func() {
			r.prompt(routers[n%len(routers)], fmt.Sprintf("crash-%s-%d", row, n), "aa:100,77:50", forgetMark)
		})
		time.Sleep(forgetPause)
	}
	wait.Wait()
}

// killAll kills all processes and starts them again on their disks.
func (r *rig) killAll(routers []*process) error {
	running := r.processes
	for _, p := range running {
		if err := p.signal(syscall.SIGKILL); err != nil {
			return err
		}
	}
	for _, p := range running {
		<-p.ended
	}
	r.note("all %d processes are killed", len(running))
	time.Sleep(forgetDown)
	for i := 1; i <= 3; i++ {
		if _, err := r.startControl(i, false); err != nil {
			return err
		}
	}
	for i := range routers {
		p, err := r.startRouter(1+i, false)
		if err != nil {
			return err
		}
		routers[i] = p
	}
	return nil
}
