package member

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarbend.example/poplar"
)

// Machine is the membership state machine of one daemon. It is not safe for
// concurrent use.
type Machine struct {
	conf       Config
	self       *peer
	peers      map[peerID]*peer // invariant: self is among them
	byName     map[poplar.Daemon]*peer
	departures map[poplar.Upstream]departure
	summaries  map[poplar.Domain]Summary
	random     *rand.Rand

	now          time.Time     // invariant: never moves back
	activeTime   time.Duration // time for which this process was not paused
	cycle        int64         // the cycle of the last heartbeat
	rounds       rounds
	lossy        bool          // heartbeats of the last cycle are missing
	lossyUntil   time.Duration // in active time: until then heartbeats are forwarded for longer
	loadsAt      time.Time     // when loads were last sent
	allLoadsAt   time.Time     // when all loads were last sent
	round        int64         // the last round in which a message was sent
	lastSeedAt   time.Time     // when a seed was last contacted
	seedIndex    int           // index of the seed last contacted
	gatewayTurns map[poplar.Domain]int64
	rebroadcast  []poplar.Leave // leaves to broadcast again on the next tick
	revision     poplar.Revision
	epoch        poplar.Epoch
	maxRevision  poplar.Revision // the highest revision received
	maxEpoch     poplar.Epoch    // the highest epoch received from the own domain
	settled      bool            // a peer has received a heartbeat made after the start, or the last pause or silence
	resumeSeq    uint64          // heartbeats from this sequence number on were made after the last pause or silence
	lastContact  time.Duration   // active time of the last message received from any peer

	changes []Change
	view    *View // nil when it must be rebuilt
}

// departure records that an upstream left.
type departure struct {
	incarnation uint64
	at          time.Time
}

// New returns a machine that knows only its own daemon. Its time starts at now.
func New(conf Config, now time.Time) *Machine {
	m := &Machine{
		conf: conf, peers: map[peerID]*peer{}, byName: map[poplar.Daemon]*peer{},
		departures: map[poplar.Upstream]departure{}, summaries: map[poplar.Domain]Summary{},
		gatewayTurns: map[poplar.Domain]int64{}, now: now, resumeSeq: 1, rounds: rounds{since: now}, round: -1, cycle: -1,
		random: rand.New(rand.NewPCG(conf.Seed, uint64(idOf(conf.Name)))),
	}
	p := newPeer(idOf(conf.Name))
	p.name, p.domain, p.address = conf.Name, conf.Domain, conf.Address
	p.incarnation, p.heartbeatAt = max(1, conf.Incarnation), now
	m.self = p
	m.peers[p.id] = p
	m.byName[p.name] = p
	return m
}

// SetVersions sets the configuration revision and the ledger epoch in force at this
// daemon. Peers compare them with their own.
func (m *Machine) SetVersions(revision poplar.Revision, epoch poplar.Epoch) {
	m.revision, m.epoch = revision, epoch
	m.maxRevision, m.maxEpoch = max(m.maxRevision, revision), max(m.maxEpoch, epoch)
	m.view = nil
}

// Tick advances the time and returns the messages of this round.
func (m *Machine) Tick(now time.Time) []Envelope {
	m.advance(now)
	var out []Envelope
	if m.expireSilent() {
		m.nextHeartbeat()
		out = m.broadcast(nil)
	}
	if len(m.rebroadcast) > 0 {
		out = append(out, m.broadcast(m.rebroadcast)...)
		m.rebroadcast = nil
	}
	m.emitStateChanges()
	m.prune()
	if round := m.rounds.at(m.now); round != m.round {
		m.round = round
		if cycle := round / m.cycleRounds(); cycle != m.cycle {
			m.cycle = cycle
			m.checkCoverage()
			m.nextHeartbeat()
		}
		out = append(out, m.gossip(round)...)
		out = append(out, m.contactDomains()...)
		out = append(out, m.contactSeed()...)
	}
	return out
}

