package gossip

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/member"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// recordingWatcher records which upstreams are present.
type recordingWatcher struct {
	mu      sync.Mutex
	present map[poplar.Upstream]bool
}

func (s *recordingWatcher) set(name poplar.Upstream, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present[name] = present
}

func (s *recordingWatcher) has(name poplar.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.present[name]
}

func (s *recordingWatcher) UpstreamRenewed(n poplar.Announcement, _ time.Time) {
	s.set(n.Upstream, true)
}
func (s *recordingWatcher) LoadReported(poplar.Load, time.Time) {}
func (s *recordingWatcher) UpstreamGone(name poplar.Upstream)   { s.set(name, false) }
func (s *recordingWatcher) StateChanged(member.Daemon)          {}

func startGossip(t *testing.T, name poplar.Daemon, secret string, seeds ...string) (*Gossip, *recordingWatcher) {
	port, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := port.LocalAddr().String()
	assert.NilError(t, port.Close())
	s := &recordingWatcher{present: map[poplar.Upstream]bool{}}
	g := New(Config{
		Member: member.Config{Name: name, Domain: "east", Address: address, Incarnation: 1, Seeds: seeds, Seed: 1},
		Secret: secret, Watcher: s, Clock: wallClock{}, Log: log.New(io.Discard),
	})
	assert.NilError(t, g.Start())
	t.Cleanup(g.Stop)
	return g, s
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestAnnouncementAndLeaveReachPeer(t *testing.T) {
	a, _ := startGossip(t, "a", "key")
	b, bSeen := startGossip(t, "b", "key", a.conf.Member.Address)
	waitUntil(t, func() bool { return len(a.View().Daemons) == 2 && len(b.View().Daemons) == 2 })
	notice := poplar.Announcement{
		Stamp:  poplar.Stamp{Upstream: "engine", Incarnation: 1, Sequence: 1},
		Domain: "east", Address: "127.0.0.1:9", Kind: poplar.KindEngine, Slots: 1,
	}
	a.SpreadNotice(notice)
	waitUntil(t, func() bool { return bSeen.has("engine") && b.Confirmed("engine") })
	a.SpreadLeave(poplar.Leave{Stamp: poplar.Stamp{Upstream: "engine", Incarnation: 1, Sequence: 2}})
	waitUntil(t, func() bool { return !bSeen.has("engine") && !b.Confirmed("engine") })
}

func TestForgedDatagramsAreDropped(t *testing.T) {
	a, _ := startGossip(t, "a", "key")
	b, _ := startGossip(t, "b", "other", a.conf.Member.Address)
	waitUntil(t, func() bool { return a.Dropped() > 0 })
	assert.Equal(t, len(a.View().Daemons), 1)
	assert.Equal(t, len(b.View().Daemons), 1)
}
