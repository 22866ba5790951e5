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

// Tests with faults of disks, daemons and the network.

// runScript runs a few requests and returns the acknowledged ones: the spent
// tokens by key, or -1 for an open reservation.
func runScript(n *node) map[poplar.Key]poplar.Tokens {
	acked := map[poplar.Key]poplar.Tokens{}
	ctx := context.Background()
	for i := range 4 {
		key := poplar.Key(fmt.Sprintf("k%d", i))
		if _, err := n.holder.Reserve(ctx, nonIdempotent(key, "r")); err != nil {
			continue
		}
		acked[key] = -1
		if i > 0 && n.holder.Settle(ctx, completed(key, 1, poplar.Tokens(i))) == nil {
			acked[key] = poplar.Tokens(i)
		}
	}
	return acked
}

// TestDiskFaults injects a fault into each write, sync, rename and removal of a
// ledger in turn, with and without compaction at each batch, and restarts the
// ledger from the remaining files. No acknowledged request may be lost.
func TestDiskFaults(t *testing.T) {
	for _, fault := range []disk.Fault{disk.FaultStop, disk.FaultIO, disk.FaultFull} {
		for _, compact := range []int64{1 << 20, 1} {
			triggered := true
			for operation := 1; triggered; operation++ {
				triggered = runWithFault(t, fault, operation, compact)
			}
		}
	}
}

func runWithFault(t *testing.T, fault disk.Fault, operation int, compact int64) (triggered bool) {
	f := newFleet(t, "d")
	f.compact = compact
	n := f.startAlone("a", "d", 100)
	before := n.files.Operations()
	n.files.FailAt(operation, fault)
	acked := runScript(n)
	triggered = n.files.Operations() >= before+operation
	if status := n.holder.Status(); triggered && status.Broken != "" {
		_, err := n.holder.Reserve(context.Background(), ask("after", "r"))
		assertCode(t, err, poplar.CodeDisk)
		<-n.holder.Failed()
	}
	_ = n.holder.Close()
	n.holder = nil
	n.files.Crash(uint64(operation))
	n, err := f.start("a", "d")
	assert.NilError(t, err, "fault %d at %d", fault, operation)
	f.follow(n, f.pair(1, n, nil))
	for key, spent := range acked {
		grant, err := n.holder.Reserve(context.Background(), nonIdempotent(key, "s"))
		assert.NilError(t, err)
		want := poplar.VerdictWait
		if spent >= 0 {
			want = poplar.VerdictReplay
			assert.Equal(t, grant.Billed, spent)
		} else if grant.Verdict == poplar.VerdictReplay {
			want = poplar.VerdictReplay // durable, but not acknowledged
		}
		assert.Equal(t, grant.Verdict, want, "fault %d at %d: %s", fault, operation, key)
	}
	assert.NilError(t, n.holder.Close())
	n.holder = nil
	return triggered
}

func TestFlippedBitIsDetected(t *testing.T) {
	f := newFleet(t, "d")
	n := f.startAlone("a", "d", 100)
	runScript(n)
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
			assertCode(t, err, poplar.CodeCorrupt)
			n.files.Flip(name, bit)
		}
	}
	_, err = f.start("a", "d")
	assert.NilError(t, err)
}

func TestUnreachableBackup(t *testing.T) {
	f := newFleet(t, "d")
	a, b := f.startPair("a", "b", "d", 100)
	run(t, a, ask("k", "r"))
	f.setCut("a", "b", true)
	_, err := a.holder.Reserve(shortContext(t), nonIdempotent("lost", "r"))
	assertCode(t, err, poplar.CodeTimeout)
	f.setCut("a", "b", false)
	run(t, a, nonIdempotent("lost", "r")) // the first reservation was released and its call failed
	assert.Equal(t, share(a).Open, poplar.Tokens(20))
	f.follow(b, f.pair(2, b, nil))
	assert.Equal(t, share(b).Open, poplar.Tokens(20))
}

