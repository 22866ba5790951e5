package roster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// TestLeavesEndRuns plays testdata/leaves.txt.
func TestLeavesEndRuns(t *testing.T) {
	file, err := os.Open("testdata/leaves.txt")
	assert.NilError(t, err)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		if line == "" || line[0] == '#' {
			continue
		}
		var left, leftAt, started, at, want string
		_, err := fmt.Sscanf(strings.Join(strings.Fields(line), " "), "leave %s %s | %s %s %s", &left, &leftAt, &started, &at, &want)
		assert.NilError(t, err)
		l := NewLeaves()
		assert.Assert(t, l.Add(Announcement{Name: "up", State: StateRemoved, StartedAt: millis(t, left)}, millis(t, leftAt)))
		ready := Announcement{Name: "up", State: StateReady, StartedAt: millis(t, started), Sequence: 99}
		ended := l.Ended(ready, millis(t, strings.TrimSuffix(at, ":")))
		assert.Equal(t, ended, want == "ended", line)
	}
}

func millis(t *testing.T, seconds string) int64 {
	t.Helper()
	if seconds == "-" {
		return 0
	}
	n, err := strconv.ParseInt(seconds, 10, 64)
	assert.NilError(t, err)
	return 1000 * n
}

// TestUpstreamsLeaveAndReturnAllDay lets 3,000 upstreams leave and return for a day, most of them
// under other names. It guards against a state that grows with each leave, and against an
// upstream that is kept out when it returns.
func TestUpstreamsLeaveAndReturnAllDay(t *testing.T) {
	leaves := NewLeaves()
	playHours(24, func(now time.Time, a Announcement) {
		if a.State == StateReady {
			assert.Assert(t, !leaves.Ended(a, now.UnixMilli()), "%s is kept out", a.Name)
			return
		}
		assert.Assert(t, leaves.Add(a, now.UnixMilli()))
	}, func(time.Time) {
		data, err := json.Marshal(leaves)
		assert.NilError(t, err)
		assert.Assert(t, len(leaves.byName) <= dayUpstreams, "%d leaves", len(leaves.byName))
		assert.Assert(t, len(data) < 1<<20, "the leaves take %d bytes of a snapshot", len(data))
	})
}

const dayUpstreams = 3000

// playHours calls announce for each announcement of upstreams that leave after 20 minutes and
// return after 10 seconds, and end after all have left.
func playHours(hours int, announce func(time.Time, Announcement), end func(time.Time)) {
	const away, stay = 10 * time.Second, 20 * time.Minute
	now := time.UnixMilli(1_000_000_000)
	for round := range int(time.Duration(hours) * time.Hour / (away + stay)) {
		var list []Announcement
		for i := range dayUpstreams {
			a := Announcement{
				Name: poplar.Upstream(fmt.Sprint("up-", i, "-", round)), Service: "s", Address: fmt.Sprint("10.0.0.1:", i),
				State: StateReady, StartedAt: now.UnixMilli(), Sequence: 1,
			}
			if i%10 == 0 {
				a.Name = poplar.Upstream(fmt.Sprint("up-", i))
			}
			announce(now, a)
			list = append(list, a)
		}
		now = now.Add(stay)
		for _, a := range list {
			a.State = StateRemoved
			announce(now, a)
		}
		end(now)
		now = now.Add(away)
	}
}

// TestLeavesAreBounded adds leaves of more upstreams than are remembered.
func TestLeavesAreBounded(t *testing.T) {
	l := NewLeaves()
	for i := range maxLeaves + 50 {
		l.Add(Announcement{Name: poplar.Upstream(fmt.Sprint(i)), State: StateRemoved, StartedAt: 1}, int64(i/100))
	}
	assert.Equal(t, len(l.All()), maxLeaves)
	assert.Assert(t, !l.Ended(Announcement{Name: "0", StartedAt: 1}, 0), "the earliest is forgotten")
	assert.Assert(t, l.Ended(Announcement{Name: poplar.Upstream(fmt.Sprint(maxLeaves)), StartedAt: 1}, 0))
}
