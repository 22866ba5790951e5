package main

import (
	"time"
)

// playInsideEvent lets some engines stop inside an event of some answers, and end the
// body there.
func playInsideEvent(r *run) (bool, error) {
	const (
		engines = 8
		spoilt  = 3
		period  = 80 * time.Millisecond
		length  = 60 * time.Second
	)
	set, err := r.startFleet(3, 3, engines, configuration(1, poisonKey, plenty))
	if err != nil {
		return false, err
	}
	if r.trouble {
		set.spoilt = spoilt
	}
	c := newClients(r.record, r.fleet, poisonKey)
	begin := time.Now()
	end := begin.Add(length)
	kinds := []string{"ask", "resume"}
	number := 0
	each(period, end, func() {
		kind := kinds[number%len(kinds)]
		number++
		c.send(request{kind: kind, path: "/" + kind + "/1", parts: "5c1e07a2:198,OWN:628", prompt: 826, output: 96})
	})
	c.wait.Wait()
	broken := 0
	for _, kind := range kinds {
		list := c.list(kind, begin, end)
		short := 0
		for _, o := range list {
			if o.begun && o.complete && !o.whole {
				short++
				r.record.note("result", "%s %s ended as complete after %d events, inside an event: %t", kind, o.id, o.events, o.inside)
			}
		}
		r.record.say("%s: %d requests, statuses %v, %d ended as complete before their last event", kind, len(list), statuses(list), short)
		broken += short
	}
	return broken > 0, nil
}
