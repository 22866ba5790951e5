package purse

import (
	"time"

	"poplarbend.example/poplar"
)

// Loans between routers are cumulative counters, one for each pair of lender and
// borrower incarnations. The lender raises the counter before the borrower learns
// of it, so a lost response withholds tokens until the borrower asks again, and
// never creates any.

// Loan is a request to borrow tokens from another router.
type Loan struct {
	Borrower  Holder           `json:"who"`
	Workspace poplar.Workspace `json:"of"`
	// Had is the cumulative number of tokens that the borrower has received from
	// the lender.
	Had poplar.Tokens `json:"had"`
	// Needed is the number of tokens that a waiting request lacks.
	Needed poplar.Tokens `json:"least"`
}

// Lent is the response to a loan request.
type Lent struct {
	Lender Holder `json:"by"`
	// Sum is the cumulative number of tokens lent to the borrower.
	Sum poplar.Tokens `json:"sum"`
	// Soon is the number of tokens that the lender expects to have available for
	// loans in the next second.
	Soon poplar.Tokens `json:"soon,omitempty"`
}

// lendDivisor sets the size of a loan: at least 1/lendDivisor of the lender's ready
// tokens, so that a borrower need not ask for each request.
const lendDivisor = 4

// Lend lends ready tokens to a borrower, even if they are fewer than it needs: it
// borrows the rest from other routers. A borrower that did not receive an earlier
// response gets only the current total.
func (w *Wallet) Lend(l Loan, now time.Time) Lent {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(l.Workspace)
	sum := b.lentTo[l.Borrower]
	ownNeed := poplar.Tokens(b.demandRate) + b.largestWaiting
	if ready := b.ready(now) - ownNeed; sum == l.Had && l.Needed > 0 && !w.closed && ready > 0 {
		more := min(ready, max(l.Needed, ready/lendDivisor))
		sum += more
		b.lent += more
		b.lentTo[l.Borrower] = sum
	}
	return Lent{Lender: w.holder, Sum: sum, Soon: b.readySoon(now)}
}

// Gift is the hand-off of tokens from a stopping router to another router.
type Gift struct {
	// Giver is the incarnation that stops. It hands off tokens only once.
	Giver  Holder                             `json:"by"`
	Tokens map[poplar.Workspace]poplar.Tokens `json:"tokens"`
}

// Give closes the wallet and returns a hand-off of all ready tokens, for a router
// that stops while it cannot reach the log. The wallet reserves and lends nothing
// afterwards. Locked tokens are not handed off: the log recovers them when the
// router restarts.
func (w *Wallet) Give(now time.Time) Gift {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	g := Gift{Giver: w.holder, Tokens: map[poplar.Workspace]poplar.Tokens{}}
	for name, b := range w.balances {
		if left := b.ready(now); left > 0 {
			b.lent += left
			g.Tokens[name] = left
		}
	}
	return g
}

// Receive adds the tokens of a hand-off. A repeated hand-off changes nothing.
func (w *Wallet) Receive(g Gift) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.handOffs[g.Giver] {
		return
	}
	w.handOffs[g.Giver] = true
	for name, tokens := range g.Tokens {
		w.balance(name).borrowed += tokens
	}
}

// Borrow returns the loan request to send to a lender, and false when the wallet
// has the given number of tokens ready.
func (w *Wallet) Borrow(name poplar.Workspace, lender Holder, tokens poplar.Tokens, now time.Time) (Loan, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	missing := tokens - b.ready(now)
	return Loan{Borrower: w.holder, Workspace: name, Had: b.borrowedFrom[lender], Needed: missing}, missing > 0
}

// Borrowed applies the response to a loan request.
func (w *Wallet) Borrowed(name poplar.Workspace, l Lent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	if more := l.Sum - b.borrowedFrom[l.Lender]; more > 0 {
		b.borrowed += more
		b.borrowedFrom[l.Lender] = l.Sum
	}
}
