package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file holds the case "leave": an engine says that it is gone, the machines of one zone are
// killed at the same moment, and an earlier heartbeat of the engine arrives late.

const (
	leaveEngines = 3
	drainTime    = 2 * time.Second // drainMs
	killAfter    = 100 * time.Millisecond
	inTouchAfter = 3600 * time.Millisecond // from the kill: contactMs, and the time of the restart
	lateAfter    = 100 * time.Millisecond  // from then to the late heartbeat
	lateRequests = 24
	leaveWork    = 300 * time.Millisecond  // of a call at an engine
	exitAfter    = 4200 * time.Millisecond // from the acknowledgement to the end of the engine
)

func playLeave(r *rig) (string, error) {
	f, err := r.fleet(3, 3)
	if err != nil {
		return "", err
	}
	c := &config{version: 1, tenants: []tenant{newTenant(0)}}
	if err := f.operator.replace(c, startTime); err != nil {
		return "", err
	}
	var engines []*engine
	for i := range leaveEngines + 1 {
		service := "wuno96b"
		if i == leaveEngines {
			service = "huvo11a"
		}
		e, err := r.engine(service, f.controls, 10*time.Millisecond, 0)
		if err != nil {
			return "", err
		}
		e.prefill = leaveWork
		engines = append(engines, e)
	}
	key := c.tenants[0].Keys[0]
	if err := f.awaitServing(r, key); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	leaver := engines[0]
	late := leaver.hush()
	acked, err := leaver.leave(f.controls[0])
	if err != nil {
		return "", err
	}
	time.AfterFunc(exitAfter, func() {
		r.note("the engine exits")
		leaver.crash()
	})
	time.Sleep(killAfter)
	if r.trouble {
		f.controls[0].signal(syscall.SIGKILL, true)
		f.routers[0].signal(syscall.SIGKILL, true)
	}
	time.Sleep(inTouchAfter)
	if err := r.await("a ready router", startTime, f.routers[0].ready); err != nil {
		return "", err
	}
	time.Sleep(lateAfter)
	ok := leaver.send(context.Background(), &http.Client{Timeout: time.Second}, f.controls[1].at(portControl), late)
	r.note("the late heartbeat arrives at %s, acknowledged %v, %.1f s after the engine was gone", f.controls[1].name, ok, time.Since(acked).Seconds())
	time.Sleep(lateAfter)
	reached := f.callAtOnce(r, key, leaver, acked)
	if reached > 0 {
		return fmt.Sprintf("%d requests that were sent over %s after the acknowledgement reached the engine that is gone", reached, drainTime), nil
	}
	return "", nil
}

// callAtOnce sends requests to all routers at the same time, and returns how many of them
// reached the engine that is gone.
func (f *fleet) callAtOnce(r *rig, key string, gone *engine, acked time.Time) int {
	var clients sync.WaitGroup
	var reached atomic.Int64
	for n := range lateRequests {
		router := f.routers[n%len(f.routers)]
		q := request{id: fmt.Sprint("then-", n), path: pathClaim + "x", key: key, body: "claim", wait: 2 * time.Second}
		clients.Go(func() {
			sentAt := time.Now()
			a := q.dialAndSend(router.at(portCallers))
			r.note("%s by %s: %v", q.id, router.name, a)
			if countRuns([]*engine{gone}, q.id) > 0 {
				r.say("%s reached the engine by %s, sent %.1f s after the acknowledgement: %v", q.id, router.name, sentAt.Sub(acked).Seconds(), a)
				reached.Add(1)
			}
		})
	}
	clients.Wait()
	return int(reached.Load())
}

// hush ends the heartbeats of the engine, which goes on serving and says in its answers that it
// leaves. It returns its last heartbeat, which is still on its way to a daemon.
func (e *engine) hush() []byte {
	e.mu.Lock()
	e.stop()
	e.leaving = true
	e.mu.Unlock()
	late := e.nextBeat()
	e.rig.note("heartbeat %d of %s is delayed on its way", e.sequence, e.at)
	return late
}

// leave says at a daemon that the engine is gone, and returns when that was acknowledged.
func (e *engine) leave(m *machine) (time.Time, error) {
	o := newOperator(e.rig, nil)
	status, _, err := o.call(http.MethodPost, "http://"+m.at(portControl)+"/api/Instances.Deregister/"+e.id, e.nextBeat(), time.Second)
	if err != nil || status != http.StatusOK {
		return time.Time{}, fmt.Errorf("the engine's leave: status %d, %w", status, err)
	}
	e.rig.note("%s acknowledges that %s is gone", m.name, e.at)
	return time.Now(), nil
}
