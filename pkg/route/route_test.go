package route

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/trial"
)

func TestMain(m *testing.M) { os.Exit(trial.Run(m)) }

var epoch = time.Unix(1_700_000_000, 0)

// promptHashes returns the block hashes of a prompt of n blocks.
func promptHashes(n int) []uint64 {
	return HashBlocks("m", []byte(strings.Repeat("x", n*BlockBytes)))
}

// parseUpstream parses an "up" line of testdata/pick.txt.
func parseUpstream(t *testing.T, x *PrefixIndex, fields []string, slot int) Candidate {
	offer := Offer{
		Name: poplar.Upstream(fields[1]), Domain: poplar.Domain(fields[2]),
		Models: []poplar.Model{"m"}, ServiceTime: 1, PrefillRate: 1000,
	}
	report := Report{At: epoch.Add(-time.Second)}
	s := NewLocalState(uint16(slot))
	until, leaving := epoch.Add(time.Minute), false
	for _, f := range fields[3:] {
		key, text, _ := strings.Cut(f, "=")
		n, _ := strconv.Atoi(text)
		switch key {
		case "slots":
			offer.Slots = n
		case "run":
			report.Running[poplar.Urgent] = n
		case "wait":
			report.Waiting[poplar.Urgent] = n
		case "bulk":
			report.Running[poplar.Bulk] = n
		case "bulkwait":
			report.Waiting[poplar.Bulk] = n
		case "flight":
			for range n {
				s.Start(poplar.Normal, 0, epoch)
			}
		case "limit":
			s.SetLimit(float64(n))
		case "age":
			report.At = epoch.Add(-time.Duration(n) * time.Second)
		case "has":
			x.Add(s, promptHashes(n))
		case "seized":
			s.AcquireExclusive()
		case "leaving":
			leaving = true
		case "silent":
			until = epoch
		case "ejected":
			s.Eject(epoch.Add(time.Second))
		default:
			t.Fatalf("unknown field %q", f)
		}
	}
	c := NewCandidate(offer, report, s, until)
	c.ownAtReport, c.othersAtReport = 0, float64(report.Outstanding(poplar.Bulk))
	if leaving {
		return c.Leaving()
	}
	return c
}

func TestPickCases(t *testing.T) {
	data, err := os.ReadFile("testdata/pick.txt")
	assert.NilError(t, err)
	var name string
	var all []Candidate
	var request []string
	index := NewIndex(1024)
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		switch fields[0] {
		case "case":
			name, all, index = line, nil, NewIndex(1024)
		case "up":
			all = append(all, parseUpstream(t, index, fields, len(all)))
		case "ask":
			request = fields
		case "want":
			got := pickResult(t, NewTable("a", all, index, DefaultSettings()), request)
			assert.Equal(t, got, strings.Join(fields[1:], " "), name)
		}
	}
}

func pickResult(t *testing.T, table *Table, request []string) string {
	rank, err := poplar.ParseRank(request[1])
	assert.NilError(t, err)
	tokens, _ := strconv.Atoi(request[2])
	blocks, _ := strconv.Atoi(request[3])
	r := ForModel("m", rank, poplar.Tokens(tokens), promptHashes(blocks))
	for _, option := range request[4:] {
		switch option {
		case "alone":
			r = r.Exclusive()
		case "owed":
			r = r.BelowFloor()
		default:
			r = r.Avoid(poplar.Upstream(option))
		}
	}
	d, ok := Pick(table, &r, epoch, 7)
	if !ok {
		return "none " + string(d.Reason())
	}
	return fmt.Sprintf("%s %s", d.Candidate().Name(), d.Reason())
}

