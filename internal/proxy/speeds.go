package proxy

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/speed"
)

// usualPause is the pause to which pauses between events are compared before the median of
// the service is known. It cancels out.
const usualPause = 20 * time.Millisecond

// measureFirstEvent records the time to the first event of an attempt.
func (a *attempt) measureFirstEvent(now time.Time) {
	a.firstEventAt, a.eventsBefore = now, a.x.events
	if a.resumes {
		return // the prompt has to be read again, and so have the events
	}
	took, predicted := milliseconds(now.Sub(a.sentAt)), a.predicted
	base := a.x.p.facts.of(a.u.service).addFirstEvent(took, predicted, now)
	a.u.mu.Lock()
	defer a.u.mu.Unlock()
	a.u.speed.AddFirstEvent(took, base, predicted, now)
}

// measurePauses records the mean pause between the events of an attempt that ends at now.
func (a *attempt) measurePauses(now time.Time) {
	if events := a.x.events - a.eventsBefore; !a.firstEventAt.IsZero() && events > 0 {
		a.u.mu.Lock()
		defer a.u.mu.Unlock()
		a.u.speed.AddPause(milliseconds(now.Sub(a.firstEventAt))/float64(events), milliseconds(usualPause), now)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// updateEstimates compares the upstreams of each service with each other. It runs once in
// a sweep, so that no request takes the time for it.
func (p *Proxy) updateEstimates(now time.Time) {
	for _, group := range p.view.Load().services {
		meters := make([]*speed.Meter, 0, len(group))
		for _, u := range group {
			m := u.meter()
			meters = append(meters, &m)
		}
		usual := speed.NewUsual(meters, now)
		for i, u := range group {
			u.setEstimate(meters[i].Estimate(usual, now), usual.Pause(milliseconds(usualPause)))
		}
	}
}

// meter returns a copy of the samples.
func (u *upstream) meter() speed.Meter {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.speed
}

func (u *upstream) setEstimate(e speed.Estimate, pause float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.estimate, u.pause = e, pause
}

// countReport counts what an upstream reports of its load and speed.
func (p *Proxy) countReport(head *poplar.Head) {
	switch {
	case head.BadLoad:
		p.metrics.reports.Add("bad_load", 1)
	case head.BadSpeed:
		p.metrics.reports.Add("bad_speed", 1)
	case head.Slowness > 0:
		p.metrics.reports.Add("speed", 1)
	case head.HasLoad:
		p.metrics.reports.Add("no_speed", 1)
	default:
		p.metrics.reports.Add("none", 1)
	}
}
