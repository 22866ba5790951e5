package voter

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/quorum"
)

// This file implements proposals, membership changes and linearizable reads.

const (
	// maxCommand is the maximum size of a command, in bytes.
	maxCommand = 4 << 20
	// retryDelay is the delay before a rejected proposal is retried.
	retryDelay = 50 * time.Millisecond
)

var _ poplar.Proposer = (*Voter)(nil)

// proposal is a call that waits for its entry to be applied.
type proposal struct {
	command []byte
	change  *quorum.Change
	term    poplar.Term
	result  chan outcome // invariant: has room for the one outcome, so that the loop never blocks
}

type outcome struct {
	reply []byte
	err   error
}

func (p *proposal) reply(reply []byte) { p.result <- outcome{reply: reply} }
func (p *proposal) fail(err error)     { p.result <- outcome{err: err} }

// Propose implements poplar.Proposer. A member that is not the leader forwards
// the command to the leader. A command that was certainly not appended,
// for a reason that may be temporary, is retried until ctx ends; then the error
// has poplar.CodeUnreachable.
func (v *Voter) Propose(ctx context.Context, command []byte) ([]byte, error) {
	for {
		reply, err := v.proposeOnce(ctx, command)
		if err == nil || !retryable(err) {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return nil, poplar.Failf(poplar.StepPropose, poplar.CodeUnreachable, "no leader accepted the command: %w", err).Ran(poplar.RunNo)
		case <-time.After(retryDelay):
		}
	}
}

// retryable reports whether a command was certainly not appended, for a reason
// that may be temporary.
func retryable(err error) bool {
	var e *poplar.Error
	if !errors.As(err, &e) || e.Run() != poplar.RunNo {
		return false
	}
	switch e.Code() {
	case poplar.CodeStale, poplar.CodeBusy, poplar.CodeDrain, poplar.CodeUnreachable:
		return true
	}
	return false
}

func (v *Voter) proposeOnce(ctx context.Context, command []byte) ([]byte, error) {
	leader, self := v.Status().Leader(), v.Status().Self()
	switch {
	case v.stopped.Load():
		return nil, poplar.Failf(poplar.StepPropose, poplar.CodeDisk, "voter has stopped").Ran(poplar.RunNo)
	case leader == self:
		return v.ProposeHere(ctx, command)
	case leader == (quorum.Member{}) || v.config.Forward == nil:
		return nil, poplar.Failf(poplar.StepPropose, poplar.CodeUnreachable, "leader is unknown").Ran(poplar.RunNo)
	}
	reply, err := v.config.Forward(ctx, leader.Name, command)
	var e *poplar.Error
	if err != nil && !errors.As(err, &e) {
		err = poplar.Fail(poplar.StepPropose, poplar.CodeUnreachable, err).At(string(leader.Name))
	}
	return reply, err
}

// ProposeHere proposes a command at this member only. If it is not the leader,
// the error has poplar.CodeStale and run state RunNo.
func (v *Voter) ProposeHere(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommand {
		return nil, poplar.Failf(poplar.StepPropose, poplar.CodeLarge, "command of %d bytes", len(command)).Ran(poplar.RunNo)
	}
	return v.submit(ctx, &proposal{command: command})
}

// Change adds, removes or promotes one member. It must be called at the leader,
// and fails with poplar.CodeBusy while an earlier change is not committed or
// the learner to promote still lags.
func (v *Voter) Change(ctx context.Context, change quorum.Change) error {
	_, err := v.submit(ctx, &proposal{change: &change})
	return err
}

func (v *Voter) submit(ctx context.Context, p *proposal) ([]byte, error) {
	if v.stopped.Load() {
		return nil, poplar.Failf(poplar.StepPropose, poplar.CodeDrain, "voter has stopped").Ran(poplar.RunNo)
	}
	p.result = make(chan outcome, 1)
	v.enqueue(func(in *inbox) { in.proposals = append(in.proposals, p) })
	select {
	case o := <-p.result:
		return o.reply, o.err
	case <-ctx.Done():
		return nil, unknownOutcome(poplar.CodeTimeout, "command is not committed yet: %w", ctx.Err())
	case <-v.done:
	}
	select {
	case o := <-p.result:
		return o.reply, o.err
	default:
		return nil, v.stoppedError()
	}
}

