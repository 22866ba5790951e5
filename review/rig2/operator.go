package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// This file holds the operator.

// The routes of all plays.
const (
	host       = "ficu95.example"
	pathAsk    = "/lohu930/" // streams that may be resumed
	pathStream = "/pufi791/" // streams that may not
	pathClaim  = "/puxa403/" // unsafe
	pathLook   = "/zeda118/" // safe
	pathWhole  = "/mika552/" // safe, of the model engines
)

// tenant is a tenant of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	Priority int      `json:"priority"`
	Prepaid  int64    `json:"prepaid"`
}

// config is what the operator wants.
type config struct {
	version int
	tenants []tenant
	more    []map[string]any // further routes
}

const timeoutMs = 15000

func route(name, prefix, kind, service string, resumable bool, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 500, "priority": 0,
		"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable, "gapAimMs": 500,
	}
}

func (c *config) body() []byte {
	routes := append([]map[string]any{
		route("r-6y7z5k6", pathAsk, "streaming", "huvo11a", true, 2), route("r-hvz3pfi", pathStream, "streaming", "huvo11a", false, 1),
		route("r-1pq9x2m", pathClaim, "unsafe", "wuno96b", false, 1), route("r-8w3kd0c", pathLook, "safe", "wuno96b", false, 2),
	}, c.more...)
	body, err := json.Marshal(map[string]any{
		"version": c.version, "routes": routes,
		"services": []any{
			map[string]any{
				"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kvCapacity": 431128, "stride": 6, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "wuno96b", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": c.tenants,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// operator sends orders to the daemons that serve control.
type operator struct {
	rig    *rig
	at     []string // addresses
	client *http.Client
	next   int
}

// operatorTime is how long the operator waits for an answer.
const operatorTime = time.Second

func newOperator(r *rig, controls []*machine) *operator {
	o := &operator{rig: r, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, m := range controls {
		o.at = append(o.at, m.at(portControl))
	}
	return o
}

func (o *operator) call(method, url string, body []byte, limit time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// replace sends a configuration until it is acknowledged, to one daemon after the other.
func (o *operator) replace(c *config, limit time.Duration) error {
	body := c.body()
	for end := time.Now().Add(limit); time.Now().Before(end); {
		at := o.at[o.next%len(o.at)]
		status, _, err := o.call(http.MethodPost, "http://"+at+"/api/Config.Replace", body, operatorTime)
		if err == nil && status == http.StatusOK {
			o.rig.note("version %d acknowledged by %s", c.version, at)
			return nil
		}
		o.rig.note("version %d at %s: status %d, %v", c.version, at, status, err)
		o.next++
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("version %d: no acknowledgement", c.version)
}

// describe reads the configuration back at one daemon. It returns its version.
func (o *operator) describe(at string) (version int, ok bool) {
	status, data, err := o.call(http.MethodGet, "http://"+at+"/api/Config.Describe", nil, operatorTime)
	var got struct {
		Version int `json:"version"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &got) != nil {
		o.rig.note("read at %s: status %d, %v", at, status, err)
		return 0, false
	}
	o.rig.note("read at %s: version %d", at, got.Version)
	return got.Version, true
}
