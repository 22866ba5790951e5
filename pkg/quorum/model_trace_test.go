package quorum

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"poplarbend.example/poplar"
)

// This file replays runs of the model models/log.pml on machines. Each step of the
// model runs the code that the model names for it, and the state of the machines
// after the step must be that of the model.

// modelState is the state that the model prints after a step. The arrays are indexed
// by member. An element of lastEntry is the term of the last entry times 16, plus a
// bit set of the voters if the entry is a membership change. The model counts
// commits on a leader only, so commit is 0 for other members. It has only two
// elements, since only members 0 and 1 start elections in the model.
type modelState struct {
	term, role, logLength, lastEntry [4]int
	commit                           [2]int
}

func (s *modelState) parse(line string) error {
	_, err := fmt.Sscanf(line, "state %d %d %d %d %d %d %d %d %d %d %d %d %d %d %d %d %d %d",
		&s.term[0], &s.term[1], &s.term[2], &s.term[3], &s.role[0], &s.role[1], &s.role[2], &s.role[3],
		&s.logLength[0], &s.logLength[1], &s.logLength[2], &s.logLength[3], &s.lastEntry[0], &s.lastEntry[1], &s.lastEntry[2], &s.lastEntry[3], &s.commit[0], &s.commit[1])
	return err
}

// traceRunner is a set of machines whose messages are delivered as the steps of a
// trace require.
type traceRunner struct {
	c     *cluster
	ids   [4]Member
	votes map[int][]Message // invariant: vote replies that the candidate has not received yet
}

// newTraceRunner returns four machines. The initial voters are those whose bit is
// set in founders.
func newTraceRunner(t *testing.T, founders int) *traceRunner {
	tr := &traceRunner{c: newCluster(t, 1), votes: map[int][]Message{}}
	var voters []Member
	for i := range tr.ids {
		tr.ids[i] = Member{poplar.Daemon(fmt.Sprint(i)), 1}
		if founders>>i&1 == 1 {
			voters = append(voters, tr.ids[i])
		}
	}
	for i := range tr.ids {
		tr.c.add(tr.ids[i], RecoveredState{Snapshot: Snapshot{Members: NewMembers(voters...)}})
		tr.limitMessageSize(i)
	}
	return tr
}

// limitMessageSize makes a machine send one entry per message.
func (tr *traceRunner) limitMessageSize(i int) { tr.host(i).machine.config.MaxMessageSize = 1 }

func (tr *traceRunner) host(i int) *host { return tr.c.hosts[tr.ids[i]] }

// output returns the messages of a machine. When durable is true, it first
// persists the pending writes of the machine.
func (tr *traceRunner) output(i int, durable bool) []Message {
	h := tr.host(i)
	tr.c.processReady(h)
	if durable {
		for _, r := range h.writes {
			h.persist(r)
			h.machine.Persisted(r.Batch())
		}
		h.writes, h.syncAt = nil, nil
		tr.c.processReady(h)
	}
	var messages []Message
	for _, p := range tr.c.network {
		messages = append(messages, p.msg)
	}
	tr.c.network = nil
	return messages
}

// deliver passes the messages that are addressed to member i to its machine.
func (tr *traceRunner) deliver(i int, messages []Message) {
	for _, msg := range messages {
		if msg.To == tr.ids[i] {
			tr.host(i).machine.Step(msg, tr.c.now)
		}
	}
}

// vote delivers a vote request of the candidate i to the member j and stores the
// reply. It sets Transfer, since a member with a live leader ignores other vote
// requests and the model has no such rule.
func (tr *traceRunner) vote(i, j int) {
	m := tr.host(i).machine
	tr.deliver(j, []Message{{
		Type: TypeVote, From: tr.ids[i], To: tr.ids[j], Term: m.term, Cluster: 7,
		Index: m.log.last(), LogTerm: m.log.lastTerm(), Transfer: true,
	}})
	tr.votes[i] = append(tr.votes[i], tr.output(j, true)...)
}

