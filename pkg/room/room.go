// Package room predicts whether a request fits into the memory and the slots of an
// upstream that many routers use.
//
// A router knows its own requests. It learns of the others from the reports in its own
// responses, which tell of one upstream each and soon age. An old report is therefore
// replaced step by step by the mean of the service. What is predicted for an upstream of
// which little is known is thus the mean, and upstreams that are known to have more room
// are preferred.
package room

import (
	"math"
	"time"
)

// Limits are the memory of an upstream in tokens and the requests that it runs at once,
// each 0 if unknown. An unknown limit does not bind.
type Limits struct {
	Tokens, Slots float64
}

// State is what a router knows of one upstream.
type State struct {
	// Tokens and Requests are those of this router that are in flight there.
	Tokens, Requests float64
	// Others is the number of requests of other routers by the last report, running and
	// waiting.
	Others float64
	// Age is the age of that report, negative without one.
	Age time.Duration
}

const (
	// meanTime is the time in which the weight of a sample in the means of a service falls
	// to 1/e. The load of a service changes within seconds.
	meanTime = 3 * time.Second
	// minSamples is the weight of reports from which the mean is used. Without it nothing
	// is known of other routers, and only the router's own requests count.
	minSamples = 3.0
)

// mean is a mean whose samples lose weight with age. The zero value has none.
type mean struct {
	value, weight float64 // invariant: weight >= 0, as of at
	at            time.Time
}

func (m *mean) add(value float64, now time.Time) {
	m.weight = 1 + m.weight*math.Exp(-max(0, float64(now.Sub(m.at))/float64(meanTime)))
	m.value += (value - m.value) / m.weight
	m.at = now
}

// Service collects the means of a service at one router. The zero value has none. It is
// not safe for concurrent use.
type Service struct {
	others, size, stay mean
}

// AddReport records the number of requests of other routers that an upstream reported.
func (s *Service) AddReport(others float64, now time.Time) { s.others.add(max(0, others), now) }

// AddRequest records the tokens of a request that has ended, and how long it was in flight.
func (s *Service) AddRequest(tokens float64, stay time.Duration, now time.Time) {
	s.size.add(tokens, now)
	s.stay.add(float64(stay), now)
}

// Usual returns the means as of the last samples.
func (s *Service) Usual() Usual {
	u := Usual{Size: s.size.value, Others: -1, Stay: time.Duration(s.stay.value)}
	if s.others.weight >= minSamples {
		u.Others = s.others.value
	}
	return u
}

// Usual is what a router knows of all upstreams of a service.
type Usual struct {
	Size   float64       // mean tokens of a request
	Others float64       // mean requests of other routers at an upstream, negative if unknown
	Stay   time.Duration // mean time that a request is in flight
}

// minStay is the time for which a report is used at least. Reports are 200 ms old when
// they arrive.
const minStay = 200 * time.Millisecond

// Load is what a router predicts of an upstream.
type Load struct {
	Tokens, Requests float64
}

// Load predicts the load of an upstream.
func (u Usual) Load(s State) Load {
	others := max(0, u.Others)
	if s.Age >= 0 {
		// The requests of the report end, and others take their place.
		kept := 1 / (1 + float64(s.Age)/float64(max(u.Stay, minStay)))
		others += kept * kept * (s.Others - others)
	}
	return Load{Tokens: s.Tokens + others*u.Size, Requests: s.Requests + others}
}

// Free returns the share of the memory that is left with a request of the given tokens. It
// is negative if the request does not fit, also for lack of a slot, and 1 if no limit is
// known.
func (l Load) Free(limits Limits, tokens float64) float64 {
	free := 1.0
	if limits.Tokens > 0 {
		free = 1 - (l.Tokens+tokens)/limits.Tokens
	}
	if limits.Slots > 0 && l.Requests+1 > limits.Slots {
		free = min(free, 1-(l.Requests+1)/limits.Slots)
	}
	return free
}

// crowdedFrom is the free share of the memory below which upstreams with more room are
// preferred. Of 30 requests that fill the memory on the mean, half deviate by less than a
// fourth of the memory.
const crowdedFrom = 0.5

// Crowding returns 0 for an upstream with enough room, and more than 1 for one into which
// the request does not fit.
func Crowding(free float64) float64 { return max(0, (crowdedFrom-free)/crowdedFrom) }
