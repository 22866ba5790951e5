package peer

import (
	"context"
	"net/http"
)

// This file holds the network between daemons as a daemon sees it.

// Reach decides which messages get through. A host is the address of a peer
// listener, as host:port. Tests cut daemons off with it; a daemon in use
// reaches everyone.
type Reach interface {
	// Send is called before a call is handed to host. It may block until ctx is
	// done. An error means that nothing was sent, and the call fails with it.
	Send(ctx context.Context, host string) error
	// Receive is called before the answer of host is taken. It may block until
	// ctx is done. An error loses the answer.
	Receive(ctx context.Context, host string) error
	// Drops reports whether a datagram to host is lost. It must not block.
	Drops(host string) bool
}

// Everyone is the reach of a daemon in use: nothing is cut.
type Everyone struct{}

var _ Reach = Everyone{}

// Send implements Reach.
func (Everyone) Send(context.Context, string) error { return nil }

// Receive implements Reach.
func (Everyone) Receive(context.Context, string) error { return nil }

// Drops implements Reach.
func (Everyone) Drops(string) bool { return false }

// gated asks a Reach around each call.
type gated struct {
	reach Reach
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (g gated) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := g.reach.Send(r.Context(), r.URL.Host); err != nil {
		return nil, err
	}
	resp, err := g.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := g.reach.Receive(r.Context(), r.URL.Host); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
