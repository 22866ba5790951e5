package poison

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// partSeeds is the number of seeds of each load, and partDraws the number of loads drawn.
var (
	partSeeds = flag.Uint64("parts.seeds", 2, "number of seeds of each load of TestPartThatCrashesInMidStreamIsRefused")
	partDraws = flag.Uint64("parts.draws", 12, "number of loads that TestPartThatCrashesInMidStreamIsRefused draws")
)

// Times of the simulation, in milliseconds.
const (
	loadStep     = 10
	loadFirst    = 50    // from the start of a request at its upstream to its first event
	loadEvidence = 100   // between two looks at how far a stream has come
	loadWarm     = 1000  // without poisonous requests
	loadEnd      = 31000 // of the load
	leastSound   = 20    // requests by which LOST judges
	soundShare   = 0.5   // of the sound requests that must begin and not be cut, as LOST asks
)

// partLoad is a line of testdata/parts.txt.
type partLoad struct {
	routers, upstreams int
	streams            int     // sound, at each upstream
	length             float64 // of a sound stream, in seconds
	gap                int     // between two events, in milliseconds
	after              int     // events before a crash; negative: so many before the end
	shared             int     // parts of all requests
	others             int     // parts of which each request has one
	rate               float64 // of poisonous requests, a second
	delay              int     // of reports between routers, in milliseconds
}

func (l partLoad) String() string {
	return fmt.Sprint(l.routers, " ", l.upstreams, " ", l.streams, " ", l.length, " ", l.gap, " ", l.after, " ", l.shared, " ", l.others, " ", l.rate, " ", l.delay)
}

// events returns the number of events of a poisonous answer before the crash.
func (l partLoad) events() int {
	if l.after < 0 {
		return int(1000*l.length)/l.gap + l.after
	}
	return l.after
}

// partStream is a request that runs.
type partStream struct {
	router, upstream, since int
	parts                   []Fingerprint
	poisonous               bool
}

// loadFleet simulates routers, a control daemon and upstreams under a load.
type loadFleet struct {
	partLoad
	random   *rand.Rand
	registry []*Registry
	control  *Registry
	down     []int // by upstream: when it is back
	number   []uint64
	running  []partStream
	later    map[int][]func()
	now      int

	crashes []int
	sent    []int // times at which poisonous requests were sent
	// Sound requests by the second in which they came, and those refused or cut.
	sound, lost [loadEnd/1000 + 1]int
}

func (f *loadFleet) at(ms int, do func()) {
	ms = max(ms, f.now+loadStep) / loadStep * loadStep
	f.later[ms] = append(f.later[ms], do)
}

// report tells the other routers of records after the delay.
func (f *loadFleet) report(records []Record) {
	if len(records) == 0 {
		return
	}
	f.at(f.now+f.delay, func() {
		told := f.control.MergeReports(records)
		for _, r := range f.registry {
			r.MergeRecords(told)
		}
	})
}

// request lets a router pass on or refuse a request that began to run at the given time.
func (f *loadFleet) request(poisonous bool, since int) {
	s := partStream{router: f.random.IntN(f.routers), since: since, poisonous: poisonous}
	for i := range f.shared {
		s.parts = append(s.parts, Fingerprint(1+i))
	}
	if f.others > 0 {
		s.parts = append(s.parts, Fingerprint(100+f.random.IntN(f.others)))
	}
	if poisonous {
		s.parts = append(s.parts, poisonousPart)
	} else {
		f.sound[max(f.now, 0)/1000]++
	}
	reg := f.registry[s.router]
	verdict, _ := reg.CheckParts(s.parts, float64(s.router)/float64(f.routers), at(f.now))
	s.upstream = f.random.IntN(f.upstreams)
	for n := 0; f.down[s.upstream] > f.now && n < f.upstreams; n++ {
		s.upstream = (s.upstream + 1) % f.upstreams
	}
	if verdict == Refused || f.down[s.upstream] > f.now {
		f.lose(s)
		return
	}
	if verdict == Isolated {
		f.report(reg.StartTrial(s.parts, at(f.now)))
	}
	if poisonous {
		f.sent = append(f.sent, f.now)
	}
	f.running = append(f.running, s)
}

// lose counts a sound request that is refused or cut.
func (f *loadFleet) lose(s partStream) {
	if !s.poisonous {
		f.lost[max(s.since, 0)/1000]++
	}
}

// made returns the number of events that have arrived.
func (f *loadFleet) made(s partStream) int { return max(0, f.now-s.since-loadFirst) / f.gap }

// crash ends an upstream and all that runs there.
func (f *loadFleet) crash(upstream int) {
	f.crashes = append(f.crashes, f.now)
	f.down[upstream] = f.now + partDowntime
	name, number := poplar.Upstream(fmt.Sprint("u", upstream)), f.number[upstream]
	f.number[upstream]++
	breaks := map[int][]Break{}
	f.running = slices.DeleteFunc(f.running, func(s partStream) bool {
		if s.upstream != upstream {
			return false
		}
		events := max(0, f.made(s)-f.random.IntN(2)) // the last one may not arrive
		fp := Fingerprint(f.random.Uint64() | 1<<40)
		breaks[s.router] = append(breaks[s.router], Break{Fingerprint: fp, Parts: s.parts, Begun: events > 0, Events: events})
		f.lose(s)
		return true
	})
	for router, list := range breaks {
		f.at(f.now+partProbeTime, func() { f.report(f.registry[router].RecordBreaks(name, number, list, at(f.now))) })
	}
}

