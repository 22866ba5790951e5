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

// midstreamSeeds is the number of seeds of each load.
var midstreamSeeds = flag.Uint64("midstream.seeds", 8, "number of seeds of each load of TestRequestThatCrashesInMidStreamIsRefused")

const (
	midstreamStep   = 5               // milliseconds of a step of the simulation
	midstreamEvent  = 20              // milliseconds between two events of an answer
	midstreamSends  = 10              // of the poisonous request
	midstreamDown   = 4000            // of a crashed upstream, until it has started again
	midstreamRetry  = 500             // until the caller of a sound stream sends it again
	midstreamProbe  = 25              // from a crash to its discovery
	midstreamReport = 60              // of a record to the control daemon and on to the other routers
	poisonousPrint  = 1               // sound requests have higher fingerprints
	longestWait     = 4 * time.Second // for which a refused caller comes back
	mostLate        = 3               // runs of the request, sent contactTime after its third crash
	mostDenied      = 5               // sound requests that may be refused, and one in deniedShare
	deniedShare     = 500.0           // of all
)

// midstreamLoad is a line of testdata/midstream.txt.
type midstreamLoad struct {
	routerCount, upstreams, streams int
	length                          float64 // seconds
	attempts                        int
	gap                             float64 // seconds
	crashAfter                      int     // milliseconds
	phase, evidence                 string
}

// midstreamRun is a request that runs at an upstream.
type midstreamRun struct {
	print            Fingerprint
	router, upstream int
	attempts         int
	since, left      int // milliseconds: when it began at the upstream, and what is left of it
}

// midstreamFleet simulates routers, a control daemon and upstreams.
type midstreamFleet struct {
	midstreamLoad
	random   *rand.Rand
	routers  []*Registry
	breaks   []*Breaks
	control  *Registry
	down     []int // by upstream: when it is back
	number   []uint64
	running  []midstreamRun
	later    map[int][]func() // by time
	now      int
	crashes  []int
	late     int // runs of the poisonous request that were sent too late
	sound    int // sound requests, with those that were sent again
	refused  int
	lastSent Fingerprint
}

func (f *midstreamFleet) after(ms int, do func()) {
	at := f.now + max(ms, midstreamStep)/midstreamStep*midstreamStep
	f.later[at] = append(f.later[at], do)
}

// send lets a caller send a request to a router. If it is refused, the caller comes back once,
// unless the time that it is told is too long.
func (f *midstreamFleet) send(router int, fp Fingerprint, left int, again bool) {
	if fp != poisonousPrint && !again {
		f.sound++
	}
	verdict, until := f.routers[router].Check(fp, at(f.now))
	wait := until.Sub(at(f.now))
	switch {
	case verdict != Refused:
		f.request(router, fp, 0, left)
	case !again && wait <= longestWait:
		f.after(int(wait.Milliseconds())+midstreamStep, func() { f.send(f.random.IntN(len(f.routers)), fp, left, true) })
	case fp != poisonousPrint:
		f.refused++
	}
}

// request lets a router run a request. The time is what is left of its answer.
func (f *midstreamFleet) request(router int, fp Fingerprint, attempts, left int) {
	if verdict, _ := f.routers[router].Check(fp, at(f.now)); verdict == Refused {
		return
	}
	upstream := f.random.IntN(f.upstreams)
	for n := 0; f.down[upstream] > f.now; n++ {
		if n == f.upstreams {
			f.after(100, func() { f.request(router, fp, attempts, left) })
			return
		}
		upstream = (upstream + 1) % f.upstreams
	}
	if fp == poisonousPrint && len(f.crashes) >= 3 && f.now > f.crashes[2]+contactTime {
		f.late++
	}
	f.running = append(f.running, midstreamRun{fp, router, upstream, attempts + 1, f.now, left})
}

// crash ends an upstream and all that runs there.
func (f *midstreamFleet) crash(upstream int) {
	f.crashes = append(f.crashes, f.now)
	f.down[upstream] = f.now + midstreamDown
	number := f.number[upstream]
	f.number[upstream]++
	name := poplar.Upstream(fmt.Sprint("u", upstream))
	var kept, cut []midstreamRun
	for _, r := range f.running {
		if r.upstream != upstream {
			kept = append(kept, r)
		} else {
			cut = append(cut, r)
		}
	}
	f.running = kept
	told := map[int]bool{}
	for _, r := range cut {
		b := Break{Fingerprint: r.print, Begun: f.phase != "waiting" || r.print != poisonousPrint, At: at(f.now)}
		if b.Begun {
			b.Events = (f.now - r.since) / midstreamEvent
		}
		f.breaks[r.router].Add(name, number, b)
		if !told[r.router] {
			told[r.router] = true
			evidence, delay := EvidenceRefused, midstreamProbe
			if f.evidence == "restart" {
				evidence, delay = EvidenceRestart, midstreamDown
			}
			f.after(delay, func() { f.end(r.router, name, number, evidence) })
		}
		done := f.now - r.since
		switch {
		case r.attempts < f.attempts:
			f.after(midstreamStep, func() { f.request(r.router, r.print, r.attempts, max(r.left-done, midstreamStep)) })
		case r.print != poisonousPrint:
			f.after(midstreamRetry, func() { f.send(f.random.IntN(len(f.routers)), r.print, int(1000*f.length), false) })
		}
	}
}

