package fake

import (
	"fmt"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the continuous batch: which generations run, which wait, and
// what one decoding step yields. It has no clock, lock or goroutine.

// generation is one answer in the making.
type generation struct {
	id      string
	attempt poplar.Attempt // invariant: the highest attempt that was seen
	rank    poplar.Rank
	model   string
	chat    bool
	nonce   string // invariant: differs between any two generations
	prompt  int    // tokens of the prompt
	want    int    // tokens to generate
	made    int    // invariant: at most want
	ready   time.Time
	expiry  time.Time     // invariant: zero while a reader is attached
	wake    chan struct{} // invariant: capacity 1; a hint that made or done changed
	over    bool          // invariant: true when cancelled
	readers int
}

func (g *generation) done() bool { return g.over || g.made >= g.want }

// token returns the text of the token with the given number, from 0. It names
// the generation, so that a spliced answer can be told.
func (g *generation) token(n int) string { return fmt.Sprintf("%s:%d ", g.nonce, n) }

func (g *generation) hint() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// batch is not safe for concurrent use.
type batch struct {
	slots   int
	running []*generation // invariant: at most slots
	waiting []*generation // invariant: by rank, then by arrival
}

// add queues g behind all of its rank and preempts a less urgent generation
// when every slot is taken.
func (b *batch) add(g *generation) {
	b.enqueue(g, len(b.waiting))
	b.fill()
	if len(b.waiting) == 0 || b.waiting[0] != g {
		return
	}
	worst := -1
	for i, r := range b.running {
		if r.rank > g.rank && (worst < 0 || r.rank >= b.running[worst].rank) {
			worst = i
		}
	}
	if worst < 0 {
		return
	}
	out := b.running[worst]
	b.running[worst] = g
	b.waiting = b.waiting[1:]
	b.enqueue(out, 0)
}

// enqueue puts g at or after position from, behind what is as urgent or more.
func (b *batch) enqueue(g *generation, from int) {
	at := 0
	for at < len(b.waiting) && (b.waiting[at].rank < g.rank || at < from && b.waiting[at].rank == g.rank) {
		at++
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = g
}

func (b *batch) fill() {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

// step gives one token to each running generation that has its prompt
// processed by now, and returns those that gained one.
func (b *batch) step(now time.Time) []*generation {
	var gained []*generation
	kept := b.running[:0]
	for _, g := range b.running {
		if !g.done() && !now.Before(g.ready) {
			g.made++
			gained = append(gained, g)
		}
		if !g.done() {
			kept = append(kept, g)
		}
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.fill()
	return gained
}

// drop removes g wherever it is.
func (b *batch) drop(g *generation) {
	b.running = without(b.running, g)
	b.waiting = without(b.waiting, g)
	b.fill()
}

func without(all []*generation, g *generation) []*generation {
	for i, other := range all {
		if other == g {
			return append(all[:i], all[i+1:]...)
		}
	}
	return all
}

func (b *batch) busy() bool { return len(b.running)+len(b.waiting) > 0 }
