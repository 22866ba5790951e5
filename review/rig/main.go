// Command rig plays the cases of an independent review against the project's own
// programs: it starts them as separate processes on loopback, with stand-ins for
// clients, engines and the operator.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// run is one run of a case.
type run struct {
	record  *record
	trouble bool
	fleet   *fleet // nil before the case has made it
}

// errNotRun is the error of a case that could not run.
func errNotRun(format string, args ...any) error { return fmt.Errorf(format, args...) }

// cases play a case and report whether the rule was broken.
var cases = map[string]func(*run) (bool, error){
	"shared-parts": playSharedParts,
	"minute":       playMinute,
	"founding":     playFounding,
	"inside-event": playInsideEvent,
	"foreign":      playForeign,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	begin, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go r.watch(signals)
	broken, err := begin(r)
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		if r.fleet != nil {
			r.fleet.noteLogs()
		}
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// watch ends the run at a signal. The processes of the fleet end with it.
func (r *run) watch(signals <-chan os.Signal) {
	<-signals
	os.Exit(exitNotRun)
}

func (r *run) end() {
	if r.fleet != nil {
		r.fleet.end()
	}
}

// Times of a start.
const (
	configureLimit = 20 * time.Second
	readyLimit     = 20 * time.Second
)

// startFleet starts a fleet with a configuration and engines, and waits until the
// routers are ready.
func (r *run) startFleet(cores, routers, engines int, config map[string]any) (*engineSet, error) {
	f, err := newFleet(r.record, cores, routers)
	if err != nil {
		return nil, err
	}
	r.fleet = f
	if err := f.startAll(); err != nil {
		return nil, err
	}
	set := &engineSet{record: r.record, fleet: f}
	for i := range engines {
		if _, err := set.add(i); err != nil {
			return nil, err
		}
	}
	if !f.configure(config, configureLimit) {
		return nil, errNotRun("the first configuration was not acknowledged")
	}
	if !f.awaitReady(readyLimit) {
		return nil, errNotRun("the routers are not ready")
	}
	// All engines have announced themselves again, and all machines are in touch.
	time.Sleep(contactTime + beatPeriod)
	return set, nil
}

// configuration returns a configuration with two routes for streams, of which only the
// second may be resumed, and one tenant.
func configuration(version int, key string, prepaid int64) map[string]any {
	route := func(name string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": host, "pathPrefix": "/" + name + "/", "routeType": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1500,
			"priority": 0, "service": serviceModel, "maxAttempts": attempts, "public": false, "sticky": true, "resumable": resumable, "gapAimMs": 500,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("ask", 1, false), route("resume", 2, true)},
		"services": []any{map[string]any{
			"name": serviceModel, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": engineSlots, "kvCapacity": 545879, "stride": eventTokens, "most": 12, "pinMs": 4000, "holdMs": 2000, "kvHandleS": 5,
				"models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []string{key}, "priority": 1, "prepaid": prepaid}},
	}
}
