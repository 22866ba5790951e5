package quorum

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"poplarbend.example/poplar"
)

// TestInvariants runs clusters of three to five members through message loss,
// partitions, crashes, replaced disks, membership changes, compaction and clock
// jumps. Rapid also runs the action with the empty name between the others, which
// checks the invariants.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []poplar.Daemon{"a", "b", "c", "d", "e"}[:rapid.IntRange(3, 5).Draw(t, "members")]
		c := newCluster(t, rapid.Uint64().Draw(t, "seed"), names...)
		c.lossy = rapid.Bool().Draw(t, "lossy")
		anyHost := func(t *rapid.T) *host { return c.hosts[rapid.SampledFrom(c.order).Draw(t, "host")] }
		runningHost := func(t *rapid.T) *host {
			h := anyHost(t)
			if h.machine == nil {
				t.Skip("down")
			}
			return h
		}
		t.Repeat(map[string]func(*rapid.T){
			"run":  func(t *rapid.T) { c.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick) },
			"run2": func(_ *rapid.T) { c.run(time.Second) },
			"write": func(t *rapid.T) {
				if h := runningHost(t); c.write(h) != nil {
					c.write(h)
				}
			},
			"read":  func(t *rapid.T) { c.read(runningHost(t)) },
			"crash": func(t *rapid.T) { c.crash(runningHost(t)) },
			"restart": func(t *rapid.T) {
				if h := anyHost(t); h.machine == nil {
					c.start(h)
				}
			},
			"cut": func(t *rapid.T) {
				c.cut[[2]poplar.Daemon{anyHost(t).self.Name, anyHost(t).self.Name}] = true
			},
			"isolate": func(t *rapid.T) { c.partition(anyHost(t).self.Name) },
			"heal":    func(_ *rapid.T) { c.heal() },
			"jump": func(t *rapid.T) {
				runningHost(t).clockSkew += time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "ms")) * time.Millisecond
			},
			"compact":  func(t *rapid.T) { c.compact(runningHost(t)) },
			"transfer": func(t *rapid.T) { runningHost(t).machine.TransferLeadership() },
			"change":   func(t *rapid.T) { c.proposeRandomChange(t, runningHost(t)) },
			"":         func(_ *rapid.T) { c.checkLeaders(); c.checkLogMatching() },
		})
		c.heal()
		c.lossy = false
		for _, h := range c.hosts {
			if h.machine == nil {
				c.start(h)
			}
		}
		l := c.commitWrite()
		c.waitFor("all members catch up", func() bool { return c.caughtUp(l) })
		c.read(l)
		c.run(time.Second)
		c.checkLogMatching()
		c.checkLinearizable()
	})
}

// proposeRandomChange proposes a random membership change. It adds a daemon with a
// new disk as a learner, promotes a learner or removes a member.
func (c *cluster) proposeRandomChange(t *rapid.T, h *host) {
	members := h.machine.Members()
	if h.machine.Role() != RoleLeader || len(c.order) > 9 {
		return
	}
	member := rapid.SampledFrom(members.All()).Draw(t, "who")
	switch action := rapid.SampledFrom([]Action{ActionAddLearner, ActionPromote, ActionRemove}).Draw(t, "action"); action {
	case ActionAddLearner:
		c.lastIncarnation++
		replacement := Member{member.Name, c.lastIncarnation}
		if _, _, err := h.machine.Change(Change{action, replacement}); err == nil {
			c.add(replacement, RecoveredState{})
		}
	case ActionPromote:
		_, _, _ = h.machine.Change(Change{action, member})
	case ActionRemove:
		if len(members.Voters) > 2 {
			_, _, _ = h.machine.Change(Change{action, member})
		}
	}
	c.processReady(h)
}

// compact takes a snapshot of the applied entries and makes it durable.
func (c *cluster) compact(h *host) bool {
	if len(h.writes) > 0 || !h.machine.Compact(h.applied, fmt.Appendf(nil, "%d %q", h.stateHash, h.value)) {
		return false
	}
	h.disk.Snapshot = h.machine.Snapshot()
	h.disk.Entries = h.machine.Entries()
	return true
}

// caughtUp reports whether every member in the leader's membership has applied all
// entries that the leader has applied.
func (c *cluster) caughtUp(l *host) bool {
	for _, m := range l.machine.Members().All() {
		if h := c.hosts[m]; h.machine == nil || h.applied < l.applied {
			return false
		}
	}
	return true
}

