package holder_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file holds the faults of disks, daemons and the network.

// script runs a few requests and returns what was acknowledged: the spent
// tokens by key, -1 for an open reservation.
func script(n *node) map[poplar.Key]poplar.Tokens {
	acked := map[poplar.Key]poplar.Tokens{}
	ctx := context.Background()
	for i := range 4 {
		key := poplar.Key(fmt.Sprintf("k%d", i))
		if _, err := n.holder.Reserve(ctx, once(key, "r")); err != nil {
			continue
		}
		acked[key] = -1
		if i > 0 && n.holder.Settle(ctx, done(key, 1, poplar.Tokens(i))) == nil {
			acked[key] = poplar.Tokens(i)
		}
	}
	return acked
}

// TestDiskFaults strikes every write, sync, rename and removal of a ledger that
// compacts at each batch, and restarts it on what is left.
func TestDiskFaults(t *testing.T) {
	for _, fault := range []disk.Fault{disk.FaultStop, disk.FaultIO, disk.FaultFull} {
		for _, compact := range []int64{1 << 20, 1} {
			struck := true
			for at := 1; struck; at++ {
				struck = strike(t, fault, at, compact)
			}
		}
	}
}

func strike(t *testing.T, fault disk.Fault, at int, compact int64) (struck bool) {
	f := newFleet(t, "d")
	f.compact = compact
	n := f.lead("a", "d", 100)
	before := n.files.Operations()
	n.files.FailAt(at, fault)
	acked := script(n)
	struck = n.files.Operations() >= before+at
	if status := n.holder.Status(); struck && status.Broken != "" {
		_, err := n.holder.Reserve(context.Background(), ask("after", "r"))
		code(t, err, poplar.CodeDisk)
		<-n.holder.Failed()
	}
	_ = n.holder.Close()
	n.holder = nil
	n.files.Crash(uint64(at))
	n, err := f.start("a", "d")
	assert.NilError(t, err, "fault %d at %d", fault, at)
	f.follow(n, f.pair(1, n, nil))
	for key, spent := range acked {
		grant, err := n.holder.Reserve(context.Background(), once(key, "s"))
		assert.NilError(t, err)
		want := poplar.VerdictWait
		if spent >= 0 {
			want = poplar.VerdictReplay
			assert.Equal(t, grant.Billed, spent)
		} else if grant.Verdict == poplar.VerdictReplay {
			want = poplar.VerdictReplay // durable, but not acknowledged
		}
		assert.Equal(t, grant.Verdict, want, "fault %d at %d: %s", fault, at, key)
	}
	assert.NilError(t, n.holder.Close())
	n.holder = nil
	return struck
}

func TestFlippedBitIsRefused(t *testing.T) {
	f := newFleet(t, "d")
	n := f.lead("a", "d", 100)
	script(n)
	assert.NilError(t, n.holder.Close())
	n.holder = nil
	names, err := n.files.List()
	assert.NilError(t, err)
	for _, name := range names {
		for _, at := range []int{0, 5, 15, 60} { // checksum, length, number, body
			bit := 8*at + 3
			if at > 15 && strings.HasSuffix(name, ".snap") {
				continue // the snapshot is empty
			}
			n.files.Flip(name, bit)
			_, err := f.start("a", "d")
			code(t, err, poplar.CodeCorrupt)
			n.files.Flip(name, bit)
		}
	}
	_, err = f.start("a", "d")
	assert.NilError(t, err)
}

func TestCutBackup(t *testing.T) {
	f := newFleet(t, "d")
	a, b := f.twin("a", "b", "d", 100)
	run(t, a, ask("k", "r"))
	f.sever("a", "b", true)
	_, err := a.holder.Reserve(soon(t), once("lost", "r"))
	code(t, err, poplar.CodeTimeout)
	f.sever("a", "b", false)
	run(t, a, once("lost", "r")) // the first was undone, its caller was told
	assert.Equal(t, share(a).Open, poplar.Tokens(20))
	f.follow(b, f.pair(2, b, nil))
	assert.Equal(t, share(b).Open, poplar.Tokens(20))
}

