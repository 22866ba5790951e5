// Package gossip runs the membership protocol of package member over UDP, on
// the same port number as the peer service.
//
// A datagram is a wire.Packet, followed by its truncated HMAC-SHA256 under the
// peers' credential when there is one. Datagrams that fail the verification are
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

const (
	macSize     = 16                    // bytes
	maxDatagram = 64 << 10              // bytes
	tickPeriod  = 20 * time.Millisecond // well below member.RoundInterval, within which a tick is required
)

// Watcher receives the changes reported by other daemons, in order. Its methods
// must not block.
type Watcher interface {
	// UpstreamRenewed reports an upstream that another daemon confirms until due.
	UpstreamRenewed(n poplar.Announcement, due time.Time)
	// LoadReported reports an upstream's load, received at now.
	LoadReported(l poplar.Load, now time.Time)
	// UpstreamGone reports that no daemon confirms an upstream any more.
	UpstreamGone(name poplar.Upstream)
	// StateChanged reports that the state of a daemon in this domain changed.
	StateChanged(d member.Daemon)
}

// Config configures a Gossip.
type Config struct {
	Member member.Config
	// Secret is the peers' credential. Datagrams are not authenticated if it is
	// empty.
	Secret  string
	Watcher Watcher
	// Drops, when set, reports whether to drop the datagrams to an address.
	Drops func(address string) bool
	Clock poplar.Clock
	Log   *log.Logger
}

// Gossip runs the membership of one daemon. It is safe for concurrent use.
type Gossip struct {
	conf          Config
	view          atomic.Pointer[member.View]
	bytesSent     atomic.Int64
	bytesReceived atomic.Int64
	dropped       atomic.Int64 // datagrams that failed verification or decoding

	mu      sync.Mutex
	machine *member.Machine // invariant: guarded by mu
	conn    *net.UDPConn    // invariant: guarded by mu; nil before Start

	stop context.CancelFunc
	done sync.WaitGroup
}

// New returns a Gossip that is not started.
func New(conf Config) *Gossip {
	g := &Gossip{
		conf: conf, machine: member.New(conf.Member, conf.Clock.Now()),
		stop: func() {},
	}
	g.view.Store(g.machine.View())
	return g
}

