package issuer

import "time"

// This file holds the pace of loads by number; package order paces their bytes.

// pace bounds the loads in any minute.
type pace struct {
	given []time.Time // invariant: loads of the last window, oldest first
	quiet time.Time   // no load before it
}

// window returns the time over which at most the returned number of loads may
// be given, when each minute has room for the given number, which may be less
// than one.
func window(minute float64) (time.Duration, int) {
	if minute >= 1 {
		return time.Minute, int(minute)
	}
	return time.Duration(float64(time.Minute) / minute), 1
}

// room returns the loads that may be given at now.
func (p *pace) room(minute float64, now time.Time) int {
	if minute <= 0 || now.Before(p.quiet) {
		return 0
	}
	span, most := window(minute)
	for len(p.given) > 0 && now.Sub(p.given[0]) >= span {
		p.given = p.given[1:]
	}
	return max(most-len(p.given), 0)
}

// took notes a load.
func (p *pace) took(now time.Time) { p.given = append(p.given, now) }

// hold keeps loads back until those of the holder before are out of the window,
// and the store has given the largest model, which may have been its last.
func (p *pace) hold(plan Plan, now time.Time) {
	if plan.minute <= 0 || plan.settings.StoreRate <= 0 {
		return
	}
	span, _ := window(plan.minute)
	largest := 0.0
	for _, m := range plan.settings.Models {
		largest = max(largest, m.Size)
	}
	p.quiet = now.Add(max(span, time.Duration(largest/plan.settings.StoreRate*float64(time.Second))))
}
