package issuer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// TestOneHolderAtATime drives candidates whose clock rates differ by up to 1%, with
// delayed updates of the lease, lost commands and replies, pauses and restarts. No
// two may hold the lease at the same time, and no two terms may use one fence.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const candidates = 3
		log := newFakeLog()
		names := []poplar.Daemon{"x", "y", "z"}
		trackers, rates := make([]*leaseTracker, candidates), make([]float64, candidates)
		known := make([]state.Lease, candidates)
		for c := range candidates {
			trackers[c] = newLeaseTracker("d", names[c])
			rates[c] = rapid.Float64Range(0.995, 1.005).Draw(t, "rate")
		}
		now := func(elapsed time.Duration, c int) time.Time {
			return epoch.Add(time.Duration(float64(c)*1e12 + float64(elapsed)*rates[c]))
		}
		used := map[poplar.Fence]int{}
		elapsed := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			elapsed += time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond
			c := rapid.IntRange(0, candidates-1).Draw(t, "who")
			tracker := trackers[c]
			if rapid.IntRange(0, 19).Draw(t, "restart") == 0 {
				trackers[c] = newLeaseTracker("d", names[c])
				known[c] = state.Lease{}
				continue
			}
			if rapid.Bool().Draw(t, "news") {
				known[c] = log.lease(Topic("d"))
			}
			tracker.observe(known[c], now(elapsed, c))
			command, due := tracker.nextCommand(now(elapsed, c))
			if !due || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
				continue
			}
			sent := now(elapsed, c)
			reply := log.apply(command)
			if rapid.IntRange(0, 4).Draw(t, "unheard") == 0 {
				continue
			}
			elapsed += time.Duration(rapid.IntRange(0, 3000).Draw(t, "answer")) * time.Millisecond
			if tracker.applyReply(command, reply, sent, now(elapsed, c)) {
				used[tracker.fence]++
				assert.Equal(t, used[tracker.fence], 1, "fence %d is used twice", tracker.fence)
			}
			holders := 0
			for other, x := range trackers {
				if x.held(now(elapsed, other)) {
					holders++
				}
			}
			assert.Assert(t, holders <= 1, "%d holders", holders)
		}
	})
}

// TestGapBetweenLeases checks both ends of the gap between two holders: the holder
// counts from before its command, a candidate from after the last renewal that it
// saw, each with the tolerance for its own clock.
func TestGapBetweenLeases(t *testing.T) {
	log := newFakeLog()
	holder, candidate := newLeaseTracker("d", "x"), newLeaseTracker("d", "y")
	holder.observe(state.Lease{}, epoch)
	command, due := holder.nextCommand(epoch)
	assert.Assert(t, due)
	reply := log.apply(command)
	answeredAt := epoch.Add(3 * time.Second)
	assert.Assert(t, holder.applyReply(command, reply, epoch, answeredAt))
	assert.Assert(t, holder.held(epoch.Add(leaseDuration-clockTolerance-1)))
	assert.Assert(t, !holder.held(epoch.Add(leaseDuration-clockTolerance)))
	candidate.observe(log.lease(Topic("d")), answeredAt)
	_, due = candidate.nextCommand(answeredAt.Add(leaseDuration + clockTolerance))
	assert.Assert(t, !due)
	takeoverAt := answeredAt.Add(leaseDuration + clockTolerance + 1)
	command, due = candidate.nextCommand(takeoverAt)
	assert.Assert(t, due)
	assert.Assert(t, candidate.applyReply(command, log.apply(command), takeoverAt, takeoverAt))
	assert.Assert(t, !candidate.clearAt.Before(answeredAt.Add(leaseDuration+clockTolerance+maxOrderDelay)), "loads must wait for orders in flight")
}
