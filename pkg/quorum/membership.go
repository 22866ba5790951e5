package quorum

import (
	"slices"
	"strings"

	"poplarbend.example/poplar"
)

// This file implements the membership and its single-member changes.

// Membership is the membership of the log. Values are immutable.
type Membership struct {
	Voters   []Member `json:"v,omitempty"`
	Learners []Member `json:"l,omitempty"`
}

// NewMembers returns a membership without learners. Its voters are sorted.
func NewMembers(voters ...Member) Membership {
	sorted := slices.Clone(voters)
	sortMembers(sorted)
	return Membership{Voters: sorted}
}

// IsVoter reports whether m may vote.
func (s Membership) IsVoter(m Member) bool { return slices.Contains(s.Voters, m) }

// IsLearner reports whether m is a learner, which receives the log but does not
// vote.
func (s Membership) IsLearner(m Member) bool { return slices.Contains(s.Learners, m) }

// Has reports whether m is a voter or a learner.
func (s Membership) Has(m Member) bool { return s.IsVoter(m) || s.IsLearner(m) }

// Quorum returns the number of voters in a majority.
func (s Membership) Quorum() int { return len(s.Voters)/2 + 1 }

// All returns the voters, followed by the learners.
func (s Membership) All() []Member { return slices.Concat(s.Voters, s.Learners) }

// VoterNamed returns the voter with the given name. It returns false when there is
// none.
func (s Membership) VoterNamed(name poplar.Daemon) (Member, bool) {
	for _, m := range s.Voters {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Action is the kind of a Change.
type Action string

// The actions of a Change.
const (
	// ActionAddLearner adds a learner.
	ActionAddLearner Action = "learn"
	// ActionPromote makes a learner a voter.
	ActionPromote Action = "promote"
	// ActionRemove removes a voter or a learner.
	ActionRemove Action = "remove"
)

// Change is a membership change that affects a single member.
type Change struct {
	Action Action `json:"do"`
	Member Member `json:"who"`
}

// Apply returns the membership after c. It fails with poplar.CodeInvalid when the
// change does not apply to s, such as the promotion of a member that is not a
// learner, and when it removes the last voter. It also fails when the change
// results in two voters with the same name, since that daemon would count twice
// in a majority.
func (s Membership) Apply(c Change) (Membership, error) {
	next := Membership{Voters: slices.Clone(s.Voters), Learners: slices.Clone(s.Learners)}
	switch {
	case c.Action == ActionAddLearner && !s.Has(c.Member):
		next.Learners = append(next.Learners, c.Member)
	case c.Action == ActionPromote && s.IsLearner(c.Member):
		if old, ok := s.VoterNamed(c.Member.Name); ok {
			return s, invalidError("%v is still a voter; remove it before %v is promoted", old, c.Member)
		}
		next.Learners = withoutMember(next.Learners, c.Member)
		next.Voters = append(next.Voters, c.Member)
	case c.Action == ActionRemove && s.Has(c.Member):
		next.Voters = withoutMember(next.Voters, c.Member)
		next.Learners = withoutMember(next.Learners, c.Member)
	default:
		return s, invalidError("%s %v does not apply to %v", c.Action, c.Member, s)
	}
	if len(next.Voters) == 0 {
		return s, invalidError("%v is the last voter", c.Member)
	}
	sortMembers(next.Voters)
	sortMembers(next.Learners)
	return next, nil
}

func invalidError(format string, args ...any) error {
	return poplar.Failf(poplar.StepPropose, poplar.CodeInvalid, format, args...).Ran(poplar.RunNo)
}

func withoutMember(members []Member, m Member) []Member {
	return slices.DeleteFunc(members, func(x Member) bool { return x == m })
}

func sortMembers(members []Member) {
	slices.SortFunc(members, Member.Compare)
}

// Compare orders members by name and incarnation.
func (a Member) Compare(b Member) int {
	if c := strings.Compare(string(a.Name), string(b.Name)); c != 0 {
		return c
	}
	switch {
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	}
	return 0
}
