package meter

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar/internal/peer"
)

// This file holds a network that cuts one domain off.

var errCut = errors.New("the network is cut")

// fence cuts the daemons of one domain off from the others while it is shut.
type fence struct {
	inside map[string]bool // by peer address
	shut   atomic.Bool
}

// side is the network as one daemon sees it. Lost messages are lost silently.
type side struct {
	fence *fence
	self  string
}

var _ peer.Reach = side{}

// dialLimit is how long a connection into a cut is tried.
const dialLimit = 500 * time.Millisecond

// Drops implements peer.Reach.
func (s side) Drops(host string) bool {
	return s.fence.shut.Load() && s.fence.inside[host] != s.fence.inside[s.self]
}

// Send implements peer.Reach.
func (s side) Send(ctx context.Context, host string) error {
	if !s.Drops(host) {
		return nil
	}
	pause(ctx, dialLimit)
	return &net.OpError{Op: "dial", Err: errCut}
}

// Receive implements peer.Reach.
func (s side) Receive(ctx context.Context, host string) error {
	if !s.Drops(host) {
		return nil
	}
	<-ctx.Done()
	return errCut
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
