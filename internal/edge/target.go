package edge

import (
	"math/rand/v2"

	"go.opentelemetry.io/otel/attribute"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/pkg/admit"
	"poplarbend.example/poplar/pkg/route"
)

// The router chooses an upstream for each attempt.

// target is the upstream chosen for an attempt.
type target struct {
	peer      *intake.Peer
	decision  route.Decision
	exclusive bool // true while a suspect request has the upstream to itself
}

// release ends the exclusive use of an upstream by a suspect. It may be called
// on nil and more than once.
func (t *target) release() {
	if t != nil && t.exclusive {
		t.exclusive = false
		t.peer.LocalState().ReleaseExclusive()
	}
}

func (t *target) name() poplar.Upstream { return t.peer.Notice().Upstream }

// choose picks an upstream for the request. While all candidates are at their
// limits, for instance because of the requests of other routers, it waits for as
// long as the rank allows for a first token.
func (c *call) choose(request route.Request, avoid poplar.Upstream) (*target, error) {
	if avoid != "" {
		request = request.Avoid(avoid)
	}
	if c.ticket != nil && c.ticket.Reason() == admit.ReasonFloor {
		request = request.BelowFloor()
	}
	until := c.arrived.Add(c.policy.Rank(c.rank).First())
	for {
		view := c.edge.conf.Roster.View()
		now := c.edge.conf.Clock.Now()
		d, ok := route.Pick(view.Table(), &request, now, rand.Uint64())
		if ok {
			return c.newTarget(view, d)
		}
		if d.Reason() != route.ReasonFull || now.After(until) {
			return nil, refuse(poplar.StepPick, poplar.CodeNone, "no upstream for %s: %s", c.op.pool(), d.Reason()).
				At(string(c.edge.conf.Daemon)).After(now.Add(maxWait))
		}
		if err := c.sleep(poplar.StepPick, minWait); err != nil {
			return nil, err
		}
	}
}

func (c *call) newTarget(view *intake.View, d route.Decision) (*target, error) {
	peer, ok := view.Peer(d.Candidate().Name())
	if !ok {
		return nil, refuse(poplar.StepPick, poplar.CodeInternal, "the roster snapshot lacks upstream %s", d.Candidate().Name())
	}
	return &target{peer: peer, decision: d}, nil
}

func decisionAttr(d route.Decision) attribute.KeyValue {
	return attribute.String("poplar.decision", d.String())
}
