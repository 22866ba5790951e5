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

// New returns a Manager, which does nothing before Start.
func New(conf Config) *Manager {
	return &Manager{conf: conf, contacts: map[poplar.Daemon]Candidate{}, pairSince: conf.Clock.Now()}
}

// Start starts the loop.
func (m *Manager) Start() { m.loops.Start(m.run) }

// Stop stops the loop.
func (m *Manager) Stop() { m.loops.Stop() }

func (m *Manager) run(ctx context.Context) { loops.Tick(ctx, pingInterval, nil, m.pingAndDecide) }

func (m *Manager) pingAndDecide(ctx context.Context) {
	var pings sync.WaitGroup
	for _, peer := range m.others() {
		pings.Add(1)
		go m.ping(ctx, peer, &pings)
	}
	pings.Wait()
	m.decideAndPropose(ctx)
}

// decideAndPropose proposes a command to the log if Decide returns one.
func (m *Manager) decideAndPropose(ctx context.Context) {
	observation := m.observe(ctx)
	command, due := Decide(observation, m.conf.Clock.Now())
	if !due {
		return
	}
	call, cancel := context.WithDeadline(ctx, time.Now().Add(proposeTimeout))
	defer cancel()
	if err := m.propose(call, command); err != nil {
		m.conf.Log.Debug("proposal to change the ledger pair failed; deciding again in the next round", "step", poplar.StepPropose, "err", err)
	}
}

// HandOver removes this daemon from the pair before a planned stop, so that the
// domain is never without a ledger. If this daemon is the primary, its backup
// becomes the primary; if it is the backup, the primary continues without one. A
// pair whose backup is missing or lacks records stays unchanged. Stop must be
// called first.
func (m *Manager) HandOver(ctx context.Context) {
	m.conf.Mirror.Retire()
	pair := m.conf.Mirror.View().Own()
	next := pair.Backup
	if pair.Backup == m.conf.Self {
		next = pair.Primary
	}
	member := pair.Primary == m.conf.Self || pair.Backup == m.conf.Self
	if !member || pair.Backup.Name == "" || !pair.Ready() {
		return
	}
	call, cancel := context.WithDeadline(ctx, time.Now().Add(proposeTimeout))
	defer cancel()
	command := proposePair(Observation{Self: m.conf.Self, Domain: m.conf.Domain, Pair: pair}, next, state.Holder{})
	if err := m.propose(call, command); err != nil {
		m.conf.Log.Warn("could not hand over the ledger; the other member acts after the silence timeout", "step", poplar.StepDrain, "err", err)
		return
	}
	// Notify the next primary at once. If this call is lost, it learns the pair
	// from the log.
	if _, err := m.conf.Network.Follow(call, next.Name, m.followRequest()); err != nil {
		m.conf.Log.Debug("could not notify the next primary; it learns the pair from the log", "peer", next.Name, "err", err)
	}
}

// followRequest returns a request for the pair in force. It carries the pair
// known here.
func (m *Manager) followRequest() follow.Ask {
	return follow.Ask{Domain: m.conf.Domain, Mark: m.conf.Mirror.Mark(), Pair: m.conf.Mirror.View().Own()}
}

// propose appends command to the log and takes the pair in force from the reply.
func (m *Manager) propose(ctx context.Context, command state.Command) error {
	data, err := m.conf.Proposer.Propose(ctx, state.Encode(command))
	if err != nil {
		return err
	}
	reply, err := state.Decode[state.Reply](data)
	if err != nil {
		return err
	}
	if reply.Pair != nil {
		m.conf.Mirror.Learn(*reply.Pair)
	}
	m.conf.Log.Info("the log answered a proposal for the ledger pair", "domain", m.conf.Domain, "code", reply.Code, "why", reply.Reason)
	return nil
}

// others returns the other daemons that may host the ledger.
func (m *Manager) others() []poplar.Daemon {
	var peers []poplar.Daemon
	for _, name := range m.conf.Holders {
		if name != m.conf.Self.Name {
			peers = append(peers, name)
		}
	}
	return peers
}

// ping asks peer for the pair that it knows, and records the contact.
func (m *Manager) ping(ctx context.Context, peer poplar.Daemon, done *sync.WaitGroup) {
	defer done.Done()
	call, cancel := context.WithDeadline(ctx, time.Now().Add(pingTimeout))
	defer cancel()
	reply, err := m.conf.Network.Follow(call, peer, m.followRequest())
	if err != nil {
		return
	}
	if reply.Pair.Epoch > m.conf.Mirror.View().Own().Epoch {
		m.conf.Mirror.Learn(reply.Pair)
	}
	if reply.Leaving {
		m.removeContact(reply.Self)
		return
	}
	// The reply carries the current incarnation of the daemon, which may not be
	// in the log yet.
	m.recordContact(reply.Self, m.conf.Clock.Now())
}

// removeContact removes the contact times of a daemon, as if it had never
// answered.
func (m *Manager) removeContact(holder state.Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.contacts, holder.Name)
}

// recordContact records a reply at now. A gap of minContact, or another
// incarnation, starts a new contact.
func (m *Manager) recordContact(holder state.Holder, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, known := m.contacts[holder.Name]
	if !known || c.holder != holder || now.Sub(c.lastContact) >= minContact {
		c = Candidate{holder: holder, since: now}
	}
	c.lastContact = now
	m.contacts[holder.Name] = c
}

// observe returns the information for the next decision.
func (m *Manager) observe(ctx context.Context) Observation {
	pair := m.conf.Mirror.View().Own()
	if pair.Epoch != m.pairEpoch {
		m.pairEpoch, m.pairSince = pair.Epoch, m.conf.Clock.Now()
	}
	o := Observation{Self: m.conf.Self, Domain: m.conf.Domain, Pair: pair, Since: m.pairSince}
	m.mu.Lock()
	for i, name := range m.conf.Holders {
		if name == m.conf.Self.Name {
			o.Position = i
		} else if c, ok := m.contacts[name]; ok {
			o.Candidates = append(o.Candidates, c)
		}
	}
	m.mu.Unlock()
	if pair.Primary == m.conf.Self && pair.Backup.Name != "" && !pair.Ready() {
		o.BackupCurrent = m.backupCurrent(ctx, pair)
	}
	return o
}

// backupCurrent reports whether the backup could become the primary: it has all
// records, and Mirror.Prime gave it a snapshot of what the log set for the domain. The pair
// must first be durable here, so that a restarted primary still knows that it has
// a backup.
func (m *Manager) backupCurrent(ctx context.Context, pair state.Pair) bool {
	if m.conf.Mirror.Durable().Epoch != pair.Epoch || !m.conf.BackupCurrent() {
		return false
	}
	if m.primedEpoch == pair.Epoch {
		return true
	}
	call, cancel := context.WithDeadline(ctx, time.Now().Add(primeTimeout))
	defer cancel()
	if err := m.conf.Mirror.Prime(call, pair); err != nil {
		return false
	}
	m.primedEpoch = pair.Epoch
	return true
}
