// Package core is a control daemon: a member of the replicated log that holds
// the configuration and the budgets of the fleet, the place where upstreams
// announce themselves, and the source from which routers learn of both.
package core

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/internal/voter"
	"poplarbend.example/poplar/pkg/pace"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/quorum"
	"poplarbend.example/poplar/pkg/roster"
	"poplarbend.example/poplar/pkg/wallet"
)

// This file holds the daemon: its parts, its start and its stop.

// Times of the log among control daemons.
const (
	heartbeat = 200 * time.Millisecond // of the leader; five fit into an election
	election  = 900 * time.Millisecond // well below the time for an acknowledgement
	// repairTime is the silence after which a voter may be replaced by a member
	// that holds the whole log. It exceeds the longest election.
	repairTime = 2500 * time.Millisecond
	// sendLimit bounds one message of the log, so that a silent peer holds up
	// only its own.
	sendLimit = 400 * time.Millisecond
	// forwardLimit bounds a proposal that is handed to the leader.
	forwardLimit = 450 * time.Millisecond
	// drawLimit bounds a draw of a router, which makes another one then. A router may
	// read the answer later, but while the log is slow its draws must not add up here.
	drawLimit = 700 * time.Millisecond
	// compactSize is the journal's size at which a snapshot replaces it, in
	// bytes. It bounds the time of a start.
	compactSize = 1 << 20
)

// voterCount returns the number of voters that joining members fill up to, such
// that a majority of them is left when the given number is lost. A majority then
// also holds more daemons than may be lost, so that those of a failure domain that
// is cut off cannot acknowledge a change on their own.
func voterCount(losses int) int { return 2*max(losses, 1) + 1 }

// Settings are what a control daemon starts from.
type Settings struct {
	// Address is the daemon's peer address, host and port; it is its name in
	// the log.
	Address string
	// Seeds are peer addresses of control daemons to start from.
	Seeds []string
	// First is true when the whole fleet starts for the first time.
	First bool
	Files poplar.Files
	// Losses is the number of control daemons that may be lost at the same time,
	// 1 at least.
	Losses int
	// Quiet is the silence after which an upstream is marked as silent.
	Quiet time.Duration
	Clock poplar.Clock
	Log   *log.Logger
}

// Core is a control daemon. It is safe for concurrent use.
type Core struct {
	settings Settings
	pool     *peer.Pool
	box      *peer.Outbox[quorum.Message]
	voter    atomic.Pointer[voter.Voter]
	ended    chan struct{} // invariant: closed when the log has stopped for good
	err      error         // invariant: set before ended is closed
	replica  *replica
	logged   loggedPut
	life     uint64 // invariant: differs after each start

	mu         sync.Mutex
	roster     *roster.Roster            // invariant: guarded by mu
	announced  uint64                    // invariant: guarded by mu; version of the roster that routers are told of
	changed    chan struct{}             // invariant: guarded by mu; closed at the next announcement
	watchers   map[poplar.Daemon]watcher // invariant: guarded by mu
	routerList uint64                    // invariant: guarded by mu; grows with each change of the routers in watchers
	poison     *poison.Registry          // invariant: guarded by mu
	poisoned   uint64                    // invariant: guarded by mu; grows with each change of poison
	// poisonedAt is the value of poisoned at the last change of each record that routers
	// are told of.
	poisonedAt map[poison.Fingerprint]uint64 // invariant: guarded by mu
	limits     *pace.Book                    // invariant: guarded by mu; limits that upstreams have named
	limitList  uint64                        // invariant: guarded by mu; grows with each change of limits
	asked      []poplar.Daemon               // invariant: guarded by mu; whom to ask for the log
	loops      loops.Runner
}

// watcher is a router that watches this daemon.
type watcher struct {
	address string // invariant: the peer address of the router
	at      time.Time
}

// Start opens the log and runs the daemon.
func Start(s Settings, pool *peer.Pool) (*Core, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, fmt.Errorf("draw the number of this start: %w", err)
	}
	c := &Core{
		settings: s,
		pool:     pool,
		box:      peer.NewOutboxWithin[quorum.Message](pool, peer.OpStep, sendLimit),
		life:     binary.LittleEndian.Uint64(b[:]) >> 11, // exact as a JSON number
		roster:   roster.New(s.Quiet),
		changed:  make(chan struct{}),
		ended:    make(chan struct{}),
		watchers: map[poplar.Daemon]watcher{},
		poison:   poison.NewRegistry(poison.DefaultSettings()), poisonedAt: map[poison.Fingerprint]uint64{},
		limits: pace.NewBook(),
	}
	c.replica = newReplica(s.Clock, c.noteLeaves)
	c.announced = c.roster.Version()
	c.asked = names(s.Seeds)
	if err := c.open(); err != nil {
		c.box.Close()
		return nil, err
	}
	c.loops.Start(c.loop, c.loopOpen, c.loopAnnounce, c.loopBreakdowns)
	return c, nil
}

