package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnionForgetsEndedUpstreams tells a router of 3,000 upstreams that leave and return,
// or crash and return. It guards against memory that grows with each start of an upstream.
func TestUnionForgetsEndedUpstreams(t *testing.T) {
	for name, crash := range map[string]bool{"leave": false, "crash": true} {
		t.Run(name, func(t *testing.T) {
			daemon, union, seen := New(4*time.Second), NewUnion(), uint64(0)
			swept := time.Time{}
			tell := func(now time.Time) {
				daemon.Sweep(now)
				union.UpdateSource("core", daemon.EntriesSince(seen))
				seen = daemon.Version()
			}
			playHours(3, func(now time.Time, a Announcement) {
				if !now.Equal(swept) {
					tell(swept)
					union.Sweep(swept)
					union.Sweep(now) // as every few seconds
					swept = now
				}
				if a.State == StateReady || !crash {
					daemon.Apply(a, now)
				}
			}, func(now time.Time) {
				tell(now)
				ready := 0
				for _, e := range union.Entries() {
					if e.State == StateReady {
						ready++
					}
				}
				if crash {
					assert.Equal(t, ready, dayUpstreams)
				} else {
					assert.Equal(t, ready, 0)
				}
				assert.Assert(t, len(union.merged) <= 3*dayUpstreams, "a router keeps %d upstreams", len(union.merged))
				assert.Assert(t, len(union.sources["core"]) <= 3*dayUpstreams, "a router keeps %d of a daemon", len(union.sources["core"]))
				assert.Assert(t, len(union.forgetAt) <= 3*dayUpstreams)
			})
		})
	}
}

// TestForgottenUpstreamMayReturn lets an upstream end, and return when it is forgotten.
func TestForgottenUpstreamMayReturn(t *testing.T) {
	union, now := NewUnion(), time.UnixMilli(1_000_000)
	entry := func(state State, born int64) []Entry {
		return []Entry{{Announcement: Announcement{Name: "up", Service: "s", Address: "10.0.0.1:1", State: state, StartedAt: born}}}
	}
	union.UpdateSource("core", entry(StateReady, 5))
	union.Sweep(now)
	union.UpdateSource("core", entry(StateRemoved, 5))
	union.Sweep(now)
	union.Sweep(now.Add(endedRetention - 1))
	union.UpdateSource("other", entry(StateReady, 5))
	assert.Equal(t, len(union.Entries()), 0, "a late announcement of the run that ended")
	union.UpdateSource("core", entry(StateReady, 9))
	union.Sweep(now.Add(endedRetention))
	assert.Equal(t, len(union.Entries()), 1, "another run of it")
}
