// Package speed estimates how fast upstreams are, relative to the other upstreams of
// their service, from their responses and reports.
//
// A router measures a response from outside: the time to its first event includes the
// network and the router itself. Estimates are therefore relative to the median of
// the service as seen by the same router, which cancels what is common to all
// upstreams. Without samples an upstream counts as usual.
package speed

import (
	"math"
	"time"
)

const (
	// keepTime is the time in which the weight of a sample falls to 1/e. A router of a
	// large fleet hears from one upstream every 15 s or so, so it must keep several
	// samples of it.
	keepTime = time.Minute
	// priorSamples is the weight of the usual speed beside the samples. Two samples of
	// times to the first event are as likely to show a cached prompt as a fast upstream.
	priorSamples = 2.0
	// A sample counts as at most maxRatio times faster or slower than predicted: a
	// prompt part that another router had cached, or a stalled connection, gives any ratio.
	maxRatio = 4.0
	// noise is the deviation of a time to the first event that the network and the
	// router cause, in milliseconds. Samples of shorter prefills have less weight.
	noise = 30.0
	// minPrefill is the shortest predicted prefill that is used as a sample, in
	// milliseconds.
	minPrefill = 5.0
	// A report of the momentary speed changes many times a second and is 200 ms old when
	// it arrives, so at most half of its deviation from the mean of the reports still
	// holds, and none after maxReportAge.
	reportWeight = 0.5
	maxReportAge = time.Second
)

// average is a weighted mean of logarithms of ratios whose samples lose weight with
// age. The zero value has no samples.
type average struct {
	sum, weight float64 // invariant: weight >= 0, as of at
	at          time.Time
}

func (a *average) add(ratio, weight float64, now time.Time) {
	keep := a.kept(now)
	limit := math.Log(maxRatio)
	a.sum = a.sum*keep + weight*min(max(math.Log(ratio), -limit), limit)
	a.weight = a.weight*keep + weight
	a.at = now
}

// kept returns the part of the weight that is left at now.
func (a *average) kept(now time.Time) float64 {
	return math.Exp(-max(0, float64(now.Sub(a.at))/float64(keepTime)))
}

// shrunk returns the mean less usual, shrunk to prior by the weight of the samples.
func (a *average) shrunk(usual, prior float64, now time.Time) float64 {
	weight := a.weight * a.kept(now)
	if weight <= 0 {
		return prior
	}
	return (weight*(a.sum/a.weight-usual) + priorSamples*prior) / (weight + priorSamples)
}

// Meter collects samples of one upstream. The zero value has none. It is not safe for
// concurrent use.
type Meter struct {
	prefill, step, reports average
	deviation              float64 // of the last report from the mean of the reports, as a logarithm
	reportedAt             time.Time
}

// AddFirstEvent records the time of a first event. predicted is the time that the
// prefill of the prompt would take at the usual speed, and base the part of the time
// that is not prefill, see Base. All are in milliseconds.
func (m *Meter) AddFirstEvent(took, base, predicted float64, now time.Time) {
	if predicted < minPrefill || !(took > 0) {
		return
	}
	m.prefill.add(max(took-base, 1)/predicted, predicted/(predicted+noise), now)
}

// AddPause records the mean pause between the events of a stream, in milliseconds.
// usual is a constant of the service, since only the ratio to other upstreams counts.
func (m *Meter) AddPause(mean, usual float64, now time.Time) {
	if mean > 0 && usual > 0 {
		m.step.add(mean/usual, 1, now)
	}
}

// AddReport records a slowness that the upstream reported of itself, 1 for the usual one.
func (m *Meter) AddReport(slowness float64, now time.Time) {
	if !(slowness > 0) {
		return
	}
	m.reports.add(slowness, 1, now)
	m.deviation = math.Log(slowness) - m.reports.sum/m.reports.weight
	m.reportedAt = now
}

// Estimate is the speed of an upstream relative to the usual one of its service.
type Estimate struct {
	// Prefill and Step are the factors by which prefills and steps are slower than
	// usual. Both are 1 without samples, and 0 in the zero value for the same.
	Prefill, Step float64
	// Samples is the weight of the times to first events behind Prefill.
	Samples float64
	// momentary is the factor of the last report over the mean of the reports.
	momentary  float64
	reportedAt time.Time
}

// Estimate returns the speed relative to the usual one. What the upstream reports of
// itself is the prior of what is measured: reports may or may not include lasting
// differences between upstreams.
func (m *Meter) Estimate(usual Usual, now time.Time) Estimate {
	reported := m.reports.shrunk(usual.report, 0, now)
	return Estimate{
		Prefill:    math.Exp(m.prefill.shrunk(usual.prefill, reported, now)),
		Step:       math.Exp(m.step.shrunk(usual.step, reported, now)),
		Samples:    m.prefill.weight * m.prefill.kept(now),
		momentary:  math.Exp(m.deviation),
		reportedAt: m.reportedAt,
	}
}

// At returns the slowness of prefills and steps at now, with the last report by its age.
func (e *Estimate) At(now time.Time) (prefill, step float64) {
	prefill, step = e.Prefill, e.Step
	if prefill == 0 {
		prefill, step = 1, 1
	}
	if age := now.Sub(e.reportedAt); age < maxReportAge {
		factor := 1 + reportWeight*(e.momentary-1)*(1-float64(max(0, age))/float64(maxReportAge))
		prefill, step = prefill*factor, step*factor
	}
	return prefill, step
}

// ReportedAt returns the time of the last report, zero without one.
func (e *Estimate) ReportedAt() time.Time { return e.reportedAt }
