package quorum

import (
	"encoding/json"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"poplarbend.example/poplar"
)

// This file implements a simulated cluster and its invariants. The network loses,
// delays, duplicates and reorders messages and can be partitioned. The disks lose
// writes that are not synced.

// TestMain runs the property tests with seed 1 when -rapid.seed is 0, its default.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

const tick = 10 * time.Millisecond

// reporter is the common part of testing.T and rapid.T.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
	assert.TestingT
}

// host is one member with its disk and its state machine.
type host struct {
	machine   *Machine // nil while down
	self      Member
	disk      RecoveredState // durable state
	writes    []Ready        // batches that are not durable yet
	syncAt    []time.Time    // times at which the batches in writes become durable
	clockSkew time.Duration

	applied       poplar.Index
	stateHash     uint64 // hash chain of the applied commands
	value         string // data of the last applied command
	pendingWrites map[poplar.Index]*clientCall
	pendingReads  map[uint64]*clientCall
}

// clientCall is an operation of a client.
type clientCall struct {
	client  int
	term    poplar.Term
	index   poplar.Index
	op      op
	start   int64
	finish  int64 // 0 while it is pending
	unknown bool  // whether the outcome is unknown
}

// op is a write of value, or a read that returned value.
type op struct {
	read  bool
	value string
}

// packet is a message on its way through the simulated network.
type packet struct {
	deliverAt time.Time
	msg       Message
}

// cluster is a simulated cluster and the history that its checks need.
type cluster struct {
	t               reporter
	rng             *rand.Rand
	now             time.Time
	hosts           map[Member]*host
	order           []Member // the members in the order in which they are run
	network         []packet
	cut             map[[2]poplar.Daemon]bool // links, from sender to receiver, that drop all messages
	lossy           bool                      // whether messages are lost, delayed, duplicated and reordered
	maxSyncDelay    time.Duration             // maximum duration of a sync
	retainedEntries int
	lastIncarnation uint64
	lastTimestamp   int
	calls           []*clientCall
	leaders         map[poplar.Term]Member  // the leader of each term
	committed       map[poplar.Index]Entry  // entries that any member has applied
	stateHashes     map[poplar.Index]uint64 // state hash after each applied entry
	lastCommitted   poplar.Index
	traffic         map[Member]int // bytes sent and received by each member; not counted when nil
}

func newCluster(t reporter, seed uint64, names ...poplar.Daemon) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		hosts: map[Member]*host{}, cut: map[[2]poplar.Daemon]bool{}, maxSyncDelay: 30 * time.Millisecond, retainedEntries: 8,
		leaders: map[poplar.Term]Member{}, committed: map[poplar.Index]Entry{}, stateHashes: map[poplar.Index]uint64{},
	}
	var founders []Member
	for i, n := range names {
		founders = append(founders, Member{n, uint64(i + 1)})
	}
	c.lastIncarnation = uint64(len(names))
	for _, f := range founders {
		c.add(f, RecoveredState{Snapshot: Snapshot{Members: NewMembers(founders...)}})
	}
	return c
}

func (c *cluster) add(self Member, disk RecoveredState) *host {
	h := &host{self: self, disk: disk}
	c.hosts[self] = h
	c.order = append(c.order, self)
	c.start(h)
	return h
}

func (c *cluster) config(self Member) Config {
	return Config{
		Self: self, Cluster: 7, HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 200 * time.Millisecond,
		Seed: c.rng.Uint64(), MaxMessageSize: 200, MaxInflight: 3, ChunkSize: 16, RetainedEntries: c.retainedEntries, MaxUncommitted: 2000,
	}
}

func (c *cluster) start(h *host) {
	h.machine = New(c.config(h.self), h.disk, c.now.Add(h.clockSkew))
	h.pendingWrites, h.pendingReads = map[poplar.Index]*clientCall{}, map[uint64]*clientCall{}
	h.restore(h.disk.Snapshot)
}

// restore sets the hash chain and the value of the state machine to a snapshot.
func (h *host) restore(s Snapshot) {
	h.applied, h.stateHash, h.value = s.Index, 0, ""
	if len(s.Data) > 0 {
		_, _ = fmt.Sscanf(string(s.Data), "%d %q", &h.stateHash, &h.value)
	}
}

// crash stops a member, which loses its writes that are not durable. The outcome
// of its pending calls stays unknown.
func (c *cluster) crash(h *host) {
	h.machine, h.writes, h.syncAt = nil, nil, nil
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tick)
		c.deliver()
		for _, id := range c.order {
			if h := c.hosts[id]; h.machine != nil {
				h.machine.Tick(c.now.Add(h.clockSkew))
				c.sync(h)
				c.processReady(h)
			}
		}
		c.checkLeaders()
	}
}

func (c *cluster) deliver() {
	packets := c.network
	c.network = nil
	for _, p := range packets {
		h := c.hosts[p.msg.To]
		switch {
		case p.deliverAt.After(c.now):
			c.network = append(c.network, p)
		case c.cut[[2]poplar.Daemon{p.msg.From.Name, p.msg.To.Name}] || h == nil || h.machine == nil:
		default:
			h.machine.Step(p.msg, c.now.Add(h.clockSkew))
			c.processReady(h)
		}
	}
}

