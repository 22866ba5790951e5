package voter

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/quorum"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	code := m.Run()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Println(err)
		code = 1
	}
	os.Exit(code)
}

// testTimeout bounds the waiting of a test. A test result depends on it only if
// a voter hangs.
const testTimeout = 10 * time.Second

// brokenCommand is a command at which commandLog panics when it has added it.
const brokenCommand = "broken"

// commandLog is a state machine that records the commands in order.
type commandLog struct {
	mu         sync.Mutex
	commands   []string
	appliesAll bool // brokenCommand, too
}

func (c *commandLog) Apply(index poplar.Index, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if string(command) != loadCommand {
		c.commands = append(c.commands, string(command))
	}
	if string(command) == brokenCommand && !c.appliesAll {
		panic("the command cannot be applied")
	}
	return fmt.Appendf(nil, "%s@%d", command, index)
}

func (c *commandLog) Snapshot() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, _ := json.Marshal(c.commands)
	return data
}

func (c *commandLog) Restore(snapshot []byte, later ...Command) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = nil
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &c.commands); err != nil {
			return err
		}
	}
	for _, command := range later {
		if string(command.Data) != loadCommand {
			c.commands = append(c.commands, string(command.Data))
		}
	}
	return nil
}

func (c *commandLog) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.commands)
}

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// fleet is a set of voters connected by an in-process network.
type fleet struct {
	t      *testing.T
	mu     sync.Mutex
	rng    *rand.Rand // invariant: guarded by mu, as are voters, cut, loss and filter
	voters map[poplar.Daemon]*Voter
	cut    map[[2]poplar.Daemon]bool
	loss   float64
	filter func(to poplar.Daemon, msg *quorum.Message) // changes messages; may be nil

	names       []poplar.Daemon
	disks       map[poplar.Daemon]*disk.Memory
	state       map[poplar.Daemon]*commandLog
	compactSize int64
	appliesAll  bool            // see commandLog
	voterTarget int             // see Config.TargetVoters
	seeds       []poplar.Daemon // see Config.Founders; nil for names
	lastSeed    uint64
	repair      time.Duration
	election    time.Duration
	syncTime    map[poplar.Daemon]time.Duration // the time of a sync of a daemon's disk, if it is not 0
}

func newFleet(t *testing.T, names ...poplar.Daemon) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(1, 2)), voters: map[poplar.Daemon]*Voter{}, cut: map[[2]poplar.Daemon]bool{},
		names: names, disks: map[poplar.Daemon]*disk.Memory{}, state: map[poplar.Daemon]*commandLog{}, repair: 100 * time.Millisecond, election: 50 * time.Millisecond,
	}
	for _, n := range names {
		f.disks[n] = disk.NewMemory()
		f.start(n)
	}
	t.Cleanup(func() {
		for _, n := range names {
			f.stop(n)
		}
	})
	return f
}

// link is the sender of one daemon.
type link struct {
	fleet *fleet
	from  poplar.Daemon
}

func (l link) Send(to poplar.Daemon, msg quorum.Message) {
	// Messages are encoded and decoded, as on a real network.
	var copied quorum.Message
	if err := json.Unmarshal(encode(msg), &copied); err != nil {
		panic(err)
	}
	if v := l.fleet.reach(l.from, to); v != nil {
		l.fleet.applyFilter(to, &copied)
		v.Receive(copied)
	}
}

func (f *fleet) reach(from, to poplar.Daemon) *Voter {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[[2]poplar.Daemon{from, to}] || f.rng.Float64() < f.loss {
		return nil
	}
	return f.voters[to]
}

func (f *fleet) applyFilter(to poplar.Daemon, msg *quorum.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.filter != nil {
		f.filter(to, msg)
	}
}

func (f *fleet) setFilter(filter func(to poplar.Daemon, msg *quorum.Message)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.filter = filter
}

func (f *fleet) voter(name poplar.Daemon) *Voter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.voters[name]
}

func (f *fleet) config(name poplar.Daemon) Config {
	f.lastSeed++
	f.state[name] = &commandLog{appliesAll: f.appliesAll}
	founders := f.names
	if f.seeds != nil {
		founders = f.seeds
	}
	return Config{
		Name: name, Founders: founders, Files: slowFiles{f.disks[name], f.syncTime[name]}, Applier: f.state[name], Sender: link{f, name}, Clock: wallClock{},
		Forward: func(ctx context.Context, to poplar.Daemon, command []byte) ([]byte, error) {
			if v := f.reach(name, to); v != nil {
				return v.ProposeHere(ctx, command)
			}
			return nil, poplar.Failf(poplar.StepPeer, poplar.CodeUnreachable, "unreachable").Ran(poplar.RunNo)
		},
		Heartbeat: f.election / 10, Election: f.election, RepairTimeout: f.repair, CompactSize: f.compactSize, Seed: f.lastSeed,
		TargetVoters: f.voterTarget,
	}
}

func (f *fleet) start(name poplar.Daemon) *Voter {
	f.t.Helper()
	v, err := Start(f.config(name))
	assert.NilError(f.t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.voters[name] = v
	return v
}

func (f *fleet) stop(name poplar.Daemon) {
	f.mu.Lock()
	v := f.voters[name]
	delete(f.voters, name)
	f.mu.Unlock()
	if v != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = v.Stop(ctx)
	}
}

// crash stops a voter with a disk fault and discards what it has not synced.
func (f *fleet) crash(name poplar.Daemon) {
	f.disks[name].FailAt(1, disk.FaultStop)
	f.stop(name)
	f.disks[name].Crash(f.lastSeed)
}

func (f *fleet) setCut(a, b poplar.Daemon, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]poplar.Daemon{a, b}] = cut
}

// isolate cuts a daemon off from all others, or reconnects it.
func (f *fleet) isolate(name poplar.Daemon, cut bool) {
	for _, n := range f.names {
		if n != name {
			f.setCut(n, name, cut)
			f.setCut(name, n, cut)
		}
	}
}

func (f *fleet) propose(at poplar.Daemon, command string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := f.voter(at).Propose(ctx, []byte(command))
	assert.NilError(f.t, err)
}

func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			for n, v := range f.voters {
				s := v.Status()
				f.t.Logf("%s: %s term %d leader %v commit %d members %v started %v", n, s.Role(), s.Term(), s.Leader(), s.Commit(), s.Members(), s.Started())
			}
			f.t.Fatalf("%s: not reached before the timeout", what)
		}
	}
}

// leader waits until a running voter is the leader and returns its name.
func (f *fleet) leader() poplar.Daemon {
	f.t.Helper()
	var name poplar.Daemon
	f.await("a leader", func() bool {
		for _, n := range f.names {
			if v := f.voter(n); v != nil && v.Status().Role() == quorum.RoleLeader {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func (f *fleet) assertApplied(want []string, names ...poplar.Daemon) {
	f.t.Helper()
	for _, n := range names {
		f.await("state of "+string(n), func() bool { return slices.Equal(f.state[n].list(), want) })
	}
}
