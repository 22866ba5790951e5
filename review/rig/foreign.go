package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// foreign is a server that is no engine. It sends heartbeats of a format of its own and
// has none of the paths of engines.
type foreign struct {
	record *record
	fleet  *fleet
	server *http.Server
	at     string
}

func newForeign(r *record, f *fleet) (*foreign, error) {
	l, err := net.Listen("tcp4", "127.0.4.1:0")
	if err != nil {
		return nil, err
	}
	o := &foreign{record: r, fleet: f, at: l.Addr().String()}
	o.server = &http.Server{Handler: o, ReadHeaderTimeout: time.Minute}
	go o.run(l)
	go o.loop()
	return o, nil
}

func (o *foreign) run(l net.Listener) { _ = o.server.Serve(l) }

func (o *foreign) loop() {
	tick := time.NewTicker(beatPeriod)
	for sequence := 1; ; sequence++ {
		// Version, slots, coldRemainingMs and born are missing.
		body, err := json.Marshal(map[string]any{
			"service": serviceModel, "address": o.at, "zone": "zone-1", "state": "ready", "sequence": sequence,
		})
		if err != nil {
			return
		}
		status := o.fleet.cores[0].post("/api/Instances.Heartbeat/worker-7", body)
		o.record.note("foreign", "heartbeat %s: status %d", body, status)
		<-tick.C
	}
}

// ServeHTTP implements http.Handler.
func (o *foreign) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.record.note("foreign", "gets %s %s, attempt %q, tenant %q", r.Method, r.URL.Path, r.Header.Get("Poplarbend-Attempt-Id"), r.Header.Get("Poplarbend-Tenant"))
	w.Header().Set("Connection", "close")
	http.NotFound(w, r)
}

// playForeign lets another writer send heartbeats beside those of the engines.
func playForeign(r *run) (bool, error) {
	const (
		engines   = 6
		period    = 60 * time.Millisecond
		length    = 60 * time.Second
		things    = 40 // shared first parts of prompts
		allowance = 5  // wrong refusals, and one in allowedOf
		allowedOf = 500
	)
	if _, err := r.startFleet(3, 3, engines, configuration(1, poisonKey, plenty)); err != nil {
		return false, err
	}
	if r.trouble {
		o, err := newForeign(r.record, r.fleet)
		if err != nil {
			return false, err
		}
		defer o.server.Close()
	}
	c := newClients(r.record, r.fleet, poisonKey)
	begin := time.Now()
	end := begin.Add(length)
	number := 0
	each(period, end, func() {
		number++
		parts := fmt.Sprintf("%08x:198,OWN:628", 0x5c1e0000+number%things)
		c.send(request{kind: "ask", path: "/ask/1", parts: parts, prompt: 826, output: 96})
	})
	c.wait.Wait()
	list := c.list("ask", begin, end)
	wrong := 0
	for _, o := range list {
		if o.status == http.StatusNotFound && !o.sealed {
			wrong++
		}
	}
	r.record.say("statuses: %v", statuses(list))
	r.record.say("proper requests that were answered 404 without an engine's seal: %d of %d, allowed %d", wrong, len(list), allowance+len(list)/allowedOf)
	return wrong > allowance+len(list)/allowedOf, nil
}
