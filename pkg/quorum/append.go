package quorum

import (
	"slices"

	"poplarbend.example/poplar"
)

// This file implements proposals, replication and commit.

// Propose appends a command to the log of a leader and returns its index and
// term. The command is committed when an entry with this index and term is
// committed. If an entry with another term is committed at this index, the
// command never commits. Propose fails with poplar.CodeStale when the member is
// not the leader, with poplar.CodeDrain during a leadership transfer, and with
// poplar.CodeBusy when the uncommitted proposals exceed Config.MaxUncommitted.
func (m *Machine) Propose(command []byte) (poplar.Index, poplar.Term, error) {
	if err := m.checkProposable(); err != nil {
		return 0, 0, err
	}
	if m.uncommitted > 0 && m.uncommitted+len(command) > m.config.MaxUncommitted {
		return 0, 0, proposalError(poplar.CodeBusy, "%d bytes of proposals are not committed yet", m.uncommitted)
	}
	return m.appendOwn(Entry{Kind: KindCommand, Data: command}), m.term, nil
}

// Change appends a single-member change of the membership [change]. It fails with
// poplar.CodeStale and poplar.CodeDrain like Propose, and with poplar.CodeInvalid
// like Membership.Apply. It fails with poplar.CodeBusy until the previous change is
// committed and the leader has committed an entry of its own term. Otherwise two
// memberships whose majorities do not overlap could be in use at the same time
// (https://groups.google.com/g/raft-dev/c/t4xj6dJTP6E). The promotion of a learner
// fails with poplar.CodeBusy until the learner keeps up.
func (m *Machine) Change(c Change) (poplar.Index, poplar.Term, error) {
	if err := m.checkProposable(); err != nil {
		return 0, 0, err
	}
	if !m.MembershipCommitted() || m.commit < m.termStart {
		return 0, 0, proposalError(poplar.CodeBusy, "the previous membership change or the first entry of the term is not committed yet")
	}
	if c.Action == ActionPromote && !m.KeepsUp(c.Member) {
		return 0, 0, proposalError(poplar.CodeBusy, "%v has only %d of %d committed entries and does not keep up", c.Member, m.MatchIndex(c.Member), m.commit)
	}
	members, err := m.Members().Apply(c)
	if err != nil {
		return 0, 0, err
	}
	return m.appendOwn(Entry{Kind: KindMembers, Members: &members}), m.term, nil
}

// checkProposable returns an error when the member does not accept proposals.
func (m *Machine) checkProposable() error {
	if m.role != RoleLeader {
		return proposalError(poplar.CodeStale, "not the leader")
	}
	if m.successor != (Member{}) {
		return proposalError(poplar.CodeDrain, "leadership transfer to %v in progress", m.successor)
	}
	return nil
}

// proposalError returns an error with run state poplar.RunNo, since the proposal
// was not appended.
func proposalError(code poplar.Code, format string, args ...any) error {
	return poplar.Failf(poplar.StepPropose, code, format, args...).Ran(poplar.RunNo)
}

// appendOwn appends an entry to the leader's log and sends it to the peers
// [append].
func (m *Machine) appendOwn(e Entry) poplar.Index {
	e.Index, e.Term = m.log.last()+1, m.term
	m.log.list = append(m.log.list, e)
	m.uncommitted += e.size()
	if e.Kind == KindMembers {
		m.recordMembership(e)
		m.syncPeers(e.Index)
	}
	m.broadcast()
	return e.Index
}

// broadcast sends new entries to all peers.
func (m *Machine) broadcast() {
	for _, peer := range m.Members().All() {
		if p := m.peers[peer]; p != nil {
			m.replicate(peer, p)
		}
	}
}

// replicate sends entries to a peer until the limit of unanswered messages is
// reached.
func (m *Machine) replicate(peer Member, p *progress) {
	for !p.paused(m.config.MaxInflight) && p.next <= m.log.last() {
		if !m.sendEntries(peer, p, m.config.MaxMessageSize) {
			return
		}
	}
}

// sendEntries sends one append message with at most limit bytes of entries, but
// at least one entry if there is any, or without entries when limit is 0. When
// the entries are compacted, it starts to send a snapshot and returns false.
func (m *Machine) sendEntries(peer Member, p *progress, limit int) bool {
	term, ok := m.log.term(p.next - 1)
	if !ok {
		m.startSnapshot(peer, p)
		return false
	}
	msg := Message{Type: TypeAppend, To: peer, Term: m.term, Index: p.next - 1, LogTerm: term, Commit: m.commit, Round: m.round}
	if limit > 0 {
		msg.Entries = m.log.from(p.next, m.log.last(), limit)
	}
	if n := len(msg.Entries); n > 0 {
		p.recordSent(msg.Entries[n-1].Index)
	}
	m.send(msg)
	return true
}

// sendHeartbeats starts a heartbeat round. A heartbeat refers to the last entry
// sent to the peer, so that the peer refuses it when an earlier message was lost.
func (m *Machine) sendHeartbeats() {
	m.round++
	for _, peer := range m.Members().All() {
		p := m.peers[peer]
		switch {
		case p == nil:
		case p.mode == modeSnapshot:
			m.send(Message{Type: TypeAppend, To: peer, Term: m.term, Round: m.round})
			m.resendChunk(peer, p)
		case p.mode == modeProbe:
			p.waiting = false
			m.sendEntries(peer, p, m.config.MaxMessageSize)
		default:
			m.sendEntries(peer, p, 0)
		}
	}
}

