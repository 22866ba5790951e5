// Package wallet divides prepaid budgets among routers that have no disk.
//
// Budgets are part of the state of the replicated log and issue tokens to
// routers. A Wallet lives in the memory of a router and reserves and settles the
// tokens issued to it. A router draws tokens from the log: a draw request reports its
// use and asks for more. Both sides exchange cumulative counters for each router
// and budget that only grow, so a duplicated, delayed or lost message creates no
// tokens. When a router ends, the tokens it held are lost with it: tokens that a
// wallet may have spent are never issued again.
//
// A router needs enough tokens to serve requests while it cannot reach the log,
// but loses what it holds when it is killed. Most of its tokens are therefore a
// reserve, which unlocks gradually while the log does not answer. A router that
// is killed soon after an answer loses little of its reserve. Routers also lend
// each other tokens that are ready for use.
package wallet

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/plan"
)

// Holder identifies one incarnation of a router.
type Holder struct {
	Name poplar.Daemon `json:"n"`
	// Incarnation numbers the starts of the router and increases with each.
	Incarnation uint64 `json:"i"`
}

// DrawEntry is the part of a draw request that concerns one workspace.
type DrawEntry struct {
	// Needed is the number of tokens that a waiting request lacks. Desired is the
	// number of tokens by which the router is below its target.
	Needed  poplar.Tokens `json:"least,omitempty"`
	Desired poplar.Tokens `json:"most,omitempty"`
	// Issued is the cumulative number of tokens issued to the router, as far as
	// it knows. If the log has issued more, the request is a repetition and gets
	// nothing.
	Issued poplar.Tokens `json:"had,omitempty"`
	// Returned is the cumulative number of tokens returned to the log.
	Returned poplar.Tokens `json:"back,omitempty"`
	// Spent is the cumulative number of tokens used.
	Spent poplar.Tokens `json:"used,omitempty"`
	// Open is the number of tokens reserved by running requests.
	Open poplar.Tokens `json:"open,omitempty"`
	// NetBorrowed is the number of tokens borrowed from other routers, less those lent.
	NetBorrowed poplar.Tokens `json:"loans,omitempty"`
	// Reserve is the part of the held tokens that the router does not use until
	// a draw with a smaller reserve is answered. From UnlockStart on the reserve
	// unlocks linearly, and all of it is usable after UnlockTime.
	Reserve poplar.Tokens `json:"reserve,omitempty"`
	// Urgent is the recent use of tokens by urgent requests of the router.
	Urgent UrgentUse `json:"urgent,omitzero"`
}

// UnlockTime is the time without an answer from the log after which a router may
// use its whole reserve. A router that was killed and restarted earlier than that
// cannot have used all of it.
const UnlockTime = 8 * time.Second

// lockedTokens returns the part of a reserve that is still locked when the given
// time has passed since its unlock start.
func lockedTokens(reserve poplar.Tokens, after time.Duration) poplar.Tokens {
	if after < 0 || after >= UnlockTime {
		return 0
	}
	return poplar.Tokens(float64(reserve) * (1 - float64(after)/float64(UnlockTime)))
}

// DrawRequest is the request in which a router reports its use and asks for tokens.
type DrawRequest struct {
	Holder  Holder                         `json:"who"`
	Entries map[poplar.Workspace]DrawEntry `json:"wants"`
	// Number orders the draw requests of one incarnation.
	Number uint64 `json:"no"`
	// Started is the start of the router and UnlockStart the time from which the
	// reserves unlock, both by the router's wall clock in Unix milliseconds.
	Started     int64 `json:"start"`
	UnlockStart int64 `json:"heard"`
	// Uptime is the time since the start, and UnlockStartLog the time of the log
	// from which the reserves unlock, both in milliseconds. They are measured with
	// monotonic clocks, so that a router whose wall clock is wrong does not get
	// back tokens that it may have used.
	Uptime         int64 `json:"up"`
	UnlockStartLog int64 `json:"from"`
}

