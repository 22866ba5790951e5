package proxy

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/wallet"
)

// lenders are routers of which only one lends. They answer once enough of them are asked at
// the same time.
type lenders struct {
	enough  int
	mu      sync.Mutex
	open    int           // invariant: guarded by mu
	most    int           // invariant: guarded by mu; the most that were open at the same time
	answers chan struct{} // invariant: closed once enough requests were open
}

// count adds to the number of open requests.
func (l *lenders) count(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open += change
	if l.most < l.enough && l.open >= l.enough {
		close(l.answers)
	}
	l.most = max(l.most, l.open)
}

func (l *lenders) lend(name poplar.Daemon, tokens poplar.Tokens) peer.Method {
	return peer.Handle(func(ctx context.Context, _ poplar.Daemon, r wallet.LoanRequest) (wallet.LoanResponse, error) {
		l.count(1)
		defer l.count(-1)
		select {
		case <-l.answers:
			return wallet.LoanResponse{Lender: wallet.Life{Name: name, Number: 1}, Total: r.Received + tokens}, nil
		case <-ctx.Done():
			return wallet.LoanResponse{}, ctx.Err()
		}
	})
}

// TestLikelyLendersAreAskedFirst guards against requests that wait for one router after the
// other while the log is unreachable, and against loans that are taken from several routers
// while it is not needed.
func TestLikelyLendersAreAskedFirst(t *testing.T) {
	for _, reachable := range []bool{false, true} {
		h := newHarness(t, script{"a": {"stream 2"}})
		l := &lenders{enough: 2, answers: make(chan struct{})}
		if reachable {
			l.enough = 1
		}
		var addresses []string
		const routers = 12
		for i := range routers {
			var m peer.Methods
			tokens := poplar.Tokens(0)
			if i == routers-1 {
				tokens = 500
			}
			m[core.OpLend] = l.lend(poplar.Daemon(rune('a'+i)), tokens)
			s := httptest.NewServer(peer.NewServer("p", "", m))
			t.Cleanup(s.Close)
			addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
		}
		h.proxy.addRouters(addresses, time.Now())
		h.proxy.noteLender(addresses[routers-1], "poor", 500)
		h.proxy.drewOnce.Store(true)
		h.proxy.drawsSucceed.Store(reachable)
		assert.Equal(t, h.proxy.likelyLenders("poor", time.Now())[0], addresses[routers-1])
		release := h.proxy.wallet.Await("poor", 100)
		defer release()
		end := time.Now().Add(testTimeout)
		for ok := false; !ok; ok, _ = h.proxy.borrow(t.Context(), "poor", 100) {
			assert.Assert(t, time.Now().Before(end), "no loan")
		}
		l.mu.Lock()
		most := l.most
		l.mu.Unlock()
		assert.Assert(t, most <= parallelLoans && (!reachable || most <= 1), "%d routers are asked at the same time", most)
	}
}