// TestPausedPrimary lets a primary decide on a non-idempotent request while
// another one is named, and wake up after the other one ran it.
func TestPausedPrimary(t *testing.T) {
	f := newFleet(t, "d")
	a, b := f.twin("a", "b", "d", 100)
	f.sever("a", "b", true)
	result := make(chan error, 1)
	var wait sync.WaitGroup
	wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := a.holder.Reserve(ctx, once("k", "r"))
		result <- err
	})
	f.follow(b, f.pair(2, b, nil))
	run(t, b, once("k", "s"))
	f.sever("a", "b", false)
	wait.Wait()
	code(t, <-result, poplar.CodeStale)
	assert.Equal(t, share(b).Open, poplar.Tokens(10))
}

// TestSecondLoss loses the primary right after a new backup was taken in on a
// new disk, and then that disk's predecessor returns.
func TestSecondLoss(t *testing.T) {
	f := newFleet(t, "d")
	a, b := f.twin("a", "b", "d", 100)
	run(t, a, once("k", "r"))
	b.files, b.disk = disk.NewMemory(), 99 // replaced: the same name, another disk
	assert.NilError(t, b.holder.Close())
	_, err := f.start("b", "d")
	assert.NilError(t, err)
	_, err = a.holder.Reserve(soon(t), once("k2", "r"))
	code(t, err, poplar.CodeTimeout) // the new disk is not the member
	assert.Equal(t, a.holder.Status().Copied, uint64(4))

	pair := f.pair(2, a, b)
	f.follow(b, pair)
	f.follow(a, pair)
	run(t, a, once("k3", "r"))
	assert.Assert(t, a.holder.Status().Ready)
	f.crash(a, 1)
	f.follow(b, f.pair(3, b, nil))
	for _, key := range []poplar.Key{"k", "k3"} {
		grant, err := b.holder.Reserve(context.Background(), once(key, "r"))
		assert.NilError(t, err)
		assert.Equal(t, grant.Verdict, poplar.VerdictWait)
	}
}

func TestTwoProvisionalBills(t *testing.T) {
	f := newFleet(t, "d", "e", "h")
	ctx := context.Background()
	d, e, h := f.lead("a", "d", 100), f.lead("b", "e", 100), f.lead("c", "h", 100)
	key := homed("h", f.domains)
	f.sever("h", "d", true)
	f.sever("h", "e", true)
	f.sever("d", "e", true)
	run(t, d, ask(key, "r"))
	run(t, e, ask(key, "s"))
	settle(t, d, done(key, 1, 4))
	settle(t, e, done(key, 1, 6))
	assert.ErrorContains(t, d.holder.Upkeep(ctx), "lost")
	assert.Equal(t, share(d).Settled+share(e).Settled, poplar.Tokens(10))

	// The home loses its disk's unsynced part at the same time as the cut ends.
	f.crash(h, 3)
	h = f.must("c", "h")
	f.follow(h, f.pair(1, h, nil))
	f.sever("h", "d", false)
	f.sever("h", "e", false)
	f.lose = func(kind string, _ string) int { return double }
	f.clock.add(time.Minute) // a silent home is left alone for a while
	assert.NilError(t, e.holder.Upkeep(ctx))
	assert.NilError(t, d.holder.Upkeep(ctx))
	assert.Equal(t, share(e).Settled, poplar.Tokens(6), "the first report wins")
	assert.Equal(t, share(d).Settled, poplar.Tokens(0))
	assert.Equal(t, len(d.holder.Bills(holder.Filter{})), 0)
	assert.Equal(t, len(e.holder.Bills(holder.Filter{})), 1)
}

