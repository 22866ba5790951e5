package voter

import (
	"maps"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/quorum"
)

// Status is an immutable snapshot of a member's state.
type Status struct {
	self     quorum.Member
	role     quorum.Role
	leader   quorum.Member
	term     poplar.Term
	commit   poplar.Index
	applied  poplar.Index
	members  quorum.Membership
	contact  map[quorum.Member]time.Time
	heard    map[quorum.Member]time.Time
	match    map[quorum.Member]poplar.Index // invariant: of the learners, at the leader
	caughtUp bool
	tail     []quorum.Entry // invariant: the entries after applied
	lastTerm poplar.Term
	started  bool
	conflict bool
}

// Self returns the member itself.
func (s Status) Self() quorum.Member { return s.self }

// Role returns the member's role.
func (s Status) Role() quorum.Role { return s.role }

// Leader returns the leader, or the zero member when unknown.
func (s Status) Leader() quorum.Member { return s.leader }

// Term returns the member's term.
func (s Status) Term() poplar.Term { return s.term }

// Commit returns the index of the last entry known to be committed.
func (s Status) Commit() poplar.Index { return s.commit }

// Applied returns the index of the last entry in the state machine.
func (s Status) Applied() poplar.Index { return s.applied }

// Members returns the current membership.
func (s Status) Members() quorum.Membership { return s.members }

// Contact returns when the last message from a peer arrived, or the zero time.
// A leader knows this for all peers, a follower for its leader.
func (s Status) Contact(peer quorum.Member) time.Time { return s.contact[peer] }

// Heard returns when the last message of a member of the log arrived, or the zero
// time. Followers send each other messages only in elections.
func (s Status) Heard(peer quorum.Member) time.Time { return s.heard[peer] }

// Match returns the index up to which a learner's log is known to match the leader's. Only
// a leader knows it.
func (s Status) Match(learner quorum.Member) poplar.Index { return s.match[learner] }

// CaughtUp reports whether the state machine has applied what the leader had committed
// when the present session of contact with it began (see quorum.Machine.LeaderSession).
func (s Status) CaughtUp() bool { return s.caughtUp }

// Tail returns the entries in the log that are not applied, committed or not.
func (s Status) Tail() []quorum.Entry { return s.tail }

// Last returns the index and the term of the last entry in the log.
func (s Status) Last() (poplar.Index, poplar.Term) {
	return s.applied + poplar.Index(len(s.tail)), s.lastTerm
}

// Started reports whether this member knows that the log was founded.
func (s Status) Started() bool { return s.started }

// Conflict reports whether another founder belongs to another log.
func (s Status) Conflict() bool { return s.conflict }

// Status returns the latest status.
func (v *Voter) Status() Status { return *v.status.Load() }

// session identifies a period of uninterrupted contact with the leader of a term. At the
// leader it is the term.
type session struct {
	term   poplar.Term
	number uint64
}

// publish stores a new status.
func (v *Voter) publish() {
	s := &Status{self: v.founder.self, started: v.founder.founding.Started, conflict: v.founder.conflict, applied: v.applied}
	if m := v.machine; m != nil {
		s.role, s.leader, s.term = m.Role(), m.Leader(), m.Term()
		s.commit, s.members = m.Commit(), m.Members()
		s.tail, s.lastTerm = m.Tail(v.applied), m.LastTerm()
		s.caughtUp = v.noteCaughtUp()
		s.contact = map[quorum.Member]time.Time{}
		for _, peer := range s.members.All() {
			if at := m.LastContact(peer); !at.IsZero() {
				s.contact[peer] = at
			}
		}
		if len(s.members.Learners) > 0 {
			s.match = map[quorum.Member]poplar.Index{}
		}
		for _, learner := range s.members.Learners {
			s.match[learner] = m.MatchIndex(learner)
		}
	}
	s.heard = maps.Clone(v.heard)
	v.status.Store(s)
}

// noteCaughtUp reports whether the state machine has applied what the leader had committed when
// the present session began. What is committed later does not count: while entries are
// committed all the time, a member with a slow disk never has applied all of them.
func (v *Voter) noteCaughtUp() bool {
	m := v.machine
	if m.Leader() == (quorum.Member{}) {
		return false
	}
	present := session{m.Term(), m.LeaderSession()}
	if m.CaughtUp() && v.catchUpIn != present {
		v.catchUpIn, v.catchUpIndex = present, m.Commit()
	}
	return v.catchUpIn == present && v.applied >= v.catchUpIndex
}

// noteHeard records that a message arrived and forgets former members.
func (v *Voter) noteHeard(msg quorum.Message) {
	members := v.machine.Members()
	if members.Has(msg.From) {
		v.heard[msg.From] = v.now
	}
	maps.DeleteFunc(v.heard, func(m quorum.Member, _ time.Time) bool { return !members.Has(m) })
}
