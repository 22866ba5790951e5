package issuer

import "time"

// loadLimiter limits the number of loads per minute. Package order limits their
// bytes.
type loadLimiter struct {
	loads     []time.Time // invariant: times of the loads in the last window, oldest first
	notBefore time.Time   // no load is ordered before it
}

// window returns a time span and the number of loads that are allowed in it, for
// a rate of loads per minute that may be less than one.
func window(minute float64) (time.Duration, int) {
	if minute >= 1 {
		return time.Minute, int(minute)
	}
	return time.Duration(float64(time.Minute) / minute), 1
}

// room returns the number of loads that may be ordered at now.
func (p *loadLimiter) room(minute float64, now time.Time) int {
	if minute <= 0 || now.Before(p.notBefore) {
		return 0
	}
	span, most := window(minute)
	for len(p.loads) > 0 && now.Sub(p.loads[0]) >= span {
		p.loads = p.loads[1:]
	}
	return max(most-len(p.loads), 0)
}

// add records a load.
func (p *loadLimiter) add(now time.Time) { p.loads = append(p.loads, now) }

// delay defers loads until those of the preceding issuer have left the window, and
// until the store has served the largest model, which may have been its last load.
func (p *loadLimiter) delay(plan Plan, now time.Time) {
	if plan.loadsPerMinute <= 0 || plan.settings.StoreRate <= 0 {
		return
	}
	span, _ := window(plan.loadsPerMinute)
	largest := 0.0
	for _, m := range plan.settings.Models {
		largest = max(largest, m.Size)
	}
	p.notBefore = now.Add(max(span, time.Duration(largest/plan.settings.StoreRate*float64(time.Second))))
}
