package pace

import (
	"bufio"
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

var run = Run{Upstream: "u", StartedAt: 1}

// load is a line of testdata/limits.txt.
type load struct {
	name          string
	routers       int
	demand, limit float64
	spread        float64 // ms
}

// message is a record on its way to a router.
type message struct {
	at     float64 // ms
	router int
	record Limit
}

// The upstream of the simulation names its limit from limitStart to limitEnd. It answers
// after answerTime. Times are in ms.
const (
	limitStart, limitEnd, playEnd = 5_000.0, 35_000.0, 45_000.0
	answerTime                    = 30.0
	span                          = 4_000.0
)

// play plays a load and returns the times at which requests were sent, by whether the
// router had been told of the limit half a second before.
func (l load) play() (sent, told []float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	at := func(ms float64) time.Time { return time.UnixMilli(1_000_000).Add(time.Duration(ms * 1e6)) }
	names := make([]string, l.routers)
	books := make([]*Book, l.routers)
	toldAt := make([]float64, l.routers)
	for i := range books {
		names[i], books[i] = fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), NewBook()
	}
	type answer struct {
		at, sent float64
		router   int
	}
	var answers []answer
	var messages []message
	for now := 0.0; now < playEnd; now++ {
		for len(answers) > 0 && answers[0].at <= now {
			a := answers[0]
			answers = answers[1:]
			said := Answer{Ran: true, SentAt: at(a.sent)}
			if named := a.at - answerTime/2; named >= limitStart && named < limitEnd {
				said.Rate = l.limit
				if toldAt[a.router] == 0 {
					toldAt[a.router] = now
				}
			}
			record, spread := books[a.router].Hear(run, said, at(now))
			for i := range books {
				if spread && l.spread > 0 && i != a.router {
					messages = append(messages, message{at: now + l.spread*(0.5+rng.Float64()), router: i, record: record})
				}
			}
		}
		messages = slices.DeleteFunc(messages, func(m message) bool {
			if m.at <= now {
				books[m.router].Merge([]Limit{m.record}, at(now))
			}
			return m.at <= now
		})
		for i, b := range books {
			if rng.Float64() >= l.demand/1000 {
				continue
			}
			share := func(rate float64) float64 { return Share(run.Upstream, rate, names, names[i]) }
			if !b.Take(run, share, at(now)) {
				continue
			}
			sent = append(sent, now)
			if toldAt[i] > 0 && now >= toldAt[i]+500 && now < limitEnd {
				told = append(told, now)
			}
			answers = append(answers, answer{at: now + answerTime, sent: now, router: i})
		}
	}
	return sent, told
}

// countWithin returns how many of the sorted times are within [from, to).
func countWithin(times []float64, from, to float64) int {
	lo, _ := slices.BinarySearch(times, from)
	hi, _ := slices.BinarySearch(times, to)
	return hi - lo
}

// TestFleetKeepsLimits plays the loads of testdata/limits.txt. In no four seconds may
// routers that were told send more than one and a half times the limit and 5 requests. The
// limit is used, and the upstream gets all requests again within two seconds of its end.
func TestFleetKeepsLimits(t *testing.T) {
	file, err := os.Open("testdata/limits.txt")
	assert.NilError(t, err)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text := strings.TrimSpace(lines.Text()); text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		var l load
		_, err := fmt.Sscan(lines.Text(), &l.name, &l.routers, &l.demand, &l.limit, &l.spread)
		assert.NilError(t, err)
		t.Run(l.name, func(t *testing.T) {
			sent, told := l.play()
			most := 0
			for _, at := range told {
				most = max(most, countWithin(told, at, at+span))
			}
			total := l.demand * float64(l.routers)
			used := countWithin(sent, limitStart+span, limitEnd)
			after := countWithin(sent, limitEnd+2000, playEnd)
			t.Logf("%d in 4 s, %d while limited, %d after", most, used, after)
			assert.Assert(t, float64(most) <= 1.5*l.limit*span/1000+5, "%d requests in 4 s", most)
			if l.spread > 0 {
				least := min(l.limit, total) * (limitEnd - limitStart - span) / 1000
				assert.Assert(t, float64(used) >= least/2-1, "%d requests while limited", used)
				assert.Assert(t, float64(after) >= 0.9*total*(playEnd-limitEnd-2000)/1000, "%d requests after the limit", after)
			}
		})
	}
}