// advance moves the time forward. A long gap between ticks is a pause of this
// process, and does not count as silence of the peers. After a pause, or when no
// message has arrived for SuspectTimeout, this daemon is no longer settled: no
// heartbeat confirms anything until a peer echoes a newer one of this daemon.
func (m *Machine) advance(now time.Time) {
	gap := now.Sub(m.now)
	if gap <= 0 {
		return
	}
	m.now = now
	m.activeTime += min(gap, 2*RoundInterval)
	m.view = nil
	if gap > pauseThreshold || m.activeTime-m.lastContact > SuspectTimeout {
		m.unsettle()
	}
}

func (m *Machine) unsettle() {
	if m.settled {
		m.settled = false
		m.resumeSeq = m.self.seq + 1
	}
}

// nextHeartbeat starts the next heartbeat of this daemon.
func (m *Machine) nextHeartbeat() {
	m.self.seq++
	m.self.heartbeatAt = m.now
	m.self.lastContact = m.activeTime
	m.self.loads = nil
	if m.now.Sub(m.loadsAt) >= loadInterval {
		m.loadsAt = m.now
		m.self.loads = m.changedLoads()
	}
}

// Step handles a message from the daemon named from, or from an unknown daemon
// when from is empty, and returns the messages to send. An error means that the
// message is malformed and that the state is unchanged.
func (m *Machine) Step(from poplar.Daemon, data []byte, now time.Time) ([]Envelope, error) {
	in, err := decode(data)
	if err != nil {
		return nil, poplar.Fail(poplar.StepPeer, poplar.CodeInvalid, err).At(string(from))
	}
	m.advance(now)
	sender := in.heartbeats[0].id
	if sender == m.self.id {
		return nil, nil
	}
	for _, c := range in.deltas {
		m.mergeDelta(c)
	}
	for _, l := range in.leaves {
		m.recordLeave(l)
	}
	var requests []deltaRequest
	for i := range in.heartbeats {
		if req, ok := m.mergeHeartbeat(&in.heartbeats[i]); ok {
			requests = append(requests, req)
		}
	}
	for _, s := range in.summaries {
		m.mergeSummary(s)
	}
	m.observeSender(sender, in)
	return m.reply(from, sender, in, requests), nil
}

// observeSender records the revision, epoch, round and losses that the sender
// reports, and whether the sender has received a heartbeat made after the last
// pause or silence.
func (m *Machine) observeSender(sender peerID, in *message) {
	m.lastContact = m.activeTime
	m.maxRevision = max(m.maxRevision, in.revision)
	if p := m.peers[sender]; p != nil && p.domain == m.conf.Domain {
		m.rounds.adopt(in.round, m.now)
		if in.lossy {
			m.lossyUntil = max(m.lossyUntil, m.activeTime+2*time.Duration(m.cycleRounds())*RoundInterval)
		}
	}
	if p := m.peers[sender]; p != nil && p.domain == m.conf.Domain {
		m.maxEpoch = max(m.maxEpoch, in.epoch)
	}
	if in.echo && in.echoIncarnation == m.self.incarnation && in.echoSeq >= m.resumeSeq {
		m.settled = true
	}
	m.view = nil
}

// mergeHeartbeat applies a heartbeat, and returns a request for the catalog
// when the heartbeat names a newer version than this daemon holds.
func (m *Machine) mergeHeartbeat(h *heartbeat) (deltaRequest, bool) {
	p := m.peers[h.id]
	if p == m.self {
		m.refute(h)
		return deltaRequest{}, false
	}
	if p == nil {
		if len(m.peers) >= maxPeers {
			return deltaRequest{}, false
		}
		p = newPeer(h.id)
		m.peers[h.id] = p
	}
	if p.newer(h.incarnation, h.seq) {
		m.applyHeartbeat(p, h)
	}
	if p.incarnation != h.incarnation || p.heldVersion >= p.latestVersion && p.name != "" || m.now.Sub(p.requestedAt) < requestInterval {
		return deltaRequest{}, false
	}
	p.requestedAt = m.now
	return deltaRequest{id: p.id, incarnation: p.incarnation, from: p.heldVersion}, true
}