func names(addresses []string) []poplar.Daemon {
	list := make([]poplar.Daemon, len(addresses))
	for i, a := range addresses {
		list[i] = peer.Seed(a)
	}
	return list
}

// open starts the member of the log on what the disk holds.
func (c *Core) open() error {
	s := c.settings
	c.mu.Lock()
	asked := c.asked
	c.mu.Unlock()
	v, err := voter.Start(voter.Config{
		Name: peer.Seed(s.Address), Founders: asked, Join: !s.First, TargetVoters: voterCount(s.Losses),
		Files: s.Files, Applier: c.replica, Sender: c.box, Forward: c.forward, Clock: s.Clock, Ballot: c.logBallot, Refused: c.logRefused,
		Heartbeat: heartbeat, Election: election, RepairTimeout: repairTime, CompactSize: compactSize,
	})
	if err != nil {
		return err
	}
	c.voter.Store(v)
	c.noteLoggedLeaves(v.Status())
	return nil
}

// loopOpen starts the member again whenever its disk has refused a write, as
// long as that may pass. Meanwhile the daemon goes on hearing upstreams and
// telling routers. A folder that is damaged ends the daemon.
func (c *Core) loopOpen(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.voter.Load().Done():
		}
		err := c.voter.Load().Err()
		for err != nil && ctx.Err() == nil {
			if poplar.CodeOf(err) != poplar.CodeDisk {
				c.err = err
				close(c.ended)
				return
			}
			c.settings.Log.Warn("log stopped", "error", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(reopenPause):
			}
			err = c.open()
		}
		if ctx.Err() != nil {
			return
		}
		c.settings.Log.Info("log reopened")
	}
}

// reopenPause is the wait before a disk that refused a write is tried again.
const reopenPause = 400 * time.Millisecond

// Stop hands the lead of the log over and ends the daemon.
func (c *Core) Stop(ctx context.Context) error {
	c.loops.Stop()
	err := c.voter.Load().Stop(ctx)
	c.box.Close()
	return err
}

// Failed is closed when the log has stopped, be it for its disk.
func (c *Core) Failed() <-chan struct{} { return c.ended }

// Err returns the failure of the log once Failed is closed.
func (c *Core) Err() error { return c.err }

// Seeds replaces the addresses from which a member that is not admitted asks for
// the log.
func (c *Core) Seeds(seeds []string) {
	c.mu.Lock()
	c.asked = names(seeds)
	c.mu.Unlock()
	c.voter.Load().SetHelloTargets(names(seeds))
}

func (c *Core) forward(ctx context.Context, to poplar.Daemon, command []byte) ([]byte, error) {
	return peer.CallWithin[[]byte, []byte](ctx, forwardLimit, c.pool, to, peer.OpPropose, command)
}

// Methods returns what the daemon serves to its peers.
func (c *Core) Methods() peer.Methods {
	var m peer.Methods
	m[peer.OpStep] = peer.Handle(func(_ context.Context, _ poplar.Daemon, batch []quorum.Message) (struct{}, error) {
		for _, msg := range batch {
			c.voter.Load().Receive(msg)
		}
		return struct{}{}, nil
	})
	m[peer.OpPropose] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, command []byte) ([]byte, error) {
		return c.voter.Load().ProposeHere(ctx, command)
	})
	m[OpWatch] = peer.Handle(c.watch)
	m[OpPoison] = peer.Handle(func(_ context.Context, _ poplar.Daemon, records []poison.Record) (struct{}, error) {
		c.learn(records)
		return struct{}{}, nil
	})
	m[OpLimits] = peer.Handle(func(_ context.Context, _ poplar.Daemon, records []pace.Limit) (struct{}, error) {
		c.learnLimits(records)
		return struct{}{}, nil
	})
	m[OpFetch] = peer.Handle(func(_ context.Context, _ poplar.Daemon, f Fetch) (FetchResponse, error) {
		held, _ := c.replica.held()
		if newest := c.newestLogged(c.voter.Load().Status()); f.Logged && newest != nil && newest.Revision > held.Revision {
			return FetchResponse{Revision: newest.Revision, Document: newest.Document}, nil
		}
		return FetchResponse{Revision: held.Revision, Document: held.Document}, nil
	})
	m[OpDraw] = peer.Handle(func(ctx context.Context, _ poplar.Daemon, d wallet.DrawRequest) (wallet.DrawResponse, error) {
		ctx, cancel := context.WithTimeout(ctx, drawLimit)
		defer cancel()
		out, err := c.propose(ctx, command{Draw: &d, At: c.replica.now()})
		if err != nil || out.Drawn == nil {
			return wallet.DrawResponse{}, err
		}
		return *out.Drawn, nil
	})
	return m
}

