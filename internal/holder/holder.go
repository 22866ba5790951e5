// Package holder runs the ledger of one failure domain on one daemon: as its
// primary, which decides and acknowledges, as its backup, which holds a copy,
// or aside, when the log named others.
//
// The decisions are those of package ledger. The holder adds the journal, the
// copy to the backup, the claims at home domains and the time.
package holder

import (
	"context"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file holds the settings of a holder, its start and its end.

// Peers carries the holder's calls to other daemons. An error with CodeCut or
// CodeTimeout means that the peer was not reached or did not answer; any other
// error is the peer's own answer.
type Peers interface {
	// Copy sends records to the backup.
	Copy(ctx context.Context, to poplar.Daemon, request ledger.CopyRequest) (ledger.CopyReply, error)
	// Claim puts pleas to the ledger of their home domain.
	Claim(ctx context.Context, home poplar.Domain, request ledger.ClaimRequest) (ledger.ClaimReply, error)
	// Forward hands a router's call to the ledger of the domain that holds the
	// request.
	Forward(ctx context.Context, domain poplar.Domain, call Call) (poplar.Grant, error)
}

// Call is a router's call, forwarded between ledgers. Exactly one field is set.
// It is a wire message.
type Call struct {
	Ask    *poplar.ReserveRequest `json:"ask,omitempty"`
	Extend *poplar.Extend         `json:"extend,omitempty"`
	Settle *poplar.Settlement     `json:"settle,omitempty"`
	// Gone names a router that is gone.
	Gone poplar.Daemon `json:"gone,omitempty"`
}

// Config is what a holder needs.
type Config struct {
	Domain poplar.Domain
	Self   poplar.Daemon
	// Disk is the incarnation of the data folder, created with it.
	Disk    uint64
	Journal poplar.Journal
	// Snapshot and Records are what the journal held when it was opened.
	Snapshot []byte
	Records  [][]byte
	Clock    poplar.Clock
	// Peers may be nil when there is neither backup nor another domain.
	Peers  Peers
	Limits claim.Limits
	// Timeout bounds one call to a peer.
	Timeout time.Duration
	// Sweep is how long an orphaned request may be resumed.
	Sweep time.Duration
	// Alone is how long a primary without a backup runs non-idempotent requests
	// after it last heard from the log; 0 is without end.
	Alone time.Duration
	// Tick is the time between two rounds of upkeep; 0 leaves them to Upkeep.
	Tick time.Duration
	// Compact is the size of the journal, in bytes, past which a snapshot
	// replaces it.
	Compact int64
}

// The defaults of a Config.
const (
	defaultTimeout = time.Second
	defaultSweep   = time.Minute
	defaultCompact = 32 << 20
	// maxQueue bounds the answers that wait for the journal and the backup.
	maxQueue = 16 << 10
)

func (c Config) withDefaults() Config {
	if c.Limits == (claim.Limits{}) {
		c.Limits = claim.DefaultLimits
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Sweep == 0 {
		c.Sweep = defaultSweep
	}
	if c.Compact == 0 {
		c.Compact = defaultCompact
	}
	return c
}

// Holder runs one member of a domain's ledger pair. It is safe for concurrent
// use.
type Holder struct {
	config Config

	mu      sync.Mutex
	copy    *ledger.Copy // guarded by mu
	machine *ledger.Machine
	role    Role
	run     uint64 // the stream of copies that this process started, or 0
	pair    Pair
	heard   time.Time // when the log was last heard
	domains []poplar.Domain
	shares  map[poplar.Budget]ledger.Share // shares that wait for an older serial to end
	demand  map[poplar.Budget]*Demand
	remote  map[poplar.Request]elsewhere // requests that another domain holds
	silent  map[poplar.Domain]time.Time  // homes that are left alone until then
	look    time.Time                    // when unknown outcomes are asked for next
	broken  error                        // set once, when the journal failed
	failed  chan struct{}                // closed when broken is set
	closing bool                         // set once, by Close; no loop starts any more

	pending [][]byte // records not yet handed to the journal
	last    uint64   // number of the last of pending
	synced  uint64   // invariant: all records up to it are durable here
	feed    ledger.Feed
	start   uint64   // the record that names the run, or 0
	durable uint64   // invariant: may be answered; only grows within a run
	waiting []waiter // in the order of their numbers
	// returns holds the returned counters as they are durable, for budgets
	// whose latest give-back is not.
	returns map[poplar.Budget]unreturned
	reached time.Time

	journal sync.Mutex // held while the journal is used
	wake    chan struct{}
	wakeup  chan struct{} // for the copy
	ctx     context.Context
	stop    context.CancelFunc
	loops   sync.WaitGroup
}

// Role is what a daemon does for the ledger of its domain.
type Role string

// The roles.
const (
	RoleAside   Role = "aside"
	RolePrimary Role = "primary"
	RoleBackup  Role = "backup"
)

var _ poplar.Ledger = (*Holder)(nil)

// Start replays the journal's content and starts the holder. It takes no role
// before Follow names it. Errors have CodeCorrupt.
func Start(config Config) (*Holder, error) {
	config = config.withDefaults()
	machine, err := replay(config)
	if err != nil {
		return nil, err
	}
	h := &Holder{
		config: config, machine: machine, copy: ledger.NewCopy(machine, config.Limits, config.Disk),
		role: RoleAside, domains: []poplar.Domain{config.Domain},
		shares: map[poplar.Budget]ledger.Share{}, demand: map[poplar.Budget]*Demand{},
		remote: map[poplar.Request]elsewhere{}, returns: map[poplar.Budget]unreturned{},
		silent: map[poplar.Domain]time.Time{}, failed: make(chan struct{}),
		synced: machine.Seq(), last: machine.Seq(),
		wake: make(chan struct{}, 1), wakeup: make(chan struct{}, 1),
	}
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.loops.Add(1)
	go h.loopSync()
	if config.Peers != nil {
		h.loops.Add(1)
		go h.loopCopy()
	}
	if config.Tick > 0 {
		h.loops.Add(1)
		go h.loopUpkeep()
	}
	return h, nil
}

func replay(config Config) (*ledger.Machine, error) {
	machine, err := ledger.Restore(config.Domain, config.Limits, config.Snapshot)
	if err != nil {
		return nil, err
	}
	for _, data := range config.Records {
		record, err := ledger.Decode(data)
		if err != nil {
			return nil, err
		}
		if err := machine.Apply(&record); err != nil {
			return nil, err
		}
	}
	return machine, nil
}

// Close ends the loops and answers all that wait with CodeDrain. It does not
// close the journal.
func (h *Holder) Close() error {
	h.mu.Lock()
	h.closing = true
	h.mu.Unlock()
	h.stop()
	h.loops.Wait()
	h.flush()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.release(h.closed())
	return nil
}

func (h *Holder) closed() error {
	return poplar.Failf(poplar.StepReserve, poplar.CodeDrain, "the ledger is closed").At(string(h.config.Self))
}
