package quorum

import "poplarbend.example/poplar"

// This file implements taking, sending and installing snapshots.

// Compact replaces the entries up to index by a snapshot. The data is the encoded
// state of the state machine after it has applied these entries. Compact returns
// false when the entry at index is not applied or not newer than the last snapshot.
// The calling code persists the new Snapshot and the remaining Entries together.
func (m *Machine) Compact(index poplar.Index, data []byte) bool {
	term, ok := m.log.term(index)
	if !ok || index > m.applied || index <= m.snapshot.Index {
		return false
	}
	m.snapshot = Snapshot{Index: index, Term: term, Members: m.membersAt(index), Data: data}
	if retained := poplar.Index(m.config.RetainedEntries); index > retained {
		m.log.compact(index - retained)
	}
	for len(m.memberships) > 1 && m.memberships[1].index <= m.snapshot.Index {
		m.memberships = m.memberships[1:]
	}
	return true
}

// membersAt returns the membership at the entry with the given index.
func (m *Machine) membersAt(index poplar.Index) Membership {
	members := m.memberships[0].members
	for _, s := range m.memberships[1:] {
		if s.index <= index {
			members = s.members
		}
	}
	return members
}

// startSnapshot starts to send the snapshot to a peer that needs entries which
// are compacted.
func (m *Machine) startSnapshot(peer Member, p *progress) {
	current := m.snapshot
	p.mode = modeSnapshot
	p.inflight = nil
	p.snapshot = &current
	p.offset = 0
	m.sendChunk(peer, p)
}

// sendChunk sends the chunk at the peer's offset.
func (m *Machine) sendChunk(peer Member, p *progress) {
	s := p.snapshot
	end := min(p.offset+m.config.ChunkSize, len(s.Data))
	p.resendAt = m.now.Add(m.config.ElectionTimeout / 2)
	m.send(Message{Type: TypeChunk, To: peer, Term: m.term, Round: m.round, Chunk: &Chunk{
		Index:   s.Index,
		Term:    s.Term,
		Members: s.Members,
		Offset:  p.offset,
		Total:   len(s.Data),
		Data:    s.Data[p.offset:end],
	}})
}

// resendChunk sends the last chunk again when its reply is overdue.
func (m *Machine) resendChunk(peer Member, p *progress) {
	if !m.now.Before(p.resendAt) {
		p.resent = true
		m.sendChunk(peer, p)
	}
}

// stepChunkReply sends the next chunk. A reply carries the number of bytes that
// the peer has received, so lost and duplicate chunks are harmless. The leader
// accepts a lower number than before only after it has sent a chunk again because
// of a timeout, since the peer may have restarted and lost the earlier chunks.
func (m *Machine) stepChunkReply(msg Message) {
	if msg.Term > m.term {
		m.follow(msg.Term, Member{})
		return
	}
	p := m.peers[msg.From]
	if m.role != RoleLeader || msg.Term < m.term || p == nil {
		return
	}
	m.recordContact(p, msg.Round)
	if p.mode != modeSnapshot || msg.Chunk.Index != p.snapshot.Index || msg.Chunk.Offset > len(p.snapshot.Data) {
		return
	}
	if offset := msg.Chunk.Offset; offset > p.offset || (offset < p.offset && p.resent) {
		p.offset = offset
		p.resent = false
		m.sendChunk(msg.From, p)
	}
}

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	header Chunk // invariant: from the leader of the current term; a new term discards the snapshot
	data   []byte
}

// stepChunk handles a snapshot chunk and installs the snapshot when it is
// complete.
func (m *Machine) stepChunk(msg Message) {
	reply := Message{Type: TypeChunkReply, To: msg.From, Round: msg.Round}
	if msg.Term < m.term {
		reply.Type, reply.Term, reply.Refused = TypeAppendReply, m.term, true
		m.sendDurable(reply)
		return
	}
	m.recordLeaderContact(msg)
	c := msg.Chunk
	reply.Term = m.term
	if c.Index <= m.commit {
		m.sendDurable(Message{Type: TypeAppendReply, To: msg.From, Term: m.term, Index: m.commit, Round: msg.Round})
		return
	}
	incoming := m.addChunk(c)
	if len(incoming.data) < c.Total {
		reply.Chunk = &Chunk{Index: c.Index, Offset: len(incoming.data)}
		m.send(reply)
		return
	}
	m.incoming = nil
	m.install(Snapshot{Index: c.Index, Term: c.Term, Members: c.Members, Data: incoming.data})
	m.sendDurable(Message{Type: TypeAppendReply, To: msg.From, Term: m.term, Index: c.Index, Round: msg.Round})
}

// addChunk appends a chunk to the incoming snapshot if it is the next one. A chunk
// of another snapshot starts a new one.
func (m *Machine) addChunk(c *Chunk) *incomingSnapshot {
	incoming := m.incoming
	if incoming == nil || incoming.header.Index != c.Index || incoming.header.Term != c.Term || incoming.header.Total != c.Total {
		incoming = &incomingSnapshot{header: *c}
		incoming.header.Data = nil
		m.incoming = incoming
	}
	if c.Offset == len(incoming.data) && len(incoming.data)+len(c.Data) <= c.Total {
		incoming.data = append(incoming.data, c.Data...)
	}
	return incoming
}

// install replaces the log up to the index of a snapshot by the snapshot. Later
// entries are retained when the log contains the last entry of the snapshot
// (§5.1).
func (m *Machine) install(s Snapshot) {
	matches := m.log.matches(s.Index, s.Term)
	if matches {
		m.log.compact(s.Index)
		m.outbox.stable = max(m.outbox.stable, s.Index)
	} else {
		m.log = entryLog{base: s.Index, baseTerm: s.Term}
		m.outbox.reset(s.Index)
	}
	m.snapshot = s
	m.commit = s.Index
	m.memberships = []membershipAt{{s.Index, s.Members}}
	for _, e := range m.log.list {
		m.recordMembership(e)
	}
	m.outbox.snapshotInstalled = true
}