// sync makes the batches durable whose sync delay has passed.
func (c *cluster) sync(h *host) {
	for len(h.syncAt) > 0 && !h.syncAt[0].After(c.now) {
		r := h.writes[0]
		h.writes, h.syncAt = h.writes[1:], h.syncAt[1:]
		h.persist(r)
		h.machine.Persisted(r.Batch())
	}
}

func (h *host) persist(r Ready) {
	h.disk.Hard = r.Hard()
	if s := r.Snapshot(); s != nil && s.Index > h.disk.Snapshot.Index {
		h.disk.Snapshot = *s
		h.disk.Entries = nil
	}
	h.disk.Entries = mergeEntries(h.disk.Snapshot.Index, h.disk.Entries, r.Entries())
}

// mergeEntries replaces the persisted entries from the index of the first added
// entry on. Entries up to the index base are part of the snapshot.
func mergeEntries(base poplar.Index, old, added []Entry) []Entry {
	for len(added) > 0 && added[0].Index <= base {
		added = added[1:]
	}
	if len(added) == 0 {
		return old
	}
	return slices.Concat(old[:added[0].Index-base-1], added)
}

// processReady handles the output of a machine.
func (c *cluster) processReady(h *host) {
	r := h.machine.Ready()
	for _, msg := range r.Messages() {
		c.send(msg)
	}
	if r.Batch() > 0 {
		h.writes = append(h.writes, r)
		h.syncAt = append(h.syncAt, c.now.Add(time.Duration(c.rng.Int64N(int64(c.maxSyncDelay)))))
		slices.SortFunc(h.syncAt, time.Time.Compare)
	}
	if s := r.Snapshot(); s != nil {
		h.restore(*s)
		h.pendingWrites = map[poplar.Index]*clientCall{}
	}
	for _, e := range r.Committed() {
		c.apply(h, e)
	}
	for _, read := range r.Reads() {
		if call := h.pendingReads[read.ID]; call != nil {
			call.index = read.Index
		}
	}
	for id, call := range h.pendingReads {
		if call.index > 0 && h.applied >= call.index {
			call.op.value, call.finish, call.unknown = h.value, c.nextTimestamp(), false
			delete(h.pendingReads, id)
		}
	}
}

func (c *cluster) send(msg Message) {
	if c.traffic != nil {
		data, _ := json.Marshal(msg)
		c.traffic[msg.From] += len(data)
		c.traffic[msg.To] += len(data)
	}
	copies := 1
	if c.lossy {
		copies = []int{0, 1, 1, 1, 1, 2}[c.rng.IntN(6)]
	}
	for range copies {
		delay := tick
		if c.lossy {
			delay = time.Duration(c.rng.Int64N(int64(8 * tick)))
		}
		c.network = append(c.network, packet{c.now.Add(delay), msg})
	}
}

// nextTimestamp returns a strictly increasing time for the history of client
// operations.
func (c *cluster) nextTimestamp() int64 {
	c.lastTimestamp++
	return int64(c.lastTimestamp)
}

// apply applies an entry and checks that all members apply the same entries and
// reach the same state.
func (c *cluster) apply(h *host, e Entry) {
	c.t.Helper()
	assert.Equal(c.t, e.Index, h.applied+1)
	h.applied = e.Index
	if known, ok := c.committed[e.Index]; ok {
		assert.DeepEqual(c.t, known, e)
	} else {
		c.committed[e.Index] = e
		c.lastCommitted = max(c.lastCommitted, e.Index)
	}
	if e.Kind == KindCommand {
		hash := fnv.New64a()
		fmt.Fprint(hash, h.stateHash, string(e.Data))
		h.stateHash, h.value = hash.Sum64(), string(e.Data)
	}
	if sum, ok := c.stateHashes[e.Index]; ok {
		assert.Equal(c.t, sum, h.stateHash)
	}
	c.stateHashes[e.Index] = h.stateHash
	if call := h.pendingWrites[e.Index]; call != nil {
		delete(h.pendingWrites, e.Index)
		if call.term == e.Term {
			call.finish, call.unknown = c.nextTimestamp(), false
		}
	}
}

// checkLeaders checks that each term has at most one leader, and that each new
// leader has all committed entries.
func (c *cluster) checkLeaders() {
	c.t.Helper()
	for _, id := range c.order {
		m := c.hosts[id].machine
		if m == nil || m.Role() != RoleLeader {
			continue
		}
		known, ok := c.leaders[m.Term()]
		if ok && known != id {
			c.t.Fatalf("both %v and %v are leaders in term %d", known, id, m.Term())
		}
		if !ok {
			c.leaders[m.Term()] = id
			c.checkLeaderCompleteness(m)
		}
	}
}

