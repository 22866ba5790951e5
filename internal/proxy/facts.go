package proxy

import (
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/place"
	"poplarbend.example/poplar/pkg/room"
	"poplarbend.example/poplar/pkg/speed"
)

// facts holds what the router has observed of each service as a whole. It is safe for
// concurrent use.
type facts struct {
	mu       sync.Mutex
	services map[poplar.Service]*serviceFacts // invariant: guarded by mu
}

// of returns the facts of a service.
func (f *facts) of(service poplar.Service) *serviceFacts {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		if f.services == nil {
			f.services = map[poplar.Service]*serviceFacts{}
		}
		s = &serviceFacts{}
		f.services[service] = s
	}
	return s
}

// heardUpstreams is the number of upstreams whose reports are remembered as the last ones.
const heardUpstreams = 8

// serviceFacts is what the router has observed of a service. It is safe for concurrent use.
type serviceFacts struct {
	mu      sync.Mutex
	base    speed.Base                // invariant: guarded by mu
	lengths place.Lengths             // invariant: guarded by mu
	room    room.Service              // invariant: guarded by mu
	heard   [heardUpstreams]*upstream // invariant: guarded by mu; ring of those that reported last
	next    int                       // invariant: guarded by mu; the place in heard for the next one
}

// addFirstEvent records the time to a first event, in milliseconds, and returns the part
// of it that is not prefill.
func (s *serviceFacts) addFirstEvent(took, predicted float64, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.base.Add(took, predicted, now)
}

// addReport records that u reported the given number of requests of other routers.
func (s *serviceFacts) addReport(u *upstream, others int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.AddReport(float64(others), now)
	s.heard[s.next] = u
	s.next = (s.next + 1) % heardUpstreams
}

// addRequest records a request that has ended.
func (s *serviceFacts) addRequest(tokens poplar.Tokens, stay time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.AddRequest(float64(tokens), stay, now)
}

// usual returns the means of the service and the upstreams that reported last.
func (s *serviceFacts) usual() (room.Usual, [heardUpstreams]*upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.room.Usual(), s.heard
}

// addPrompt records a prompt by the tokens that no other request shares.
func (s *serviceFacts) addPrompt(own poplar.Tokens, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lengths.Add(float64(own), now)
}

// longSteps returns the share of the upstreams for long prompts, see place.Lengths, and the
// share of the tokens that these prompts bring.
func (s *serviceFacts) longSteps() (steps int, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lengths.Steps(), s.lengths.Share()
}
