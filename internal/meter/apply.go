package meter

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	process "poplarbend.example/poplar/internal/daemon"
	"poplarbend.example/poplar/internal/oper"
)

// This file measures the time until a change is in force at every daemon.

var _ = Add("apply", apply)

// Sizes, times and the target of the measurement.
const (
	applyDomains = 3
	applyEach    = 3
	applyChanges = 40
	applyTarget  = 6.0 // seconds
	applyPoll    = 2 * time.Millisecond
	applyLimit   = 45 * time.Second
	applyCut     = 5 * time.Second
)

// group is a fleet in this process.
type group struct {
	settings []*conf.Settings
	daemons  []*process.Daemon
	clients  []*oper.Client
	fence    *fence
	next     poplar.Revision
}

// apply changes the configuration of nine daemons in three domains, and once
// with one domain cut off.
func apply(ctx context.Context, out *Sheet) (err error) {
	ctx, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "poplarbend-apply-")
	if err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	defer os.RemoveAll(dir)
	g, err := newGroup(ctx, dir)
	if err != nil {
		return err
	}
	defer g.stop()
	if err := g.settle(ctx); err != nil {
		return err
	}
	times := make([]time.Duration, 0, applyChanges)
	for range applyChanges {
		took, err := g.change(ctx, g.clients)
		if err != nil {
			return err
		}
		times = append(times, took)
	}
	slices.Sort(times)
	out.Note("apply.changes", applyChanges, "changes")
	out.AtMost("apply.p50", times[len(times)/2].Seconds(), "s", applyTarget)
	out.AtMost("apply.max", times[len(times)-1].Seconds(), "s", applyTarget)
	return g.cutAndHeal(ctx, out)
}

// cutAndHeal measures a change while the last domain is cut off, and the time
// from the end of the cut until the change is in force there.
func (g *group) cutAndHeal(ctx context.Context, out *Sheet) error {
	inside := (applyDomains - 1) * applyEach
	g.fence.shut.Store(true)
	pause(ctx, applyCut)
	took, err := g.change(ctx, g.clients[:inside])
	if err != nil {
		return err
	}
	out.AtMost("apply.cut.others", took.Seconds(), "s", applyTarget)
	g.fence.shut.Store(false)
	healed := time.Now()
	if err := g.await(ctx, g.clients[inside:]); err != nil {
		return err
	}
	out.AtMost("apply.healed", time.Since(healed).Seconds(), "s", applyTarget)
	return nil
}

func newGroup(ctx context.Context, dir string) (*group, error) {
	settings, err := Plan(dir, Layout{Domains: applyDomains, Each: applyEach, Drain: "1s"})
	if err != nil {
		return nil, err
	}
	g := &group{settings: settings, fence: &fence{inside: map[string]bool{}}}
	last := settings[len(settings)-1].Domain
	for _, s := range settings {
		g.fence.inside[s.Listen.Peers] = s.Domain == last
		d, err := process.NewOver(side{fence: g.fence, self: s.Listen.Peers}, s, io.Discard)
		if err == nil {
			err = d.Start(ctx)
		}
		if err != nil {
			g.stop()
			return nil, err
		}
		g.daemons = append(g.daemons, d)
		client, err := oper.Dial(s.Listen.Operators, "")
		if err != nil {
			g.stop()
			return nil, err
		}
		g.clients = append(g.clients, client)
	}
	return g, nil
}

// settle makes the first revision hold, once the log has a leader, and waits
// until every domain has a sound pair, so that it is not a part of what is
// measured.
func (g *group) settle(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := g.change(ctx, g.clients); err != nil {
			pause(ctx, 10*applyPoll)
			continue
		}
		for ctx.Err() == nil {
			s, err := g.clients[0].Status(ctx, oper.StatusQuery{})
			if err == nil && sound(s) {
				return nil
			}
			pause(ctx, 10*applyPoll)
		}
	}
	return fmt.Errorf("the fleet does not settle: %w", ctx.Err())
}

func sound(s oper.Status) bool {
	ready := 0
	for _, d := range s.Domains {
		if d.Ready {
			ready++
		}
	}
	return ready == applyDomains
}

// change proposes the next revision and returns the time until it is in force
// at the daemons of the clients.
func (g *group) change(ctx context.Context, clients []*oper.Client) (time.Duration, error) {
	text := fmt.Sprintf(`{"models": {"m": {"tokens": %d, "prefill": 1, "decode": 1}}}`, g.next+1)
	began := time.Now()
	by := clients[int(g.next)%len(clients)]
	_, err := by.Change(ctx, oper.Change{Number: g.next + 1, By: "measure", Files: map[string]*string{"00.json": &text}})
	if err != nil {
		return 0, err
	}
	g.next++
	err = g.await(ctx, clients)
	return time.Since(began), err
}

// await waits until the revision is in force everywhere among the clients.
func (g *group) await(ctx context.Context, clients []*oper.Client) error {
	for _, c := range clients {
		for {
			files, err := c.Files(ctx)
			if err == nil && files.Revision >= g.next {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("revision %d is not in force: %w", g.next, ctx.Err())
			}
			pause(ctx, applyPoll)
		}
	}
	return nil
}

func (g *group) stop() {
	g.fence.shut.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, d := range g.daemons {
		// The measurement is over; a daemon that ends late changes no figure.
		_ = d.Stop(ctx)
	}
}
