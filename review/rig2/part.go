package main

import (
	"fmt"
	"sync"
	"time"
)

// This file holds the case "part": a part of prompts crashes each engine that begins to
// write an answer on it, and requests with it go on coming.

const (
	partEngines = 12
	partPrefill = 196 * time.Millisecond // of 5,382 + 6,610 tokens at 61.2 tokens a millisecond
	partGap     = 50 * time.Millisecond  // between requests with the part
	soundGap    = 100 * time.Millisecond // between sound requests
	partTime    = 75 * time.Second
	fifth       = 5 // the crash from which the rule counts
)

// sent is a request that a client has sent.
type sent struct {
	id  string
	at  time.Time
	got answer
}

func playPart(r *rig) (string, error) {
	f, err := r.fleet(3, 3)
	if err != nil {
		return "", err
	}
	c := &config{version: 1, tenants: []tenant{newTenant(0)}}
	c.tenants[0].Prepaid = 500_000_000
	if err := f.operator.replace(c, startTime); err != nil {
		return "", err
	}
	var engines []*engine
	for i := range partEngines + 1 {
		service := "huvo11a"
		if i == partEngines {
			service = "wuno96b"
		}
		e, err := r.engine(service, f.controls, 10*time.Millisecond, 0)
		if err != nil {
			return "", err
		}
		e.prefill, e.tainted = partPrefill, r.trouble
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
	var clients sync.WaitGroup
	var parts, sound []*sent
	end := time.Now().Add(partTime)
	clients.Go(func() { sound = f.sendEach(r, &clients, key, "sound", "b7c2", soundGap, end) })
	clients.Go(func() { parts = f.sendEach(r, &clients, key, "part", poisonPart, partGap, end) })
	clients.Wait()
	return judgePart(r, engines, parts, sound)
}

// sendEach sends a request each gap, to one router after the other.
func (f *fleet) sendEach(r *rig, clients *sync.WaitGroup, key, name, part string, gap time.Duration, end time.Time) []*sent {
	var list []*sent
	for n := 0; time.Now().Before(end); n++ {
		q := request{
			id: fmt.Sprintf("%s-%d", name, n), path: pathStream + "x", key: key, usage: "11992,30",
			prefix: fmt.Sprintf("a1:400,%s:4982,%s%04x:6610", part, "f", n), body: fmt.Sprintf("%s %d", name, n), wait: 15 * time.Second,
		}
		s := &sent{id: q.id, at: time.Now()}
		list = append(list, s)
		at := f.routers[n%len(f.routers)].at(portCallers)
		clients.Go(func() {
			s.got = q.dialAndSend(at)
			r.note("%s: %v", s.id, s.got)
		})
		time.Sleep(gap)
	}
	return list
}

// judgePart counts the requests that the rule counts.
func judgePart(r *rig, engines []*engine, parts, sound []*sent) (string, error) {
	crashed := crashes(engines)
	ran := map[string]bool{}
	for _, e := range engines {
		e.mu.Lock()
		for _, id := range e.runs {
			ran[id] = true
		}
		e.mu.Unlock()
	}
	r.say("%d crashes", len(crashed))
	if len(crashed) < fifth {
		return "", nil
	}
	from := crashed[fifth-1].Add(contactTime)
	late, served, lost := 0, 0, 0
	for _, s := range sound {
		if ran[s.id] {
			served++
		}
		if ran[s.id] && (s.got.status != 200 || !s.got.whole) && s.at.After(from) {
			r.note("%s was lost with its engine: %v", s.id, s.got)
			lost++
		}
	}
	r.say("%d of %d sound requests reached engines; %d of those sent over %s after the fifth crash were lost with an engine", served, len(sound), lost, contactTime)
	for _, s := range parts {
		if ran[s.id] && s.at.After(from) {
			r.note("%s reached an engine, sent %.1f s after the fifth crash", s.id, s.at.Sub(crashed[fifth-1]).Seconds())
			late++
		}
	}
	r.say("%d requests with the part reached engines, sent over %s after the fifth crash", late, contactTime)
	if late > mostAfter {
		return fmt.Sprintf("%d requests with the part, sent over %s after the fifth crash, reached engines", late, contactTime), nil
	}
	return "", nil
}
