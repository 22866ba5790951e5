package order

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/trial"
)

func TestMain(m *testing.M) { os.Exit(trial.Run(m)) }

var epoch = time.Unix(1_700_000_000, 0)

func twoModels() Settings {
	s := DefaultSettings()
	s.Models = []Model{
		{Name: "a", Version: "1", Size: 10e9, MinEngines: 1, MaxEngines: 4},
		{Name: "b", Version: "1", Size: 10e9, MinEngines: 1, MaxEngines: 4},
		{Name: "a:x", Version: "1", Base: "a", Size: 1e9, MinEngines: 1, MaxEngines: 2},
	}
	return s
}

func newEngines(n int, fenced bool) []Engine {
	engines := make([]Engine, n)
	for i := range engines {
		engines[i] = Engine{Name: poplar.Upstream(fmt.Sprint("e", i)), Memory: 12e9, Slots: 10, Fenced: fenced, Role: RoleMixed}
	}
	return engines
}

// carryOut applies the order to its engine.
func carryOut(engines []Engine, o Order) {
	for i := range engines {
		e := &engines[i]
		if e.Name != o.Upstream {
			continue
		}
		switch o.Verb {
		case VerbLoad:
			e.setLoaded(Loaded{Model: o.Model, Version: o.Version})
		case VerbUnload:
			e.Loaded = slices.DeleteFunc(e.Loaded, func(l Loaded) bool { return l.Model == o.Model })
		case VerbRole:
			e.Role = o.Role
		}
	}
}

func countLoaded(engines []Engine, m poplar.Model, version string) int {
	n := 0
	for i := range engines {
		if v, loaded := engines[i].loadedVersion(m); loaded && (version == "" || v == version) {
			n++
		}
	}
	return n
}

// TestPlanIsSafe runs a planner with random demand, lost answers and slow
// engines, and checks the bounds that Planner and Issuer document.
func TestPlanIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := twoModels()
		engines := newEngines(rapid.IntRange(2, 6).Draw(t, "n"), false)
		for i := range engines {
			engines[i].Fenced = rapid.Bool().Draw(t, "fenced")
			engines[i].Role = rapid.SampledFrom([]Role{RolePrefill, RoleDecode}).Draw(t, "role")
		}
		oldLeaseEnd, oldLease := epoch.Add(20*time.Second), time.Minute
		issuer := NewIssuer(7, epoch.Add(time.Hour), oldLeaseEnd, oldLease)
		p := NewPlanner(s, issuer)
		now, bytes, last := epoch, 0.0, uint64(0)
		var sent []Order
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second)
			d := Demand{Models: map[poplar.Model]float64{
				"a": rapid.Float64Range(0, 60).Draw(t, "a"),
				"b": rapid.Float64Range(0, 60).Draw(t, "b"),
			}, PrefillShare: rapid.Float64Range(0, 1).Draw(t, "prefill")}
			before := [2]int{countLoaded(engines, "a", ""), countLoaded(engines, "b", "")}
			for _, o := range p.Plan(engines, d, now) {
				e := engines[slices.IndexFunc(engines, func(e Engine) bool { return e.Name == o.Upstream })]
				assert.Assert(t, now.Before(epoch.Add(time.Hour)), "order after the end of the lease")
				assert.Assert(t, e.Fenced || !now.Before(oldLeaseEnd), "order to an engine that ignores fences before the previous lease ended")
				if o.Number > last {
					last = o.Number
					if o.Verb == VerbLoad {
						m, _ := p.model(o.Model)
						bytes += m.Size
						_, baseLoaded := e.loadedVersion("a")
						assert.Assert(t, o.Model != "a:x" || baseLoaded, "adapter ordered without its base model")
					}
				}
				sent = append(sent, o)
			}
			assert.Assert(t, bytes <= s.StoreRate*(now.Sub(epoch).Seconds()+1)+10e9, "%g bytes ordered", bytes)
			assert.Assert(t, p.pendingLoads() <= s.MaxLoads)
			for len(sent) > 0 && rapid.Bool().Draw(t, "answer") {
				carryOut(engines, sent[0])
				if rapid.Bool().Draw(t, "heard") {
					p.RecordAnswer(sent[0])
				}
				sent = sent[1:]
			}
			for i, m := range []poplar.Model{"a", "b"} {
				assert.Assert(t, countLoaded(engines, m, "") >= min(before[i], 1), "the last engine with model %s unloaded it", m)
			}
			for _, e := range engines {
				used := 0.0
				for _, l := range e.Loaded {
					used += p.size(l.Model)
				}
				assert.Assert(t, used <= e.Memory, "%s has %g bytes loaded", e.Name, used)
			}
		}
	})
}

