package wallet

import (
	"math/rand/v2"
	"sync"
	"time"

	"poplarbend.example/poplar"
)

// Policy sets how many tokens a router tries to hold.
type Policy struct {
	// ReadyTime is the time for which the tokens outside the reserve should last at
	// the recent demand.
	ReadyTime time.Duration
	// BurstFactor is the factor by which demand may rise over the recent demand.
	// The reserve lasts for UnlockTime at that demand.
	BurstFactor float64
	// IdleFraction is the fraction of the free tokens that all routers together hold
	// in reserve, in equal parts, without any demand. The amount shrinks with the
	// free tokens, so that few tokens are idle or are lost with a router near the
	// end of a budget.
	IdleFraction float64
}

// DefaultPolicy returns a policy that lets routers serve through a partition of
// ten seconds.
func DefaultPolicy() Policy {
	return Policy{ReadyTime: 200 * time.Millisecond, BurstFactor: 1.2, IdleFraction: 0.25}
}

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 5 * time.Second
	// scarceFraction is the fraction of a grant below which free tokens are scarce.
	// Routers then hold fewer tokens the fewer are free: ready tokens for at least
	// minHoldingFraction of ReadyTime, and a reserve that shrinks to nothing.
	scarceFraction     = 0.1
	minHoldingFraction = 0.1
	// idleReadyFraction is the ratio of ready tokens to reserve in the holdings of a
	// router without demand.
	idleReadyFraction = 0.3
	// readyRouters is the number of routers up to which each of them holds tokens ready
	// for the largest recent request, and without demand. Of a larger fleet all routers
	// together hold as many as that: what they hold ready is lost with them, and the
	// requests are the same.
	readyRouters = 50
	// maxIdleReadyRequests limits the ready tokens of a router without demand to
	// this many requests of the largest size seen. More would be lost with the
	// router and serve no one.
	maxIdleReadyRequests = 4
	// reportFraction is the fraction of a grant whose use makes a draw due even if
	// nothing else does.
	reportFraction = 0.005
	// dueDivisor makes a draw due when the router lacks more than 1/dueDivisor of
	// its target.
	dueDivisor = 6
	// surplusFraction is the fraction of a grant that all routers together may hold
	// above their targets, so that small amounts are not returned at once.
	surplusFraction = 0.02
	// minLargestFraction is the fraction of the largest recent request that is held
	// ready when no tokens are free. It rises linearly to 1 when the whole budget is
	// free. The rest of such a request is drawn or borrowed.
	minLargestFraction = 0.2
	// readyDraws is the number of draws for whose duration the ready tokens last at
	// least, up to maxReadyTime: the reserve is of no use to a request while a draw is
	// slow. drawDelayDecay is the weight that the duration of earlier draws keeps.
	readyDraws     = 2
	maxReadyTime   = 2 * time.Second
	drawDelayDecay = 0.8
	// maxNeededFraction is the largest fraction of the free tokens that a router which
	// has done all the spending asks for at once beyond what its requests wait for.
	maxNeededFraction = 0.5
	// recentLargestWindow is the time over which the size of the largest recent
	// request decays.
	recentLargestWindow = 10 * time.Second
	// statusMaxAge is the age up to which the status of a budget counts as current.
	// It allows for the loss of a few draws.
	statusMaxAge = 2 * time.Second
	// minRenewAge is the age at which a confirmed reserve is renewed by a draw. In
	// a large fleet reserves grow older, so that all routers together renew at most
	// maxRenewals reserves a second: each renewal is work for all members of the
	// log. A reserve that has unlocked further loses more when its router is killed.
	minRenewAge = 600 * time.Millisecond
	maxRenewals = 6000
	// earlyRenewal is the fraction of its age of renewal from which a reserve is
	// renewed by a draw that is due anyway.
	earlyRenewal = 0.5
)

