package issuer

import "time"

// loadLimiter limits the number of loads per minute. Package order limits their
// bytes.
type loadLimiter struct {
	loads     []time.Time // invariant: times of the loads in the last window, oldest first
	notBefore time.Time   // no load is ordered before it
}

// window returns a time span and the number of loads that are allowed in it, for
// a rate of perMinute loads per minute, which may be less than one.
func window(perMinute float64) (time.Duration, int) {
	if perMinute >= 1 {
		return time.Minute, int(perMinute)
	}
	return time.Duration(float64(time.Minute) / perMinute), 1
}

// room returns the number of loads that may be ordered at now.
func (l *loadLimiter) room(perMinute float64, now time.Time) int {
	if perMinute <= 0 || now.Before(l.notBefore) {
		return 0
	}
	span, limit := window(perMinute)
	for len(l.loads) > 0 && now.Sub(l.loads[0]) >= span {
		l.loads = l.loads[1:]
	}
	return max(limit-len(l.loads), 0)
}

// add records a load.
func (l *loadLimiter) add(now time.Time) { l.loads = append(l.loads, now) }

// delay defers loads until those of the preceding issuer have left the window, and
// until the store has served the largest model, which may have been its last load.
func (l *loadLimiter) delay(plan Plan, now time.Time) {
	if plan.loadsPerMinute <= 0 || plan.settings.StoreRate <= 0 {
		return
	}
	span, _ := window(plan.loadsPerMinute)
	largest := 0.0
	for _, m := range plan.settings.Models {
		largest = max(largest, m.Size)
	}
	l.notBefore = now.Add(max(span, time.Duration(largest/plan.settings.StoreRate*float64(time.Second))))
}
