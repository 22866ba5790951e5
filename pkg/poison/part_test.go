package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// Fingerprints of the parts in these tests.
const (
	sharedPart    Fingerprint = 1 // the first part of every prompt
	poisonousPart Fingerprint = 666
)

// crashParts records a crash of an upstream with the given parts in flight, without an answer.
func crashParts(reg *Registry, upstream poplar.Upstream, number uint64, parts []Fingerprint, now time.Time) []Record {
	return reg.recordPartCrash(upstream, number, []Break{{Parts: parts}}, now)
}

// TestPartIsRefusedAfterThreeCrashes has a part in flight at crashes with others,
// which are answered elsewhere.
func TestPartIsRefusedAfterThreeCrashes(t *testing.T) {
	reg, now := NewRegistry(DefaultSettings()), epoch
	for i := range uint64(partCrashLimit) {
		v, _ := reg.CheckParts([]Fingerprint{sharedPart, poisonousPart}, 0, now)
		assert.Equal(t, v, Clean, "crash %d", i)
		crashParts(reg, "u", i, []Fingerprint{sharedPart, poisonousPart, Fingerprint(10 + i)}, now)
		now = now.Add(time.Second)
		reg.RecordFinish(sharedPart, true, now)
	}
	v, until := reg.CheckParts([]Fingerprint{sharedPart, poisonousPart}, 0, now)
	assert.Equal(t, v, Refused)
	last := now.Add(-time.Second)
	trialAt := last.Add(trialDelay << certainFactor)
	assert.Equal(t, until, trialAt)
	v, _ = reg.CheckParts([]Fingerprint{sharedPart, poisonousPart}, 1, trialAt)
	assert.Equal(t, v, Refused, "a daemon that tries later")
	v, _ = reg.CheckParts([]Fingerprint{sharedPart, poisonousPart}, 0, trialAt)
	assert.Equal(t, v, Isolated)
	reg.StartTrial([]Fingerprint{sharedPart, poisonousPart}, trialAt)
	v, _ = reg.CheckParts([]Fingerprint{sharedPart, poisonousPart}, 0, trialAt)
	assert.Equal(t, v, Refused, "one trial at a time")
	crashParts(reg, "u", 9, []Fingerprint{sharedPart, poisonousPart}, trialAt)
	_, until = reg.CheckParts([]Fingerprint{sharedPart, poisonousPart}, 0, trialAt)
	assert.Equal(t, until, trialAt.Add(trialDelay<<(certainFactor+certainBackoff)), "each crash puts the next trial off")
	v, _ = reg.CheckParts([]Fingerprint{sharedPart, 10}, 0, now)
	assert.Equal(t, v, Clean)
}

// TestPartsSurviveSimultaneousCrashes crashes many upstreams at the same moment. A
// part that was in flight at all of them must not be refused.
func TestPartsSurviveSimultaneousCrashes(t *testing.T) {
	reg := NewRegistry(DefaultSettings())
	for i := range uint64(12) {
		crashParts(reg, "u", i, []Fingerprint{sharedPart}, epoch.Add(time.Duration(i)*20*time.Millisecond))
	}
	v, _ := reg.CheckParts([]Fingerprint{sharedPart}, 0, epoch.Add(time.Second))
	assert.Equal(t, v, Clean)
}

// TestSharedPartIsTriedWithoutTheOther has two parts that were in flight at the same
// crashes. One request with a single one of them is tried at a time, and an answer
// clears its part.
func TestSharedPartIsTriedWithoutTheOther(t *testing.T) {
	reg, other := NewRegistry(DefaultSettings()), NewRegistry(DefaultSettings())
	now := epoch
	for i := range uint64(partCrashLimit) {
		now = now.Add(partCrashGap)
		other.MergeRecords(crashParts(reg, "u", i, []Fingerprint{sharedPart, poisonousPart}, now))
	}
	check := func(reg *Registry, want Verdict, parts ...Fingerprint) {
		t.Helper()
		v, _ := reg.CheckParts(parts, 0, now)
		assert.Equal(t, v, want)
	}
	check(reg, Refused, sharedPart)
	now = now.Add(trialDelay)
	check(reg, Refused, sharedPart, poisonousPart)
	check(reg, Isolated, sharedPart, 5)
	v, until := reg.CheckParts([]Fingerprint{sharedPart}, 1, now)
	assert.Equal(t, v, Refused, "a daemon that tries later")
	assert.Equal(t, until, now.Add(trialSpread))
	other.MergeRecords(reg.StartTrial([]Fingerprint{sharedPart}, now))
	check(other, Refused, sharedPart)
	now = now.Add(10 * time.Millisecond)
	cleared, _ := reg.RecordFinish(sharedPart, true, now)
	other.MergeRecords([]Record{cleared})
	check(other, Clean, sharedPart)
	now = now.Add(trialTime)
	check(other, Refused, poisonousPart)
	check(other, Refused, sharedPart, poisonousPart)
}

// partFleet simulates routers and upstreams under requests, some of which hold the
// poisonous part. Times are in milliseconds.
type partFleet struct {
	random    *rand.Rand
	routers   []*Registry
	downUntil []int    // by upstream
	starts    []uint64 // by upstream
	running   []partRequest
	messages  []partMessage

	crashes            []int // times
	poisonousSent      []int // times at which a poisonous request reached an upstream
	sound, soundServed int   // requests after the fifth crash has been known
}