// BudgetStatus is the status of one workspace after a draw request.
type BudgetStatus struct {
	// Issued is the cumulative number of tokens issued to the router.
	Issued poplar.Tokens `json:"has"`
	// Free is the number of tokens that can still be issued to any router.
	Free poplar.Tokens `json:"free"`
	// Remaining is the number of tokens that are free or that routers held after their
	// last draws. It excludes tokens lost with ended incarnations.
	Remaining poplar.Tokens `json:"left"`
	// Grant is the whole budget, and Spent the tokens that all routers reported
	// as spent.
	Grant poplar.Tokens `json:"all"`
	Spent poplar.Tokens `json:"used"`
	// Urgent is the recent use of tokens by urgent requests of all routers.
	Urgent UrgentUse `json:"urgent,omitzero"`
}

// DrawResponse is the response to a draw request.
type DrawResponse struct {
	// Stale reports that the request came from an earlier incarnation or after a
	// later request. Such a request changes nothing.
	Stale bool `json:"stale,omitempty"`
	// LatestIncarnation is the highest recorded incarnation of the router. It is set
	// only in a stale response.
	LatestIncarnation uint64                            `json:"i,omitempty"`
	Statuses          map[poplar.Workspace]BudgetStatus `json:"stands,omitempty"`
	// RouterCount is the number of routers that the log knows.
	RouterCount int `json:"routers"`
	// LogTime is the time of the log, in milliseconds, when the request arrived.
	LogTime int64 `json:"at"`
	// Lost holds the tokens lost with the previous incarnation. It is set only in
	// the response to the first request of an incarnation.
	Lost map[poplar.Workspace]Loss `json:"lost,omitempty"`
}

// Loss describes the tokens of one workspace lost with an incarnation of a router.
type Loss struct {
	// Tokens is the part of Held that is lost. Open is the part of Held that
	// requests had reserved, and Reserve the part that was locked at the unlock start
	// of the last draw. UnlockedMillis is the longest time, in milliseconds, for which
	// Reserve may have been unlocking.
	Tokens         poplar.Tokens `json:"gone"`
	Held           poplar.Tokens `json:"held"`
	Open           poplar.Tokens `json:"open"`
	Reserve        poplar.Tokens `json:"reserve"`
	UnlockedMillis int64         `json:"after"`
}

// Account is the record of one router in the budget of a workspace.
type Account struct {
	Issued   poplar.Tokens `json:"has,omitempty"`
	Returned poplar.Tokens `json:"back,omitempty"`
	Spent    poplar.Tokens `json:"used,omitempty"`
	// Held is the number of tokens that the router held after its last draw.
	Held poplar.Tokens `json:"held,omitempty"`
	// Open is the part of Held that requests had reserved.
	Open poplar.Tokens `json:"open,omitempty"`
	// Reserve, UnlockStart and UnlockStartLog are taken from the last draw request
	// that named the workspace.
	Reserve        poplar.Tokens `json:"reserve,omitempty"`
	UnlockStart    int64         `json:"heard,omitempty"`
	UnlockStartLog int64         `json:"from,omitempty"`
	// Urgent is the use by urgent requests that the router last reported, and
	// UrgentBefore what its previous incarnation had reported.
	Urgent       UrgentUse `json:"urgent,omitzero"`
	UrgentBefore UrgentUse `json:"before,omitzero"`
}

// Router is the latest incarnation and draw number of a router.
type Router struct {
	Incarnation uint64 `json:"i"`
	DrawNumber  uint64 `json:"no"`
}

// Budget is the budget of one workspace.
type Budget struct {
	Grant poplar.Tokens `json:"all"`
	Bound bool          `json:"bound,omitempty"`
	// ClosedIssued is the number of tokens that were issued to ended incarnations
	// and neither returned nor recovered. ClosedSpent is the number of tokens that
	// these incarnations had reported as spent.
	ClosedIssued poplar.Tokens `json:"gone,omitempty"`
	ClosedSpent  poplar.Tokens `json:"goneused,omitempty"`
	// Accounts is never nil, also after UnmarshalJSON.
	Accounts map[poplar.Daemon]*Account `json:"with,omitempty"`

	sums *accountSums // invariant: the sums over Accounts, or nil before they are first needed
}

// accountSums are sums over the accounts of a budget. They are kept up to date
// with each change, since each draw needs them for all workspaces that it names
// and a large fleet has hundreds of accounts for each.
type accountSums struct {
	outstanding poplar.Tokens // issued and not returned
	held, spent poplar.Tokens
	urgent      UrgentUse
}