// TestSecondDiskLossAfterRepair checks that no committed entry is lost when a
// second disk fails right after the member with the first failed disk has been
// replaced.
func TestSecondDiskLossAfterRepair(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, "a", "b", "c")
		c.commitWrite()
		for i := range 20 {
			c.commitWrite()
			if i == 10 {
				c.waitFor("a snapshot", func() bool { return c.compact(c.leader()) })
			}
		}
		// The disk of member c is lost and replaced. Then that of member b is lost.
		old, replacement := Member{"c", 3}, Member{"c", 100}
		c.crash(c.hosts[old])
		delete(c.hosts, old)
		c.order = c.order[:2]
		c.add(replacement, RecoveredState{})
		c.commitChange(Change{ActionAddLearner, replacement})
		c.commitChange(Change{ActionRemove, old})
		c.commitChange(Change{ActionPromote, replacement})
		committedBefore := c.lastCommitted
		lost := c.hosts[Member{"b", 2}]
		c.crash(lost)
		delete(c.hosts, lost.self)
		c.order = []Member{{"a", 1}, replacement}
		l := c.commitWrite()
		assert.Assert(t, l.applied > committedBefore && len(c.committed) == int(c.lastCommitted))
	}
}

// TestReplacedMemberNeverVotes checks that a member with a replaced disk casts no
// vote in place of its earlier incarnation, whose votes and entries it has lost.
func TestReplacedMemberNeverVotes(t *testing.T) {
	c := newCluster(t, 3, "a", "b", "c")
	l := c.commitWrite()
	others := withoutMember(NewMembers(c.order...).Voters, l.self)
	// One voter is down and the other one returns with a new disk. There is no
	// majority, whatever messages the new member receives.
	c.crash(c.hosts[others[0]])
	lost := others[1]
	c.crash(c.hosts[lost])
	replacement := c.add(Member{lost.Name, 50}, RecoveredState{})
	replacement.machine.Step(Message{Type: TypeVote, From: l.self, To: lost, Term: 99, Cluster: 7}, c.now)
	assert.Equal(t, replacement.machine.Term(), poplar.Term(0))
	c.run(5 * time.Second)
	assert.Assert(t, c.leader() == nil)
	assert.Equal(t, replacement.machine.Hard(), HardState{})
	c.start(c.hosts[others[0]])
	c.commitWrite()
}

// TestPartitionedVoterDoesNotDisrupt checks that a voter that returns after a long
// partition neither raises the term nor deposes the leader.
func TestPartitionedVoterDoesNotDisrupt(t *testing.T) {
	c := newCluster(t, 4, "a", "b", "c")
	l := c.commitWrite()
	term := l.machine.Term()
	var isolated *host
	for _, id := range c.order {
		if id != l.self {
			isolated = c.hosts[id]
		}
	}
	c.partition(isolated.self.Name)
	for range 60 {
		c.run(time.Second)
		if c.rng.IntN(3) == 0 {
			c.commitWrite()
		}
	}
	assert.Equal(t, isolated.machine.Term(), term)
	c.heal()
	c.run(2 * time.Second)
	assert.Equal(t, c.leader(), l)
	assert.Equal(t, l.machine.Term(), term)
	assert.Equal(t, isolated.applied, l.applied)
}

// TestPartitionedLeader drops the messages to the leader, those from the leader,
// and both, without any connection error. The leader must step down and the
// others must elect a new one.
func TestPartitionedLeader(t *testing.T) {
	for _, direction := range []string{"in", "out", "both"} {
		c := newCluster(t, 5, "a", "b", "c", "d", "e")
		l := c.commitWrite()
		oldTerm := l.machine.Term()
		for _, id := range c.order {
			c.cut[[2]poplar.Daemon{l.self.Name, id.Name}] = direction != "in"
			c.cut[[2]poplar.Daemon{id.Name, l.self.Name}] = direction != "out"
		}
		pending := c.write(l)
		c.waitFor(direction, func() bool { return l.machine.Role() != RoleLeader })
		c.waitFor(direction, func() bool { n := c.leader(); return n != nil && n != l })
		c.commitWrite()
		assert.Assert(t, pending.unknown || direction == "in", direction)
		c.heal()
		c.run(2 * time.Second)
		n := c.leader()
		assert.Assert(t, n.machine.Term() > oldTerm)
		assert.Equal(t, l.applied, n.applied)
		c.checkLinearizable()
	}
}

