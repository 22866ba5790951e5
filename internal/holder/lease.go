package holder

import (
	"context"

	"poplarbend.example/poplar"
)

// LeaseCall reports a router's leases and requests more tokens. All counters are
// cumulative over the incarnation of the router's process; a restarted process
// must use another name. It is a wire message.
type LeaseCall struct {
	Router poplar.Daemon `json:"router"`
	Lines  []LeaseLine   `json:"lines"`
}

// LeaseLine is one budget of a LeaseCall.
type LeaseLine struct {
	Budget poplar.Budget `json:"budget"`
	// Total is the cumulative lease: requested in a call, granted in a reply.
	Total    poplar.Tokens `json:"total"`
	Spent    poplar.Tokens `json:"spent,omitempty"`
	Returned poplar.Tokens `json:"back,omitempty"`
}

// Lease records the router's reports and grants leases as far as the budgets
// allow. The reply has the same lines with the granted leases.
func (h *Replica) Lease(ctx context.Context, call LeaseCall) (LeaseCall, error) {
	reply := LeaseCall{Router: call.Router}
	h.mu.Lock()
	err := h.checkServing()
	for _, line := range call.Lines {
		if err != nil {
			break
		}
		decision := h.machine.Report(line.Budget, call.Router, line.Spent, line.Returned)
		if err = decision.Err; err != nil {
			break
		}
		if err = h.apply(decision.Records); err != nil {
			break
		}
		records, total := h.machine.Lease(line.Budget, call.Router, line.Total)
		err = h.apply(records)
		line.Total = total
		reply.Lines = append(reply.Lines, line)
	}
	done := h.addWaiter()
	h.mu.Unlock()
	if err == nil {
		err = h.awaitDurable(ctx, done)
	}
	if err != nil {
		return LeaseCall{}, h.withPeer(err)
	}
	return reply, nil
}
