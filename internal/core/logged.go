package core

import (
	"encoding/json"
	"sync"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/voter"
	"poplarbend.example/poplar/pkg/quorum"
)

// This file tells routers what the log holds beyond the configuration in force. A
// daemon that restarts knows only a part of what was committed until it has a leader;
// the rest is in the entries that it has not applied.

// loggedPut is the newest declaration among the entries that are not applied.
type loggedPut struct {
	mu      sync.Mutex
	applied poplar.Index // invariant: guarded by mu; the entry before those that were searched
	last    poplar.Index // invariant: guarded by mu; the last entry that was searched, and its term
	term    poplar.Term
	put     *put // invariant: guarded by mu; nil if there is none
}

// newestLogged returns the newest declaration in the entries that are not applied, or
// nil. The entries are decoded once, since they stay the same while there is no leader.
func (c *Core) newestLogged(s voter.Status) *put {
	l := &c.logged
	l.mu.Lock()
	defer l.mu.Unlock()
	last, term := s.Last()
	if l.applied == s.Applied() && l.last == last && l.term == term {
		return l.put
	}
	l.applied, l.last, l.term, l.put = s.Applied(), last, term, nil
	for _, e := range s.Tail() {
		var cmd command
		if e.Kind != quorum.KindCommand || json.Unmarshal(e.Data, &cmd) != nil || cmd.Put == nil {
			continue
		}
		if l.put == nil || cmd.Put.Revision > l.put.Revision {
			l.put = cmd.Put
		}
	}
	return l.put
}

// addLogState adds to an answer what the log holds. The configuration in force is read after
// the status, so that it is not older than what the status says to be applied.
func (c *Core) addLogState(seen *WatchResponse, s voter.Status) {
	held, _ := c.replica.held()
	seen.Revision = held.Revision
	seen.CaughtUp = seen.FollowsLog && s.CaughtUp()
	seen.Last, seen.LastTerm = s.Last()
	seen.Member, seen.Voters = s.Self(), s.Members().Voters
	seen.Logged = held.Revision
	if newest := c.newestLogged(s); newest != nil {
		seen.Logged = max(held.Revision, newest.Revision)
	}
}