// TestTransferAndRemoval checks that a leadership transfer takes one election and
// less than the election timeout, and that a removed leader steps down.
func TestTransferAndRemoval(t *testing.T) {
	c := newCluster(t, 6, "a", "b", "c")
	l := c.commitWrite()
	assert.Assert(t, l.machine.TransferLeadership())
	_, _, err := l.machine.Propose(nil)
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeDrain)
	term, start := l.machine.Term(), c.now
	c.waitFor("handover", func() bool { n := c.leader(); return n != nil && n != l })
	assert.Equal(t, c.leader().machine.Term(), term+1)
	assert.Assert(t, c.now.Before(start.Add(l.machine.config.ElectionTimeout)))
	l = c.commitWrite()
	c.commitChange(Change{ActionRemove, l.self})
	c.waitFor("the removed leader steps down", func() bool { n := c.leader(); return n != nil && n != l })
	c.commitWrite()
	assert.Equal(t, len(c.leader().machine.Members().Voters), 2)
}

// TestLaggingMemberInstallsSnapshot checks that a member catches up over a lossy
// network when the entries that it lacks are compacted and when it restarts during
// the snapshot transfer.
func TestLaggingMemberInstallsSnapshot(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, seed, "a", "b", "c")
		c.retainedEntries = 1
		l := c.commitWrite()
		var lagging *host
		for _, id := range c.order {
			c.start(c.hosts[id])
			if id != l.self {
				lagging = c.hosts[id]
			}
		}
		c.crash(lagging)
		for range 30 {
			l = c.commitWrite()
		}
		c.waitFor("a snapshot", func() bool { return c.compact(l) })
		assert.Assert(t, l.machine.log.base > lagging.disk.Snapshot.Index+10)
		c.lossy = true
		c.start(lagging)
		c.run(300 * time.Millisecond)
		c.crash(lagging)
		c.start(lagging)
		c.waitFor("the lagging member catches up", func() bool { return lagging.applied >= l.applied })
		c.lossy = false
		c.commitWrite()
	}
}

func TestMembersApply(t *testing.T) {
	a, b, b2 := Member{"a", 1}, Member{"b", 1}, Member{"b", 2}
	members := Membership{Voters: []Member{a, b}, Learners: []Member{b2}}
	for _, c := range []struct {
		members Membership
		change  Change
		err     string
	}{
		{members, Change{ActionAddLearner, b2}, "does not apply"},
		{members, Change{ActionPromote, a}, "does not apply"},
		{members, Change{ActionPromote, b2}, "b#1 is still a voter"},
		{members, Change{ActionRemove, Member{"z", 1}}, "does not apply"},
		{Membership{Voters: []Member{a}}, Change{ActionRemove, a}, "is the last voter"},
		{members, Change{"other", a}, "does not apply"},
		{members, Change{ActionRemove, b}, ""},
		{members, Change{ActionAddLearner, Member{"c", 1}}, ""},
	} {
		_, err := c.members.Apply(c.change)
		if c.err == "" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, c.err)
	}
}

func TestPlace(t *testing.T) {
	daemons := func(counts ...int) (eligible []EligibleDaemon) {
		for d, n := range counts {
			for i := range n {
				eligible = append(eligible, EligibleDaemon{poplar.Daemon(fmt.Sprintf("%d-%d", d, i)), poplar.Domain(fmt.Sprint(d))})
			}
		}
		return eligible
	}
	for _, c := range []struct {
		daemons []EligibleDaemon
		count   int
		want    string
		err     string
	}{
		{daemons(3, 3, 3), 5, "[0-0 0-1 1-0 1-1 2-0]", ""},
		{daemons(3, 2, 2, 2), 5, "[0-0 0-1 1-0 2-0 3-0]", ""},
		{daemons(1, 1, 7), 5, "", "cannot be placed"},
		{daemons(3, 3), 3, "", "cannot be placed"},
		{daemons(1), 1, "[0-0]", ""},
		{daemons(1, 1, 1), 3, "[0-0 1-0 2-0]", ""},
		{nil, 1, "", "cannot be placed"},
	} {
		got, err := Place(c.daemons, c.count)
		if c.err != "" {
			assert.ErrorContains(t, err, c.err)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprint(got), c.want)
	}
}
