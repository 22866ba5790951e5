package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/caller"
	"poplarbend.example/poplar/internal/conns"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/pkg/shed"
)

// A router whose settings state the speed of its link counts the bytes that pass it, and
// diverts requests to its peer routers before the link delays them, see pkg/shed.

const (
	// linkPeriod is the interval at which the state of the link is checked.
	linkPeriod = 100 * time.Millisecond
	// askSpan is how long the router goes on asking its peer routers after it last needed
	// to know their headroom.
	askSpan = 2 * time.Second
)

// link is the account of the router's own link. It is safe for concurrent use.
type link struct {
	wake chan struct{} // yields when reports of the peer routers are needed

	mu      sync.Mutex
	account *shed.Account
	decider shed.Decider
	peers   *shed.Peers
	gate    shed.Gate
	returns *shed.Returns
	askTill time.Time        // invariant: peer routers are asked until then
	askNext time.Time        // invariant: they are not asked before then
	lacking poplar.Workspace // invariant: the workspace that last lacked tokens
	logged  linkState        // invariant: the state in the last log line
}

var (
	_ caller.Counter = (*link)(nil)
	_ conns.Counter  = (*link)(nil)
)

// newLink returns the account of a link with the given speed in Mbit/s, or nil if that is
// not known.
func newLink(mbits float64, domain poplar.Domain) *link {
	if mbits <= 0 {
		return nil
	}
	return &link{account: shed.NewAccount(mbits), peers: shed.NewPeers(domain), returns: shed.NewReturns(), wake: make(chan struct{}, 1)}
}

// Received counts bytes that were read.
func (l *link) Received(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.Add(shed.In, bytes, time.Now())
}

// Sent counts bytes that were written.
func (l *link) Sent(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.Add(shed.Out, bytes, time.Now())
}

// SentRequest counts a request that is sent to an upstream, of which the given part was
// charged when it was accepted.
func (l *link) SentRequest(bytes, charged int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.Sent(bytes, charged, time.Now())
}

// decide decides about a request with a body of the given size, and charges the body if
// the request is kept.
func (l *link) decide(r shed.Request, body int, mayDivert bool, now time.Time) (verdict shed.Verdict, load shed.Load, charge shed.Charge) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load = l.account.Load(now)
	if load.Delay() > r.Patience() {
		l.ask(now)
	}
	verdict = l.decider.Decide(r, load, l.peers, mayDivert, now)
	if verdict == shed.Keep {
		charge = l.account.Charge(body, now)
	}
	return verdict, load, charge
}

// arrived tells the link that a request of the workspace has arrived, and reports whether it
// may be diverted: it is not the retry of a diverted one, and such retries of the workspace
// reach other routers. key identifies the request and is asked for only if needed.
func (l *link) arrived(w poplar.Workspace, key func() uint64, now time.Time) bool {
	l.mu.Lock()
	remembers := !l.returns.Empty()
	l.mu.Unlock()
	id := uint64(0)
	if remembers {
		id = key() // without the lock, which each read and write takes: the body may be long
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returns.MayDivert(w, id, now)
}

// divert records that a request of the workspace is diverted.
func (l *link) divert(w poplar.Workspace, key uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returns.Diverted(w, key, time.Now())
}

// left returns the bytes of a charge that are still in the queue.
func (l *link) left(c shed.Charge) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account.Left(c, time.Now())
}

// refund reverses what is left of the charge for a body that was not sent.
func (l *link) refund(c shed.Charge) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.Refund(c, time.Now())
}

// headroom reports whether the peer routers have headroom for a request, and makes the
// router ask them.
func (l *link) headroom(r shed.Request, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ask(now)
	return l.peers.Headroom(r, now)
}

// lack notes that a workspace lacks tokens here, and makes the router ask its peer routers
// for them.
func (l *link) lack(w poplar.Workspace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lacking = w
	l.ask(now)
}

// mayLend reports whether a request that lacks tokens here is likely served at a peer
// router.
func (l *link) mayLend(r shed.Request, w poplar.Workspace, tokens poplar.Tokens, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.MayLend(r, w, tokens, now)
}

// ask makes the router ask its peer routers for a while. The caller holds the lock.
func (l *link) ask(now time.Time) {
	l.askTill = now.Add(askSpan)
	if now.Before(l.askNext) {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// load returns the current load, or that of an idle link if the speed is not known.
func (l *link) load(now time.Time) shed.Load {
	if l == nil {
		return shed.Load{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account.Load(now)
}

// leaves reports whether the router is not ready because of its link.
func (l *link) leaves() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Leaves()
}

// short reports whether the link is short of capacity.
func (l *link) short() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Short()
}

// closes reports whether callers' connections are closed after their responses.
func (l *link) closes() bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Closes(time.Now())
}

// linkLoop runs tendLink periodically and when reports of peer routers are needed.
func (p *Proxy) linkLoop() { loops.Tick(p.ctx, linkPeriod, p.link.wake, p.tendLink) }

// tendLink updates the state of the link and asks peer routers if they are due.
func (p *Proxy) tendLink(context.Context) {
	now := time.Now()
	l := p.link
	l.mu.Lock()
	load := l.account.Load(now)
	l.gate.Update(load, l.peers, now)
	l.returns.Sweep(now)
	if l.gate.Asks(load) {
		l.askTill = now.Add(askSpan)
	}
	due := now.Before(l.askTill) && !now.Before(l.askNext)
	if due {
		l.askNext = now.Add(headroomPeriod)
	}
	workspace := l.lacking
	l.mu.Unlock()
	p.logLink(load, now)
	if due {
		p.askPeers(workspace)
	}
}

// CountConns returns a listener whose connections count for the link.
func (p *Proxy) CountConns(l net.Listener) net.Listener {
	if p.link == nil {
		return l
	}
	return caller.Counted(l, p.link)
}

// countConn makes a connection to a peer count for the link.
func (p *Proxy) countConn(c net.Conn) net.Conn { return caller.CountedConn(c, p.link) }
