package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The claims that a client sends. One server of the service in eight fails two in five of its
// runs with 503, for less than greyTime. srv_grey has a share of 0.14, 0.45 and 6.5 s at most.
const (
	claimCount   = 120
	claimDesks   = 8
	claimFails   = 5 // of so many runs of the grey server two fail
	claimTimeout = 2 * time.Second
	greyTime     = 6 * time.Second
	claimPause   = 45 * time.Millisecond // between two claims; the sheet has 20.7 a second
)

// claimDesk is a service that runs claims. It counts how often each ran.
type claimDesk struct {
	mu     sync.Mutex
	runs   map[string]int // by claim
	ran    map[string]bool
	sealed map[string]bool // ids of the failures that bear a seal
	grey   *engine         // the server that fails; the first that runs a claim
	since  time.Time       // of the first failure
	seen   int             // runs of the grey server
	fails  int
}

// playClaims sends unsafe requests to a service that fails some of them after they ran.
func playClaims(r *rig) (bool, error) {
	desk := &claimDesk{runs: map[string]int{}, ran: map[string]bool{}, sealed: map[string]bool{}}
	var engines []*engine
	for i := range claimDesks {
		e := newEngine(r, 1+i, "desk")
		e.handler = func(w http.ResponseWriter, q *http.Request, id string, body []byte) {
			desk.serve(r, e, w, id, string(body))
		}
		engines = append(engines, e)
	}
	config := configuration(1_000_000, route("claim", "unsafe", "desk", int(claimTimeout/time.Millisecond)))
	routers, err := r.startFleet(2, config, engines...)
	if err != nil {
		return false, err
	}
	for _, p := range routers {
		if err := await("a warm router", 20*time.Second, func() bool {
			return r.claim(p, "warm-"+p.name+fmt.Sprint(time.Now().UnixNano()), "warm") == http.StatusOK
		}); err != nil {
			return false, err
		}
	}
	desk.reset()
	broken, sealed := 0, 0
	for n := range claimCount {
		claim := fmt.Sprintf("claim-%d", n)
		time.Sleep(claimPause)
		for try := range 2 { // a client repeats an unsafe request once, and only after a promise
			id := fmt.Sprintf("%s-try-%d", claim, try)
			status := r.claim(routers[(n+try)%2], id, claim)
			r.note("client: %s gets %d", id, status)
			if !promises(status) {
				break
			}
			if desk.hasRun(id) {
				broken++
				if desk.isSealed(id) {
					sealed++
				}
				r.note("%s was answered %d, which promises that it has not run and never will, and has run", id, status)
			}
		}
	}
	twice := desk.twice()
	r.note("%d attempts of %d claims were answered with a promise and have run, %d of them with the seal of the engine; claims that ran twice: %v",
		broken, claimCount, sealed, twice)
	return broken > 0, nil
}

// promises reports whether a status says that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// serve runs a claim. With the disruption it then fails some with 503. It does not say that
// these have not run.
func (d *claimDesk) serve(r *rig, e *engine, w http.ResponseWriter, id, claim string) {
	d.mu.Lock()
	d.runs[claim]++
	d.ran[id] = true
	fails := r.trouble && claim != "warm" && d.failsNow(e)
	seal := d.fails%2 == 0
	d.sealed[id] = fails && seal
	d.mu.Unlock()
	if fails {
		if !seal {
			w.Header().Del("Poplarbend-Response-Seal")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		r.note("%s ran %s (%s) and fails it with 503, without Poplarbend-Not-Executed, seal %t", e.id, claim, id, seal)
		return
	}
	fmt.Fprintf(w, "%s is yours", claim)
}

// failsNow reports whether a run fails, and counts it.
func (d *claimDesk) failsNow(e *engine) bool {
	if d.grey == nil {
		d.grey, d.since = e, time.Now()
	}
	if e != d.grey || time.Since(d.since) > greyTime {
		return false
	}
	d.seen++
	if d.seen%claimFails >= 2 {
		return false
	}
	d.fails++
	return true
}

func (d *claimDesk) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs, d.seen = map[string]int{}, 0
}

func (d *claimDesk) hasRun(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ran[id]
}

func (d *claimDesk) isSealed(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sealed[id]
}

// twice returns the claims that ran more than once.
func (d *claimDesk) twice() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for claim, n := range d.runs {
		if n > 1 {
			list = append(list, claim)
		}
	}
	return list
}

// claim sends one attempt and returns its status, or 0.
func (r *rig) claim(p *process, id, claim string) int {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/claim/x", p.address, r.ports.callers), strings.NewReader(claim))
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Poplarbend-Attempt-Id", id)
	req.Header.Set("Poplarbend-Deadline-Ms", "1500")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := r.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
