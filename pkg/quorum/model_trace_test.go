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

// This file drives machines along runs of models/log.pml. Each step of the model
// is carried out by the code that the model names, and the state after it must
// be the model's.

// modelState is the state that the model prints after a step.
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

// traceRunner is a set of machines whose messages the trace delivers.
type traceRunner struct {
	c     *cluster
	ids   [4]Member
	votes map[int][]Message // invariant: answers that the candidate has not got yet
}

func newTraceRunner(t *testing.T, founders int) *traceRunner {
	p := &traceRunner{c: newCluster(t, 1), votes: map[int][]Message{}}
	var voters []Member
	for i := range p.ids {
		p.ids[i] = Member{poplar.Daemon(fmt.Sprint(i)), 1}
		if founders>>i&1 == 1 {
			voters = append(voters, p.ids[i])
		}
	}
	for i := range p.ids {
		p.c.add(p.ids[i], Recovered{Snapshot: Snapshot{Members: NewMembers(voters...)}})
		p.limitMessageSize(i)
	}
	return p
}

// limitMessageSize makes a machine send one entry in a message.
func (p *traceRunner) limitMessageSize(i int) { p.host(i).machine.config.MaxMessageSize = 1 }

func (p *traceRunner) host(i int) *host { return p.c.hosts[p.ids[i]] }

// output collects the messages of a machine, with or without its writes.
func (p *traceRunner) output(i int, durable bool) []Message {
	h := p.host(i)
	p.c.processReady(h)
	if durable {
		for _, r := range h.writes {
			h.persist(r)
			h.machine.Persisted(r.Batch())
		}
		h.writes, h.syncAt = nil, nil
		p.c.processReady(h)
	}
	var messages []Message
	for _, packet := range p.c.network {
		messages = append(messages, packet.msg)
	}
	p.c.network = nil
	return messages
}

func (p *traceRunner) deliver(i int, messages []Message) {
	for _, msg := range messages {
		if msg.To == p.ids[i] {
			p.host(i).machine.Step(msg, p.c.now)
		}
	}
}

func (p *traceRunner) vote(i, j int) {
	m := p.host(i).machine
	p.deliver(j, []Message{{
		Type: TypeVote, From: p.ids[i], To: p.ids[j], Term: m.term, Cluster: 7,
		Index: m.log.last(), LogTerm: m.log.lastTerm(), Transfer: true,
	}})
	p.votes[i] = append(p.votes[i], p.output(j, true)...)
}

// change proposes what the model does in one step. The model adds a voter
// without letting it learn first.
func (p *traceRunner) change(i, x int) error {
	m := p.host(i).machine
	if m.Members().Voter(p.ids[x]) {
		_, _, err := m.Change(Change{ActionRemove, p.ids[x]})
		return err
	}
	if m.role != RoleLeader || !m.Settled() || m.commit < m.termStart {
		return fmt.Errorf("no change is allowed")
	}
	members := NewMembers(append(m.Members().Voters, p.ids[x])...)
	m.appendOwn(Entry{Kind: KindMembers, Members: &members})
	return nil
}

// accept exchanges heartbeats until the member has what it has in the model.
func (p *traceRunner) accept(i, j int, after modelState) error {
	want := poplar.Index(min(after.logLength[i], after.logLength[j]))
	m := p.host(i).machine
	for range 50 {
		m.sendHeartbeats()
		var last []Message
		for _, msg := range p.output(i, false) {
			if msg.To == p.ids[j] {
				last = []Message{msg}
			}
		}
		p.deliver(j, last)
		p.deliver(i, p.output(j, true))
		p.output(i, false)
		if m.role != RoleLeader || m.Match(p.ids[j]) >= want {
			return nil
		}
	}
	return fmt.Errorf("member %d holds %d of %d", j, m.Match(p.ids[j]), want)
}

func (p *traceRunner) step(name string, i, j int, after modelState) error {
	h := p.host(i)
	switch name {
	case "elect":
		h.machine.campaign(false)
		p.votes[i] = nil
		p.output(i, true)
	case "vote":
		p.vote(i, j)
	case "lead":
		p.deliver(i, p.votes[i])
		p.output(i, false)
	case "change":
		if err := p.change(i, j); err != nil {
			return err
		}
		p.output(i, false)
	case "persist":
		p.output(i, true)
	case "accept":
		return p.accept(i, j, after)
	case "crash":
		p.c.crash(h)
		p.c.start(h)
		p.limitMessageSize(i)
	default:
		return fmt.Errorf("unknown step %q", name)
	}
	return nil
}

// compare checks the machines against the model.
func (p *traceRunner) compare(t *testing.T, step string, want modelState) {
	t.Helper()
	roles := []Role{RoleFollower, RoleCandidate, RoleLeader}
	for i := range p.ids {
		m := p.host(i).machine
		assert.Equal(t, m.term, poplar.Term(want.term[i]), "%s: term of %d", step, i)
		assert.Equal(t, m.role, roles[want.role[i]], "%s: role of %d", step, i)
		assert.Equal(t, m.log.last(), poplar.Index(want.logLength[i]), "%s: log of %d", step, i)
		assert.Equal(t, m.log.lastTerm(), poplar.Term(want.lastEntry[i]>>4), "%s: last term of %d", step, i)
		if voters := want.lastEntry[i] & 15; voters > 0 {
			for x := range p.ids {
				assert.Equal(t, m.Members().Voter(p.ids[x]), voters>>x&1 == 1, "%s: membership of %d", step, i)
			}
		}
		if i < 2 && want.commit[i] > 0 {
			assert.Equal(t, m.commit, poplar.Index(want.commit[i]), "%s: commit of %d", step, i)
		}
	}
}

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
		p := newTraceRunner(t, founders)
		for n := 1; n+1 < len(lines); n += 2 {
			step := fmt.Sprintf("%s:%d: %s", file, n+1, lines[n])
			var name string
			var i, j int
			var after modelState
			_, err = fmt.Sscanf(lines[n]+" 0", "step %s %d %d", &name, &i, &j)
			assert.NilError(t, err, step)
			assert.NilError(t, after.parse(lines[n+1]), step)
			assert.NilError(t, p.step(name, i, j, after), step)
			p.compare(t, step, after)
		}
	}
}
