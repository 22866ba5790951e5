package quorum

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"poplarbend.example/poplar"
)

// This file checks single rules of the protocol, each by the shortest run in
// which the rule matters.

// runSteps carries out steps of the model, as "elect 0" or "vote 0 1".
func (p *traceRunner) runSteps(t *testing.T, logLength int, steps ...string) {
	t.Helper()
	for _, line := range steps {
		var name string
		var i, j int
		_, err := fmt.Sscanf(line+" 0", "%s %d %d", &name, &i, &j)
		assert.NilError(t, err)
		after := modelState{logLength: [4]int{logLength, logLength, logLength, logLength}}
		assert.NilError(t, p.step(name, i, j, after), line)
	}
}

// TestOldTermsDoNotCommitByCount is figure 3.7 of the dissertation.
func TestOldTermsDoNotCommitByCount(t *testing.T) {
	p := newTraceRunner(t, 7)
	p.runSteps(t, 1, "elect 0", "vote 0 1", "lead 0", "persist 0", "elect 1", "vote 1 2", "lead 1", "persist 1")
	p.runSteps(t, 1, "vote 1 0", "elect 0", "vote 0 2", "lead 0", "persist 0", "accept 0 2")
	m := p.host(0).machine
	assert.Equal(t, m.Match(p.ids[2]), poplar.Index(1))
	assert.Equal(t, m.Commit(), poplar.Index(0))
	p.runSteps(t, 2, "accept 0 2")
	assert.Equal(t, m.Commit(), poplar.Index(2))
}

// TestMembershipChangePreconditions checks what a change of membership must wait for.
func TestMembershipChangePreconditions(t *testing.T) {
	p := newTraceRunner(t, 15)
	m := p.host(0).machine
	remove, learn := Change{ActionRemove, p.ids[1]}, Change{ActionLearn, Member{"new", 9}}
	p.runSteps(t, 1, "elect 0", "vote 0 1", "vote 0 2", "lead 0", "persist 0")
	_, _, err := m.Change(remove)
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeBusy, "no entry of the term is committed")
	p.runSteps(t, 1, "accept 0 1", "accept 0 2")
	_, _, err = m.Change(learn)
	assert.NilError(t, err)
	_, _, err = m.Change(remove)
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeBusy, "another change is open")
	p.runSteps(t, 2, "persist 0", "accept 0 1", "accept 0 2")
	_, _, err = m.Change(Change{ActionPromote, learn.Member})
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeBusy, "the learner has nothing")
	assert.Assert(t, !m.Members().Voter(learn.Member))
}

// TestRepliesWaitForDisk checks that nothing durable is claimed too early.
func TestRepliesWaitForDisk(t *testing.T) {
	self, leader := Member{"a", 1}, Member{"b", 1}
	now := time.Unix(0, 0)
	m := New(Config{Self: self}, Recovered{Snapshot: Snapshot{Members: NewMembers(self, leader)}}, now)
	m.Step(Message{Type: TypeVote, From: leader, To: self, Term: 1}, now)
	r := m.Ready()
	assert.Equal(t, len(r.Messages()), 0)
	assert.DeepEqual(t, r.Hard(), Hard{Term: 1, Vote: leader})
	m.Persisted(r.Batch())
	assert.Equal(t, m.Ready().Messages()[0].Type, TypeVoteReply)
	appendEntry := func(term poplar.Term, commit poplar.Index) Ready {
		m.Step(Message{Type: TypeAppend, From: leader, To: self, Term: term, Commit: commit, Entries: []Entry{{Index: 1, Term: term}}}, now)
		return m.Ready()
	}
	first := appendEntry(1, 0)
	assert.Equal(t, len(first.Messages()), 0)
	// Another leader's entry takes the place before the first is durable.
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

// TestInstallRetainsMatchingEntries installs snapshots over logs that match them and
// logs that do not.
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
		m := New(Config{Self: self}, Recovered{Hard: Hard{Term: 3}, Snapshot: Snapshot{Members: members}, Entries: entries}, now)
		chunk := &Chunk{Index: 5, Term: c.term, Members: members, Total: 3, Data: []byte("abc")}
		m.Step(Message{Type: TypeChunk, From: leader, To: self, Term: 3, Chunk: chunk}, now)
		assert.Equal(t, m.Last(), c.last)
		r := m.Ready()
		assert.Equal(t, string(r.Snapshot().Data), "abc")
		assert.Equal(t, len(r.Entries()), int(c.last-5))
	}
}

