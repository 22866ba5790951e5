package edge

import (
	"context"
	"sync"

	"poplarbend.example/poplar"
)

// ledgerEntry is one request in a memoryLedger.
type ledgerEntry struct {
	request     poplar.ReserveRequest
	attempt     poplar.Attempt
	reserved    poplar.Tokens
	state       string // "open", "done", or "unrun" if it did not run
	settlement  poplar.Settlement
	settlements int // number of distinct settlements accepted
}

// memoryLedger is an in-memory ledger for tests, shared by the daemons of a
// failure domain.
type memoryLedger struct {
	mu        sync.Mutex
	remaining poplar.Tokens
	entries   map[poplar.Request]*ledgerEntry
	dead      map[poplar.Daemon]bool
	fail      func(method string) error // called before a call takes effect; may be nil
	loseReply func(method string) error // called after Reserve took effect; may be nil
}

func newMemoryLedger(balance poplar.Tokens) *memoryLedger {
	return &memoryLedger{remaining: balance, entries: map[poplar.Request]*ledgerEntry{}, dead: map[poplar.Daemon]bool{}}
}

func (m *memoryLedger) injectedFailure(method string) error {
	if m.fail == nil {
		return nil
	}
	return m.fail(method)
}

func (m *memoryLedger) Reserve(_ context.Context, req poplar.ReserveRequest) (poplar.Grant, error) {
	grant, err := m.reserve(req)
	if err == nil && m.loseReply != nil {
		err = m.loseReply("reserve")
	}
	return grant, err
}

func (m *memoryLedger) reserve(req poplar.ReserveRequest) (poplar.Grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedFailure("reserve"); err != nil {
		return poplar.Grant{}, err
	}
	name := poplar.NewRequest(req.Workspace, req.Key)
	r := m.entries[name]
	if r == nil {
		r = &ledgerEntry{state: "unrun", request: req}
	}
	if r.request.Digest != req.Digest {
		return poplar.Grant{}, poplar.Failf(poplar.StepReserve, poplar.CodeConflict, "another body").Ran(poplar.RunUnknown)
	}
	switch r.state {
	case "done":
		return poplar.Grant{Verdict: poplar.VerdictReplay, Response: r.settlement.Response, Billed: r.settlement.Spent}, nil
	case "open":
		if r.request.CallID == req.CallID && req.CallID != 0 {
			r.attempt++
			return poplar.Grant{Verdict: poplar.VerdictRun, Attempt: r.attempt, Reserved: r.reserved, Upstream: r.request.Upstream}, nil
		}
		if !m.dead[r.request.Router] {
			return poplar.Grant{Verdict: poplar.VerdictWait, Router: r.request.Router}, nil
		}
		if !req.Idempotent {
			return poplar.Grant{}, poplar.Failf(poplar.StepReserve, poplar.CodeUnknown, "its router died")
		}
		r.attempt++
		upstream := r.request.Upstream
		r.request.Router = req.Router
		return poplar.Grant{Verdict: poplar.VerdictResume, Attempt: r.attempt, Reserved: r.reserved, Upstream: upstream}, nil
	}
	if req.MaxTokens > m.remaining {
		return poplar.Grant{}, poplar.Failf(poplar.StepReserve, poplar.CodeBudget, "%d are left", m.remaining).Ran(poplar.RunNo)
	}
	m.remaining -= req.MaxTokens
	r.request, r.state, r.reserved = req, "open", req.MaxTokens
	r.attempt++
	m.entries[name] = r
	return poplar.Grant{Verdict: poplar.VerdictRun, Attempt: r.attempt, Reserved: req.MaxTokens, Upstream: req.Upstream}, nil
}

func (m *memoryLedger) Extend(_ context.Context, e poplar.Extend) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedFailure("extend"); err != nil {
		return err
	}
	r := m.entries[poplar.NewRequest(e.Workspace, e.Key)]
	if r == nil || r.attempt != e.Attempt || r.state != "open" {
		return poplar.Failf(poplar.StepReserve, poplar.CodeStale, "no such attempt")
	}
	if e.More > m.remaining {
		return poplar.Failf(poplar.StepReserve, poplar.CodeBudget, "%d are left", m.remaining)
	}
	m.remaining -= e.More
	r.reserved += e.More
	if e.Upstream != "" {
		r.request.Upstream = e.Upstream
	}
	return nil
}

func (m *memoryLedger) Settle(_ context.Context, s poplar.Settlement) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedFailure("settle"); err != nil {
		return err
	}
	r := m.entries[poplar.NewRequest(s.Workspace, s.Key)]
	if r == nil || r.attempt != s.Attempt {
		return poplar.Failf(poplar.StepSettle, poplar.CodeStale, "no such attempt")
	}
	if r.state != "open" {
		return nil // resent
	}
	if s.Spent > r.reserved {
		return poplar.Failf(poplar.StepSettle, poplar.CodeInvalid, "spent %d of %d", s.Spent, r.reserved)
	}
	r.settlements++
	switch s.Outcome {
	case poplar.OutcomeUnknown:
		return nil // remains counted as spent
	case poplar.OutcomeNotRun:
		r.state = "unrun"
	default:
		r.state = "done"
	}
	m.remaining += r.reserved - s.Spent
	r.settlement = s
	return nil
}

// bills returns the number of settled requests and their total cost.
func (m *memoryLedger) bills() (n int, sum poplar.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.entries {
		if r.state == "done" {
			n++
			sum += r.settlement.Spent
		}
	}
	return n, sum
}

// open returns the number of requests with an open reservation.
func (m *memoryLedger) open() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, r := range m.entries {
		if r.state == "open" {
			n++
		}
	}
	return n
}
