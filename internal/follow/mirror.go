package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the mirror of the replicated state at one daemon.

// compactAt is the size of the journal, in bytes, at which it is replaced by a
// snapshot.
const compactAt = 4 << 20

// journalName is the name of the mirror's journal in the data folder.
const journalName = "follow"

// Config is what a Mirror needs.
type Config struct {
	// Self is the daemon with the incarnation of its data folder.
	Self state.Holder
	// Domain is the daemon's failure domain.
	Domain poplar.Domain
	// Files is set at a daemon that may hold its domain's ledger.
	Files poplar.Files
	// Replica is set at a voter.
	Replica *Replica
	// Voters are the daemons that hold the log.
	Voters []poplar.Daemon
	// Peers are other daemons of the domain, to ask at the start.
	Peers []poplar.Daemon
	// Network reaches the other daemons.
	Network Network
	// Changed is called after each change of the view, without a lock held.
	Changed func(*View)
}

// Mirror keeps a daemon's copy of the replicated state. It is safe for
// concurrent use.
type Mirror struct {
	conf Config
	news *bell
	view atomic.Pointer[View]

	mu       sync.Mutex
	follower *state.Follower // invariant: guarded by mu; durable where there are files
	journal  *disk.Journal   // invariant: nil without files; guarded by mu
	learned  state.Pair      // invariant: guarded by mu; the newest pair heard of
	primed   poplar.Epoch    // invariant: guarded by mu; the backup of this epoch has all that is in force here
	sure     bool            // invariant: guarded by mu; never reset
	leaving  bool            // invariant: guarded by mu; never reset
	thin     bool            // invariant: guarded by mu; the shares are missing, and the journal is behind

	turn sync.Mutex // held while a delta is taken or a backup is primed

	loops loops.Runner
}

// New returns a mirror that knows what its files tell. Start must be called
// for it to follow.
func New(conf Config) (*Mirror, error) {
	m := &Mirror{conf: conf, news: newBell(), follower: state.NewFollower(conf.Domain)}
	if conf.Files != nil {
		if err := m.recover(); err != nil {
			return nil, err
		}
	}
	m.publish()
	return m, nil
}

func (m *Mirror) recover() error {
	journal, recovered, err := disk.Open(m.conf.Files, journalName)
	if err != nil {
		return err
	}
	m.journal = journal
	if snapshot := recovered.Snapshot(); len(snapshot) > 0 {
		if err := m.follower.Restore(snapshot); err != nil {
			return err
		}
	}
	for _, record := range recovered.Records() {
		d, err := state.Decode[state.Delta](record)
		if err != nil {
			return poplar.Fail(poplar.StepDisk, poplar.CodeCorrupt, err)
		}
		if _, err := m.follower.Apply(d); err != nil {
			return poplar.Fail(poplar.StepDisk, poplar.CodeCorrupt, err)
		}
	}
	return nil
}

// Start begins to follow.
func (m *Mirror) Start() { m.loops.Start(m.loop) }

// Stop ends the following and closes the journal.
func (m *Mirror) Stop() error {
	m.loops.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.journal == nil {
		return nil
	}
	return m.journal.Close()
}

// View returns what is in force.
func (m *Mirror) View() *View { return m.view.Load() }

// News returns a channel that is closed at the next change of the view.
func (m *Mirror) News() <-chan struct{} { return m.news.wait() }

// Share returns the domain's share of a budget, at a holder of the ledger.
func (m *Mirror) Share(budget poplar.Budget) (state.ShareItem, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.follower.Share(budget)
}

// SharesAfter returns the domain's shares that changed after index, and the
// index up to which they are known.
func (m *Mirror) SharesAfter(index poplar.Index) ([]state.ShareItem, poplar.Index) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.follower.Index() == index {
		return nil, index
	}
	return m.follower.SharesAfter(index), m.follower.Index()
}

// Mark returns how far the daemon has heard.
func (m *Mirror) Mark() state.Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.follower.Mark()
}

// Durable returns the pair of the own domain that is durable here, which may
// be older than the one that was learned.
func (m *Mirror) Durable() state.Pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.follower.Pair(m.conf.Domain)
}

// Learn takes a pair that the log has named, from the reply to a proposal,
// before the delta that carries it arrives.
func (m *Mirror) Learn(pair state.Pair) {
	m.mu.Lock()
	m.learn(pair)
	m.mu.Unlock()
	m.changed()
}

func (m *Mirror) learn(pair state.Pair) {
	if pair.Domain != m.conf.Domain {
		return
	}
	if pair.Epoch > m.learned.Epoch || pair.Epoch == m.learned.Epoch && pair.At > m.learned.At {
		m.learned = pair
	}
}

// own returns the newest pair of the own domain.
func (m *Mirror) own() state.Pair {
	pair := m.follower.Pair(m.conf.Domain)
	if m.learned.Epoch > pair.Epoch || m.learned.Epoch == pair.Epoch && m.learned.At > pair.At {
		return m.learned
	}
	return pair
}

func (m *Mirror) role(pair state.Pair) Role {
	switch m.conf.Self {
	case pair.Primary:
		return RolePrimary
	case pair.Backup:
		return RoleBackup
	default:
		return RoleRouter
	}
}

