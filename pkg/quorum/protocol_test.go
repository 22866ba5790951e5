package quorum

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"poplarbend.example/poplar"
)

// This file tests individual rules of the protocol with short runs whose outcome
// depends on the rule. It also tests the traffic of an idle log and clusters with
// frequent faults.

// runSteps runs steps of the model, such as "elect 0" or "vote 0 1". An "accept"
// step runs until the member has logLength entries of the leader.
func (tr *traceRunner) runSteps(t *testing.T, logLength int, steps ...string) {
	t.Helper()
	for _, line := range steps {
		var name string
		var i, j int
		_, err := fmt.Sscanf(line+" 0", "%s %d %d", &name, &i, &j)
		assert.NilError(t, err)
		after := modelState{logLength: [4]int{logLength, logLength, logLength, logLength}}
		assert.NilError(t, tr.step(name, i, j, after), line)
	}
}

// TestOldTermsDoNotCommitByCount reproduces figure 3.7 of the dissertation: an
// entry of an older term must not be committed by counting its replicas.
func TestOldTermsDoNotCommitByCount(t *testing.T) {
	tr := newTraceRunner(t, 7)
	tr.runSteps(t, 1, "elect 0", "vote 0 1", "lead 0", "persist 0", "elect 1", "vote 1 2", "lead 1", "persist 1")
	tr.runSteps(t, 1, "vote 1 0", "elect 0", "vote 0 2", "lead 0", "persist 0", "accept 0 2")
	m := tr.host(0).machine
	assert.Equal(t, m.MatchIndex(tr.ids[2]), poplar.Index(1))
	assert.Equal(t, m.Commit(), poplar.Index(0))
	tr.runSteps(t, 2, "accept 0 2")
	assert.Equal(t, m.Commit(), poplar.Index(2))
}

// TestMembershipChangePreconditions checks that a membership change is refused
// before an entry of the term is committed, while another change is uncommitted,
// and for a learner that has not caught up.
func TestMembershipChangePreconditions(t *testing.T) {
	tr := newTraceRunner(t, 15)
	m := tr.host(0).machine
	remove, learn := Change{ActionRemove, tr.ids[1]}, Change{ActionAddLearner, Member{"new", 9}}
	tr.runSteps(t, 1, "elect 0", "vote 0 1", "vote 0 2", "lead 0", "persist 0")
	_, _, err := m.Change(remove)
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeBusy, "no entry of the term is committed")
	tr.runSteps(t, 1, "accept 0 1", "accept 0 2")
	_, _, err = m.Change(learn)
	assert.NilError(t, err)
	_, _, err = m.Change(remove)
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeBusy, "another change is not committed")
	tr.runSteps(t, 2, "persist 0", "accept 0 1", "accept 0 2")
	_, _, err = m.Change(Change{ActionPromote, learn.Member})
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeBusy, "the learner has no entries")
	assert.Assert(t, !m.Members().IsVoter(learn.Member))
}

// TestRepliesWaitForDisk checks that replies which depend on durable state are sent
// only after it is persisted.
func TestRepliesWaitForDisk(t *testing.T) {
	self, leader := Member{"a", 1}, Member{"b", 1}
	now := time.Unix(0, 0)
	m := New(Config{Self: self}, RecoveredState{Snapshot: Snapshot{Members: NewMembers(self, leader)}}, now)
	m.Step(Message{Type: TypeVote, From: leader, To: self, Term: 1}, now)
	r := m.Ready()
	assert.Equal(t, len(r.Messages()), 0)
	assert.DeepEqual(t, r.Hard(), HardState{Term: 1, Vote: leader})
	m.Persisted(r.Batch())
	assert.Equal(t, m.Ready().Messages()[0].Type, TypeVoteReply)
	appendEntry := func(term poplar.Term, commit poplar.Index) Ready {
		m.Step(Message{Type: TypeAppend, From: leader, To: self, Term: term, Commit: commit, Entries: []Entry{{Index: 1, Term: term}}}, now)
		return m.Ready()
	}
	first := appendEntry(1, 0)
	assert.Equal(t, len(first.Messages()), 0)
	// An entry of another leader replaces the first entry before that one is durable.
	second := appendEntry(2, 1)
	m.Persisted(first.Batch())
	r = m.Ready()
	assert.Equal(t, len(r.Committed()), 0)
	for _, msg := range r.Messages() {
		assert.Equal(t, msg.Term, poplar.Term(1))
	}
	m.Persisted(second.Batch())
	r = m.Ready()
	assert.Equal(t, r.Committed()[0].Term, poplar.Term(2))
	assert.Equal(t, r.Messages()[0].Term, poplar.Term(2))
}

