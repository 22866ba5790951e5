// Package holder runs one replica of a failure domain's ledger. The primary
// decides and acknowledges, the backup stores a copy, and a daemon that the
// replicated log named for neither role stays aside.
//
// Package ledger makes the decisions. This package adds the journal, replication
// to the backup, claims at home domains and the clock.
package holder

import (
	"context"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/ledger"
)

// Peers sends the replica's calls to other daemons. An error with CodeUnreachable or
// CodeTimeout means that the peer was not reached or did not answer; any other
// error was returned by the peer.
type Peers interface {
	// Copy replicates records to the backup.
	Copy(ctx context.Context, to poplar.Daemon, request ledger.CopyRequest) (ledger.CopyReply, error)
	// Claim sends claim requests to the ledger of their home domain.
	Claim(ctx context.Context, home poplar.Domain, request ledger.ClaimBatch) (ledger.ClaimBatchReply, error)
	// Forward sends a router's call to the ledger of the domain that owns the
	// request.
	Forward(ctx context.Context, domain poplar.Domain, call Call) (poplar.Grant, error)
}

// Call is a router's call that one ledger forwards to another. Exactly one field is set.
// It is a wire message.
type Call struct {
	Ask    *poplar.ReserveRequest `json:"ask,omitempty"`
	Extend *poplar.Extend         `json:"extend,omitempty"`
	Settle *poplar.Settlement     `json:"settle,omitempty"`
	// RemovedRouter names a router that left the fleet or crashed.
	RemovedRouter poplar.Daemon `json:"gone,omitempty"`
}

// Config configures a Replica.
type Config struct {
	Domain poplar.Domain
	Self   poplar.Daemon
	// Disk identifies the data folder; it is generated when the folder is created.
	Disk    uint64
	Journal poplar.Journal
	// Snapshot and Records are the content of the journal when it was opened.
	Snapshot []byte
	Records  [][]byte
	Clock    poplar.Clock
	// Peers may be nil when there is neither a backup nor another domain.
	Peers  Peers
	Limits claim.Limits
	// Timeout limits one call to a peer.
	Timeout time.Duration
	// ResumePeriod is how long a request may be resumed after its router is gone.
	ResumePeriod time.Duration
	// LogTimeout is how long a primary without a backup accepts non-idempotent
	// requests after its last contact with the log; 0 means no limit.
	LogTimeout time.Duration
	// Tick is the interval of upkeep; with 0 the owner calls Upkeep itself.
	Tick time.Duration
	// Compact is the journal size in bytes above which a snapshot replaces the
	// journal.
	Compact int64
}

// Defaults of Config.
const (
	defaultTimeout = time.Second
	defaultSweep   = time.Minute
	defaultCompact = 32 << 20
	// maxWaiters limits the calls that wait for the journal and the backup.
	maxWaiters = 16 << 10
)

func (c Config) withDefaults() Config {
	if c.Limits == (claim.Limits{}) {
		c.Limits = claim.DefaultLimits
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.ResumePeriod == 0 {
		c.ResumePeriod = defaultSweep
	}
	if c.Compact == 0 {
		c.Compact = defaultCompact
	}
	return c
}

// Replica runs one replica of a domain's ledger. It is safe for concurrent use.
type Replica struct {
	config Config

	mu               sync.Mutex
	copy             *ledger.Replica // guarded by mu
	machine          *ledger.Machine
	role             Role
	run              uint64 // identifies the replication stream that this process started, or 0
	pair             Pair
	logContact       time.Time // time of the last contact with the log
	domains          []poplar.Domain
	shares           map[poplar.Budget]ledger.Share // received shares that are not issued yet
	demand           map[poplar.Budget]*Demand
	remote           map[poplar.Request]remoteRequest // requests that another domain owns
	homeRetry        map[poplar.Domain]time.Time      // next attempt at unreachable home domains
	nextOutcomeQuery time.Time                        // time of the next query for unknown outcomes
	broken           error                            // set once, after a journal failure or corrupt record
	failed           chan struct{}                    // closed when broken is set
	closing          bool                             // set once, by Close; afterwards no goroutine starts

	pending    [][]byte // records not yet written to the journal
	lastSeq    uint64   // sequence number of the last applied record
	syncedSeq  uint64   // invariant: all records up to it are durable in the local journal
	feed       ledger.Feed
	startSeq   uint64   // sequence number of the record that starts the run, or 0
	durableSeq uint64   // invariant: calls up to it may be answered; only grows within a run
	waiting    []waiter // ordered by sequence number
	// returns holds the durable value of the returned counter, for budgets
	// whose latest return is not durable yet.
	returns     map[poplar.Budget]pendingReturn
	peerContact time.Time

	journal  sync.Mutex // held during journal I/O
	wakeSync chan struct{}
	wakeCopy chan struct{} // wakes loopCopy
	ctx      context.Context
	stop     context.CancelFunc
	loops    sync.WaitGroup
}

// Role is the role of a daemon in the ledger of its domain.
type Role string

// Roles of a daemon.
const (
	RoleAside   Role = "aside"
	RolePrimary Role = "primary"
	RoleBackup  Role = "backup"
)

var _ poplar.Ledger = (*Replica)(nil)

// Start replays the journal and starts the replica. The replica has no role
// until Follow assigns one. Errors have CodeCorrupt.
func Start(config Config) (*Replica, error) {
	config = config.withDefaults()
	machine, err := replay(config)
	if err != nil {
		return nil, err
	}
	h := &Replica{
		config: config, machine: machine, copy: ledger.NewReplica(machine, config.Limits, config.Disk),
		role: RoleAside, domains: []poplar.Domain{config.Domain},
		shares: map[poplar.Budget]ledger.Share{}, demand: map[poplar.Budget]*Demand{},
		remote: map[poplar.Request]remoteRequest{}, returns: map[poplar.Budget]pendingReturn{},
		homeRetry: map[poplar.Domain]time.Time{}, failed: make(chan struct{}),
		syncedSeq: machine.Seq(), lastSeq: machine.Seq(),
		wakeSync: make(chan struct{}, 1), wakeCopy: make(chan struct{}, 1),
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

// Close stops the background goroutines and fails all waiting calls with
// CodeDrain. It does not close the journal.
func (h *Replica) Close() error {
	h.mu.Lock()
	h.closing = true
	h.mu.Unlock()
	h.stop()
	h.loops.Wait()
	h.flush()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failWaiters(h.closedError())
	return nil
}

func (h *Replica) closedError() error {
	return poplar.Failf(poplar.StepReserve, poplar.CodeDrain, "the ledger is closed").At(string(h.config.Self))
}
