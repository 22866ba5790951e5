package member_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/member"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.steps": "40", "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const step = 50 * time.Millisecond

type packet struct {
	from, to poplar.Daemon
	data     []byte
	machine  *member.Machine // the receiving process
}

// node is one daemon and the upstreams that renew their announcements at it.
type node struct {
	conf      member.Config
	m         *member.Machine
	dead      bool
	paused    time.Time // no ticks before this time
	upstreams map[poplar.Upstream]uint64
}

// net delivers messages with loss, duplicates, delay and partitions.
type net struct {
	t            assert.TestingT
	now          time.Time
	random       *rand.Rand
	loss         float64
	nodes        []*node
	byName       map[poplar.Daemon]*node
	byAddr       map[string]*node
	queue        []packet
	delayed      []packet
	cut          func(a, b *node) bool
	incarnations map[poplar.Upstream]uint64
	renewedAt    map[poplar.Upstream]time.Time // the last renewal that any daemon received
	leftAt       map[poplar.Upstream]time.Time
	seq          uint64
}

func newNet(t assert.TestingT, domains, daemons, upstreams int) *net {
	n := &net{
		t: t, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)),
		byName: map[poplar.Daemon]*node{}, byAddr: map[string]*node{},
		cut:          func(*node, *node) bool { return false },
		incarnations: map[poplar.Upstream]uint64{}, renewedAt: map[poplar.Upstream]time.Time{}, leftAt: map[poplar.Upstream]time.Time{},
	}
	for d := range domains {
		for i := range daemons {
			name := poplar.Daemon(fmt.Sprintf("d%d-%d", d, i))
			x := &node{upstreams: map[poplar.Upstream]uint64{}}
			x.conf = member.Config{
				Name: name, Domain: poplar.Domain(fmt.Sprintf("z%d", d)), Address: "addr-" + string(name),
				Incarnation: 1, Seeds: []string{"addr-d0-0", "addr-d1-0"}, Seed: 7,
			}
			x.m = member.New(x.conf, n.now)
			n.nodes = append(n.nodes, x)
			n.byName[name], n.byAddr[x.conf.Address] = x, x
		}
		for u := range upstreams {
			up := poplar.Upstream(fmt.Sprintf("u%d-%d", d, u))
			n.incarnations[up] = 1
			n.nodes[len(n.nodes)-1-u%daemons].upstreams[up] = 1
		}
	}
	return n
}

func (n *net) send(from *node, out []member.Envelope) {
	for _, e := range out {
		to := n.byName[e.To]
		if to == nil {
			to = n.byAddr[e.Address]
		}
		if to == nil || to.dead || n.cut(from, to) || n.random.Float64() < n.loss {
			continue
		}
		p := packet{from: from.conf.Name, to: to.conf.Name, data: e.Data, machine: to.m}
		n.queue = append(n.queue, p)
		if n.loss > 0 && n.random.IntN(10) == 0 {
			n.delayed = append(n.delayed, p)
		}
	}
}

// notice returns an announcement of an upstream to one of its routers.
func (n *net) notice(x *node, up poplar.Upstream) poplar.Announcement {
	n.seq++
	return poplar.Announcement{
		Stamp: poplar.Stamp{Upstream: up, Incarnation: n.incarnations[up], Sequence: n.seq}, Domain: x.conf.Domain,
		Address: "10.0.0.1:80", Kind: poplar.KindEngine, Models: []poplar.Model{"m"}, Slots: 4,
	}
}

// advance runs the fleet for d; each upstream renews once per second.
func (n *net) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(step)
		n.deliver()
		for i, x := range n.nodes {
			if x.dead || n.now.Before(x.paused) {
				continue
			}
			for _, up := range sorted(x.upstreams) {
				if (n.now.UnixNano()/int64(step)+int64(i))%20 == 0 && x.upstreams[up] == n.incarnations[up] && n.leftAt[up].IsZero() {
					n.send(x, x.m.Announce(n.notice(x, up), n.now))
					n.renewedAt[up] = n.now
				}
			}
			n.send(x, x.m.Tick(n.now))
			x.m.Changes()
			n.check(x)
		}
	}
}

func (n *net) deliver() {
	// Messages that a paused process did not receive are lost: ages do not
	// include the time in transit, so a transport must drop what it could not
	// deliver in time.
	n.delayed = slices.DeleteFunc(n.delayed, func(p packet) bool { return n.now.Before(n.byName[p.to].paused) })
	if len(n.delayed) > 0 && n.random.IntN(20) == 0 {
		n.queue = append(n.queue, n.delayed[n.random.IntN(len(n.delayed))])
	}
	queue := n.queue
	n.queue = nil
	n.random.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
	for _, p := range queue {
		x := n.byName[p.to]
		if x.dead || n.now.Before(x.paused) || p.machine != x.m {
			continue
		}
		out, err := x.m.Step(p.from, p.data, n.now)
		assert.NilError(n.t, err)
		n.send(x, out)
	}
}

// check asserts rule P6 at one daemon: no upstream is offered more than 3 s
// after its last renewal or its leave. The delay in transit, at most one step,
// comes on top.
func (n *net) check(x *node) {
	for _, u := range x.m.View().Upstreams {
		up := u.Notice.Upstream
		since := n.now.Sub(n.renewedAt[up])
		assert.Assert(n.t, since <= member.RenewalTimeout+2*step, "%s offers %s, renewed %v ago", x.conf.Name, up, since)
		if at, ok := n.leftAt[up]; ok && u.Notice.Incarnation == n.incarnations[up] && !at.IsZero() {
			assert.Assert(n.t, n.now.Sub(at) <= member.RenewalTimeout+2*step, "%s offers %s, which left %v ago", x.conf.Name, up, n.now.Sub(at))
		}
	}
}

func sorted[V any](m map[poplar.Upstream]V) []poplar.Upstream {
	var out []poplar.Upstream
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// offered returns the number of upstreams of the domain that x may give work
// to.
func offered(x *node, domain poplar.Domain) int {
	count := 0
	for _, u := range x.m.View().Upstreams {
		if u.Notice.Domain == domain {
			count++
		}
	}
	return count
}
