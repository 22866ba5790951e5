// Package gossip runs the membership of package member over UDP, on the number
// of the peers' port.
//
// A datagram is a wire.Packet, followed by a truncated HMAC-SHA256 of it under
// the peers' credential when there is one. Datagrams that fail the check are
// dropped and counted.
package gossip

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/peer/wire"
	"poplarbend.example/poplar/pkg/member"
)

// This file holds the runtime around a member.Machine.

// Sizes and times of the runtime.
const (
	macSize     = 16 // bytes
	maxDatagram = 64 << 10
	tickPeriod  = 20 * time.Millisecond // as member.Machine asks
)

// Watcher is told what the other daemons spread, in order. Its methods must
// not block.
type Watcher interface {
	// Arrived tells of an upstream that another daemon vouches for until due.
	Arrived(n poplar.Announcement, due time.Time)
	// Loaded tells of an upstream's load, as heard at now.
	Loaded(l poplar.Load, now time.Time)
	// Gone tells that nobody vouches for an upstream any more.
	Gone(name poplar.Upstream)
	// Turned tells that a daemon of the own domain changed its state.
	Turned(d member.Daemon)
}

// Config is what a Gossip needs.
type Config struct {
	Member member.Config
	// Secret is the peers' credential, or "".
	Secret  string
	Watcher Watcher
	// Drops, when set, reports whether a datagram to an address is lost.
	Drops func(address string) bool
	Clock poplar.Clock
	Log   *log.Logger
}

// Gossip runs one daemon's membership. It is safe for concurrent use.
type Gossip struct {
	conf Config
	view atomic.Pointer[member.View]
	out  atomic.Int64 // bytes sent
	in   atomic.Int64 // bytes received
	bad  atomic.Int64 // datagrams dropped

	mu      sync.Mutex
	machine *member.Machine // invariant: guarded by mu
	conn    *net.UDPConn    // invariant: guarded by mu; nil before Start

	stop context.CancelFunc
	done sync.WaitGroup
}

// New returns a membership that is not started.
func New(conf Config) *Gossip {
	g := &Gossip{
		conf: conf, machine: member.New(conf.Member, conf.Clock.Now()),
		stop: func() {},
	}
	g.view.Store(g.machine.View())
	return g
}

