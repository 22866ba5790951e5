package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/member"
)

func TestAllDaemonsLearnAllMembers(t *testing.T) {
	for _, size := range []struct{ domains, daemons, upstreams int }{{1, 1, 2}, {3, 3, 5}, {4, 2, 6}, {1, 30, 85}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			n := newNet(t, size.domains, size.daemons, size.upstreams)
			n.advance(10 * time.Second)
			for _, x := range n.nodes {
				assert.Equal(t, offered(x, x.conf.Domain), size.upstreams, "at %s", x.conf.Name)
				assert.Equal(t, x.m.View().Settled, len(n.nodes) > 1)
				assert.Equal(t, len(x.m.View().Summaries), size.domains-1)
				alive := 0
				for _, d := range x.m.View().Daemons {
					if d.State == member.Alive && d.Domain == x.conf.Domain {
						alive++
					}
				}
				assert.Equal(t, alive, size.daemons)
			}
		})
	}
}

// TestLeaveReachesAllDaemons checks that a leave reaches every daemon of every domain
// within 3 s, also at 20% and 50% loss.
func TestLeaveReachesAllDaemons(t *testing.T) {
	for _, loss := range []float64{0, 0.2, 0.5} {
		n := newNet(t, 3, 3, 5)
		n.loss = loss
		n.advance(10 * time.Second)
		at := n.nodes[0]
		n.leftAt["u0-1"] = n.now
		n.send(at, at.m.Leave(poplar.Leave{Stamp: poplar.Stamp{Upstream: "u0-1", Incarnation: 1, Sequence: 1 << 40}}, n.now))
		n.advance(member.RenewalTimeout)
		for _, x := range n.nodes {
			for _, u := range x.m.View().Upstreams {
				assert.Assert(t, u.Notice.Upstream != "u0-1", "%s at loss %v", x.conf.Name, loss)
			}
		}
		// A late announcement of the incarnation that left is rejected; the
		// next incarnation is accepted.
		late := n.notice(at, "u0-1")
		n.send(at, at.m.Announce(late, n.now))
		n.advance(time.Second)
		n.leftAt["u0-1"] = time.Time{}
		n.incarnations["u0-1"], at.upstreams["u0-1"] = 2, 2
		n.advance(10 * time.Second)
		assert.Equal(t, offered(n.nodes[1], "z0"), 5)
	}
}

// TestSilentUpstream stops the renewals of one daemon's upstreams, with and
// without the death of that daemon; net.check asserts rule P6 throughout.
func TestSilentUpstream(t *testing.T) {
	for _, kill := range []bool{false, true} {
		n := newNet(t, 2, 3, 6)
		n.advance(8 * time.Second)
		owner := n.nodes[2]
		owned := len(owner.upstreams)
		owner.dead = kill
		owner.upstreams = map[poplar.Upstream]uint64{}
		n.advance(4 * time.Second)
		assert.Equal(t, offered(n.nodes[0], "z0"), 6-owned)
		assert.Equal(t, offered(n.nodes[1], "z0"), 6-owned)
	}
}

func stateAt(x *node, name poplar.Daemon) (member.State, uint64) {
	for _, d := range x.m.View().Daemons {
		if d.Name == name {
			return d.State, d.Incarnation
		}
	}
	return member.Left + 1, 0
}

// TestDaemonStates lets a daemon die, restart without stored state, pause and
// stop.
func TestDaemonStates(t *testing.T) {
	n := newNet(t, 1, 4, 4)
	n.advance(5 * time.Second)
	assertState := func(want member.State) {
		t.Helper()
		for _, x := range n.nodes[1:] {
			got, _ := stateAt(x, "d0-0")
			assert.Equal(t, got, want, "at %s", x.conf.Name)
		}
	}
	x := n.nodes[0]
	x.dead = true
	n.advance(member.SuspectTimeout + time.Second)
	assertState(member.Suspect)
	n.advance(member.DeadTimeout - member.SuspectTimeout)
	assertState(member.Dead)

	// Its start count went back: it learns of its earlier incarnation and moves
	// past it.
	for _, incarnation := range []uint64{8, 3} {
		x.conf.Incarnation = incarnation
		x.m, x.dead = member.New(x.conf, n.now), false
		n.advance(4 * time.Second)
		assertState(member.Alive)
		_, known := stateAt(n.nodes[1], "d0-0")
		assert.Assert(t, known == 8 || known > 8 && incarnation == 3, "%d is known", known)
		assert.Equal(t, offered(n.nodes[1], "z0"), 4)
	}

	// A paused process considers no other daemon dead, and offers no upstream
	// that has not been confirmed since the pause.
	x.paused = n.now.Add(20*time.Second + step)
	n.advance(20 * time.Second)
	assertState(member.Dead)
	x.m.Tick(n.now.Add(step))
	assert.Equal(t, len(x.m.View().Upstreams), 0)
	assert.Assert(t, !x.m.View().Settled)
	for _, other := range n.nodes[1:] {
		got, _ := stateAt(x, other.conf.Name)
		assert.Equal(t, got, member.Alive)
	}
	n.advance(3 * time.Second)
	assertState(member.Alive)
	assert.Assert(t, x.m.View().Settled)

	n.send(x, x.m.Stop(n.now))
	x.dead = true
	n.advance(time.Second)
	assertState(member.Left)
}

// TestLateDaemonLearnsNewerRevision cuts a daemon off from all others while their revision
// and epoch advance. The daemon must not settle before it learns that it lags
// behind.
func TestLateDaemonLearnsNewerRevision(t *testing.T) {
	n := newNet(t, 2, 3, 2)
	n.advance(5 * time.Second)
	isolated := n.nodes[1]
	n.cut = func(a, b *node) bool { return a == isolated || b == isolated }
	n.advance(time.Minute)
	for _, x := range n.nodes {
		if x != isolated {
			x.m.SetVersions(1000, 7)
		}
	}
	assert.Assert(t, !isolated.m.View().Settled, "settled after a minute without contact")
	assert.Assert(t, !isolated.m.Late())
	n.cut = func(*node, *node) bool { return false }
	for !isolated.m.View().Settled {
		n.advance(step)
	}
	assert.Assert(t, isolated.m.Late(), "settled before it learned of the revision")
	assert.Equal(t, isolated.m.View().Revision, poplar.Revision(1000))
	n.advance(2 * time.Second)
	assert.Equal(t, isolated.m.View().Epoch, poplar.Epoch(7))
	isolated.m.SetVersions(1000, 7)
	assert.Assert(t, !isolated.m.Late())
}
