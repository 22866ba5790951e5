package voter

import (
	"slices"
	"time"

	"poplarbend.example/poplar/pkg/quorum"
)

// This file decides on the next membership change: it replaces voters that lost
// their disk, promotes joining members up to the configured number of voters, and
// replaces voters that stay silent.
//
// A daemon on a new disk is a different member. The leader adds it as a
// learner, removes the old incarnation once the new one keeps up with the log,
// and then promotes the new one. Until its removal the old incarnation still
// counts as a voter, so the number of voters does not drop before the new
// incarnation is able to replace it.

// membershipView is the input of the repair decision.
type membershipView struct {
	members quorum.Membership
	joiners []quorum.Member          // invariant: sent a hello recently and are not voters
	voters  int                      // configured number of voters to fill up to; 0 admits replacements only
	silent  func(quorum.Member) bool // invariant: reports whether no message arrived for the repair time
	keepsUp func(quorum.Member) bool // invariant: see quorum.Machine.KeepsUp
}

// nextRepair returns the next membership change, if one is due.
func nextRepair(v membershipView) (quorum.Change, bool) {
	for _, j := range v.joiners {
		if c, ok := v.repair(j); ok {
			return c, true
		}
	}
	return quorum.Change{}, false
}

func (v membershipView) repair(joiner quorum.Member) (quorum.Change, bool) {
	old, replaces := v.members.VoterNamed(joiner.Name)
	if replaces && (old == joiner || !v.silent(old)) {
		return quorum.Change{}, false
	}
	if !v.members.IsLearner(joiner) {
		return v.admit(joiner, replaces)
	}
	if !v.keepsUp(joiner) {
		return quorum.Change{}, false
	}
	if replaces {
		return quorum.Change{Action: quorum.ActionRemove, Member: old}, true
	}
	if v.voters == 0 || len(v.members.Voters) < v.voters {
		return quorum.Change{Action: quorum.ActionPromote, Member: joiner}, true
	}
	return v.removeSilentVoter()
}

// removeSilentVoter returns the removal of a silent voter. A learner that keeps up
// replaces it next.
func (v membershipView) removeSilentVoter() (quorum.Change, bool) {
	for _, voter := range v.members.Voters {
		if v.silent(voter) {
			return quorum.Change{Action: quorum.ActionRemove, Member: voter}, true
		}
	}
	return quorum.Change{}, false
}

// admit adds a joiner as a learner. Unless a number of voters is configured,
// only the replacement of a voter is admitted without an operator. Silent
// learners that are earlier incarnations of the joiner are removed first.
func (v membershipView) admit(joiner quorum.Member, replaces bool) (quorum.Change, bool) {
	for _, l := range v.members.Learners {
		if l.Name == joiner.Name && v.silent(l) {
			return quorum.Change{Action: quorum.ActionRemove, Member: l}, true
		}
	}
	return quorum.Change{Action: quorum.ActionAddLearner, Member: joiner}, replaces || v.voters > 0
}

// joinerSet contains the members that sent a hello recently.
type joinerSet struct {
	expiry map[quorum.Member]time.Time // invariant: at most maxJoiners members
}

// maxJoiners bounds the members in a joinerSet.
const maxJoiners = 64

func (s *joinerSet) add(m quorum.Member, until time.Time) {
	if s.expiry == nil {
		s.expiry = map[quorum.Member]time.Time{}
	}
	if _, known := s.expiry[m]; known || len(s.expiry) < maxJoiners {
		s.expiry[m] = until
	}
}

// list returns the members that sent a hello recently and are not voters,
// sorted, and removes the expired ones.
func (s *joinerSet) list(set quorum.Membership, now time.Time) []quorum.Member {
	var list []quorum.Member
	for m, until := range s.expiry {
		switch {
		case now.After(until):
			delete(s.expiry, m)
		case !set.IsVoter(m):
			list = append(list, m)
		}
	}
	slices.SortFunc(list, quorum.Member.Compare)
	return list
}
