package daemon

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/quota"
)

// This file tests what a request hears when its domain's share is short.

// shelf is a share of which other requests take what has come, a few times.
type shelf struct {
	holds poplar.Tokens
	comes poplar.Tokens // tokens that a look at the share brings
	taken int           // requests that are served before this one
}

func (s *shelf) Reserve(_ context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	if s.holds >= ask.MaxTokens && s.taken > 0 {
		s.taken--
		s.holds = 0
	}
	if s.holds < ask.MaxTokens {
		return poplar.Grant{}, poplar.Failf(poplar.StepReserve, poplar.CodeBudget, "%d are there", s.holds).Ran(poplar.RunNo)
	}
	return poplar.Grant{Reserved: ask.MaxTokens}, nil
}

func (s *shelf) Share(poplar.Budget) (holder.ShareStatus, bool) {
	s.holds += s.comes
	return holder.ShareStatus{Available: s.holds}, true
}

// says is a leader that gives one word.
type says quota.Availability

func (s says) AwaitRemainder(context.Context, poplar.Budget, poplar.Tokens) quota.Availability {
	return quota.Availability(s)
}

func TestShortShareIsRefusedByWhatTheLeaderSays(t *testing.T) {
	for _, test := range []struct {
		name  string
		shelf shelf
		word  quota.Availability
		want  poplar.Code
	}{
		{"the tokens come", shelf{comes: 10}, quota.Available, ""},
		{"others take what comes first", shelf{comes: 10, taken: 3}, quota.Available, ""},
		{"the tokens are late", shelf{}, quota.Available, poplar.CodeBusy},
		{"the leader is late", shelf{}, quota.AvailabilityUnknown, poplar.CodeBusy},
		{"nothing is left", shelf{}, quota.Insufficient, poplar.CodeBudget},
		{"the domain is cut off", shelf{}, quota.LeaderUnreachable, poplar.CodeBudget},
	} {
		t.Run(test.name, func(t *testing.T) {
			grant, err := reserve(t.Context(), &test.shelf, says(test.word), poplar.ReserveRequest{Budget: "gold", MaxTokens: 20})
			if test.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, grant.Reserved, poplar.Tokens(20))
				return
			}
			assert.Equal(t, poplar.CodeOf(err), test.want)
			assert.Equal(t, poplar.RunOf(err), poplar.RunNo)
		})
	}
}