// end gives a router evidence of a crash, which reports it.
func (f *midstreamFleet) end(router int, name poplar.Upstream, number uint64, evidence Evidence) {
	breaks := f.breaks[router].NoteEnd(name, number, evidence, at(f.now))
	f.report(f.routers[router].RecordBreaks(name, number, breaks, at(f.now)))
}

// report merges records at the control daemon, which tells the other routers.
func (f *midstreamFleet) report(records []Record) {
	if len(records) == 0 {
		return
	}
	f.after(midstreamReport, func() {
		told := f.control.MergeReports(records)
		for _, r := range f.routers {
			r.MergeRecords(told)
		}
	})
}

// step lets time pass.
func (f *midstreamFleet) step() {
	for _, do := range f.later[f.now] {
		do()
	}
	delete(f.later, f.now)
	for i := 0; i < len(f.running); i++ {
		r := f.running[i]
		switch {
		case r.print == poisonousPrint && f.now-r.since >= f.crashAfter && f.phase == "resumed" && r.attempts > 1:
			f.running = slices.Delete(f.running, i, i+1)
			i--
			f.report(f.routers[r.router].RecordAnswer(f.whole(r)))
		case r.print == poisonousPrint && f.now-r.since >= f.crashAfter:
			f.crash(r.upstream)
			i = -1
		case r.print != poisonousPrint && f.now-r.since >= r.left:
			f.running = slices.Delete(f.running, i, i+1)
			i--
			f.report(f.routers[r.router].RecordAnswer(f.whole(r)))
			f.begin(int(1000 * f.length))
		}
	}
	f.now += midstreamStep
}

// whole returns the answer of a run that has come to its end.
func (f *midstreamFleet) whole(r midstreamRun) Answer {
	return Answer{Fingerprint: r.print, Events: (f.now - r.since) / midstreamEvent, Whole: true, Resumed: r.attempts > 1, At: at(f.now)}
}

// begin sends a new sound request.
func (f *midstreamFleet) begin(left int) {
	f.lastSent++
	f.send(f.random.IntN(len(f.routers)), poisonousPrint+f.lastSent, left, false)
}

func (l midstreamLoad) play(seed uint64) *midstreamFleet {
	settings := Settings{RefuseDuration: 5 * time.Minute, SuspectDuration: time.Minute}
	f := &midstreamFleet{
		midstreamLoad: l, random: rand.New(rand.NewPCG(seed, 0)), control: NewRegistry(settings), down: make([]int, l.upstreams),
		number: make([]uint64, l.upstreams), later: map[int][]func(){},
	}
	for range l.routerCount {
		f.routers, f.breaks = append(f.routers, NewRegistry(settings)), append(f.breaks, NewBreaks())
	}
	for range l.upstreams * l.streams {
		f.begin(1 + f.random.IntN(int(1000*l.length)))
	}
	gap := int(1000*l.gap) / midstreamStep
	for n := range midstreamSends * gap {
		if n%gap == gap/2 {
			f.send(n/gap%l.routerCount, poisonousPrint, 0, false)
		}
		f.step()
	}
	return f
}

// TestRequestThatCrashesInMidStreamIsRefused plays the loads of testdata/midstream.txt. It
// guards against a request that crashes one upstream after another because its answer had
// begun, and against refusals of the sound streams that were cut with it.
func TestRequestThatCrashesInMidStreamIsRefused(t *testing.T) {
	file, err := os.Open("testdata/midstream.txt")
	assert.NilError(t, err)
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text := lines.Text()
		if text == "" || text[0] == '#' {
			continue
		}
		var l midstreamLoad
		var routers int
		_, err := fmt.Sscan(text, &routers, &l.upstreams, &l.streams, &l.length, &l.attempts, &l.gap, &l.crashAfter, &l.phase, &l.evidence)
		assert.NilError(t, err)
		l.routerCount = routers
		t.Run(strings.Join(strings.Fields(text), " "), func(t *testing.T) {
			t.Parallel()
			for seed := range *midstreamSeeds {
				f := l.play(seed)
				t.Logf("seed %d: %d crashes, %d late, %d of %d sound requests refused", seed, len(f.crashes), f.late, f.refused, f.sound)
				assert.Check(t, f.late <= mostLate, "seed %d: %d runs were sent too late, %d crashes", seed, f.late, len(f.crashes))
				assert.Check(t, float64(f.refused) <= mostDenied+float64(f.sound)/deniedShare, "seed %d: %d of %d sound requests were refused",
					seed, f.refused, f.sound)
			}
		})
	}
	assert.NilError(t, lines.Err())
}