type partRequest struct {
	router, upstream, begins int
	parts                    []Fingerprint
	poisonous                bool
}

type partMessage struct {
	at      int
	records []Record
}

const (
	partDowntime    = 3000 // of a crashed upstream
	partProbeTime   = 25   // from a crash to its discovery
	partMessageTime = 30   // of a record to the other routers
	contactTime     = 3000 // after which the fleet must have reacted to the fifth crash
)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// send sends the records of a router to all routers.
func (f *partFleet) send(ms int, records []Record) {
	if len(records) > 0 {
		f.messages = append(f.messages, partMessage{ms + partMessageTime, records})
	}
}

// request lets a router pass on or refuse a request.
func (f *partFleet) request(ms int, poisonous bool) {
	router := f.random.IntN(len(f.routers))
	parts := []Fingerprint{sharedPart, Fingerprint(100 + f.random.IntN(60))}
	if poisonous {
		parts = append(parts, poisonousPart)
	}
	counts := !poisonous && len(f.crashes) >= 5 && ms > f.crashes[4]+2*contactTime
	if counts {
		f.sound++
	}
	v, _ := f.routers[router].CheckParts(parts, float64(router)/float64(len(f.routers)), at(ms))
	if v == Refused {
		return
	}
	if v == Isolated {
		f.send(ms, f.routers[router].StartTrial(parts, at(ms)))
	}
	upstream := f.random.IntN(len(f.downUntil))
	for n := 0; ms < f.downUntil[upstream]; n++ {
		if n == len(f.downUntil) {
			return
		}
		upstream = (upstream + 1) % len(f.downUntil)
	}
	if counts {
		f.soundServed++
	}
	if poisonous {
		f.poisonousSent = append(f.poisonousSent, ms)
	}
	f.running = append(f.running, partRequest{router, upstream, ms + 20 + f.random.IntN(200), parts, poisonous})
}

// begin lets the requests whose time has come begin: they are answered or crash
// their upstreams.
func (f *partFleet) begin(ms int) {
	for i := 0; i < len(f.running); i++ {
		r := f.running[i]
		switch {
		case r.begins > ms:
			continue
		case r.poisonous:
			f.crash(ms, r.upstream)
			i = -1
			continue
		}
		f.running = append(f.running[:i], f.running[i+1:]...)
		i--
		f.send(ms, f.routers[r.router].RecordAnswer(Answer{Parts: r.parts, Events: AllEvents, Whole: true, At: at(ms)}))
	}
}

// crash ends an upstream with all requests in flight.
func (f *partFleet) crash(ms, upstream int) {
	parts := map[int][]Fingerprint{}
	left := f.running[:0]
	for _, r := range f.running {
		if r.upstream != upstream {
			left = append(left, r)
			continue
		}
		parts[r.router] = append(parts[r.router], r.parts...)
	}
	f.running = left
	name := poplar.Upstream(rune('a' + upstream))
	for router, list := range parts {
		f.send(ms+partProbeTime, crashParts(f.routers[router], name, f.starts[upstream], list, at(ms+partProbeTime)))
	}
	f.crashes = append(f.crashes, ms)
	f.downUntil[upstream] = ms + partDowntime
	f.starts[upstream]++
}

// TestPoisonousPartStopsReachingUpstreams simulates fleets in which a share of the
// requests hold a part that crashes upstreams. Later than contactTime after the fifth
// crash at most three of them may reach an upstream, and from twice that time on at
// least half of the requests that share their other parts must be passed on.
func TestPoisonousPartStopsReachingUpstreams(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 3))
		f := &partFleet{random: random, routers: make([]*Registry, 9), downUntil: make([]int, 12), starts: make([]uint64, 12)}
		for i := range f.routers {
			f.routers[i] = NewRegistry(Settings{RefuseDuration: 5 * time.Minute, SuspectDuration: time.Minute})
		}
		perSecond, poisonousShare := 10+random.Float64()*90, []float64{0.02, 0.05, 0.1, 0.2}[seed%4]
		for ms := 0; ms < 30_000; ms++ {
			for i := 0; i < len(f.messages); i++ {
				if m := f.messages[i]; m.at <= ms {
					for _, reg := range f.routers {
						reg.MergeRecords(m.records)
					}
					f.messages = append(f.messages[:i], f.messages[i+1:]...)
					i--
				}
			}
			f.begin(ms)
			if random.Float64() < perSecond/1000 {
				f.request(ms, random.Float64() < poisonousShare)
			}
		}
		late := 0
		for _, ms := range f.poisonousSent {
			if len(f.crashes) >= 5 && ms > f.crashes[4]+contactTime {
				late++
			}
		}
		assert.Assert(t, late <= 3, "seed %d: %d poisonous requests reached upstreams late, %d upstreams crashed", seed, late, len(f.crashes))
		assert.Assert(t, 2*f.soundServed >= f.sound, "seed %d: %d of %d sound requests were passed on", seed, f.soundServed, f.sound)
	}
}
