// Package loops runs the background loops of an owner: it starts them together
// and waits for them when they are stopped.
package loops

import (
	"context"
	"sync"
	"time"
)

// This file holds the runner and the ticking loop.

// Runner runs loops that end with their context. The zero value is ready for
// use. Start and Stop must not be called concurrently.
type Runner struct {
	stop context.CancelFunc // invariant: nil before Start
	done sync.WaitGroup
}

// Start starts the loops, each in a goroutine of its own. Each must return soon
// after its context is done.
func (r *Runner) Start(loops ...func(context.Context)) {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	for _, loop := range loops {
		r.done.Add(1)
		go r.run(ctx, loop)
	}
}

func (r *Runner) run(ctx context.Context, loop func(context.Context)) {
	defer r.done.Done()
	loop(ctx)
}

// Stop ends the loops and returns once they have returned. It does nothing
// before Start.
func (r *Runner) Stop() {
	if r.stop == nil {
		return
	}
	r.stop()
	r.done.Wait()
}

// Tick calls step each period, and at once when kick yields, until ctx is done.
// A nil kick never yields.
func Tick(ctx context.Context, period time.Duration, kick <-chan struct{}, step func(context.Context)) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-kick:
		}
		step(ctx)
	}
}
