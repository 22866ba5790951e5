package issuer

import (
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/order"
)

// Report is one daemon's model demand. It is a wire message.
type Report struct {
	// Models counts, by model, the requests in flight, those that wait, and those
	// that were refused since the last report.
	Models map[poplar.Model]float64 `json:"models"`
}

// reportLifetime is how long a report counts as demand.
const reportLifetime = 3 * time.Second

// usage sums the reports of the daemons.
type usage struct {
	reports map[poplar.Daemon]timedReport
}

// timedReport is a report with its expiry.
type timedReport struct {
	report Report
	expiry time.Time
}

func newUsage() usage { return usage{reports: map[poplar.Daemon]timedReport{}} }

// take records a report, which replaces the sender's last one.
func (u *usage) take(from poplar.Daemon, r Report, now time.Time) {
	u.reports[from] = timedReport{report: r, expiry: now.Add(reportLifetime)}
}

// demand sums the unexpired reports and removes the others.
func (u *usage) demand(now time.Time) order.Demand {
	sum := map[poplar.Model]float64{}
	for from, timed := range u.reports {
		if !now.Before(timed.expiry) {
			delete(u.reports, from)
			continue
		}
		for m, n := range timed.report.Models {
			sum[m] += n
		}
	}
	return order.Demand{Models: sum}
}