// TestRetryInAnotherDomain kills a router with a stream open; the retry arrives
// in another domain and is served by the ledger that holds the request.
func TestRetryInAnotherDomain(t *testing.T) {
	f := newFleet(t, "d", "e", "h")
	ctx := context.Background()
	d, e, _ := f.lead("a", "d", 100), f.lead("b", "e", 100), f.lead("c", "h", 100)
	key := homed("h", f.domains)
	run(t, d, ask(key, "r"))
	wait, err := e.holder.Reserve(ctx, ask(key, "s"))
	assert.NilError(t, err)
	assert.Equal(t, wait.Verdict, poplar.VerdictWait)
	assert.Equal(t, wait.Router, poplar.Daemon("r"))

	assert.NilError(t, d.holder.RouterGone(ctx, "r"))
	resume, err := e.holder.Reserve(ctx, ask(key, "s"))
	assert.NilError(t, err)
	assert.Equal(t, resume.Verdict, poplar.VerdictResume)
	assert.Equal(t, resume.Attempt, poplar.Attempt(2))
	f.crash(e, 1) // and the ledger that forwards restarts
	e = f.must("b", "e")
	f.follow(e, f.pair(1, e, nil))
	settle(t, e, done(key, 2, 8))
	replay, err := e.holder.Reserve(ctx, ask(key, "t"))
	assert.NilError(t, err)
	assert.Equal(t, string(replay.Response), "answer "+string(key))
	assert.Equal(t, share(d).Settled, poplar.Tokens(8))
	assert.Equal(t, share(e).Settled+share(e).Open, poplar.Tokens(0))
}

func TestClaimIsUnique(t *testing.T) {
	f := newFleet(t, "d", "e", "h")
	ctx := context.Background()
	d, e, h := f.lead("a", "d", 100), f.lead("b", "e", 100), f.lead("c", "h", 100)
	key := homed("h", f.domains)
	f.lose = func(kind string, _ string) int {
		if kind == "claim" {
			return loseReply
		}
		return keep
	}
	_, err := d.holder.Reserve(ctx, once(key, "r")) // the home granted, the answer is lost
	code(t, err, poplar.CodeCut)
	f.lose = nil
	run(t, e, once(key, "s")) // served by the ledger of d, which holds the claim
	assert.Equal(t, share(d).Open, poplar.Tokens(10))
	assert.Equal(t, share(e).Open, poplar.Tokens(0))
	assert.NilError(t, d.holder.Upkeep(ctx)) // the release of the first try is late
	other, err := h.holder.Reserve(ctx, once(key, "u"))
	assert.NilError(t, err)
	assert.Equal(t, other.Verdict, poplar.VerdictWait)
	f.sever("h", "d", true)
	_, err = h.holder.Reserve(ctx, once(key, "u"))
	code(t, err, poplar.CodeCut)
	var e2 *poplar.Error
	assert.Assert(t, errors.As(err, &e2) && e2.Run() == poplar.RunUnknown)
	settle(t, e, done(key, 2, 8))
	assert.Equal(t, share(d).Settled, poplar.Tokens(8))
}

func TestLoweredAndDeletedBudget(t *testing.T) {
	f := newFleet(t, "d")
	n := f.lead("a", "d", 100)
	ctx := context.Background()
	run(t, n, ask("k", "r"))
	lowered := ledger.Share{Budget: "b", Serial: 1, Issued: 100, Recall: 95}
	f.follow(n, holder.Pair{}, lowered)
	assert.NilError(t, n.holder.Upkeep(ctx))
	assert.NilError(t, n.holder.GiveBack(ctx, "b", 0))
	assert.Equal(t, share(n).Returned, poplar.Tokens(90), "what is reserved stays")
	_, err := n.holder.Reserve(ctx, ask("k2", "r"))
	code(t, err, poplar.CodeBudget)
	settle(t, n, done("k", 1, 2))
	assert.NilError(t, n.holder.Upkeep(ctx))
	assert.NilError(t, n.holder.GiveBack(ctx, "b", 0))
	assert.Equal(t, share(n).Returned, poplar.Tokens(95))

	f.follow(n, holder.Pair{}, ledger.Share{Budget: "b", Serial: 1, Issued: 200})
	run(t, n, ask("k3", "r"))
	f.follow(n, holder.Pair{}, ledger.Share{Budget: "b", Serial: 1, Issued: 200, Closed: true})
	_, err = n.holder.Reserve(ctx, ask("k4", "r"))
	code(t, err, poplar.CodeDenied)
	// A budget of the same name starts once the old one's reservations ended.
	f.follow(n, holder.Pair{}, ledger.Share{Budget: "b", Serial: 9, Issued: 50})
	assert.Equal(t, share(n).Serial, uint64(1))
	assert.NilError(t, n.holder.Extend(ctx, poplar.Extend{Workspace: "w", Key: "k3", Attempt: 1, More: 3}))
	settle(t, n, done("k3", 1, 12))
	assert.NilError(t, n.holder.Upkeep(ctx))
	assert.Equal(t, share(n).Serial, uint64(9))
	assert.Equal(t, share(n).Available, poplar.Tokens(50))
}

