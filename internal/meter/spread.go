package meter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/member"
)

// This file holds the measurement of membership: bytes, and the time until a
// leave is known, at the size of one domain in two years.

var _ = Add("spread", Spread)

// The size and the targets.
const (
	spreadDomains   = 4 // the own one and as many as exchange with it
	spreadDaemons   = 30
	spreadUpstreams = 85
	spreadStep      = 20 * time.Millisecond
	spreadTarget    = 3000 // bytes a second and daemon
	spreadLeave     = 3.0  // seconds
	// spreadHeader is the IPv4 and UDP header of a datagram in bytes.
	spreadHeader = 28
	// spreadLook is the number of steps between two looks at the views.
	spreadLook = 10
	// spreadSkew is the largest difference between two clocks.
	spreadSkew = time.Second
)

// spreadNode is one daemon.
type spreadNode struct {
	name     poplar.Daemon
	domain   int
	machine  *member.Machine
	skew     time.Duration
	sent     int
	received int
	messages int
	dead     bool
	ups      []poplar.Upstream
}

// spreadNet is the fleet with a network that delays and loses.
type spreadNet struct {
	now    time.Time
	loss   float64
	random *rand.Rand
	nodes  []*spreadNode
	byName map[poplar.Daemon]*spreadNode
	queue  []spreadPacket
	seq    uint64
	gone   map[poplar.Upstream]bool
}

type spreadPacket struct {
	from, to *spreadNode
	data     []byte
}

// newSpreadNet returns a fleet of domains with as many daemons and upstreams
// each.
func newSpreadNet(domains, daemons, upstreams int, loss float64, seed uint64) *spreadNet {
	n := &spreadNet{
		now: time.Unix(1_000_000_000, 0), loss: loss, random: rand.New(rand.NewPCG(seed, 1)),
		byName: map[poplar.Daemon]*spreadNode{}, gone: map[poplar.Upstream]bool{},
	}
	for d := range domains {
		for i := range daemons {
			x := &spreadNode{
				name: poplar.Daemon(fmt.Sprintf("vm-%d-%d", d, i)), domain: d,
				skew: time.Duration(n.random.Int64N(int64(spreadSkew))),
			}
			x.machine = member.New(member.Config{
				Name: x.name, Domain: poplar.Domain(fmt.Sprintf("zone-%d", d)), Address: string(x.name), Incarnation: 1,
				Seeds: []string{"vm-0-0", "vm-1-0"}, Seed: seed,
			}, n.now.Add(x.skew))
			n.nodes = append(n.nodes, x)
			n.byName[x.name] = x
		}
		for u := range upstreams {
			x := n.nodes[len(n.nodes)-1-u%daemons]
			x.ups = append(x.ups, poplar.Upstream(fmt.Sprintf("engine-%d-%d", d, u)))
		}
	}
	return n
}

func (n *spreadNet) send(from *spreadNode, out []member.Envelope) {
	for _, e := range out {
		to := n.byName[e.To]
		if to == nil {
			to = n.byName[poplar.Daemon(e.Address)]
		}
		from.sent += len(e.Data) + spreadHeader
		from.messages++
		if to == nil || n.random.Float64() < n.loss {
			continue
		}
		n.queue = append(n.queue, spreadPacket{from: from, to: to, data: e.Data})
	}
}

// advance runs the fleet; each upstream renews and reports its load once a
// second.
func (n *spreadNet) advance(d time.Duration, each func()) error {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(spreadStep)
		queue := n.queue
		n.queue = nil
		for _, p := range queue {
			if p.to.dead {
				continue
			}
			p.to.received += len(p.data) + spreadHeader
			out, err := p.to.machine.Step(p.from.name, p.data, n.now.Add(p.to.skew))
			if err != nil {
				return err
			}
			n.send(p.to, out)
		}
		for i, x := range n.nodes {
			if x.dead {
				continue
			}
			now := n.now.Add(x.skew)
			if (n.now.UnixNano()/int64(spreadStep)+int64(i))%50 == 0 {
				n.renew(x, now)
			}
			n.send(x, x.machine.Tick(now))
			x.machine.Changes()
		}
		if each != nil {
			each()
		}
	}
	return nil
}

func (n *spreadNet) renew(x *spreadNode, now time.Time) {
	for _, up := range x.ups {
		if n.gone[up] {
			continue
		}
		n.seq++
		stamp := poplar.Stamp{Upstream: up, Incarnation: 1, Sequence: n.seq}
		domain := poplar.Domain(fmt.Sprintf("zone-%d", x.domain))
		n.send(x, x.machine.Announce(poplar.Announcement{
			Stamp: stamp, Domain: domain, Address: "10.20.30.40:8000", Kind: poplar.KindEngine,
			Models: []poplar.Model{"bulletin-70b", "brief-8b"}, Slots: 64, Resume: true, Fenced: true,
		}, now))
		x.machine.Load(poplar.Load{
			Stamp:   stamp,
			Running: [poplar.Ranks]int{n.random.IntN(20), n.random.IntN(20), n.random.IntN(20)},
			Waiting: [poplar.Ranks]int{0, n.random.IntN(4), n.random.IntN(30)}, PendingPrefill: poplar.Tokens(n.random.IntN(100_000)),
		}, now)
	}
}

// knows returns how many upstreams of its own domain a daemon may give work to.
func (x *spreadNode) knows() int {
	count := 0
	for _, u := range x.machine.View().Upstreams {
		if u.Notice.Domain == poplar.Domain(fmt.Sprintf("zone-%d", x.domain)) {
			count++
		}
	}
	return count
}