// change proposes the membership change of a model step. The model adds a voter
// that was not a learner before, which Machine.Change does not allow.
func (tr *traceRunner) change(i, x int) error {
	m := tr.host(i).machine
	if m.Members().IsVoter(tr.ids[x]) {
		_, _, err := m.Change(Change{ActionRemove, tr.ids[x]})
		return err
	}
	if m.role != RoleLeader || !m.MembershipCommitted() || m.commit < m.termStart {
		return fmt.Errorf("a membership change is not allowed in this state")
	}
	members := NewMembers(append(m.Members().Voters, tr.ids[x])...)
	m.appendOwn(Entry{Kind: KindMembers, Members: &members})
	return nil
}

// accept exchanges heartbeats between the leader i and the member j until j has
// as many of the leader's entries as in the model.
func (tr *traceRunner) accept(i, j int, after modelState) error {
	want := poplar.Index(min(after.logLength[i], after.logLength[j]))
	m := tr.host(i).machine
	for range 50 {
		m.sendHeartbeats()
		var last []Message
		for _, msg := range tr.output(i, false) {
			if msg.To == tr.ids[j] {
				last = []Message{msg}
			}
		}
		tr.deliver(j, last)
		tr.deliver(i, tr.output(j, true))
		tr.output(i, false)
		if m.role != RoleLeader || m.MatchIndex(tr.ids[j]) >= want {
			return nil
		}
	}
	return fmt.Errorf("member %d has %d of %d entries", j, m.MatchIndex(tr.ids[j]), want)
}

// step runs one step of the model on member i. The meaning of j depends on the
// step. The state of the model after the step is after.
func (tr *traceRunner) step(name string, i, j int, after modelState) error {
	h := tr.host(i)
	switch name {
	case "elect":
		h.machine.campaign(false)
		tr.votes[i] = nil
		tr.output(i, true)
	case "vote":
		tr.vote(i, j)
	case "lead":
		tr.deliver(i, tr.votes[i])
		tr.output(i, false)
	case "change":
		if err := tr.change(i, j); err != nil {
			return err
		}
		tr.output(i, false)
	case "persist":
		tr.output(i, true)
	case "accept":
		return tr.accept(i, j, after)
	case "crash":
		tr.c.crash(h)
		tr.c.start(h)
		tr.limitMessageSize(i)
	default:
		return fmt.Errorf("unknown step %q", name)
	}
	return nil
}

// compare checks that the state of the machines is that of the model.
func (tr *traceRunner) compare(t *testing.T, step string, want modelState) {
	t.Helper()
	roles := []Role{RoleFollower, RoleCandidate, RoleLeader}
	for i := range tr.ids {
		m := tr.host(i).machine
		assert.Equal(t, m.term, poplar.Term(want.term[i]), "%s: term of %d", step, i)
		assert.Equal(t, m.role, roles[want.role[i]], "%s: role of %d", step, i)
		assert.Equal(t, m.log.last(), poplar.Index(want.logLength[i]), "%s: log of %d", step, i)
		assert.Equal(t, m.log.lastTerm(), poplar.Term(want.lastEntry[i]>>4), "%s: last term of %d", step, i)
		if voters := want.lastEntry[i] & 15; voters > 0 {
			for x := range tr.ids {
				assert.Equal(t, m.Members().IsVoter(tr.ids[x]), voters>>x&1 == 1, "%s: membership of %d", step, i)
			}
		}
		if i < 2 && want.commit[i] > 0 {
			assert.Equal(t, m.commit, poplar.Index(want.commit[i]), "%s: commit of %d", step, i)
		}
	}
}

// TestModelTraces replays the recorded runs of the model in testdata.
func TestModelTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/trace-*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		var founders int
		_, err = fmt.Sscanf(lines[0], "founders %d", &founders)
		assert.NilError(t, err)
		tr := newTraceRunner(t, founders)
		for n := 1; n+1 < len(lines); n += 2 {
			step := fmt.Sprintf("%s:%d: %s", file, n+1, lines[n])
			var name string
			var i, j int
			var after modelState
			_, err = fmt.Sscanf(lines[n]+" 0", "step %s %d %d", &name, &i, &j)
			assert.NilError(t, err, step)
			assert.NilError(t, after.parse(lines[n+1]), step)
			assert.NilError(t, tr.step(name, i, j, after), step)
			tr.compare(t, step, after)
		}
	}
}
