package follow

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// world is a fleet of mirrors in one domain, with one voter outside of it.
type world struct {
	t       *testing.T
	replica *Replica
	index   poplar.Index
	mu      sync.Mutex
	mirrors map[poplar.Daemon]*Mirror
	cut     map[poplar.Daemon]bool // unreachable daemons
	hooks   map[poplar.Daemon]func()
	// unlisted makes names unreachable whose address was not heard yet.
	unlisted bool
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, replica: NewReplica(), mirrors: map[poplar.Daemon]*Mirror{},
		cut: map[poplar.Daemon]bool{}, hooks: map[poplar.Daemon]func(){},
	}
	t.Cleanup(func() {
		for _, m := range w.mirrors {
			assert.NilError(t, m.Stop())
		}
	})
	return w
}

// link is the network as one daemon sees it.
type link struct {
	w    *world
	from poplar.Daemon
}

func (l link) reach(to poplar.Daemon) (*Mirror, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	name, seed := strings.CutPrefix(string(to), "@")
	to = poplar.Daemon(name)
	if l.w.cut[to] || l.w.cut[l.from] || l.w.unlisted && !seed && to != "voter" && !l.knows(to) {
		return nil, poplar.Failf(poplar.StepPeer, poplar.CodeUnreachable, "unreachable").At(string(to))
	}
	return l.w.mirrors[to], nil
}

// knows reports whether the daemon has heard of the address of another.
func (l link) knows(to poplar.Daemon) bool {
	self := l.w.mirrors[l.from]
	return self != nil && slices.ContainsFunc(self.View().Members(), func(m state.Member) bool { return m.Name == to })
}

func (l link) Follow(ctx context.Context, to poplar.Daemon, ask Ask) (Answer, error) {
	m, err := l.reach(to)
	if err != nil {
		return Answer{}, err
	}
	if m == nil {
		return l.w.replica.Answer(ctx, ask), nil
	}
	return m.Answer(ctx, ask), nil
}

func (l link) Keep(_ context.Context, to poplar.Daemon, push Keep) (Kept, error) {
	m, err := l.reach(to)
	if err != nil {
		return Kept{}, err
	}
	return m.TakePush(push)
}

func (w *world) start(name poplar.Daemon, files poplar.Files, peers ...poplar.Daemon) *Mirror {
	m, err := New(Config{
		Self: state.Holder{Name: name, Life: 1}, Domain: "east", Files: files,
		Voters: []poplar.Daemon{"voter"}, Peers: peers, Network: link{w: w, from: name},
	})
	assert.NilError(w.t, err)
	w.mu.Lock()
	w.mirrors[name] = m
	w.mu.Unlock()
	m.Start()
	return m
}

func (w *world) stop(name poplar.Daemon) {
	w.mu.Lock()
	m := w.mirrors[name]
	delete(w.mirrors, name)
	w.mu.Unlock()
	assert.NilError(w.t, m.Stop())
}

func (w *world) setCut(cut bool, names ...poplar.Daemon) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range names {
		w.cut[n] = cut
	}
}

func (w *world) apply(c state.Command) state.Reply {
	w.index++
	reply, err := state.Decode[state.Reply](w.replica.Apply(w.index, state.Encode(c)))
	assert.NilError(w.t, err)
	assert.NilError(w.t, reply.Err())
	return reply
}

func (w *world) change(number poplar.Revision) {
	w.apply(state.Command{Change: &state.Change{
		Number: number, Operator: "op", Patch: true, Files: map[string]string{"a.json": fmt.Sprintf(`{"n": %d}`, number)},
	}})
}

func (w *world) pair(epoch poplar.Epoch, primary, backup poplar.Daemon) {
	l := state.Ledger{Domain: "east", Epoch: epoch, Primary: state.Holder{Name: primary, Life: 1}, Proposer: primary}
	if backup != "" {
		l.Backup = state.Holder{Name: backup, Life: 1}
	}
	w.apply(state.Command{Ledger: &l})
	if backup != "" {
		w.apply(state.Command{Ready: &state.Ready{Domain: "east", Epoch: epoch}})
	}
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func at(m *Mirror, revision poplar.Revision) func() bool {
	return func() bool { return m.View().Sure() && m.View().Revision() == revision }
}

func TestRevisionReachesTheWholeDomain(t *testing.T) {
	w := newWorld(t)
	w.pair(1, "p", "")
	w.change(1)
	p := w.start("p", disk.NewMemory())
	b := w.start("b", disk.NewMemory(), "p")
	r := w.start("r", nil, "p", "b")
	for _, m := range []*Mirror{p, b, r} {
		until(t, "revision 1", at(m, 1))
		assert.Equal(t, m.View().Files()["a.json"], `{"n": 1}`)
	}
	w.pair(2, "p", "b")
	w.change(2)
	until(t, "revision 2 at the backup", at(b, 2))
	until(t, "revision 2 at the router", at(r, 2))
	assert.Equal(t, b.View().Role(), RoleBackup)
}

// A revision that the backup does not hold is in force nowhere in the domain.
func TestRevisionWaitsForTheBackup(t *testing.T) {
	w := newWorld(t)
	w.pair(1, "p", "b")
	w.change(1)
	p, b := w.start("p", disk.NewMemory(), "b"), w.start("b", disk.NewMemory(), "p")
	r := w.start("r", nil, "p", "b")
	until(t, "revision 1", at(r, 1))
	w.setCut(true, "b")
	w.change(2)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, p.View().Revision(), poplar.Revision(1))
	assert.Equal(t, r.View().Revision(), poplar.Revision(1))

	w.pair(2, "p", "") // the log lets the primary go on alone
	until(t, "revision 2 at the primary", at(p, 2))
	until(t, "revision 2 at the router", at(r, 2))
	assert.Equal(t, b.View().Revision(), poplar.Revision(1))
}