// propose carries a command through the log. All commands are idempotent, so a
// lost answer is asked for again until ctx ends. A refused command is not.
func (c *Core) propose(ctx context.Context, cmd command) (reply, error) {
	data := encode(cmd)
	var out reply
	for {
		limit, cancel := context.WithTimeout(ctx, forwardLimit)
		raw, err := c.voter.Load().Propose(limit, data)
		cancel()
		if err == nil {
			if err = json.Unmarshal(raw, &out); err != nil {
				return out, poplar.Fail(poplar.StepPropose, poplar.CodeInternal, err)
			}
			if out.Error != "" {
				return out, poplar.Failf(poplar.StepPropose, poplar.CodeInternal, "%s", out.Error)
			}
			return out, nil
		}
		if ctx.Err() != nil || poplar.CodeOf(err) == poplar.CodeInvalid {
			return out, err
		}
		select {
		case <-ctx.Done():
			return out, err
		case <-time.After(proposePause):
		}
	}
}

// proposePause is the wait before a proposal without an answer is sent again.
const proposePause = 40 * time.Millisecond

// loop keeps the roster's silences, and tells of changes of the lead and of the
// voters.
func (c *Core) loop(ctx context.Context) {
	var last loggedVoters
	loops.Tick(ctx, sweepPeriod, nil, func(context.Context) {
		c.sweep()
		c.logVoters(&last)
	})
}

// Stats is what a control daemon knows at one moment, for its metrics.
type Stats struct {
	Revision  poplar.Revision `json:"revision"`
	Leads     bool            `json:"leads"`
	Led       bool            `json:"led"`
	Term      poplar.Term     `json:"term"`
	Commit    poplar.Index    `json:"commit"`
	Voters    int             `json:"voters"`
	Learners  int             `json:"learners"`
	Upstreams int             `json:"upstreams"`
	Routers   int             `json:"routers"`
}

// Stats returns what the daemon knows now.
func (c *Core) Stats() Stats {
	held, _ := c.replica.held()
	s := c.voter.Load().Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{
		Revision: held.Revision, Leads: s.Role() == quorum.RoleLeader, Led: c.led(), Term: s.Term(), Commit: s.Commit(),
		Voters: len(s.Members().Voters), Learners: len(s.Members().Learners),
		Upstreams: len(c.roster.Entries()), Routers: len(c.watchers),
	}
}

// sweepPeriod is the time between two looks for silent upstreams.
const sweepPeriod = 300 * time.Millisecond

func (c *Core) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, fp := range c.poison.Sweep(c.settings.Clock.Now()) {
		delete(c.poisonedAt, fp)
	}
	c.limits.Sweep(c.settings.Clock.Now())
	c.roster.Sweep(c.settings.Clock.Now())
}

// announcePeriod is the longest time for which a new upstream is kept from the
// routers. Upstreams that start together are then announced together.
const announcePeriod = 100 * time.Millisecond

// loopAnnounce tells routers of changes that are not urgent.
func (c *Core) loopAnnounce(ctx context.Context) {
	loops.Tick(ctx, announcePeriod, nil, func(context.Context) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.announced != c.roster.Version() {
			c.announce()
		}
	})
}

// learn takes what a router knows of requests that crash upstreams.
func (c *Core) learn(records []poison.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	news := c.poison.MergeReports(records)
	if len(news) == 0 {
		return
	}
	c.poisoned++
	for _, r := range news {
		c.poisonedAt[r.Fingerprint] = c.poisoned
	}
	c.announce()
}

// learnLimits takes limits that upstreams have named to a router.
func (c *Core) learnLimits(records []pace.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.limits.Merge(records, c.settings.Clock.Now())) > 0 {
		c.limitList++
		c.announce()
	}
}

// announce wakes those who wait for the roster or for records of crashes. The
// caller holds the lock.
func (c *Core) announce() {
	c.announced = c.roster.Version()
	close(c.changed)
	c.changed = make(chan struct{})
}

// led reports whether the daemon leads the log or has heard its leader lately.
func (c *Core) led() bool { return c.follows(c.voter.Load().Status()) }

func (c *Core) follows(s voter.Status) bool {
	switch s.Leader() {
	case quorum.Member{}:
		return false
	case s.Self():
		return true
	}
	return c.settings.Clock.Now().Sub(s.Contact(s.Leader())) < 2*election
}
