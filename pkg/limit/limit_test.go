package limit

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/trial"
)

func TestMain(m *testing.M) { os.Exit(trial.Run(m)) }

var epoch = time.Unix(1_700_000_000, 0)

// TestEjectStaysWithinShare checks, for random health states in random groups,
// that no group has more than its share ejected, that no ejection is longer
// than the configured maximum, and that only failing or slow upstreams are
// ejected.
func TestEjectStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		s.Share = rapid.Float64Range(0, 1).Draw(t, "share")
		sizes, ejected := map[string]int{}, map[string]int{}
		all := make([]Health, rapid.IntRange(0, 30).Draw(t, "n"))
		byName := map[poplar.Upstream]Health{}
		for i := range all {
			group := rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group")
			name := poplar.Upstream(fmt.Sprint("u", i))
			h := NewHealth(name, group, rapid.IntRange(0, 9).Draw(t, "failures"), rapid.Float64Range(1, 20).Draw(t, "slow"))
			sizes[group]++
			if ejected[group] < int(s.Share*float64(sizes[group])) && rapid.Bool().Draw(t, "out") {
				h = h.WithEjection(epoch.Add(time.Second), rapid.IntRange(0, 40).Draw(t, "times"))
				ejected[group]++
			}
			all[i], byName[name] = h, h
		}
		for _, e := range Eject(all, s, epoch) {
			h := byName[e.Name()]
			assert.Assert(t, !epoch.Before(h.ejectedUntil), "ejected twice")
			assert.Assert(t, h.failures >= s.Failures || h.slowdown >= s.Outlier)
			assert.Assert(t, e.Until().After(epoch) && e.Until().Sub(epoch) <= s.Longest)
			ejected[h.group]++
		}
		for group, n := range ejected {
			assert.Assert(t, n <= int(s.Share*float64(sizes[group])), "%d of %d are ejected", n, sizes[group])
		}
	})
}

// TestLimitStaysInBounds checks the bounds of Limit under random samples.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		l := NewLimit(slots)
		now := epoch
		var open []*Sample
		t.Repeat(map[string]func(*rapid.T){
			"sent": func(t *rapid.T) {
				open = append(open, l.RecordSent(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms"))*time.Millisecond, now))
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("no open request")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "i")
				if rapid.Bool().Draw(t, "first") {
					l.FirstToken(open[i], now)
				}
				l.RecordEnd(open[i], rapid.Bool().Draw(t, "failed"))
				open = append(open[:i:i], open[i+1:]...)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"update":  func(*rapid.T) { l.Update(2, now) },
			"restart": func(*rapid.T) { l.Restart() },
			"": func(t *rapid.T) {
				assert.Assert(t, l.Value() >= 1 && l.Value() <= max(float64(slots)*maxLimitFactor, 1))
				assert.Assert(t, l.Slowdown() >= 0)
				assert.Assert(t, len(l.pending) <= len(open))
			},
		})
	})
}

type fakeGauge struct {
	limit, slowdown float64
	ejectedUntil    time.Time
}

func (g *fakeGauge) SetLimit(limit float64)       { g.limit = limit }
func (g *fakeGauge) SetSlowdown(slowdown float64) { g.slowdown = slowdown }
func (g *fakeGauge) Eject(until time.Time)        { g.ejectedUntil = until }

// TestFleet takes one of four upstreams through slow start, a slowdown that is
// detected before any request ends, ejection, probing and recovery.
func TestFleet(t *testing.T) {
	f := NewFleet(DefaultSettings())
	now := epoch
	var gauges [4]*fakeGauge
	var upstreams [4]*Upstream
	for i := range upstreams {
		gauges[i] = &fakeGauge{}
		upstreams[i] = f.Add(poplar.Upstream(fmt.Sprint("u", i)), "m", 16, gauges[i])
	}
	assert.Equal(t, gauges[0].limit, 2.0)
	serve := func(periods int, from int) {
		for range periods {
			for _, u := range upstreams[from:] {
				s := u.RecordSent(100*time.Millisecond, now)
				u.FirstToken(s, now.Add(100*time.Millisecond))
				u.RecordEnd(s, false)
			}
			now = now.Add(Period)
			f.Update(now)
		}
	}
	serve(6, 0)
	assert.Assert(t, gauges[0].limit >= 16)
	before := gauges[0].limit
	stuck := upstreams[0].RecordSent(100*time.Millisecond, now)
	serve(4, 1)
	assert.Assert(t, gauges[0].limit < before && gauges[0].slowdown > 2)
	serve(8, 1)
	assert.Assert(t, gauges[0].ejectedUntil.After(now), "an upstream that does not answer is ejected")
	upstreams[0].RecordEnd(stuck, true)
	now = gauges[0].ejectedUntil
	f.Update(now)
	assert.Equal(t, gauges[0].limit, 1.0)
	serve(1, 0)
	assert.Assert(t, gauges[0].limit > 1, "slow start follows a successful probe")
	f.Remove("u0")
	assert.Assert(t, f.Add("u0", "m", 16, gauges[0]) != upstreams[0])
}

func ExampleEject() {
	now := time.Unix(0, 0)
	all := []Health{
		NewHealth("a", "m", 0, 1), NewHealth("b", "m", 0, 1.1),
		NewHealth("c", "m", 0, 5), NewHealth("d", "m", 7, 1),
	}
	for _, e := range Eject(all, DefaultSettings(), now) {
		fmt.Println(e.Name(), e.Reason(), e.Until().Sub(now))
	}
	// Output: d failures 5s
}

func ExampleFleet() {
	fleet := NewFleet(DefaultSettings())
	gauge := &fakeGauge{} // a *route.LocalState in a router
	upstream := fleet.Add("engine-1", "small", 16, gauge)
	now := time.Unix(0, 0)

	sample := upstream.RecordSent(100*time.Millisecond, now) // predicted by the routing decision
	now = now.Add(90 * time.Millisecond)
	upstream.FirstToken(sample, now)
	upstream.RecordEnd(sample, false)
	ejected := fleet.Update(now.Add(Period))
	fmt.Println(gauge.limit, len(ejected))
	// Output: 4 0
}
