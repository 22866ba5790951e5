package state

import "poplarbend.example/poplar"

// This file applies the commands that issue and return shares, and accounts for
// tokens that are written off when a ledger is lost.

// applyIssue enforces rule P1: the sum of issued - returned over all domains is at
// most the grant. A share that exceeds the grant is issued in part.
// Model: models/shares.pml, step issue.
func (s *State) applyIssue(c Issue) Reply {
	reply := Reply{Shares: make([]Share, 0, len(c.Shares))}
	for _, want := range c.Shares {
		reply.Shares = append(reply.Shares, s.issueShare(want))
	}
	return reply
}

func (s *State) issueShare(want Share) Share {
	id := s.table.find(want.Budget)
	if id < 0 || s.pairs[want.Domain].Epoch == 0 {
		// Without a ledger, no daemon could return the tokens.
		want.Tokens, want.Serial = 0, 0
		return want
	}
	r := &s.table.rows[id]
	if want.Serial != 0 && want.Serial != r.serial {
		return Share{Budget: want.Budget, Domain: want.Domain, Serial: r.serial}
	}
	c := s.table.ensureColumn(want.Domain)
	issued := poplar.Tokens(0)
	if x := c.lookup(id); x != nil {
		issued = x.issued
	}
	more := min(want.Tokens-issued, r.available())
	if more > 0 {
		x := c.ensureCell(id)
		x.issued += more
		x.changedAt = s.index
		r.outstanding += more
		issued = x.issued
	}
	return Share{Budget: want.Budget, Domain: want.Domain, Tokens: issued, Serial: r.serial}
}

// applyReturn raises the returned counters. A counter beyond the issued tokens is
// a fault of the sender and is ignored.
// Model: models/shares.pml, step report.
func (s *State) applyReturn(c Return) Reply {
	reply := Reply{Shares: make([]Share, 0, len(c.Shares))}
	for _, got := range c.Shares {
		reply.Shares = append(reply.Shares, s.returnShare(got))
	}
	return reply
}

func (s *State) returnShare(got Share) Share {
	answer := Share{Budget: got.Budget, Domain: got.Domain}
	id := s.table.find(got.Budget)
	i, known := s.table.domains[got.Domain]
	if id < 0 || !known {
		return answer
	}
	r, c := &s.table.rows[id], s.table.columns[i]
	x := c.lookup(id)
	answer.Serial = r.serial
	if x == nil || got.Serial != r.serial {
		return answer
	}
	lost := c.losses[id]
	if got.Tokens > x.returned && got.Tokens <= x.issued-(lost.Lost-lost.Found) {
		r.outstanding -= got.Tokens - x.returned
		x.returned = got.Tokens
		x.changedAt = s.index
	}
	answer.Tokens = x.returned
	if got.Final && r.deleted {
		c.setClosed(id, true)
		answer.Final = true
		s.table.freeIfClosed(id)
	}
	return answer
}

// writeOff counts all outstanding tokens of the domain as spent, since its ledger
// is lost.
func (s *State) writeOff(domain poplar.Domain) {
	c := s.table.ensureColumn(domain)
	for id := range s.table.rows {
		x := c.lookup(id)
		if x == nil || x.issued == x.returned {
			continue
		}
		l := c.losses[id]
		l.Lost = l.Found + x.issued - x.returned
		c.losses[id] = l
		x.changedAt = s.index
	}
}

// applyFound reverses the write-off of tokens that a recovered disk proves unspent.
func (s *State) applyFound(f Found) Reply {
	reply := Reply{Shares: make([]Share, 0, len(f.Shares))}
	for _, got := range f.Shares {
		answer := Share{Budget: got.Budget, Domain: got.Domain}
		id := s.table.find(got.Budget)
		i, known := s.table.domains[got.Domain]
		if id >= 0 && known && got.Serial == s.table.rows[id].serial {
			c := s.table.columns[i]
			l := c.losses[id]
			if got.Tokens > l.Found && got.Tokens <= l.Lost {
				l.Found = got.Tokens
				c.losses[id] = l
				c.ensureCell(id).changedAt = s.index
			}
			answer.Tokens, answer.Serial = l.Found, got.Serial
		}
		reply.Shares = append(reply.Shares, answer)
	}
	return reply
}