// TestPausedPrimary lets a primary decide on a non-idempotent request while it
// cannot reach its backup. The backup becomes primary and grants the same request;
// the old primary must then refuse it as stale.
func TestPausedPrimary(t *testing.T) {
	f := newFleet(t, "d")
	a, b := f.startPair("a", "b", "d", 100)
	f.setCut("a", "b", true)
	result := make(chan error, 1)
	var wait sync.WaitGroup
	wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := a.holder.Reserve(ctx, nonIdempotent("k", "r"))
		result <- err
	})
	f.follow(b, f.pair(2, b, nil))
	run(t, b, nonIdempotent("k", "s"))
	f.setCut("a", "b", false)
	wait.Wait()
	assertCode(t, <-result, poplar.CodeStale)
	assert.Equal(t, share(b).Open, poplar.Tokens(10))
}

// TestPrimaryLossAfterBackupReplacement crashes the primary right after a backup
// with a new disk joined. The new disk must not count as the old member before
// the log names it, and afterwards it must store all acknowledged requests.
func TestPrimaryLossAfterBackupReplacement(t *testing.T) {
	f := newFleet(t, "d")
	a, b := f.startPair("a", "b", "d", 100)
	run(t, a, nonIdempotent("k", "r"))
	b.files, b.disk = disk.NewMemory(), 99 // the same daemon name with a new disk
	assert.NilError(t, b.holder.Close())
	_, err := f.start("b", "d")
	assert.NilError(t, err)
	_, err = a.holder.Reserve(shortContext(t), nonIdempotent("k2", "r"))
	assertCode(t, err, poplar.CodeTimeout) // the new disk is not the member
	assert.Equal(t, a.holder.Status().Copied, uint64(4))

	pair := f.pair(2, a, b)
	f.follow(b, pair)
	f.follow(a, pair)
	run(t, a, nonIdempotent("k3", "r"))
	assert.Assert(t, a.holder.Status().Ready)
	f.crash(a, 1)
	f.follow(b, f.pair(3, b, nil))
	for _, key := range []poplar.Key{"k", "k3"} {
		grant, err := b.holder.Reserve(context.Background(), nonIdempotent(key, "r"))
		assert.NilError(t, err)
		assert.Equal(t, grant.Verdict, poplar.VerdictWait)
	}
}

// TestTwoProvisionalBills runs one idempotent request in two domains while its home
// domain is unreachable, so that both domains bill it. Only the bill that reaches
// the home domain first may remain.
func TestTwoProvisionalBills(t *testing.T) {
	f := newFleet(t, "d", "e", "h")
	ctx := context.Background()
	d, e, h := f.startAlone("a", "d", 100), f.startAlone("b", "e", 100), f.startAlone("c", "h", 100)
	key := keyWithHome("h", f.domains)
	f.setCut("h", "d", true)
	f.setCut("h", "e", true)
	f.setCut("d", "e", true)
	run(t, d, ask(key, "r"))
	run(t, e, ask(key, "s"))
	settle(t, d, completed(key, 1, 4))
	settle(t, e, completed(key, 1, 6))
	assert.ErrorContains(t, d.holder.Upkeep(ctx), "lost")
	assert.Equal(t, share(d).Settled+share(e).Settled, poplar.Tokens(10))

	// The home domain crashes and loses its unsynced data as the network heals.
	f.crash(h, 3)
	h = f.mustStart("c", "h")
	f.follow(h, f.pair(1, h, nil))
	f.setCut("h", "d", false)
	f.setCut("h", "e", false)
	f.messageFate = func(kind string, _ string) int { return deliverTwice }
	f.clock.add(time.Minute) // longer than the retry delay of an unreachable home
	assert.NilError(t, e.holder.Upkeep(ctx))
	assert.NilError(t, d.holder.Upkeep(ctx))
	assert.Equal(t, share(e).Settled, poplar.Tokens(6), "the first report wins")
	assert.Equal(t, share(d).Settled, poplar.Tokens(0))
	assert.Equal(t, len(d.holder.Bills(holder.Filter{})), 0)
	assert.Equal(t, len(e.holder.Bills(holder.Filter{})), 1)
}

