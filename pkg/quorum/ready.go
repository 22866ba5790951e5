package quorum

import (
	"slices"

	"poplarbend.example/poplar"
)

// This file implements the output of the machine, and the messages and entries
// that wait for the disk.

// Ready is the output of a machine since the previous call of Machine.Ready.
type Ready struct {
	messages  []Message
	batch     uint64
	hard      HardState
	snapshot  *Snapshot
	entries   []Entry
	committed []Entry
	reads     []Read
	ballots   []Ballot
}

// Messages returns the messages to send, in any order.
func (r Ready) Messages() []Message { return r.messages }

// Batch returns the number of the batch to persist, or 0 when there is nothing to
// persist.
func (r Ready) Batch() uint64 { return r.batch }

// Hard returns the term, vote and commit index to persist with the batch.
func (r Ready) Hard() HardState { return r.hard }

// Snapshot returns a snapshot from the leader, or nil. It replaces all persisted
// entries and the state of the state machine. When it is not nil, Entries returns
// all entries after the snapshot.
func (r Ready) Snapshot() *Snapshot { return r.snapshot }

// Entries returns the entries to persist. They replace all persisted entries from
// the index of the first one on.
func (r Ready) Entries() []Entry { return r.entries }

// Committed returns the committed entries to apply, in order. They follow
// Snapshot.
func (r Ready) Committed() []Entry { return r.committed }

// Reads returns the confirmed reads.
func (r Ready) Reads() []Read { return r.reads }

// Ballots returns the decisions on requests for votes, for the log of the process.
func (r Ready) Ballots() []Ballot { return r.ballots }

// outbox contains the pending output and tracks which batches are durable.
type outbox struct {
	messages          []Message
	deferred          []deferredMessage // invariant: ascending by batch
	reads             []Read
	ballots           []Ballot
	hardChanged       bool         // invariant: set when term or vote changed since the last batch, or when Tick found a commit index after batchCommit
	batchCommit       poplar.Index // invariant: the commit index in the last batch
	snapshotInstalled bool         // invariant: a snapshot was installed since the last batch
	firstUnbatched    poplar.Index // invariant: index of the first entry that is in no batch
	stable            poplar.Index // invariant: the log is durable up to this index
	lastBatch         uint64       // invariant: last batch returned by Ready
	durableBatch      uint64       // invariant: last batch reported durable
	unsynced          []writeBatch // invariant: batches after durableBatch, ascending
}

// deferredMessage is a message that is sent once a batch is durable.
type deferredMessage struct {
	batch uint64
	msg   Message
}

// writeBatch is a batch that Ready returned, with its last entry. A truncation
// lowers last, so that an entry that replaces another one is not considered
// durable.
type writeBatch struct {
	batch uint64
	last  poplar.Index
}

// truncate adjusts the write state after the entries from index on were removed
// from the log.
func (o *outbox) truncate(index poplar.Index) {
	o.firstUnbatched = min(o.firstUnbatched, index)
	o.stable = min(o.stable, index-1)
	for i := range o.unsynced {
		o.unsynced[i].last = min(o.unsynced[i].last, index-1)
	}
}

// reset resets the write state after a snapshot has replaced the whole log.
func (o *outbox) reset(index poplar.Index) {
	o.firstUnbatched = index + 1
	o.stable = index
	for i := range o.unsynced {
		o.unsynced[i].last = 0
	}
}

// hasUnbatched reports whether there is state to persist that is in no batch yet.
func (m *Machine) hasUnbatched() bool {
	return m.outbox.hardChanged || m.outbox.snapshotInstalled || m.outbox.firstUnbatched <= m.log.last()
}

// send adds a message to the output.
func (m *Machine) send(msg Message) {
	msg.From = m.config.Self
	msg.Cluster = m.config.Cluster
	m.outbox.messages = append(m.outbox.messages, msg)
}

// sendDurable sends a message once the current state of the machine is durable
// [durable]. A message to the machine itself is handled at that time.
func (m *Machine) sendDurable(msg Message) {
	required := m.outbox.lastBatch
	if m.hasUnbatched() {
		required++
	}
	if required <= m.outbox.durableBatch {
		m.release(msg)
		return
	}
	m.outbox.deferred = append(m.outbox.deferred, deferredMessage{batch: required, msg: msg})
}

// release sends a message, or handles it when it is addressed to the machine
// itself.
func (m *Machine) release(msg Message) {
	if msg.To != m.config.Self {
		m.send(msg)
		return
	}
	msg.From = m.config.Self
	m.dispatch(msg)
}

// Persisted records that all batches up to and including batch are durable.
func (m *Machine) Persisted(batch uint64) {
	o := &m.outbox
	o.durableBatch = max(o.durableBatch, min(batch, o.lastBatch))
	for len(o.unsynced) > 0 && o.unsynced[0].batch <= o.durableBatch {
		o.stable = max(o.stable, o.unsynced[0].last)
		o.unsynced = o.unsynced[1:]
	}
	if m.role == RoleLeader {
		m.countCommit()
	}
	for len(o.deferred) > 0 && o.deferred[0].batch <= o.durableBatch {
		msg := o.deferred[0].msg
		o.deferred = o.deferred[1:]
		m.release(msg)
	}
}

// Ready returns the messages to send, the batch to persist and the entries to
// apply. It returns each output once.
func (m *Machine) Ready() Ready {
	o := &m.outbox
	r := Ready{messages: o.messages, reads: o.reads, ballots: o.ballots}
	o.messages, o.reads, o.ballots = nil, nil, nil
	if m.hasUnbatched() {
		o.lastBatch++
		r.batch = o.lastBatch
		r.hard = m.Hard()
		o.batchCommit = m.commit
		r.entries = m.log.from(max(o.firstUnbatched, m.log.base+1), m.log.last(), unlimited)
		if o.snapshotInstalled {
			s := m.snapshot
			r.snapshot = &s
			r.entries = m.Entries()
			m.applied = s.Index
		}
		o.unsynced = append(o.unsynced, writeBatch{batch: o.lastBatch, last: m.log.last()})
		o.firstUnbatched = m.log.last() + 1
		o.hardChanged, o.snapshotInstalled = false, false
	}
	if last := min(m.commit, o.stable); last > m.applied {
		r.committed = slices.Clone(m.log.from(m.applied+1, last, unlimited))
		m.applied = last
	}
	return r
}
