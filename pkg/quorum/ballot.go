package quorum

import "poplarbend.example/poplar"

// This file implements the reports about elections. They change nothing in the
// machine.

// Refusal is the reason for which a member does not grant its vote.
type Refusal string

// The reasons.
const (
	RefusalNone        Refusal = ""               // the vote is granted
	RefusalLeader      Refusal = "live leader"    // the member has a live leader
	RefusalTerm        Refusal = "old term"       // the term is not newer than the member's
	RefusalVoted       Refusal = "voted"          // the member has voted for another one or knows the leader of the term
	RefusalLog         Refusal = "log is shorter" // the candidate lacks entries that the member has
	RefusalIncarnation Refusal = "former disk"    // the request is to an earlier incarnation of this daemon
)

// Ballot is a member's decision on a request for its vote. A member that asks
// for votes reports itself as the candidate.
type Ballot struct {
	Term      poplar.Term
	Candidate Member
	PreVote   bool
	Refusal   Refusal
	// LastIndex and LastTerm are those of the candidate's last entry, OwnIndex and
	// OwnTerm those of the member's.
	LastIndex, OwnIndex poplar.Index
	LastTerm, OwnTerm   poplar.Term
}

// reportBallot adds a decision on a vote request to the output.
func (m *Machine) reportBallot(msg Message, refusal Refusal) {
	m.outbox.ballots = append(m.outbox.ballots, Ballot{
		Term: msg.Term, Candidate: msg.From, PreVote: msg.Type == TypePreVote, Refusal: refusal,
		LastIndex: msg.Index, LastTerm: msg.LogTerm, OwnIndex: m.log.last(), OwnTerm: m.log.lastTerm(),
	})
}

// reportOtherIncarnation reports a vote request to an earlier incarnation of this
// daemon, which lost its disk and does not vote.
func (m *Machine) reportOtherIncarnation(msg Message) {
	request := msg.Type == TypePreVote || msg.Type == TypeVote
	if request && msg.Cluster == m.config.Cluster && msg.To.Name == m.config.Self.Name && msg.To != m.config.Self {
		m.reportBallot(msg, RefusalIncarnation)
	}
}

// preVoteRefusal returns why a pre-vote is refused, or RefusalNone.
func (m *Machine) preVoteRefusal(msg Message) Refusal {
	switch {
	case msg.Term <= m.term:
		return RefusalTerm
	case m.hasLiveLeader():
		return RefusalLeader
	case !m.complete(msg.Index, msg.LogTerm):
		return RefusalLog
	}
	return RefusalNone
}

// voteRefusal returns why a vote in the member's term is refused, or RefusalNone.
func (m *Machine) voteRefusal(msg Message) Refusal {
	unvoted := m.vote == (Member{}) && m.leader == (Member{})
	switch {
	case msg.Term != m.term:
		return RefusalTerm
	case !unvoted && m.vote != msg.From:
		return RefusalVoted
	case !m.complete(msg.Index, msg.LogTerm):
		return RefusalLog
	}
	return RefusalNone
}
