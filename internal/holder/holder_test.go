package holder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

func TestOneRequest(t *testing.T) {
	f := newFleet(t, "d")
	n := f.startAlone("a", "d", 100)
	ctx := context.Background()

	grant := run(t, n, ask("k", "r"))
	assert.Equal(t, grant.Attempt, poplar.Attempt(1))
	assert.Equal(t, share(n).Open, poplar.Tokens(10))

	again, err := n.holder.Reserve(ctx, ask("k", "r2"))
	assert.NilError(t, err)
	assert.Equal(t, again.Verdict, poplar.VerdictWait)
	assert.Equal(t, again.Router, poplar.Daemon("r"))

	assert.NilError(t, n.holder.Extend(ctx, poplar.Extend{Workspace: "w", Key: "k", Attempt: 1, More: 5}))
	settle(t, n, completed("k", 1, 12))
	settle(t, n, completed("k", 1, 12))
	assertCode(t, n.holder.Settle(ctx, completed("k", 1, 11)), poplar.CodeConflict)

	replay, err := n.holder.Reserve(ctx, ask("k", "r2"))
	assert.NilError(t, err)
	assert.Equal(t, replay.Verdict, poplar.VerdictReplay)
	assert.Equal(t, string(replay.Response), "answer k")
	assert.Equal(t, replay.Billed, poplar.Tokens(12))

	other := ask("k", "r")
	other.Digest = 8
	_, err = n.holder.Reserve(ctx, other)
	assertCode(t, err, poplar.CodeConflict)

	big := ask("k2", "r")
	big.MaxTokens = 89
	_, err = n.holder.Reserve(ctx, big)
	assertCode(t, err, poplar.CodeBudget)
	assert.Equal(t, share(n).Settled, poplar.Tokens(12))
	assert.Equal(t, len(n.holder.Bills(holder.Filter{Workspace: "w"})), 1)
	assert.Assert(t, n.holder.Status().Ready)
}

func TestRestartPreservesAcknowledgedState(t *testing.T) {
	f := newFleet(t, "d")
	n := f.startAlone("a", "d", 100)
	run(t, n, ask("open", "r"))
	run(t, n, ask("done", "r"))
	settle(t, n, completed("done", 1, 3))
	f.crash(n, 1)
	n = f.mustStart("a", "d")
	_, err := n.holder.Reserve(context.Background(), ask("early", "r"))
	assertCode(t, err, poplar.CodeStale)
	f.follow(n, f.pair(1, n, nil))
	assert.Equal(t, share(n).Open, poplar.Tokens(10))
	assert.Equal(t, share(n).Settled, poplar.Tokens(3))
	replay, err := n.holder.Reserve(context.Background(), ask("done", "r"))
	assert.NilError(t, err)
	assert.Equal(t, string(replay.Response), "answer done")
}

func TestRouterGone(t *testing.T) {
	f := newFleet(t, "d")
	n := f.startAlone("a", "d", 100)
	ctx := context.Background()
	run(t, n, ask("repeat", "r"))
	run(t, n, nonIdempotent("once", "r"))
	assert.NilError(t, n.holder.RouterRemoved(ctx, "r"))

	resume, err := n.holder.Reserve(ctx, ask("repeat", "r2"))
	assert.NilError(t, err)
	assert.Equal(t, resume.Verdict, poplar.VerdictResume)
	assert.Equal(t, resume.Upstream, poplar.Upstream("u"))
	assert.Equal(t, resume.Attempt, poplar.Attempt(2))
	assertCode(t, n.holder.Settle(ctx, completed("repeat", 1, 4)), poplar.CodeStale)
	settle(t, n, completed("repeat", 2, 5))

	_, err = n.holder.Reserve(ctx, nonIdempotent("once", "r2"))
	assertCode(t, err, poplar.CodeUnknown)
	f.clock.add(2 * time.Minute)
	assert.NilError(t, n.holder.Upkeep(ctx))
	assert.Equal(t, share(n).Open, poplar.Tokens(10), "unknown counts as spent")
	settle(t, n, completed("once", 1, 2)) // the late settlement proves the spending
	assert.Equal(t, share(n).Settled, poplar.Tokens(7))
	assert.Equal(t, len(n.holder.Bills(holder.Filter{})), 2)
}

