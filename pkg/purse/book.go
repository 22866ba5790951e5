// Package purse divides prepaid budgets among routers that have no disk.
//
// A Book, kept by the replicated log, issues tokens to routers by cumulative
// counters; a Wallet, in the memory of a router, reserves and settles what it
// was issued. Both counters of a router and budget only grow, so a doubled, late
// or lost message moves no token. A router that ends takes what it held with
// it: what a wallet may have spent is never issued again.
//
// A router must have enough for the time that it may be cut off from the log,
// but what it holds is lost when it is killed. So most of it is a reserve, which
// it may use only as time passes without an answer of the log; a kill soon after
// one loses little of it. Routers lend each other what they have ready.
package purse

import (
	"maps"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/plan"
)

// This file holds the side of the log.

// Holder is one life of a router.
type Holder struct {
	Name poplar.Daemon `json:"n"`
	// Life is higher after each start.
	Life uint64 `json:"i"`
}

// Want asks for tokens of one workspace.
type Want struct {
	// Least is what a waiting request needs, Most what the router would like to
	// hold more.
	Least poplar.Tokens `json:"least,omitempty"`
	Most  poplar.Tokens `json:"most,omitempty"`
	// Issued is the cumulative issue that the want is made on; a want on
	// another one is a repetition and gets nothing.
	Issued poplar.Tokens `json:"had,omitempty"`
	// Returned is the cumulative number of tokens given back.
	Returned poplar.Tokens `json:"back,omitempty"`
	// Spent is the cumulative number of tokens used.
	Spent poplar.Tokens `json:"used,omitempty"`
	// Open is what running requests have reserved.
	Open poplar.Tokens `json:"open,omitempty"`
	// Loans is what the router borrowed from others, less what it lent.
	Loans poplar.Tokens `json:"loans,omitempty"`
	// Reserve is the part of what is held that the router leaves alone until a
	// draw that names less of it is answered. From Heard on it may use a part
	// that grows evenly, all of it after UnlockTime.
	Reserve poplar.Tokens `json:"reserve,omitempty"`
}

// UnlockTime is the time without an answer of the log after which the whole
// reserve may be used. A router that was killed and started again earlier cannot
// have used all of it.
const UnlockTime = 8 * time.Second

// locked returns the part of a reserve that may not have been used at a time
// after the last answer.
func locked(reserve poplar.Tokens, after time.Duration) poplar.Tokens {
	if after < 0 || after >= UnlockTime {
		return 0
	}
	return poplar.Tokens(float64(reserve) * (1 - float64(after)/float64(UnlockTime)))
}

// Draw is what a router reports and wants.
type Draw struct {
	Holder Holder                    `json:"who"`
	Wants  map[poplar.Workspace]Want `json:"wants"`
	// Number orders the draws of one life.
	Number uint64 `json:"no"`
	// Started and Heard are times of the router's own clock, in Unix
	// milliseconds: its start, and the time from which the reserves count.
	Started int64 `json:"start"`
	Heard   int64 `json:"heard"`
	// Up is the time since the start, and From the time of the log from which the
	// reserves count, in milliseconds. Both are measured by a clock that is not
	// set, so that a router whose time of day is wrong gets nothing back that it
	// may have used.
	Up   int64 `json:"up"`
	From int64 `json:"from"`
}

// Stand is the state of one workspace after a draw.
type Stand struct {
	// Issued is the cumulative issue to the router.
	Issued poplar.Tokens `json:"has"`
	// Free is what can still be issued to anyone.
	Free poplar.Tokens `json:"free"`
	// Left is what is free or was last held by a router. What ended routers took
	// with them is neither.
	Left poplar.Tokens `json:"left"`
	// Grant is the whole budget, Spent what all routers have reported.
	Grant poplar.Tokens `json:"all"`
	Spent poplar.Tokens `json:"used"`
}