// run calls Plan once per simulated second, carries out all orders immediately
// and returns them.
func run(p *Planner, engines []Engine, from time.Time, seconds int, demand func(second int) Demand) []Order {
	var issued []Order
	for i := range seconds {
		for _, o := range p.Plan(engines, demand(i), from.Add(time.Duration(i)*time.Second)) {
			issued = append(issued, o)
			carryOut(engines, o)
			p.RecordAnswer(o)
		}
	}
	return issued
}

func steady(a, b float64) func(int) Demand {
	return func(int) Demand { return Demand{Models: map[poplar.Model]float64{"a": a, "b": b}} }
}

// TestEnginesFollowDemand checks that engines are moved to the model in demand,
// and that two alternating demands do not cause thrashing: on average each
// engine receives at most one order per Settings.MinStay.
func TestEnginesFollowDemand(t *testing.T) {
	s := twoModels()
	engines := newEngines(4, true)
	p := NewPlanner(s, NewIssuer(1, epoch.Add(24*time.Hour), time.Time{}, 0))
	run(p, engines, epoch, 120, steady(0, 0))
	assert.Equal(t, countLoaded(engines, "a", ""), 1)
	assert.Equal(t, countLoaded(engines, "b", ""), 1)
	assert.Equal(t, countLoaded(engines, "a:x", ""), 1)
	run(p, engines, epoch.Add(2*time.Minute), 300, steady(40, 1))
	assert.Equal(t, countLoaded(engines, "a", ""), 3)
	run(p, engines, epoch.Add(time.Hour), 3000, steady(1, 40))
	assert.Equal(t, countLoaded(engines, "b", ""), 3)
	alternating := func(i int) Demand {
		if i/30%2 == 0 {
			return steady(40, 1)(i)
		}
		return steady(1, 40)(i)
	}
	issued := run(p, engines, epoch.Add(3*time.Hour), 3600, alternating)
	assert.Assert(t, len(issued) <= 4*int(time.Hour/s.MinStay), "%d orders in one hour", len(issued))
}

// TestRollingUpgrade checks that a new version is loaded on an engine with free
// memory before the old one is replaced, and that all engines end up with the
// new version.
func TestRollingUpgrade(t *testing.T) {
	s := twoModels()
	s.Models = s.Models[:1]
	s.Models[0].MinEngines = 2
	engines := newEngines(3, true)
	p := NewPlanner(s, NewIssuer(1, epoch.Add(24*time.Hour), time.Time{}, 0))
	run(p, engines, epoch, 60, steady(0, 0))
	assert.Equal(t, countLoaded(engines, "a", "1"), 2)
	s.Models = []Model{{Name: "a", Version: "2", Size: 10e9, MinEngines: 2, MaxEngines: 4}}
	p.Set(s)
	first := p.Plan(engines, Demand{}, epoch.Add(2*time.Minute))
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Upstream, poplar.Upstream("e2"), "the engine with free memory loads the new version first")
	carryOut(engines, first[0])
	run(p, engines, epoch.Add(3*time.Minute), 60, steady(0, 0))
	assert.Equal(t, countLoaded(engines, "a", "1"), 0)
	assert.Equal(t, countLoaded(engines, "a", "2"), 3)
}

func ExamplePlanner() {
	now := time.Unix(0, 0)
	settings := DefaultSettings()
	settings.Models = []Model{{Name: "small", Version: "3", Size: 8e9, MinEngines: 1, MaxEngines: 2}}
	planner := NewPlanner(settings, NewIssuer(12, now.Add(time.Minute), time.Time{}, 0))
	engines := []Engine{{Name: "engine-1", Memory: 40e9, Slots: 16, Fenced: true}}
	for _, o := range planner.Plan(engines, Demand{}, now) {
		fmt.Println(o.Fence, o.Number, o.Upstream, o.Verb, o.Model, o.Version, o.Reason)
	}
	// Output: 12 1 engine-1 load small 3 least
}