// Wallet holds the tokens of one incarnation of a router. It is safe for
// concurrent use.
type Wallet struct {
	policy  Policy
	started time.Time
	life    Life

	mu                  sync.Mutex
	holder              Holder                        // invariant: guarded by mu
	balances            map[poplar.Workspace]*balance // invariant: guarded by mu
	lastResponse        time.Time                     // invariant: guarded by mu; time of the last draw response, or the start
	lastResponseLogTime int64                         // invariant: guarded by mu; time of the log in the last draw response, in milliseconds
	unlockStart         time.Time                     // invariant: guarded by mu; time from which the reserves of the last draw unlock
	drawNumber          uint64                        // invariant: guarded by mu; number of the last draw
	drawAnswered        bool                          // invariant: guarded by mu; true when the last draw was answered
	drawSent            time.Time                     // invariant: guarded by mu; time of the last draw
	drawDelay           time.Duration                 // invariant: guarded by mu; time until recent draws were answered
	handOffs            map[Life]bool                 // invariant: guarded by mu; lives whose hand-offs were received
	closed              bool                          // invariant: guarded by mu; true after Close or HandOff
	routerCount         int                           // invariant: guarded by mu; routers in the last draw response, or 0
}

// balance holds the counters of one workspace in a wallet.
//
// Invariant: spent + open + returned + lent + locked <= issued + borrowed.
type balance struct {
	issued, returned, spent, open poplar.Tokens
	lent, borrowed                poplar.Tokens
	lentTo                        map[Life]poplar.Tokens // invariant: its sum plus the tokens handed off is lent
	borrowedFrom                  map[Life]poplar.Tokens // invariant: its sum plus the tokens of received hand-offs is borrowed
	// confirmedReserve is from the last answered draw, and pendingReserve covers the
	// draws since then, which may or may not have reached the log.
	confirmedReserve, pendingReserve reportedReserve // invariant: cover all tokens that the log may assume to be unused
	status                           BudgetStatus
	statusTime                       time.Time     // invariant: time of the last draw response for the workspace
	hasStatus                        bool          // invariant: true once the log has reported the status
	largestWaiting                   poplar.Tokens // invariant: largest request refused since the last draw response
	waiting                          poplar.Tokens // invariant: sum of the requests between Await and its release
	demandRate                       float64       // tokens per second
	recentLargest                    float64       // tokens of the largest recent request, decaying
	largestEver                      float64       // tokens of the largest request ever
	demandUpdated                    time.Time     // invariant: when demandRate and recentLargest were last decayed
	reported                         DrawEntry     // invariant: the last one that the log answered
	urgent                           urgentMeter
	kept                             bool // invariant: true if tokens were kept from a request since the last draw response
}

// reportedReserve is a reserve that was named in a draw request.
type reportedReserve struct {
	tokens      poplar.Tokens
	unlockStart time.Time // invariant: not before UnlockStart of the draw request
}

// locked returns the number of tokens that must not be used now.
func (b *balance) locked(now time.Time) poplar.Tokens {
	return max(b.confirmedReserve.locked(now), b.pendingReserve.locked(now))
}

func (r reportedReserve) locked(now time.Time) poplar.Tokens {
	return lockedTokens(r.tokens, max(now.Sub(r.unlockStart), 0))
}

// NewWallet returns the empty wallet of a router that started at the given time.
func NewWallet(holder Holder, policy Policy, started time.Time) *Wallet {
	return &Wallet{
		holder: holder, policy: policy, started: started, life: Life{Name: holder.Name, Number: rand.Uint64()},
		lastResponse: started, balances: map[poplar.Workspace]*balance{}, handOffs: map[Life]bool{},
	}
}

// Holder returns the identity of the router. ApplyDraw may raise its incarnation.
func (w *Wallet) Holder() Holder {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder
}

func (w *Wallet) balance(name poplar.Workspace) *balance {
	b := w.balances[name]
	if b == nil {
		b = &balance{lentTo: map[Life]poplar.Tokens{}, borrowedFrom: map[Life]poplar.Tokens{}}
		w.balances[name] = b
	}
	return b
}

// Reserve reserves tokens for a request. It returns false when the wallet is closed
// or lacks the tokens, which the next draw then asks for.
func (w *Wallet) Reserve(name poplar.Workspace, tokens poplar.Tokens, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	if b.ready(now) < tokens || w.closed {
		b.largestWaiting = max(b.largestWaiting, tokens)
		b.addDemand(0, now)
		b.noteSize(float64(tokens))
		return false
	}
	b.open += tokens
	b.addDemand(float64(tokens), now)
	return true
}

