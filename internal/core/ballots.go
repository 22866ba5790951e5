package core

import (
	"fmt"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/voter"
	"poplarbend.example/poplar/pkg/quorum"
)

// The lines about elections, so that a log without a leader can be traced to the
// voters that were out of reach, lost their disk or refused their vote.

// loggedVoters is what the last lines about the leader and the voters said.
type loggedVoters struct {
	leader quorum.Member
	voters []quorum.Member
	heard  int
	nextAt time.Time // invariant: while there is no leader or a learner waits, the time of the next line
}

// voterLogPeriod is the time between two lines about the voters while the log has
// no leader, or has a learner that is not promoted.
const voterLogPeriod = 3 * time.Second

func (c *Core) logBallot(b quorum.Ballot) {
	c.settings.Log.Info("election", "term", uint64(b.Term), "candidate", b.Candidate.String(), "prevote", b.PreVote,
		"granted", b.Refusal == quorum.RefusalNone, "reason", string(b.Refusal), "last", uint64(b.LastIndex), "last_term", uint64(b.LastTerm),
		"own", uint64(b.OwnIndex), "own_term", uint64(b.OwnTerm))
}

func (c *Core) logRefused(index poplar.Index, cause error) {
	c.settings.Log.Error("command refused, state unchanged", "entry", uint64(index), "error", cause)
}

// logVoters writes a line when the leader changes, and one about the voters when
// they change, when the leader hears from more or fewer of them, and every
// voterLogPeriod while there is no leader, and at the leader while there are learners.
func (c *Core) logVoters(last *loggedVoters) {
	s, now := c.voter.Load().Status(), c.settings.Clock.Now()
	voters, heard := s.Members().Voters, heardVoters(s, now)
	changed := s.Leader() != last.leader || !slices.Equal(voters, last.voters)
	if s.Leader() != last.leader {
		last.leader = s.Leader()
		c.settings.Log.Info("leader", "leader", last.leader.String(), "term", uint64(s.Term()), "commit", uint64(s.Commit()), "voters", len(voters))
	}
	leads := s.Role() == quorum.RoleLeader
	waits := s.Leader() == (quorum.Member{}) || leads && len(s.Members().Learners) > 0
	due := changed || leads && heard != last.heard || waits && !now.Before(last.nextAt)
	if !due {
		return
	}
	last.voters, last.heard, last.nextAt = voters, heard, now.Add(voterLogPeriod)
	names := make([]string, len(voters))
	for i, v := range voters {
		names[i] = v.String()
	}
	c.settings.Log.Info("voters", "voters", names, "heard", heard, "self", s.Self().String(), "votes", s.Members().IsVoter(s.Self()),
		"learners", learners(s), "commit", uint64(s.Commit()), "term", uint64(s.Term()), "role", string(s.Role()))
}

// learners returns the learners for the log. At the leader each has the index up to which
// it holds the log, which tells one that cannot keep up from one that is away.
func learners(s voter.Status) []string {
	list := []string{}
	for _, l := range s.Members().Learners {
		list = append(list, fmt.Sprintf("%v match %d", l, s.Match(l)))
	}
	return list
}

// heardVoters returns the number of voters that sent a message within two election
// timeouts, with this member if it is one.
func heardVoters(s voter.Status, now time.Time) int {
	heard := 0
	for _, v := range s.Members().Voters {
		if v == s.Self() || now.Sub(s.Heard(v)) < 2*election {
			heard++
		}
	}
	return heard
}
