package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// The tenant's budget and the requests of its client, in tokens.
const (
	budgetPrepaid  = 50_000
	budgetPrompt   = 1000
	budgetOutput   = 60
	budgetRequests = 200
)

// playBudget adds a route on which model engines answer whole, and spends on it.
func playBudget(r *rig) (bool, error) {
	r.quiet = true
	engines := []*engine{newEngine(r, 1, "pool"), newEngine(r, 2, "pool")}
	routes := []map[string]any{route("stream", "streaming", "pool", 8000)}
	routers, err := r.startFleet(2, configuration(budgetPrepaid, routes...), engines...)
	if err != nil {
		return false, err
	}
	for _, p := range routers {
		if err := await("a warm router", 20*time.Second, func() bool {
			return r.generate(p, "stream", fmt.Sprint("warm-", time.Now().UnixNano()), 1, 6) == http.StatusOK
		}); err != nil {
			return false, err
		}
	}
	path := "stream/added"
	added := route("stream/added", "streaming", "pool", 8000)
	if r.trouble {
		path = "whole"
		added = route("whole", "safe", "pool", 8000)
		added["sticky"] = true
	}
	if err := r.configure(configuration(budgetPrepaid, append(routes, added)...)); err != nil {
		return false, err
	}
	r.note("the configuration adds the route /%s/ of type %v", path, added["routeType"])
	for _, p := range routers {
		if err := await("the added route", 10*time.Second, func() bool {
			return r.generate(p, path, fmt.Sprint("probe-", time.Now().UnixNano()), 1, 6) == http.StatusOK
		}); err != nil {
			return false, err
		}
	}
	counts := map[int]int{}
	spent := 0
	for n := range budgetRequests {
		id := fmt.Sprintf("spend-%d", n)
		status := r.generate(routers[n%2], path, id, budgetPrompt, budgetOutput)
		counts[status]++
		if status == http.StatusOK {
			spent += budgetPrompt + budgetOutput
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.note("answers by status: %v; tokens of the requests that were answered whole: %d, prepaid: %d", counts, spent, budgetPrepaid)
	return spent > budgetPrepaid, nil
}

// generate sends a request with tokens and returns the status of a whole answer, or 0.
func (r *rig) generate(p *process, path, id string, prompt, output int) int {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/x", p.address, r.ports.callers, path), nil)
	if err != nil {
		return 0
	}
	req.Host = host
	req.Header.Set("Poplarbend-Attempt-Id", id)
	req.Header.Set("Poplarbend-Model", "m")
	req.Header.Set("Poplarbend-Token-Usage", fmt.Sprintf("%d,%d", prompt, output))
	req.Header.Set("Poplarbend-Prefix-Hash", fmt.Sprintf("%x:%d", len(id), prompt))
	req.Header.Set("Poplarbend-Deadline-Ms", "5000")
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
