package quorum

import "poplarbend.example/poplar"

// startPreVote asks the voters whether they would vote for this member, without
// incrementing the term (pre-vote, §9.6). This prevents a member that returns
// from a long network partition from disrupting the others with a high term.
func (m *Machine) startPreVote() {
	m.follow(m.term, Member{})
	m.role = RolePreCandidate
	m.votes = map[Member]bool{m.config.Self: true}
	if m.hasMajorityVotes() {
		m.campaign(false)
		return
	}
	m.requestVotes(Message{Type: TypePreVote, Term: m.term + 1}, m.send)
}

// campaign starts an election in the next term [elect]. The member's own vote
// counts once it is durable, like any other.
func (m *Machine) campaign(transfer bool) {
	m.follow(m.term+1, Member{})
	m.role = RoleCandidate
	m.vote = m.config.Self
	m.votes = map[Member]bool{}
	m.requestVotes(Message{Type: TypeVote, Term: m.term, Transfer: transfer}, m.sendDurable)
	m.sendDurable(Message{Type: TypeVoteReply, To: m.config.Self, Term: m.term})
}

// requestVotes sends msg with the index and term of the last entry to all other
// voters.
func (m *Machine) requestVotes(msg Message, send func(Message)) {
	msg.From, msg.Index, msg.LogTerm = m.config.Self, m.log.last(), m.log.lastTerm()
	m.reportBallot(msg, RefusalNone)
	for _, v := range m.Members().Voters {
		if v != m.config.Self {
			msg.To = v
			send(msg)
		}
	}
}

// hasMajorityVotes reports whether a majority of the current voters has granted
// its vote.
func (m *Machine) hasMajorityVotes() bool {
	granted := 0
	for _, v := range m.Members().Voters {
		if m.votes[v] {
			granted++
		}
	}
	return granted >= m.Members().Quorum()
}

// hasLiveLeader reports whether this member is the leader or had contact with the
// leader within the election timeout. Such a member refuses pre-votes and ignores
// vote requests, except for a leadership transfer, so that it does not help to
// depose a live leader (§4.2.3).
func (m *Machine) hasLiveLeader() bool {
	if m.role == RoleLeader {
		return true
	}
	return m.leader != Member{} && m.now.Before(m.leaderContact.Add(m.config.ElectionTimeout))
}

// complete reports whether a log whose last entry is (lastIndex, lastTerm) is at
// least as up to date as this one [complete].
func (m *Machine) complete(lastIndex poplar.Index, lastTerm poplar.Term) bool {
	own := m.log.lastTerm()
	return lastTerm > own || (lastTerm == own && lastIndex >= m.log.last())
}

func (m *Machine) stepPreVote(msg Message) {
	refusal := m.preVoteRefusal(msg)
	m.reportBallot(msg, refusal)
	reply := Message{Type: TypePreVoteReply, To: msg.From, Term: msg.Term}
	if refusal != RefusalNone {
		reply.Refused = true
		reply.Term = m.term
	}
	m.send(reply)
}

func (m *Machine) stepPreVoteReply(msg Message) {
	switch {
	case msg.Refused && msg.Term > m.term:
		m.follow(msg.Term, Member{})
	case m.role != RolePreCandidate || msg.Refused || msg.Term != m.term+1:
	default:
		m.votes[msg.From] = true
		if m.hasMajorityVotes() {
			m.campaign(false)
		}
	}
}

// stepVote handles a vote request [vote]. A member grants at most one vote in a
// term, only for a log that is at least as complete as its own, and makes the
// vote durable before it sends the reply.
func (m *Machine) stepVote(msg Message) {
	if m.hasLiveLeader() && !msg.Transfer {
		m.reportBallot(msg, RefusalLeader)
		return
	}
	if msg.Term > m.term {
		m.follow(msg.Term, Member{})
	}
	refusal := m.voteRefusal(msg)
	m.reportBallot(msg, refusal)
	reply := Message{Type: TypeVoteReply, To: msg.From, Term: m.term, Refused: refusal != RefusalNone}
	if refusal == RefusalNone {
		if m.vote != msg.From {
			m.vote = msg.From
			m.outbox.hardChanged = true
		}
		m.resetElectionTimer()
	}
	m.sendDurable(reply)
}

func (m *Machine) stepVoteReply(msg Message) {
	switch {
	case msg.Term > m.term:
		m.follow(msg.Term, Member{})
	case m.role != RoleCandidate || msg.Refused || msg.Term < m.term:
	default:
		m.votes[msg.From] = true
		if m.hasMajorityVotes() {
			m.lead()
		}
	}
}

// lead makes the machine the leader of its term [lead]. It starts the term with
// an empty entry. Older entries commit with that entry (§3.6.2), and once it is
// committed, the membership and the commit index are known to be up to date.
func (m *Machine) lead() {
	m.role = RoleLeader
	m.leader = m.config.Self
	m.votes = nil
	m.leaderSince = m.now
	m.peers = map[Member]*progress{}
	m.uncommitted = 0
	m.syncPeers(m.log.last() + 1)
	m.termStart = m.log.last() + 1
	m.nextHeartbeat = m.now.Add(m.config.HeartbeatInterval)
	m.appendOwn(Entry{Kind: KindEmpty})
}

// syncPeers updates the peers to the current membership. The leader probes new
// peers from the entry at index next.
func (m *Machine) syncPeers(next poplar.Index) {
	members := m.Members()
	for peer := range m.peers {
		if !members.Has(peer) {
			delete(m.peers, peer)
		}
	}
	for _, peer := range members.All() {
		if _, ok := m.peers[peer]; !ok && peer != m.config.Self {
			p := &progress{next: next, contact: m.now}
			p.startRound(m.commit, m.now.Add(m.config.ElectionTimeout))
			m.peers[peer] = p
		}
	}
}

// tickLeader sends heartbeats, abandons a leadership transfer that takes too
// long, and steps down after an election timeout without contact to a majority
// (check-quorum, §6.2).
func (m *Machine) tickLeader() {
	if !m.hasMajorityContact() {
		m.follow(m.term, Member{})
		return
	}
	if m.successor != (Member{}) && !m.now.Before(m.transferDeadline) {
		m.successor = Member{}
	}
	if !m.now.Before(m.nextHeartbeat) {
		m.nextHeartbeat = m.now.Add(m.config.HeartbeatInterval)
		m.sendHeartbeats()
	}
}

// hasMajorityContact reports whether a majority of the current voters, including
// this member, replied within the election timeout.
func (m *Machine) hasMajorityContact() bool {
	since := m.now.Add(-m.config.ElectionTimeout)
	inContact := 0
	for _, v := range m.Members().Voters {
		if v == m.config.Self || m.peers[v].contact.After(since) {
			inContact++
		}
	}
	return inContact >= m.Members().Quorum()
}
