package holder

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/ledger"
)

// copyRetryDelay is the pause after the backup did not answer or refused a copy as
// stale.
const copyRetryDelay = 50 * time.Millisecond

// loopCopy sends records to the backup, one message at a time. Records that are
// applied while a message is in flight share the next one.
func (h *Replica) loopCopy() {
	defer h.loops.Done()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wakeCopy:
		}
		for h.sendCopy() {
			continue
		}
	}
}

// sendCopy sends one message, waits after a failure, and reports whether to call
// it again.
func (h *Replica) sendCopy() bool {
	h.mu.Lock()
	request, ok := h.feed.Next(h.machine, h.syncedSeq)
	to := h.feed.Backup()
	h.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(h.ctx, h.config.Timeout)
	defer cancel()
	reply, err := h.config.Peers.Copy(ctx, to, request)
	h.mu.Lock()
	if err != nil {
		h.feed.HandleLoss(request)
	} else {
		h.applyCopyReply(request, reply)
	}
	h.mu.Unlock()
	if err != nil || reply.Stale {
		return h.waitCopyRetry()
	}
	return true
}

// applyCopyReply processes the backup's answer. The caller holds mu.
func (h *Replica) applyCopyReply(request ledger.CopyRequest, reply ledger.CopyReply) {
	h.peerContact = h.config.Clock.Now()
	if epoch := h.feed.HandleReply(request, reply, h.machine.Seq()); epoch != 0 {
		h.stepDown(epoch)
		return
	}
	h.advanceDurable()
}

// waitCopyRetry waits before the next attempt. It returns false when the replica
// is closing.
func (h *Replica) waitCopyRetry() bool {
	timer := time.NewTimer(copyRetryDelay)
	defer timer.Stop()
	select {
	case <-h.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// stepDown gives up the role of primary, because a higher epoch is in force. The
// caller holds mu.
func (h *Replica) stepDown(epoch poplar.Epoch) {
	h.role = RoleAside
	h.copy.RaiseEpoch(epoch)
	h.feed = ledger.Feed{}
	h.failWaiters(poplar.Failf(poplar.StepReserve, poplar.CodeStale, "epoch %d is in force", epoch).
		At(string(h.config.Self)))
}

// ServeCopy stores a copy as the backup. The reply has the sequence number up to
// which records are durable here.
func (h *Replica) ServeCopy(_ context.Context, request ledger.CopyRequest) (ledger.CopyReply, error) {
	h.journal.Lock()
	defer h.journal.Unlock()
	h.mu.Lock()
	if h.broken != nil {
		h.mu.Unlock()
		return ledger.CopyReply{}, h.withPeer(h.broken)
	}
	change, reply, err := h.applyCopy(request)
	h.mu.Unlock()
	if err != nil {
		return ledger.CopyReply{}, h.withPeer(err)
	}
	err = h.storeCopy(change)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.noteWrite(0, err)
		return ledger.CopyReply{}, h.withPeer(h.broken)
	}
	h.syncedSeq = max(h.syncedSeq, reply.Seq)
	return reply, nil
}

// applyCopy applies a copy to the state. A primary refuses it as stale unless its
// epoch is higher. The caller holds mu and journal.
func (h *Replica) applyCopy(request ledger.CopyRequest) (ledger.Change, ledger.CopyReply, error) {
	if h.role == RolePrimary {
		if request.Epoch <= h.pair.Epoch {
			return ledger.Change{}, ledger.CopyReply{Epoch: h.pair.Epoch, Disk: h.config.Disk, Stale: true}, nil
		}
		h.stepDown(request.Epoch)
	}
	change, reply, err := h.copy.Receive(request)
	if err != nil {
		if h.copy.Damaged() {
			h.setBroken(err)
		}
		return change, reply, err
	}
	h.machine = h.copy.Machine()
	if change.Snapshot != nil {
		h.pending = nil
		h.syncedSeq = 0
	}
	h.lastSeq = h.machine.Seq()
	h.peerContact = h.config.Clock.Now()
	return change, reply, nil
}

// storeCopy makes a copy durable. The caller holds journal, but not mu.
func (h *Replica) storeCopy(change ledger.Change) error {
	if change.Snapshot != nil {
		return h.config.Journal.Compact(change.Snapshot)
	}
	if len(change.Records) == 0 {
		return nil
	}
	if err := h.config.Journal.Append(change.Records...); err != nil {
		return err
	}
	if err := h.config.Journal.Sync(); err != nil {
		return err
	}
	if h.config.Journal.Size() <= h.config.Compact {
		return nil
	}
	h.mu.Lock()
	snapshot := h.machine.Snapshot()
	h.mu.Unlock()
	return h.config.Journal.Compact(snapshot)
}
