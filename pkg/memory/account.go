package memory

// state is the state of an account.
type state uint8

const (
	// growing: the data is still read.
	growing state = iota
	// sealed: the data is whole, and is not evicted any more.
	sealed
	// evicted: the account has to be closed.
	evicted
	// closed: the account holds nothing.
	closed
)

// Account counts the bytes of one item. Its methods may be called by one goroutine at a
// time. A nil Account counts nothing.
type Account struct {
	limit  *Limit
	source string
	evict  func()
	size   int64 // bytes, with those that do not count

	counted int64 // invariant: guarded by limit.mu; bytes of size that count, 0 once closed
	state   state // invariant: guarded by limit.mu
}

// Grow adds n bytes to an item that is not whole. It may wait for others to make room.
// After ErrFull the item must be given up.
func (a *Account) Grow(n int64) error { return a.grow(n, false) }

// GrowLast adds the last n bytes of an item and seals it in one step: an item that was
// whole for a moment before it was sealed could still be evicted for another.
func (a *Account) GrowLast(n int64) error { return a.grow(n, true) }

func (a *Account) grow(n int64, last bool) error {
	if a == nil || a.limit == nil {
		return nil
	}
	more := max(a.size+n-Allowance, 0) - max(a.size-Allowance, 0)
	switch {
	case more > 0:
		if err := a.limit.grow(a, more, last); err != nil {
			return err
		}
	case last && !a.Seal():
		return ErrFull
	}
	a.size += n
	return nil
}

// Shrink takes n bytes away. It does nothing once the account is closed.
func (a *Account) Shrink(n int64) {
	if a == nil || a.limit == nil {
		return
	}
	less := max(a.size-Allowance, 0) - max(a.size-n-Allowance, 0)
	a.size -= n
	if less == 0 {
		return
	}
	a.limit.mu.Lock()
	defer a.limit.mu.Unlock()
	if a.state != closed {
		a.limit.giveBack(a, less)
	}
}

// Seal keeps an item that is whole from being evicted. It reports false if it already was.
func (a *Account) Seal() bool {
	if a == nil || a.limit == nil {
		return true
	}
	a.limit.mu.Lock()
	defer a.limit.mu.Unlock()
	if a.state != growing {
		return false
	}
	a.state = sealed
	a.limit.unlist(a)
	return true
}

// Close gives the memory back. It reports false if the account was evicted; its evict
// function was then called, or is about to be.
func (a *Account) Close() bool {
	if a == nil || a.limit == nil {
		return true
	}
	a.limit.mu.Lock()
	defer a.limit.mu.Unlock()
	kept := a.state != evicted
	a.limit.giveBack(a, a.counted)
	a.state = closed
	return kept
}
