package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is what one client attempt got.
type outcome struct {
	id       string
	router   *machine
	sent     time.Time
	status   int  // 0 without an answer
	sealed   bool // true if an engine answered
	begun    bool // true if an event of a sealed success arrived
	events   int
	complete bool // true if the answer ended as complete, by the framing of HTTP
	inside   bool // true if the last line of the answer lies inside an event
	whole    bool // true if all events and the end of the answer arrived
	ended    time.Time
}

// request is what a client sends.
type request struct {
	kind   string
	path   string
	parts  string // of the prompt
	prompt int    // tokens
	output int    // tokens at most
}

// clients sends requests to the routers, each on a connection of its own.
type clients struct {
	record *record
	fleet  *fleet
	key    string
	number atomic.Int64
	wait   sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string][]outcome // invariant: guarded by mu; by kind of request
}

func newClients(r *record, f *fleet, key string) *clients {
	return &clients{record: r, fleet: f, key: key, outcomes: map[string][]outcome{}}
}

const (
	clientDeadline = 15 * time.Second
	host           = "clients.example"
)

// send sends a request in the background, to the routers in turn.
func (c *clients) send(q request) {
	n := c.number.Add(1)
	router := c.fleet.routers[int(n)%len(c.fleet.routers)]
	id := fmt.Sprintf("%016x", 0x1c41d07be2000000+n)
	q.parts = strings.ReplaceAll(q.parts, "OWN", fmt.Sprintf("%08x", 0xe4000000+n))
	c.wait.Add(1)
	go c.run(id, router, q)
}

func (c *clients) run(id string, router *machine, q request) {
	defer c.wait.Done()
	o := c.call(id, router, q)
	c.record.note("client", "%s %s at %s: status %d, sealed=%t, events %d, complete=%t, whole=%t, %d ms", q.kind, id, router.name, o.status,
		o.sealed, o.events, o.complete, o.whole, o.ended.Sub(o.sent).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[q.kind] = append(c.outcomes[q.kind], o)
}

// call makes one client attempt.
func (c *clients) call(id string, router *machine, q request) (o outcome) {
	o = outcome{id: id, router: router, sent: time.Now()}
	defer func() { o.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	body := strings.NewReader("prompt of request " + id)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.at(c.fleet.ports.callers)+q.path, body)
	if err != nil {
		return o
	}
	req.Host = host
	req.Header.Set("Poplarbend-Attempt-Id", id)
	req.Header.Set("Poplarbend-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	req.Header.Set("Poplarbend-Model", "m")
	req.Header.Set("Poplarbend-Token-Usage", fmt.Sprintf("%d,%d", q.prompt, q.output))
	req.Header.Set("Poplarbend-Prefix-Hash", q.parts)
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return o
	}
	defer resp.Body.Close()
	o.status, o.sealed = resp.StatusCode, resp.Header.Get("Poplarbend-Response-Seal") != ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		o.inside = lines.Text() != ""
		if strings.HasPrefix(lines.Text(), "id:") {
			o.events++
		}
	}
	o.complete = lines.Err() == nil
	o.begun = o.status == http.StatusOK && o.sealed && o.events > 0
	o.whole = o.begun && o.complete && !o.inside && o.events == (q.output+eventTokens-1)/eventTokens
	return o
}

// list returns the outcomes of a kind of request that were sent in a span of time.
func (c *clients) list(kind string, from, to time.Time) []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []outcome
	for _, o := range c.outcomes[kind] {
		if !o.sent.Before(from) && o.sent.Before(to) {
			list = append(list, o)
		}
	}
	return list
}

// begun returns how many of the outcomes began at the first attempt.
func begun(list []outcome) int {
	count := 0
	for _, o := range list {
		if o.begun {
			count++
		}
	}
	return count
}

// statuses counts the outcomes by status.
func statuses(list []outcome) map[int]int {
	out := map[int]int{}
	for _, o := range list {
		out[o.status]++
	}
	return out
}

// each calls send every period until end.
func each(period time.Duration, end time.Time, send func()) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for now := range tick.C {
		if now.After(end) {
			return
		}
		send()
	}
}
