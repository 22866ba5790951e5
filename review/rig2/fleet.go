package main

import (
	"fmt"
	"time"
)

// This file holds the fleet that all plays start.

// fleet is a small deployment.
type fleet struct {
	controls, routers []*machine
	seeds             []string // addresses of control
	operator          *operator
}

// startTime is what a fleet has until it serves.
const startTime = 15 * time.Second

// fleet starts machines.
func (r *rig) fleet(controls, routers int) (*fleet, error) {
	return r.fleetWith(controls, routers, func(int) bool { return false })
}

// fleetWith is fleet without the control machines that are lost from the start.
func (r *rig) fleetWith(controls, routers int, lost func(i int) bool) (*fleet, error) {
	f := &fleet{}
	var seeds, ips []string
	for range controls {
		ip := r.address()
		ips, seeds = append(ips, ip), append(seeds, fmt.Sprintf("%s:%d", ip, portControl))
	}
	for i, ip := range ips {
		f.controls = append(f.controls, r.control(fmt.Sprint("core-", i+1), ip, seeds, true))
	}
	for i := range routers {
		f.routers = append(f.routers, r.router(fmt.Sprint("frontend-", i+1), r.address(), seeds))
	}
	f.seeds = seeds
	for i, m := range append(append([]*machine{}, f.controls...), f.routers...) {
		if i < controls && lost(i) {
			continue
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	f.operator = newOperator(r, f.controls)
	return f, nil
}

// awaitServing waits until all routers are ready and answer requests of both services.
func (f *fleet) awaitServing(r *rig, key string) error {
	for i, m := range f.routers {
		if err := r.await("a ready router", startTime, m.ready); err != nil {
			return err
		}
		n := 0
		err := r.await("the first answers", startTime, func() bool {
			n++
			look := request{id: fmt.Sprintf("first-%d-%d", i, n), path: pathLook + "x", key: key, wait: time.Second}
			ask := request{id: fmt.Sprintf("begin-%d-%d", i, n), path: pathAsk + "x", key: key, usage: "10,6", prefix: "a1:4,b1:6", wait: 2 * time.Second}
			return look.dialAndSend(m.at(portCallers)).status == 200 && ask.dialAndSend(m.at(portCallers)).status == 200
		})
		if err != nil {
			return err
		}
	}
	return nil
}
