package purse

import (
	"sync"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the side of the router.

// Policy sizes what a router holds.
type Policy struct {
	// Ready is the time for which the tokens outside the reserve should last at
	// the demand of late.
	Ready time.Duration
	// Surge is the rise of demand that is allowed for. The reserve lasts for
	// UnlockTime at such a demand.
	Surge float64
	// Idle is the part of what is free that all routers together like to hold, in
	// even parts, without any demand. It shrinks with what is free, so that little
	// lies idle or is lost with a router near the end of a budget.
	Idle float64
}

// DefaultPolicy covers a separation of ten seconds. Its figures served most in
// the load of load_test.go.
func DefaultPolicy() Policy {
	return Policy{Ready: 200 * time.Millisecond, Surge: 1.2, Idle: 0.25}
}

const (
	// demandTime is the time over which demand is averaged.
	demandTime = 5 * time.Second
	// shortPart is the part of a grant below which what is free counts as short.
	// From there on routers hold less, down to leastPart of what they like.
	shortPart = 0.1
	leastPart = 0.1
	// readyPart is the part of what is held without demand that is not in the
	// reserve.
	readyPart = 0.3
	// readyLumps is the number of the largest requests seen for which what is ready
	// without demand suffices; more would be lost with the router for nothing.
	readyLumps = 4
	// reportPart is the part of a grant whose use is worth a report by itself.
	reportPart = 0.005
	// dueParts: a draw is due when this part of what the router likes to hold
	// is missing.
	dueParts = 6
	// surplusPart is the part of a grant that all routers together may hold beyond
	// what they like, so that little is not given back at once.
	surplusPart = 0.02
	// leastLump is the part of the largest late request that is held ready where
	// nothing is free, and the whole of it where all is; the rest is drawn or
	// borrowed.
	leastLump = 0.2
	// lumpTime is the time in which the size of the largest request is
	// forgotten.
	lumpTime = 10 * time.Second
	// standTime is the age up to which an answer of the log tells what is left: a
	// few draws may be lost.
	standTime = 2 * time.Second
	// renewTime is the age at which a promise is renewed.
	renewTime = 600 * time.Millisecond
)

// Wallet holds the tokens of one life of a router. It is safe for concurrent
// use.
type Wallet struct {
	policy  Policy
	started time.Time

	mu       sync.Mutex
	holder   Holder                       // invariant: guarded by mu
	purse    map[poplar.Workspace]*pocket // invariant: guarded by mu
	heard    time.Time                    // invariant: guarded by mu; of the last answer, or the start
	heardLog int64                        // invariant: guarded by mu; time of the log in the last answer
	base     time.Time                    // invariant: guarded by mu; from which the reserves of the last draw count
	number   uint64                       // invariant: guarded by mu; of the last draw
	answered bool                         // invariant: guarded by mu; true when the last draw was answered
	given    map[Holder]bool              // invariant: guarded by mu; routers whose gifts were taken
	closed   bool                         // invariant: guarded by mu; true once everything was given back
	routers  int                          // invariant: guarded by mu; as in the last answer of the log, or 0
}

// pocket is what the wallet holds of one workspace.
//
// Invariant: spent + open + returned + lent + locked <= issued + borrowed.
type pocket struct {
	issued, returned, spent, open poplar.Tokens
	lent, borrowed                poplar.Tokens
	lentTo                        map[Holder]poplar.Tokens // invariant: with gifts, sums up to lent
	borrowedFrom                  map[Holder]poplar.Tokens // invariant: with gifts, sums up to borrowed
	promised, pending             promise                  // invariant: cover what the log may believe to be untouched
	stand                         Stand
	stoodAt                       time.Time     // invariant: time of the last answer on the workspace
	known                         bool          // invariant: true once the log has answered
	waits                         poplar.Tokens // invariant: the largest request that waits
	demand                        float64       // tokens a second
	lump                          float64       // tokens of the largest request of late
	largest                       float64       // tokens of the largest request ever
	seen                          time.Time     // invariant: when demand was brought up to date
	told                          Want          // invariant: as last answered
}

// promise is a reserve as named in a draw.
type promise struct {
	reserve poplar.Tokens
	heard   time.Time // invariant: not before that in the draw
}

// locked returns what must not be used now.
func (p *pocket) locked(now time.Time) poplar.Tokens {
	return max(p.promised.locked(now), p.pending.locked(now))
}

func (q promise) locked(now time.Time) poplar.Tokens {
	return locked(q.reserve, max(now.Sub(q.heard), 0))
}

// NewWallet returns the empty wallet of a router that started at the given time.
func NewWallet(holder Holder, policy Policy, started time.Time) *Wallet {
	return &Wallet{holder: holder, policy: policy, started: started, heard: started, purse: map[poplar.Workspace]*pocket{}, given: map[Holder]bool{}}
}

// Holder returns the life of the router.
func (w *Wallet) Holder() Holder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder
}

