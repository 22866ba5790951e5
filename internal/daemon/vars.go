package daemon

import (
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/gossip"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/trace"
)

// This file holds the metrics of the shared state.

// control is the control traffic of a daemon since its start, in bytes without
// the headers of HTTP, UDP, TCP and IP.
type control struct {
	Messages int64 `json:"messages"`
	Calls    int64 `json:"calls"`
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	Dropped  int64 `json:"dropped"`
	Bad      int64 `json:"bad"`
}

// shared is what a daemon has in force.
type shared struct {
	Revision poplar.Revision `json:"revision"`
	Index    poplar.Index    `json:"index"`
	Epoch    poplar.Epoch    `json:"epoch"`
	Role     follow.Role     `json:"role"`
	Sure     bool            `json:"sure"`
	Daemons  int             `json:"daemons"`
	Leads    bool            `json:"leads"`
}

// publish shows the state of the daemon under /debug/vars.
func publish(v *trace.Vars, m *follow.Mirror, g *gossip.Gossip, meter *peer.Meter, b *voterRole, c *ledgerRole, o *orders) {
	v.Func("control", func() any {
		messages, calls := meter.Control()
		out, in := g.Bytes()
		return control{
			Messages: messages, Calls: calls, Sent: out, Received: in, Dropped: meter.Dropped(), Bad: g.Dropped(),
		}
	})
	v.Func("shared", func() any {
		view := m.View()
		return shared{
			Revision: view.Revision(), Index: view.Index(), Epoch: view.Own().Epoch, Role: view.Role(),
			Sure: view.Sure(), Daemons: len(g.View().Daemons), Leads: b.leads(),
		}
	})
	v.Func("orders", func() any { return o.issuer.Counts() })
	v.Func("ledger", func() any {
		if c.holder == nil {
			return holder.Status{Role: holder.RoleAside}
		}
		return c.holder.Status()
	})
}