// TestRetryInAnotherDomain removes a router with an open stream. The retry arrives
// in another domain and must be served by the ledger that owns the request.
func TestRetryInAnotherDomain(t *testing.T) {
	f := newFleet(t, "d", "e", "h")
	ctx := context.Background()
	d, e, _ := f.startAlone("a", "d", 100), f.startAlone("b", "e", 100), f.startAlone("c", "h", 100)
	key := keyWithHome("h", f.domains)
	run(t, d, ask(key, "r"))
	wait, err := e.holder.Reserve(ctx, ask(key, "s"))
	assert.NilError(t, err)
	assert.Equal(t, wait.Verdict, poplar.VerdictWait)
	assert.Equal(t, wait.Router, poplar.Daemon("r"))

	assert.NilError(t, d.holder.RouterRemoved(ctx, "r"))
	resume, err := e.holder.Reserve(ctx, ask(key, "s"))
	assert.NilError(t, err)
	assert.Equal(t, resume.Verdict, poplar.VerdictResume)
	assert.Equal(t, resume.Attempt, poplar.Attempt(2))
	f.crash(e, 1) // the forwarding ledger restarts
	e = f.mustStart("b", "e")
	f.follow(e, f.pair(1, e, nil))
	settle(t, e, completed(key, 2, 8))
	replay, err := e.holder.Reserve(ctx, ask(key, "t"))
	assert.NilError(t, err)
	assert.Equal(t, string(replay.Response), "answer "+string(key))
	assert.Equal(t, share(d).Settled, poplar.Tokens(8))
	assert.Equal(t, share(e).Settled+share(e).Open, poplar.Tokens(0))
}

// TestClaimIsUnique loses the answer to a claim that the home domain granted. The
// domain keeps the claim, so calls in all other domains must reach its ledger or
// be refused.
func TestClaimIsUnique(t *testing.T) {
	f := newFleet(t, "d", "e", "h")
	ctx := context.Background()
	d, e, h := f.startAlone("a", "d", 100), f.startAlone("b", "e", 100), f.startAlone("c", "h", 100)
	key := keyWithHome("h", f.domains)
	f.messageFate = func(kind string, _ string) int {
		if kind == "claim" {
			return loseReply
		}
		return deliverOnce
	}
	_, err := d.holder.Reserve(ctx, nonIdempotent(key, "r")) // the home domain granted the claim, but its answer is lost
	assertCode(t, err, poplar.CodeUnreachable)
	f.messageFate = nil
	run(t, e, nonIdempotent(key, "s")) // served by the ledger of d, which owns the claim
	assert.Equal(t, share(d).Open, poplar.Tokens(10))
	assert.Equal(t, share(e).Open, poplar.Tokens(0))
	assert.NilError(t, d.holder.Upkeep(ctx)) // must not release the claim of the second attempt
	other, err := h.holder.Reserve(ctx, nonIdempotent(key, "u"))
	assert.NilError(t, err)
	assert.Equal(t, other.Verdict, poplar.VerdictWait)
	f.setCut("h", "d", true)
	_, err = h.holder.Reserve(ctx, nonIdempotent(key, "u"))
	assertCode(t, err, poplar.CodeUnreachable)
	var claimErr *poplar.Error
	assert.Assert(t, errors.As(err, &claimErr) && claimErr.Run() == poplar.RunUnknown)
	settle(t, e, completed(key, 2, 8))
	assert.Equal(t, share(d).Settled, poplar.Tokens(8))
}

