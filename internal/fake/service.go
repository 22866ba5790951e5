package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the plain service, which counts the runs of each request.

// The headers by which a test makes a call of the service go wrong.
const (
	// HeaderDelay holds the answer back; a duration such as 50ms.
	HeaderDelay = "X-Fake-Delay"
	// HeaderLose set to 1 runs the call and breaks the connection.
	HeaderLose = "X-Fake-Lose"
)

// Service is a stand-in for a plain service.
type Service struct {
	set    Settings
	beacon *beacon
	host   *host

	mu      sync.Mutex
	runs    map[string]int // invariant: guarded by mu; by request id
	open    int            // invariant: guarded by mu
	refused int            // invariant: guarded by mu; calls that were refused
	full    bool           // invariant: guarded by mu; true while calls are refused
	extra   http.Header    // invariant: guarded by mu; headers of all answers
}

// StartService listens, announces itself and serves until Leave or Kill.
func StartService(set Settings) (*Service, error) {
	set = set.filled()
	s := &Service{set: set, runs: map[string]int{}}
	h, err := listen(set.Listen, http.HandlerFunc(s.call))
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", set.Name, err)
	}
	s.host = h
	s.beacon = newBeacon(set, poplar.KindService, h.address(), s.load)
	h.wait.Add(1)
	go s.runBeacon()
	return s, nil
}

// Address returns the host and port that the service listens on.
func (s *Service) Address() string { return s.host.address() }

// Announcement returns the announcement of the service.
func (s *Service) Announcement() poplar.Announcement { return s.beacon.notice() }

// Runs returns how often the request with the given id was run.
func (s *Service) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Total returns the runs of all requests.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.runs {
		total += n
	}
	return total
}

// Say sets headers of all further answers, and whether they are refusals with 503.
func (s *Service) Say(full bool, header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full, s.extra = full, header
}

// Refused returns the number of calls that were refused.
func (s *Service) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// refuse writes what Say has set. It reports whether the call is refused.
func (s *Service) refuse(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.Copy(w.Header(), s.extra)
	if s.full {
		s.refused++
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.full
}

// Leave announces that the service takes no new work, waits until ctx is done
// for open calls, and stops.
func (s *Service) Leave(ctx context.Context) {
	s.beacon.leave(ctx)
	s.host.drain(ctx)
	s.Kill()
}

// Kill stops at once.
func (s *Service) Kill() { s.host.kill() }

func (s *Service) runBeacon() {
	defer s.host.wait.Done()
	s.beacon.run(s.host.ctx)
}

func (s *Service) load() poplar.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l poplar.Load
	l.Running[poplar.Normal] = s.open
	return l
}

// Receipt is the answer to a call.
type Receipt struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Request string `json:"request"`
	Run     int    `json:"run"`
	Bytes   int64  `json:"bytes"`
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.refuse(w) {
		return
	}
	id := r.Header.Get(poplar.HeaderRequest)
	run := s.begin(id)
	defer s.end()
	if delay, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil {
		s.pause(delay)
	}
	if r.Header.Get(HeaderLose) == "1" {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(poplar.HeaderRequest, id)
	// A router that left has nobody to tell.
	_ = json.NewEncoder(w).Encode(Receipt{
		Service: string(s.set.Name), Path: r.URL.Path, Request: id, Run: run, Bytes: size,
	})
}

func (s *Service) begin(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	s.runs[id]++
	return s.runs[id]
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

func (s *Service) pause(delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.host.ctx.Done():
	}
}
