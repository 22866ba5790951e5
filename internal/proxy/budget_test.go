package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/wallet"
)

// drawLast answers a draw from a budget of 1,000 tokens, of which the given number is
// left.
func (h *harness) drawLast(left poplar.Tokens) {
	budgets := wallet.NewBudgets()
	grants := map[poplar.Workspace]wallet.Grant{"poor": {Tokens: 1000, Bound: true}}
	budgets.Declare(grants)
	budgets.ByWorkspace["poor"].ClosedIssued = 1000 - left
	h.proxy.wallet.Reserve("poor", left, time.Now()) // makes a draw due
	d, _ := h.proxy.wallet.NextDraw(grants, time.Now())
	h.proxy.wallet.ApplyDraw(d, budgets.HandleDraw(d, time.Now().UnixMilli()), time.Now())
}

func TestEmptyWalletRefusesWithoutSending(t *testing.T) {
	h := newHarness(t, script{"a": {"stream 6"}})
	got := h.call(t.Context(), http.MethodPost, "stream", "p", "Prompt", "100")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(h.arrivals()), 0)
}

// TestBulkRequestIsRefusedWhileLastTokensAreKept has 60 of 1,000 tokens left, of which
// urgent requests have just used 900. A request of a less urgent route is refused at
// once and not sent; one of an urgent route is served.
func TestBulkRequestIsRefusedWhileLastTokensAreKept(t *testing.T) {
	h := newHarness(t, script{"a": {"stream 6"}})
	next := testPlan()
	next.Revision = 2
	for i := range next.Routes {
		if next.Routes[i].Name == "stream" {
			next.Routes[i].Rank = 2
		}
	}
	h.proxy.applyPlan(next)
	h.proxy.wallet.NoteUse("poor", 0, 900, time.Now())
	h.drawLast(60)
	got := h.call(t.Context(), http.MethodPost, "stream", "p", "Prompt", "10")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(h.arrivals()), 0)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "resumable", "p", "Prompt", "10").status, http.StatusOK)
}

// TestRequestBeyondTheBudgetIsNotHeld asks for more than is left of a budget, by an
// answer of the log that the router has.
func TestRequestBeyondTheBudgetIsNotHeld(t *testing.T) {
	h := newHarness(t, script{"a": {"stream 6"}})
	h.drawLast(50)
	h.proxy.drewOnce.Store(true)
	h.proxy.drawsSucceed.Store(true)
	x := &exchange{p: h.proxy, view: h.proxy.view.Load(), ctx: t.Context(), deadline: time.Now().Add(testTimeout)}
	x.env.Secret = "p"
	x.workspace, x.route = x.view.table.WorkspaceByKey("p"), x.view.table.Route("127.0.0.1", "/stream/")
	for len(h.proxy.drawWake) > 0 {
		<-h.proxy.drawWake
	}
	err := x.reserve(60)
	assert.Equal(t, err.Code(), poplar.CodeBudget)
	assert.Equal(t, err.Run(), poplar.RunNo)
	assert.Assert(t, len(h.proxy.drawWake) == 0, "the request waited for a draw")
}

// TestBudgetedPromptWithoutTokenCountIsRefused sends a prompt without a token
// count for a workspace with a budget. The router cannot tell how many tokens to
// reserve.
func TestBudgetedPromptWithoutTokenCountIsRefused(t *testing.T) {
	h := newHarness(t, script{"a": {"stream 6"}})
	next := testPlan()
	next.Revision = 2
	for i := range next.Routes {
		next.Routes[i].PrefixAffinity = true
	}
	h.proxy.applyPlan(next)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "stream", "p").status, http.StatusBadRequest)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "stream", "p", "Prompt", "0").status, http.StatusBadRequest)
	assert.Equal(t, len(h.arrivals()), 0)
	assert.Equal(t, h.call(t.Context(), http.MethodPost, "stream", "k").status, http.StatusOK, "a workspace without a budget needs no token count")
}

// TestOnlyDeliveredTokensAreCharged breaks a stream off after two events of two
// tokens each. The wallet must be charged for the prompt and these events only.
func TestOnlyDeliveredTokensAreCharged(t *testing.T) {
	h := newHarness(t, script{"a": {"stream 2"}})
	budgets := wallet.NewBudgets()
	grants := map[poplar.Workspace]wallet.Grant{"poor": {Tokens: 1000, Bound: true}}
	budgets.Declare(grants)
	fill := func() wallet.BudgetStatus {
		h.proxy.wallet.Reserve("poor", 200, time.Now()) // records the demand
		d, _ := h.proxy.wallet.NextDraw(grants, time.Now())
		resp := budgets.HandleDraw(d, time.Now().UnixMilli())
		h.proxy.wallet.ApplyDraw(d, resp, time.Now())
		return resp.Statuses["poor"]
	}
	fill()
	got := h.call(t.Context(), http.MethodPost, "stream", "p", "Prompt", "100")
	assert.Assert(t, got.err != nil)
	d, _ := h.proxy.wallet.NextDraw(grants, time.Now())
	assert.Equal(t, d.Entries["poor"].Spent, poplar.Tokens(100+2*2))
}