// Start opens the port and starts to exchange messages.
func (g *Gossip) Start() error {
	address, err := net.ResolveUDPAddr("udp", g.conf.Member.Address)
	if err != nil {
		return fmt.Errorf("resolve membership address: %w", err)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return fmt.Errorf("open membership port: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	g.mu.Lock()
	g.conn, g.stop = conn, stop
	g.mu.Unlock()
	g.done.Add(2)
	go g.tickLoop(ctx)
	go g.readLoop(conn)
	return nil
}

// Leave announces to the domain that this daemon stops. The exchange of
// messages continues until Stop.
func (g *Gossip) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.send(g.machine.Stop(g.conf.Clock.Now()))
}

// Stop stops the exchange of messages and closes the port.
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

// View returns the latest snapshot.
func (g *Gossip) View() *member.View { return g.view.Load() }

// Bytes returns the numbers of bytes sent and received, without UDP and IP
// headers.
func (g *Gossip) Bytes() (out, in int64) { return g.bytesSent.Load(), g.bytesReceived.Load() }

// Dropped returns the number of datagrams dropped because they failed verification
// or decoding.
func (g *Gossip) Dropped() int64 { return g.dropped.Load() }

// SetVersions sets the revision and epoch in force at this daemon, which are sent to
// the peers.
func (g *Gossip) SetVersions(revision poplar.Revision, epoch poplar.Epoch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.SetVersions(revision, epoch)
}

// SpreadNotice disseminates an upstream's announcement to this daemon.
func (g *Gossip) SpreadNotice(n poplar.Announcement) {
	g.step(func(now time.Time) []member.Envelope { return g.machine.Announce(n, now) })
}

// SpreadLeave disseminates an upstream's leave.
func (g *Gossip) SpreadLeave(l poplar.Leave) {
	g.step(func(now time.Time) []member.Envelope { return g.machine.Leave(l, now) })
}

// SpreadLoad disseminates an upstream's load.
func (g *Gossip) SpreadLoad(l poplar.Load) {
	g.step(func(now time.Time) []member.Envelope {
		g.machine.Load(l, now)
		return nil
	})
}

// Confirmed reports whether a daemon currently confirms an upstream.
func (g *Gossip) Confirmed(name poplar.Upstream) bool {
	for _, u := range g.View().Upstreams {
		if u.Notice.Upstream == name {
			return g.conf.Clock.Now().Before(u.Due)
		}
	}
	return false
}

// step runs one step of the machine, sends the resulting messages and notifies
// the watcher of the changes.
func (g *Gossip) step(advance func(now time.Time) []member.Envelope) {
	now := g.conf.Clock.Now()
	g.mu.Lock()
	g.send(advance(now))
	changes := g.machine.Changes()
	g.view.Store(g.machine.View())
	g.mu.Unlock()
	for _, c := range changes {
		g.notify(c, now)
	}
}

func (g *Gossip) notify(c member.Change, now time.Time) {
	w := g.conf.Watcher
	switch c.Kind {
	case member.UpstreamRenewed:
		w.UpstreamRenewed(c.Notice, c.Due)
	case member.LoadReported:
		w.LoadReported(c.Load, now)
	case member.UpstreamGone:
		w.UpstreamGone(c.Notice.Upstream)
	case member.StateChanged:
		w.StateChanged(c.Daemon)
	}
}

func (g *Gossip) tickLoop(ctx context.Context) {
	defer g.done.Done()
	loops.Tick(ctx, tickPeriod, nil, func(context.Context) { g.step(g.machine.Tick) })
}

func (g *Gossip) readLoop(conn *net.UDPConn) {
	defer g.done.Done()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		g.bytesReceived.Add(int64(n))
		packet, ok := g.verify(buffer[:n])
		if !ok {
			g.dropped.Add(1)
			continue
		}
		g.handlePacket(packet)
	}
}

func (g *Gossip) handlePacket(packet *wire.Packet) {
	g.step(func(now time.Time) []member.Envelope {
		out, err := g.machine.Step(poplar.Daemon(packet.GetFrom()), packet.GetBody(), now)
		if err != nil {
			g.dropped.Add(1)
			g.conf.Log.Debug("dropped a malformed membership message", "from", packet.GetFrom(), "err", err)
		}
		return out
	})
}

// send sends each envelope at most once. The caller holds mu.
func (g *Gossip) send(out []member.Envelope) {
	if g.conn == nil {
		return
	}
	for _, e := range out {
		address, err := net.ResolveUDPAddr("udp", e.Address)
		if err != nil || g.conf.Drops != nil && g.conf.Drops(e.Address) {
			continue
		}
		data := g.encode(e.Data)
		// A later exchange makes up for a lost datagram.
		if n, err := g.conn.WriteToUDP(data, address); err == nil {
			g.bytesSent.Add(int64(n))
		}
	}
}

// encode returns the datagram for a message.
func (g *Gossip) encode(body []byte) []byte {
	data, err := proto.Marshal(&wire.Packet{From: string(g.conf.Member.Name), Body: body})
	if err != nil || g.conf.Secret == "" {
		return data
	}
	return append(data, g.mac(data)...)
}

// verify returns the packet of a datagram if its HMAC is correct, where one is
// required, and the packet can be decoded.
func (g *Gossip) verify(data []byte) (*wire.Packet, bool) {
	if g.conf.Secret != "" {
		if len(data) < macSize {
			return nil, false
		}
		body, mac := data[:len(data)-macSize], data[len(data)-macSize:]
		if !hmac.Equal(mac, g.mac(body)) {
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