func TestTakeover(t *testing.T) {
	f := newFleet(t, "d")
	a, b := f.startPair("a", "b", "d", 100)
	ctx := context.Background()
	run(t, a, nonIdempotent("k", "r"))
	settle(t, a, completed("k", 1, 4))
	run(t, a, ask("open", "r"))

	f.follow(b, f.pair(2, b, nil))
	assert.Equal(t, share(b).Open, poplar.Tokens(10))
	replay, err := b.holder.Reserve(ctx, nonIdempotent("k", "r"))
	assert.NilError(t, err)
	assert.Equal(t, string(replay.Response), "answer k")

	// The backup refuses the old primary's copy, so it acknowledges nothing.
	_, err = a.holder.Reserve(shortContext(t), ask("late", "r"))
	assertCode(t, err, poplar.CodeStale)
	assert.Equal(t, a.holder.Status().Role, holder.RoleAside)

	// The old primary returns as the backup and takes over again.
	pair := f.pair(3, b, a)
	f.follow(a, pair)
	f.follow(b, pair)
	run(t, b, nonIdempotent("k2", "r"))
	assert.Assert(t, b.holder.Status().Ready)
	f.follow(a, f.pair(4, a, nil))
	assert.Equal(t, share(a).Open, poplar.Tokens(20))
	_, err = a.holder.Reserve(ctx, nonIdempotent("k2", "r2"))
	assert.NilError(t, err)
}

func TestForcedTakeoverStartsWithoutRecords(t *testing.T) {
	f := newFleet(t, "d")
	a := f.startAlone("a", "d", 100)
	run(t, a, ask("spent", "r"))
	f.crash(a, 1)
	b := f.mustStart("b", "d")
	pair := f.pair(2, b, nil)
	pair.Forced = true
	f.follow(b, pair, ledger.Share{Budget: "b", Serial: 1, Issued: 120, Returned: 10, Lost: 90})
	assert.Equal(t, share(b).Available, poplar.Tokens(20))
	_, err := b.holder.Reserve(context.Background(), nonIdempotent("opaque", "r"))
	assertCode(t, err, poplar.CodeUnknown)
	run(t, b, nonIdempotent("018bcfe5-6900-7000-8000-000000000000", "r")) // dated after the takeover
	run(t, b, ask("opaque", "r"))
	f.clock.add(f.limits.Window)
	assert.Equal(t, len(b.holder.Proof()), 0)
	a = f.mustStart("a", "d")
	assert.Equal(t, len(a.holder.Proof()), 0, "it was not notified of the takeover")
	f.follow(a, pair)
	assert.DeepEqual(t, a.holder.Proof(), []holder.Unspent{{Budget: "b", Serial: 1, Tokens: 90}})
	// The old disk proves which tokens were not spent.
	f.follow(b, holder.Pair{}, ledger.Share{Budget: "b", Serial: 1, Issued: 120, Returned: 10, Lost: 40})
	assert.Equal(t, share(b).Available, poplar.Tokens(50))
}

func TestUnreachableHomeDomain(t *testing.T) {
	f := newFleet(t, "d", "e")
	d, e := f.startAlone("a", "d", 100), f.startAlone("b", "e", 100)
	key := keyWithHome("e", f.domains)
	f.setCut("d", "e", true)
	_, err := d.holder.Reserve(context.Background(), nonIdempotent(key, "r"))
	assertCode(t, err, poplar.CodeUnreachable)
	assert.Equal(t, share(d).Open, poplar.Tokens(0))
	run(t, d, ask(key+"x", "r")) // idempotent: provisional, wherever its home is
	_ = e
}

// keyWithHome returns a key of workspace w whose home domain is domain.
func keyWithHome(domain poplar.Domain, domains []poplar.Domain) poplar.Key {
	for i := 0; ; i++ {
		key := poplar.Key(fmt.Sprintf("key-%s-%d", domain, i))
		if claim.Home(poplar.NewRequest("w", key), domains) == domain {
			return key
		}
	}
}
