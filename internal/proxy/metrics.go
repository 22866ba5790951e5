package proxy

import (
	"expvar"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/trace"
)

// status is a snapshot of the router's state, published as a metric.
type status struct {
	Revision  poplar.Revision `json:"revision"`
	Upstreams map[string]int  `json:"upstreams"` // by state
	Routers   int             `json:"routers"`
	Fresh     bool            `json:"fresh"`   // true if a control daemon that follows the log answered recently
	Open      int64           `json:"open"`    // requests in progress
	Callers   int64           `json:"callers"` // connections of callers
	// Overloaded is true while the router sends callers elsewhere, see dialTimes, and Busy
	// while it uses much of its processor time.
	Overloaded bool `json:"overloaded"`
	Busy       bool `json:"busy"`
	Ready      bool `json:"ready"`
	// Answers is the memory of answers that are not delivered yet, in bytes, and Evicted the
	// number of answers that were given up to make room.
	Answers int64 `json:"answers"`
	Bodies  int64 `json:"bodies"` // memory of bodies of requests in progress, in bytes
	Evicted int64 `json:"evicted"`
}

// status returns the current status.
func (p *Proxy) status() status {
	v := p.view.Load()
	s := status{
		Upstreams: map[string]int{}, Routers: len(v.routers), Fresh: p.fresh(time.Now()), Open: p.openRequests.Load(), Ready: p.Ready(),
		Callers: p.callers.Load(), Overloaded: p.dials.overloaded(time.Now()), Busy: p.cpu.busy.Load(),
		Answers: p.answers.Used(), Bodies: p.bodies.Used(), Evicted: p.answers.Evicted(),
	}
	if v.table != nil {
		s.Revision = v.table.Plan().Revision
	}
	for _, group := range v.services {
		for _, u := range group {
			switch {
			case !u.acceptsWork():
				s.Upstreams["leaving"]++
			case u.silent.Load():
				s.Upstreams["silent"]++
			default:
				s.Upstreams["ready"]++
			}
		}
	}
	return s
}

type metrics struct {
	requests       *expvar.Map // by outcome
	firstByte      *trace.Timing
	wholeResponse  *trace.Timing
	retriesRefused *expvar.Int
	resumed        *expvar.Int
	draws          *expvar.Int
	drawsFailed    *expvar.Int
	loans          *expvar.Int // loan requests to other routers
	loansFailed    *expvar.Int
	tokenRefusals  *expvar.Int // requests refused for lack of tokens
	diverted       *expvar.Map // by reason
	linkRefusals   *expvar.Int // requests refused for the backlog of the link
	peersAsked     *expvar.Int // questions to other routers for their headroom
	peersSilent    *expvar.Int // those of them without an answer
	gateWaits      [poplar.Ranks]*trace.Timing
	gateRefusals   *expvar.Map // by reason
	reportsIgnored *expvar.Int // implausible load reports of upstreams
	choices        *expvar.Map // attempts by how their upstream was chosen
	reports        *expvar.Map // responses by what they report of load and speed
	withheld       *expvar.Map // responses that callers did not get, since they do not state what their status promises, by status
}

func newMetrics(v *trace.Vars) metrics {
	m := metrics{
		requests:       v.Group("requests"),
		firstByte:      v.Timing("first_byte"),
		wholeResponse:  v.Timing("whole_answer"),
		retriesRefused: v.Count("repeats_refused"),
		resumed:        v.Count("streams_resumed"),
		draws:          v.Count("draws"),
		drawsFailed:    v.Count("draws_failed"),
		loans:          v.Count("loans"),
		loansFailed:    v.Count("loans_failed"),
		tokenRefusals:  v.Count("token_refusals"),
		diverted:       v.Group("diverted"),
		linkRefusals:   v.Count("link_refusals"),
		peersAsked:     v.Count("peers_asked"),
		peersSilent:    v.Count("peers_silent"),
		gateRefusals:   v.Group("gate_refusals"),
		reportsIgnored: v.Count("reports_ignored"),
		choices:        v.Group("choices"),
		reports:        v.Group("upstream_reports"),
		withheld:       v.Group("responses_withheld"),
	}
	for i := range m.gateWaits {
		m.gateWaits[i] = v.Timing("gate_wait_" + poplar.Rank(i).String())
	}
	return m
}

// shortageLog logs shortages of tokens, once in a sweep.
type shortageLog struct {
	refusals, loans, loansFailed, draws, drawsFailed int64 // invariant: the metrics at the last line
}

// logShortage logs what was done about a shortage since the last sweep, if requests were
// refused for lack of tokens or loans were asked for.
func (p *Proxy) logShortage() {
	now := shortageLog{
		refusals: p.metrics.tokenRefusals.Value(), loans: p.metrics.loans.Value(), loansFailed: p.metrics.loansFailed.Value(),
		draws: p.metrics.draws.Value(), drawsFailed: p.metrics.drawsFailed.Value(),
	}
	last := p.shortages
	if now.refusals == last.refusals && now.loans == last.loans {
		return
	}
	p.shortages = now
	p.log.Info("tokens short", "refusals", now.refusals-last.refusals, "loans", now.loans-last.loans,
		"loans_failed", now.loansFailed-last.loansFailed, "draws", now.draws-last.draws,
		"draws_failed", now.drawsFailed-last.drawsFailed, "open", p.openRequests.Load())
}

// logOverload logs that the router has become overloaded or no longer is.
func (p *Proxy) logOverload(now time.Time) {
	overloaded, typical := p.dials.state(now)
	if overloaded == p.loggedOverload {
		return
	}
	p.loggedOverload = overloaded
	p.log.Warn("overload", "overloaded", overloaded, "connect_ms", typical.Milliseconds(), "open", p.openRequests.Load(),
		"callers", p.callers.Load(), "busy", p.cpu.busy.Load())
}
