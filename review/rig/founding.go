package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// playFounding kills the control daemon that started last, right after the first start
// of the fleet, and starts it again with its disk, as the platform does.
func playFounding(r *run) (bool, error) {
	const (
		killDelay = 50 * time.Millisecond // after it has begun to listen
		restart   = 500 * time.Millisecond
		patience  = 45 * time.Second // for the first configuration
		traffic   = 10 * time.Second
		period    = 250 * time.Millisecond
	)
	f, err := newFleet(r.record, 3, 2)
	if err != nil {
		return false, err
	}
	r.fleet = f
	if err := r.startInOrder(); err != nil {
		return false, err
	}
	last := f.cores[len(f.cores)-1]
	if !last.awaitListener(10 * time.Second) {
		return false, errNotRun("%s does not listen", last.name)
	}
	if r.trouble {
		time.Sleep(killDelay)
		last.kill()
		time.Sleep(restart)
		if err := last.start(false); err != nil {
			return false, err
		}
	}
	set := &engineSet{record: r.record, fleet: f}
	if _, err := set.add(0); err != nil {
		return false, err
	}
	begin := time.Now()
	acknowledged := f.configure(configuration(1, poisonKey, plenty), patience)
	r.record.say("first configuration acknowledged: %t after %d ms", acknowledged, time.Since(begin).Milliseconds())
	f.awaitReady(contactTime)
	c := newClients(r.record, f, poisonKey)
	begin = time.Now()
	end := begin.Add(traffic)
	each(period, end, func() {
		c.send(request{kind: "sound", path: "/ask/1", parts: "5c1e07a2:800,OWN:250", prompt: 1050, output: 24})
	})
	c.wait.Wait()
	list := c.list("sound", begin, end)
	read := f.readBack(contactTime)
	r.record.say("requests served: %d of %d, statuses %v", begun(list), len(list), statuses(list))
	r.record.say("configuration read back at the end: %t", read)
	return !read && begun(list) == 0, nil
}

// startInOrder starts all machines within 0.3 s, the control daemons first.
func (r *run) startInOrder() error {
	for _, m := range r.fleet.cores {
		if err := m.start(true); err != nil {
			return err
		}
		time.Sleep(80 * time.Millisecond)
	}
	for _, m := range r.fleet.routers {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// awaitListener waits until the control daemon takes connections.
func (m *machine) awaitListener(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, err := net.DialTimeout("tcp4", m.at(m.fleet.ports.control), time.Second)
		if err == nil {
			c.Close()
			return true
		}
	}
	return false
}

// readBack asks for the configuration at all control daemons, for a time.
func (f *fleet) readBack(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range f.cores {
			if m.describe() == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// describe reads the configuration and returns the status, or 0 without an answer.
func (m *machine) describe() int {
	url := "http://" + m.at(m.fleet.ports.control) + "/api/Config.Describe"
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