// Await records that a request of the given size waits for tokens, until release is
// called. The next draw asks for the tokens of all requests that wait.
func (w *Wallet) Await(name poplar.Workspace, tokens poplar.Tokens) (release func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	b.waiting += tokens
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		b.waiting -= tokens
	}
}

// Awaited returns the number of tokens that the requests that wait need together.
func (w *Wallet) Awaited(name poplar.Workspace) poplar.Tokens {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.balance(name).waiting
}

// Settle ends a reservation, of which the given number of tokens was used.
func (w *Wallet) Settle(name poplar.Workspace, reserved, used poplar.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	b.open -= reserved
	b.spent += min(used, reserved)
	b.demandRate = max(0, b.demandRate-float64(reserved-min(used, reserved))/demandWindow.Seconds())
}

// Snapshot is a snapshot of one workspace in a wallet.
type Snapshot struct {
	Ready, Locked poplar.Tokens
	// ReadySoon is the number of tokens that unlock in the next second beyond the
	// recent demand.
	ReadySoon poplar.Tokens
	// Free is the number of tokens that the log had not issued, Spent the number
	// that all routers had reported as spent, and WrittenOff the number lost with ended
	// routers, all as of the last response, which is Age old.
	Free, Spent, WrittenOff poplar.Tokens
	// Grant is the whole budget in the last response.
	Grant poplar.Tokens
	Age   time.Duration
}

// Snapshot returns a snapshot of a workspace.
func (w *Wallet) Snapshot(name poplar.Workspace, now time.Time) Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	return Snapshot{
		Ready: b.ready(now), Locked: b.locked(now), ReadySoon: b.readySoon(now), Free: b.status.Free, Spent: b.status.Spent,
		WrittenOff: b.status.Grant - b.status.Spent - b.status.Remaining, Grant: b.status.Grant,
		Age: now.Sub(b.statusTime),
	}
}

// EstimateReady estimates when a request of the given size can get its tokens while
// the log does not answer, if other routers lend the given number of tokens per
// second. It returns false when no tokens are expected.
func (w *Wallet) EstimateReady(name poplar.Workspace, tokens, others poplar.Tokens, now time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	rate := others + b.readySoon(now)
	if rate <= 0 {
		return time.Time{}, false
	}
	missing := max(0, tokens-b.ready(now))
	return now.Add(time.Duration(float64(missing) / float64(rate) * float64(time.Second))), true
}

// Exhausted reports whether a budget with the given grant cannot cover a request
// of the given size even if every other router returned its tokens. It returns
// false when the last response of the log is too old to tell.
func (w *Wallet) Exhausted(name poplar.Workspace, tokens, grant poplar.Tokens, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	recent := now.Sub(b.statusTime) <= statusMaxAge
	return b.hasStatus && recent && grant <= b.status.Grant && b.status.Remaining < tokens
}

// readySoon returns the number of tokens that unlock in the next second beyond the
// recent demand, if the log does not answer.
func (b *balance) readySoon(now time.Time) poplar.Tokens {
	more := b.locked(now) - b.locked(now.Add(time.Second))
	return max(0, more-poplar.Tokens(b.demandRate))
}

// ready returns the number of tokens that can be reserved now.
func (b *balance) ready(now time.Time) poplar.Tokens { return b.held() - b.open - b.locked(now) }

// held returns the number of tokens that the router owns and has not spent,
// including open reservations.
func (b *balance) held() poplar.Tokens {
	return b.issued + b.borrowed - b.returned - b.spent - b.lent
}

// addDemand decays the demand and adds a request of the given size to it.
func (b *balance) addDemand(tokens float64, now time.Time) {
	if !b.demandUpdated.IsZero() {
		passed := float64(now.Sub(b.demandUpdated))
		b.demandRate *= max(1-passed/float64(demandWindow), 0)
		b.recentLargest *= max(1-passed/float64(recentLargestWindow), 0)
	}
	b.demandRate += tokens / demandWindow.Seconds()
	b.noteSize(tokens)
	b.demandUpdated = now
}

// noteSize updates the largest request sizes.
func (b *balance) noteSize(tokens float64) {
	b.recentLargest, b.largestEver = max(b.recentLargest, tokens), max(b.largestEver, tokens)
}