// offers reports whether a daemon may give work to an upstream.
func (x *spreadNode) offers(up poplar.Upstream) bool {
	for _, u := range x.machine.View().Upstreams {
		if u.Notice.Upstream == up {
			return true
		}
	}
	return false
}

func (n *spreadNet) anyOffers(up poplar.Upstream) bool {
	for _, x := range n.nodes {
		if !x.dead && x.offers(up) {
			return true
		}
	}
	return false
}

// missing sums up over the daemons the upstreams, of those that serve, that one
// does not offer.
func (n *spreadNet) missing(serve int) int {
	sum := 0
	for _, x := range n.nodes {
		if !x.dead {
			sum += max(0, serve-x.knows())
		}
	}
	return sum
}

// Spread measures membership.
func Spread(ctx context.Context, out *Sheet) error {
	if err := spreadBytes(out); err != nil {
		return err
	}
	if err := spreadDeath(out); err != nil {
		return err
	}
	for _, loss := range []float64{0, 0.2} {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := spreadLeaves(out, loss); err != nil {
			return err
		}
	}
	return nil
}

const (
	// spreadWarm is the time after which every daemon knows every other.
	spreadWarm = 15 * time.Second
	// spreadCalm is the time after which a daemon has ceased to look for others.
	spreadCalm = 65 * time.Second
)

func spreadBytes(out *Sheet) error {
	n := newSpreadNet(spreadDomains, spreadDaemons, spreadUpstreams, 0, 1)
	if err := n.advance(spreadCalm, nil); err != nil {
		return err
	}
	for _, x := range n.nodes {
		x.sent, x.received, x.messages = 0, 0, 0
	}
	const window = 10
	begin := time.Now()
	if err := n.advance(window*time.Second, nil); err != nil {
		return err
	}
	busy := time.Since(begin)
	var sent, received, messages, most int
	for _, x := range n.nodes {
		sent += x.sent
		received += x.received
		messages += x.messages
		most = max(most, x.sent+x.received)
	}
	all := float64(len(n.nodes) * window)
	out.Note("messages sent a second and daemon", float64(messages)/all, "1/s")
	out.Note("bytes sent a second and daemon, headers included", float64(sent)/all, "B/s")
	out.Note("bytes received a second and daemon, headers included", float64(received)/all, "B/s")
	out.AtMost("bytes sent and received a second and daemon, mean", float64(sent+received)/all, "B/s", spreadTarget)
	out.Note("bytes sent and received a second and daemon, highest", float64(most)/window, "B/s")
	out.Note("processor time of a daemon, network of the measurement included", 100*busy.Seconds()/all, "%")
	return nil
}

// spreadDeath lets a daemon die whose upstreams have moved elsewhere, and looks
// for other upstreams that routers do not offer until it is held for dead.
func spreadDeath(out *Sheet) error {
	n := newSpreadNet(1, spreadDaemons, spreadUpstreams, 0, 3)
	if err := n.advance(spreadWarm, nil); err != nil {
		return err
	}
	x := n.nodes[4]
	x.dead = true
	steps, missing, looks := 0, 0, 0
	serve := spreadUpstreams - len(x.ups)
	err := n.advance(member.DeadTimeout+2*time.Second, func() {
		if steps++; steps%spreadLook == 0 {
			missing += n.missing(serve)
			looks += (spreadDaemons - 1) * serve
		}
	})
	out.Note("upstreams of others that a router does not offer after a daemon's death", 100*float64(missing)/float64(looks), "%")
	return err
}

// spreadLeaves lets upstreams leave one after the other.
func spreadLeaves(out *Sheet, loss float64) error {
	n := newSpreadNet(1, spreadDaemons, spreadUpstreams, loss, 2)
	if err := n.advance(spreadWarm, nil); err != nil {
		return err
	}
	worst, total, missing, looks := 0.0, 0.0, 0, 0
	const leaves = 10
	for i := range leaves {
		at := n.nodes[(i*7)%spreadDaemons]
		other := n.nodes[(i*11+5)%spreadDaemons]
		up := at.ups[0]
		n.gone[up] = true
		begin, known := n.now, time.Time{}
		// The leave arrives at another daemon than the owner.
		n.send(other, other.machine.Leave(poplar.Leave{Stamp: poplar.Stamp{Upstream: up, Incarnation: 1, Sequence: n.seq + 1}}, n.now.Add(other.skew)))
		steps := 0
		err := n.advance(4*time.Second, func() {
			if known.IsZero() && !n.anyOffers(up) {
				known = n.now
			}
			if steps++; steps%spreadLook == 0 {
				missing += n.missing(spreadUpstreams - len(n.gone))
				looks += spreadDaemons * (spreadUpstreams - len(n.gone))
			}
		})
		if err != nil {
			return err
		}
		if known.IsZero() {
			known = n.now
		}
		worst = max(worst, known.Sub(begin).Seconds())
		total += known.Sub(begin).Seconds()
	}
	out.Note(fmt.Sprintf("time until a leave is known everywhere, %g%% loss, mean", 100*loss), total/leaves, "s")
	out.AtMost(fmt.Sprintf("time until a leave is known everywhere, %g%% loss, worst", 100*loss), worst, "s", spreadLeave)
	out.Note(fmt.Sprintf("upstreams that a router does not offer although they serve, %g%% loss", 100*loss), 100*float64(missing)/float64(looks), "%")
	return nil
}