// A primary that stopped between its push and its own journal is behind its
// backup. It catches up from it, and goes on.
func TestPrimaryBehindItsBackupCatchesUp(t *testing.T) {
	w := newWorld(t)
	w.pair(1, "p", "b")
	w.change(1)
	pFiles := disk.NewMemory()
	p, b := w.start("p", pFiles, "b"), w.start("b", disk.NewMemory(), "p")
	until(t, "revision 1 at the backup", at(b, 1))
	until(t, "revision 1 at the primary", at(p, 1))
	w.stop("p")

	w.change(2)
	for pushed := false; !pushed; { // what the primary sent before it stopped
		d := w.replica.Answer(t.Context(), Ask{Domain: "east", Mark: b.Mark(), Shares: true}).Delta
		_, err := b.TakePush(Keep{Epoch: 1, Delta: d})
		assert.NilError(t, err)
		pushed = b.View().Revision() == 2
	}
	w.change(3)
	p = w.start("p", pFiles, "b")
	until(t, "revision 3 at the primary", at(p, 3))
	until(t, "revision 3 at the backup", at(b, 3))
}

// Daemons that looked at the log before their domain had a ledger must not be
// ahead of its first primary.
func TestFirstBackupIsNotAhead(t *testing.T) {
	w := newWorld(t)
	w.change(1)
	p, b := w.start("p", disk.NewMemory(), "b"), w.start("b", disk.NewMemory(), "p")
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, b.View().Index(), poplar.Index(0))
	w.pair(1, "p", "b")
	until(t, "revision 1 at the primary", at(p, 1))
	until(t, "revision 1 at the backup", at(b, 1))
}

// A router without a disk restarts in a cut-off domain, while an old primary
// that slept through its replacement answers first.
func TestRestartInACutDomainDoesNotRevert(t *testing.T) {
	w := newWorld(t)
	w.pair(1, "p", "b")
	w.change(1)
	pFiles := disk.NewMemory()
	w.start("p", pFiles, "b")
	b := w.start("b", disk.NewMemory(), "p")
	until(t, "revision 1 at the backup", at(b, 1))
	w.stop("p")

	w.pair(2, "b", "") // b takes over and the domain serves revision 2
	w.change(2)
	until(t, "revision 2 at the new primary", at(b, 2))

	w.setCut(true, "voter", "b")
	p := w.start("p", pFiles, "b")
	r := w.start("r", nil, "p", "b")
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !p.View().Sure(), "the old primary has not heard from its backup")
	assert.Assert(t, !r.View().Sure(), "the router has heard from the old primary only")

	w.setCut(false, "b") // the domain is whole, and still cut off
	until(t, "revision 2 at the router", at(r, 2))
	until(t, "revision 2 at the old primary", at(p, 2))
	assert.Equal(t, p.View().Role(), RoleRouter)
}

func TestHoldersKeepSharesAndRevisionOverRestarts(t *testing.T) {
	w := newWorld(t)
	w.pair(1, "p", "")
	w.apply(state.Command{Change: &state.Change{
		Number: 1, Operator: "op", Files: map[string]string{"a.json": "{}"},
		Budgets: []state.Declared{{Name: "gold", Workspace: "w", Tokens: 100}},
	}})
	files := disk.NewMemory()
	p := w.start("p", files)
	until(t, "revision 1", at(p, 1))
	for n := range poplar.Revision(1000) {
		w.change(n + 2)
	}
	w.apply(state.Command{Issue: &state.Issue{Shares: []state.Share{{Budget: "gold", Domain: "east", Tokens: 60}}}})
	until(t, "the last revision", func() bool { return p.View().Index() == w.index })
	w.stop("p")

	files.Crash(7)
	w.setCut(true, "voter")
	p = w.start("p", files)
	assert.Equal(t, p.View().Revision(), poplar.Revision(1001))
	share, ok := p.Share("gold")
	assert.Assert(t, ok)
	assert.Equal(t, share.Issued, poplar.Tokens(60))
}

// A daemon on a new disk knows the holders of its domain by an address of its
// settings only. It takes from them where they can be reached by name.
func TestNewDaemonKnowsHoldersByAddressOnly(t *testing.T) {
	w := newWorld(t)
	w.unlisted = true
	w.apply(state.Command{Member: &state.Member{Name: "p", Domain: "east", Life: 1, Addresses: []string{"10.0.0.1:1"}}})
	w.pair(1, "p", "")
	w.change(1)
	p := w.start("p", disk.NewMemory())
	until(t, "revision 1 at the primary", at(p, 1))
	until(t, "revision 1 at the new daemon", at(w.start("n", nil, "@p"), 1))
}
