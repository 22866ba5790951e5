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
	machine  *member.Machine // the process that it is meant for
}

// node is one daemon with the upstreams that renew at it.
type node struct {
	conf   member.Config
	m      *member.Machine
	dead   bool
	paused time.Time // ticks rest until then
	ups    map[poplar.Upstream]uint64
}

// net delivers messages with loss, duplicates, delay and cuts.
type net struct {
	t      assert.TestingT
	now    time.Time
	random *rand.Rand
	loss   float64
	nodes  []*node
	byName map[poplar.Daemon]*node
	byAddr map[string]*node
	queue  []packet
	old    []packet
	cut    func(a, b *node) bool
	lives  map[poplar.Upstream]uint64
	last   map[poplar.Upstream]time.Time // the last renewal that anybody took
	left   map[poplar.Upstream]time.Time
	seq    uint64
}

func newNet(t assert.TestingT, domains, daemons, upstreams int) *net {
	n := &net{
		t: t, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)),
		byName: map[poplar.Daemon]*node{}, byAddr: map[string]*node{},
		cut:   func(*node, *node) bool { return false },
		lives: map[poplar.Upstream]uint64{}, last: map[poplar.Upstream]time.Time{}, left: map[poplar.Upstream]time.Time{},
	}
	for d := range domains {
		for i := range daemons {
			name := poplar.Daemon(fmt.Sprintf("d%d-%d", d, i))
			x := &node{ups: map[poplar.Upstream]uint64{}}
			x.conf = member.Config{
				Name: name, Domain: poplar.Domain(fmt.Sprintf("z%d", d)), Address: "addr-" + string(name),
				Life: 1, Seeds: []string{"addr-d0-0", "addr-d1-0"}, Seed: 7,
			}
			x.m = member.New(x.conf, n.now)
			n.nodes = append(n.nodes, x)
			n.byName[name], n.byAddr[x.conf.Address] = x, x
		}
		for u := range upstreams {
			up := poplar.Upstream(fmt.Sprintf("u%d-%d", d, u))
			n.lives[up] = 1
			n.nodes[len(n.nodes)-1-u%daemons].ups[up] = 1
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
			n.old = append(n.old, p)
		}
	}
}

// notice is the announcement of an upstream to one of its routers.
func (n *net) notice(x *node, up poplar.Upstream) poplar.Announcement {
	n.seq++
	return poplar.Announcement{
		Stamp: poplar.Stamp{Upstream: up, Incarnation: n.lives[up], Sequence: n.seq}, Domain: x.conf.Domain,
		Address: "10.0.0.1:80", Kind: poplar.KindEngine, Models: []poplar.Model{"m"}, Slots: 4,
	}
}

// advance runs the fleet; each upstream renews once a second.
func (n *net) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(step)
		n.deliver()
		for i, x := range n.nodes {
			if x.dead || n.now.Before(x.paused) {
				continue
			}
			for _, up := range sorted(x.ups) {
				if (n.now.UnixNano()/int64(step)+int64(i))%20 == 0 && x.ups[up] == n.lives[up] && n.left[up].IsZero() {
					n.send(x, x.m.Announce(n.notice(x, up), n.now))
					n.last[up] = n.now
				}
			}
			n.send(x, x.m.Tick(n.now))
			x.m.Changes()
			n.check(x)
		}
	}
}

func (n *net) deliver() {
	// What a paused process did not take is lost: ages do not count the time on
	// the way, so a transport must drop what it could not deliver in time.
	n.old = slices.DeleteFunc(n.old, func(p packet) bool { return n.now.Before(n.byName[p.to].paused) })
	if len(n.old) > 0 && n.random.IntN(20) == 0 {
		n.queue = append(n.queue, n.old[n.random.IntN(len(n.old))])
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

// check asserts rule P6 at one daemon: no upstream is offered 3 s after its last
// renewal or its leave. Delays on the way, at most a step, come on top.
func (n *net) check(x *node) {
	for _, u := range x.m.View().Upstreams {
		up := u.Notice.Upstream
		since := n.now.Sub(n.last[up])
		assert.Assert(n.t, since <= member.RenewWithin+2*step, "%s offers %s, renewed %v ago", x.conf.Name, up, since)
		if at, ok := n.left[up]; ok && u.Notice.Incarnation == n.lives[up] && !at.IsZero() {
			assert.Assert(n.t, n.now.Sub(at) <= member.RenewWithin+2*step, "%s offers %s, which left %v ago", x.conf.Name, up, n.now.Sub(at))
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

// offered returns how many upstreams of the domain x may give work to.
func offered(x *node, domain poplar.Domain) int {
	count := 0
	for _, u := range x.m.View().Upstreams {
		if u.Notice.Domain == domain {
			count++
		}
	}
	return count
}