// applyHeartbeat applies a heartbeat that is newer than the known one. The
// heartbeat confirms upstreams only when the held catalog is at least at the
// version it names: entries changed after that version were renewed even later.
func (m *Machine) applyHeartbeat(p *peer, h *heartbeat) {
	if h.incarnation > p.incarnation {
		p.resetIncarnation(h.incarnation)
	}
	p.seq, p.left = h.seq, h.left
	p.heartbeatAt, p.lastContact, p.oldestRenewal = m.now.Add(-h.age), m.activeTime, h.oldestRenewal
	p.latestVersion, p.loads, p.forwards = h.version, h.loads, 0
	if p.heldVersion >= p.latestVersion && p.name != "" {
		m.confirmEntries(p)
	}
}

// confirmEntries applies the newest heartbeat of p to the held catalog. After a
// pause or silence no heartbeat confirms anything until this daemon is settled:
// the message may have waited in a buffer, and its age does not include that
// wait.
func (m *Machine) confirmEntries(p *peer) {
	m.view = nil
	if !m.settled {
		return
	}
	m.applyLoads(p)
	if at := p.heartbeatAt.Add(-p.oldestRenewal); at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
	for _, e := range p.entries {
		if e.Status == statusLive {
			m.emit(Change{Kind: UpstreamRenewed, Notice: e.Notice, Due: p.due(e)})
		}
	}
}

// refute moves to a higher incarnation when peers still disseminate a later
// heartbeat of an earlier process with this name.
func (m *Machine) refute(h *heartbeat) {
	if !m.self.newer(h.incarnation, h.seq) {
		return
	}
	m.self.incarnation, m.self.seq = h.incarnation+1+m.incarnationStep(), 0
	m.resumeSeq = 1
	m.nextHeartbeat()
}

// incarnationStep returns an additional step that differs between the processes
// of this name. An earlier process may have skipped ahead in the same way, with
// only some peers informed, so that a fixed step could produce the same
// incarnation again.
func (m *Machine) incarnationStep() uint64 {
	var start [8]byte
	binary.LittleEndian.PutUint64(start[:], m.conf.Incarnation)
	return xxhash.Sum64(start[:]) & maxIncarnationStep
}

// mergeDelta applies a part of a catalog when it continues the held part.
func (m *Machine) mergeDelta(c catalogDelta) {
	for _, e := range c.Entries {
		if e.Status == statusLeft {
			m.recordLeave(poplar.Leave{Stamp: e.Notice.Stamp})
		}
	}
	if c.Name == "" || len(c.Name) > maxName || len(c.Address) > maxName || c.To < c.From {
		return
	}
	p := m.peers[idOf(c.Name)]
	if p == nil && len(m.peers) < maxPeers {
		p = newPeer(idOf(c.Name))
		m.peers[p.id] = p
	}
	if p == nil || p == m.self || p.name != "" && p.name != c.Name || c.Incarnation < p.incarnation {
		return
	}
	if c.Incarnation > p.incarnation {
		p.resetIncarnation(c.Incarnation)
	}
	if p.name == "" {
		p.name = c.Name
		p.lastContact = m.activeTime
		m.byName[p.name] = p
	}
	p.domain, p.address = c.Domain, c.Address
	m.mergeEntries(p, c)
}

// mergeEntries adds the entries of a delta that starts at or before the held
// version.
func (m *Machine) mergeEntries(p *peer, c catalogDelta) {
	m.view = nil
	if c.Reset && c.To > p.heldVersion {
		clear(p.entries)
		p.heldVersion = 0
	}
	if c.From > p.heldVersion || c.To <= p.heldVersion {
		return
	}
	for _, e := range c.Entries {
		if existing := p.entries[e.Notice.Upstream]; existing != nil && existing.Version >= e.Version || len(p.entries) >= maxEntries {
			continue
		}
		if e.Notice.Upstream == "" || len(e.Notice.Upstream) > maxName {
			continue
		}
		e.renewed, e.load, e.loadAt = time.Time{}, poplar.Load{}, time.Time{}
		p.entries[e.Notice.Upstream] = &e
		if e.Status != statusLive {
			m.emitGone(e.Notice.Upstream)
		}
	}
	p.heldVersion = c.To
	if p.heldVersion >= p.latestVersion && p.seq > 0 {
		m.confirmEntries(p)
	}
}
