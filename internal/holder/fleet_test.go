package holder_test

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/ledger"
)

// A fleet for tests: replicas with in-memory data folders, a clock that the test
// advances, and a network that the test cuts.

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}

type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// node is one daemon with its data folder.
type node struct {
	name   poplar.Daemon
	domain poplar.Domain
	disk   uint64
	files  *disk.Memory
	holder *holder.Replica
}

// fleet is a set of daemons and the network between them.
type fleet struct {
	t           testing.TB
	clock       *clock
	limits      claim.Limits
	compact     int64
	alone       time.Duration
	mu          sync.Mutex
	nodes       map[poplar.Daemon]*node          // guarded by mu
	primary     map[poplar.Domain]poplar.Daemon  // guarded by mu
	cut         map[[2]string]bool               // guarded by mu; pairs of daemons or domains
	messageFate func(kind string, to string) int // guarded by mu; loseCall, loseReply, double
	domains     []poplar.Domain
}

// The fates of a message.
const (
	deliverOnce = iota
	loseCall
	loseReply
	deliverTwice
)

func newFleet(t testing.TB, domains ...poplar.Domain) *fleet {
	f := &fleet{
		t: t, clock: &clock{now: time.UnixMilli(1_700_000_000_000)}, limits: claim.DefaultLimits,
		nodes: map[poplar.Daemon]*node{}, primary: map[poplar.Domain]poplar.Daemon{},
		cut: map[[2]string]bool{}, domains: domains,
	}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.holder != nil {
			_ = n.holder.Close()
		}
	}
}

// start opens the data folder of a daemon and starts its replica. A new daemon
// name gets an empty folder.
func (f *fleet) start(name poplar.Daemon, domain poplar.Domain) (*node, error) {
	f.mu.Lock()
	n := f.nodes[name]
	if n == nil {
		n = &node{name: name, domain: domain, disk: uint64(len(f.nodes) + 1), files: disk.NewMemory()}
		f.nodes[name] = n
	}
	f.mu.Unlock()
	journal, recovered, err := disk.Open(n.files, "ledger")
	if err != nil {
		return n, err
	}
	h, err := holder.Start(holder.Config{
		Domain: domain, Self: name, Disk: n.disk, Journal: journal,
		Snapshot: recovered.Snapshot(), Records: recovered.Records(),
		Clock: f.clock, Peers: wire{f, n}, Timeout: 200 * time.Millisecond, Limits: f.limits,
		Compact: f.compact, LogTimeout: f.alone,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	n.holder = h
	return n, err
}

func (f *fleet) mustStart(name poplar.Daemon, domain poplar.Domain) *node {
	n, err := f.start(name, domain)
	assert.NilError(f.t, err)
	return n
}

// crash stops the daemon and drops the data that it did not sync.
func (f *fleet) crash(n *node, seed uint64) {
	n.files.FailAt(1, disk.FaultStop)
	_ = n.holder.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	n.holder = nil
	n.files.Crash(seed)
}

// pair returns a ledger pair as the log would name it; backup may be nil.
func (f *fleet) pair(epoch poplar.Epoch, primary, backup *node) holder.Pair {
	pair := holder.Pair{Epoch: epoch, Primary: holder.Member{Name: primary.name, Disk: primary.disk}}
	if backup != nil {
		pair.Backup = holder.Member{Name: backup.name, Disk: backup.disk}
	}
	f.mu.Lock()
	f.primary[primary.domain] = primary.name
	f.mu.Unlock()
	return pair
}

func (f *fleet) follow(n *node, pair holder.Pair, shares ...ledger.Share) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.NilError(f.t, n.holder.Follow(ctx, holder.Update{Pair: pair, Shares: shares, Domains: f.domains}))
}

// startAlone starts a primary without a backup, with tokens of budget "b".
func (f *fleet) startAlone(name poplar.Daemon, domain poplar.Domain, tokens poplar.Tokens) *node {
	n := f.mustStart(name, domain)
	f.follow(n, f.pair(1, n, nil), ledger.Share{Budget: "b", Serial: 1, Issued: tokens})
	return n
}

// startPair starts a pair of daemons in a domain, with tokens of budget "b".
func (f *fleet) startPair(a, b poplar.Daemon, domain poplar.Domain, tokens poplar.Tokens) (*node, *node) {
	x, y := f.mustStart(a, domain), f.mustStart(b, domain)
	pair := f.pair(1, x, y)
	f.follow(y, pair)
	f.follow(x, pair, ledger.Share{Budget: "b", Serial: 1, Issued: tokens})
	return x, y
}

func (f *fleet) setCut(a, b string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{a, b}] = cut
	f.cut[[2]string{b, a}] = cut
}

