package core

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/roster"
	"poplarbend.example/poplar/pkg/wallet"
)

// patience bounds what a test waits for.
const patience = 20 * time.Second

// fleet is a set of control daemons on loopback.
type fleet struct {
	t       *testing.T
	seeds   []string
	cores   map[string]*Core
	servers map[string]*httptest.Server
	pools   map[string]*peer.Pool
	disks   map[string]*disk.Memory
	gates   map[string]*sync.RWMutex // syncs of the disk wait while its gate is locked
	losses  int
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func newFleet(t *testing.T, size int) *fleet { return newFleetWithLosses(t, size, 1) }

// newFleetWithLosses starts control daemons that know the first three.
func newFleetWithLosses(t *testing.T, size, losses int) *fleet {
	f := &fleet{
		t: t, losses: losses, cores: map[string]*Core{}, servers: map[string]*httptest.Server{}, pools: map[string]*peer.Pool{},
		disks: map[string]*disk.Memory{}, gates: map[string]*sync.RWMutex{},
	}
	var listeners []net.Listener
	for range size {
		l := listen(t)
		listeners = append(listeners, l)
		if len(f.seeds) < 3 {
			f.seeds = append(f.seeds, l.Addr().String())
		}
	}
	for _, l := range listeners {
		f.start(l, true)
	}
	t.Cleanup(func() {
		for address := range f.cores {
			f.stop(address)
		}
	})
	return f
}

func (f *fleet) start(l net.Listener, first bool) string {
	f.t.Helper()
	address := l.Addr().String()
	logger, err := trace.New(io.Discard, "error", poplar.Daemon(address))
	assert.NilError(f.t, err)
	if f.disks[address] == nil {
		f.disks[address], f.gates[address] = disk.NewMemory(), &sync.RWMutex{}
	}
	f.pools[address] = peer.NewPool(poplar.Daemon(address), "", nil)
	c, err := Start(Settings{
		Address: address, Seeds: f.seeds, First: first, Files: gatedFiles{f.disks[address], f.gates[address]}, Losses: f.losses, Quiet: time.Second, Clock: poplar.System{}, Log: logger,
	}, f.pools[address])
	assert.NilError(f.t, err)
	f.cores[address] = c
	s := &httptest.Server{Listener: l, Config: &http.Server{Handler: peer.NewServer(poplar.Daemon(address), "", c.Methods())}}
	s.Start()
	f.servers[address] = s
	return address
}

func (f *fleet) stop(address string) {
	f.servers[address].CloseClientConnections()
	f.servers[address].Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = f.cores[address].Stop(ctx)
	f.pools[address].Close()
	delete(f.cores, address)
}

func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not in time", what)
		}
	}
}

// put declares a configuration until it has a clear outcome.
func (f *fleet) put(at string, number poplar.Revision, text string) Outcome {
	f.t.Helper()
	var outcome Outcome
	f.await("an outcome", func() bool {
		grants := map[poplar.Workspace]wallet.Grant{"w": {Tokens: 1000, Bound: true}}
		o, err := f.cores[at].Put(context.Background(), number, text, []byte(text), grants)
		outcome = o
		return err == nil
	})
	return outcome
}

// declare puts a configuration in force. An answer may be lost inside the fleet;
// the repetition then finds it in force.
func (f *fleet) declare(at string, number poplar.Revision, text string) {
	f.t.Helper()
	o := f.put(at, number, text)
	assert.Assert(f.t, o == OutcomeNew || o == OutcomeSame, "%s", o)
}

func (f *fleet) latest(at string) (poplar.Revision, string) {
	f.t.Helper()
	var revision poplar.Revision
	var text []byte
	f.await("a read", func() bool {
		var err error
		revision, text, err = f.cores[at].Latest(context.Background())
		return err == nil
	})
	return revision, string(text)
}

func TestHighestNumberWins(t *testing.T) {
	f := newFleet(t, 3)
	a, b, c := f.seeds[0], f.seeds[1], f.seeds[2]
	f.declare(a, 3, "three")
	assert.Equal(t, f.put(b, 3, "three"), OutcomeSame)
	assert.Equal(t, f.put(c, 3, "other"), OutcomeClash)
	f.declare(c, 7, "seven")
	assert.Equal(t, f.put(a, 5, "five"), OutcomeOld)
	for _, at := range f.seeds {
		revision, text := f.latest(at)
		assert.Equal(t, fmt.Sprint(revision, text), "7seven")
	}
}

// TestAcknowledgedSurvives stops each control daemon after an acknowledgement,
// replaces one by an empty one at another address, and reads from all.
func TestAcknowledgedSurvives(t *testing.T) {
	f := newFleet(t, 3)
	f.declare(f.seeds[0], 1, "one")
	gone := f.seeds[0]
	f.stop(gone)
	f.declare(f.seeds[1], 2, "two")
	fresh := f.start(listen(t), false)
	f.await("the new one to vote", func() bool {
		s := f.cores[fresh].voter.Load().Status()
		_, stays := s.Members().VoterNamed(peer.Seed(gone))
		return s.Members().IsVoter(s.Self()) && !stays
	})
	f.stop(f.seeds[1])
	f.declare(fresh, 4, "four")
	for _, at := range []string{fresh, f.seeds[2]} {
		revision, text := f.latest(at)
		assert.Equal(t, fmt.Sprint(revision, text), "4four")
	}
}

