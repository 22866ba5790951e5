package limit

import (
	"math"
	"sort"
	"time"

	"poplarbend.example/poplar"
)

// Reason tells why an upstream is ejected.
type Reason string

// The reasons for an ejection.
const (
	ReasonNone     Reason = ""
	ReasonFailures Reason = "failures" // several consecutive failures
	ReasonSlow     Reason = "slow"     // much slower than the median of its group
)

// Health is the input of Eject for one upstream.
type Health struct {
	name            poplar.Upstream
	group           string // comparable upstreams, such as those that serve one model
	failures        int
	slowdown        float64
	ejectedUntil    time.Time // zero when no ejection is in force
	recentEjections int       // lengthens the next ejection
}

// NewHealth returns the health of an upstream in a group of comparable
// upstreams. failures counts consecutive failures; slowdown is the ratio of the
// measured to the predicted time to first token.
func NewHealth(name poplar.Upstream, group string, failures int, slowdown float64) Health {
	return Health{name: name, group: group, failures: failures, slowdown: slowdown}
}

// WithEjection returns a copy of h with an ejection that ends at the given time
// and the given number of recent ejections.
func (h Health) WithEjection(until time.Time, recent int) Health {
	h.ejectedUntil, h.recentEjections = until, recent
	return h
}

// Ejection is the decision to send no new requests to an upstream until a given
// time.
type Ejection struct {
	name   poplar.Upstream
	until  time.Time
	reason Reason
}

// Name returns the name of the upstream.
func (e Ejection) Name() poplar.Upstream { return e.name }

// Until returns the end of the ejection.
func (e Ejection) Until() time.Time { return e.until }

// Reason returns the reason for the ejection.
func (e Ejection) Reason() Reason { return e.reason }

// Eject returns the upstreams to eject at now, sorted by name. In each group
// the ejected upstreams, including those ejected earlier, never exceed the
// share given in the settings; the worst upstreams are ejected first.
func Eject(all []Health, s Settings, now time.Time) []Ejection {
	groups := map[string][]Health{}
	for _, h := range all {
		groups[h.group] = append(groups[h.group], h)
	}
	var ejections []Ejection
	for _, group := range groups {
		ejections = append(ejections, ejectGroup(group, s, now)...)
	}
	sort.Slice(ejections, func(i, j int) bool { return ejections[i].name < ejections[j].name })
	return ejections
}

// ejectGroup returns the ejections of one group, worst first.
func ejectGroup(group []Health, s Settings, now time.Time) []Ejection {
	remaining := int(s.Share * float64(len(group)))
	var eligible []Health
	for _, h := range group {
		if now.Before(h.ejectedUntil) {
			remaining--
			continue
		}
		eligible = append(eligible, h)
	}
	median := medianSlowdown(eligible)
	sort.Slice(eligible, func(i, j int) bool { return worse(eligible[i], eligible[j]) })
	var ejections []Ejection
	for _, h := range eligible {
		reason := ejectionReason(h, s, median)
		if reason == ReasonNone || len(ejections) >= remaining {
			continue
		}
		ejections = append(ejections, Ejection{name: h.name, until: now.Add(ejectionTime(h.recentEjections, s)), reason: reason})
	}
	return ejections
}

// ejectionReason returns the reason to eject h, or ReasonNone.
func ejectionReason(h Health, s Settings, median float64) Reason {
	switch {
	case h.failures >= s.Failures:
		return ReasonFailures
	case h.slowdown >= s.Outlier*median:
		return ReasonSlow
	default:
		return ReasonNone
	}
}

// worse reports whether a is ejected before b: the one with more failures, or
// else the slower one.
func worse(a, b Health) bool {
	if a.failures != b.failures {
		return a.failures > b.failures
	}
	if a.slowdown != b.slowdown {
		return a.slowdown > b.slowdown
	}
	return a.name < b.name
}

// medianSlowdowns returns the median slowdown of each group, at least 1.
func medianSlowdowns(all []Health) map[string]float64 {
	groups := map[string][]Health{}
	for _, h := range all {
		groups[h.group] = append(groups[h.group], h)
	}
	medians := make(map[string]float64, len(groups))
	for name, group := range groups {
		medians[name] = medianSlowdown(group)
	}
	return medians
}

func medianSlowdown(group []Health) float64 {
	if len(group) == 0 {
		return 1
	}
	slowdowns := make([]float64, len(group))
	for i, h := range group {
		slowdowns[i] = h.slowdown
	}
	sort.Float64s(slowdowns)
	return max(slowdowns[(len(slowdowns)-1)/2], 1)
}

// ejectionTime returns the duration of the next ejection. It doubles with each
// recent ejection, up to the longest duration in the settings.
func ejectionTime(recent int, s Settings) time.Duration {
	factor := math.Pow(2, float64(min(recent, 16)))
	return min(time.Duration(factor*float64(s.Eject)), s.Longest)
}