// TestChunksOfTwoLeaders checks that parts of two leaders' snapshots are never
// put together, and that a late part changes nothing.
func TestChunksOfTwoLeaders(t *testing.T) {
	self, b, c := Member{"a", 1}, Member{"b", 1}, Member{"c", 1}
	members := NewMembers(self, b, c)
	now := time.Unix(0, 0)
	m := New(Config{Self: self}, Recovered{Snapshot: Snapshot{Members: members}}, now)
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

// TestLiveLeaderIsNotDeposed asks the followers of a live leader to elect
// another, with and without a poll.
func TestLiveLeaderIsNotDeposed(t *testing.T) {
	for _, kind := range []Type{TypePreVote, TypeVote} {
		c := newCluster(t, 8, "a", "b", "c")
		l := c.commitWrite()
		term := l.machine.Term()
		for _, id := range c.order {
			h := c.hosts[id]
			h.machine.Step(Message{Type: kind, From: Member{"z", 1}, To: id, Term: term + 5, Index: 99, LogTerm: term, Cluster: 7}, c.now)
			assert.Equal(t, h.machine.Term(), term)
			for _, msg := range h.machine.Ready().Messages() {
				assert.Assert(t, msg.Type != TypePreVoteReply || msg.Refused)
			}
		}
	}
}

// TestReads checks the two rules of linearizable reads: a new leader first
// commits an entry of its own, and a majority confirms the leader.
func TestReads(t *testing.T) {
	p := newTraceRunner(t, 7)
	p.runSteps(t, 1, "elect 0", "vote 0 1", "lead 0", "persist 0", "accept 0 1")
	assert.Equal(t, p.host(0).machine.Commit(), poplar.Index(1))
	p.runSteps(t, 1, "elect 1", "vote 1 2", "lead 1", "persist 1")
	stale, fresh := &clientCall{}, &clientCall{}
	for i, k := range []*clientCall{stale, fresh} {
		p.host(i).pendingReads[7] = k
		assert.NilError(t, p.host(i).machine.Read(7))
		p.output(i, true)
		assert.Equal(t, k.index, poplar.Index(0))
	}
	p.runSteps(t, 2, "accept 1 2", "accept 1 2")
	assert.Equal(t, p.host(1).machine.Commit(), poplar.Index(2))
	assert.Equal(t, fresh.index, poplar.Index(2))
	p.output(0, true)
	assert.Equal(t, stale.index, poplar.Index(0))
}

// TestIdleTraffic counts what an idle log of five voters with the default times
// sends. A daemon has 3 KB a second for all its control traffic.
func TestIdleTraffic(t *testing.T) {
	const perSecond, seconds = 3 << 10, 60
	c := newCluster(t, 9)
	var founders []Member
	for i := range 5 {
		founders = append(founders, Member{poplar.Daemon(fmt.Sprintf("lagos-%d-router", i)), 4_000_000_000 + uint64(i)})
	}
	for _, f := range founders {
		h := c.add(f, Recovered{Snapshot: Snapshot{Members: NewMembers(founders...)}})
		h.machine.config.Heartbeat, h.machine.config.Election = DefaultHeartbeat, DefaultElection
		h.machine.config.Cluster = 4_000_000_000
	}
	l := c.commitWrite()
	c.run(10 * time.Second)
	c.traffic = map[Member]int{}
	c.run(seconds * time.Second)
	for _, f := range founders {
		t.Logf("%v: %d B/s", f, c.traffic[f]/seconds)
		assert.Assert(t, c.traffic[f] < perSecond*seconds)
	}
	assert.Equal(t, c.leader(), l)
}

// The number of storms and the first seed; CI keeps the defaults.
var (
	denseFaultRuns = flag.Int("storms", 250, "number of clusters in TestStorm")
	denseFaultSeed = flag.Uint64("storm", 0, "seed of the first cluster in TestStorm")
)

// TestDenseFaults runs many clusters through dense faults: leaders that are cut off
// or stop in mid-write, pauses, short restarts, changes and snapshots.
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

// injectFault brings one fault about, or ends some.
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

// runClients lets clients write and read at all leaders, current and deposed, and
// changes the membership or compacts now and then.
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

// changeRandomMember removes a random voter, lets it learn again, or promotes it.
func (c *cluster) changeRandomMember(h *host, members Members) {
	member := c.order[c.rng.IntN(len(c.order))]
	action := ActionLearn
	switch {
	case members.Learner(member):
		action = ActionPromote
	case members.Voter(member):
		action = ActionRemove
	}
	_, _, _ = h.machine.Change(Change{action, member})
	c.processReady(h)
}
