package ledger

import (
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
)

// This file holds the copy from the primary to the backup of an epoch.

// CopyRequest carries records from a primary to its backup, or to a learner
// that is to become the backup. It is a wire message.
type CopyRequest struct {
	Domain poplar.Domain `json:"domain"`
	From   poplar.Daemon `json:"from"`
	Epoch  poplar.Epoch  `json:"epoch"`
	// Run numbers the primary's stream. A new run starts with a snapshot.
	Run uint64 `json:"run"`
	// Disk is the incarnation of the receiver's disk that the log named, or 0.
	Disk uint64 `json:"disk,omitempty"`
	// Snapshot, when set, replaces the receiver's whole state.
	Snapshot []byte `json:"image,omitempty"`
	// First is the number of the first of Records.
	First   uint64   `json:"first,omitempty"`
	Records [][]byte `json:"records,omitempty"`
}

// CopyReply tells what the receiver holds durably. It is a wire message.
type CopyReply struct {
	// Epoch is the highest epoch that the receiver knows.
	Epoch poplar.Epoch `json:"epoch"`
	Run   uint64       `json:"run"`
	// Seq is the number of the last durable record of the run.
	Seq uint64 `json:"seq"`
	// Disk is the incarnation of the receiver's disk.
	Disk uint64 `json:"disk,omitempty"`
	// Stale means that the sender is not the primary any more, or that the
	// receiver is not the member that the sender means.
	Stale bool `json:"stale,omitempty"`
	// Reset means that the run has to start with a snapshot.
	Reset bool `json:"reset,omitempty"`
}

// ClaimRequest carries pleas to their home domain. It is a wire message.
type ClaimRequest struct {
	From  poplar.Domain   `json:"from"`
	Pleas []claim.Request `json:"pleas"`
}

// ClaimReply answers the pleas in their order. It is a wire message.
type ClaimReply struct {
	Replies []claim.Reply `json:"replies"`
}

// Copy is the receiver's side of a copy: the backup's machine and the run that
// it follows. It is not safe for concurrent use.
type Copy struct {
	machine *Machine
	limits  claim.Limits
	disk    uint64
	// known is the highest epoch that the receiver heard of.
	known poplar.Epoch
	// from and run name the stream that the machine follows; from is "" after
	// a restart, so that the next stream starts with a snapshot.
	from poplar.Daemon
	run  uint64
	// damaged means that records were applied in part, so that the machine must
	// not be used any further.
	damaged bool
}

// NewCopy returns the receiver's side for machine on the disk of the given
// incarnation.
func NewCopy(machine *Machine, limits claim.Limits, disk uint64) *Copy {
	return &Copy{machine: machine, limits: limits, disk: disk}
}

// Machine returns the machine of the copy, which a snapshot replaces.
func (c *Copy) Machine() *Machine { return c.machine }

// Damaged reports whether an error of Take left the machine unusable. A copy
// that cannot be read changes nothing.
func (c *Copy) Damaged() bool { return c.damaged }

// Hear raises the epoch below which copies are refused.
func (c *Copy) Hear(epoch poplar.Epoch) { c.known = max(c.known, epoch) }

// Detach ends the stream that the machine follows, because it takes another
// role.
func (c *Copy) Detach() { c.from = "" }

// Change is what a copy leads to on the receiver's disk: a snapshot to install
// or records to append. The reply may be sent once it is durable.
type Change struct {
	Snapshot []byte
	Records  [][]byte
}

// Take applies a copy and returns the change to make durable. Gaps, doubles,
// late and crossed copies are harmless: what does not follow is left out, and
// the reply says what the receiver holds. An error has CodeCorrupt.
func (c *Copy) Take(request CopyRequest) (Change, CopyReply, error) {
	epoch := max(c.known, c.machine.epoch)
	reply := CopyReply{Epoch: epoch, Run: request.Run, Seq: c.machine.seq, Disk: c.disk}
	wrong := request.Disk != 0 && request.Disk != c.disk || request.Domain != c.machine.domain
	old := request.Epoch < epoch || request.Epoch == epoch && request.Run < c.machine.run
	if wrong || old {
		reply.Stale = true
		return Change{}, reply, nil
	}
	following := c.from == request.From && c.run == request.Run
	if request.Snapshot != nil {
		return c.install(request, reply, following)
	}
	if !following {
		reply.Reset = true
		return Change{}, reply, nil
	}
	return c.append(request, reply)
}

func (c *Copy) install(request CopyRequest, reply CopyReply, following bool) (Change, CopyReply, error) {
	machine, err := Restore(c.machine.domain, c.limits, request.Snapshot)
	if err != nil {
		return Change{}, reply, err
	}
	if following && machine.seq <= c.machine.seq {
		return Change{}, reply, nil
	}
	if machine.epoch < c.machine.epoch || machine.run < request.Run {
		return Change{}, reply, corrupt("snapshot of epoch %d, run %d in a copy of run %d", machine.epoch, machine.run, request.Run)
	}
	c.machine, c.from, c.run = machine, request.From, request.Run
	reply.Seq = machine.seq
	reply.Epoch = max(reply.Epoch, machine.epoch)
	return Change{Snapshot: request.Snapshot}, reply, nil
}

func (c *Copy) append(request CopyRequest, reply CopyReply) (Change, CopyReply, error) {
	next := c.machine.seq + 1
	if request.First > next || request.First+uint64(len(request.Records)) <= next {
		return Change{}, reply, nil
	}
	fresh := request.Records[next-request.First:]
	records := make([]Record, len(fresh))
	for i, data := range fresh {
		var err error
		if records[i], err = Decode(data); err != nil {
			return Change{}, reply, err
		}
	}
	for i := range records {
		if err := c.machine.Apply(&records[i]); err != nil {
			c.damaged = true
			return Change{}, reply, err
		}
	}
	reply.Seq = c.machine.seq
	reply.Epoch = max(reply.Epoch, c.machine.epoch)
	return Change{Records: fresh}, reply, nil
}
