package proxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLogRecoversAfterSeparation plays a fleet of 295 routers that can reach the log again
// after a separation, all with requests that wait. The log works on draws in the order in
// which they arrive, also on those that were given up meanwhile, and takes fewer than the
// routers make when each of them draws again as soon as it has given one up. All routers
// must be answered within the time in which service must be back.
func TestLogRecoversAfterSeparation(t *testing.T) {
	const (
		routers   = 295
		perSecond = 300
		step      = time.Millisecond
		recovery  = 15 * time.Second
	)
	type router struct {
		times    drawTimes
		due      time.Time // when the last draw is given up
		answered bool
	}
	type draw struct {
		router int
		made   time.Time
	}
	fleet := make([]router, routers)
	for i := range fleet {
		fleet[i].times.failures = maxDrawBackoff
	}
	start := time.UnixMilli(1_000_000)
	var queue []draw
	answered, work := 0, 0.0
	for now := start; answered < routers; now = now.Add(step) {
		assert.Assert(t, now.Sub(start) < recovery, "%d of %d routers are answered", answered, routers)
		if work += perSecond * step.Seconds(); work >= 1 && len(queue) > 0 {
			work--
			d := queue[0]
			queue = queue[1:]
			if r := &fleet[d.router]; now.Sub(d.made) < drawTimeout {
				r.due = now
				r.times.answered(now)
				if !r.answered {
					r.answered = true
					answered++
				}
			}
		}
		work = min(work, 1)
		for i := range fleet {
			r := &fleet[i]
			if now.Before(r.due.Add(minDrawInterval)) || !r.times.due(now, rand.IntN(10) == 0) {
				continue
			}
			r.times.made(now, routers)
			r.due = now.Add(drawTimeout)
			queue = append(queue, draw{router: i, made: now})
		}
	}
}