// TestVotersBearTheLosses has six control daemons, two in each of three failure
// domains, that bear the loss of two. After the loss of any two at once the others
// acknowledge changes, and two that are left on their own never do.
func TestVotersBearTheLosses(t *testing.T) {
	f := newFleetWithLosses(t, 6, 2)
	f.declare(f.seeds[0], 1, "one")
	voters := func() []string {
		var names []string
		for _, m := range f.cores[f.seeds[0]].voter.Load().Status().Members().Voters {
			names = append(names, peer.Host(m.Name))
		}
		return names
	}
	f.await("all voters", func() bool { return len(voters()) == 5 })
	left := f.seeds[:2]
	lost := 0
	for _, address := range voters() {
		if !slices.Contains(left, address) && lost < f.losses {
			f.stop(address)
			lost++
		}
	}
	f.declare(f.seeds[0], 2, "two")
	for address := range f.cores {
		if !slices.Contains(left, address) {
			f.stop(address)
		}
	}
	for _, address := range left {
		c := f.cores[address]
		f.await("the loss", func() bool { return !c.led() })
		_, err := c.Put(t.Context(), 3, "three", []byte("three"), nil)
		assert.Assert(t, err != nil, "two of six acknowledge a change")
	}
}

// TestMinorityIsNotSure checks that a control daemon without a majority neither
// acknowledges nor reads, and hears upstreams only while a router listens.
func TestMinorityIsNotSure(t *testing.T) {
	f := newFleet(t, 3)
	f.declare(f.seeds[0], 1, "one")
	f.latest(f.seeds[2])
	f.stop(f.seeds[0])
	f.stop(f.seeds[1])
	c := f.cores[f.seeds[2]]
	f.await("the loss", func() bool { return !c.led() })
	_, err := c.Put(t.Context(), 2, "two", []byte("two"), nil)
	assert.Assert(t, err != nil)
	_, _, err = c.Latest(t.Context())
	assert.Assert(t, err != nil)
	notice := roster.Announcement{Name: "up", Service: "s", Address: "127.0.0.1:9", State: roster.StateReady, StartedAt: 1, Sequence: 1}
	assert.Assert(t, c.Hear(t.Context(), notice) != nil)
	_, err = c.watch(t.Context(), "router", Watch{Immediate: true})
	assert.NilError(t, err)
	assert.NilError(t, c.Hear(t.Context(), notice))
}

// TestWatchTellsChanges holds a watch until an upstream leaves.
func TestWatchTellsChanges(t *testing.T) {
	f := newFleet(t, 1)
	c := f.cores[f.seeds[0]]
	f.declare(f.seeds[0], 1, "one")
	notice := roster.Announcement{Name: "up", Service: "s", Address: "127.0.0.1:9", State: roster.StateReady, StartedAt: 1, Sequence: 1}
	assert.NilError(t, c.Hear(t.Context(), notice))
	first, err := c.watch(t.Context(), "router", Watch{})
	assert.NilError(t, err)
	assert.Equal(t, len(first.Entries), 1)
	notice.State, notice.Sequence = roster.StateLeaving, 2
	w := Watch{Incarnation: first.Incarnation, Roster: first.Roster, Revision: first.Revision}
	heard := make(chan error, 1)
	l := &later{c: c, notice: notice, done: heard}
	go l.run()
	second, err := c.watch(t.Context(), "router", w)
	assert.NilError(t, err)
	assert.Equal(t, len(second.Entries), 1)
	assert.Equal(t, second.Entries[0].State, roster.StateLeaving)
	assert.NilError(t, <-heard)
}

// TestWatchTellsCrashes tells one router what another one saw crash, at once.
func TestWatchTellsCrashes(t *testing.T) {
	f := newFleet(t, 1)
	c := f.cores[f.seeds[0]]
	f.declare(f.seeds[0], 1, "one")
	first, err := c.watch(t.Context(), "router", Watch{})
	assert.NilError(t, err)
	assert.Equal(t, len(first.Records), 0)
	record := poison.Record{Fingerprint: 7, Crashes: []poison.Crash{{Upstream: "up", Incarnation: 1, At: time.Now()}}}
	c.learn([]poison.Record{record})
	w := Watch{Incarnation: first.Incarnation, Roster: first.Roster, Revision: first.Revision, Poison: first.Poison}
	second, err := c.watch(t.Context(), "router", w)
	assert.NilError(t, err)
	assert.Equal(t, len(second.Records), 1)
	assert.Equal(t, second.Records[0].Fingerprint, poison.Fingerprint(7))
	c.learn([]poison.Record{record})
	w.Poison = second.Poison
	w.Immediate = true
	third, err := c.watch(t.Context(), "router", w)
	assert.NilError(t, err)
	assert.Equal(t, len(third.Records), 0, "nothing is new")
}

