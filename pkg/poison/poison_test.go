package poison

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

func drawRecord(t *rapid.T, part bool) Record {
	r := Record{Fingerprint: 1, Part: part}
	n := rapid.IntRange(0, 6).Draw(t, "n")
	for range n {
		c := Crash{
			Upstream:    poplar.Upstream(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "up")),
			Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "boot")),
			At:          epoch.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "at")) * time.Second),
			Concurrent:  rapid.IntRange(0, 3).Draw(t, "beside"),
			Begun:       rapid.Bool().Draw(t, "begun"),
			Events:      rapid.IntRange(0, 3).Draw(t, "events"),
		}
		r = Merge(r, Record{Fingerprint: 1, Part: part, Crashes: []Crash{c}})
	}
	r.Cleared = epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "cleared")) * time.Second)
	for range rapid.IntRange(0, 3).Draw(t, "answers") {
		p := Passed{At: epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "passed")) * time.Second), Events: rapid.IntRange(0, 3).Draw(t, "past")}
		r = Merge(r, Record{Fingerprint: 1, Part: part, Passed: []Passed{p}})
		r = Merge(r, Record{Fingerprint: 1, Part: part, Ahead: []Passed{{At: p.At.Add(time.Second), Events: 3 - p.Events}}})
	}
	r.IsolatedOn = poplar.Upstream(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "place"))
	r.IsolatedUntil = epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "until")) * time.Second)
	return Merge(r, r)
}

// TestMerge checks that records converge regardless of order and repetition:
// Merge is commutative, associative and idempotent.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.Bool().Draw(t, "part")
		a, b, c := drawRecord(t, part), drawRecord(t, part), drawRecord(t, part)
		assert.Assert(t, equalRecords(Merge(a, b), Merge(b, a)), "commutative")
		assert.Assert(t, equalRecords(Merge(Merge(a, b), c), Merge(a, Merge(b, c))), "associative")
		assert.Assert(t, equalRecords(Merge(a, a), a), "idempotent")
	})
}

// TestPoisonousRequestCrashesAtMostTwoUpstreams simulates daemons that exchange
// records. A poisonous request must crash at most two upstreams, and healthy
// requests in flight together with it must never be refused.
func TestPoisonousRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := make([]*Registry, 9)
		for i := range registries {
			registries[i] = NewRegistry(DefaultSettings())
		}
		now, crashes, number := epoch, 0, uint64(0)
		const poison = Fingerprint(666)
		for range 20 {
			now = now.Add(time.Second)
			registry := registries[rapid.IntRange(0, 8).Draw(t, "daemon")]
			v, _ := registry.Check(poison, now)
			if v == Refused {
				continue
			}
			inFlight := []Fingerprint{poison}
			if v == Clean {
				for range rapid.IntRange(0, 9).Draw(t, "beside") {
					fp := Fingerprint(rapid.IntRange(1, 20).Draw(t, "healthy"))
					if other, _ := registry.Check(fp, now); other == Clean {
						inFlight = append(inFlight, fp)
					}
				}
			}
			crashes++
			number++
			records := registry.RecordCrash("u", number, inFlight, now)
			for _, other := range registries {
				other.MergeRecords(records)
			}
		}
		assert.Assert(t, crashes <= 2, "%d upstreams crashed", crashes)
		for fp := Fingerprint(1); fp <= 20; fp++ {
			v, _ := registries[0].Check(fp, now)
			assert.Assert(t, v != Refused, "healthy request %d is refused", fp)
			if v == Isolated {
				_, cleared := registries[0].RecordFinish(fp, true, now)
				assert.Assert(t, cleared)
				v, _ = registries[0].Check(fp, now)
				assert.Equal(t, v, Clean)
			}
		}
	})
}

func TestCrashReportedByManyCountsOnce(t *testing.T) {
	reg := NewRegistry(DefaultSettings())
	for i := range 9 {
		at := epoch.Add(time.Duration(i) * time.Second)
		reg.MergeRecords([]Record{{Fingerprint: 7, Crashes: []Crash{{Upstream: "u", Incarnation: 3, At: at}}}})
	}
	v, _ := reg.Check(7, epoch.Add(10*time.Second))
	assert.Equal(t, v, Isolated, "a crash reported several times counts once")
}

// TestKnownCulpritClearsOthers checks that a request reported by another daemon
// is clean as soon as the cause of its crash is known, and that two poisonous
// requests do not clear each other.
func TestKnownCulpritClearsOthers(t *testing.T) {
	reg := NewRegistry(DefaultSettings())
	reg.RecordCrash("u", 1, []Fingerprint{7, 8}, epoch)
	reg.MergeRecords([]Record{{Fingerprint: 9, Crashes: []Crash{{Upstream: "u", Incarnation: 1, At: epoch, Concurrent: 3}}}})
	now := epoch.Add(time.Second)
	v, _ := reg.Check(9, now)
	assert.Equal(t, v, Isolated)
	reg.RecordCrash("w", 1, []Fingerprint{7}, now)
	v, _ = reg.Check(9, now)
	assert.Equal(t, v, Clean)
	reg.RecordCrash("w", 2, []Fingerprint{8}, now)
	for fp, want := range map[Fingerprint]Verdict{7: Refused, 8: Refused, 9: Clean} {
		v, _ = reg.Check(fp, now)
		assert.Equal(t, v, want, "fingerprint %d", fp)
	}
	reg.Release(7, now)
	reg.Release(8, now)
	v, _ = reg.Check(9, now)
	assert.Equal(t, v, Isolated, "suspect again after its culprit was released")
}