// add adds an account, and remove takes it out before it is changed or deleted.
func (s *accountSums) add(a *Account) {
	s.outstanding += a.Issued - a.Returned
	s.held += a.Held
	s.spent += a.Spent
	s.urgent.add(a.Urgent)
}

func (s *accountSums) remove(a *Account) {
	s.outstanding -= a.Issued - a.Returned
	s.held -= a.Held
	s.spent -= a.Spent
	s.urgent.remove(a.Urgent)
}

// totals returns the sums over the accounts.
func (b *Budget) totals() *accountSums {
	if b.sums == nil {
		b.sums = &accountSums{}
		for _, a := range b.Accounts {
			b.sums.add(a)
		}
	}
	return b.sums
}

// Budgets is the state of all budgets. It is not safe for concurrent use. It is
// deterministic: the same commands in the same order lead to the same state.
type Budgets struct {
	ByWorkspace map[poplar.Workspace]*Budget `json:"budgets"`
	// Routers holds the latest incarnation of each router.
	Routers map[poplar.Daemon]*Router `json:"routers"`
}

// NewBudgets returns empty Budgets.
func NewBudgets() *Budgets {
	return &Budgets{ByWorkspace: map[poplar.Workspace]*Budget{}, Routers: map[poplar.Daemon]*Router{}}
}

// UnmarshalJSON implements json.Unmarshaler. Maps that the encoding omits because they are
// empty are restored as empty maps, so that the state takes the same commands as the one
// that was encoded.
func (b *Budgets) UnmarshalJSON(data []byte) error {
	type plain Budgets // without this method
	next := plain(*NewBudgets())
	if err := json.Unmarshal(data, &next); err != nil {
		return err
	}
	for _, budget := range next.ByWorkspace {
		if budget.Accounts == nil {
			budget.Accounts = map[poplar.Daemon]*Account{}
		}
	}
	*b = Budgets(next)
	return nil
}

// Grant is the declared budget of a workspace.
type Grant struct {
	Tokens poplar.Tokens `json:"tokens"`
	// Bound is false for a workspace without a budget, which needs no tokens.
	Bound bool `json:"bound,omitempty"`
}

// Grants returns the budgets that a plan declares.
func Grants(p *plan.Plan) map[poplar.Workspace]Grant {
	out := make(map[poplar.Workspace]Grant, len(p.Workspaces))
	for _, w := range p.Workspaces {
		out[w.Name] = Grant{Tokens: w.Grant, Bound: w.HasBudget}
	}
	return out
}

// Declare sets the grants. The grant of a workspace that is not named becomes
// zero, but its counters stay, so that its budget does not start afresh when the
// workspace is named again.
func (b *Budgets) Declare(grants map[poplar.Workspace]Grant) {
	for name, budget := range b.ByWorkspace {
		if _, ok := grants[name]; !ok {
			budget.Grant, budget.Bound = 0, true
		}
	}
	for name, g := range grants {
		budget := b.ByWorkspace[name]
		if budget == nil {
			budget = &Budget{Accounts: map[poplar.Daemon]*Account{}}
			b.ByWorkspace[name] = budget
		}
		budget.Grant, budget.Bound = g.Tokens, g.Bound
	}
}

// HandleDraw applies a draw request that arrived at the given time of the log, in
// milliseconds, and issues tokens for it.
func (b *Budgets) HandleDraw(d DrawRequest, at int64) DrawResponse {
	r := b.Routers[d.Holder.Name]
	if r != nil && (d.Holder.Incarnation < r.Incarnation || (d.Holder.Incarnation == r.Incarnation && d.Number <= r.DrawNumber)) {
		return DrawResponse{Stale: true, LatestIncarnation: r.Incarnation}
	}
	out := DrawResponse{Statuses: map[poplar.Workspace]BudgetStatus{}, LogTime: at}
	if r == nil || d.Holder.Incarnation > r.Incarnation {
		out.Lost = b.startIncarnation(d, at)
	}
	out.RouterCount = len(b.Routers)
	r = b.Routers[d.Holder.Name]
	r.DrawNumber = d.Number
	for _, name := range slices.Sorted(maps.Keys(d.Entries)) {
		budget := b.ByWorkspace[name]
		if budget == nil {
			continue
		}
		out.Statuses[name] = budget.applyDraw(&d, d.Entries[name], len(b.Routers))
	}
	return out
}

