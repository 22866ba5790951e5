package pairs

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/follow"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/pkg/state"
)

// This file implements the loop that pings the other daemons and proposes pairs.

// Interval of the loop and timeouts of its calls.
const (
	pingInterval   = 1 * time.Second
	pingTimeout    = 400 * time.Millisecond
	proposeTimeout = 2 * time.Second
	primeTimeout   = 5 * time.Second
)

// Config configures a Manager.
type Config struct {
	Self   state.Holder
	Domain poplar.Domain
	// Holders are the daemons that may host the domain's ledger, in order of
	// preference.
	Holders []poplar.Daemon
	// Mirror provides the pair in force.
	Mirror *follow.Mirror
	// Network sends calls to the other daemons.
	Network follow.Network
	// Proposer appends commands to the log.
	Proposer poplar.Proposer
	// BackupCurrent reports whether the backup has all records of this primary.
	BackupCurrent func() bool
	Clock         poplar.Clock
	Log           *log.Logger
}

// Manager maintains the ledger pair of a domain. It is safe for concurrent use.
type Manager struct {
	conf Config

	mu       sync.Mutex
	contacts map[poplar.Daemon]Candidate // invariant: guarded by mu

	// The fields below are used only by the loop.
	pairEpoch   poplar.Epoch // invariant: the epoch that pairSince belongs to
	pairSince   time.Time
	primedEpoch poplar.Epoch // the latest epoch for which Mirror.Prime succeeded

	loops loops.Runner
}

// New returns a Keeper, which does nothing before Start.
func New(conf Config) *Manager {
	return &Manager{conf: conf, contacts: map[poplar.Daemon]Candidate{}, pairSince: conf.Clock.Now()}
}

// Start starts the loop.
func (k *Manager) Start() { k.loops.Start(k.run) }

// Stop stops the loop.
func (k *Manager) Stop() { k.loops.Stop() }

func (k *Manager) run(ctx context.Context) { loops.Tick(ctx, pingInterval, nil, k.pingAndDecide) }

func (k *Manager) pingAndDecide(ctx context.Context) {
	var pings sync.WaitGroup
	for _, peer := range k.others() {
		pings.Add(1)
		go k.ping(ctx, peer, &pings)
	}
	pings.Wait()
	k.decideAndPropose(ctx)
}

// decideAndPropose proposes a command to the log if Decide returns one.
func (k *Manager) decideAndPropose(ctx context.Context) {
	observation := k.observe(ctx)
	command, due := Decide(observation, k.conf.Clock.Now())
	if !due {
		return
	}
	call, cancel := context.WithDeadline(ctx, time.Now().Add(proposeTimeout))
	defer cancel()
	if err := k.propose(call, command); err != nil {
		k.conf.Log.Debug("proposal to change the ledger pair failed; deciding again in the next round", "step", poplar.StepPropose, "err", err)
	}
}

// HandOver removes this daemon from the pair before a planned stop, so that the
// domain is never without a ledger. If this daemon is the primary, its backup
// becomes the primary; if it is the backup, the primary continues without one. A
// pair whose backup is missing or lacks records stays unchanged. Stop must be
// called first.
func (k *Manager) HandOver(ctx context.Context) {
	k.conf.Mirror.Retire()
	pair := k.conf.Mirror.View().Own()
	next := pair.Backup
	if pair.Backup == k.conf.Self {
		next = pair.Primary
	}
	member := pair.Primary == k.conf.Self || pair.Backup == k.conf.Self
	if !member || pair.Backup.Name == "" || !pair.Ready() {
		return
	}
	call, cancel := context.WithDeadline(ctx, time.Now().Add(proposeTimeout))
	defer cancel()
	command := proposePair(Observation{Self: k.conf.Self, Domain: k.conf.Domain, Pair: pair}, next, state.Holder{})
	if err := k.propose(call, command); err != nil {
		k.conf.Log.Warn("could not hand over the ledger; the other member acts after the silence timeout", "step", poplar.StepDrain, "err", err)
		return
	}
	// Notify the next primary at once. If this call is lost, it learns the pair
	// from the log.
	if _, err := k.conf.Network.Follow(call, next.Name, k.followRequest()); err != nil {
		k.conf.Log.Debug("could not notify the next primary; it learns the pair from the log", "peer", next.Name, "err", err)
	}
}