// checkLeaderCompleteness checks that a new leader has every entry that any member
// has applied. It skips a leader whose term is older than that of another leader,
// since such a leader may lack later entries.
func (c *cluster) checkLeaderCompleteness(m *Machine) {
	for term := range c.leaders {
		if term > m.Term() {
			return
		}
	}
	for index := m.log.base + 1; index <= c.lastCommitted; index++ {
		term, ok := m.log.term(index)
		if !ok || term != c.committed[index].Term {
			c.t.Fatalf("leader %v of term %d lacks committed entry %d", m.config.Self, m.Term(), index)
		}
	}
}

// checkLogMatching checks the log matching property between all pairs of members.
func (c *cluster) checkLogMatching() {
	c.t.Helper()
	for _, a := range c.order {
		for _, b := range c.order {
			x, y := c.hosts[a].machine, c.hosts[b].machine
			if x == nil || y == nil || a == b {
				continue
			}
			matched := false
			for index := min(x.log.last(), y.log.last()); index > max(x.log.base, y.log.base); index-- {
				p, q := x.log.list[index-x.log.base-1], y.log.list[index-y.log.base-1]
				if matched || p.Term == q.Term {
					matched = true
					assert.DeepEqual(c.t, p, q)
				}
			}
		}
	}
}

// leader returns the leader with the highest term, or nil when there is none.
func (c *cluster) leader() *host {
	var best *host
	for _, id := range c.order {
		h := c.hosts[id]
		if h.machine != nil && h.machine.Role() == RoleLeader && (best == nil || h.machine.Term() > best.machine.Term()) {
			best = h
		}
	}
	return best
}

// waitFor runs the cluster until condition returns true, for at most 30 s of
// simulated time.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		c.run(tick)
	}
	c.t.Fatalf("%s: condition not met within 30 s", what)
}

// write starts a write at a host. It returns nil when the host refuses it.
func (c *cluster) write(h *host) *clientCall {
	call := &clientCall{client: len(c.calls), start: c.nextTimestamp(), unknown: true, op: op{value: fmt.Sprint("v", len(c.calls))}}
	index, term, err := h.machine.Propose([]byte(call.op.value))
	if err != nil {
		return nil
	}
	call.index, call.term = index, term
	h.pendingWrites[index] = call
	c.calls = append(c.calls, call)
	c.processReady(h)
	return call
}

// read starts a linearizable read at a host. It returns nil when the host refuses
// it.
func (c *cluster) read(h *host) *clientCall {
	call := &clientCall{client: len(c.calls), start: c.nextTimestamp(), unknown: true, op: op{read: true}}
	if h.machine.Read(uint64(call.start)) != nil {
		return nil
	}
	h.pendingReads[uint64(call.start)] = call
	c.calls = append(c.calls, call)
	c.processReady(h)
	return call
}

// commitWrite writes until a write commits, and returns the leader that committed
// it.
func (c *cluster) commitWrite() *host {
	c.t.Helper()
	var call *clientCall
	var l *host
	c.waitFor("a write commits", func() bool {
		if next := c.leader(); call == nil || next != l {
			l, call = next, nil
			if l != nil {
				call = c.write(l)
			}
		}
		return call != nil && call.finish > 0
	})
	return l
}

// commitChange retries a membership change until it is committed.
func (c *cluster) commitChange(change Change) {
	c.t.Helper()
	c.waitFor(fmt.Sprint("change ", change), func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		members := l.machine.Members()
		switch {
		case change.Action == ActionRemove && !members.Has(change.Member), change.Action == ActionAddLearner && members.Has(change.Member), members.IsVoter(change.Member) && change.Action == ActionPromote:
			return l.machine.MembershipCommitted()
		}
		_, _, _ = l.machine.Change(change)
		c.processReady(l)
		return false
	})
}

// partition cuts all links between the daemons in side and the others.
func (c *cluster) partition(side ...poplar.Daemon) {
	for _, a := range c.order {
		for _, b := range c.order {
			if slices.Contains(side, a.Name) != slices.Contains(side, b.Name) {
				c.cut[[2]poplar.Daemon{a.Name, b.Name}] = true
			}
		}
	}
}

func (c *cluster) heal() { clear(c.cut) }

// register is the porcupine model of the state machine.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(op)
		if !in.read {
			return true, in.value
		}
		got := output.(op)
		return got.value == state, state
	},
}

// checkLinearizable checks that the history of client operations is linearizable.
// A write with an unknown outcome may take effect at any later time, or not within
// the history.
func (c *cluster) checkLinearizable() {
	c.t.Helper()
	var history []porcupine.Operation
	end := c.nextTimestamp()
	for _, call := range c.calls {
		finish := call.finish
		if call.unknown {
			if call.op.read {
				continue
			}
			finish = end
		}
		history = append(history, porcupine.Operation{ClientId: call.client, Input: call.op, Call: call.start, Output: call.op, Return: finish})
	}
	if porcupine.CheckOperationsTimeout(register, history, 20*time.Second) != porcupine.Ok {
		c.t.Fatalf("the history of %d operations is not linearizable", len(history))
	}
}

var _ reporter = (*testing.T)(nil)