// Drawn answers a draw.
type Drawn struct {
	// Stale is true for the draw of an earlier life, or one that a later draw has
	// overtaken. It changes nothing.
	Stale bool `json:"stale,omitempty"`
	// Life is the latest life of the router.
	Life   uint64                     `json:"i,omitempty"`
	Stands map[poplar.Workspace]Stand `json:"stands,omitempty"`
	// Routers is the number of routers that hold an account.
	Routers int `json:"routers"`
	// At is the time of the log, in milliseconds, at which the draw arrived.
	At int64 `json:"at"`
	// Lost is, for the first draw of a life, what the life before took with it.
	Lost map[poplar.Workspace]Loss `json:"lost,omitempty"`
}

// Loss is what a life of a router took with it of one workspace.
type Loss struct {
	// Tokens is what is lost of the Held ones, Open the part of those that requests
	// had reserved, Reserve the part that was locked at first, and After the time
	// for which it may have been unlocked, in milliseconds.
	Tokens  poplar.Tokens `json:"gone"`
	Held    poplar.Tokens `json:"held"`
	Open    poplar.Tokens `json:"open"`
	Reserve poplar.Tokens `json:"reserve"`
	After   int64         `json:"after"`
}

// Account is what a router holds of one workspace.
type Account struct {
	Issued   poplar.Tokens `json:"has,omitempty"`
	Returned poplar.Tokens `json:"back,omitempty"`
	Spent    poplar.Tokens `json:"used,omitempty"`
	// Held is what the router had at its last draw, with what that brought.
	Held poplar.Tokens `json:"held,omitempty"`
	// Open is the part of Held that requests had reserved.
	Open poplar.Tokens `json:"open,omitempty"`
	// Reserve, Heard and From are those of the last draw that named the workspace.
	Reserve poplar.Tokens `json:"reserve,omitempty"`
	Heard   int64         `json:"heard,omitempty"`
	From    int64         `json:"from,omitempty"`
}

// Router is what the log knows of one router.
type Router struct {
	Life   uint64 `json:"i"`
	Number uint64 `json:"no"`
}

// Budget is the state of one workspace.
type Budget struct {
	Grant poplar.Tokens `json:"all"`
	Bound bool          `json:"bound,omitempty"`
	// Closed sums what ended routers held and did not return; Closing what they
	// had reported as spent.
	Closed   poplar.Tokens              `json:"gone,omitempty"`
	Closing  poplar.Tokens              `json:"goneused,omitempty"`
	Accounts map[poplar.Daemon]*Account `json:"with,omitempty"`
}

// Book is the state of all budgets. It is not safe for concurrent use; equal
// commands in equal order lead to equal books.
type Book struct {
	Budgets map[poplar.Workspace]*Budget `json:"budgets"`
	// Routers holds the latest life of each router.
	Routers map[poplar.Daemon]*Router `json:"routers"`
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{Budgets: map[poplar.Workspace]*Budget{}, Routers: map[poplar.Daemon]*Router{}}
}

// Grant is the declared budget of a workspace.
type Grant struct {
	Tokens poplar.Tokens `json:"tokens"`
	Bound  bool          `json:"bound,omitempty"`
}

// Grants returns the budgets that a plan declares.
func Grants(p *plan.Plan) map[poplar.Workspace]Grant {
	out := make(map[poplar.Workspace]Grant, len(p.Workspaces))
	for _, w := range p.Workspaces {
		out[w.Name] = Grant{Tokens: w.Grant, Bound: w.Bound}
	}
	return out
}

// Declare sets the grants. A workspace that is not named is granted nothing
// more and keeps its counters, so that it does not start anew when it is named
// again.
func (b *Book) Declare(grants map[poplar.Workspace]Grant) {
	for name, budget := range b.Budgets {
		if _, ok := grants[name]; !ok {
			budget.Grant, budget.Bound = 0, true
		}
	}
	for name, g := range grants {
		budget := b.Budgets[name]
		if budget == nil {
			budget = &Budget{Accounts: map[poplar.Daemon]*Account{}}
			b.Budgets[name] = budget
		}
		budget.Grant, budget.Bound = g.Tokens, g.Bound
	}
}