func TestLoweredAndDeletedBudget(t *testing.T) {
	f := newFleet(t, "d")
	n := f.startAlone("a", "d", 100)
	ctx := context.Background()
	run(t, n, ask("k", "r"))
	lowered := ledger.Share{Budget: "b", Serial: 1, Issued: 100, Recall: 95}
	f.follow(n, holder.Pair{}, lowered)
	assert.NilError(t, n.holder.Upkeep(ctx))
	assert.NilError(t, n.holder.Return(ctx, "b", 0))
	assert.Equal(t, share(n).Returned, poplar.Tokens(90), "reserved tokens are not returned")
	_, err := n.holder.Reserve(ctx, ask("k2", "r"))
	assertCode(t, err, poplar.CodeBudget)
	settle(t, n, completed("k", 1, 2))
	assert.NilError(t, n.holder.Upkeep(ctx))
	assert.NilError(t, n.holder.Return(ctx, "b", 0))
	assert.Equal(t, share(n).Returned, poplar.Tokens(95))

	f.follow(n, holder.Pair{}, ledger.Share{Budget: "b", Serial: 1, Issued: 200})
	run(t, n, ask("k3", "r"))
	f.follow(n, holder.Pair{}, ledger.Share{Budget: "b", Serial: 1, Issued: 200, Closed: true})
	_, err = n.holder.Reserve(ctx, ask("k4", "r"))
	assertCode(t, err, poplar.CodeDenied)
	// A new budget of the same name starts when the old one has no reservations.
	f.follow(n, holder.Pair{}, ledger.Share{Budget: "b", Serial: 9, Issued: 50})
	assert.Equal(t, share(n).Serial, uint64(1))
	assert.NilError(t, n.holder.Extend(ctx, poplar.Extend{Workspace: "w", Key: "k3", Attempt: 1, More: 3}))
	settle(t, n, completed("k3", 1, 12))
	assert.NilError(t, n.holder.Upkeep(ctx))
	assert.Equal(t, share(n).Serial, uint64(9))
	assert.Equal(t, share(n).Available, poplar.Tokens(50))
}

func TestLeasesWhileLedgerIsUnreachable(t *testing.T) {
	f := newFleet(t, "d")
	n := f.startAlone("a", "d", 10_000)
	ctx := context.Background()
	gate := &unreliableLedger{Replica: n.holder}
	leased := holder.NewLeasingClient(gate, "r-1", 30)
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

	gate.unreachable = true
	for i := 2; i < 5; i++ {
		_, err := leased.Reserve(ctx, fresh(i))
		assert.NilError(t, err)
	}
	_, err := leased.Reserve(ctx, fresh(5))
	assertCode(t, err, poplar.CodeUnreachable)
	_, err = leased.Reserve(ctx, ask("keyed", "r-1"))
	assertCode(t, err, poplar.CodeUnreachable)
	assert.NilError(t, leased.Settle(ctx, completed("g2", 1, 7)))
	notRun := completed("g3", 1, 0)
	notRun.Outcome = poplar.OutcomeNotRun
	assert.NilError(t, leased.Settle(ctx, notRun))

	f.crash(n, 5) // the ledger restarts; the lease is durable
	n = f.mustStart("a", "d")
	f.follow(n, f.pair(1, n, nil))
	gate.Replica, gate.unreachable = n.holder, false
	assert.NilError(t, leased.Settle(ctx, completed("g4", 1, 10)))
	assert.NilError(t, leased.Drain(ctx))
	assert.NilError(t, leased.Drain(ctx)) // repeated, as after a lost answer
	assert.Equal(t, share(n).Leased, poplar.Tokens(0))
	assert.Equal(t, share(n).Settled, poplar.Tokens(17))
	assert.Equal(t, share(n).Open, poplar.Tokens(20))
}

// unreliableLedger is a ledger that may be unreachable or lose its answers.
type unreliableLedger struct {
	*holder.Replica
	unreachable, loseReplies bool
}

func (g *unreliableLedger) Reserve(ctx context.Context, a poplar.ReserveRequest) (poplar.Grant, error) {
	if g.unreachable {
		return poplar.Grant{}, lostMessage("ledger")
	}
	grant, err := g.Replica.Reserve(ctx, a)
	if g.loseReplies {
		return poplar.Grant{}, lostMessage("ledger")
	}
	return grant, err
}

func TestPrimaryWithoutBackupOrLogContact(t *testing.T) {
	f := newFleet(t, "d")
	f.logTimeout = 10 * time.Second
	n := f.startAlone("a", "d", 100)
	f.clock.add(11 * time.Second)
	_, err := n.holder.Reserve(context.Background(), nonIdempotent("k", "r"))
	assertCode(t, err, poplar.CodeUnreachable)
	run(t, n, ask("repeat", "r"))
	f.follow(n, holder.Pair{})
	run(t, n, nonIdempotent("k", "r"))
	assert.Equal(t, share(n).Open, poplar.Tokens(20))
}