// stepAppend handles entries from the leader [accept].
func (m *Machine) stepAppend(msg Message) {
	reply := Message{Type: TypeAppendReply, To: msg.From, Round: msg.Round}
	if msg.Term < m.term {
		reply.Term, reply.Refused = m.term, true
		m.sendDurable(reply)
		return
	}
	m.recordLeaderContact(msg)
	m.leaderCommit = max(m.leaderCommit, msg.Commit)
	reply.Term = m.term
	switch {
	case msg.Index < m.commit:
		// Entries up to commit match the log of any leader (log matching, §3.5).
		reply.Index = m.commit
	case !m.log.matches(msg.Index, msg.LogTerm):
		reply.Refused = true
		reply.Index = msg.Index
		reply.Hint = m.log.hint(msg.Index, msg.LogTerm)
	default:
		m.accept(msg.Entries)
		reply.Index = msg.Index + poplar.Index(len(msg.Entries))
		m.commitTo(min(msg.Commit, reply.Index))
	}
	m.sendDurable(reply)
}

// recordLeaderContact records a message from the leader of its term. After a gap of more
// than an election timeout a new session starts, also with the same leader. A learner keeps
// its leader while it is cut off, so a change of the leader does not show the gap.
func (m *Machine) recordLeaderContact(msg Message) {
	changed := msg.Term > m.term || m.role != RoleFollower || m.leader != msg.From
	if changed {
		m.follow(msg.Term, msg.From)
	}
	if changed || m.now.Sub(m.leaderContact) > m.config.ElectionTimeout {
		m.leaderSession++
		m.leaderCommit = 0
	}
	m.leaderContact = m.now
	m.resetElectionTimer()
}

// accept appends received entries whose predecessor matches. It removes entries
// that conflict, with all entries after them. Committed entries never conflict.
func (m *Machine) accept(received []Entry) {
	for i, e := range received {
		if m.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= m.log.last() {
			m.truncateLog(e.Index)
		}
		m.log.list = append(m.log.list, received[i:]...)
		for _, added := range received[i:] {
			m.recordMembership(added)
		}
		return
	}
}

// truncateLog removes the entries from index on, which are not committed, and the
// memberships that they introduced.
func (m *Machine) truncateLog(index poplar.Index) {
	m.log.truncate(index)
	m.outbox.truncate(index)
	for m.memberships[len(m.memberships)-1].index >= index {
		m.memberships = m.memberships[:len(m.memberships)-1]
	}
}

// commitTo raises the commit index to index, limited to the last entry.
func (m *Machine) commitTo(index poplar.Index) {
	m.commit = max(m.commit, min(index, m.log.last()))
}

// stepAppendReply handles a peer's reply to an append message.
func (m *Machine) stepAppendReply(msg Message) {
	if msg.Term > m.term {
		m.follow(msg.Term, Member{})
		return
	}
	p := m.peers[msg.From]
	if m.role != RoleLeader || msg.Term < m.term || p == nil {
		return
	}
	m.recordContact(p, msg.Round)
	if msg.Refused {
		if p.reject(msg.Index, msg.Hint) {
			m.sendEntries(msg.From, p, m.config.MaxMessageSize)
		}
		return
	}
	p.acknowledge(min(msg.Index, m.log.last()))
	m.advanceRound(p)
	m.countCommit()
	if m.role != RoleLeader {
		return
	}
	m.replicate(msg.From, p)
	m.finishTransfer()
}

// advanceRound starts the next round of catching up when the peer has ended the present one.
func (m *Machine) advanceRound(p *progress) {
	if p.match < p.roundEnd {
		return
	}
	p.roundInTime = m.now.Before(p.roundDeadline)
	p.startRound(m.commit, m.now.Add(m.config.ElectionTimeout))
}

// recordContact records a reply of a peer in this term.
func (m *Machine) recordContact(p *progress, round uint64) {
	p.contact = m.now
	p.round = max(p.round, round)
	m.confirmReads()
}

// countCommit commits the entries that are durable on a majority of the current
// voters [commit]. Only an entry of the leader's own term is committed by
// counting replicas. Older entries commit with it (§3.6.2).
func (m *Machine) countCommit() {
	voters := m.Members().Voters
	durable := make([]poplar.Index, 0, len(voters))
	for _, v := range voters {
		if v == m.config.Self {
			durable = append(durable, m.outbox.stable)
		} else {
			durable = append(durable, m.peers[v].match)
		}
	}
	slices.Sort(durable)
	index := durable[len(durable)-m.Members().Quorum()]
	if index <= m.commit || index < m.termStart {
		return
	}
	for _, e := range m.log.from(max(m.commit+1, m.termStart), index, unlimited) {
		m.uncommitted -= e.size()
	}
	m.commit = index
	m.startReads()
	m.broadcastCommit()
	m.leaveIfRemoved()
}

// broadcastCommit sends the new commit index to the peers to which all entries
// were sent. The others receive it with their next entries.
func (m *Machine) broadcastCommit() {
	for _, peer := range m.Members().All() {
		p := m.peers[peer]
		if p != nil && p.mode == modePipeline && p.next > m.log.last() {
			m.sendEntries(peer, p, 0)
		}
	}
}

// leaveIfRemoved makes a leader step down once a membership in which it is not a
// voter is committed [leave] (§4.2.2). The leader first asks the best successor to
// start an election.
func (m *Machine) leaveIfRemoved() {
	if !m.MembershipCommitted() || m.Members().IsVoter(m.config.Self) {
		return
	}
	if successor := m.bestSuccessor(); successor != (Member{}) {
		m.send(Message{Type: TypeTimeoutNow, To: successor, Term: m.term})
	}
	m.follow(m.term, Member{})
}
