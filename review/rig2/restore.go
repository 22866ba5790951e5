package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// This file holds the case "restore": an operator adds tenants, one with each change, and
// the processes of the core are killed at the same moment.

const (
	addedRoutes  = 700 // two times the 350 that the site files add at once
	addedTenants = 64
	mostTenants  = 24                     // as many as the grown deployments have
	changeRow    = 8                      // changes without a pause between them
	changePause  = 250 * time.Millisecond // after each row
	rounds       = 3                      // of changes and a kill
	// recoverTime is recoverS, and readTime how long the operator reads back. Both count
	// from the kill.
	recoverTime = 12 * time.Second
	readTime    = 20 * time.Second
	// mostEnds is the number of ends by themselves from which a process counts by the rules
	// on faults.
	mostEnds = 3
)

// token returns a random name.
func token(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := make([]byte, n)
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return string(b)
}

func newTenant(i int) tenant {
	return tenant{Name: fmt.Sprintf("t%03d%s", i, token(4)), Keys: []string{token(20)}, Priority: 1, Prepaid: 5_000_000}
}

func playRestore(r *rig) (string, error) {
	f, err := r.fleet(3, 3)
	if err != nil {
		return "", err
	}
	c := &config{version: 1, tenants: []tenant{newTenant(0)}}
	for range addedRoutes {
		c.more = append(c.more, route("r-"+token(7), "/"+token(7)+"/", "unsafe", "wuno96b", false, 1))
	}
	if err := f.operator.replace(c, startTime); err != nil {
		return "", err
	}
	for _, service := range []string{"huvo11a", "huvo11a", "wuno96b", "wuno96b"} {
		if _, err := r.engine(service, f.controls, 10*time.Millisecond, 0); err != nil {
			return "", err
		}
	}
	if err := f.awaitServing(r, c.tenants[0].Keys[0]); err != nil {
		return "", err
	}
	for range rounds {
		if err := f.addTenants(c); err != nil {
			return "", err
		}
		time.Sleep(time.Second)
		if r.trouble {
			for _, m := range f.controls {
				m.signal(syscall.SIGKILL, true)
			}
		}
		if broken, err := readBack(r, f, c); broken != "" || err != nil {
			return broken, err
		}
	}
	return "", nil
}

// addTenants makes one change after the other. Each adds a tenant and is sent once the one
// before is acknowledged.
func (f *fleet) addTenants(c *config) error {
	for i := range addedTenants {
		c.version += 1 + rand.IntN(3)
		c.tenants = append(c.tenants, newTenant(c.version))
		c.tenants = c.tenants[max(0, len(c.tenants)-mostTenants):]
		if err := f.operator.replace(c, 5*time.Second); err != nil {
			return err
		}
		if i%changeRow == changeRow-1 {
			time.Sleep(changePause)
		}
	}
	return nil
}

// readBack reads the configuration back again and again, and sends requests of the newest
// tenant. It returns what breaks the rule.
func readBack(r *rig, f *fleet, c *config) (string, error) {
	key := c.tenants[len(c.tenants)-1].Keys[0]
	begun := time.Now()
	read, served := false, 0
	for n := 0; time.Since(begun) < readTime; n++ {
		for _, m := range f.controls {
			version, ok := f.operator.describe(m.at(portControl))
			if ok && version != c.version {
				return fmt.Sprintf("version %d was read, %d was acknowledged", version, c.version), nil
			}
			read = read || ok && time.Since(begun) > recoverTime
		}
		q := request{id: fmt.Sprint("after-", n), path: pathAsk + "x", key: key, usage: "10,6", prefix: "a1:4,b1:6", wait: 2 * time.Second}
		a := q.dialAndSend(f.routers[n%len(f.routers)].at(portCallers))
		r.note("%s of the newest tenant: %v", q.id, a)
		if a.status == 200 {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	ended := 0
	for _, m := range f.controls {
		r.say("%s has ended by itself %d times", m.name, m.ends())
		if m.ends() >= mostEnds {
			ended++
		}
	}
	r.say("%d requests of the newest tenant served", served)
	switch {
	case !read:
		return fmt.Sprintf("no read of the configuration was answered from %s to %s after the kill; %d of %d processes of the core ended by themselves %d times or more",
			recoverTime, readTime, ended, len(f.controls), mostEnds), nil
	case 2*ended >= len(f.controls):
		return fmt.Sprintf("%d of %d processes of the core ended by themselves %d times or more", ended, len(f.controls), mostEnds), nil
	}
	return "", nil
}