func TestExpiredKeysNeverRunAgain(t *testing.T) {
	f := newFleet(t, "d")
	n := f.startAlone("a", "d", 100)
	ctx := context.Background()
	dated := poplar.Key("018bcfe5-6900-7000-8000-000000000000")
	for _, key := range []poplar.Key{"opaque", dated} {
		run(t, n, nonIdempotent(key, "r"))
		settle(t, n, completed(key, 1, 1))
	}
	f.clock.add(2 * f.limits.Window)
	assert.NilError(t, n.holder.Upkeep(ctx))
	assert.Equal(t, n.holder.Status().Records, 0)
	assert.NilError(t, n.holder.Return(ctx, "b", 0)) // waits until all records are durable
	f.crash(n, 1)
	n = f.mustStart("a", "d")
	f.follow(n, f.pair(1, n, nil))
	for _, key := range []poplar.Key{"opaque", dated, "018bcfe4-6900-7000-8000-000000000001"} {
		_, err := n.holder.Reserve(ctx, nonIdempotent(key, "r"))
		assertCode(t, err, poplar.CodeExpired)
	}
	f.limits.Tombstones = 1
	m := f.startAlone("x", "d", 100)
	for _, key := range []poplar.Key{"1", "2"} {
		run(t, m, nonIdempotent(key, "r"))
		settle(t, m, completed(key, 1, 1))
	}
	f.clock.add(2 * f.limits.Window)
	assert.NilError(t, m.holder.Upkeep(ctx))
	_, err := m.holder.Reserve(ctx, nonIdempotent("3", "r"))
	assertCode(t, err, poplar.CodeLarge)
}

// TestRetriedCall loses the answer of a reservation in a takeover. The router
// sends the call again; a settlement of the first attempt must then be stale.
func TestRetriedCall(t *testing.T) {
	f := newFleet(t, "d", "h")
	ctx := context.Background()
	a, b := f.startPair("a", "b", "d", 100)
	f.startAlone("c", "h", 100)
	call := nonIdempotent(keyWithHome("h", f.domains), "r")
	call.CallID = 77
	first := run(t, a, call) // the answer is lost
	f.follow(b, f.pair(2, b, nil))
	again := run(t, b, call)
	assert.Assert(t, again.Attempt > first.Attempt)
	assert.Equal(t, share(b).Open, poplar.Tokens(10))
	stale := completed(call.Key, first.Attempt, 0)
	stale.Outcome = poplar.OutcomeNotRun
	assertCode(t, b.holder.Settle(ctx, stale), poplar.CodeStale)
	retry := call // a retry by the caller, at the same router
	retry.CallID = 78
	wait, err := b.holder.Reserve(ctx, retry)
	assert.NilError(t, err)
	assert.Equal(t, wait.Verdict, poplar.VerdictWait)
	f.setCut("d", "h", true)
	_, err = b.holder.Reserve(ctx, call)
	assertCode(t, err, poplar.CodeUnreachable)
	assert.Equal(t, share(b).Open, poplar.Tokens(0), "the router got no grant, so nothing ran")
}

// TestLostGrantIsReleased loses the answers to two reservations. The router's next
// renewal must release the keys and the tokens.
func TestLostGrantIsReleased(t *testing.T) {
	f := newFleet(t, "d")
	n := f.startAlone("a", "d", 100)
	ctx := context.Background()
	gate := &unreliableLedger{Replica: n.holder, loseReplies: true}
	leased := holder.NewLeasingClient(gate, "r-1", 30)
	generated := ask("generated", "r")
	generated.Keyed = false
	for _, a := range []poplar.ReserveRequest{nonIdempotent("keyed", "r"), generated} {
		_, err := leased.Reserve(ctx, a)
		assertCode(t, err, poplar.CodeUnreachable)
	}
	assert.Equal(t, share(n).Open, poplar.Tokens(20))
	gate.loseReplies = false
	assert.NilError(t, leased.Renew(ctx))
	assert.Equal(t, share(n).Open, poplar.Tokens(0))
	run(t, n, nonIdempotent("keyed", "s"))
}
