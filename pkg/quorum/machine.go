package quorum

import (
	"math/rand/v2"
	"time"

	"poplarbend.example/poplar"
)

// This file defines the machine: its state, its clock and the dispatch of
// messages.

// Role is the role of a member in its term.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "poll" // checks whether it would win an election (pre-vote)
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// Config contains the settings of a machine. Durations and limits that are not
// positive take their default values.
type Config struct {
	// Self is the member that the machine implements.
	Self Member
	// Cluster identifies the log. Step drops messages of another log.
	Cluster uint64
	// HeartbeatInterval is the interval between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the election timeout: the minimum time without a leader
	// before an election, and the time after which a leader without contact to
	// a majority steps down. Election timeouts are random between once and twice
	// this value.
	ElectionTimeout time.Duration
	// Seed is the seed of the random election timeouts.
	Seed uint64
	// MaxMessageSize limits the entries in one message, in bytes. A message
	// with a single entry may exceed it.
	MaxMessageSize int
	// MaxInflight limits the number of unanswered messages to one member.
	MaxInflight int
	// MaxUncommitted limits the size of uncommitted proposals, in bytes. A
	// single proposal may exceed it.
	MaxUncommitted int
	// ChunkSize is the size of a snapshot chunk, in bytes.
	ChunkSize int
	// RetainedEntries is the number of entries covered by the snapshot that a
	// compaction retains in memory for members that lag slightly.
	RetainedEntries int
}

// The default times of a Config. With them, the leader of five voters sends and
// receives less than 2 KB/s while idle.
const (
	DefaultHeartbeatInterval = 700 * time.Millisecond
	DefaultElectionTimeout   = 2 * time.Second
)

const (
	defaultMaxMessageSize  = 64 << 10  // bytes
	defaultMaxInflight     = 16        // messages
	defaultMaxUncommitted  = 4 << 20   // bytes
	defaultChunkSize       = 256 << 10 // bytes
	defaultRetainedEntries = 512       // entries

	// maxSnapshotSize limits the memory for a snapshot from a peer, in bytes.
	maxSnapshotSize = 1 << 30
)

