package ledger

import (
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
)

// This file defines the messages between ledgers and implements the receiving
// side of the replication from the primary to the backup of an epoch.

// CopyRequest carries records from a primary to its backup, or to a learner
// that will become the backup. It is a wire message.
type CopyRequest struct {
	Domain poplar.Domain `json:"domain"`
	From   poplar.Daemon `json:"from"`
	Epoch  poplar.Epoch  `json:"epoch"`
	// Run is the number of the primary's replication stream. A new run starts
	// with a snapshot.
	Run uint64 `json:"run"`
	// Disk is the incarnation of the receiver's disk that the log specified, or
	// 0 for any.
	Disk uint64 `json:"disk,omitempty"`
	// Snapshot, when not nil, replaces the whole state of the receiver.
	Snapshot []byte `json:"image,omitempty"`
	// First is the number of the first record in Records.
	First   uint64   `json:"first,omitempty"`
	Records [][]byte `json:"records,omitempty"`
}

// CopyReply reports what is durable at the receiver. It is a wire message.
type CopyReply struct {
	// Epoch is the highest epoch that the receiver knows.
	Epoch poplar.Epoch `json:"epoch"`
	Run   uint64       `json:"run"`
	// Seq is the number of the last durable record of the run.
	Seq uint64 `json:"seq"`
	// Disk is the incarnation of the receiver's disk.
	Disk uint64 `json:"disk,omitempty"`
	// Stale means that the sender is no longer the primary, or that the request
	// was meant for another domain or disk.
	Stale bool `json:"stale,omitempty"`
	// Reset means that the receiver needs a snapshot before it can apply records
	// of the run.
	Reset bool `json:"reset,omitempty"`
}

// ClaimBatch carries a batch of claim requests to their home domain. It is a
// wire message.
type ClaimBatch struct {
	From     poplar.Domain   `json:"from"`
	Requests []claim.Request `json:"pleas"`
}

// ClaimBatchReply carries the replies to a ClaimBatch, in the order of its claim
// requests. It is a wire message.
type ClaimBatchReply struct {
	Replies []claim.Reply `json:"replies"`
}

// Replica is the backup's side of the replication: its machine and the stream that
// the machine follows. It is not safe for concurrent use.
type Replica struct {
	machine *Machine
	limits  claim.Limits
	disk    uint64
	// maxEpoch is the highest epoch known to the receiver.
	maxEpoch poplar.Epoch
	// from and run identify the stream that the machine follows. from is ""
	// after a restart, so that the next stream starts with a snapshot.
	from poplar.Daemon
	run  uint64
	// damaged means that only part of a message was applied. The machine must
	// not be used any more.
	damaged bool
}

// NewReplica returns the receiver for machine, whose disk has the incarnation disk.
func NewReplica(machine *Machine, limits claim.Limits, disk uint64) *Replica {
	return &Replica{machine: machine, limits: limits, disk: disk}
}

// Machine returns the current machine, which a snapshot replaces.
func (r *Replica) Machine() *Machine { return r.machine }

// Damaged reports whether a message was applied only in part, which leaves the
// machine unusable. A message that cannot be decoded changes nothing and causes
// no damage.
func (r *Replica) Damaged() bool { return r.damaged }

// RaiseEpoch makes the receiver refuse the messages of epochs below epoch. It never
// lowers that bound.
func (r *Replica) RaiseEpoch(epoch poplar.Epoch) { r.maxEpoch = max(r.maxEpoch, epoch) }

// Detach ends the stream that the machine follows. It is called when the daemon
// takes another role.
func (r *Replica) Detach() { r.from = "" }

// Change is a change to the receiver's disk: a snapshot to install, or records
// to append. The reply must not be sent before the change is durable.
type Change struct {
	Snapshot []byte
	Records  [][]byte
}

// Receive applies a message and returns the change to make durable. Lost, repeated,
// late and reordered messages are harmless: records that the machine has already
// applied are skipped, records that follow a gap are ignored, and the reply
// reports the last record of the receiver. An error has CodeCorrupt.
func (r *Replica) Receive(request CopyRequest) (Change, CopyReply, error) {
	epoch := max(r.maxEpoch, r.machine.epoch)
	reply := CopyReply{Epoch: epoch, Run: request.Run, Seq: r.machine.seq, Disk: r.disk}
	otherReceiver := request.Disk != 0 && request.Disk != r.disk || request.Domain != r.machine.domain
	outdated := request.Epoch < epoch || request.Epoch == epoch && request.Run < r.machine.run
	if otherReceiver || outdated {
		reply.Stale = true
		return Change{}, reply, nil
	}
	sameStream := r.from == request.From && r.run == request.Run
	if request.Snapshot != nil {
		return r.installSnapshot(request, reply, sameStream)
	}
	if !sameStream {
		reply.Reset = true
		return Change{}, reply, nil
	}
	return r.appendRecords(request, reply)
}

func (r *Replica) installSnapshot(request CopyRequest, reply CopyReply, sameStream bool) (Change, CopyReply, error) {
	machine, err := Restore(r.machine.domain, r.limits, request.Snapshot)
	if err != nil {
		return Change{}, reply, err
	}
	if sameStream && machine.seq <= r.machine.seq {
		return Change{}, reply, nil
	}
	if machine.epoch < r.machine.epoch || machine.run < request.Run {
		return Change{}, reply, corruptf("snapshot has epoch %d and run %d, but the message has run %d", machine.epoch, machine.run, request.Run)
	}
	r.machine, r.from, r.run = machine, request.From, request.Run
	reply.Seq = machine.seq
	reply.Epoch = max(reply.Epoch, machine.epoch)
	return Change{Snapshot: request.Snapshot}, reply, nil
}

func (r *Replica) appendRecords(request CopyRequest, reply CopyReply) (Change, CopyReply, error) {
	next := r.machine.seq + 1
	if request.First > next || request.First+uint64(len(request.Records)) <= next {
		return Change{}, reply, nil
	}
	missing := request.Records[next-request.First:]
	records := make([]Record, len(missing))
	for i, data := range missing {
		var err error
		if records[i], err = Decode(data); err != nil {
			return Change{}, reply, err
		}
	}
	for i := range records {
		if err := r.machine.Apply(&records[i]); err != nil {
			r.damaged = true
			return Change{}, reply, err
		}
	}
	reply.Seq = r.machine.seq
	reply.Epoch = max(reply.Epoch, r.machine.epoch)
	return Change{Records: missing}, reply, nil
}
