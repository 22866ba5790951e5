package core

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/quorum"
	"poplarbend.example/poplar/pkg/roster"
)

var (
	soakSeeds = flag.Uint64("leaves.seeds", 3, "number of courses of TestLeavesInRandomCourses")
	soakFirst = flag.Uint64("leaves.first", 1, "seed of the first course")
)

const (
	soakSteps     = 40
	soakUpstreams = 4
)

// TestLeavesInRandomCourses lets upstreams announce themselves, leave and start again, while control
// daemons lose power, singly or all at once, and start again. Announcements arrive late. Whenever
// all daemons are back, a router that starts must see no run whose leave was acknowledged, and
// all that have started since.
func TestLeavesInRandomCourses(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := &leaveCourse{leavePlay: &leavePlay{fleet: newFleet(t, 3)}, random: rand.New(rand.NewPCG(seed, 0))}
			c.declare(c.seeds[0], 1, "one")
			for i := range c.born {
				c.born[i] = 1
			}
			for range soakSteps {
				c.next()
			}
			c.check()
		})
	}
}

// leaveCourse is one course. Upstreams are named by their numbers.
type leaveCourse struct {
	*leavePlay
	random *rand.Rand
	born   [soakUpstreams]int64 // of the present run
	left   [soakUpstreams]int64 // the last run whose leave was acknowledged
	said   [soakUpstreams]bool  // true if the present run has said that it leaves
}

// next makes one step.
func (c *leaveCourse) next() {
	upstream := c.random.IntN(soakUpstreams)
	switch n := c.random.IntN(20); {
	case n < 7:
		c.announce(upstream, roster.StateReady, 1+c.random.Int64N(c.born[upstream]))
	case n < 12:
		state := roster.StateLeaving
		if c.random.IntN(2) == 0 {
			state = roster.StateRemoved
		}
		c.said[upstream] = true
		if c.announce(upstream, state, c.born[upstream]) {
			c.left[upstream] = c.born[upstream]
		}
	case n < 14:
		c.born[upstream]++
		c.said[upstream] = false
	case n < 17:
		c.crash(c.seeds[c.random.IntN(len(c.seeds))])
	case n < 18:
		for _, address := range c.seeds {
			c.crash(address)
		}
		c.startAll()
	case n < 19:
		c.startAll()
	default:
		c.check()
	}
}

// announce lets an announcement arrive at a daemon that runs, and reports whether it was
// acknowledged.
func (c *leaveCourse) announce(upstream int, state roster.State, born int64) bool {
	address := c.seeds[c.random.IntN(len(c.seeds))]
	return c.cores[address] != nil && c.hear(address, fmt.Sprint("up", upstream), state, born) == nil
}

func (c *leaveCourse) crash(address string) {
	if c.cores[address] == nil {
		return
	}
	c.crashes++
	c.disks[address].FailAt(1, disk.FaultStop)
	c.stop(address)
	c.disks[address].Crash(c.random.Uint64())
}

func (c *leaveCourse) startAll() {
	for _, address := range c.seeds {
		if c.cores[address] == nil {
			l, err := net.Listen("tcp4", address)
			assert.NilError(c.t, err)
			c.start(l, false)
		}
	}
}

// check starts all daemons, lets late announcements arrive, and checks what a router sees.
func (c *leaveCourse) check() {
	c.t.Helper()
	c.startAll()
	c.await("all daemons to catch up", func() bool {
		commit := uint64(0)
		for _, address := range c.seeds {
			commit = max(commit, uint64(c.cores[address].voter.Load().Status().Commit()))
		}
		leaders := 0
		for _, address := range c.seeds {
			s := c.cores[address].voter.Load().Status()
			if s.Role() == quorum.RoleLeader {
				leaders++
			}
			if !c.cores[address].led() || uint64(s.Applied()) < commit {
				return false
			}
		}
		return leaders == 1
	})
	union := roster.NewUnion()
	for i := range soakUpstreams {
		for born := int64(1); born <= c.born[i]; born++ {
			if address := c.seeds[c.random.IntN(len(c.seeds))]; born < c.born[i] || !c.said[i] {
				assert.NilError(c.t, c.hear(address, fmt.Sprint("up", i), roster.StateReady, born))
			}
		}
	}
	for _, address := range c.seeds {
		union.SetSource(address, c.watch(address))
	}
	seen := map[string]int64{}
	for _, e := range union.Entries() {
		if e.State == roster.StateReady {
			seen[string(e.Name)] = e.StartedAt
		}
	}
	for i := range soakUpstreams {
		at, ready := seen[fmt.Sprint("up", i)]
		assert.Assert(c.t, !ready || at > c.left[i], "up%d: the run of %d is used, that of %d has left", i, at, c.left[i])
		assert.Assert(c.t, c.said[i] || ready && at == c.born[i], "up%d: the run of %d is kept out", i, c.born[i])
	}
}
