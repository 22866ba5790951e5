package wallet

import (
	"time"

	"poplarbend.example/poplar"
)

// Loans between routers are cumulative counters, one for each pair of lives of a lender
// and a borrower. The lender raises the counter before the borrower learns
// of it, so a lost response withholds tokens until the borrower asks again, and
// never creates any.

// Life identifies a wallet in loans and hand-offs. Unlike the incarnation of its Holder, which
// the log may have it change, no part of a life changes or is used again.
type Life struct {
	Name   poplar.Daemon `json:"n"`
	Number uint64        `json:"i"` // random
}

// LoanRequest is a request to borrow tokens from another router.
type LoanRequest struct {
	Borrower  Life             `json:"who"`
	Workspace poplar.Workspace `json:"of"`
	// Received is the cumulative number of tokens that the borrower has received from
	// the lender.
	Received poplar.Tokens `json:"had"`
	// Needed is the number of tokens that a waiting request lacks.
	Needed poplar.Tokens `json:"least"`
}

// LoanResponse is the response to a loan request.
type LoanResponse struct {
	Lender Life `json:"by"`
	// Total is the cumulative number of tokens lent to the borrower.
	Total poplar.Tokens `json:"sum"`
	// ReadySoon is the number of tokens that the lender expects to have available for
	// loans in the next second.
	ReadySoon poplar.Tokens `json:"soon,omitempty"`
}

// lendDivisor sets the size of a loan: at least 1/lendDivisor of the lender's ready
// tokens, so that a borrower need not ask for each request.
const lendDivisor = 4

// Lend lends a borrower ready tokens beyond those that the lender's own waiting
// requests and one second of its demand need. If they are fewer than the borrower
// needs, it borrows the rest from other routers. A borrower that did not receive an
// earlier response gets only the current total.
func (w *Wallet) Lend(l LoanRequest, now time.Time) LoanResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(l.Workspace)
	total := b.lentTo[l.Borrower]
	ownNeed := poplar.Tokens(b.demandRate) + b.waiting
	if ready := b.ready(now) - ownNeed; total == l.Received && l.Needed > 0 && !w.closed && ready > 0 {
		more := min(ready, max(l.Needed, ready/lendDivisor))
		total += more
		b.lent += more
		b.lentTo[l.Borrower] = total
	}
	return LoanResponse{Lender: w.life, Total: total, ReadySoon: b.readySoon(now)}
}

// HandOff is the hand-off of tokens from a stopping router to another router.
type HandOff struct {
	// Sender is the wallet that is closed. It hands off tokens only once.
	Sender Life                               `json:"by"`
	Tokens map[poplar.Workspace]poplar.Tokens `json:"tokens"`
}

// HandOff closes the wallet and returns a hand-off of all ready tokens, for a router
// that stops while it cannot reach the log. The wallet reserves and lends nothing
// afterwards. Locked tokens are not handed off: the log recovers them when the
// router restarts.
func (w *Wallet) HandOff(now time.Time) HandOff {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	h := HandOff{Sender: w.life, Tokens: map[poplar.Workspace]poplar.Tokens{}}
	for name, b := range w.balances {
		if ready := b.ready(now); ready > 0 {
			b.lent += ready
			h.Tokens[name] = ready
		}
	}
	return h
}

// ReceiveHandOff adds the tokens of a hand-off. A repeated hand-off changes nothing.
func (w *Wallet) ReceiveHandOff(h HandOff) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.handOffs[h.Sender] {
		return
	}
	w.handOffs[h.Sender] = true
	for name, tokens := range h.Tokens {
		w.balance(name).borrowed += tokens
	}
}

// NextLoan returns the loan request to send to a lender, and false when the wallet
// has the given number of tokens ready.
func (w *Wallet) NextLoan(name poplar.Workspace, lender Life, tokens poplar.Tokens, now time.Time) (LoanRequest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	missing := tokens - b.ready(now)
	return LoanRequest{Borrower: w.life, Workspace: name, Received: b.borrowedFrom[lender], Needed: missing}, missing > 0
}

// ApplyLoan applies the response to a loan request.
func (w *Wallet) ApplyLoan(name poplar.Workspace, l LoanResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(name)
	if more := l.Total - b.borrowedFrom[l.Lender]; more > 0 {
		b.borrowed += more
		b.borrowedFrom[l.Lender] = l.Total
	}
}