// propose passes a proposal to the machine.
func (v *Voter) propose(p *proposal) {
	if v.machine == nil {
		p.fail(poplar.Failf(poplar.StepPropose, poplar.CodeUnreachable, "log is not founded yet").Ran(poplar.RunNo))
		return
	}
	var index poplar.Index
	var err error
	if p.change != nil {
		index, p.term, err = v.machine.Change(*p.change)
	} else {
		index, p.term, err = v.machine.Propose(p.command)
	}
	if err != nil {
		p.fail(err)
		return
	}
	// A proposal for an earlier entry at this index may still wait: the entry
	// was removed from this log, but another member may still have it and
	// commit it.
	v.proposals[index] = append(v.proposals[index], p)
}

func unknownOutcome(code poplar.Code, format string, args ...any) error {
	return poplar.Failf(poplar.StepPropose, code, format, args...)
}

// readRequest is a call that waits for a read index, or for the entry at an
// index to be applied.
type readRequest struct {
	index     poplar.Index // invariant: 0 requests a read index from the majority
	term      poplar.Term  // invariant: term in which the read was started
	abandoned atomic.Bool  // invariant: set when the caller no longer waits
	result    chan readResult
}

type readResult struct {
	index poplar.Index
	err   error
}

// ReadIndex returns the index that a linearizable read must wait for, confirmed
// by a majority. It must be called at the leader; elsewhere the error has
// poplar.CodeStale.
func (v *Voter) ReadIndex(ctx context.Context) (poplar.Index, error) {
	return v.awaitRead(ctx, 0)
}

// AwaitApplied returns once the state machine has applied the entry at index.
func (v *Voter) AwaitApplied(ctx context.Context, index poplar.Index) error {
	if index == 0 {
		return nil
	}
	_, err := v.awaitRead(ctx, index)
	return err
}

func (v *Voter) awaitRead(ctx context.Context, index poplar.Index) (poplar.Index, error) {
	req := &readRequest{index: index, result: make(chan readResult, 1)}
	v.enqueue(func(in *inbox) { in.reads = append(in.reads, req) })
	select {
	case r := <-req.result:
		return r.index, r.err
	case <-ctx.Done():
		req.abandoned.Store(true)
		return 0, unknownOutcome(poplar.CodeTimeout, "read is not complete yet: %w", ctx.Err())
	case <-v.done:
		return 0, v.stoppedError()
	}
}

// startReads starts all reads of one loop iteration together.
func (v *Voter) startReads(list []*readRequest) {
	var reads []*readRequest
	for _, req := range list {
		if req.index > 0 {
			v.watchers = append(v.watchers, req)
		} else {
			reads = append(reads, req)
		}
	}
	if len(reads) == 0 {
		return
	}
	v.lastReadID++
	if v.machine == nil || v.machine.Read(v.lastReadID) != nil {
		v.rejectReads(reads)
		return
	}
	for _, req := range reads {
		req.term = v.machine.Term()
	}
	v.reads[v.lastReadID] = reads
}

func (v *Voter) completeReads(r quorum.Read) {
	for _, req := range v.reads[r.ID] {
		req.result <- readResult{index: r.Index}
	}
	delete(v.reads, r.ID)
}

// releaseReads completes the requests whose entry is applied, and rejects the
// reads started in a term that this member no longer leads.
func (v *Voter) releaseReads() {
	pending := v.watchers[:0]
	for _, req := range v.watchers {
		switch {
		case req.index <= v.applied:
			req.result <- readResult{index: req.index}
		case !req.abandoned.Load():
			pending = append(pending, req)
		}
	}
	v.watchers = pending
	for id, list := range v.reads {
		if v.machine.Role() != quorum.RoleLeader || v.machine.Term() != list[0].term {
			delete(v.reads, id)
			v.rejectReads(list)
		}
	}
}

func (v *Voter) rejectReads(list []*readRequest) {
	for _, req := range list {
		req.result <- readResult{err: poplar.Failf(poplar.StepPropose, poplar.CodeStale, "not the leader").Ran(poplar.RunNo)}
	}
}