// TestPickInvariants checks on random tables that the chosen upstream may take
// the request, that one is found whenever one is available, and that the same
// input gives the same result.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewIndex(256)
		n := rapid.IntRange(0, 40).Draw(t, "n")
		all := make([]Candidate, n)
		available := 0
		for i := range all {
			s := NewLocalState(uint16(i))
			state := rapid.IntRange(0, 4).Draw(t, "out")
			until := epoch.Add(time.Second)
			switch state {
			case 0:
				until = epoch
			case 1:
				s.Eject(epoch.Add(time.Second))
			case 2:
				s.SetLimit(1)
				s.Start(poplar.Bulk, 0, epoch)
				s.Start(poplar.Bulk, 0, epoch)
			default:
				available++
			}
			if rapid.Bool().Draw(t, "has") {
				index.Add(s, promptHashes(rapid.IntRange(1, 8).Draw(t, "blocks")))
			}
			domain := poplar.Domain(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"))
			offer := Offer{Name: poplar.Upstream(fmt.Sprint("u", i)), Domain: domain, Models: []poplar.Model{"m"}}
			all[i] = NewCandidate(offer, Report{}, s, until)
		}
		table := NewTable("a", all, index, DefaultSettings())
		r := ForModel("m", poplar.Normal, 512, promptHashes(8))
		rnd := rapid.Uint64().Draw(t, "rnd")
		d, ok := Pick(table, &r, epoch, rnd)
		assert.Equal(t, ok, available > 0)
		again, _ := Pick(table, &r, epoch, rnd)
		assert.Equal(t, d, again)
		if ok {
			assert.Assert(t, d.Candidate().Eligible(epoch))
			e := d.Candidate().estimate(epoch.UnixNano(), &table.settings)
			assert.Assert(t, e.load < d.Candidate().limit(&r, &table.settings)*(1+table.settings.Headroom))
		}
	})
}

func TestIndexRemoveAndReset(t *testing.T) {
	x, s, other := NewIndex(64), NewLocalState(1), NewLocalState(2)
	blocks := promptHashes(4)
	x.Add(s, blocks)
	x.Add(other, blocks[:1])
	x.Remove(s, blocks[3:])
	assert.Assert(t, x.Holds(s, blocks[2]))
	assert.Assert(t, !x.Holds(s, blocks[3]))
	s.ResetCache()
	assert.Assert(t, !x.Holds(s, blocks[2]))
	assert.Assert(t, x.Holds(other, blocks[0]))
}

func TestLocalStateInFlightHistory(t *testing.T) {
	s := NewLocalState(0)
	for i := range 8 {
		s.Start(poplar.Normal, 10, epoch.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, s.inFlightAt(epoch.Add(3500*time.Millisecond)), 4)
	s.ObserveCacheHit(100, 0)
	for range 8 {
		s.FirstToken(10)
		s.Finish(poplar.Normal, time.Second, epoch.Add(9*time.Second))
	}
	assert.Equal(t, s.InFlight(), 0)
}

func ExamplePick() {
	now := time.Unix(0, 0)
	index := NewIndex(1 << 10)
	offer := Offer{Name: "engine-1", Domain: "north", Models: []poplar.Model{"small"}}
	engine := NewCandidate(offer, Report{}, NewLocalState(0), now.Add(3*time.Second))
	table := NewTable("north", []Candidate{engine}, index, DefaultSettings())

	request := ForModel("small", poplar.Urgent, 800, nil)
	decision, ok := Pick(table, &request, now, 42)
	fmt.Println(ok, decision)
	// Output: true engine-1 in north: load, wait 100ms, cached tokens 0, upstreams scored 1
}

func BenchmarkPick(b *testing.B) {
	index := NewIndex(1 << 16)
	all := make([]Candidate, 1100)
	for i := range all {
		domain := poplar.Domain(fmt.Sprint("d", i%13))
		offer := Offer{Name: poplar.Upstream(fmt.Sprint("u", i)), Domain: domain, Models: []poplar.Model{"m"}}
		all[i] = NewCandidate(offer, Report{At: epoch}, NewLocalState(uint16(i)), epoch.Add(time.Hour))
		if i%100 == 0 {
			index.Add(all[i].state, promptHashes(16))
		}
	}
	table := NewTable("d0", all, index, DefaultSettings())
	r := ForModel("m", poplar.Normal, 2048, promptHashes(32))
	b.ReportAllocs()
	for i := range b.N {
		Pick(table, &r, epoch, uint64(i))
	}
}