// TestInstallRetainsMatchingEntries checks that the entries after an installed
// snapshot are retained when the log matches the snapshot, and removed otherwise.
func TestInstallRetainsMatchingEntries(t *testing.T) {
	self, leader := Member{"a", 1}, Member{"b", 1}
	members := NewMembers(self, leader)
	now := time.Unix(0, 0)
	var entries []Entry
	for i := range poplar.Index(10) {
		entries = append(entries, Entry{Index: i + 1, Term: 1})
	}
	for _, c := range []struct {
		term poplar.Term
		last poplar.Index
	}{{1, 10}, {2, 5}} {
		m := New(Config{Self: self}, RecoveredState{Hard: HardState{Term: 3}, Snapshot: Snapshot{Members: members}, Entries: entries}, now)
		chunk := &Chunk{Index: 5, Term: c.term, Members: members, Total: 3, Data: []byte("abc")}
		m.Step(Message{Type: TypeChunk, From: leader, To: self, Term: 3, Chunk: chunk}, now)
		assert.Equal(t, m.Last(), c.last)
		r := m.Ready()
		assert.Equal(t, string(r.Snapshot().Data), "abc")
		assert.Equal(t, len(r.Entries()), int(c.last-5))
	}
}

// TestChunksOfTwoLeaders checks that chunks of snapshots from two leaders are never
// combined, and that a delayed chunk has no effect.
func TestChunksOfTwoLeaders(t *testing.T) {
	self, b, c := Member{"a", 1}, Member{"b", 1}, Member{"c", 1}
	members := NewMembers(self, b, c)
	now := time.Unix(0, 0)
	m := New(Config{Self: self}, RecoveredState{Snapshot: Snapshot{Members: members}}, now)
	send := func(from Member, term poplar.Term, offset int, data string) Ready {
		chunk := &Chunk{Index: 5, Term: 1, Members: members, Offset: offset, Total: 4, Data: []byte(data)}
		m.Step(Message{Type: TypeChunk, From: from, To: self, Term: term, Chunk: chunk}, now)
		r := m.Ready()
		m.Persisted(r.Batch())
		return r
	}
	send(b, 2, 0, "xx")
	assert.Assert(t, send(c, 3, 2, "dd").Snapshot() == nil)
	send(c, 3, 0, "cc")
	assert.Assert(t, send(c, 3, 0, "cc").Snapshot() == nil)
	assert.Equal(t, string(send(c, 3, 2, "dd").Snapshot().Data), "ccdd")
	assert.Assert(t, send(c, 3, 0, "cc").Snapshot() == nil)
}

// TestLiveLeaderIsNotDeposed checks that the members of a cluster with a live
// leader do not raise their term and grant no pre-vote when a non-member sends
// pre-vote and vote requests.
func TestLiveLeaderIsNotDeposed(t *testing.T) {
	for _, requestType := range []Type{TypePreVote, TypeVote} {
		c := newCluster(t, 8, "a", "b", "c")
		l := c.commitWrite()
		term := l.machine.Term()
		for _, id := range c.order {
			h := c.hosts[id]
			h.machine.Step(Message{Type: requestType, From: Member{"z", 1}, To: id, Term: term + 5, Index: 99, LogTerm: term, Cluster: 7}, c.now)
			assert.Equal(t, h.machine.Term(), term)
			for _, msg := range h.machine.Ready().Messages() {
				assert.Assert(t, msg.Type != TypePreVoteReply || msg.Refused)
			}
		}
	}
}

// TestReads checks the two conditions of linearizable reads: a new leader has
// committed an entry of its own term, and a majority confirms its leadership.
func TestReads(t *testing.T) {
	tr := newTraceRunner(t, 7)
	tr.runSteps(t, 1, "elect 0", "vote 0 1", "lead 0", "persist 0", "accept 0 1")
	assert.Equal(t, tr.host(0).machine.Commit(), poplar.Index(1))
	tr.runSteps(t, 1, "elect 1", "vote 1 2", "lead 1", "persist 1")
	stale, fresh := &clientCall{}, &clientCall{}
	for i, call := range []*clientCall{stale, fresh} {
		tr.host(i).pendingReads[7] = call
		assert.NilError(t, tr.host(i).machine.Read(7))
		tr.output(i, true)
		assert.Equal(t, call.index, poplar.Index(0))
	}
	tr.runSteps(t, 2, "accept 1 2", "accept 1 2")
	assert.Equal(t, tr.host(1).machine.Commit(), poplar.Index(2))
	assert.Equal(t, fresh.index, poplar.Index(2))
	tr.output(0, true)
	assert.Equal(t, stale.index, poplar.Index(0))
}

