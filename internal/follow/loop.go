package follow

import (
	"context"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the loop that pulls from the sources and pushes to the
// backup.

// Times of the loop.
const (
	// hold is how long a source may hold an answer while there is no news.
	hold = 2 * time.Second
	// lull is the wait before a source that answers at once is asked again.
	lull = 500 * time.Millisecond
	// callTimeout is how long a call may take beyond that.
	callTimeout = 1500 * time.Millisecond
	// pause is the wait after a failed round.
	pause = 100 * time.Millisecond
)

func (m *Mirror) loop(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		if m.confirm(ctx) && m.round(ctx, turn) {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// confirm makes sure that what this daemon has in force is not older than what
// its domain has served. It asks every other holder of the domain's ledger for
// the pair in force; when none is known, the domain's other daemons and the
// voters. It reports true once all holders of one pair have answered since the
// start.
func (m *Mirror) confirm(ctx context.Context) bool {
	m.mu.Lock()
	sure, pair := m.sure, m.own()
	m.mu.Unlock()
	if sure {
		return true
	}
	if pair.Epoch == 0 {
		return m.discover(ctx)
	}
	for _, holder := range []state.Holder{pair.Primary, pair.Backup} {
		if holder.Name == "" || holder == m.conf.Self {
			continue
		}
		if !m.consult(ctx, holder.Name) {
			return m.discover(ctx)
		}
	}
	m.mu.Lock()
	m.sure = m.own().Epoch == pair.Epoch
	sure = m.sure
	m.mu.Unlock()
	if sure {
		m.changed()
	}
	return sure
}

// discover asks the voters for the pair in force. It reports true when the
// round after it may follow the voters: the domain has no ledger yet, or a
// holder is away and the log is there to name another.
func (m *Mirror) discover(ctx context.Context) bool {
	if m.conf.Replica != nil {
		answer := m.conf.Replica.answer(Ask{Domain: m.conf.Domain})
		m.mu.Lock()
		m.learn(answer.Pair)
		m.mu.Unlock()
	}
	reached := false
	for _, to := range append(append([]poplar.Daemon{}, m.conf.Peers...), m.conf.Voters...) {
		if to != m.conf.Self.Name && m.consult(ctx, to) {
			reached = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return (reached || m.conf.Replica != nil) && m.own().Epoch == 0
}

// consult asks one daemon for the pair in force, and a router takes its delta.
func (m *Mirror) consult(ctx context.Context, to poplar.Daemon) bool {
	m.mu.Lock()
	ask := Ask{Domain: m.conf.Domain, Mark: m.follower.Mark(), Pair: m.own()}
	m.mu.Unlock()
	call, cancel := deadline(ctx, callTimeout)
	defer cancel()
	answer, err := m.conf.Network.Follow(call, to, ask)
	if err != nil {
		return false
	}
	m.mu.Lock()
	m.learn(answer.Pair)
	pair := m.own()
	m.mu.Unlock()
	from := answer.Self
	if m.role(pair) == RoleRouter && from.Name != "" && (from == pair.Primary || from == pair.Backup) {
		// The delta may hold the first address by which the holder is known.
		err = m.take(ctx, RoleRouter, answer.Delta)
		m.changedIf(err == nil && !answer.Delta.Empty())
	}
	return err == nil && answer.Delta.Mark.Upto == 0
}

// round asks one source and takes its answer. It reports whether the source
// answered.
func (m *Mirror) round(ctx context.Context, turn int) bool {
	m.mu.Lock()
	pair := m.own()
	role := m.role(pair)
	if role == RolePrimary {
		m.fill()
	}
	ask := Ask{Domain: m.conf.Domain, Mark: m.follower.Mark(), Wait: true, Pair: pair}
	m.mu.Unlock()
	ask.Shares = role == RolePrimary
	answer, err := m.ask(ctx, ask, m.sources(pair, role), turn)
	if err != nil {
		return false
	}
	m.mu.Lock()
	m.learn(answer.Pair)
	m.mu.Unlock()
	if role == RoleBackup {
		// The primary pushes what the backup must keep; only the pair is taken
		// from the answer. A voter is ahead of the backup and answers at once.
		m.changedIf(answer.Pair.Epoch > pair.Epoch || answer.Pair.At > pair.At)
		return answer.Pair.Epoch > pair.Epoch || answer.Delta.Empty() || m.rest(ctx)
	}
	if pair.Epoch == 0 {
		// Without a ledger nothing is in force in the domain.
		m.changedIf(answer.Pair.Epoch > 0)
		return answer.Pair.Epoch > 0 || m.rest(ctx)
	}
	if err := m.take(ctx, role, answer.Delta); err != nil {
		return false
	}
	m.changedIf(!answer.Delta.Empty() || answer.Pair.At > pair.At)
	return true
}

// rest waits for a lull and reports true.
func (m *Mirror) rest(ctx context.Context) bool {
	select {
	case <-ctx.Done():
	case <-time.After(lull):
	}
	return true
}

func (m *Mirror) changedIf(changed bool) {
	if changed {
		m.changed()
	}
}

// sources returns whom to ask. A primary, and a domain that has no ledger yet,
// ask the voters; a backup asks its primary as well, which knows first that it
// hands over; a router asks the holders of its domain's ledger, and other
// daemons of the domain when those are away.
func (m *Mirror) sources(pair state.Pair, role Role) []poplar.Daemon {
	switch {
	case role == RolePrimary || pair.Epoch == 0:
		return m.conf.Voters
	case role == RoleBackup:
		return m.backupSources(pair)
	}
	all := []poplar.Daemon{pair.Primary.Name}
	if pair.Backup.Name != "" {
		all = append(all, pair.Backup.Name)
	}
	for _, p := range m.conf.Peers {
		if p != pair.Primary.Name && p != pair.Backup.Name {
			all = append(all, p)
		}
	}
	return all
}

// backupSources returns the primary before each voter, so that a backup mostly
// waits at its primary.
func (m *Mirror) backupSources(pair state.Pair) []poplar.Daemon {
	var all []poplar.Daemon
	for _, v := range m.conf.Voters {
		all = append(all, pair.Primary.Name, v)
	}
	return all
}

// ask asks one of sources; which one changes with each failed or empty turn.
func (m *Mirror) ask(ctx context.Context, ask Ask, sources []poplar.Daemon, turn int) (Answer, error) {
	held, cancelHold := deadline(ctx, hold)
	defer cancelHold()
	local := m.conf.Replica != nil && ask.Shares
	if local && turn%2 == 0 || len(sources) == 0 && m.conf.Replica != nil {
		return m.conf.Replica.Answer(held, ask), nil
	}
	if len(sources) == 0 {
		return Answer{}, poplar.Failf(poplar.StepPropose, poplar.CodeUnreachable, "there is no source to follow")
	}
	to := sources[turn%len(sources)]
	if to == m.conf.Self.Name {
		if m.conf.Replica != nil {
			return m.conf.Replica.Answer(held, ask), nil
		}
		return Answer{}, poplar.Failf(poplar.StepPropose, poplar.CodeUnreachable, "the only source is this daemon")
	}
	call, cancel := deadline(ctx, hold+callTimeout)
	defer cancel()
	return m.conf.Network.Follow(call, to, ask)
}

// take puts a delta in force. A primary first pushes it to a backup that could
// take over, or is about to.
func (m *Mirror) take(ctx context.Context, role Role, d state.Delta) error {
	if d.Empty() {
		return nil
	}
	m.turn.Lock()
	defer m.turn.Unlock()
	m.mu.Lock()
	pair := m.own()
	for _, p := range d.Pairs {
		if p.Domain == m.conf.Domain && p.Epoch >= pair.Epoch {
			pair = p
		}
	}
	counts := pair.Ready() || m.primed == pair.Epoch
	m.mu.Unlock()
	if role == RolePrimary && m.role(pair) == RolePrimary && pair.Backup.Name != "" && counts {
		if err := m.push(ctx, pair, d); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if role == RoleRouter {
		return m.skim(d)
	}
	return m.keep(d)
}

// push gives a delta to the backup, after a snapshot when the backup is not
// where the delta begins. A backup that is ahead, since this daemon stopped
// before it took what it had pushed, hands its own snapshot back.
func (m *Mirror) push(ctx context.Context, pair state.Pair, d state.Delta) error {
	for _, whole := range []bool{false, true} {
		kept, err := m.send(ctx, pair, d, whole)
		if err != nil {
			return err
		}
		if kept.Mark == d.Mark {
			return nil
		}
		if len(kept.Snapshot) > 0 {
			return m.adopt(kept.Snapshot)
		}
	}
	// The backup has the snapshot but not the running pass, which begins anew.
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.restart(); err != nil {
		return err
	}
	return behind(pair, d.Mark)
}

func behind(pair state.Pair, mark state.Mark) error {
	return poplar.Failf(poplar.StepCopy, poplar.CodeStale, "the backup is not at index %d", mark.Index).
		At(string(pair.Backup.Name))
}

// adopt replaces what this daemon knows by the snapshot of its backup.
func (m *Mirror) adopt(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.replace(snapshot)
}

func (m *Mirror) send(ctx context.Context, pair state.Pair, d state.Delta, whole bool) (Kept, error) {
	push := Keep{Epoch: pair.Epoch, Delta: d}
	if whole {
		m.mu.Lock()
		push.Snapshot = m.follower.Snapshot()
		push.Index = m.follower.Index()
		m.mu.Unlock()
	}
	call, cancel := deadline(ctx, callTimeout)
	defer cancel()
	return m.conf.Network.Keep(call, pair.Backup.Name, push)
}

// Prime gives the backup of pair a snapshot. It must succeed before the log is
// told that the pair is ready; from then on every delta is pushed first.
func (m *Mirror) Prime(ctx context.Context, pair state.Pair) error {
	m.turn.Lock()
	defer m.turn.Unlock()
	kept, err := m.send(ctx, pair, state.Delta{Domain: m.conf.Domain}, true)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if mark := m.follower.Mark(); kept.Mark.Index != mark.Index {
		return behind(pair, mark)
	}
	m.primed = pair.Epoch
	return nil
}