func TestLeasesWhileTheLedgerIsAway(t *testing.T) {
	f := newFleet(t, "d")
	n := f.lead("a", "d", 10_000)
	ctx := context.Background()
	gate := &gated{Holder: n.holder}
	leased := holder.NewLeased(gate, "r-1", 30)
	fresh := func(i int) poplar.ReserveRequest {
		a := ask(poplar.Key(fmt.Sprintf("g%d", i)), "r-1")
		a.Keyed = false
		return a
	}
	for i := range 2 {
		_, err := leased.Reserve(ctx, fresh(i))
		assert.NilError(t, err)
	}
	assert.NilError(t, leased.Renew(ctx))
	assert.Equal(t, share(n).Leased, poplar.Tokens(30))

	gate.away = true
	for i := 2; i < 5; i++ {
		_, err := leased.Reserve(ctx, fresh(i))
		assert.NilError(t, err)
	}
	_, err := leased.Reserve(ctx, fresh(5))
	code(t, err, poplar.CodeCut)
	_, err = leased.Reserve(ctx, ask("keyed", "r-1"))
	code(t, err, poplar.CodeCut)
	assert.NilError(t, leased.Settle(ctx, done("g2", 1, 7)))
	unrun := done("g3", 1, 0)
	unrun.Outcome = poplar.OutcomeNotRun
	assert.NilError(t, leased.Settle(ctx, unrun))

	f.crash(n, 5) // the ledger restarts; the lease is durable
	n = f.must("a", "d")
	f.follow(n, f.pair(1, n, nil))
	gate.Holder, gate.away = n.holder, false
	assert.NilError(t, leased.Settle(ctx, done("g4", 1, 10)))
	assert.NilError(t, leased.Drain(ctx))
	assert.NilError(t, leased.Drain(ctx)) // the answer was lost
	assert.Equal(t, share(n).Leased, poplar.Tokens(0))
	assert.Equal(t, share(n).Settled, poplar.Tokens(17))
	assert.Equal(t, share(n).Open, poplar.Tokens(20))
}

// gated is a ledger that may be away, or whose answers may be lost.
type gated struct {
	*holder.Holder
	away, mute bool
}

func (g *gated) Reserve(ctx context.Context, a poplar.ReserveRequest) (poplar.Grant, error) {
	if g.away {
		return poplar.Grant{}, lost("ledger")
	}
	grant, err := g.Holder.Reserve(ctx, a)
	if g.mute {
		return poplar.Grant{}, lost("ledger")
	}
	return grant, err
}

func TestAloneAndUnheard(t *testing.T) {
	f := newFleet(t, "d")
	f.alone = 10 * time.Second
	n := f.lead("a", "d", 100)
	f.clock.add(11 * time.Second)
	_, err := n.holder.Reserve(context.Background(), once("k", "r"))
	code(t, err, poplar.CodeCut)
	run(t, n, ask("repeat", "r"))
	f.follow(n, holder.Pair{})
	run(t, n, once("k", "r"))
	assert.Equal(t, share(n).Open, poplar.Tokens(20))
}

