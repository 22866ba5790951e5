package proxy

import (
	"time"

	"poplarbend.example/poplar/pkg/place"
	"poplarbend.example/poplar/pkg/speed"
)

// placement is what the choice of an upstream is based on for one service, published as a
// metric.
type placement struct {
	// LongSteps is the share of the upstreams for long prompts, in sixteenths, and
	// LongTokens the share of the tokens that long prompts bring.
	LongSteps  int     `json:"long_steps"`
	LongTokens float64 `json:"long_tokens"`
	// Others is the mean number of requests of other routers at an upstream, negative if
	// unknown, Size the mean tokens of a request and StayMs its mean time in flight.
	Others float64 `json:"others"`
	Size   float64 `json:"size"`
	StayMs int64   `json:"stay_ms"`
	// Measured is the number of upstreams with samples of their speed, Reported that of
	// upstreams whose load report is in use.
	Measured int `json:"measured"`
	Reported int `json:"reported"`
	// Slowest and Fastest are the extremes of the slowness of prefills, 1 for the usual one.
	Slowest   float64 `json:"slowest"`
	SlowestAt string  `json:"slowest_at"`
	Fastest   float64 `json:"fastest"`
	FastestAt string  `json:"fastest_at"`
}

// placements returns the placement of each service.
func (p *Proxy) placements() map[string]placement {
	now := time.Now()
	list := map[string]placement{}
	for service, group := range p.view.Load().services {
		f := p.facts.of(service)
		usual, _ := f.usual()
		s := placement{Others: usual.Others, Size: usual.Size, StayMs: usual.Stay.Milliseconds()}
		s.LongSteps, s.LongTokens = f.longSteps()
		for _, u := range group {
			e, loadAt := u.estimates()
			if now.Sub(loadAt) < maxLoadAge {
				s.Reported++
			}
			s.add(u, e)
		}
		list[string(service)] = s
	}
	return list
}

// add adds the estimate of an upstream.
func (s *placement) add(u *upstream, e speed.Estimate) {
	if e.Samples <= 0 {
		return
	}
	if s.Measured++; s.Measured == 1 || e.Prefill > s.Slowest {
		s.Slowest, s.SlowestAt = e.Prefill, string(u.name)
	}
	if s.Measured == 1 || e.Prefill < s.Fastest {
		s.Fastest, s.FastestAt = e.Prefill, string(u.name)
	}
}

// estimates returns the speed of the upstream and the time of its last load report.
func (u *upstream) estimates() (speed.Estimate, time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.estimate, u.loadAt
}

// countChoice counts how the upstream of an attempt was chosen.
func (p *Proxy) countChoice(c *place.Candidate) {
	switch {
	case c.Suspect:
		p.metrics.choices.Add("suspect", 1)
	case c.Full():
		p.metrics.choices.Add("full", 1)
	case c.AtHome():
		p.metrics.choices.Add("home", 1)
	default:
		p.metrics.choices.Add("other", 1)
	}
}