func (w *Wallet) pocket(name poplar.Workspace) *pocket {
	p := w.purse[name]
	if p == nil {
		p = &pocket{lentTo: map[Holder]poplar.Tokens{}, borrowedFrom: map[Holder]poplar.Tokens{}}
		w.purse[name] = p
	}
	return p
}

// Reserve takes tokens for a request. It reports false when the wallet lacks
// them, and remembers the need for the next draw.
func (w *Wallet) Reserve(name poplar.Workspace, tokens poplar.Tokens, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(name)
	if p.left(now) < tokens || w.closed {
		p.waits = max(p.waits, tokens)
		p.note(0, now)
		p.size(float64(tokens))
		return false
	}
	p.open += tokens
	p.note(float64(tokens), now)
	return true
}

// Settle ends a reservation with what was used of it.
func (w *Wallet) Settle(name poplar.Workspace, reserved, used poplar.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(name)
	p.open -= reserved
	p.spent += min(used, reserved)
	p.demand = max(0, p.demand-float64(reserved-min(used, reserved))/demandTime.Seconds())
}

// Look is the state of one workspace in a wallet.
type Look struct {
	Ready, Locked poplar.Tokens
	// Soon is what becomes ready in the next second beyond the demand of late.
	Soon poplar.Tokens
	// Free is what the log had not issued Age ago, Spent what all routers had
	// reported as used, and Lost what ended routers took with them.
	Free, Spent, Lost poplar.Tokens
	// Grant is the whole budget as the log knew it.
	Grant poplar.Tokens
	Age   time.Duration
}

// Look returns the state of a workspace.
func (w *Wallet) Look(name poplar.Workspace, now time.Time) Look {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(name)
	return Look{
		Ready: p.left(now), Locked: p.locked(now), Soon: p.soon(now), Free: p.stand.Free, Spent: p.stand.Spent,
		Lost: p.stand.Grant - p.stand.Spent - p.stand.Left, Grant: p.stand.Grant,
		Age: now.Sub(p.stoodAt),
	}
}

// Ripe returns when a request of the given size can be expected to find its
// tokens while draws are not answered, if other routers may lend the given number
// of tokens a second. It reports false when that cannot be told.
func (w *Wallet) Ripe(name poplar.Workspace, tokens, others poplar.Tokens, now time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(name)
	rate := others + p.soon(now)
	if rate <= 0 {
		return time.Time{}, false
	}
	lack := max(0, tokens-p.left(now))
	return now.Add(time.Duration(float64(lack) / float64(rate) * float64(time.Second))), true
}

// Exhausted reports whether, by a late answer of the log, a budget with the given
// grant cannot cover a request of the given size even if every other router gave
// back what it holds.
func (w *Wallet) Exhausted(name poplar.Workspace, tokens, grant poplar.Tokens, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(name)
	late := now.Sub(p.stoodAt) <= standTime
	return p.known && late && grant <= p.stand.Grant && p.stand.Left < tokens
}

// soon returns the tokens that become ready in the next second beyond the
// demand of late, while draws are not answered.
func (p *pocket) soon(now time.Time) poplar.Tokens {
	more := p.locked(now) - p.locked(now.Add(time.Second))
	return max(0, more-poplar.Tokens(p.demand))
}

func (p *pocket) left(now time.Time) poplar.Tokens { return p.held() - p.open - p.locked(now) }

// held is what was issued or lent to the router and not used.
func (p *pocket) held() poplar.Tokens {
	return p.issued + p.borrowed - p.returned - p.spent - p.lent
}

// note adds to the demand, which decays.
func (p *pocket) note(tokens float64, now time.Time) {
	if !p.seen.IsZero() {
		passed := float64(now.Sub(p.seen))
		p.demand *= max(1-passed/float64(demandTime), 0)
		p.lump *= max(1-passed/float64(lumpTime), 0)
	}
	p.demand += tokens / demandTime.Seconds()
	p.size(tokens)
	p.seen = now
}

// size notes the size of a request.
func (p *pocket) size(tokens float64) {
	p.lump, p.largest = max(p.lump, tokens), max(p.largest, tokens)
}

// Draw returns what is to be reported and asked for. It reports false when
// nothing is due.
func (w *Wallet) Draw(workspaces map[poplar.Workspace]Grant, now time.Time) (Draw, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answered := w.answered
	d := w.next(now)
	for name, grant := range workspaces {
		if !grant.Bound {
			continue
		}
		p := w.pocket(name)
		p.note(0, now)
		if want, due := p.want(grant.Tokens, w.policy, w.routers, now); due {
			d.Wants[name] = want
			p.promise(want.Reserve, w.base)
		}
	}
	if len(d.Wants) == 0 {
		w.answered = answered // nothing is sent
	}
	return d, len(d.Wants) > 0
}

