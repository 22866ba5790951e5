package main

import (
	"fmt"
	"math"
	"time"
)

// The cases in which a part of prompts crashes each engine that begins to answer on
// it. Requests with that part come at any machine, no two alike; sound ones share
// their caller and their other parts.

const (
	poisonKey  = "n2ctnfzs989anu6wsjnb"
	plenty     = 1 << 40 // tokens; no budget ends
	deadlyPart = "dead0001"
	fifth      = 5 // crashes, from which the rules count
)

// countFrom returns the time of the fifth crash, or of the last if there are fewer.
func (s *engineSet) countFrom() (time.Time, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) == 0 {
		return time.Time{}, 0
	}
	return s.crashes[min(fifth, len(s.crashes))-1], len(s.crashes)
}

// deadlyBetween returns how many requests with the deadly part reached engines in a span
// of time.
func (s *engineSet) deadlyBetween(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.deadlyA {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// stream sends requests of a kind in a period until end.
type stream struct {
	clients *clients
	request request
	period  time.Duration
	end     time.Time
}

func (s *stream) run() { each(s.period, s.end, func() { s.clients.send(s.request) }) }

// playSharedParts plays rule LOST of letter 7: sound requests hold two parts that the
// deadly ones hold too.
func playSharedParts(r *run) (bool, error) {
	const (
		engines     = 6
		soundPeriod = time.Second
		deadlyGap   = 200 * time.Millisecond // between two requests with the deadly part
		calm        = 24 * time.Second
		trouble     = 45 * time.Second
		leastCount  = 20 // requests of each span, by the rule
	)
	set, err := r.startFleet(3, 3, engines, configuration(1, poisonKey, plenty))
	if err != nil {
		return false, err
	}
	set.deadly = deadlyPart
	c := newClients(r.record, r.fleet, poisonKey)
	begin := time.Now()
	end := begin.Add(calm + trouble)
	// The first deadly request comes between two sound ones.
	troubleAt := begin.Add(calm + soundPeriod/4)
	sound := &stream{c, request{kind: "sound", path: "/ask/1", parts: "5c1e07a2:400,91bd3f06:168,OWN:1800", prompt: 2368, output: 24}, soundPeriod, end}
	go sound.run()
	time.Sleep(time.Until(troubleAt.Add(-deadlyGap)))
	if r.trouble {
		r.record.note("trouble", "requests with the deadly part come from now on")
		parts := fmt.Sprintf("5c1e07a2:400,%s:100,91bd3f06:168,OWN:1800", deadlyPart)
		deadly := &stream{c, request{kind: "deadly", path: "/ask/1", parts: parts, prompt: 2468, output: 24}, deadlyGap, end}
		go deadly.run()
	}
	time.Sleep(time.Until(end))
	c.wait.Wait()
	before := c.list("sound", begin, troubleAt)
	from, crashes := set.countFrom()
	if crashes == 0 {
		from = troubleAt
	}
	after := c.list("sound", from.Add(2*contactTime), end)
	if len(before) < leastCount || len(after) < leastCount {
		return false, errNotRun("%d sound requests before and %d after, want %d", len(before), len(after), leastCount)
	}
	r.record.say("crashes: %d; deadly requests that reached engines: %d", crashes, set.deadlyBetween(begin, end))
	r.record.say("sound requests that began at the first attempt: %d of %d before, %d of %d from 6 s after the crash that counts",
		begun(before), len(before), begun(after), len(after))
	r.record.say("statuses of sound requests: before %v, after %v", statuses(before), statuses(after))
	share := func(list []outcome) float64 { return float64(begun(list)) / math.Max(float64(len(list)), 1) }
	return share(after) < share(before)/2, nil
}

// playMinute plays rule BUDGET of letter 7: the requests with the deadly part come for
// over a minute.
func playMinute(r *run) (bool, error) {
	const (
		engines   = 8
		calm      = 3 * time.Second
		trouble   = 80 * time.Second
		allowance = 3 // requests that may reach engines, by the rule
	)
	set, err := r.startFleet(3, 3, engines, configuration(1, poisonKey, plenty))
	if err != nil {
		return false, err
	}
	set.deadly = deadlyPart
	c := newClients(r.record, r.fleet, poisonKey)
	begin := time.Now()
	end := begin.Add(calm + trouble)
	sound := &stream{c, request{kind: "sound", path: "/ask/1", parts: "5c1e07a2:5382,OWN:6610", prompt: 11992, output: 384}, 125 * time.Millisecond, end}
	go sound.run()
	time.Sleep(calm)
	if r.trouble {
		r.record.note("trouble", "requests with the deadly part come from now on")
		parts := fmt.Sprintf("5c1e07a2:5382,%s:24000,OWN:6610", deadlyPart)
		deadly := &stream{c, request{kind: "deadly", path: "/ask/1", parts: parts, prompt: 35992, output: 384}, 100 * time.Millisecond, end}
		go deadly.run()
	}
	time.Sleep(time.Until(end))
	c.wait.Wait()
	from, crashes := set.countFrom()
	r.record.say("crashes: %d; sound runs that crashes broke off: %d", crashes, set.broken)
	if crashes < fifth {
		return false, nil
	}
	late := set.deadlyBetween(from.Add(contactTime), end)
	r.record.say("requests with the deadly part that reached engines later than 3 s after the fifth crash: %d, allowed %d", late, allowance)
	return late > allowance, nil
}
