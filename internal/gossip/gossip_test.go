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

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

// seen is a watcher that counts.
type seen struct {
	mu   sync.Mutex
	here map[poplar.Upstream]bool
}

func (s *seen) set(name poplar.Upstream, here bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.here[name] = here
}

func (s *seen) has(name poplar.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.here[name]
}

func (s *seen) Arrived(n poplar.Announcement, _ time.Time) { s.set(n.Upstream, true) }
func (s *seen) Loaded(poplar.Load, time.Time)              {}
func (s *seen) Gone(name poplar.Upstream)                  { s.set(name, false) }
func (s *seen) Turned(member.Daemon)                       {}

func start(t *testing.T, name poplar.Daemon, secret string, seeds ...string) (*Gossip, *seen) {
	port, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := port.LocalAddr().String()
	assert.NilError(t, port.Close())
	s := &seen{here: map[poplar.Upstream]bool{}}
	g := New(Config{
		Member: member.Config{Name: name, Domain: "east", Address: address, Life: 1, Seeds: seeds, Seed: 1},
		Secret: secret, Watcher: s, Clock: clock{}, Log: log.New(io.Discard),
	})
	assert.NilError(t, g.Start())
	t.Cleanup(g.Stop)
	return g, s
}

func until(t *testing.T, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestAnnouncementAndLeaveReachTheOthers(t *testing.T) {
	a, _ := start(t, "a", "key")
	b, bSeen := start(t, "b", "key", a.conf.Member.Address)
	until(t, func() bool { return len(a.View().Daemons) == 2 && len(b.View().Daemons) == 2 })
	notice := poplar.Announcement{
		Stamp:  poplar.Stamp{Upstream: "engine", Incarnation: 1, Sequence: 1},
		Domain: "east", Address: "127.0.0.1:9", Kind: poplar.KindEngine, Slots: 1,
	}
	a.SpreadNotice(notice)
	until(t, func() bool { return bSeen.has("engine") && b.Vouched("engine") })
	a.SpreadLeave(poplar.Leave{Stamp: poplar.Stamp{Upstream: "engine", Incarnation: 1, Sequence: 2}})
	until(t, func() bool { return !bSeen.has("engine") && !b.Vouched("engine") })
}

func TestForgedDatagramsAreDropped(t *testing.T) {
	a, _ := start(t, "a", "key")
	b, _ := start(t, "b", "other", a.conf.Member.Address)
	until(t, func() bool { return a.Bad() > 0 })
	assert.Equal(t, len(a.View().Daemons), 1)
	assert.Equal(t, len(b.View().Daemons), 1)
}