// TestPauseAndLeave checks that an upstream gets nothing while it pauses and after it said
// that it leaves, and that its next run does.
func TestPauseAndLeave(t *testing.T) {
	b, now := NewBook(), time.UnixMilli(1_000_000)
	all := func(rate float64) float64 { return rate }
	assert.Assert(t, b.Take(run, all, now))
	assert.Equal(t, b.Len(), 0)
	b.Hear(run, Answer{RetryAt: now.Add(2 * time.Second)}, now)
	b.Hear(run, Answer{RetryAt: now.Add(time.Second)}, now)
	assert.Assert(t, !b.Take(run, all, now.Add(2*time.Second-1)))
	assert.Assert(t, b.Take(run, all, now.Add(2*time.Second)))
	b.Hear(run, Answer{Leaving: true}, now)
	b.Hear(run, Answer{Ran: true}, now)
	assert.Assert(t, !b.Allows(run, all, now.Add(leaveTime-1)))
	assert.Assert(t, b.Take(Run{Upstream: run.Upstream, StartedAt: 2}, all, now))
	b.Sweep(now.Add(leaveTime + limitTime))
	assert.Equal(t, b.Len(), 0)
}

// TestAnswerFromBeforeEndsNoLimit hears answers without a limit to a request that was sent
// before the limit was known, and to one that was refused.
func TestAnswerFromBeforeEndsNoLimit(t *testing.T) {
	b, now := NewBook(), time.UnixMilli(1_000_000)
	_, spread := b.Hear(run, Answer{Rate: 2, Ran: true, SentAt: now}, now)
	assert.Assert(t, spread)
	for _, a := range []Answer{{Ran: true, SentAt: now.Add(-1)}, {SentAt: now.Add(time.Second)}, {Rate: 2, Ran: true, SentAt: now}} {
		_, spread = b.Hear(run, a, now.Add(time.Second))
		assert.Assert(t, !spread)
	}
	record, spread := b.Hear(run, Answer{Rate: 2, Ran: true}, now.Add(refreshTime))
	assert.Assert(t, spread)
	assert.Equal(t, record, Limit{Run: run, Number: 2, Rate: 2})
	record, spread = b.Hear(run, Answer{Ran: true, SentAt: now.Add(refreshTime)}, now.Add(refreshTime+time.Second))
	assert.Assert(t, spread)
	assert.Equal(t, record, Limit{Run: run, Number: 3})
	assert.Assert(t, b.Allows(run, func(float64) float64 { return 0 }, now.Add(refreshTime+time.Second)))
}

// TestMergeIsOrdered merges records in any order, and those that are not valid.
func TestMergeIsOrdered(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	records := []Limit{{Run: run, Number: 1, Rate: 5}, {Run: run, Number: 2}, {Run: run, Number: 2, Rate: 3}, {Run: run, Number: 2, Rate: 4}}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		b := NewBook()
		b.Merge(records, now)
		b.Merge([]Limit{{Run: run, Number: 9, Rate: -1}, {Number: 9, Rate: 1}}, now)
		assert.DeepEqual(t, b.Limits(), []Limit{{Run: run, Number: 2, Rate: 3}})
	}
}

// TestShareIsDivided checks that the parts of all routers add up to the limit.
func TestShareIsDivided(t *testing.T) {
	for _, routers := range []int{1, 2, 9, 295} {
		names := make([]string, routers)
		for i := range names {
			names[i] = fmt.Sprint("r", i)
		}
		for _, rate := range []float64{0.2, 1, 1.1, 8.5, 100, 1000} {
			sum, smallest := 0.0, rate
			for _, name := range names {
				if part := Share(poplar.Upstream("u"), rate, names, name); part > 0 {
					sum, smallest = sum+part, min(smallest, part)
				}
			}
			assert.Assert(t, sum > rate*0.999 && sum < rate*1.001, "%d routers: %f of %f", routers, sum, rate)
			assert.Assert(t, smallest >= min(rate, 0.5), "%d routers: a part of %f", routers, smallest)
		}
	}
	assert.Equal(t, Share("u", 3, []string{"a", "b", "c", "d"}, "stranger"), 0.0)
}
