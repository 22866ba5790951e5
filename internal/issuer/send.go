package issuer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"poplarbend.example/poplar/pkg/order"
)

// Limits on sending one order.
const (
	sendTimeout    = 2 * time.Second
	maxAnswerBytes = 4 << 10
	maxHeaderBytes = 32 << 10
)

// ordersPath is the URL path at which engines accept orders.
const ordersPath = "/v1/orders"

// client returns an HTTP client whose every write is preceded by a check of the
// lease, so that a process that was paused between its decision and the write
// sends nothing. Keep-alive is off, so no connection outlives the term.
func (t *term) client() *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := t.conf.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &leaseConn{Conn: c, checkLease: t.checkLease}, nil
	}
	return &http.Client{
		Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// leaseConn is a connection that writes only while the lease is held.
type leaseConn struct {
	net.Conn
	checkLease func() error
}

// Write implements net.Conn.
func (c *leaseConn) Write(b []byte) (int, error) {
	if err := c.checkLease(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// send starts to send an order in the background.
func (t *term) send(ctx context.Context, targets []Target, o order.Order) {
	i := slices.IndexFunc(targets, func(x Target) bool { return x.engine.Name == o.Upstream })
	t.sends.Add(1)
	go t.runSend(ctx, targets[i], o)
}

// runSend sends one order. An order whose answer is lost stays open and is sent
// again by the planner. An accepted order stays open until the engine's
// announcement shows it carried out.
func (t *term) runSend(ctx context.Context, to Target, o order.Order) {
	defer t.sends.Done()
	code, err := t.post(ctx, to.address, o)
	logger := t.conf.Log.With("upstream", o.Upstream, "verb", o.Verb, "model", o.Model, "fence", o.Fence, "number", o.Number)
	switch {
	case err != nil:
		t.counts.lost.Add(1)
		logger.Warn("order got no answer; it stays open and is sent again", "err", err)
	case code == http.StatusConflict && to.engine.Fenced:
		t.counts.refused.Add(1)
		logger.Error("engine refused the fence of the order; a later issuer exists, so the term ends")
		t.end()
	case code >= http.StatusMultipleChoices:
		t.counts.refused.Add(1)
		logger.Warn("engine refused the order; it is not planned there again until the refusal expires", "status", code)
		t.refuse(o)
	default:
		t.counts.given.Add(1)
		logger.Info("order accepted by the engine", "reason", o.Reason)
	}
}

// post sends o and returns the HTTP status of the answer.
func (t *term) post(ctx context.Context, address string, o order.Order) (int, error) {
	call, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return 0, fmt.Errorf("encode the order: %w", err)
	}
	r, err := http.NewRequestWithContext(call, http.MethodPost, "http://"+address+ordersPath, bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("send the order: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	if err := t.checkLease(); err != nil {
		return 0, err
	}
	answer, err := t.http.Do(r)
	if err != nil {
		return 0, fmt.Errorf("send the order: %w", err)
	}
	defer answer.Body.Close()
	// The body is only for human readers. Reading it to the end lets the
	// connection close.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerBytes))
	return answer.StatusCode, nil
}
