package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/pkg/roster"
	"poplarbend.example/poplar/pkg/wallet"
)

// settable is a clock that a test sets.
type settable struct{ now time.Time }

func (s *settable) Now() time.Time { return s.now }

// noLeaves is for replicas without a roster.
func noLeaves([]roster.Announcement) {}

// TestTimeOfTheLogIsNotSetBack sets the time of day of a member forth and back: the
// time of the log goes on from the latest draw.
func TestTimeOfTheLogIsNotSetBack(t *testing.T) {
	clock := &settable{now: time.UnixMilli(1_000_000)}
	r := newReplica(clock, noLeaves)
	draw := func(at int64) {
		r.Apply(1, encode(command{Draw: &wallet.DrawRequest{Holder: wallet.Holder{Name: "r", Incarnation: 1}}, At: at}))
	}
	assert.Equal(t, r.now(), int64(1_000_000))
	draw(1_004_000) // taken by a member that is ahead
	assert.Equal(t, r.now(), int64(1_004_000))
	clock.now = clock.now.Add(time.Second)
	assert.Equal(t, r.now(), int64(1_005_000), "a second has passed")
	draw(1_001_000)
	assert.Equal(t, r.now(), int64(1_005_000), "a member that is behind holds nothing up")
	clock.now = clock.now.Add(time.Hour)
	assert.Equal(t, r.now(), clock.now.Add(4*time.Second).UnixMilli())
	kept := newReplica(&settable{now: time.UnixMilli(1_000_000)}, noLeaves)
	assert.NilError(t, kept.Restore(r.Snapshot()))
	assert.Equal(t, kept.now(), int64(1_004_000), "a member that starts again goes on from the latest draw")
}
