package edge

import (
	"context"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/admit"
)

// The request path uses admission through these interfaces.

// Ticket is the permission to run one request.
type Ticket interface {
	// FirstToken records that the first token arrived.
	FirstToken()
	// Release returns the ticket after work that cost spent tokens. Later calls
	// have no effect.
	Release(spent poplar.Tokens)
	// Reason returns why the request was admitted.
	Reason() admit.Reason
}

// Gate admits requests by rank and fair share.
type Gate interface {
	// Admit returns once the request may be dispatched to the pool. A pool has the
	// name of its model, or that of its service with the prefix /svc/. The error is
	// a *poplar.Error with run state no and a retry time.
	Admit(ctx context.Context, pool string, work admit.Request) (Ticket, error)
}

var _ Ticket = (*admit.Ticket)(nil)