// Draw takes a router's report, which arrived at the given time of the log, and
// issues what its wants may get.
func (b *Book) Draw(d Draw, at int64) Drawn {
	r := b.Routers[d.Holder.Name]
	if r != nil && (d.Holder.Life < r.Life || (d.Holder.Life == r.Life && d.Number <= r.Number)) {
		return Drawn{Stale: true, Life: r.Life}
	}
	out := Drawn{Stands: map[poplar.Workspace]Stand{}, At: at}
	if r == nil || d.Holder.Life > r.Life {
		out.Lost = b.begin(d, at)
	}
	out.Routers = len(b.Routers)
	r = b.Routers[d.Holder.Name]
	r.Number = d.Number
	for _, name := range slices.Sorted(maps.Keys(d.Wants)) {
		budget := b.Budgets[name]
		if budget == nil {
			continue
		}
		out.Stands[name] = budget.draw(&d, d.Wants[name], len(b.Routers))
	}
	return out
}

// begin starts a life of a router. What the life before held is written off, but
// for the part of its reserve that it had no time to use. It returns what is
// lost beside what was reported as spent.
func (b *Book) begin(d Draw, at int64) map[poplar.Workspace]Loss {
	lost := map[poplar.Workspace]Loss{}
	for name, budget := range b.Budgets {
		a := budget.Accounts[d.Holder.Name]
		if a == nil {
			continue
		}
		age := a.mostAge(d, at)
		intact := locked(a.Reserve, age)
		budget.Closed += a.Issued - a.Returned - intact
		budget.Closing += a.Spent
		delete(budget.Accounts, d.Holder.Name)
		if gone := a.Held - intact; gone > 0 {
			lost[name] = Loss{Tokens: gone, Held: a.Held, Open: a.Open, Reserve: a.Reserve, After: age.Milliseconds()}
		}
	}
	b.Routers[d.Holder.Name] = &Router{Life: d.Holder.Life}
	return lost
}

// mostAge returns the longest time for which the reserve of a router that has
// started again may have been unlocked: by the clock of the router, which may have
// been set, and by that of the log.
func (a *Account) mostAge(d Draw, at int64) time.Duration {
	byRouter, byLog := d.Started-a.Heard, at-d.Up-a.From
	if byRouter < 0 {
		return UnlockTime
	}
	return time.Duration(max(byRouter, byLog)) * time.Millisecond
}

func (u *Budget) draw(d *Draw, w Want, routers int) Stand {
	a := u.Accounts[d.Holder.Name]
	if a == nil {
		a = &Account{}
		u.Accounts[d.Holder.Name] = a
	}
	a.Returned = max(a.Returned, min(w.Returned, a.Issued))
	a.Spent = max(a.Spent, w.Spent)
	a.Reserve = min(max(w.Reserve, 0), a.Issued-a.Returned)
	a.Heard, a.From, a.Open = d.Heard, d.From, w.Open
	if w.Issued == a.Issued {
		a.Issued += u.share(w, routers)
	}
	a.Held = a.Issued + w.Loans - w.Returned - w.Spent
	return Stand{Issued: a.Issued, Free: u.free(), Left: u.left(), Grant: u.Grant, Spent: u.spent()}
}

// share returns what a want gets. While much is free a router gets what it
// likes; the last tokens go out in smaller parts, and for requests that wait.
func (u *Budget) share(w Want, routers int) poplar.Tokens {
	free := u.free()
	if free <= 0 || w.Most < 0 || w.Least < 0 {
		return 0
	}
	part := min(w.Most, free/poplar.Tokens(routers+1))
	if w.Least > part {
		part = w.Least
	}
	if part > free {
		return 0
	}
	return part
}

// free returns what is not issued.
func (u *Budget) free() poplar.Tokens {
	free := u.Grant - u.Closed
	for _, a := range u.Accounts {
		free -= a.Issued - a.Returned
	}
	return free
}

// left returns what may still be used.
func (u *Budget) left() poplar.Tokens {
	left := u.free()
	for _, a := range u.Accounts {
		left += a.Held
	}
	return left
}

func (u *Budget) spent() poplar.Tokens {
	sum := u.Closing
	for _, a := range u.Accounts {
		sum += a.Spent
	}
	return sum
}
