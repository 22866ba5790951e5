package main

import (
	"fmt"
	"time"
)

// This file holds the case "found": one of the machines of the core is lost during the first
// start of the system, and an empty one comes at another address.

const (
	replaceAfter = time.Second      // as in the list of disruptions
	foundTime    = 40 * time.Second // from the start of the successor until the play ends
)

func playFound(r *rig) (string, error) {
	f, err := r.fleetWith(3, 2, func(i int) bool { return i == 2 && r.trouble })
	if err != nil {
		return "", err
	}
	c := &config{version: 1, tenants: []tenant{newTenant(0)}}
	for _, service := range []string{"huvo11a", "huvo11a", "wuno96b", "wuno96b"} {
		if _, err := r.engine(service, f.controls, 10*time.Millisecond, 0); err != nil {
			return "", err
		}
	}
	if r.trouble {
		time.Sleep(replaceAfter)
		m := r.control("core-4", r.address(), f.seeds, false)
		if err := m.start(); err != nil {
			return "", err
		}
		f.operator.at[2] = m.at(portControl)
		r.note("core-4 replaces core-3")
	}
	key := c.tenants[0].Keys[0]
	if err := f.operator.replace(c, foundTime); err == nil {
		return "", f.awaitServing(r, key)
	}
	for i, m := range f.routers {
		q := request{id: fmt.Sprint("after-", i), path: pathLook + "x", key: key, wait: 2 * time.Second}
		a := q.dialAndSend(m.at(portCallers))
		r.say("%s, ready %v: %v", m.name, m.ready(), a)
		if a.status == 200 {
			return "", nil
		}
	}
	return fmt.Sprintf("no configuration was accepted within %s, and no request is served", foundTime), nil
}
