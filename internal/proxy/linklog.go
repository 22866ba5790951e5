package proxy

import (
	"time"

	"poplarbend.example/poplar/pkg/shed"
)

// What operators see of the link.

// linkState is what a log line reports changes of.
type linkState struct{ asks, closes, leaves bool }

// logLink logs a change of the link's state and what it is based on.
func (p *Proxy) logLink(load shed.Load, now time.Time) {
	l := p.link
	l.mu.Lock()
	state := linkState{asks: now.Before(l.askTill), closes: l.gate.Closes(now), leaves: l.gate.Leaves()}
	changed := state != l.logged
	l.logged = state
	asked, free := l.peers.Counts(now)
	known, age := l.peers.Known(), l.peers.Age(now)
	l.mu.Unlock()
	if !changed {
		return
	}
	p.log.Info("link", "asks", state.asks, "closes", state.closes, "leaves", state.leaves, "utilization", load.Utilization,
		"in_ms", load.Delays[shed.In].Milliseconds(), "out_ms", load.Delays[shed.Out].Milliseconds(), "backlog_ms", load.Backlog.Milliseconds(),
		"peers", known, "reports", asked, "free", free, "oldest_ms", age.Milliseconds(), "open", p.openRequests.Load(), "callers", p.callers.Load())
}

// linkStatus is the state of the link, published as a metric.
type linkStatus struct {
	Utilization float64 `json:"utilization"`
	In          int64   `json:"in_ms"`  // predicted delay
	Out         int64   `json:"out_ms"` // predicted delay
	Backlog     int64   `json:"backlog_ms"`
	Closes      bool    `json:"closes"` // true while callers' connections are closed after their responses
	Leaves      bool    `json:"leaves"` // true while the router is not ready because of its link
	Known       int     `json:"peers"`
	Reports     int     `json:"reports"` // peer routers that were asked recently
	Free        int     `json:"free"`    // those of them with headroom
}

func (p *Proxy) linkStatus() linkStatus {
	now := time.Now()
	l := p.link
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.account.Load(now)
	s := linkStatus{
		Utilization: load.Utilization, In: load.Delays[shed.In].Milliseconds(), Out: load.Delays[shed.Out].Milliseconds(),
		Backlog: load.Backlog.Milliseconds(), Closes: l.gate.Closes(now), Leaves: l.gate.Leaves(), Known: l.peers.Known(),
	}
	s.Reports, s.Free = l.peers.Counts(now)
	return s
}