// TestWatchSendsChangesOnly announces many upstreams to a daemon that many routers
// watch. A router that was told of them gets only the next change, and the list of
// routers only when it has changed.
func TestWatchSendsChangesOnly(t *testing.T) {
	f := newFleet(t, 1)
	c := f.cores[f.seeds[0]]
	f.declare(f.seeds[0], 1, "one")
	for i := range 50 {
		assert.NilError(t, c.Hear(t.Context(), roster.Announcement{
			Name: poplar.Upstream(fmt.Sprint("up", i)), Service: "s", Address: fmt.Sprint("127.0.0.1:", 1000+i),
			State: roster.StateReady, StartedAt: 1, Sequence: 1,
		}))
	}
	ask := func(from string, w Watch) WatchResponse {
		t.Helper()
		w.Address, w.Delta, w.Immediate = from, true, true
		resp, err := c.watch(t.Context(), poplar.Daemon(from), w)
		assert.NilError(t, err)
		return resp
	}
	for i := range 20 {
		ask(fmt.Sprint("r", i), Watch{})
	}
	first := ask("r0", Watch{})
	assert.Equal(t, len(first.Entries), 50)
	assert.Equal(t, len(first.Routers), 20)
	next := Watch{Incarnation: first.Incarnation, Roster: first.Roster, Revision: first.Revision, Poison: first.Poison, RouterList: first.RouterList}
	var second WatchResponse
	f.await("the announcement of all upstreams", func() bool {
		second = ask("r0", next)
		next.Roster = second.Roster
		return second.Roster == c.roster.Version()
	})
	assert.Equal(t, len(second.Routers), 0, "the list is known")
	assert.NilError(t, c.Hear(t.Context(), roster.Announcement{Name: "up7", State: roster.StateRemoved, StartedAt: 1, Sequence: 2}))
	third := ask("r0", next)
	assert.Equal(t, len(third.Entries), 1)
	assert.Assert(t, third.Delta)
	assert.Equal(t, third.Entries[0].Name, poplar.Upstream("up7"))
	ask("r20", Watch{})
	assert.Equal(t, len(ask("r0", next).Routers), 21)
	former, err := c.watch(t.Context(), "former", Watch{Incarnation: first.Incarnation, Roster: first.Roster, Immediate: true, Address: "former"})
	assert.NilError(t, err)
	assert.Equal(t, len(former.Entries), 50, "a router that does not ask for changes gets all")
	assert.Assert(t, !former.Delta && len(former.Routers) == 22)
}

// later announces while a watch is held.
type later struct {
	c      *Core
	notice roster.Announcement
	done   chan error
}

func (l *later) run() { l.done <- l.c.Hear(context.Background(), l.notice) }

// TestDrawsGoThroughTheLog draws at two control daemons for one router.
func TestDrawsGoThroughTheLog(t *testing.T) {
	f := newFleet(t, 3)
	f.declare(f.seeds[0], 1, "one")
	d := wallet.DrawRequest{Holder: wallet.Holder{Name: "r", Incarnation: 1}, Number: 1, Entries: map[poplar.Workspace]wallet.DrawEntry{"w": {Needed: 300, Desired: 300}}}
	pool := peer.NewPool("r", "", nil)
	defer pool.Close()
	call := func(at string) wallet.DrawResponse {
		var out wallet.DrawResponse
		f.await("a draw", func() bool {
			var err error
			out, err = peer.Call[wallet.DrawRequest, wallet.DrawResponse](context.Background(), pool, peer.Seed(at), OpDraw, d)
			return err == nil
		})
		return out
	}
	assert.Equal(t, call(f.seeds[1]).Statuses["w"].Issued, poplar.Tokens(300))
	assert.Assert(t, call(f.seeds[2]).Stale, "the same draw again")
	d.Number = 2
	assert.Equal(t, call(f.seeds[2]).Statuses["w"].Issued, poplar.Tokens(300), "a want on an old issue")
}

// TestFullDisk lets the disk of one control daemon refuse writes: the others go
// on, and it comes back by itself.
func TestFullDisk(t *testing.T) {
	f := newFleet(t, 3)
	f.declare(f.seeds[0], 1, "one")
	full := f.seeds[1]
	f.disks[full].FailAt(1, disk.FaultFull)
	f.declare(f.seeds[0], 2, "two")
	f.await("the member after its disk took writes again", func() bool {
		held, _ := f.cores[full].replica.held()
		return held.Revision == 2
	})
	select {
	case <-f.cores[full].Failed():
		t.Fatal("the daemon has ended")
	default:
	}
	f.stop(f.seeds[2])
	f.declare(full, 3, "three")
}
