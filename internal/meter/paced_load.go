package meter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/wallet"
)

// This file holds the callers and engines of the measurement of paced streams.

// pacedDialect reads and writes plain headers.
type pacedDialect struct{}

func (pacedDialect) Open(r *http.Request) (poplar.Envelope, error) {
	return poplar.Envelope{
		ID: r.Header.Get("Id"), Secret: r.Header.Get("Key"), Prompt: pacedPrompt, Output: pacedOutput,
		Parts: []poplar.Part{{Name: r.Header.Get("Session"), Tokens: pacedPrompt}},
	}, nil
}

func (pacedDialect) Dispatch(h http.Header, d poplar.Dispatch, now time.Time) {
	delete(h, "Key")
	h.Set("Workspace", string(d.Workspace))
	h.Set("Wait", strconv.FormatInt(d.Deadline.Sub(now).Milliseconds(), 10))
}

func (pacedDialect) Head(resp *http.Response) poplar.Head {
	return poplar.Head{ID: resp.Header.Get("Id"), Sealed: resp.Header.Get("Seal") != ""}
}

func pacedPlan() *plan.Plan {
	return &plan.Plan{
		Revision: 1,
		Services: []plan.Service{{Name: "s", Engine: &plan.Engine{TokensPerEvent: pacedPerEvent}}},
		Routes: []plan.Route{{
			Name: "ask", Host: "h", Prefix: "/ask/", Kind: plan.KindResumable, Timeout: 10 * time.Second, FirstByteTarget: 500 * time.Millisecond,
			MaxEventGap: 600 * time.Millisecond, MaxAttempts: 2, PrefixAffinity: true, Targets: []plan.Target{{Service: "s", Weight: 1}},
		}},
		Workspaces: []plan.Workspace{{Name: "w", Keys: []string{"k"}, HasBudget: true, Grant: pacedTokens}},
	}
}

func pacedGrants() map[poplar.Workspace]wallet.Grant { return wallet.Grants(pacedPlan()) }

// pacedEngine answers each request with a stream of events.
type pacedEngine struct {
	name     poplar.Upstream
	listener net.Listener
	accepted atomic.Int64 // connections
}

func startPacedEngine(name poplar.Upstream) (*pacedEngine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &pacedEngine{name: name, listener: l}
	go e.run()
	return e, nil
}

func (e *pacedEngine) close() { _ = e.listener.Close() }

func (e *pacedEngine) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.accepted.Add(1)
		go (&pacedConn{conn: c}).run()
	}
}

// pacedConn is one connection of an engine.
type pacedConn struct{ conn net.Conn }

func (c *pacedConn) run() {
	defer c.conn.Close()
	for in := bufio.NewReader(c.conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || c.answer(r.Header.Get("Id")) != nil {
			return
		}
	}
}

func (c *pacedConn) answer(id string) error {
	text := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for i := range pacedEvents {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("token ", pacedPerEvent))
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if i == pacedEvents-1 {
			text += "0\r\n\r\n"
		}
		if _, err := io.WriteString(c.conn, text); err != nil {
			return err
		}
		text = ""
		time.Sleep(time.Duration(float64(pacedGap) * (1 + pacedJitter*(2*rand.Float64()-1))))
	}
	return nil
}

// pacedLoad is callers that start streams at a constant rate.
type pacedLoad struct {
	address       string
	ended, failed atomic.Int64
	stop          chan struct{}

	mu  sync.Mutex
	err error // invariant: guarded by mu; the first failure
}

func newPacedLoad(address string) *pacedLoad {
	return &pacedLoad{address: address, stop: make(chan struct{})}
}

func (l *pacedLoad) close() { close(l.stop) }

func (l *pacedLoad) run() {
	tick := time.NewTicker(time.Duration(float64(time.Second) / pacedRate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-tick.C:
			go (&pacedCaller{load: l, number: i}).run()
		}
	}
}

func (l *pacedLoad) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// pacedCaller is one caller with one stream.
type pacedCaller struct {
	load   *pacedLoad
	number int
}

func (c *pacedCaller) run() {
	err := c.ask()
	c.load.ended.Add(1)
	if err == nil {
		return
	}
	c.load.failed.Add(1)
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	if c.load.err == nil {
		c.load.err = err
	}
}

var errPacedStream = errors.New("the stream is not whole")

// ask makes one stream and checks that all its events arrive.
func (c *pacedCaller) ask() error {
	conn, err := net.Dial("tcp4", c.load.address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST /ask/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: i%d\r\nSession: s%d\r\nContent-Length: 200\r\n\r\n%s",
		c.number, c.number%97, strings.Repeat("x", 200)); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read the stream: %w", err)
	}
	if resp.StatusCode != http.StatusOK || strings.Count(string(body), "id: ") != pacedEvents {
		return fmt.Errorf("%w: status %d, %d bytes", errPacedStream, resp.StatusCode, len(body))
	}
	return nil
}
