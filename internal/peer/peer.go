// Package peer carries the messages between the daemons of the fleet: typed
// calls over twirp, with the error's step, code and run state kept across the
// hop.
package peer

import (
	"context"
	"encoding/json"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/peer/wire"
)

// This file holds the operations and the typed handlers behind them.

// Op names one operation of the peer protocol.
type Op uint8

// The operations, one for each method of wire.Peer.
const (
	OpStep Op = iota
	OpPropose
	OpFollow
	OpKeep
	OpReserve
	OpExtend
	OpSettle
	OpLease
	OpCopy
	OpClaim
	OpForward
	OpDemand
	OpPoison
	OpInspect
	OpUsage
	ops // the number of operations
)

// Method serves one operation on encoded messages.
type Method func(ctx context.Context, from poplar.Daemon, body []byte) ([]byte, error)

// Handle returns a Method that decodes the request, calls f and encodes its
// reply.
func Handle[Req, Resp any](f func(context.Context, poplar.Daemon, Req) (Resp, error)) Method {
	return func(ctx context.Context, from poplar.Daemon, body []byte) ([]byte, error) {
		var req Req
		if err := json.Unmarshal(body, &req); err != nil {
			return nil, poplar.Fail(poplar.StepPeer, poplar.CodeInvalid, err).Ran(poplar.RunNo)
		}
		resp, err := f(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return json.Marshal(resp)
	}
}

// Methods maps each operation to its Method. A nil entry is refused.
type Methods [ops]Method

// server implements wire.Peer on a set of methods.
type server struct {
	self    poplar.Daemon
	methods Methods // invariant: not changed after the server is built
}

var _ wire.Peer = (*server)(nil)

func (s *server) serve(ctx context.Context, op Op, p *wire.Packet) (*wire.Packet, error) {
	m := s.methods[op]
	if m == nil {
		err := poplar.Failf(poplar.StepPeer, poplar.CodeMissing, "operation %d is not served here", op)
		return nil, pack(err.At(string(s.self)).Ran(poplar.RunNo))
	}
	body, err := m(ctx, poplar.Daemon(p.GetFrom()), p.GetBody())
	if err != nil {
		return nil, pack(err)
	}
	return &wire.Packet{From: string(s.self), Body: body}, nil
}

func (s *server) Step(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpStep, p)
}

func (s *server) Propose(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpPropose, p)
}

func (s *server) Follow(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpFollow, p)
}

func (s *server) Keep(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpKeep, p)
}

func (s *server) Reserve(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpReserve, p)
}

func (s *server) Extend(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpExtend, p)
}

func (s *server) Settle(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpSettle, p)
}

func (s *server) Lease(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpLease, p)
}

func (s *server) Copy(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpCopy, p)
}

func (s *server) Claim(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpClaim, p)
}

func (s *server) Forward(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpForward, p)
}

func (s *server) Demand(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpDemand, p)
}

func (s *server) Poison(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpPoison, p)
}

func (s *server) Inspect(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpInspect, p)
}

func (s *server) Usage(ctx context.Context, p *wire.Packet) (*wire.Packet, error) {
	return s.serve(ctx, OpUsage, p)
}
