package member

import "time"

// Daemons agree on the round number without comparing clocks: each adopts a
// higher number that it receives, so that all follow the one furthest ahead.
// When the rounds agree, a heartbeat reaches each of n daemons once, within
// log2(n) rounds.

// minRounds is the shortest cycle, in rounds: small domains send each heartbeat
// more often than needed.
const minRounds = 4

// rounds is the round counter of one daemon.
type rounds struct {
	base  int64     // the round that began at since
	since time.Time // invariant: not after the machine's time
}

// at returns the round at now.
func (r *rounds) at(now time.Time) int64 { return r.base + int64(now.Sub(r.since)/RoundInterval) }

// adopt switches to a higher round, which has just begun.
func (r *rounds) adopt(round int64, now time.Time) {
	if round > r.at(now) {
		r.base, r.since = round, now
	}
}

// minCoverage is the fraction of the domain's daemons whose heartbeats must
// have arrived in the last cycle. When fewer have, heartbeats are forwarded for
// longer.
const minCoverage = 0.95

// cycleRounds returns the number of rounds of a cycle, within which a heartbeat
// reaches every daemon of the domain.
func (m *Machine) cycleRounds() int64 { return max(minRounds, int64(doublingRounds(len(m.ring())))) }

// maxForwardAge returns the age up to which a heartbeat is forwarded: after one
// cycle every daemon has it, unless messages are lost.
func (m *Machine) maxForwardAge() time.Duration {
	cycle := time.Duration(m.cycleRounds()) * RoundInterval
	if m.activeTime < m.lossyUntil {
		return 2*cycle + RoundInterval/2
	}
	return cycle - RoundInterval/2
}

// checkCoverage checks, at the start of a cycle, whether the heartbeats of the
// last one have arrived.
func (m *Machine) checkCoverage() {
	cycle := time.Duration(m.cycleRounds()) * RoundInterval
	ring, received := m.ring(), 0
	for _, p := range ring {
		if p == m.self || m.now.Sub(p.heartbeatAt) < cycle+cycle/2 {
			received++
		}
	}
	m.lossy = float64(received) < minCoverage*float64(len(ring))
	if m.lossy {
		m.lossyUntil = m.activeTime + 3*cycle
	}
}
