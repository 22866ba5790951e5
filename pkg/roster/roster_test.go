package roster

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
)

// TestAnnouncementOrder applies the announcements of testdata/notices.txt to the
// rosters of two control daemons and checks the union that a router builds.
func TestAnnouncementOrder(t *testing.T) {
	file, err := os.Open("testdata/notices.txt")
	assert.NilError(t, err)
	defer file.Close()
	rosters := map[string]*Roster{"a": New(4 * time.Second), "b": New(4 * time.Second)}
	union := NewUnion()
	start := time.Unix(1_000_000, 0)
	now := start
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		switch {
		case line == "" || line[0] == '#':
		case line[0] == '=':
			for name, r := range rosters {
				r.Sweep(now)
				union.SetSource(name, r.Entries())
			}
			assert.Equal(t, describe(union), strings.TrimSpace(line[1:]), "line %d", number)
		default:
			var second int
			var source string
			var a Announcement
			_, err := fmt.Sscan(line, &second, &source, &a.Name, &a.Service, &a.Address, &a.State, &a.StartedAt, &a.Sequence)
			assert.NilError(t, err, "line %d", number)
			if a.Address == "-" {
				a.Service, a.Address = "", ""
			}
			now = start.Add(time.Duration(second) * time.Second)
			rosters[source].Apply(a, now)
		}
	}
	assert.NilError(t, lines.Err())
}

func describe(u *Union) string {
	var out []string
	for _, e := range u.Entries() {
		state := string(e.State)
		if e.Silent {
			state = "silent"
		}
		out = append(out, string(e.Name)+":"+state)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// TestVersionIgnoresHeartbeats checks that an announcement that only repeats the
// state does not change the version.
func TestVersionIgnoresHeartbeats(t *testing.T) {
	r := New(time.Second)
	now := time.Unix(1_000_000, 0)
	a := Announcement{Name: poplar.Upstream("up"), Address: "10.0.0.1:80", Service: "chat", State: StateReady, StartedAt: 1, Sequence: 1}
	assert.Assert(t, r.Apply(a, now))
	before := r.Version()
	a.Sequence = 2
	assert.Assert(t, !r.Apply(a, now))
	assert.Equal(t, r.Version(), before)
	a.Sequence, a.State = 3, StateLeaving
	assert.Assert(t, r.Apply(a, now))
	assert.Assert(t, r.Version() > before)
}

// TestChangesMakeTheSameList announces and sweeps at random, and compares a router
// that gets all upstreams with one that gets those that have changed since its last
// version.
func TestChangesMakeTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(time.Second)
		now := time.Unix(1_000_000, 0)
		full, delta := NewUnion(), NewUnion()
		seen := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
				r.Apply(Announcement{
					Name: poplar.Upstream(name), Service: "chat", Address: "10.0.0." + name + ":80",
					State:     rapid.SampledFrom([]State{StateReady, StateReady, StateLeaving, StateRemoved}).Draw(t, "state"),
					StartedAt: rapid.Int64Range(1, 3).Draw(t, "born"), Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence"),
				}, now)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				r.Sweep(now)
			},
			"tell": func(*rapid.T) {
				full.SetSource("core", r.Entries())
				delta.UpdateSource("core", r.EntriesSince(seen))
				seen = r.Version()
				if got, want := describe(delta), describe(full); got != want {
					t.Fatalf("by changes %q, in full %q", got, want)
				}
			},
		})
	})
}
