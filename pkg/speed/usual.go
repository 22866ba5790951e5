package speed

import (
	"math"
	"slices"
	"time"
)

// Usual is the usual speed of the upstreams of a service: medians of their means. The
// zero value stands for upstreams without samples.
type Usual struct {
	prefill, step, report float64 // invariant: logarithms of ratios
}

// NewUsual returns the usual speed of the upstreams with the given meters.
func NewUsual(meters []*Meter, now time.Time) Usual {
	scratch := make([]float64, 0, len(meters))
	return Usual{
		prefill: median(scratch, meters, now, func(m *Meter) *average { return &m.prefill }),
		step:    median(scratch, meters, now, func(m *Meter) *average { return &m.step }),
		report:  median(scratch, meters, now, func(m *Meter) *average { return &m.reports }),
	}
}

// Pause returns the usual pause between events, given the constant of AddPause.
func (u Usual) Pause(constant float64) float64 { return constant * math.Exp(u.step) }

// minWeight is the weight of samples from which an upstream counts for the median. Old
// samples tell of another load.
const minWeight = 0.25

func median(scratch []float64, meters []*Meter, now time.Time, of func(*Meter) *average) float64 {
	list := scratch[:0]
	for _, m := range meters {
		if a := of(m); a.weight*a.kept(now) >= minWeight {
			list = append(list, a.sum/a.weight)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return (list[(len(list)-1)/2] + list[len(list)/2]) / 2
}
