package quorum

import "poplarbend.example/poplar"

// This file implements linearizable reads and leadership transfer.

// Read is a confirmed read. The state machine can answer it linearizably once it
// has applied the entry at Index.
type Read struct {
	ID    uint64
	Index poplar.Index
}

// pendingRead is a read that is not yet confirmed.
type pendingRead struct {
	id    uint64
	index poplar.Index // invariant: commit index when the confirmation started, or 0 before it
	round uint64       // invariant: heartbeat round whose replies from a majority confirm the read
}

// Read requests the index that a linearizable read must wait for (§6.4). Ready
// returns the read with this id once a majority has answered a later heartbeat.
// When the member loses its leadership, the read is dropped without notice. Read
// fails with poplar.CodeStale when the member is not the leader.
func (m *Machine) Read(id uint64) error {
	if m.role != RoleLeader {
		return proposalError(poplar.CodeStale, "not the leader")
	}
	m.reads = append(m.reads, pendingRead{id: id})
	m.startReads()
	return nil
}

// startReads starts the confirmation of reads when the commit index is known to be
// up to date, which is when the leader has committed an entry of its own term.
func (m *Machine) startReads() {
	if m.commit < m.termStart || len(m.reads) == 0 || m.reads[len(m.reads)-1].index != 0 {
		return
	}
	for i := range m.reads {
		if m.reads[i].index == 0 {
			m.reads[i].index = m.commit
			m.reads[i].round = m.round + 1
		}
	}
	m.sendHeartbeats()
	m.confirmReads()
}

// confirmReads moves the reads whose heartbeat round a majority has answered to
// the outbox.
func (m *Machine) confirmReads() {
	for len(m.reads) > 0 && m.reads[0].index != 0 && m.majorityAnswered(m.reads[0].round) {
		m.outbox.reads = append(m.outbox.reads, Read{ID: m.reads[0].id, Index: m.reads[0].index})
		m.reads = m.reads[1:]
	}
}

func (m *Machine) majorityAnswered(round uint64) bool {
	count := 0
	for _, v := range m.Members().Voters {
		if v == m.config.Self || m.peers[v].round >= round {
			count++
		}
	}
	return count >= m.Members().Quorum()
}

func (m *Machine) dropReads() { m.reads = nil }

// TransferLeadership starts a leadership transfer to the voter with the most complete log
// (§3.10). It returns false when the member is not the leader or there is no voter
// to transfer to. The leader refuses proposals until the transfer succeeds or the
// election timeout has passed.
func (m *Machine) TransferLeadership() bool {
	if m.role != RoleLeader {
		return false
	}
	successor := m.bestSuccessor()
	if successor == (Member{}) {
		return false
	}
	m.successor = successor
	m.transferDeadline = m.now.Add(m.config.ElectionTimeout)
	m.finishTransfer()
	return true
}

// bestSuccessor returns the voter with the highest match index among those that
// replied within the election timeout, or the zero Member when there is none.
func (m *Machine) bestSuccessor() Member {
	var best Member
	since := m.now.Add(-m.config.ElectionTimeout)
	for _, v := range m.Members().Voters {
		p := m.peers[v]
		if p == nil || !p.contact.After(since) {
			continue
		}
		if best == (Member{}) || p.match > m.peers[best].match {
			best = v
		}
	}
	return best
}

// finishTransfer asks the successor to start an election if it has the whole log.
func (m *Machine) finishTransfer() {
	if p := m.peers[m.successor]; p != nil && p.match == m.log.last() {
		m.send(Message{Type: TypeTimeoutNow, To: m.successor, Term: m.term})
	}
}

// stepTimeoutNow starts an election at once at the request of the leader.
func (m *Machine) stepTimeoutNow(msg Message) {
	if msg.Term == m.term && m.leader == msg.From && m.Members().IsVoter(m.config.Self) {
		m.campaign(true)
	}
}
