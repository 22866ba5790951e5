package holder

import (
	"context"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/ledger"
)

// Group commit: many decisions share one journal sync and one copy to the backup.

// waiter is a call that waits until a record is durable.
type waiter struct {
	seq  uint64
	done chan error // buffered; receives once
}

// apply applies records to the state and queues them for the journal and the
// backup. The caller holds mu. A record that does not apply is a defect, after
// which the replica stops serving.
func (h *Replica) apply(records []ledger.Record) error {
	for i := range records {
		if records[i].Kind == ledger.KindReturn {
			h.noteReturn(&records[i])
		}
		if err := h.machine.Apply(&records[i]); err != nil {
			h.setBroken(err)
			return err
		}
		data := records[i].Append(nil)
		h.pending = append(h.pending, data)
		h.lastSeq = h.machine.Seq()
		h.feed.Add(h.lastSeq, data)
	}
	if len(records) > 0 {
		signal(h.wakeSync)
		signal(h.wakeCopy)
	}
	return nil
}

// pendingReturn is a return of tokens that is not durable yet.
type pendingReturn struct {
	seq     uint64        // sequence number of the latest return record
	durable poplar.Tokens // the counter that may be reported
}

// noteReturn records a return of tokens that is about to be applied. The caller
// holds mu.
func (h *Replica) noteReturn(r *ledger.Record) {
	account, _ := h.machine.Budgets().Account(r.Budget)
	u, ok := h.returns[r.Budget]
	if !ok {
		u.durable = account.Returned()
	}
	u.seq = h.machine.Seq() + 1
	h.returns[r.Budget] = u
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// addWaiter returns a channel that receives nil once all decisions so far are
// durable. The caller holds mu.
func (h *Replica) addWaiter() chan error {
	done := make(chan error, 1)
	seq := h.machine.Seq()
	switch {
	case h.broken != nil:
		done <- h.broken
	case seq <= h.durableSeq:
		done <- nil
	case len(h.waiting) >= maxWaiters:
		done <- poplar.Failf(poplar.StepReserve, poplar.CodeBusy, "%d calls are waiting for the ledger, which is the limit", len(h.waiting)).
			At(string(h.config.Self))
	default:
		h.waiting = append(h.waiting, waiter{seq: seq, done: done})
	}
	return done
}

func (h *Replica) awaitDurable(ctx context.Context, done chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return poplar.Fail(poplar.StepReserve, poplar.CodeTimeout, ctx.Err()).At(string(h.config.Self))
	}
}

// advanceDurable answers the calls whose records have become durable. The caller
// holds mu.
func (h *Replica) advanceDurable() {
	durable := h.syncedSeq
	if h.feed.Backup() != "" {
		durable = min(durable, h.feed.Acknowledged())
	}
	if h.role != RolePrimary || h.broken != nil || durable <= h.durableSeq {
		return
	}
	h.durableSeq = durable
	for budget, r := range h.returns {
		if r.seq <= durable {
			delete(h.returns, budget)
		}
	}
	n := 0
	for n < len(h.waiting) && h.waiting[n].seq <= durable {
		h.waiting[n].done <- nil
		n++
	}
	h.waiting = h.waiting[n:]
}

// failWaiters answers all waiting calls with err. The caller holds mu.
func (h *Replica) failWaiters(err error) {
	for _, w := range h.waiting {
		w.done <- err
	}
	h.waiting = nil
}

// setBroken stops the replica permanently, because the content of the disk is no
// longer known. The caller holds mu.
func (h *Replica) setBroken(err error) {
	if h.broken == nil {
		h.broken = err
		close(h.failed)
	}
	h.failWaiters(h.broken)
}

// loopSync writes pending records. All records that arrive during one sync share
// the next one.
func (h *Replica) loopSync() {
	defer h.loops.Done()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-h.wakeSync:
		}
		h.flush()
	}
}

// flush makes the pending records durable.
func (h *Replica) flush() {
	h.journal.Lock()
	defer h.journal.Unlock()
	h.mu.Lock()
	batch, last := h.pending, h.lastSeq
	h.pending = nil
	broken := h.broken
	h.mu.Unlock()
	if len(batch) == 0 || broken != nil {
		return
	}
	err := h.config.Journal.Append(batch...)
	if err == nil {
		err = h.config.Journal.Sync()
	}
	h.mu.Lock()
	h.noteWrite(last, err)
	h.mu.Unlock()
	if err == nil && h.config.Journal.Size() > h.config.Compact {
		h.compact()
	}
}

// noteWrite records the result of a journal write. The caller holds mu.
func (h *Replica) noteWrite(last uint64, err error) {
	if err != nil {
		h.setBroken(poplar.Fail(poplar.StepDisk, poplar.CodeDisk, err).At(string(h.config.Self)))
		return
	}
	h.syncedSeq = max(h.syncedSeq, last)
	signal(h.wakeCopy)
	h.advanceDurable()
}

// compact replaces the journal by a snapshot, which includes the pending records.
// The caller holds journal.
func (h *Replica) compact() {
	h.mu.Lock()
	snapshot, last := h.machine.Snapshot(), h.machine.Seq()
	h.pending = nil
	h.mu.Unlock()
	err := h.config.Journal.Compact(snapshot)
	h.mu.Lock()
	h.noteWrite(last, err)
	h.mu.Unlock()
}