// next returns an empty draw. While draws are answered, a reserve counts from the
// draw that names it; once one is not, from the last answer. The caller holds
// the lock.
func (w *Wallet) next(now time.Time) Draw {
	w.base = w.heard
	if w.answered {
		w.base = now
	}
	w.answered = false
	w.number++
	return Draw{
		Holder: w.holder, Wants: map[poplar.Workspace]Want{}, Number: w.number,
		Started: w.started.UnixMilli(), Heard: w.base.UnixMilli(),
		Up: now.Sub(w.started).Milliseconds(), From: w.heardLog + w.base.Sub(w.heard).Milliseconds(),
	}
}

// promise notes the reserve that a draw names. The log may learn of it or not.
func (p *pocket) promise(reserve poplar.Tokens, heard time.Time) {
	if heard.After(p.pending.heard) {
		p.pending.heard = heard
	}
	p.pending.reserve = max(p.pending.reserve, reserve)
}

// Close returns the draw that gives everything back. The wallet reserves and
// lends nothing from now on. Requests that still run keep what they reserved.
func (w *Wallet) Close(now time.Time) Draw {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	d := w.next(now)
	for name, p := range w.purse {
		p.returned += max(0, min(p.held()-p.open, p.issued-p.returned))
		d.Wants[name] = Want{Issued: p.issued, Returned: p.returned, Spent: p.spent, Open: p.open, Loans: p.borrowed - p.lent}
	}
	return d
}

// likes returns what the router likes to hold ready and in reserve.
func (p *pocket) likes(grant poplar.Tokens, policy Policy, routers int) (ready, reserve poplar.Tokens) {
	idle, lumps := 0.0, 1.0
	if p.known && grant > 0 {
		free := min(1, max(0, float64(p.stand.Free)/float64(grant)))
		lumps = leastLump + (1-leastLump)*free
		if routers > 0 {
			idle = policy.Idle * free * float64(grant) / float64(routers)
		}
	}
	idleReady := idle * readyPart
	if p.largest > 0 {
		idleReady = min(idleReady, readyLumps*p.largest)
	}
	ready0 := max(p.demand*policy.Ready.Seconds()*policy.Surge+lumps*p.lump, idleReady)
	reserve0 := max(p.demand*UnlockTime.Seconds()*policy.Surge, idle)
	if part := float64(p.stand.Free) / max(shortPart*float64(grant), 1); p.known && part < 1 {
		// Tokens that lie idle here are wanted elsewhere.
		ready0 = p.demand * policy.Ready.Seconds() * max(part, leastPart)
		reserve0 *= max(part-leastPart, 0)
	}
	return poplar.Tokens(ready0), poplar.Tokens(reserve0)
}

// want decides what to ask for, to set aside and to give back.
func (p *pocket) want(grant poplar.Tokens, policy Policy, routers int, now time.Time) (Want, bool) {
	ready, reserve := p.likes(grant, policy, routers)
	need := max(p.waits, ready)
	have := max(p.held()-p.open, 0)
	surplus := have - reserve - 2*need
	if float64(surplus*poplar.Tokens(routers)) <= surplusPart*float64(grant) {
		surplus = 0
	}
	// What was promised before stays locked until this draw is answered, so only
	// what is left beside it is given back now.
	if extra := min(p.left(now), surplus, p.issued-p.returned); extra > 0 {
		p.returned += extra
		surplus -= extra
		have -= extra
	}
	target := max(have-need-surplus, 0)
	w := Want{
		Issued: p.issued, Returned: p.returned, Spent: p.spent, Open: p.open, Loans: p.borrowed - p.lent, Reserve: target,
		Least: max(p.waits-have, 0),
		Most:  max(need+reserve-have, 0),
	}
	stale := target > 0 && now.Sub(p.promised.heard) > renewTime
	due := !p.known || p.waits > 0 || w.Most > (ready+reserve)/dueParts || stale || (p.promised.reserve > 0 && target == 0) ||
		p.returned != p.told.Returned || float64(p.spent-p.told.Spent) > reportPart*float64(grant) ||
		w.Loans != p.told.Loans
	return w, due
}

// Apply takes the answer to a draw.
func (w *Wallet) Apply(d Draw, answer Drawn, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer.Stale && answer.Life > w.holder.Life {
		// The clock was set back between two starts. No draw of this life has
		// been answered, so it takes a higher number.
		w.holder.Life = answer.Life + 1
	}
	if answer.Stale || d.Number != w.number {
		return
	}
	w.heard, w.heardLog, w.answered, w.routers = now, answer.At, true, answer.Routers
	for name, stand := range answer.Stands {
		p := w.pocket(name)
		p.issued = max(p.issued, stand.Issued)
		p.stand, p.stoodAt, p.known = stand, w.heard, true
		p.told = d.Wants[name]
		p.promised, p.pending = promise{reserve: p.told.Reserve, heard: w.base}, promise{}
		p.waits = 0
	}
}
