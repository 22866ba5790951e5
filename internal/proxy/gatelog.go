package proxy

import (
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/admit"
)

// What operators see of the gates.

// gateInputs is what the limit of a gate was computed from.
type gateInputs struct {
	Bound     bool    `json:"bound"`
	Capacity  float64 `json:"capacity"` // slots of the usable upstreams
	Held      float64 `json:"held"`     // requests that they run and queue, by their reports
	Queued    float64 `json:"queued"`   // those that they queue
	Upstreams int     `json:"upstreams"`
	Reports   int     `json:"reports"` // upstreams with a recent report
	AgeMs     int64   `json:"age"`     // mean age of the recent reports, by their weights
	OldestMs  int64   `json:"oldest"`  // age of the oldest recent report
	Routers   int     `json:"routers"`
}

func newGateInputs(t *admit.Tally, local admit.Local, bound bool) gateInputs {
	return gateInputs{
		Bound: bound, Capacity: t.Capacity(), Held: t.Held(), Queued: t.Queued(), Upstreams: t.Upstreams(), Reports: t.Recent(),
		AgeMs: t.Age().Milliseconds(), OldestMs: t.Oldest().Milliseconds(), Routers: local.Routers,
	}
}

// gateStatus is a snapshot of a gate, published as a metric.
type gateStatus struct {
	admit.Status
	Inputs gateInputs `json:"inputs"`
}

// gateStatuses returns the state of all gates.
func (p *Proxy) gateStatuses() map[poplar.Service]gateStatus {
	p.gates.mu.Lock()
	defer p.gates.mu.Unlock()
	all := make(map[poplar.Service]gateStatus, len(p.gates.byService))
	for service, g := range p.gates.byService {
		all[service] = gateStatus{Status: g.admission.Status(), Inputs: g.inputs}
	}
	return all
}

// logGate logs the limit of a gate and its inputs.
func (p *Proxy) logGate(service poplar.Service, s admit.Status, in gateInputs) {
	p.log.Info("admission", "service", string(service), "bound", in.Bound, "limit", s.Limit, "open", s.Open, "waiting", s.Waiting,
		"started", s.Counts.Started, "refused", s.Counts.Refused, "capacity", in.Capacity, "held", in.Held, "queued", in.Queued,
		"upstreams", in.Upstreams, "reports", in.Reports, "age_ms", in.AgeMs, "oldest_ms", in.OldestMs, "routers", in.Routers)
}
