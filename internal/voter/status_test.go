package voter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/quorum"
)

// TestCaughtUpAfterPartition cuts a follower off and reconnects it to the same leader. It
// counted as caught up from the first heartbeat on, before it had the entries that were
// committed meanwhile, since it had caught up in the same term before. The network
// removes the entries from the messages at first, so that this state lasts.
func TestCaughtUpAfterPartition(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.propose("a", "first")
	leader := f.leader()
	follower := f.names[0]
	if follower == leader {
		follower = f.names[1]
	}
	f.await("the follower catches up", func() bool { return f.voter(follower).Status().CaughtUp() })
	f.isolate(follower, true)
	f.await("the follower has no leader", func() bool { return f.voter(follower).Status().Leader() == quorum.Member{} })
	for i := range 20 {
		f.propose(leader, fmt.Sprint("change ", i))
	}
	commit := f.voter(leader).Status().Commit()
	heartbeats := 0
	f.setFilter(func(to poplar.Daemon, msg *quorum.Message) {
		if to == follower && msg.Type == quorum.TypeAppend {
			heartbeats++
			msg.Entries = nil
		}
	})
	f.isolate(follower, false)
	f.await("heartbeats", func() bool {
		s := f.voter(follower).Status()
		assert.Assert(t, !s.CaughtUp() || s.Applied() >= commit, "caught up with %d of %d entries", s.Applied(), commit)
		f.mu.Lock()
		defer f.mu.Unlock()
		return heartbeats >= 8
	})
	f.setFilter(nil)
	f.await("the follower catches up again", func() bool {
		s := f.voter(follower).Status()
		assert.Assert(t, !s.CaughtUp() || s.Applied() >= commit, "caught up with %d of %d entries", s.Applied(), commit)
		return s.CaughtUp()
	})
}

// TestCaughtUpWithSlowDisk restarts a follower while entries are committed all the time. A
// follower whose disk is slower than those of a majority did not count as caught up, since
// it never had applied all that was committed at one moment.
func TestCaughtUpWithSlowDisk(t *testing.T) {
	f := newFleetOfFive(t, "abcde")
	f.lead("a")
	f.load("a")
	f.syncTime = map[poplar.Daemon]time.Duration{"d": 20 * time.Millisecond}
	f.stop("d")
	f.start("d")
	f.await("d catches up", func() bool { return f.voter("d").Status().CaughtUp() })
}
