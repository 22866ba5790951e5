package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/member"
)

// TestFleetKeepsP6 runs 3 or 4 domains under loss, duplicates, reordering,
// partitions, pauses, deaths and restarts. After every step of 50 ms net.check
// asserts rule P6 at each daemon: no upstream is offered more than 3 s after
// its last renewal or its leave. At the end, with partitions and loss removed,
// all daemons of a domain offer the same upstreams.
func TestFleetKeepsP6(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(3, 4).Draw(t, "domains")
		n := newNet(t, domains, 2, 3)
		n.loss = rapid.SampledFrom([]float64{0, 0.2, 0.4}).Draw(t, "loss")
		cut := map[poplar.Domain]bool{}
		n.cut = func(a, b *node) bool {
			return a.conf.Domain != b.conf.Domain && (cut[a.conf.Domain] || cut[b.conf.Domain])
		}
		n.advance(3 * time.Second)
		pick := func(t *rapid.T) *node { return n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				n.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * step)
			},
			"cut": func(t *rapid.T) {
				d := pick(t).conf.Domain
				cut[d] = !cut[d]
			},
			"pause": func(t *rapid.T) {
				pick(t).paused = n.now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds")) * time.Second)
			},
			"restart": func(t *rapid.T) {
				x := pick(t)
				// The start count may go back, but no incarnation is used
				// twice.
				n.seq++
				x.conf.Incarnation = 1 + n.seq
				if rapid.Bool().Draw(t, "back") {
					x.conf.Incarnation = 1_000_000_000 - n.seq
				}
				x.m, x.dead = member.New(x.conf, n.now), rapid.Bool().Draw(t, "dead")
			},
			"leave": func(t *rapid.T) {
				x := pick(t)
				up := poplar.Upstream(fmt.Sprintf("u%s-%d", x.conf.Domain[1:], rapid.IntRange(0, 2).Draw(t, "up")))
				if x.dead || !n.leftAt[up].IsZero() || n.now.Before(x.paused) {
					return
				}
				n.leftAt[up] = n.now
				n.send(x, x.m.Leave(poplar.Leave{Stamp: poplar.Stamp{Upstream: up, Incarnation: n.incarnations[up], Sequence: 1 << 40}}, n.now))
			},
		})
		n.loss, cut = 0, map[poplar.Domain]bool{}
		for _, x := range n.nodes {
			x.dead, x.paused = false, time.Time{}
		}
		n.advance(20 * time.Second)
		for _, x := range n.nodes {
			want := 0
			for up := range n.incarnations {
				if string(up[1:2]) == string(x.conf.Domain[1:]) && n.leftAt[up].IsZero() {
					want++
				}
			}
			assert.Equal(t, offered(x, x.conf.Domain), want, "at %s", x.conf.Name)
			assert.Assert(t, x.m.View().Settled)
		}
	})
}