// TestIdleTraffic measures the traffic of an idle log with five voters and the
// default times. The limit for all control traffic of a daemon is 3 KB/s.
func TestIdleTraffic(t *testing.T) {
	const maxBytesPerSecond, seconds = 3 << 10, 60
	c := newCluster(t, 9)
	var founders []Member
	for i := range 5 {
		founders = append(founders, Member{poplar.Daemon(fmt.Sprintf("lagos-%d-router", i)), 4_000_000_000 + uint64(i)})
	}
	for _, f := range founders {
		h := c.add(f, RecoveredState{Snapshot: Snapshot{Members: NewMembers(founders...)}})
		h.machine.config.HeartbeatInterval, h.machine.config.ElectionTimeout = DefaultHeartbeatInterval, DefaultElectionTimeout
		h.machine.config.Cluster = 4_000_000_000
	}
	l := c.commitWrite()
	c.run(10 * time.Second)
	c.traffic = map[Member]int{}
	c.run(seconds * time.Second)
	for _, f := range founders {
		t.Logf("%v: %d B/s", f, c.traffic[f]/seconds)
		assert.Assert(t, c.traffic[f] < maxBytesPerSecond*seconds)
	}
	assert.Equal(t, c.leader(), l)
}

// Flags of TestDenseFaults. CI uses the defaults.
var (
	denseFaultRuns = flag.Int("storms", 250, "number of clusters in TestDenseFaults")
	denseFaultSeed = flag.Uint64("storm", 0, "seed of the first cluster in TestDenseFaults")
)

// TestDenseFaults runs many clusters with frequent faults: leaders that are
// partitioned or stop during a write, clock jumps, short restarts, membership
// changes and snapshots.
func TestDenseFaults(t *testing.T) {
	for n := range uint64(*denseFaultRuns) {
		seed := *denseFaultSeed + n
		names := []poplar.Daemon{"a", "b", "c", "d", "e"}[:3+seed%3]
		c := newCluster(t, seed, names...)
		c.lossy = seed%2 == 0
		c.maxSyncDelay = time.Duration(1+c.rng.IntN(20)) * tick
		c.retainedEntries = 1 + c.rng.IntN(8)
		for range 120 {
			c.run(time.Duration(1+c.rng.IntN(12)) * tick)
			c.injectFault()
			c.runClients()
		}
		c.checkLogMatching()
		c.checkLinearizable()
	}
}

// injectFault injects one fault, heals the network or restarts all stopped
// members.
func (c *cluster) injectFault() {
	h := c.hosts[c.order[c.rng.IntN(len(c.order))]]
	if l := c.leader(); l != nil && c.rng.IntN(2) == 0 {
		h = l
	}
	switch c.rng.IntN(8) {
	case 0:
		c.partition(h.self.Name)
	case 1:
		for _, id := range c.order {
			c.cut[[2]poplar.Daemon{h.self.Name, id.Name}] = c.rng.IntN(2) == 0
		}
	case 2, 3:
		c.heal()
	case 4:
		c.crash(h)
	case 5:
		h.clockSkew += time.Duration(c.rng.IntN(400)-300) * time.Millisecond
	default:
		for _, id := range c.order {
			if other := c.hosts[id]; other.machine == nil {
				c.start(other)
			}
		}
	}
}

// runClients writes and reads at all leaders, including those that are deposed
// without knowing it, and occasionally changes the membership or compacts a log.
func (c *cluster) runClients() {
	for _, id := range c.order {
		h := c.hosts[id]
		if h.machine == nil {
			continue
		}
		if c.rng.IntN(20) == 0 {
			c.compact(h)
		}
		if h.machine.Role() != RoleLeader {
			continue
		}
		if len(c.calls) < 150 {
			c.write(h)
			c.read(h)
		}
		if members := h.machine.Members(); c.rng.IntN(6) == 0 && (len(members.Voters) > 2 || len(members.Learners) > 0) {
			c.changeRandomMember(h, members)
		}
	}
}

// changeRandomMember picks a random member and removes it if it is a voter,
// promotes it if it is a learner, and otherwise adds it as a learner.
func (c *cluster) changeRandomMember(h *host, members Membership) {
	member := c.order[c.rng.IntN(len(c.order))]
	action := ActionAddLearner
	switch {
	case members.IsLearner(member):
		action = ActionPromote
	case members.IsVoter(member):
		action = ActionRemove
	}
	_, _, _ = h.machine.Change(Change{action, member})
	c.processReady(h)
}
