package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// This file holds the case "whole": a tenant sends many times its usual on a safe route of the
// model engines, whose answers come as a whole.

const (
	wholeSize    = 1000 // tokens of a prompt, and the most tokens of its answer
	wholeUsual   = 10   // requests a second
	wholeTimes   = 2.6  // of the tenant that is hot
	wholeTime    = 20 * time.Second
	wholePrepaid = 2 * wholeSize * wholeUsual * 20 * 6 / 5 // a fifth more than the usual use of the play
)

func playWhole(r *rig) (string, error) {
	f, err := r.fleet(3, 2)
	if err != nil {
		return "", err
	}
	c := &config{version: 1, tenants: []tenant{newTenant(0), newTenant(1)}}
	c.tenants[1].Prepaid = wholePrepaid
	safe := route("r-4tt0w9z", pathWhole, "safe", "huvo11a", false, 2)
	safe["sticky"] = true
	c.more = append(c.more, safe)
	if err := f.operator.replace(c, startTime); err != nil {
		return "", err
	}
	var engines []*engine
	for _, service := range []string{"huvo11a", "huvo11a", "wuno96b"} {
		e, err := r.engine(service, f.controls, 10*time.Millisecond, 0)
		if err != nil {
			return "", err
		}
		engines = append(engines, e)
	}
	if err := f.awaitServing(r, c.tenants[0].Keys[0]); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	gap := time.Second / wholeUsual
	if r.trouble {
		gap = time.Duration(float64(gap) / wholeTimes)
	}
	used, statuses := f.sendWhole(r, c.tenants[1].Keys[0], gap)
	runs := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, id := range e.runs {
			if strings.HasPrefix(id, "whole-") {
				runs++
			}
		}
		e.mu.Unlock()
	}
	r.say("statuses %v, %d runs, %d tokens of prompts and answers delivered, %d prepaid", statuses, runs, used, wholePrepaid)
	if used > wholePrepaid {
		return fmt.Sprintf("the tenant got %d tokens, %d are prepaid", used, wholePrepaid), nil
	}
	return "", nil
}

// sendWhole sends requests for the time of the play. It returns the tokens that the tenant
// got: the prompts of the requests that were answered, and what was delivered.
func (f *fleet) sendWhole(r *rig, key string, gap time.Duration) (used int, statuses map[int]int) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses = map[int]int{}
	usage := fmt.Sprintf("%d,%d", wholeSize, wholeSize)
	for n, end := 0, time.Now().Add(wholeTime); time.Now().Before(end); n++ {
		q := request{
			id: fmt.Sprint("whole-", n), path: pathWhole + "x", key: key, usage: usage, prefix: fmt.Sprintf("a1:400,d%04x:600", n), body: "x",
			wait: 5 * time.Second,
		}
		at := f.routers[n%len(f.routers)].at(portCallers)
		clients.Go(func() {
			a := q.dialAndSend(at)
			r.note("%s: status %d, whole %v, %d bytes", q.id, a.status, a.whole, len(a.body))
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.status == 200 && a.whole {
				used += wholeSize + strings.Count(a.body, "token")
			}
		})
		time.Sleep(gap)
	}
	clients.Wait()
	return used, statuses
}
