package fake

import (
	"sync"
	"time"
)

// This file holds the weight store that engines share.

// Store gives weights at a bounded rate, one load after the other. It is safe
// for concurrent use.
type Store struct {
	rate float64 // bytes a second

	mu    sync.Mutex
	free  time.Time // invariant: guarded by mu; when the last load is done
	bytes float64   // invariant: guarded by mu; asked for so far
}

// NewStore returns a store with the given rate in bytes a second.
func NewStore(rate float64) *Store { return &Store{rate: rate} }

// Bytes returns the bytes that were asked for.
func (s *Store) Bytes() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// fetch returns when a load of the given size that begins at now is done.
func (s *Store) fetch(size float64, now time.Time) time.Time {
	if s == nil || size == 0 {
		return now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.free) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(size / s.rate * float64(time.Second)))
	s.bytes += size
	return s.free
}
