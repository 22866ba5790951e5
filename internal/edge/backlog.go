package edge

import (
	"context"
	"sync"

	"poplarbend.example/poplar"
)

// The backlog keeps settlements that are not yet known to be durable, and
// reservations whose reply was lost.

// maxBacklog bounds each list of the backlog. When the list of settlements is
// full, the oldest is dropped, and its reservation stays counted as spent.
const maxBacklog = 4096

// settlementBacklog is safe for concurrent use.
type settlementBacklog struct {
	mu          sync.Mutex
	settlements []poplar.Settlement     // invariant: guarded by mu; at most maxBacklog
	unconfirmed []poplar.ReserveRequest // invariant: guarded by mu; at most maxBacklog
	wake        chan struct{}           // invariant: capacity 1
}

// add appends a settlement and reports whether the oldest was dropped for it.
func (b *settlementBacklog) add(s poplar.Settlement) (dropped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.settlements) >= maxBacklog {
		b.settlements = b.settlements[1:]
		dropped = true
	}
	b.settlements = append(b.settlements, s)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return dropped
}

// addUnconfirmed adds a reserve request whose reply was lost. Any grant
// for it is released once the ledger replies. Requests beyond the
// bound are not added: their grants stay reserved until this router ends.
func (b *settlementBacklog) addUnconfirmed(req poplar.ReserveRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.unconfirmed) < maxBacklog {
		b.unconfirmed = append(b.unconfirmed, req)
	}
}

// take removes and returns the whole backlog.
func (b *settlementBacklog) take() ([]poplar.Settlement, []poplar.ReserveRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all, unconfirmed := b.settlements, b.unconfirmed
	b.settlements, b.unconfirmed = nil, nil
	return all, unconfirmed
}

// putBack returns entries that could not be sent to the front of the backlog.
func (b *settlementBacklog) putBack(rest []poplar.Settlement, unconfirmed []poplar.ReserveRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settlements = append(rest, b.settlements...)
	b.unconfirmed = append(unconfirmed, b.unconfirmed...)
}

func (b *settlementBacklog) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.settlements) + len(b.unconfirmed)
}

// settleBacklog sends each settlement of the backlog once.
func (e *Edge) settleBacklog(ctx context.Context) {
	all, unconfirmed := e.backlog.take()
	unconfirmed = e.releaseUnconfirmed(ctx, unconfirmed)
	var rest []poplar.Settlement
	for i, s := range all {
		if ctx.Err() != nil {
			rest = append(rest, all[i:]...)
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, e.conf.Bounds.Settle)
		err := e.conf.Ledger.Settle(callCtx, s)
		cancel()
		if err != nil && !settlementRefused(err) {
			rest = append(rest, s)
		}
	}
	e.backlog.putBack(rest, unconfirmed)
}

// releaseUnconfirmed repeats reserve requests whose reply was lost, releases
// their grants, and returns the requests that are still unconfirmed.
func (e *Edge) releaseUnconfirmed(ctx context.Context, unconfirmed []poplar.ReserveRequest) []poplar.ReserveRequest {
	for i, req := range unconfirmed {
		callCtx, cancel := context.WithTimeout(ctx, e.conf.Bounds.Settle)
		grant, err := e.conf.Ledger.Reserve(callCtx, req)
		cancel()
		if err != nil && !reserveRefused(err) {
			return unconfirmed[i:] // the ledger is unreachable, so the others would fail too
		}
		if err == nil {
			e.releaseGrant(req, grant)
		}
	}
	return nil
}

// releaseGrant settles a grant under which this router sent nothing to an
// upstream.
func (e *Edge) releaseGrant(req poplar.ReserveRequest, grant poplar.Grant) {
	settlement := poplar.Settlement{Workspace: req.Workspace, Key: req.Key, Attempt: grant.Attempt, Outcome: poplar.OutcomeNotRun}
	switch grant.Verdict {
	case poplar.VerdictRun:
	case poplar.VerdictResume:
		settlement.Outcome = poplar.OutcomeUnknown // the departed router may have run it
	default:
		return
	}
	e.backlog.add(settlement)
}

// reserveRefused reports whether an error of Reserve means for certain that
// nothing is reserved. After any other error a grant may exist whose reply was
// lost.
func reserveRefused(err error) bool {
	switch poplar.CodeOf(err) {
	case poplar.CodeUnreachable, poplar.CodeTimeout, poplar.CodeCancelled, poplar.CodeInternal,
		poplar.CodeUpstream, poplar.CodeDrain, poplar.CodeDisk:
		return false
	default:
		return true
	}
}