// Start opens the port and begins to exchange messages.
func (g *Gossip) Start() error {
	address, err := net.ResolveUDPAddr("udp", g.conf.Member.Address)
	if err != nil {
		return fmt.Errorf("membership address: %w", err)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return fmt.Errorf("membership port: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	g.mu.Lock()
	g.conn, g.stop = conn, stop
	g.mu.Unlock()
	g.done.Add(2)
	go g.loopTick(ctx)
	go g.loopRead(conn)
	return nil
}

// Leave tells the domain that this daemon stops. Start's loops go on.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.machine.Stop(g.conf.Clock.Now()))
}

// Stop ends the exchange and closes the port.
func (g *Gossip) Stop() {
	g.stop()
	g.mu.Lock()
	conn := g.conn
	g.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	g.done.Wait()
}

// View returns the present snapshot.
func (g *Gossip) View() *member.View { return g.view.Load() }

// Bytes returns the bytes sent and received, without UDP and IP headers.
func (g *Gossip) Bytes() (out, in int64) { return g.out.Load(), g.in.Load() }

// Bad returns the number of datagrams that were dropped.
func (g *Gossip) Bad() int64 { return g.bad.Load() }

// Know tells the others which revision and epoch are in force here.
func (g *Gossip) Know(revision poplar.Revision, epoch poplar.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.Know(revision, epoch)
}

// SpreadNotice spreads an upstream's announcement to this daemon.
func (g *Gossip) SpreadNotice(n poplar.Announcement) {
	g.act(func(now time.Time) []member.Envelope { return g.machine.Announce(n, now) })
}

// SpreadLeave spreads an upstream's leave.
func (g *Gossip) SpreadLeave(l poplar.Leave) {
	g.act(func(now time.Time) []member.Envelope { return g.machine.Leave(l, now) })
}

// SpreadLoad spreads an upstream's load.
func (g *Gossip) SpreadLoad(l poplar.Load) {
	g.act(func(now time.Time) []member.Envelope {
		g.machine.Load(l, now)
		return nil
	})
}

// Vouched reports whether a daemon vouches for an upstream.
func (g *Gossip) Vouched(name poplar.Upstream) bool {
	for _, u := range g.View().Upstreams {
		if u.Notice.Upstream == name {
			return g.conf.Clock.Now().Before(u.Due)
		}
	}
	return false
}

// act runs one step of the machine, sends what it wants and tells the watcher
// what changed.
func (g *Gossip) act(step func(now time.Time) []member.Envelope) {
	now := g.conf.Clock.Now()
	g.mu.Lock()
	g.send(step(now))
	changes := g.machine.Changes()
	g.view.Store(g.machine.View())
	g.mu.Unlock()
	for _, c := range changes {
		g.tell(c, now)
	}
}

func (g *Gossip) tell(c member.Change, now time.Time) {
	w := g.conf.Watcher
	switch c.Kind {
	case member.Arrived:
		w.Arrived(c.Notice, c.Due)
	case member.Loaded:
		w.Loaded(c.Load, now)
	case member.Gone:
		w.Gone(c.Notice.Upstream)
	case member.Turned:
		w.Turned(c.Daemon)
	}
}

func (g *Gossip) loopTick(ctx context.Context) {
	defer g.done.Done()
	loops.Tick(ctx, tickPeriod, nil, func(context.Context) { g.act(g.machine.Tick) })
}

func (g *Gossip) loopRead(conn *net.UDPConn) {
	defer g.done.Done()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		g.in.Add(int64(n))
		packet, ok := g.open(buffer[:n])
		if !ok {
			g.bad.Add(1)
			continue
		}
		g.take(packet)
	}
}

func (g *Gossip) take(packet *wire.Packet) {
	g.act(func(now time.Time) []member.Envelope {
		out, err := g.machine.Step(poplar.Daemon(packet.GetFrom()), packet.GetBody(), now)
		if err != nil {
			g.bad.Add(1)
			g.conf.Log.Debug("a message of the membership is malformed", "from", packet.GetFrom(), "err", err)
		}
		return out
	})
}

// send sends envelopes, each at most once. The caller holds mu.
func (g *Gossip) send(out []member.Envelope) {
	if g.conn == nil {
		return
	}
	for _, e := range out {
		address, err := net.ResolveUDPAddr("udp", e.Address)
		if err != nil || g.conf.Drops != nil && g.conf.Drops(e.Address) {
			continue
		}
		data := g.seal(e.Data)
		// A lost datagram is repaired by a later exchange.
		if n, err := g.conn.WriteToUDP(data, address); err == nil {
			g.out.Add(int64(n))
		}
	}
}

// seal returns the datagram for a message.
func (g *Gossip) seal(body []byte) []byte {
	data, err := proto.Marshal(&wire.Packet{From: string(g.conf.Member.Name), Body: body})
	if err != nil || g.conf.Secret == "" {
		return data
	}
	return append(data, g.mac(data)...)
}

// open returns the packet of a datagram whose code is right.
func (g *Gossip) open(data []byte) (*wire.Packet, bool) {
	if g.conf.Secret != "" {
		if len(data) < macSize {
			return nil, false
		}
		body, code := data[:len(data)-macSize], data[len(data)-macSize:]
		if !hmac.Equal(code, g.mac(body)) {
			return nil, false
		}
		data = body
	}
	var packet wire.Packet
	if err := proto.Unmarshal(data, &packet); err != nil {
		return nil, false
	}
	return &packet, true
}

func (g *Gossip) mac(data []byte) []byte {
	h := hmac.New(sha256.New, []byte(g.conf.Secret))
	h.Write(data)
	return h.Sum(nil)[:macSize]
}