// TestAmbiguousSuspectsAreRefusedBriefly checks two suspects that were both in
// flight in two crashes. They are refused only for Settings.SuspectDuration and
// then run alone again, which clears the healthy one.
func TestAmbiguousSuspectsAreRefusedBriefly(t *testing.T) {
	s := DefaultSettings()
	reg := NewRegistry(s)
	reg.RecordCrash("u", 1, []Fingerprint{7, 8}, epoch)
	again := epoch.Add(time.Second)
	for fp := Fingerprint(7); fp <= 8; fp++ { // each router knows only its own request
		reg.MergeRecords([]Record{{Fingerprint: fp, Crashes: []Crash{{Upstream: "w", Incarnation: 1, At: again}}}})
	}
	for fp := Fingerprint(7); fp <= 8; fp++ {
		v, until := reg.Check(fp, again)
		assert.Equal(t, v, Refused)
		assert.Equal(t, until, again.Add(s.SuspectDuration))
		v, _ = reg.Check(fp, until)
		assert.Equal(t, v, Isolated)
	}
	later := again.Add(s.SuspectDuration)
	reg.RecordFinish(8, true, later)
	reg.RecordCrash("x", 1, []Fingerprint{7}, later)
	v, until := reg.Check(7, later)
	assert.Equal(t, v, Refused)
	assert.Equal(t, until, later.Add(s.RefuseDuration))
	v, _ = reg.Check(8, later)
	assert.Equal(t, v, Clean)
}

// TestOneSuspectPerUpstream checks that no other suspect may run at an upstream
// while one runs there. This holds at every router that received the record,
// until the suspect finishes or its time ends.
func TestOneSuspectPerUpstream(t *testing.T) {
	reg, other := NewRegistry(DefaultSettings()), NewRegistry(DefaultSettings())
	records := reg.RecordCrash("u", 1, []Fingerprint{7, 8}, epoch)
	until := epoch.Add(30 * time.Second)
	other.MergeRecords(append(records, reg.StartIsolated(7, "w", until)))
	now := epoch.Add(time.Second)
	assert.Assert(t, other.HasOtherSuspect("w", 8, now))
	assert.Assert(t, !other.HasOtherSuspect("w", 7, now))
	assert.Assert(t, !other.HasOtherSuspect("x", 8, now))
	assert.Assert(t, !other.HasOtherSuspect("w", 8, until))
	cleared, _ := reg.RecordFinish(7, true, now)
	other.MergeRecords([]Record{cleared})
	assert.Assert(t, !other.HasOtherSuspect("w", 8, now))
}

// TestSuspectsStartAtDifferentTimes checks that the suspects of one crash are
// spread over the start slots.
func TestSuspectsStartAtDifferentTimes(t *testing.T) {
	reg := NewRegistry(DefaultSettings())
	fingerprints := make([]Fingerprint, 64)
	for i := range fingerprints {
		fingerprints[i] = Fingerprint(i + 1)
	}
	reg.RecordCrash("u", 1, fingerprints, epoch)
	count := map[time.Duration]int{}
	for _, fp := range fingerprints {
		delay := reg.EarliestRun(fp).Sub(epoch)
		assert.Assert(t, delay >= 0 && delay < startSlots*startSlotInterval)
		count[delay]++
	}
	assert.Assert(t, len(count) > startSlots/2)
	assert.Assert(t, reg.EarliestRun(999).IsZero())
}

func TestReleaseAndExpiry(t *testing.T) {
	s := DefaultSettings()
	reg := NewRegistry(s)
	reg.RecordCrash("u", 1, []Fingerprint{7, 7}, epoch)
	reg.RecordCrash("u", 2, []Fingerprint{7}, epoch.Add(time.Second))
	v, until := reg.Check(7, epoch.Add(2*time.Second))
	assert.Equal(t, v, Refused)
	assert.Equal(t, until, epoch.Add(time.Second).Add(s.RefuseDuration))
	v, _ = reg.Check(7, until)
	assert.Equal(t, v, Clean, "clean after Settings.RefuseDuration has passed")

	released := reg.Release(7, epoch.Add(3*time.Second))
	oldReport := Record{Fingerprint: 7, Crashes: []Crash{{Upstream: "u", Incarnation: 2, At: epoch.Add(time.Second)}}}
	assert.Assert(t, !reg.MergeRecords([]Record{released, oldReport}), "a late report of an old crash changes nothing")
	v, _ = reg.Check(7, epoch.Add(4*time.Second))
	assert.Equal(t, v, Clean)
	reg.Sweep(epoch.Add(2 * s.RefuseDuration))
	assert.Equal(t, len(reg.Records(0)), 0)
}

func ExampleRegistry() {
	now := time.Unix(1000, 0)
	registry := NewRegistry(DefaultSettings())
	registry.RecordCrash("engine-1", 1, []Fingerprint{7, 8}, now)
	first, _ := registry.Check(7, now)
	registry.RecordCrash("engine-2", 5, []Fingerprint{7}, now.Add(time.Second))
	second, _ := registry.Check(7, now.Add(time.Second))
	healthy, _ := registry.Check(8, now.Add(time.Second))
	fmt.Println(first, second, healthy)
	// Output: alone refused clean
}