// followRequest returns a request for the pair in force. It carries the pair
// known here.
func (k *Manager) followRequest() follow.Ask {
	return follow.Ask{Domain: k.conf.Domain, Mark: k.conf.Mirror.Mark(), Pair: k.conf.Mirror.View().Own()}
}

// propose appends command to the log and takes the pair in force from the reply.
func (k *Manager) propose(ctx context.Context, command state.Command) error {
	data, err := k.conf.Proposer.Propose(ctx, state.Encode(command))
	if err != nil {
		return err
	}
	reply, err := state.Decode[state.Reply](data)
	if err != nil {
		return err
	}
	if reply.Pair != nil {
		k.conf.Mirror.Learn(*reply.Pair)
	}
	k.conf.Log.Info("the log answered a proposal for the ledger pair", "domain", k.conf.Domain, "code", reply.Code, "why", reply.Reason)
	return nil
}

// others returns the other daemons that may host the ledger.
func (k *Manager) others() []poplar.Daemon {
	var peers []poplar.Daemon
	for _, name := range k.conf.Holders {
		if name != k.conf.Self.Name {
			peers = append(peers, name)
		}
	}
	return peers
}

// ping asks peer for the pair that it knows, and records the contact.
func (k *Manager) ping(ctx context.Context, peer poplar.Daemon, done *sync.WaitGroup) {
	defer done.Done()
	call, cancel := context.WithDeadline(ctx, time.Now().Add(pingTimeout))
	defer cancel()
	reply, err := k.conf.Network.Follow(call, peer, k.followRequest())
	if err != nil {
		return
	}
	if reply.Pair.Epoch > k.conf.Mirror.View().Own().Epoch {
		k.conf.Mirror.Learn(reply.Pair)
	}
	if reply.Leaving {
		k.removeContact(reply.Self)
		return
	}
	// The reply carries the current incarnation of the daemon, which may not be
	// in the log yet.
	k.recordContact(reply.Self, k.conf.Clock.Now())
}

// removeContact removes the contact times of a daemon, as if it had never
// answered.
func (k *Manager) removeContact(holder state.Holder) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.contacts, holder.Name)
}

// recordContact records a reply at now. A gap of minContact, or another
// incarnation, starts a new contact.
func (k *Manager) recordContact(holder state.Holder, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, known := k.contacts[holder.Name]
	if !known || c.holder != holder || now.Sub(c.lastContact) >= minContact {
		c = Candidate{holder: holder, since: now}
	}
	c.lastContact = now
	k.contacts[holder.Name] = c
}

// observe returns the information for the next decision.
func (k *Manager) observe(ctx context.Context) Observation {
	pair := k.conf.Mirror.View().Own()
	if pair.Epoch != k.pairEpoch {
		k.pairEpoch, k.pairSince = pair.Epoch, k.conf.Clock.Now()
	}
	o := Observation{Self: k.conf.Self, Domain: k.conf.Domain, Pair: pair, Since: k.pairSince}
	k.mu.Lock()
	for i, name := range k.conf.Holders {
		if name == k.conf.Self.Name {
			o.Position = i
		} else if c, ok := k.contacts[name]; ok {
			o.Candidates = append(o.Candidates, c)
		}
	}
	k.mu.Unlock()
	if pair.Primary == k.conf.Self && pair.Backup.Name != "" && !pair.Ready() {
		o.BackupCurrent = k.backupCurrent(ctx, pair)
	}
	return o
}

// backupCurrent reports whether the backup could become the primary: it has all
// records, and Mirror.Prime gave it a snapshot of what the log set for the domain. The pair
// must first be durable here, so that a restarted primary still knows that it has
// a backup.
func (k *Manager) backupCurrent(ctx context.Context, pair state.Pair) bool {
	if k.conf.Mirror.Durable().Epoch != pair.Epoch || !k.conf.BackupCurrent() {
		return false
	}
	if k.primedEpoch == pair.Epoch {
		return true
	}
	call, cancel := context.WithDeadline(ctx, time.Now().Add(primeTimeout))
	defer cancel()
	if err := k.conf.Mirror.Prime(call, pair); err != nil {
		return false
	}
	k.primedEpoch = pair.Epoch
	return true
}