func TestExpiredKeysNeverRunAnew(t *testing.T) {
	f := newFleet(t, "d")
	n := f.lead("a", "d", 100)
	ctx := context.Background()
	dated := poplar.Key("018bcfe5-6900-7000-8000-000000000000")
	for _, key := range []poplar.Key{"opaque", dated} {
		run(t, n, once(key, "r"))
		settle(t, n, done(key, 1, 1))
	}
	f.clock.add(2 * f.limits.Window)
	assert.NilError(t, n.holder.Upkeep(ctx))
	assert.Equal(t, n.holder.Status().Records, 0)
	assert.NilError(t, n.holder.GiveBack(ctx, "b", 0)) // all of it is durable
	f.crash(n, 1)
	n = f.must("a", "d")
	f.follow(n, f.pair(1, n, nil))
	for _, key := range []poplar.Key{"opaque", dated, "018bcfe4-6900-7000-8000-000000000001"} {
		_, err := n.holder.Reserve(ctx, once(key, "r"))
		code(t, err, poplar.CodeExpired)
	}
	f.limits.Tombstones = 1
	m := f.lead("x", "d", 100)
	for _, key := range []poplar.Key{"1", "2"} {
		run(t, m, once(key, "r"))
		settle(t, m, done(key, 1, 1))
	}
	f.clock.add(2 * f.limits.Window)
	assert.NilError(t, m.holder.Upkeep(ctx))
	_, err := m.holder.Reserve(ctx, once("3", "r"))
	code(t, err, poplar.CodeLarge)
}

// TestCallSentAgain loses the answer of a reservation in a takeover; the router
// sends the call again, and whatever goes on for the first one is stale.
func TestCallSentAgain(t *testing.T) {
	f := newFleet(t, "d", "h")
	ctx := context.Background()
	a, b := f.twin("a", "b", "d", 100)
	f.lead("c", "h", 100)
	call := once(homed("h", f.domains), "r")
	call.CallID = 77
	first := run(t, a, call) // the answer is lost
	f.follow(b, f.pair(2, b, nil))
	again := run(t, b, call)
	assert.Assert(t, again.Attempt > first.Attempt)
	assert.Equal(t, share(b).Open, poplar.Tokens(10))
	stale := done(call.Key, first.Attempt, 0)
	stale.Outcome = poplar.OutcomeNotRun
	code(t, b.holder.Settle(ctx, stale), poplar.CodeStale)
	retry := call // by the caller, at the same router
	retry.CallID = 78
	wait, err := b.holder.Reserve(ctx, retry)
	assert.NilError(t, err)
	assert.Equal(t, wait.Verdict, poplar.VerdictWait)
	f.sever("d", "h", true)
	_, err = b.holder.Reserve(ctx, call)
	code(t, err, poplar.CodeCut)
	assert.Equal(t, share(b).Open, poplar.Tokens(0), "the router got no grant, so nothing ran")
}

// TestLostGrantIsGivenBack loses the answers of a ledger for good; the router's
// next renewal frees the keys and the tokens.
func TestLostGrantIsGivenBack(t *testing.T) {
	f := newFleet(t, "d")
	n := f.lead("a", "d", 100)
	ctx := context.Background()
	gate := &gated{Holder: n.holder, mute: true}
	leased := holder.NewLeased(gate, "r-1", 30)
	generated := ask("generated", "r")
	generated.Keyed = false
	for _, a := range []poplar.ReserveRequest{once("keyed", "r"), generated} {
		_, err := leased.Reserve(ctx, a)
		code(t, err, poplar.CodeCut)
	}
	assert.Equal(t, share(n).Open, poplar.Tokens(20))
	gate.mute = false
	assert.NilError(t, leased.Renew(ctx))
	assert.Equal(t, share(n).Open, poplar.Tokens(0))
	run(t, n, once("keyed", "s"))
}
