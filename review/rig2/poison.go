package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// This file holds the case "poison": a request crashes each engine that begins to run it,
// after some events, and its caller sends it again.

const (
	poisonEngines = 8
	poisonEvents  = 3
	poisonSends   = 8
	engineBack    = 4 * time.Second // from a crash to the next start of the engine
	sendGap       = 4500 * time.Millisecond
	contactTime   = 3 * time.Second // contactMs
	mostAfter     = 3               // retries that may reach engines, by the rule
	besideStreams = 8               // sound streams beside each retry
	besideEvents  = 100             // 2 s
	besideLead    = 300 * time.Millisecond
)

func playPoison(r *rig) (string, error) {
	f, err := r.fleet(3, 3)
	if err != nil {
		return "", err
	}
	c := &config{version: 1, tenants: []tenant{newTenant(0)}}
	if err := f.operator.replace(c, startTime); err != nil {
		return "", err
	}
	var engines []*engine
	for i := range poisonEngines + 1 {
		service := "huvo11a"
		if i == poisonEngines {
			service = "wuno96b"
		}
		e, err := r.engine(service, f.controls, 20*time.Millisecond, poisonEvents)
		if err != nil {
			return "", err
		}
		engines = append(engines, e)
	}
	key := c.tenants[0].Keys[0]
	if err := f.awaitServing(r, key); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	for _, e := range engines {
		go e.revive()
	}
	body := "an ordinary text"
	if r.trouble {
		body = "a text that " + poisonMark
	}
	beside := &beside{fleet: f, rig: r, key: key}
	reached, late := 0, 0
	var third time.Time
	for n := range poisonSends {
		q := request{
			id: fmt.Sprint("again-", n), path: pathAsk + "x", key: key, usage: "100,120", prefix: "a1:40,c7:60", body: body,
			wait: 12 * time.Second,
		}
		beside.begin(n)
		time.Sleep(besideLead)
		sent := time.Now()
		a := q.dialAndSend(f.routers[n%len(f.routers)].at(portCallers))
		runs, crashed := countRuns(engines, q.id), crashes(engines)
		r.say("%s: %v; %d runs, %d crashes so far", q.id, a, runs, len(crashed))
		reached += runs
		if !third.IsZero() && sent.After(third.Add(contactTime)) {
			late += runs
		}
		if third.IsZero() && len(crashed) >= 3 {
			third = time.Now()
		}
		if !r.trouble && (a.status != 200 || !a.whole || strings.Count(a.body, "id: ") != 20) {
			return "", fmt.Errorf("an ordinary request was not served: %v", a)
		}
		time.Sleep(sendGap)
	}
	beside.clients.Wait()
	r.say("%d of %d sound streams of other callers were cut", beside.cut.Load(), beside.all)
	r.say("the request reached engines %d times, %d of them sent over %s after the third crash", reached, late, contactTime)
	if late > mostAfter {
		return fmt.Sprintf("%d retries sent over %s after the third crash reached engines", late, contactTime), nil
	}
	return "", nil
}

// beside are sound streams of other callers at other routers than the one that has the
// poisonous request.
type beside struct {
	fleet   *fleet
	rig     *rig
	key     string
	clients sync.WaitGroup
	all     int
	cut     atomic.Int64
}

// begin begins streams that go on for some seconds.
func (b *beside) begin(round int) {
	for i := range besideStreams {
		at := b.fleet.routers[(round+1+i%2)%len(b.fleet.routers)].at(portCallers)
		q := request{
			id: fmt.Sprintf("sound-%d-%d", round, i), path: pathStream + "x", key: b.key, usage: fmt.Sprintf("100,%d", besideEvents*stride),
			prefix: fmt.Sprintf("a1:40,d%d%02x:60", round, i), body: fmt.Sprintf("sound %d %d", round, i), wait: 12 * time.Second,
		}
		b.all++
		b.clients.Go(func() {
			a := q.dialAndSend(at)
			b.rig.note("%s: %v", q.id, a)
			if a.status == 200 && !a.whole {
				b.cut.Add(1)
			}
		})
	}
}

// revive starts the engine again some seconds after each crash.
func (e *engine) revive() {
	for !e.rig.expired.Load() {
		time.Sleep(50 * time.Millisecond)
		e.mu.Lock()
		due := !e.up && len(e.crashes) > 0 && time.Since(e.crashes[len(e.crashes)-1]) > engineBack
		e.mu.Unlock()
		if due {
			if err := e.start(); err != nil {
				e.rig.note("%s: %v", e.at, err)
			}
		}
	}
}

func countRuns(engines []*engine, id string) int {
	runs := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, run := range e.runs {
			if run == id {
				runs++
			}
		}
		e.mu.Unlock()
	}
	return runs
}

// crashes returns the times of all crashes, in their order.
func crashes(engines []*engine) []time.Time {
	var list []time.Time
	for _, e := range engines {
		e.mu.Lock()
		list = append(list, e.crashes...)
		e.mu.Unlock()
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}
