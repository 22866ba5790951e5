package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/peer/wire"
)

// This file holds the pool of clients to the other daemons.

// Bounds of the connections to one peer.
const (
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 90 * time.Second
	idlePerPeer     = 64
	responseMaximum = 16 << 20 // bytes
)

// calls is the part of wire.Peer that the pool calls by operation.
var calls = [ops]func(wire.Peer, context.Context, *wire.Packet) (*wire.Packet, error){
	OpStep:    wire.Peer.Step,
	OpPropose: wire.Peer.Propose,
	OpFollow:  wire.Peer.Follow,
	OpKeep:    wire.Peer.Keep,
	OpReserve: wire.Peer.Reserve,
	OpExtend:  wire.Peer.Extend,
	OpSettle:  wire.Peer.Settle,
	OpLease:   wire.Peer.Lease,
	OpCopy:    wire.Peer.Copy,
	OpClaim:   wire.Peer.Claim,
	OpForward: wire.Peer.Forward,
	OpDemand:  wire.Peer.Demand,
	OpPoison:  wire.Peer.Poison,
	OpInspect: wire.Peer.Inspect,
	OpUsage:   wire.Peer.Usage,
}

// Address is where a daemon's peer listener can be reached.
type Address struct {
	daemon poplar.Daemon
	host   string // invariant: host:port
}

// NewAddress returns the address of daemon's peer listener, as host:port.
func NewAddress(daemon poplar.Daemon, host string) Address {
	return Address{daemon: daemon, host: host}
}

// Daemon returns the name of the daemon.
func (a Address) Daemon() poplar.Daemon { return a.daemon }

// Host returns host and port.
func (a Address) Host() string { return a.host }

// Pool calls the other daemons. It is safe for concurrent use; the table of
// addresses is replaced as a whole by Route.
type Pool struct {
	self   poplar.Daemon
	http   *http.Client
	routes atomic.Pointer[map[poplar.Daemon]route]
	meter  *Meter
	count  atomic.Pointer[func(net.Conn) net.Conn] // invariant: nil if connections are not counted
}

// route is one entry of the pool's table.
type route struct {
	host   string
	client wire.Peer
}

// NewPool returns a pool that sends as self and proves itself with token, when
// token is not empty. The meter counts the bytes of control messages.
func NewPool(self poplar.Daemon, token string, meter *Meter) *Pool {
	return NewPoolOver(Everyone{}, self, token, meter)
}

// NewPoolOver is NewPool for a daemon whose calls go through reach.
func NewPoolOver(reach Reach, self poplar.Daemon, token string, meter *Meter) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &Pool{self: self, meter: meter}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if count := p.count.Load(); err == nil && count != nil {
				c = (*count)(c)
			}
			return c, err
		},
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // most messages are shorter than what compression adds
	}
	p.http = &http.Client{Transport: bearer{token: token, next: gated{reach: reach, next: transport}}}
	p.routes.Store(&map[poplar.Daemon]route{})
	return p
}

// CountConns passes each new connection through count, which counts its bytes.
func (p *Pool) CountConns(count func(net.Conn) net.Conn) { p.count.Store(&count) }

// Route replaces the table of addresses. Clients of unchanged addresses are
// kept.
func (p *Pool) Route(addresses []Address) {
	old := *p.routes.Load()
	table := make(map[poplar.Daemon]route, len(addresses))
	for _, a := range addresses {
		if r, ok := old[a.daemon]; ok && r.host == a.host {
			table[a.daemon] = r
			continue
		}
		table[a.daemon] = route{host: a.host, client: wire.NewPeerProtobufClient("http://"+a.host, p.http)}
	}
	p.routes.Store(&table)
}

// seedMark starts the name of a daemon that is known by its address only.
const seedMark = "@"

// Seed returns a name by which Call reaches the daemon at host, as host:port,
// before its own name is known.
func Seed(host string) poplar.Daemon { return poplar.Daemon(seedMark + host) }

// Host returns the address in a name made by Seed, or "".
func Host(name poplar.Daemon) string {
	host, _ := strings.CutPrefix(string(name), seedMark)
	return host
}

// route returns how to reach a daemon, and whether it is known.
func (p *Pool) route(to poplar.Daemon) (route, bool) {
	if host, ok := strings.CutPrefix(string(to), seedMark); ok {
		return route{host: host, client: wire.NewPeerProtobufClient("http://"+host, p.http)}, true
	}
	r, ok := (*p.routes.Load())[to]
	return r, ok
}

// Close closes the idle connections.
func (p *Pool) Close() { p.http.CloseIdleConnections() }

// Call sends req to the operation op at the daemon to and returns its reply.
// The error is a *poplar.Error; its run state is RunNo only when the peer
// certainly did not act.
func Call[Req, Resp any](ctx context.Context, p *Pool, to poplar.Daemon, op Op, req Req) (Resp, error) {
	var resp Resp
	r, ok := p.route(to)
	if !ok {
		err := poplar.Failf(poplar.StepPeer, poplar.CodeUnreachable, "no address is known")
		return resp, err.At(string(to)).Ran(poplar.RunNo)
	}
	body, err := json.Marshal(req)
	if err != nil {
		return resp, poplar.Fail(poplar.StepPeer, poplar.CodeInternal, err).Ran(poplar.RunNo)
	}
	p.meter.sent(op, len(body))
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	reply, err := calls[op](r.client, ctx, &wire.Packet{From: string(p.self), Body: body})
	if err != nil {
		return resp, unpack(err, to, connected.Load())
	}
	p.meter.received(op, len(reply.GetBody()))
	if err := json.Unmarshal(reply.GetBody(), &resp); err != nil {
		return resp, poplar.Fail(poplar.StepPeer, poplar.CodeInternal, err).At(string(to))
	}
	return resp, nil
}

// CallWithin is Call that ends after limit at the latest, so that a peer that
// stands still holds up its caller no longer.
func CallWithin[Req, Resp any](ctx context.Context, limit time.Duration, p *Pool, to poplar.Daemon, op Op, req Req) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return Call[Req, Resp](ctx, p, to, op, req)
}

// unread are headers of a call that peers do not read. Most messages are shorter
// than their headers.
var unread = []string{"Accept", "Twirp-Version"}

// bearer adds the peers' credential to each call, and takes away what is not read.
type bearer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	for _, name := range unread {
		r.Header.Del(name)
	}
	r.Header["User-Agent"] = nil // none, not that of the library
	if b.token != "" {
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	resp, err := b.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, responseMaximum)
	return resp, nil
}
