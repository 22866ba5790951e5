package core

import (
	"context"
	"encoding/json"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/voter"
	"poplarbend.example/poplar/pkg/quorum"
	"poplarbend.example/poplar/pkg/roster"
)

// This file holds what the daemon does with announcements of upstreams. Those of upstreams
// that are ready are kept in memory, since they are soon repeated. That an upstream leaves is
// said once, and an earlier announcement may arrive after it, at any daemon and after any
// restart. So a leave is an entry of the log.

const (
	// spreadTime is the time that a change of an upstream's state has to reach
	// the routers before it is acknowledged.
	spreadTime = 25 * time.Millisecond
	// leaveLimit bounds the wait for a leave to be in the log. Upstreams turn to another
	// daemon after a second.
	leaveLimit = 900 * time.Millisecond
)

// Hear takes an announcement of an upstream. That it leaves is acknowledged only once the log
// holds it and routers had time to learn of it. Routers are told at once, also if Hear fails
// because the log is out of reach. It fails at a daemon that is cut off from the log and from
// all routers.
func (c *Core) Hear(ctx context.Context, n roster.Announcement) error {
	if n.State == roster.StateReady {
		changed, err := c.hear(n)
		if changed {
			c.logUpstream(n)
		}
		return err
	}
	n = c.withStart(n)
	changed, err := c.hear(n)
	if err != nil {
		return err
	}
	spreadBy := time.Now()
	if changed {
		spreadBy = spreadBy.Add(spreadTime)
		c.logUpstream(n)
	}
	if !c.replica.ended(n) {
		limit, cancel := context.WithTimeout(ctx, leaveLimit)
		defer cancel()
		if _, err := c.propose(limit, command{Leave: &n, At: c.replica.now()}); err != nil {
			return err
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(spreadBy)):
	}
	return nil
}

func (c *Core) logUpstream(n roster.Announcement) {
	c.settings.Log.Info("upstream", "upstream", string(n.Name), "state", string(n.State), "service", string(n.Service),
		"at", n.Address, "born", n.StartedAt, "sequence", n.Sequence)
}

// withStart returns a leave with the start of the run that leaves. Where nobody has said it, it
// is now, since a run that starts later is another one.
func (c *Core) withStart(n roster.Announcement) roster.Announcement {
	if n.StartedAt != 0 {
		return n
	}
	c.mu.Lock()
	n.StartedAt = c.roster.StartedAt(n.Name)
	c.mu.Unlock()
	if n.StartedAt == 0 {
		n.StartedAt = c.replica.now()
	}
	return n
}

// hear takes an announcement into the roster and reports whether that changed it.
func (c *Core) hear(n roster.Announcement) (bool, error) {
	led := c.led()
	ended := n.State == roster.StateReady && c.replica.ended(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !led && !c.watched() {
		return false, poplar.Failf(poplar.StepPeer, poplar.CodeUnreachable, "neither a leader nor a router is in reach")
	}
	if ended {
		return false, nil
	}
	changed := c.roster.Apply(n, c.settings.Clock.Now())
	if changed && n.State != roster.StateReady {
		c.announce()
	}
	return changed, nil
}

// noteLeaves takes leaves of the log into the roster.
func (c *Core) noteLeaves(list []roster.Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := false
	for _, n := range list {
		changed = c.roster.Apply(n, c.settings.Clock.Now()) || changed
	}
	if changed {
		c.announce()
	}
}

// noteLoggedLeaves takes the leaves in the entries that are not applied into the roster. A
// daemon that has just started does not know which of them are committed, and an upstream that
// has said that it leaves does so either way.
func (c *Core) noteLoggedLeaves(s voter.Status) {
	var list []roster.Announcement
	for _, e := range s.Tail() {
		var cmd command
		if e.Kind == quorum.KindCommand && json.Unmarshal(e.Data, &cmd) == nil && cmd.Leave != nil {
			list = append(list, *cmd.Leave)
		}
	}
	c.noteLeaves(list)
}
