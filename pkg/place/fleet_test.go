package place

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// fleet is a load on many routers, from testdata/fleets.txt.
type fleet struct {
	name               string
	routers, upstreams int
	prefillPerMs       float64
	kinds              []kind
}

// kind is a kind of request.
type kind struct {
	name           string
	rate, own, aim float64
	shared         []sharedPart
}

// sharedPart is a prompt part of which there are a number of different ones.
type sharedPart struct {
	tokens float64
	number int
}

func readFleets(t *testing.T) []fleet {
	t.Helper()
	file, err := os.Open("testdata/fleets.txt")
	assert.NilError(t, err)
	defer file.Close()
	var list []fleet
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		if fields[0] == "fleet" {
			list = append(list, fleet{name: fields[1], routers: int(number(t, fields[2])), upstreams: int(number(t, fields[3])), prefillPerMs: number(t, fields[4])})
			continue
		}
		k := kind{name: fields[0], rate: number(t, fields[1]), own: number(t, fields[2]), aim: number(t, fields[3])}
		for _, text := range fields[4:] {
			tokens, count, _ := strings.Cut(text, "/")
			k.shared = append(k.shared, sharedPart{tokens: number(t, tokens), number: int(number(t, count))})
		}
		f := &list[len(list)-1]
		f.kinds = append(f.kinds, k)
	}
	return list
}

func number(t *testing.T, text string) float64 {
	t.Helper()
	n, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return n
}

// engine is an upstream of the play: it reads prompts one after another, without
// the parts that it has cached.
type engine struct {
	freeAt   float64 // ms
	cached   map[string]bool
	requests int
}

// send reads a prompt that arrives at now and returns the time of its first token.
func (e *engine) send(p Prompt, now, prefillPerMs float64) float64 {
	hit := true
	tokens := float64(p.Tokens)
	for _, part := range p.Parts {
		if hit = hit && e.cached[part.Name]; hit {
			tokens -= float64(part.Tokens)
		}
		e.cached[part.Name] = true
	}
	e.freeAt = max(e.freeAt, now) + tokens/prefillPerMs
	e.requests++
	return e.freeAt
}

// sent is a request of a router whose first token is due.
type sent struct {
	upstream int
	tokens   float64
	firstAt  float64
}

// play sends a minute of the load and returns the share of each kind that was in
// time, and the requests of the busiest engine over the mean. What happens in the
// first third fills the caches and does not count.
func (f *fleet) play(seed uint64) (inTime map[string]float64, busiest float64) {
	const length, warm = 60_000.0, 20_000.0
	rng := rand.New(rand.NewPCG(seed, 1))
	m := DefaultCostModel()
	names := upstreamNames(f.upstreams)
	preferred := LongPromptUpstreams(names)
	engines := make([]engine, f.upstreams)
	for i := range engines {
		engines[i].cached = map[string]bool{}
	}
	open := make([][]sent, f.routers)
	total, good := map[string]float64{}, map[string]float64{}
	inTime = map[string]float64{}
	sum := 0.0
	for _, k := range f.kinds {
		sum += k.rate
	}
	for now := 0.0; now < length; now += rng.ExpFloat64() * 1000 / sum {
		k, p := f.request(rng, sum)
		router := rng.IntN(f.routers)
		pending := make([]float64, f.upstreams)
		left := open[router][:0]
		for _, s := range open[router] {
			if s.firstAt > now {
				left = append(left, s)
				pending[s.upstream] += s.tokens
			}
		}
		open[router] = left
		sample := Sample(p, f.upstreams, func(i int) Peer {
			return Peer{Upstream: names[i], Usable: true, LongPrompts: preferred[names[i]]}
		}, rng.IntN)
		list := make([]Candidate, len(sample))
		for n, i := range sample {
			list[n] = Candidate{Upstream: names[i], Usable: true, LongPrompts: preferred[names[i]], PendingPrefill: pending[i], Uncached: float64(p.Tokens)}
		}
		i := sample[m.Choose(p, list, rng.Uint64())]
		first := engines[i].send(p, now, f.prefillPerMs)
		open[router] = append(open[router], sent{upstream: i, tokens: float64(p.Tokens), firstAt: first})
		if now < warm {
			engines[i].requests = 0
			continue
		}
		total[k.name]++
		if first-now <= k.aim {
			good[k.name]++
		}
	}
	all := 0
	for _, e := range engines {
		all += e.requests
		busiest = max(busiest, float64(e.requests))
	}
	for name, n := range total {
		inTime[name] = good[name] / n
	}
	return inTime, busiest * float64(f.upstreams) / float64(all)
}

// request draws a request.
func (f *fleet) request(rng *rand.Rand, sum float64) (kind, Prompt) {
	at := rng.Float64() * sum
	k := f.kinds[0]
	for _, k = range f.kinds {
		if at -= k.rate; at < 0 {
			break
		}
	}
	p := Prompt{}
	add := func(name string, tokens float64) {
		p.Parts = append(p.Parts, poplar.Part{Name: name, Tokens: poplar.Tokens(tokens)})
		p.Tokens += poplar.Tokens(tokens)
	}
	for level, s := range k.shared {
		which := rng.IntN(s.number)
		// The sizes of one part's requests are the same: 0.3 to 1.7 of the mean.
		add(fmt.Sprint(k.name, level, "-", which), s.tokens*(0.3+1.4*math.Mod(float64(which)*0.618, 1)))
	}
	add(fmt.Sprint(rng.Uint64()), k.own*rng.ExpFloat64())
	return k, p
}

// TestFleetsServeInTime plays the loads of testdata/fleets.txt. The prompts need
// less than a fifth of what the engines read, so nine of ten requests of each kind
// must be in time, and no engine may get a large multiple of the others.
func TestFleetsServeInTime(t *testing.T) {
	for _, f := range readFleets(t) {
		t.Run(f.name, func(t *testing.T) {
			inTime, busiest := f.play(1)
			t.Logf("in time %v, busiest engine %.1f times the mean", inTime, busiest)
			for _, k := range f.kinds {
				assert.Assert(t, inTime[k.name] >= 0.9, "%s: %.3f in time", k.name, inTime[k.name])
			}
			assert.Assert(t, busiest < 4, "the busiest engine got %.1f times the mean", busiest)
		})
	}
}
