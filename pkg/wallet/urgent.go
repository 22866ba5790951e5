package wallet

import (
	"time"

	"poplarbend.example/poplar"
)

// The last tokens of a budget are kept for its more urgent requests. Without this,
// large requests of the least urgent rank take most of them, and the urgent ones of
// the same workspace are refused for as long as nobody adds tokens.

const (
	// keepTime is the time for which the use of more urgent requests is kept, and
	// maxKeptFraction the largest fraction of a grant that is kept. A workspace
	// without urgent requests keeps nothing.
	keepTime        = 60 * time.Second
	maxKeptFraction = 0.1
	// urgentRanks is the number of ranks for which tokens are kept. All requests of
	// a higher rank, which are less urgent, count as one.
	urgentRanks = 2
	// restartedUseTime is the uptime of a router up to which the use that its previous
	// incarnation reported counts.
	restartedUseTime = 15 * time.Second
	// urgentFellFactor is the factor by which the use must have fallen to make a draw
	// due.
	urgentFellFactor = 4
)

// UrgentUse is the use of tokens by urgent requests, in tokens per second. Element i
// covers the requests of rank i, where 0 is the most urgent.
type UrgentUse [urgentRanks]poplar.Tokens

func (u *UrgentUse) add(v UrgentUse) {
	for i := range u {
		u[i] += v[i]
	}
}

func (u *UrgentUse) remove(v UrgentUse) {
	for i := range u {
		u[i] -= v[i]
	}
}

// below returns the use by all requests that are more urgent than the rank.
func (u UrgentUse) below(rank int) poplar.Tokens {
	sum := poplar.Tokens(0)
	for _, rate := range u[:min(max(rank, 0), urgentRanks)] {
		sum += rate
	}
	return sum
}

// after returns the use of a router whose previous incarnation had reported u, that
// itself reports v, and that has been up for the given number of milliseconds. A
// router that has just started has not measured anything, and its callers come back.
func (u UrgentUse) after(v UrgentUse, uptime int64) UrgentUse {
	if time.Duration(uptime)*time.Millisecond < restartedUseTime {
		for i := range v {
			v[i] = max(v[i], u[i])
		}
	}
	return v
}

// urgentMeter measures the recent use of urgent requests at one router.
type urgentMeter struct {
	rates   [urgentRanks]float64 // tokens per second
	updated time.Time            // invariant: when the rates were last decayed
}

// decay brings the rates up to now.
func (m *urgentMeter) decay(now time.Time) {
	if !m.updated.IsZero() {
		factor := max(1-float64(now.Sub(m.updated))/float64(demandWindow), 0)
		for i := range m.rates {
			m.rates[i] *= factor
		}
	}
	m.updated = now
}

// use returns the rates as of the last decay.
func (m *urgentMeter) use() UrgentUse {
	var u UrgentUse
	for i, rate := range m.rates {
		u[i] = poplar.Tokens(rate)
	}
	return u
}

// fell reports whether the use has fallen so far since it was reported that others
// would keep far too much.
func (m *urgentMeter) fell(reported UrgentUse) bool {
	return reported.below(urgentRanks) > urgentFellFactor*(m.use().below(urgentRanks)+1)
}

// NoteUse counts the tokens that a request of the given rank has used.
func (w *Wallet) NoteUse(name poplar.Workspace, rank int, used poplar.Tokens, now time.Time) {
	if rank < 0 || rank >= urgentRanks {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &w.balance(name).urgent
	m.decay(now)
	m.rates[rank] += float64(used) / demandWindow.Seconds()
}

// KeptFrom reports whether a request of the given rank must leave what is left of the
// budget to more urgent requests, by the last response of the log. A request may be
// larger than the tokens beyond those that are kept, since large requests would
// otherwise be refused long before small ones of their rank. A request from which
// tokens are kept makes a draw due, so that the router learns when tokens were added.
func (w *Wallet) KeptFrom(name poplar.Workspace, rank int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	if !b.hasStatus || w.lastResponse.Sub(b.statusTime) > statusMaxAge || b.status.Remaining >= b.status.kept(rank) {
		return false
	}
	b.kept = true
	return true
}

// kept returns the number of tokens that are kept for requests more urgent than the
// given rank.
func (s *BudgetStatus) kept(rank int) poplar.Tokens {
	use := float64(s.Urgent.below(rank))
	return poplar.Tokens(min(use*keepTime.Seconds(), maxKeptFraction*float64(s.Grant)))
}
