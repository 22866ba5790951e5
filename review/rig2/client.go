package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// This file holds the clients.

// request is a request of a client.
type request struct {
	id, path, key string
	usage, prefix string // of a prompt, or ""
	body          string
	wait          time.Duration
}

func (q *request) head() string {
	lines := []string{
		"POST " + q.path + " HTTP/1.1", "Host: " + host, headerAttempt + ": " + q.id, fmt.Sprintf("%s: %d", headerLeft, q.wait.Milliseconds()),
		"Authorization: Bearer " + q.key, fmt.Sprintf("Content-Length: %d", len(q.body)),
	}
	if q.usage != "" {
		lines = append(lines, "Poplarbend-Model: m", headerUsage+": "+q.usage, headerPrefix+": "+q.prefix)
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	whole  bool // false if the connection ended before the answer did
	retry  string
	err    error
}

// send sends a request on a connection and reads the answer.
func (q *request) send(c net.Conn) answer {
	_ = c.SetDeadline(time.Now().Add(q.wait + time.Second))
	if _, err := io.WriteString(c, q.head()+q.body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), whole: err == nil, retry: resp.Header.Get("Retry-After"), err: err}
}

// dialAndSend sends a request on a new connection.
func (q *request) dialAndSend(at string) answer {
	c, err := net.DialTimeout("tcp4", at, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return q.send(c)
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, whole %v, %d events, error %v", a.status, a.whole, strings.Count(a.body, "\n\n"), a.err)
}

// ready asks the readiness of a router.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.at(portReady) + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
