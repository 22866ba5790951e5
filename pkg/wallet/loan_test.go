package wallet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// TestRefusedRequestDoesNotStopLoans partitions routers from the log. Each of them refuses
// a request that is larger than all of them hold, and its caller leaves. The tokens must
// still reach a smaller request: a lender that kept them for the refused one would lend
// nothing until the partition ends.
func TestRefusedRequestDoesNotStopLoans(t *testing.T) {
	c := newCluster(9, 2_000_000)
	for range 50 {
		c.serveAll(1, 400)
		c.drawAll()
	}
	c.now = c.now.Add(4 * time.Second)
	for i := range c.wallets {
		assert.Assert(t, !c.serve(i, 1_000_000))
	}
	ready := c.wallets[0].Snapshot(testWorkspace, c.now).Ready
	needed := 2 * ready
	assert.Equal(t, c.serveWithLoans(0, needed), 0, "%d tokens are needed, %d are ready at each of %d routers", needed, ready, len(c.wallets))
}

// TestLenderKeepsTokensOfWaitingRequests checks that a lender keeps what its own waiting
// requests need.
func TestLenderKeepsTokensOfWaitingRequests(t *testing.T) {
	c := newCluster(2, 2_000_000)
	for range 50 {
		c.serveAll(1, 400)
		c.drawAll()
	}
	ready := c.wallets[1].Snapshot(testWorkspace, c.now).Ready
	release := c.wallets[1].Await(testWorkspace, ready)
	assert.Equal(t, c.serveWithLoans(0, 2*ready), 1)
	release()
}

// TestLoansOfRaisedIncarnationCountOnce restarts a router whose wall clock was set back. It lends
// and borrows before the log answers, and goes on with another incarnation. It guards against
// loans that are counted again since the incarnation has changed.
func TestLoansOfRaisedIncarnationCountOnce(t *testing.T) {
	c := newCluster(3, 2_000_000)
	for range 50 {
		c.serveAll(1, 400)
		c.drawAll()
	}
	c.restartAs(0, 1)
	c.now = c.now.Add(UnlockTime)
	held := func() poplar.Tokens {
		sum := poplar.Tokens(0)
		for _, w := range c.wallets {
			sum += w.balance(testWorkspace).held()
		}
		return sum
	}
	before := held()
	borrow := func(from, to int) poplar.Tokens {
		needed := c.wallets[to].Snapshot(testWorkspace, c.now).Ready + 100
		c.lend(from, to, needed)
		return c.wallets[to].Snapshot(testWorkspace, c.now).Ready - (needed - 100)
	}
	assert.Assert(t, borrow(2, 0) > 0)
	assert.Assert(t, borrow(0, 1) > 0)
	assert.Equal(t, held(), before)
	raised := c.wallets[0].Holder()
	c.draw(0, 0)
	assert.Assert(t, c.wallets[0].Holder() != raised)
	borrow(0, 1)
	borrow(2, 0)
	assert.Equal(t, held(), before)
	assert.Assert(t, borrow(2, 0) > 0, "a router whose incarnation has changed gets no loans")
}
