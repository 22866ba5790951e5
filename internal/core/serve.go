package core

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/quorum"
	"poplarbend.example/poplar/pkg/wallet"
)

// This file holds what the daemon does for routers, operators and upstreams.

// Times of the calls from outside. Operators turn to another daemon after a
// second without an answer.
const (
	orderLimit = 900 * time.Millisecond
	// watchedTime is the time after which a router that does not ask again
	// counts as lost.
	watchedTime = MaxPollTime + time.Second
)

// watch holds the call until there is news.
func (c *Core) watch(ctx context.Context, from poplar.Daemon, w Watch) (WatchResponse, error) {
	c.note(from, w.Address)
	limit := time.NewTimer(MaxPollTime)
	defer limit.Stop()
	for wait := !w.Immediate; ; {
		seen, config, list := c.look(w)
		if !wait || seen.Incarnation != w.Incarnation || seen.Roster != w.Roster || seen.Poison != w.Poison || seen.LimitList != w.LimitList ||
			seen.Revision > w.Revision {
			return seen, nil
		}
		select {
		case <-ctx.Done():
			return seen, nil
		case <-limit.C:
			wait = false
		case <-config:
		case <-list:
		}
	}
}

// look returns the answer to w as of now, and channels for the next change.
func (c *Core) look(w Watch) (seen WatchResponse, config, list <-chan struct{}) {
	held, config := c.replica.held()
	c.mu.Lock()
	defer c.mu.Unlock()
	seen = WatchResponse{
		Incarnation: c.life, Revision: held.Revision, Roster: c.announced, Poison: c.poisoned, RouterList: c.routerList,
		LimitList: c.limitList,
	}
	switch {
	case w.Incarnation != c.life || (w.Roster != seen.Roster && !w.Delta):
		seen.Entries = c.roster.Entries()
	case w.Roster != seen.Roster:
		seen.Entries, seen.Delta = c.roster.EntriesSince(w.Roster), true
	}
	if w.Incarnation != c.life || w.Poison != seen.Poison {
		since := w.Poison
		if w.Incarnation != c.life {
			since = 0
		}
		seen.Records = c.poison.Select(mostRecords, func(fp poison.Fingerprint) bool { return c.poisonedAt[fp] > since })
	}
	if w.Incarnation != c.life || w.LimitList != seen.LimitList {
		seen.Limits = c.limits.Limits()
	}
	if w.Incarnation != c.life || w.RouterList != seen.RouterList {
		for _, r := range c.watchers {
			seen.Routers = append(seen.Routers, r.address)
		}
	}
	status := c.voter.Load().Status()
	seen.FollowsLog, seen.Leads = c.follows(status), status.Role() == quorum.RoleLeader
	if w.Unconfirmed {
		c.addLogState(&seen, status)
	}
	for _, m := range status.Members().All() {
		seen.ControlAddrs = append(seen.ControlAddrs, peer.Host(m.Name))
	}
	return seen, config, c.changed
}

// mostRecords bounds the records of crashes that a router is told at once.
const mostRecords = 256

// note remembers that a router watches.
func (c *Core) note(from poplar.Daemon, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Clock.Now()
	if c.watchers[from].address != address {
		c.routerList++
	}
	c.watchers[from] = watcher{address: address, at: now}
	for name, r := range c.watchers {
		if now.Sub(r.at) > routerTime {
			delete(c.watchers, name)
			c.routerList++
		}
	}
}

// routerTime is how long a router that does not watch is still counted.
const routerTime = 20 * time.Second

// Put declares a configuration: its number, the document as the operator sent
// it, a digest of its meaning, and the grants in it.
func (c *Core) Put(
	ctx context.Context, number poplar.Revision, digest string, document []byte, grants map[poplar.Workspace]wallet.Grant,
) (Outcome, error) {
	held, _ := c.replica.held()
	if o, decided := compare(number, digest, held.Revision, held.Digest); decided {
		return o, nil
	}
	packed, err := pack(document)
	if err != nil {
		return "", poplar.Fail(poplar.StepPropose, poplar.CodeInternal, err)
	}
	limit, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	out, err := c.propose(limit, command{Put: &put{Revision: number, Digest: digest, Document: packed, Grants: grants}})
	c.settings.Log.Info("declare", "revision", uint64(number), "outcome", string(out.Outcome), "held", uint64(out.Revision), "error", err)
	return out.Outcome, err
}

// Latest returns the newest acknowledged configuration. It fails when this
// daemon cannot be sure which that is.
func (c *Core) Latest(ctx context.Context) (poplar.Revision, []byte, error) {
	limit, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	out, err := c.propose(limit, command{Look: true})
	if err != nil {
		return 0, nil, err
	}
	for {
		held, news := c.replica.held()
		if held.Revision >= out.Revision {
			document, err := Unpack(held.Document)
			if err != nil {
				return 0, nil, poplar.Fail(poplar.StepPropose, poplar.CodeCorrupt, err)
			}
			return held.Revision, document, nil
		}
		select {
		case <-news:
		case <-limit.Done():
			return 0, nil, poplar.Failf(poplar.StepPropose, poplar.CodeTimeout, "revision %d has not arrived", out.Revision)
		}
	}
}

// watched reports whether a router has asked lately. The caller holds the lock.
func (c *Core) watched() bool {
	now := c.settings.Clock.Now()
	for _, r := range c.watchers {
		if now.Sub(r.at) < watchedTime {
			return true
		}
	}
	return false
}
