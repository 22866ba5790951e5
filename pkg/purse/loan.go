package purse

import (
	"time"

	"poplarbend.example/poplar"
)

// This file holds loans between routers. A loan is a cumulative counter of the
// pair of lives, which the lender raises before the borrower learns of it: a
// lost answer loses tokens until the borrower asks again, and never makes any.

// Loan asks a router for tokens.
type Loan struct {
	Borrower  Holder           `json:"who"`
	Workspace poplar.Workspace `json:"of"`
	// Had is the sum of the loans that the borrower has from the lender.
	Had poplar.Tokens `json:"had"`
	// Least is what a waiting request needs.
	Least poplar.Tokens `json:"least"`
}

// Lent answers a loan.
type Lent struct {
	Lender Holder `json:"by"`
	// Sum is the sum of the loans to the borrower.
	Sum poplar.Tokens `json:"sum"`
	// Soon is what the lender may have to lend in the next second.
	Soon poplar.Tokens `json:"soon,omitempty"`
}

// lendPart is the part of what a router has ready that it lends at once, beyond
// what is asked for, so that a borrower need not ask for each request.
const lendPart = 4

// Lend lends what is ready, also where it is less than what is needed: the
// borrower asks others for the rest. A borrower that has not heard of an earlier loan
// just hears of it.
func (w *Wallet) Lend(l Loan, now time.Time) Lent {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(l.Workspace)
	sum := p.lentTo[l.Borrower]
	own := poplar.Tokens(p.demand) + p.waits
	if ready := p.left(now) - own; sum == l.Had && l.Least > 0 && !w.closed && ready > 0 {
		more := min(ready, max(l.Least, ready/lendPart))
		sum += more
		p.lent += more
		p.lentTo[l.Borrower] = sum
	}
	return Lent{Lender: w.holder, Sum: sum, Soon: p.soon(now)}
}

// Gift is what a router that stops hands to another one.
type Gift struct {
	// Giver is the life that stops. It gives once.
	Giver  Holder                             `json:"by"`
	Tokens map[poplar.Workspace]poplar.Tokens `json:"tokens"`
}

// Give returns a gift of all that is ready, for a router that stops while the
// log is out of reach. Nothing is reserved or lent from now on. What is locked
// stays: the log takes it back when the router starts again.
func (w *Wallet) Give(now time.Time) Gift {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	g := Gift{Giver: w.holder, Tokens: map[poplar.Workspace]poplar.Tokens{}}
	for name, p := range w.purse {
		if left := p.left(now); left > 0 {
			p.lent += left
			g.Tokens[name] = left
		}
	}
	return g
}

// Receive takes a gift. A repetition changes nothing.
func (w *Wallet) Receive(g Gift) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.given[g.Giver] {
		return
	}
	w.given[g.Giver] = true
	for name, tokens := range g.Tokens {
		w.pocket(name).borrowed += tokens
	}
}

// Borrow returns the loan to ask a lender for, and false when nothing waits.
func (w *Wallet) Borrow(name poplar.Workspace, lender Holder, tokens poplar.Tokens, now time.Time) (Loan, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(name)
	lack := tokens - p.left(now)
	return Loan{Borrower: w.holder, Workspace: name, Had: p.borrowedFrom[lender], Least: lack}, lack > 0
}

// Borrowed takes the answer to a loan.
func (w *Wallet) Borrowed(name poplar.Workspace, l Lent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(name)
	if more := l.Sum - p.borrowedFrom[l.Lender]; more > 0 {
		p.borrowed += more
		p.borrowedFrom[l.Lender] = l.Sum
	}
}
