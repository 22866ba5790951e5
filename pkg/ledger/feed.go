package ledger

import "poplarbend.example/poplar"

// This file implements the sending side of the replication to the backup.

// Bounds of the replication stream.
const (
	// maxMessageBytes bounds the records in one message. A single larger record
	// is sent in a message of its own.
	maxMessageBytes = 1 << 20
	// maxUnacked bounds the number of records retained for the backup. Past it the
	// backup gets a snapshot instead.
	maxUnacked = 256 << 10
)

// Feed is the primary's side of the replication to the backup of one epoch. The
// caller sends one message at a time; records that are added meanwhile share the
// next message. The zero Feed has no backup. It is not safe for concurrent use.
type Feed struct {
	epoch  poplar.Epoch
	run    uint64
	self   poplar.Daemon
	backup poplar.Daemon
	disk   uint64 // incarnation of the backup's disk, or 0 for any disk
	// runRecord is the number of the record that sets the run. Nothing is sent
	// before it is durable at the primary: after a crash another run would get
	// the same number.
	runRecord uint64
	// needSnapshot means that the next message must be a snapshot.
	needSnapshot bool
	// unacked holds the records that the backup has not acknowledged, starting
	// with record number first.
	unacked [][]byte
	first   uint64
	// copied is the number of the last record that is durable at the backup.
	// Invariant: never decreases within one Feed.
	copied uint64
}

// NewFeed returns the feed of epoch from self to backup. It starts with a
// snapshot. The record numbered runRecord sets the run. The feed sends only to
// the disk incarnation disk, or to any when disk is 0.
func NewFeed(epoch poplar.Epoch, run uint64, self, backup poplar.Daemon, disk, runRecord uint64) Feed {
	return Feed{epoch: epoch, run: run, self: self, backup: backup, disk: disk, runRecord: runRecord, needSnapshot: true}
}

// Backup returns the receiving daemon, or "" when there is none.
func (f *Feed) Backup() poplar.Daemon { return f.backup }

// Acknowledged returns the number of the last record that is durable at the backup.
func (f *Feed) Acknowledged() uint64 { return f.copied }

// Ready reports whether the backup has every record that the primary has ever
// acknowledged. It is true when there is no backup.
func (f *Feed) Ready() bool { return f.backup == "" || f.copied > 0 && !f.needSnapshot }

// Add appends the encoded record numbered seq to the records to send.
func (f *Feed) Add(seq uint64, data []byte) {
	switch {
	case f.backup == "" || f.needSnapshot:
		return
	case len(f.unacked) == 0:
		f.first = seq
	}
	f.unacked = append(f.unacked, data)
}

// Next returns the next message, or false when there is nothing to send. The
// records up to the number synced are durable at the primary.
func (f *Feed) Next(m *Machine, synced uint64) (CopyRequest, bool) {
	request := CopyRequest{Domain: m.domain, From: f.self, Epoch: f.epoch, Run: f.run, Disk: f.disk}
	switch {
	case f.backup == "" || synced < f.runRecord:
		return request, false
	case f.needSnapshot || len(f.unacked) > maxUnacked:
		request.Snapshot = m.Snapshot()
		f.needSnapshot, f.unacked = false, nil
		return request, true
	case len(f.unacked) == 0:
		return request, false
	}
	n, size := 0, 0
	for n < len(f.unacked) && (n == 0 || size+len(f.unacked[n]) <= maxMessageBytes) {
		size += len(f.unacked[n])
		n++
	}
	request.First, request.Records = f.first, f.unacked[:n:n]
	return request, true
}

// HandleLoss is called for a message that got no reply. A lost snapshot is sent again.
// Lost records need no action, since Next repeats them until the backup
// acknowledges them.
func (f *Feed) HandleLoss(request CopyRequest) {
	if request.Snapshot != nil && request.Run == f.run && request.Epoch == f.epoch {
		f.needSnapshot = true
	}
}

// HandleReply processes the reply to request. lastSeq is the number of the primary's
// last record. When the reply shows a higher epoch, the sender is no longer the
// primary and HandleReply returns that epoch; otherwise it returns 0. Replies to another
// run or epoch change nothing.
func (f *Feed) HandleReply(request CopyRequest, reply CopyReply, lastSeq uint64) poplar.Epoch {
	if request.Run != f.run || request.Epoch != f.epoch || f.backup == "" {
		return 0
	}
	switch {
	case reply.Stale && reply.Epoch > f.epoch:
		return reply.Epoch
	case reply.Stale:
		// The receiver is not the backup that the log set for the epoch.
		f.HandleLoss(request)
	case reply.Reset:
		f.needSnapshot, f.unacked = true, nil
	case reply.Seq > f.copied && reply.Seq <= lastSeq:
		f.acknowledge(reply.Seq)
	}
	return 0
}

func (f *Feed) acknowledge(seq uint64) {
	f.copied = seq
	if len(f.unacked) > 0 && seq >= f.first {
		n := seq - f.first + 1
		f.unacked, f.first = f.unacked[n:], seq+1
	}
}
