package pairs

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/pkg/state"
)

// This file tests the decisions on a pair and the recording of contacts.

var (
	startTime    = time.Unix(1000, 0)
	first        = state.Holder{Name: "a-1", Life: 1}
	second       = state.Holder{Name: "a-2", Life: 2}
	firstNewDisk = state.Holder{Name: "a-1", Life: 9} // a-1 on a new disk
	none         = state.Holder{}
)

// reachableCandidate returns a candidate in contact from startTime until shortly
// before now.
func reachableCandidate(holder state.Holder, now time.Time) Candidate {
	return NewCandidate(holder, startTime, now.Add(-maxContactAge))
}

func TestDecide(t *testing.T) {
	now := startTime.Add(20 * time.Second)
	ready := state.Pair{Domain: "a", Epoch: 4, Primary: first, Backup: second, Sound: []state.Holder{first, second}}
	notReady := state.Pair{Domain: "a", Epoch: 4, Primary: first, Backup: second, Sound: []state.Holder{first}}
	noBackup := state.Pair{Domain: "a", Epoch: 4, Primary: first, Sound: []state.Holder{first}}
	silentFirst := NewCandidate(first, startTime, now.Add(-SilenceTimeout))
	silentSecond := NewCandidate(second, startTime, now.Add(-SilenceTimeout))
	for _, c := range []struct {
		name        string
		observation Observation
		primary     state.Holder // the proposed primary, or none
		backup      state.Holder
		ready       bool
	}{
		{name: "a pair that works stays", observation: Observation{Self: first, Pair: ready, Candidates: []Candidate{reachableCandidate(second, now)}}},
		{name: "the primary removes a silent backup", observation: Observation{Self: first, Pair: ready, Candidates: []Candidate{silentSecond}}, primary: first},
		{name: "the primary adds a reachable backup", observation: Observation{Self: first, Pair: noBackup, Candidates: []Candidate{reachableCandidate(second, now)}}, primary: first, backup: second},
		{name: "the primary does not add a silent backup", observation: Observation{Self: first, Pair: noBackup, Candidates: []Candidate{silentSecond}}},
		{name: "a backup with all records is ready", observation: Observation{Self: first, Pair: notReady, BackupCurrent: true, Candidates: []Candidate{reachableCandidate(second, now)}}, ready: true},
		{name: "the backup stays while the primary answers", observation: Observation{Self: second, Pair: ready, Candidates: []Candidate{reachableCandidate(first, now)}}},
		{name: "the backup replaces a silent primary", observation: Observation{Self: second, Pair: ready, Candidates: []Candidate{silentFirst}}, primary: second},
		{name: "the backup replaces a primary that lost its disk", observation: Observation{Self: second, Pair: ready, Candidates: []Candidate{reachableCandidate(firstNewDisk, now)}}, primary: second},
		{name: "a backup that lacks records never becomes primary", observation: Observation{Self: second, Pair: notReady, Candidates: []Candidate{silentFirst}}},
		{name: "the first daemon proposes itself in a domain without a ledger", observation: Observation{Self: first}, primary: first},
		{name: "the second daemon waits for the first one", observation: Observation{Self: second, Position: 1, Since: now.Add(-successionDelay + 1)}},
	} {
		if c.observation.Since.IsZero() {
			c.observation.Since = startTime
		}
		command, due := Decide(c.observation, now)
		assert.Equal(t, due, c.ready || c.primary != none, c.name)
		assert.Equal(t, command.Ready != nil, c.ready, c.name)
		if command.Ledger != nil {
			assert.Equal(t, command.Ledger.Primary, c.primary, c.name)
			assert.Equal(t, command.Ledger.Backup, c.backup, c.name)
			assert.Equal(t, command.Ledger.Epoch, c.observation.Pair.Epoch+1, c.name)
		}
	}
}

// fixedNetwork is a network on which every call is answered by one daemon.
type fixedNetwork struct{ self state.Holder }

func (n fixedNetwork) Follow(context.Context, poplar.Daemon, follow.Ask) (follow.Answer, error) {
	return follow.Answer{Self: n.self}, nil
}

func (fixedNetwork) Keep(context.Context, poplar.Daemon, follow.Keep) (follow.Kept, error) {
	return follow.Kept{}, nil
}

// fixedClock is a clock that always returns startTime.
type fixedClock struct{}

func (fixedClock) Now() time.Time { return startTime }

// A member that lost its disk answers at its old address with another
// incarnation. It is not the member in the pair, so that member counts as silent.
func TestNewDiskDoesNotCountAsOldMember(t *testing.T) {
	mirror, err := follow.New(follow.Config{Self: second, Domain: "a"})
	assert.NilError(t, err)
	for _, c := range []struct {
		answeredBy state.Holder
		contact    bool
	}{{first, true}, {firstNewDisk, false}} {
		k := New(Config{
			Self: second, Domain: "a", Mirror: mirror, Network: fixedNetwork{self: c.answeredBy}, Clock: fixedClock{}, Log: log.New(io.Discard),
		})
		var done sync.WaitGroup
		done.Add(1)
		k.ping(t.Context(), first.Name, &done)
		assert.Equal(t, k.contacts[first.Name].holder == first, c.contact)
	}
}
