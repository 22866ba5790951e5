package member

import (
	"cmp"
	"maps"
	"slices"

	"poplarbend.example/poplar"
)

// This file chooses the receivers of messages and composes the messages.

// ring returns the daemons of the domain that are not known to be dead or to
// have left, in the same order at every daemon.
func (m *Machine) ring() []*peer {
	var out []*peer
	for _, p := range m.peers {
		if p.name != "" && p.domain == m.conf.Domain && !p.left && (p == m.self || m.stateOf(p) != Dead) {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

func byID(a, b *peer) int { return cmp.Compare(a.id, b.id) }

// gossip sends to one daemon of the domain per round: the daemon 2^k places
// further on the ring in round k, and once in randomPeerPeriod rounds also to a random one.
func (m *Machine) gossip(round int64) []Envelope {
	var out []Envelope
	if ring := m.ring(); len(ring) > 1 {
		k := int(round % int64(doublingRounds(len(ring))))
		to := ring[(slices.Index(ring, m.self)+1<<k)%len(ring)]
		out = append(out, m.envelope(to, m.domainUpdate()))
	}
	if to := m.randomDomainPeer(round); to != nil {
		out = append(out, m.envelope(to, m.newMessage()))
	}
	return out
}

// domainUpdate returns the message to a daemon of the domain, with all recent
// updates.
func (m *Machine) domainUpdate() *message {
	out := m.newMessage()
	out.heartbeats = append(out.heartbeats, m.forwardedHeartbeats()...)
	for _, domain := range sortedKeys(m.summaries) {
		s := m.summaries[domain]
		if domain != m.conf.Domain && s.forwards < maxForwards {
			s.forwards++
			m.summaries[domain] = s
			s.age = m.now.Sub(s.Made)
			out.summaries = append(out.summaries, s)
		}
	}
	return out
}

func sortedKeys[K cmp.Ordered, V any](all map[K]V) []K { return slices.Sorted(maps.Keys(all)) }

// randomDomainPeer returns a random daemon of the domain, dead ones included,
// once in randomPeerPeriod rounds, and nil in all others.
func (m *Machine) randomDomainPeer(round int64) *peer {
	if round%randomPeerPeriod != 0 {
		return nil
	}
	var all []*peer
	for _, p := range m.peers {
		if p != m.self && p.name != "" && p.domain == m.conf.Domain && !p.left {
			all = append(all, p)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, byID)
	return all[m.random.IntN(len(all))]
}

// forwardedHeartbeats returns the heartbeats of other daemons to forward: those
// of this domain up to maxForwardAge, and those of other domains maxForwards
// times.
func (m *Machine) forwardedHeartbeats() []heartbeat {
	fresh := m.maxForwardAge()
	var out []heartbeat
	for _, p := range m.peers {
		if p == m.self || p.seq == 0 {
			continue
		}
		if p.domain == m.conf.Domain && m.now.Sub(p.heartbeatAt) < fresh {
			out = append(out, m.heartbeatOf(p))
		}
		if p.domain != m.conf.Domain && p.latestVersion > 0 && p.forwards < maxForwards {
			p.forwards++
			out = append(out, m.heartbeatOf(p))
		}
	}
	slices.SortFunc(out, func(a, b heartbeat) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (m *Machine) heartbeatOf(p *peer) heartbeat {
	h := heartbeat{
		id: p.id, incarnation: p.incarnation, seq: p.seq, age: m.now.Sub(p.heartbeatAt),
		version: p.latestVersion, left: p.left, loads: p.loads,
	}
	h.oldestRenewal = p.oldestRenewal
	if p == m.self {
		h.oldestRenewal = m.oldestRenewal()
	}
	return h
}

// newMessage returns a message that begins with this daemon's heartbeat.
func (m *Machine) newMessage() *message {
	return &message{hello: !m.settled, lossy: m.lossy, round: m.rounds.at(m.now), revision: m.revision, epoch: m.epoch, heartbeats: []heartbeat{m.heartbeatOf(m.self)}}
}

func (m *Machine) envelope(to *peer, out *message) Envelope {
	return Envelope{To: to.name, Address: to.address, Data: out.encode()}
}

// broadcast sends the last change of this daemon's catalog, or the given
// leaves, to every daemon of the domain at once.
func (m *Machine) broadcast(leaves []poplar.Leave) []Envelope {
	var out []Envelope
	body := m.newMessage()
	body.leaves = leaves
	if n := m.self.heldVersion; n > 0 && len(leaves) == 0 {
		body.deltas = []catalogDelta{m.self.delta(n-1, MaxMessage)}
	}
	data := body.encode()
	for _, p := range m.ring() {
		if p != m.self {
			out = append(out, Envelope{To: p.name, Address: p.address, Data: data})
		}
	}
	return out
}

// contactSeed sends to a seed, at shorter intervals after the start. The seed
// introduces other daemons of the domain to a daemon that has just started.
func (m *Machine) contactSeed() []Envelope {
	every := seedInterval
	switch {
	case !m.settled || len(m.ring()) == 1:
		every = seedAloneInterval
	case m.activeTime < startPeriod:
		every = seedStartInterval
	}
	if len(m.conf.Seeds) == 0 || !m.lastSeedAt.IsZero() && m.now.Sub(m.lastSeedAt) < every {
		return nil
	}
	m.lastSeedAt = m.now
	out := m.newMessage()
	out.hello = true
	out.deltas = []catalogDelta{m.self.delta(m.self.heldVersion, MaxMessage)}
	m.seedIndex = (m.seedIndex + 1) % len(m.conf.Seeds)
	return []Envelope{{Address: m.conf.Seeds[m.seedIndex], Data: out.encode()}}
}

// contactDomains sends to other domains. The daemons of the domain take turns.
func (m *Machine) contactDomains() []Envelope {
	ring := m.ring()
	if len(ring) == 0 {
		// This daemon has left, and no other of its domain is alive.
		return nil
	}
	turn := m.now.UnixNano() / int64(gatewayInterval)
	var out []Envelope
	for i, domain := range m.nearDomains() {
		mine := ring[int((turn+int64(i))%int64(len(ring)))] == m.self
		if !mine || m.gatewayTurns[domain] == turn {
			continue
		}
		m.gatewayTurns[domain] = turn
		if to := m.randomPeerOf(domain); to != nil {
			out = append(out, m.envelope(to, m.digest()))
		}
	}
	return out
}

// nearDomains returns the domains that this one exchanges upstreams with.
func (m *Machine) nearDomains() []poplar.Domain {
	if len(m.conf.NearDomains) > 0 {
		return m.conf.NearDomains
	}
	seen := map[poplar.Domain]bool{m.conf.Domain: true}
	var out []poplar.Domain
	for _, p := range m.peers {
		if p.name != "" && !seen[p.domain] {
			seen[p.domain] = true
			out = append(out, p.domain)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxNearDomains)]
}

// randomPeerOf returns a random daemon of the domain, usually one that is alive
// if there is any.
func (m *Machine) randomPeerOf(domain poplar.Domain) *peer {
	var live, all []*peer
	for _, p := range m.peers {
		if p.name == "" || p.domain != domain || p.left {
			continue
		}
		all = append(all, p)
		if m.stateOf(p) == Alive {
			live = append(live, p)
		}
	}
	if len(live) > 0 && m.random.IntN(4) > 0 {
		all = live
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, byID)
	return all[m.random.IntN(len(all))]
}

// digest returns the message to another domain: the heartbeats of a few owners,
// always the same ones while they are alive, and the summary of all upstreams
// of this domain.
func (m *Machine) digest() *message {
	out := m.newMessage()
	out.deltas = []catalogDelta{m.self.delta(m.self.heldVersion, MaxMessage)}
	owners := m.advertisedOwners()
	if !slices.Contains(owners, m.self) {
		out.heartbeats[0].clearUpstreams()
	}
	for _, p := range owners {
		if p != m.self {
			out.heartbeats = append(out.heartbeats, m.heartbeatOf(p))
		}
	}
	for i := range out.heartbeats {
		out.heartbeats[i].loads = nil
	}
	out.summaries = []Summary{m.summary()}
	return out
}

// advertisedOwners returns the owners that are advertised to other domains.
func (m *Machine) advertisedOwners() []*peer {
	var out []*peer
	for _, p := range m.ring() {
		if len(p.entries) > 0 && len(out) < maxAdvertisedOwners {
			out = append(out, p)
		}
	}
	return out
}

// clearUpstreams removes all information on upstreams from a heartbeat.
func (h *heartbeat) clearUpstreams() {
	h.version, h.loads, h.oldestRenewal = 0, nil, 255*ageUnit
}

// introductions returns the names and addresses of some daemons of the
// receiver's domain, and of one daemon in each of a few other domains. A new
// daemon may know nobody but a seed.
func (m *Machine) introductions(to peerID) []catalogDelta {
	p := m.peers[to]
	if p == nil || p.name == "" {
		return nil
	}
	var all []*peer
	for _, q := range m.peers {
		if q != p && q != m.self && q.name != "" && !q.left {
			all = append(all, q)
		}
	}
	slices.SortFunc(all, byID)
	introduced := map[poplar.Domain]int{}
	var out []catalogDelta
	for _, i := range m.random.Perm(len(all)) {
		q := all[i]
		room := maxIntroductions
		if q.domain != p.domain {
			room = min(1, maxIntroductions-len(introduced))
		}
		if introduced[q.domain] < room {
			introduced[q.domain]++
			out = append(out, q.delta(q.heldVersion, 0))
		}
	}
	return out
}

// reply returns the response to the requests and hello of a message, with
// requests for missing catalog deltas.
func (m *Machine) reply(from poplar.Daemon, sender peerID, in *message, requests []deltaRequest) []Envelope {
	out := m.newMessage()
	out.requests = requests
	room := MaxMessage
	for _, req := range in.requests {
		p := m.peers[req.id]
		if room <= 0 || p == nil || p.name == "" || p.incarnation < req.incarnation || p.incarnation == req.incarnation && p.heldVersion <= req.from && req.from > 0 {
			continue
		}
		if p.incarnation > req.incarnation {
			req.from = 0
		}
		c := p.delta(req.from, room)
		out.deltas = append(out.deltas, c)
		room -= 100
		for i := range c.Entries {
			room -= sizeOf(c.Entries[i].Notice)
		}
	}
	if in.hello {
		out.echo, out.echoIncarnation, out.echoSeq = true, in.heartbeats[0].incarnation, in.heartbeats[0].seq
		out.deltas = append(out.deltas, m.self.delta(m.self.heldVersion, MaxMessage))
		out.deltas = append(out.deltas, m.introductions(sender)...)
	}
	p := m.peers[sender]
	switch {
	case p == nil || p.domain != m.conf.Domain:
		out.heartbeats[0].clearUpstreams()
	case in.hello:
		out.heartbeats = append(out.heartbeats, m.forwardedHeartbeats()...)
	}
	stale := p != nil && p.supersedes(&in.heartbeats[0])
	if stale {
		out.heartbeats = append(out.heartbeats, m.heartbeatOf(p))
	}
	if !in.hello && !stale && len(out.requests) == 0 && len(out.deltas) == 0 {
		return nil
	}
	if in.echo {
		out.hello = false
	}
	e := Envelope{To: from, Data: out.encode()}
	if p != nil && p.name != "" {
		e.To, e.Address = p.name, p.address
	}
	if e.To == "" && e.Address == "" {
		return nil
	}
	return []Envelope{e}
}
