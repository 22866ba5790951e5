package memory

import (
	"errors"
	"sync"
	"time"
)

// ErrFull means that an account may not grow. The limit was reached, and it was the largest
// of the source that held most, or those that were to make room did not in time.
var ErrFull = errors.New("the memory for data of others is full")

// Allowance is the number of bytes of each account that do not count. Most items are
// smaller, and never touch what accounts share.
const Allowance = 4 << 10

// releaseTime bounds the wait for memory that others have to give back.
const releaseTime = 100 * time.Millisecond

// Limit is the memory that its accounts share. It is safe for concurrent use.
type Limit struct {
	most int64 // bytes

	mu       sync.Mutex
	used     int64                            // invariant: guarded by mu; sum of counted over all accounts, at most most
	leaving  int64                            // invariant: guarded by mu; the part of used that evicted accounts still hold
	open     map[string]map[*Account]struct{} // invariant: guarded by mu; by source, the growing accounts with counted bytes
	evicted  int64                            // invariant: guarded by mu; number of accounts that were evicted
	released chan struct{}                    // invariant: guarded by mu; closed when memory is given back, nil while nobody waits
}

// NewLimit returns a limit of the given number of bytes.
func NewLimit(most int64) *Limit {
	return &Limit{most: most, open: map[string]map[*Account]struct{}{}}
}

// Open returns an account for data from a source. When the account is evicted, evict is
// called once, from any goroutine: it must not block, and must make the reader of the data
// stop and close the account. A nil Limit has no bound.
func (l *Limit) Open(source string, evict func()) *Account {
	return &Account{limit: l, source: source, evict: evict}
}

// Used returns the bytes that are held.
func (l *Limit) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Evicted returns the number of accounts that were evicted.
func (l *Limit) Evicted() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evicted
}

// grow adds n bytes to an account. Where others have to make room, it waits for them.
func (l *Limit) grow(a *Account, n int64, last bool) error {
	var timeout <-chan time.Time
	for {
		victims, released, err := l.reserve(a, n, last)
		for _, v := range victims {
			v.evict()
		}
		if released == nil || err != nil {
			return err
		}
		if timeout == nil {
			timer := time.NewTimer(releaseTime)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			return ErrFull
		}
	}
}

// reserve adds n bytes to an account, and seals it if they are the last ones. If that needs
// memory that others hold, it decides which of them are evicted, and returns a channel that
// is closed when memory is given back.
func (l *Limit) reserve(a *Account, n int64, last bool) (victims []*Account, released <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.state != growing {
		return nil, nil, ErrFull
	}
	l.add(a, n)
	if l.used <= l.most {
		if last {
			a.state = sealed
			l.unlist(a)
		}
		return nil, nil, nil
	}
	for l.used-l.leaving > l.most && a.state == growing {
		v := l.largest(a)
		l.unlist(v)
		v.state = evicted
		l.evicted++
		if v != a {
			l.leaving += v.counted
			victims = append(victims, v)
		}
	}
	l.add(a, -n)
	if a.state == evicted {
		l.leaving += a.counted
		return victims, nil, ErrFull
	}
	if l.released == nil {
		l.released = make(chan struct{})
	}
	return victims, l.released, nil
}

// add adds n bytes, which may be negative, to an account.
func (l *Limit) add(a *Account, n int64) {
	l.used += n
	a.counted += n
	switch {
	case a.state != growing:
	case a.counted == 0:
		l.unlist(a)
	case l.open[a.source] == nil:
		l.open[a.source] = map[*Account]struct{}{a: {}}
	default:
		l.open[a.source][a] = struct{}{}
	}
}

// giveBack takes n bytes from an account, and wakes those that wait for memory.
func (l *Limit) giveBack(a *Account, n int64) {
	if a.state == evicted {
		l.leaving -= n
	}
	l.add(a, -n)
	if n > 0 && l.released != nil {
		close(l.released)
		l.released = nil
	}
}

func (l *Limit) unlist(a *Account) {
	delete(l.open[a.source], a)
	if len(l.open[a.source]) == 0 {
		delete(l.open, a.source)
	}
}

// largest returns the largest account of the source whose growing accounts hold most. There
// must be one. Of accounts of the same size it prefers the given one, which is to grow.
func (l *Limit) largest(next *Account) *Account {
	var found *Account
	most := int64(0)
	for _, accounts := range l.open {
		sum := int64(0)
		var largest *Account
		for a := range accounts {
			sum += a.counted
			if largest == nil || a.counted > largest.counted || a == next && a.counted == largest.counted {
				largest = a
			}
		}
		if sum > most {
			most, found = sum, largest
		}
	}
	return found
}