// reach returns the replica at to and the fate of the message, which is loseCall
// when the network is cut.
func (f *fleet) reach(from *node, kind string, to poplar.Daemon) (*holder.Replica, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[to]
	if n == nil || n.holder == nil ||
		f.cut[[2]string{string(from.name), string(to)}] || f.cut[[2]string{string(from.domain), string(n.domain)}] {
		return nil, loseCall
	}
	if f.messageFate == nil {
		return n.holder, deliverOnce
	}
	return n.holder, f.messageFate(kind, string(to))
}

// wire is the network as one daemon sees it.
type wire struct {
	fleet *fleet
	self  *node
}

var _ holder.Peers = wire{}

func lostMessage(to string) error {
	return poplar.Failf(poplar.StepPeer, poplar.CodeUnreachable, "the message is lost").At(to)
}

func deliver[R any](w wire, kind string, to poplar.Daemon, call func(*holder.Replica) (R, error)) (R, error) {
	var none R
	h, fate := w.fleet.reach(w.self, kind, to)
	if fate == loseCall {
		return none, lostMessage(string(to))
	}
	reply, err := call(h)
	switch fate {
	case loseReply:
		return none, lostMessage(string(to))
	case deliverTwice:
		return call(h)
	}
	return reply, err
}

func (w wire) to(domain poplar.Domain) poplar.Daemon {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fleet.primary[domain]
}

func (w wire) Copy(ctx context.Context, to poplar.Daemon, r ledger.CopyRequest) (ledger.CopyReply, error) {
	return deliver(w, "copy", to, func(h *holder.Replica) (ledger.CopyReply, error) { return h.ServeCopy(ctx, r) })
}

func (w wire) Claim(ctx context.Context, home poplar.Domain, r ledger.ClaimBatch) (ledger.ClaimBatchReply, error) {
	return deliver(w, "claim", w.to(home), func(h *holder.Replica) (ledger.ClaimBatchReply, error) { return h.ServeClaim(ctx, r) })
}

func (w wire) Forward(ctx context.Context, domain poplar.Domain, call holder.Call) (poplar.Grant, error) {
	return deliver(w, "forward", w.to(domain), func(h *holder.Replica) (poplar.Grant, error) { return h.ServeForward(ctx, call) })
}

// ask returns an ask for 10 tokens of budget "b".
func ask(key poplar.Key, router poplar.Daemon) poplar.ReserveRequest {
	return poplar.ReserveRequest{
		Workspace: "w", Budget: "b", Caller: "c", Key: key, Keyed: true, Digest: 7, MaxTokens: 10, Idempotent: true,
		Router: router, Upstream: "u",
	}
}

func nonIdempotent(key poplar.Key, router poplar.Daemon) poplar.ReserveRequest {
	a := ask(key, router)
	a.Idempotent = false
	return a
}

func completed(key poplar.Key, attempt poplar.Attempt, spent poplar.Tokens) poplar.Settlement {
	return poplar.Settlement{
		Workspace: "w", Key: key, Attempt: attempt, Outcome: poplar.OutcomeDone, Spent: spent, Response: []byte("answer " + key),
	}
}

// shortContext returns a context that ends before a blocked ledger answers.
func shortContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func run(t testing.TB, n *node, a poplar.ReserveRequest) poplar.Grant {
	t.Helper()
	grant, err := n.holder.Reserve(context.Background(), a)
	assert.NilError(t, err)
	assert.Equal(t, grant.Verdict, poplar.VerdictRun)
	return grant
}

func settle(t testing.TB, n *node, s poplar.Settlement) {
	t.Helper()
	assert.NilError(t, n.holder.Settle(context.Background(), s))
}

func share(n *node) holder.ShareStatus {
	s, _ := n.holder.Share("b")
	return s
}

func assertCode(t testing.TB, err error, want poplar.Code) {
	t.Helper()
	assert.Assert(t, err != nil, "want %s", want)
	assert.Equal(t, poplar.CodeOf(err), want, "%v", err)
}
