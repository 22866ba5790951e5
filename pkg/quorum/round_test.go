package quorum

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// newLeaderWithLearner returns the only voter of a log, which leads and has a learner.
func newLeaderWithLearner(t *testing.T, now time.Time) (leader *Machine, learner Member) {
	self, learner := Member{"a", 1}, Member{"b", 1}
	m := New(Config{Self: self}, RecoveredState{Snapshot: Snapshot{Members: NewMembers(self)}}, now.Add(-2*DefaultElectionTimeout))
	m.Tick(now)
	commitAll(m)
	assert.Equal(t, m.Role(), RoleLeader)
	_, _, err := m.Change(Change{ActionAddLearner, learner})
	assert.NilError(t, err)
	commitAll(m)
	return m, learner
}

// commitAll makes the log of the only voter durable.
func commitAll(m *Machine) {
	for r := m.Ready(); r.Batch() > 0; r = m.Ready() {
		m.Persisted(r.Batch())
	}
}

// TestBusyLearnerIsPromoted commits an entry between any two replies of a learner, so that it
// never has all of them. Such a learner was not promoted while the log was busy. One that is
// further behind than an election timeout must not be.
func TestBusyLearnerIsPromoted(t *testing.T) {
	const lag = 3 // entries
	for name, c := range map[string]struct {
		step     time.Duration // between two entries
		promoted bool
	}{
		"keeps up": {DefaultElectionTimeout / 10, true},
		"cannot":   {DefaultElectionTimeout / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			m, learner := newLeaderWithLearner(t, now)
			for range 20 {
				now = now.Add(c.step)
				_, _, err := m.Propose([]byte("x"))
				assert.NilError(t, err)
				commitAll(m)
				index := max(m.Commit(), lag) - lag
				m.Step(Message{Type: TypeAppendReply, From: learner, To: m.config.Self, Term: m.Term(), Index: index}, now)
				assert.Assert(t, m.MatchIndex(learner) < m.Commit())
			}
			_, _, err := m.Change(Change{ActionPromote, learner})
			assert.Equal(t, err == nil, c.promoted, "%v", err)
			if !c.promoted {
				assert.Equal(t, poplar.CodeOf(err), poplar.CodeBusy)
			}
		})
	}
}

// TestSilentLearnerIsNotPromoted stops the replies of a learner that kept up.
func TestSilentLearnerIsNotPromoted(t *testing.T) {
	now := time.Unix(0, 0)
	m, learner := newLeaderWithLearner(t, now)
	for range 3 {
		m.Step(Message{Type: TypeAppendReply, From: learner, To: m.config.Self, Term: m.Term(), Index: m.Commit()}, now)
		_, _, err := m.Propose([]byte("x"))
		assert.NilError(t, err)
		commitAll(m)
	}
	assert.Assert(t, m.KeepsUp(learner))
	m.advanceClock(now.Add(DefaultElectionTimeout))
	assert.Assert(t, !m.KeepsUp(learner))
}