// startIncarnation records a new incarnation of a router. It writes off the tokens
// that the previous incarnation held, except the part of the reserve that was
// still locked, and returns the lost tokens. Tokens reported as spent are not lost.
func (b *Budgets) startIncarnation(d DrawRequest, at int64) map[poplar.Workspace]Loss {
	lost := map[poplar.Workspace]Loss{}
	for name, budget := range b.ByWorkspace {
		a := budget.Accounts[d.Holder.Name]
		if a == nil {
			continue
		}
		age := a.maxUnlockedTime(d, at)
		intact := lockedTokens(a.Reserve, age)
		budget.ClosedIssued += a.Issued - a.Returned - intact
		budget.ClosedSpent += a.Spent
		budget.totals().remove(a)
		budget.Accounts[d.Holder.Name] = &Account{Urgent: a.Urgent, UrgentBefore: a.Urgent}
		budget.totals().urgent.add(a.Urgent)
		if tokens := a.Held - intact; tokens > 0 {
			lost[name] = Loss{Tokens: tokens, Held: a.Held, Open: a.Open, Reserve: a.Reserve, UnlockedMillis: age.Milliseconds()}
		}
	}
	b.Routers[d.Holder.Name] = &Router{Incarnation: d.Holder.Incarnation}
	return lost
}

// maxUnlockedTime returns the longest time for which the reserve of a restarted
// router may have been unlocking: the longer of the times by the router's wall clock,
// which may have been set, and by the time of the log. If the wall clock went back,
// the whole reserve counts as unlocked.
func (a *Account) maxUnlockedTime(d DrawRequest, at int64) time.Duration {
	byRouterClock, byLogClock := d.Started-a.UnlockStart, at-d.Uptime-a.UnlockStartLog
	if byRouterClock < 0 {
		return UnlockTime
	}
	return time.Duration(max(byRouterClock, byLogClock)) * time.Millisecond
}

func (b *Budget) applyDraw(d *DrawRequest, e DrawEntry, routers int) BudgetStatus {
	a := b.Accounts[d.Holder.Name]
	if a == nil {
		a = &Account{}
		b.Accounts[d.Holder.Name] = a
	}
	b.totals().remove(a)
	a.Returned = max(a.Returned, min(e.Returned, a.Issued))
	a.Spent = max(a.Spent, e.Spent)
	a.Reserve = min(max(e.Reserve, 0), a.Issued-a.Returned)
	a.UnlockStart, a.UnlockStartLog, a.Open = d.UnlockStart, d.UnlockStartLog, e.Open
	a.Urgent = a.UrgentBefore.after(e.Urgent, d.Uptime)
	if e.Issued == a.Issued {
		a.Issued += b.allot(e, a.Issued-a.Returned, routers)
	}
	a.Held = a.Issued + e.NetBorrowed - e.Returned - e.Spent
	b.totals().add(a)
	return BudgetStatus{Issued: a.Issued, Free: b.free(), Remaining: b.remaining(), Grant: b.Grant, Spent: b.spent(), Urgent: b.totals().urgent}
}

// allot returns the number of tokens to issue for an entry of the router whose
// account was taken out of the sums and has the given number of tokens outstanding.
// While many tokens are free, a router gets all that it desires. The last tokens are
// issued in smaller parts, except that a waiting request gets what it needs if that
// many are free.
func (b *Budget) allot(e DrawEntry, outstanding poplar.Tokens, routers int) poplar.Tokens {
	free := b.free() - outstanding
	if free <= 0 || e.Desired < 0 || e.Needed < 0 {
		return 0
	}
	tokens := min(e.Desired, free/poplar.Tokens(routers+1))
	if e.Needed > tokens {
		tokens = e.Needed
	}
	if tokens > free {
		return 0
	}
	return tokens
}

// free returns the number of tokens that are not issued.
func (b *Budget) free() poplar.Tokens { return b.Grant - b.ClosedIssued - b.totals().outstanding }

// remaining returns the number of tokens that are free or held by routers.
func (b *Budget) remaining() poplar.Tokens { return b.free() + b.totals().held }

func (b *Budget) spent() poplar.Tokens { return b.ClosedSpent + b.totals().spent }
