package wallet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// drawOnce makes one draw of the wallet at the log, due or not.
func drawOnce(w *Wallet, b *Budgets, grant poplar.Tokens, now time.Time) {
	w.mu.Lock()
	w.balance(testWorkspace).largestWaiting = 1 // makes the draw due
	w.mu.Unlock()
	d, _ := w.NextDraw(map[poplar.Workspace]Grant{testWorkspace: {Tokens: grant, Bound: true}}, now)
	d = jsonCopy(d)
	w.ApplyDraw(d, jsonCopy(b.HandleDraw(d, now.UnixMilli())), now)
}

// TestBulkWorkLeavesLastTokensToUrgentWork has two routers. At one of them urgent
// requests have used 1,000 tokens a second, at the other the less urgent ones are
// refused once less than a minute of that use is left, or a tenth of the grant.
func TestBulkWorkLeavesLastTokensToUrgentWork(t *testing.T) {
	for _, c := range []struct {
		name        string
		grant, left poplar.Tokens
		rank        int
		use         poplar.Tokens // by urgent requests, in five seconds
		want        bool
	}{
		{name: "plenty", grant: 2_000_000, left: 61_000, rank: 2, use: 5000},
		{name: "less than a minute", grant: 2_000_000, left: 59_000, rank: 2, use: 5000, want: true},
		{name: "other rank above", grant: 2_000_000, left: 59_000, rank: 1, use: 5000, want: true},
		{name: "urgent itself", grant: 2_000_000, left: 59_000, rank: 0, use: 5000},
		{name: "rank below zero", grant: 2_000_000, left: 59_000, rank: -1, use: 5000},
		{name: "no urgent requests", grant: 2_000_000, left: 1000, rank: 2},
		{name: "more than a tenth", grant: 100_000, left: 10_100, rank: 2, use: 5000},
		{name: "less than a tenth", grant: 100_000, left: 9_900, rank: 2, use: 5000, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.UnixMilli(1_000_000)
			b := NewBudgets()
			b.Declare(map[poplar.Workspace]Grant{testWorkspace: {Tokens: c.grant, Bound: true}})
			one := NewWallet(Holder{Name: "one", Incarnation: 1}, DefaultPolicy(), now)
			other := NewWallet(Holder{Name: "other", Incarnation: 1}, DefaultPolicy(), now)
			assert.Assert(t, !other.KeptFrom(testWorkspace, c.rank), "nothing is kept before the log has answered")
			b.ByWorkspace[testWorkspace].ClosedSpent = c.grant - c.left
			b.ByWorkspace[testWorkspace].ClosedIssued = c.grant - c.left
			one.NoteUse(testWorkspace, 0, c.use, now)
			one.NoteUse(testWorkspace, urgentRanks, 1<<40, now)
			drawOnce(one, b, c.grant, now)
			drawOnce(other, b, c.grant, now)
			assert.Equal(t, other.KeptFrom(testWorkspace, c.rank), c.want)
		})
	}
}

// TestKeptTokensAreReleasedWhenUrgentWorkEnds has no urgent request for a while, then
// restarts the router that had them.
func TestKeptTokensAreReleasedWhenUrgentWorkEnds(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	grant := poplar.Tokens(2_000_000)
	b := NewBudgets()
	b.Declare(map[poplar.Workspace]Grant{testWorkspace: {Tokens: grant, Bound: true}})
	b.ByWorkspace[testWorkspace].ClosedIssued = grant - 1000
	one := NewWallet(Holder{Name: "one", Incarnation: 1}, DefaultPolicy(), now)
	one.NoteUse(testWorkspace, 0, 5000, now)
	drawOnce(one, b, grant, now)
	assert.Assert(t, one.KeptFrom(testWorkspace, 2))
	now = now.Add(demandWindow)
	_, due := one.NextDraw(map[poplar.Workspace]Grant{testWorkspace: {Tokens: grant, Bound: true}}, now)
	assert.Assert(t, due, "the use has fallen to nothing, and other routers keep tokens for it")
	drawOnce(one, b, grant, now)
	assert.Assert(t, !one.KeptFrom(testWorkspace, 2))

	one.NoteUse(testWorkspace, 0, 5000, now)
	drawOnce(one, b, grant, now)
	assert.Assert(t, one.KeptFrom(testWorkspace, 2))
	again := NewWallet(Holder{Name: "one", Incarnation: 2}, DefaultPolicy(), now)
	drawOnce(again, b, grant, now)
	assert.Assert(t, again.KeptFrom(testWorkspace, 2), "callers of a restarted router come back")
	drawOnce(again, b, grant, now.Add(restartedUseTime))
	assert.Assert(t, !again.KeptFrom(testWorkspace, 2))
}

// TestTopUpEndsRefusalOfBulkWork raises the grant after tokens were kept from a
// request. The router draws without another request, and no longer keeps them.
func TestTopUpEndsRefusalOfBulkWork(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	grant := poplar.Tokens(2_000_000)
	b := NewBudgets()
	b.Declare(map[poplar.Workspace]Grant{testWorkspace: {Tokens: grant, Bound: true}})
	b.ByWorkspace[testWorkspace].ClosedIssued = grant
	w := NewWallet(Holder{Name: "one", Incarnation: 1}, DefaultPolicy(), now)
	w.NoteUse(testWorkspace, 0, 5000, now)
	drawOnce(w, b, grant, now)
	assert.Assert(t, w.KeptFrom(testWorkspace, 2))
	grants := map[poplar.Workspace]Grant{testWorkspace: {Tokens: 2 * grant, Bound: true}}
	b.Declare(grants)
	d, due := w.NextDraw(grants, now)
	assert.Assert(t, due)
	w.ApplyDraw(d, b.HandleDraw(d, now.UnixMilli()), now)
	assert.Assert(t, !w.KeptFrom(testWorkspace, 2))
}
