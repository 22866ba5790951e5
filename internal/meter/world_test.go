package meter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/poison"
)

// TestWorldKeepsCount checks in a flood with a poisonous request that each call
// ends once, that engines keep to their slots, and that nothing is left counted
// when all calls have ended.
func TestWorldKeepsCount(t *testing.T) {
	w := newWorld(ours, worldSize{daemons: 3, engines: 6, domains: 2, cacheBlocks: 64}, 1)
	s := &spreader{w: w, delay: 20 * time.Millisecond, result: &poisonResult{}}
	for _, d := range w.daemons {
		d.book = poison.NewRegistry(poison.DefaultSettings())
		d.spread = s.spread
	}
	kinds := everyday(w.capacity(), 10*time.Second)
	for i := range kinds {
		kinds[i].rate *= 4
	}
	g := newCrowd(w, kinds)
	serial := uint64(poisonPrint)
	g.pick = func(c *call, _ int) {
		serial++
		c.print = poison.Fingerprint(serial)
	}
	ends := map[*call]int{}
	g.ended = func(c *call) { ends[c]++ }
	g.start()
	w.v.after(5*time.Second, func() { s.resend(0) })
	w.v.every(100*time.Millisecond, func() {
		for _, e := range w.engines {
			running := e.running[0] + e.running[1] + e.running[2]
			assert.Assert(t, running >= 0 && running <= e.offer.Slots, "%d run", running)
		}
	})
	w.v.pass(5 * time.Minute)

	offered := 0
	for r := poplar.Urgent; r.Valid(); r++ {
		offered += g.of(r.String()).offered
	}
	assert.Equal(t, len(ends), offered)
	for _, n := range ends {
		assert.Equal(t, n, 1)
	}
	for _, d := range w.daemons {
		status := d.core.Status(w.v.now)
		assert.Equal(t, status.Open, [poplar.Ranks]int{})
		assert.Equal(t, status.Waiting, [poplar.Ranks]int{})
		assert.Equal(t, d.open, 0)
		for i := range d.gauges {
			assert.Equal(t, d.gauges[i].InFlight(), 0)
			assert.Equal(t, d.gauges[i].PendingPrefill(), poplar.Tokens(0))
			assert.Equal(t, len(d.at[i]), 0)
		}
	}
}

// TestWorldRepeats checks that one seed gives one result.
func TestWorldRepeats(t *testing.T) {
	run := func() (int, float64) {
		w := newWorld(ours, burnbank, 4)
		g := newCrowd(w, everyday(w.capacity(), 10*time.Second))
		g.start()
		w.v.pass(10 * time.Second)
		o := g.of("urgent")
		return o.inTime, o.quantile(0.95)
	}
	inTime, p95 := run()
	again, p95Again := run()
	assert.Equal(t, inTime, again)
	assert.Equal(t, p95, p95Again)
}