func (c Config) withDefaults() Config {
	c.HeartbeatInterval = orDefault(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.ElectionTimeout = orDefault(c.ElectionTimeout, DefaultElectionTimeout)
	c.MaxMessageSize = orDefault(c.MaxMessageSize, defaultMaxMessageSize)
	c.MaxInflight = orDefault(c.MaxInflight, defaultMaxInflight)
	c.MaxUncommitted = orDefault(c.MaxUncommitted, defaultMaxUncommitted)
	c.ChunkSize = orDefault(c.ChunkSize, defaultChunkSize)
	c.RetainedEntries = orDefault(c.RetainedEntries, defaultRetainedEntries)
	return c
}

func orDefault[N int | time.Duration](value, fallback N) N {
	if value > 0 {
		return value
	}
	return fallback
}

// RecoveredState is the state that a member reads from its disk. A new log starts
// with a snapshot at index 0 that contains the initial membership.
type RecoveredState struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Machine implements one member of the log. It is not safe for concurrent use.
type Machine struct {
	config Config
	rng    *rand.Rand

	term   poplar.Term // invariant: never decreases
	vote   Member      // invariant: at most one vote in a term
	role   Role
	leader Member // invariant: the leader of the current term, or zero when unknown

	log         entryLog
	snapshot    Snapshot       // invariant: contains committed entries only
	commit      poplar.Index   // invariant: never decreases; at most log.last()
	applied     poplar.Index   // invariant: at most commit, and at most stable
	memberships []membershipAt // invariant: memberships in the log, ascending by index; the first is that of the snapshot or older

	now              time.Time     // invariant: never decreases
	clockOffset      time.Duration // invariant: added to the times passed in, to compensate for backward jumps
	electionDeadline time.Time     // invariant: time at which a follower starts a pre-vote
	leaderContact    time.Time     // invariant: time of the last message from the leader

	leaderCommit     poplar.Index         // invariant: highest commit index that the leader sent in this session; 0 until it sent one
	leaderSession    uint64               // invariant: number of periods of uninterrupted contact with a leader; never decreases
	votes            map[Member]bool      // invariant: set while a pre-candidate or a candidate
	peers            map[Member]*progress // invariant: set while leader, for all other members
	termStart        poplar.Index         // invariant: index of the first entry of the leader's term
	nextHeartbeat    time.Time            // invariant: time of a leader's next heartbeat
	leaderSince      time.Time            // invariant: time at which this member became leader
	round            uint64               // invariant: number of the latest heartbeat round
	reads            []pendingRead        // invariant: reads that are not confirmed, in the order of arrival
	uncommitted      int                  // invariant: size of the uncommitted entries of the leader's term, in bytes
	successor        Member               // invariant: target of the leadership transfer in progress, or zero
	transferDeadline time.Time            // invariant: time at which the transfer is abandoned
	incoming         *incomingSnapshot    // invariant: partial snapshot from the leader, or nil

	outbox outbox
}

// membershipAt is a membership and the index of the entry that introduced it.
type membershipAt struct {
	index   poplar.Index
	members Membership
}

// New returns a machine that continues from the recovered state. It starts as a
// follower.
func New(config Config, recovered RecoveredState, now time.Time) *Machine {
	config = config.withDefaults()
	s := recovered.Snapshot
	m := &Machine{
		config:      config,
		rng:         rand.New(rand.NewPCG(config.Seed, config.Self.hash())),
		term:        recovered.Hard.Term,
		vote:        recovered.Hard.Vote,
		role:        RoleFollower,
		log:         entryLog{base: s.Index, baseTerm: s.Term, list: recovered.Entries},
		snapshot:    s,
		commit:      max(s.Index, min(recovered.Hard.Commit, s.Index+poplar.Index(len(recovered.Entries)))),
		applied:     s.Index,
		memberships: []membershipAt{{s.Index, s.Members}},
		now:         now,
	}
	for _, e := range recovered.Entries {
		m.recordMembership(e)
	}
	m.outbox.stable = m.log.last()
	m.outbox.batchCommit = m.commit
	m.outbox.firstUnbatched = m.log.last() + 1
	m.resetElectionTimer()
	return m
}

// Role returns the member's role.
func (m *Machine) Role() Role { return m.role }

// Term returns the member's term.
func (m *Machine) Term() poplar.Term { return m.term }

// Leader returns the leader of the term, or the zero Member when it is unknown.
func (m *Machine) Leader() Member { return m.leader }

// Commit returns the index of the last entry known to be committed.
func (m *Machine) Commit() poplar.Index { return m.commit }

// Last returns the index of the last entry.
func (m *Machine) Last() poplar.Index { return m.log.last() }

// Members returns the current membership: the latest one in the log, committed
// or not (§4.1).
func (m *Machine) Members() Membership { return m.memberships[len(m.memberships)-1].members }

// MembershipCommitted reports whether the current membership is committed.
func (m *Machine) MembershipCommitted() bool {
	return m.memberships[len(m.memberships)-1].index <= m.commit
}

// CaughtUp reports whether this member has a leader and knows to be committed all
// that was committed before the leader's term, and what the leader last named in the
// present session. A member that restarted or was cut off has contact with the leader
// before it has these entries.
func (m *Machine) CaughtUp() bool {
	if m.role == RoleLeader {
		return m.commit >= m.termStart
	}
	term, _ := m.log.term(m.commit)
	return m.leader != (Member{}) && term == m.term && m.leaderCommit > 0 && m.commit >= m.leaderCommit
}

// LeaderSession returns the number of the period of uninterrupted contact with a leader.
// It changes with the leader and its term, and when a follower hears from its leader again
// after more than an election timeout: entries may have been committed meanwhile. A
// leader's own number stays the same during its term.
func (m *Machine) LeaderSession() uint64 { return m.leaderSession }

// Tail returns the entries after index, committed or not.
func (m *Machine) Tail(index poplar.Index) []Entry {
	return m.log.from(index+1, m.log.last(), unlimited)
}

// LastTerm returns the term of the last entry.
func (m *Machine) LastTerm() poplar.Term { return m.log.lastTerm() }

// Hard returns the term, vote and commit index.
func (m *Machine) Hard() HardState { return HardState{Term: m.term, Vote: m.vote, Commit: m.commit} }

// Snapshot returns the last snapshot.
func (m *Machine) Snapshot() Snapshot { return m.snapshot }

// Entries returns the entries after the snapshot.
func (m *Machine) Entries() []Entry {
	return m.log.from(m.snapshot.Index+1, m.log.last(), unlimited)
}

// LastContact returns the time of the last message from a peer. A leader knows this
// time for all of its peers. Until the first message of a peer it is the time at
// which the leader added the peer. A follower knows the time for its leader only.
// For other members, Contact returns the zero time.
func (m *Machine) LastContact(peer Member) time.Time {
	if p, ok := m.peers[peer]; ok {
		return p.contact.Add(-m.clockOffset)
	}
	if peer == m.leader && !m.leaderContact.IsZero() {
		return m.leaderContact.Add(-m.clockOffset)
	}
	return time.Time{}
}

// MatchIndex returns the index up to which a leader knows that the peer's log matches
// its own and is durable. It returns 0 when the index is unknown.
func (m *Machine) MatchIndex(peer Member) poplar.Index {
	if p, ok := m.peers[peer]; ok {
		return p.match
	}
	return 0
}

// KeepsUp reports whether a leader knows that the peer has all committed entries, or at most
// an election timeout ago had all that were committed then.
func (m *Machine) KeepsUp(peer Member) bool {
	p, ok := m.peers[peer]
	return ok && p.keepsUp(m.commit, m.now)
}

// Tick advances the clock of the machine and runs the timers that have expired.
// When now is earlier than the previous time, the machine assumes that no time
// has passed and adjusts its deadlines to the new clock. A commit index that has
// changed since the last batch is persisted with the next one.
func (m *Machine) Tick(now time.Time) {
	m.advanceClock(now)
	m.outbox.hardChanged = m.outbox.hardChanged || m.commit > m.outbox.batchCommit
	if m.role == RoleLeader {
		m.tickLeader()
		return
	}
	if m.now.Before(m.electionDeadline) {
		return
	}
	m.resetElectionTimer()
	if m.Members().IsVoter(m.config.Self) {
		m.startPreVote()
	}
}

// advanceClock sets the time of the machine. A backward jump changes the clock
// offset instead.
func (m *Machine) advanceClock(now time.Time) {
	now = now.Add(m.clockOffset)
	if now.Before(m.now) {
		m.clockOffset += m.now.Sub(now)
		return
	}
	m.now = now
}

// Step handles a message from another member. It drops messages that are
// malformed or are addressed to another member, another incarnation or another
// log.
func (m *Machine) Step(msg Message, now time.Time) {
	m.advanceClock(now)
	if msg.To != m.config.Self || msg.Cluster != m.config.Cluster || !wellFormed(msg) {
		m.reportOtherIncarnation(msg)
		return
	}
	m.dispatch(msg)
}

// wellFormed reports whether a message from the network has the structure that
// the handlers rely on.
func wellFormed(msg Message) bool {
	for i, e := range msg.Entries {
		if e.Index != msg.Index+1+poplar.Index(i) || (e.Kind == KindMembers) != (e.Members != nil) {
			return false
		}
		if e.Members != nil && len(e.Members.Voters) == 0 {
			return false
		}
	}
	c := msg.Chunk
	switch msg.Type {
	case TypeChunk:
		return c != nil && len(c.Members.Voters) > 0 && c.Offset >= 0 && c.Total >= 0 && c.Total <= maxSnapshotSize
	case TypeChunkReply:
		return c != nil && c.Offset >= 0
	}
	return true
}

func (m *Machine) dispatch(msg Message) {
	switch msg.Type {
	case TypePreVote:
		m.stepPreVote(msg)
	case TypePreVoteReply:
		m.stepPreVoteReply(msg)
	case TypeVote:
		m.stepVote(msg)
	case TypeVoteReply:
		m.stepVoteReply(msg)
	case TypeAppend:
		m.stepAppend(msg)
	case TypeAppendReply:
		m.stepAppendReply(msg)
	case TypeChunk:
		m.stepChunk(msg)
	case TypeChunkReply:
		m.stepChunkReply(msg)
	case TypeTimeoutNow:
		m.stepTimeoutNow(msg)
	}
}

// follow makes the machine a follower in the given term [stepdown]. A higher
// term clears the vote.
func (m *Machine) follow(term poplar.Term, leader Member) {
	if term > m.term {
		m.term = term
		m.vote = Member{}
		m.outbox.hardChanged = true
		m.incoming = nil
	}
	if m.role != RoleFollower {
		m.resetElectionTimer()
	}
	if leader != m.leader {
		m.leaderCommit = 0
	}
	m.role = RoleFollower
	m.leader = leader
	m.votes = nil
	m.peers = nil
	m.successor = Member{}
	m.dropReads()
}

// resetElectionTimer sets the election deadline to a new random timeout.
func (m *Machine) resetElectionTimer() {
	extra := time.Duration(m.rng.Int64N(int64(m.config.ElectionTimeout)))
	m.electionDeadline = m.now.Add(m.config.ElectionTimeout + extra)
}

// recordMembership records the membership that an entry introduces.
func (m *Machine) recordMembership(e Entry) {
	if e.Kind == KindMembers {
		m.memberships = append(m.memberships, membershipAt{e.Index, *e.Members})
	}
}