// advance ends the streams whose time has come, and notes how far the others have come.
func (f *loadFleet) advance() {
	crashing := map[int]bool{}
	f.running = slices.DeleteFunc(f.running, func(s partStream) bool {
		if s.poisonous {
			crashing[s.upstream] = crashing[s.upstream] || f.now-s.since >= loadFirst && f.made(s) >= f.events()
			return false
		}
		age := f.now - s.since
		whole := age >= loadFirst+int(1000*f.length)
		if reg := f.registry[s.router]; reg.Len() > 0 && (whole || age/loadStep%(loadEvidence/loadStep) == 0) {
			f.report(reg.RecordAnswer(Answer{Parts: s.parts, Events: f.made(s), Whole: whole, At: at(f.now)}))
		}
		return whole
	})
	for upstream := range f.upstreams {
		if crashing[upstream] {
			f.crash(upstream)
		}
	}
}

func (l partLoad) play(seed uint64) *loadFleet {
	settings := Settings{RefuseDuration: 5 * time.Minute, SuspectDuration: time.Minute}
	f := &loadFleet{
		partLoad: l, random: rand.New(rand.NewPCG(seed, 59)), control: NewRegistry(settings),
		down: make([]int, l.upstreams), number: make([]uint64, l.upstreams), later: map[int][]func(){},
	}
	for range l.routers {
		f.registry = append(f.registry, NewRegistry(settings))
	}
	for range l.upstreams * l.streams {
		f.request(false, -f.random.IntN(int(1000*l.length)))
	}
	perStep := float64(l.upstreams*l.streams) / l.length * loadStep / 1000
	for ; f.now < loadEnd; f.now += loadStep {
		for _, do := range f.later[f.now] {
			do()
		}
		delete(f.later, f.now)
		f.advance()
		for n := perStep; n > 0; n-- {
			if n >= 1 || f.random.Float64() < n {
				f.request(false, f.now)
			}
		}
		if f.now >= loadWarm && f.random.Float64() < l.rate*loadStep/1000 {
			f.request(true, f.now)
		}
	}
	return f
}

// late returns the number of poisonous requests that were sent too late by the rule BUDGET.
func (f *loadFleet) late() int {
	count := 0
	for _, ms := range f.sent {
		if len(f.crashes) >= 5 && ms > f.crashes[4]+contactTime {
			count++
		}
	}
	return count
}

// service returns the sound requests from twice contactTime after the fifth crash on, or the
// last if there are fewer, and those of them that were refused or cut.
func (f *loadFleet) service() (sound, lost int) {
	if len(f.crashes) == 0 {
		return 0, 0
	}
	from := f.crashes[min(4, len(f.crashes)-1)] + 2*contactTime
	for second := from/1000 + 1; second < loadEnd/1000; second++ {
		sound += f.sound[second]
		lost += f.lost[second]
	}
	return sound, lost
}

// drawLoad draws a load by its seed.
func drawLoad(seed uint64) partLoad {
	r := rand.New(rand.NewPCG(seed, 12))
	pick := func(list ...int) int { return list[r.IntN(len(list))] }
	l := partLoad{
		routers: pick(1, 3, 9, 20), upstreams: pick(4, 8, 12, 24), streams: pick(1, 4, 12), length: float64(pick(1, 2, 6, 20)), gap: pick(20, 50, 100),
		shared: 1 + r.IntN(3), others: pick(0, 5, 60), rate: 1 + 9*r.Float64(), delay: pick(30, 100, 1000),
	}
	l.after = r.IntN(int(1000*l.length) / l.gap)
	return l
}

// afterSoundStreams returns the load with the crash after more events than a sound stream has.
func (l partLoad) afterSoundStreams() partLoad {
	l.after += int(1000*l.length)/l.gap + 1
	return l
}

// TestPartThatCrashesInMidStreamIsRefused plays the loads of testdata/parts.txt, and some drawn by
// seed. It guards against a part that is cleared by the very answers at which it crashes
// upstreams, and against refusals of sound requests that share their other parts with it, also if
// their answers are shorter.
func TestPartThatCrashesInMidStreamIsRefused(t *testing.T) {
	file, err := os.Open("testdata/parts.txt")
	assert.NilError(t, err)
	defer file.Close()
	var loads []partLoad
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text := lines.Text()
		if text == "" || text[0] == '#' {
			continue
		}
		var l partLoad
		_, err := fmt.Sscan(text, &l.routers, &l.upstreams, &l.streams, &l.length, &l.gap, &l.after, &l.shared, &l.others, &l.rate, &l.delay)
		assert.NilError(t, err, text)
		loads = append(loads, l)
	}
	assert.NilError(t, lines.Err())
	for seed := range *partDraws {
		l := drawLoad(seed)
		loads = append(loads, l, l.afterSoundStreams())
	}
	for _, l := range loads {
		t.Run(strings.ReplaceAll(l.String(), " ", "_"), func(t *testing.T) {
			t.Parallel()
			for seed := range *partSeeds {
				f := l.play(seed)
				sound, lost := f.service()
				t.Logf("seed %d: %d crashes, %d late, %d of %d sound requests refused or cut", seed, len(f.crashes), f.late(), lost, sound)
				assert.Check(t, f.late() <= mostLate, "seed %d: %d requests with the part were sent too late, %d crashes", seed, f.late(), len(f.crashes))
				assert.Check(t, sound < leastSound || float64(lost) <= (1-soundShare)*float64(sound), "seed %d: %d of %d sound requests were refused or cut", seed, lost, sound)
			}
		})
	}
}