// publish replaces the view. The files are copied only when they changed.
func (m *Mirror) publish() {
	pair := m.own()
	v := &View{
		index:    m.follower.Index(),
		revision: m.follower.Revision(),
		pairs:    m.follower.Pairs(),
		members:  m.follower.Members(),
		own:      pair,
		role:     m.role(pair),
		sure:     m.sure,
	}
	if old := m.view.Load(); old != nil && old.revision == v.revision {
		v.files = old.files
	} else {
		v.files = m.follower.Files()
	}
	m.view.Store(v)
}

// changed publishes and tells those who wait.
func (m *Mirror) changed() {
	m.mu.Lock()
	m.publish()
	m.mu.Unlock()
	m.news.ring()
	if m.conf.Changed != nil {
		m.conf.Changed(m.View())
	}
}

// keep makes a delta with shares durable where there are files, and applies
// it. The caller holds mu.
func (m *Mirror) keep(d state.Delta) error {
	if err := m.compact(); err != nil {
		return err
	}
	if d.From != m.follower.Mark() || d.Empty() {
		return nil
	}
	if m.journal != nil {
		if err := m.journal.Append(state.Encode(d)); err != nil {
			return err
		}
		if err := m.journal.Sync(); err != nil {
			return err
		}
	}
	_, err := m.follower.Apply(d)
	return err
}

// skim applies a delta without shares at a router, whose journal is not read
// before a primary has given it a snapshot. The caller holds mu.
func (m *Mirror) skim(d state.Delta) error {
	changed, err := m.follower.Apply(d)
	m.thin = m.thin || changed
	return err
}

// compact replaces a long journal by a snapshot. A snapshot leaves a running
// pass out, so the pass begins anew.
func (m *Mirror) compact() error {
	if m.journal == nil || m.journal.Size() <= compactAt {
		return nil
	}
	if err := m.journal.Compact(m.follower.Snapshot()); err != nil {
		return err
	}
	return m.restart()
}

// restart drops the running pass, as a restart of the daemon would.
func (m *Mirror) restart() error {
	fresh := state.NewFollower(m.conf.Domain)
	if err := fresh.Restore(m.follower.Snapshot()); err != nil {
		return err
	}
	m.follower = fresh
	return nil
}

// Answer answers an ask of another daemon of the domain from what is in force.
func (m *Mirror) Answer(ctx context.Context, ask Ask) Answer {
	if ask.Domain == m.conf.Domain && ask.Pair.Epoch > m.View().Own().Epoch {
		m.Learn(ask.Pair)
	}
	return m.news.answer(ctx, ask, m.answer)
}

func (m *Mirror) answer(ask Ask) Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ask.Domain != m.conf.Domain {
		return Answer{
			Delta: state.Delta{Domain: ask.Domain, From: ask.Mark, Mark: ask.Mark},
			Pair:  m.follower.Pair(ask.Domain), Index: m.follower.Index(), Self: m.conf.Self,
		}
	}
	return Answer{
		Delta: m.follower.Delta(ask.Mark), Pair: m.own(), Index: m.follower.Index(),
		Self: m.conf.Self, Leaving: m.leaving,
	}
}

// Retire says in all later answers that the daemon makes a planned stop, so that
// it is not named a holder again.
func (m *Mirror) Retire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// TakePush serves a primary's push at its backup. A push of an epoch lower
// than the newest known one is refused.
func (m *Mirror) TakePush(push Keep) (Kept, error) {
	m.mu.Lock()
	kept, err := m.takePush(push)
	m.mu.Unlock()
	if err != nil {
		return Kept{}, err
	}
	m.changed()
	return kept, nil
}

func (m *Mirror) takePush(push Keep) (Kept, error) {
	if own := m.own(); push.Epoch < own.Epoch {
		err := poplar.Failf(poplar.StepCopy, poplar.CodeStale, "epoch %d was replaced by %d", push.Epoch, own.Epoch)
		return Kept{}, err.At(string(m.conf.Self.Name)).Ran(poplar.RunNo)
	}
	switch {
	case len(push.Snapshot) > 0 && push.Index < m.follower.Index():
		return m.ahead(), nil
	case len(push.Snapshot) > 0:
		if err := m.replace(push.Snapshot); err != nil {
			return Kept{}, err
		}
	case m.thin:
		return Kept{}, nil
	}
	if err := m.keep(push.Delta); err != nil {
		return Kept{}, err
	}
	return Kept{Mark: m.follower.Mark()}, nil
}

// ahead answers a primary that is behind this daemon. A daemon that has only
// followed as a router knows no shares, so it waits for the primary instead.
func (m *Mirror) ahead() Kept {
	kept := Kept{Mark: m.follower.Mark()}
	if !m.thin {
		kept.Snapshot = m.follower.Snapshot()
	}
	return kept
}

// replace makes a snapshot durable and takes it. The caller holds mu.
func (m *Mirror) replace(snapshot []byte) error {
	if err := m.follower.Restore(snapshot); err != nil {
		return err
	}
	m.thin = false
	if m.journal == nil {
		return nil
	}
	return m.journal.Compact(m.follower.Snapshot())
}

// fill makes a primary that has only followed as a router begin anew, since it
// knows no shares. Only an operator's force makes such a daemon primary.
func (m *Mirror) fill() {
	if m.thin {
		m.follower = state.NewFollower(m.conf.Domain)
		m.thin = false
	}
}

// deadline bounds one call to a source.
func deadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, time.Now().Add(d))
}
