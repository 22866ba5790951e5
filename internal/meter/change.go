package meter

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	process "poplarbend.example/poplar/internal/daemon"
	"poplarbend.example/poplar/internal/demo"
	"poplarbend.example/poplar/internal/oper"
)

// This file measures a change of the configuration: nine daemons in three
// failure domains, and operators who apply at any of them.

const (
	changeEach  = 3
	changeCount = 30
	changeSeed  = 7
	changePoll  = 2 * time.Millisecond
	changeStart = 20 * time.Second
	changeStop  = 5 * time.Second
)

var _ = Add("change", change)

// change applies changes one after the other and waits for each at every
// daemon.
func change(ctx context.Context, out *Sheet) error {
	dir, err := os.MkdirTemp("", "poplarbend-measure-")
	if err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	defer os.RemoveAll(dir)
	settings, err := demo.Layout(dir, []poplar.Domain{"ikeja", "yaba", "lekki"}, changeEach)
	if err != nil {
		return err
	}
	fleet, clients, err := startFleet(ctx, settings)
	defer stopFleet(fleet)
	if err != nil {
		return err
	}
	if err := found(ctx, clients); err != nil {
		return err
	}
	return changeAll(ctx, clients, out)
}

// startFleet starts the daemons and makes a client of each.
func startFleet(ctx context.Context, settings []*conf.Settings) ([]*process.Daemon, []*oper.Client, error) {
	var fleet []*process.Daemon
	var clients []*oper.Client
	for _, s := range settings {
		d, err := process.New(s, io.Discard)
		if err != nil {
			return fleet, nil, err
		}
		if err := d.Start(ctx); err != nil {
			return fleet, nil, err
		}
		fleet = append(fleet, d)
		client, err := oper.Dial(s.Listen.Operators, "")
		if err != nil {
			return fleet, nil, err
		}
		clients = append(clients, client)
	}
	return fleet, clients, nil
}

// stopFleet stops all daemons at once.
func stopFleet(fleet []*process.Daemon) {
	ctx, cancel := context.WithTimeout(context.Background(), changeStop)
	defer cancel()
	var all errgroup.Group
	for _, d := range fleet {
		all.Go(func() error { return d.Stop(ctx) })
	}
	_ = all.Wait() // the measurement is over; daemons of a stopping fleet cannot hand over
}

// found applies the first folder, which is refused until the log has a leader.
func found(ctx context.Context, clients []*oper.Client) error {
	ctx, cancel := context.WithTimeout(ctx, changeStart)
	defer cancel()
	for {
		_, err := clients[0].Change(ctx, nextChange(1))
		if err == nil {
			return inForce(ctx, clients, 1)
		}
		if ctx.Err() != nil {
			return err
		}
	}
}

// nextChange returns the change with the given number: one file with one rule.
func nextChange(number poplar.Revision) oper.Change {
	text := fmt.Sprintf(`{"workspaces": {"ikeja": {"weight": %d}}}`, number)
	return oper.Change{Number: number, By: "measure", Files: map[string]*string{"50-weight.jsonc": &text}}
}

// inForce waits until every daemon has the revision in force.
func inForce(ctx context.Context, clients []*oper.Client, number poplar.Revision) error {
	for _, c := range clients {
		for {
			held, err := c.Files(ctx)
			if err != nil {
				return err
			}
			if held.Revision >= number {
				break
			}
			time.Sleep(changePoll)
		}
	}
	return nil
}

// changeAll applies changes at random daemons and writes the figures.
func changeAll(ctx context.Context, clients []*oper.Client, out *Sheet) error {
	pick := rand.New(rand.NewPCG(changeSeed, 0))
	var holds, force []float64
	for number := poplar.Revision(2); number < changeCount+2; number++ {
		start := time.Now()
		if _, err := clients[pick.IntN(len(clients))].Change(ctx, nextChange(number)); err != nil {
			return err
		}
		holds = append(holds, time.Since(start).Seconds())
		if err := inForce(ctx, clients, number); err != nil {
			return err
		}
		force = append(force, time.Since(start).Seconds())
	}
	slices.Sort(holds)
	slices.Sort(force)
	out.Note("change holds p50", holds[len(holds)/2], "s")
	out.Note("change holds max", holds[len(holds)-1], "s")
	out.Note("in force at 9 daemons p50", force[len(force)/2], "s")
	out.AtMost("in force at 9 daemons max", force[len(force)-1], "s", aimInForce)
	return nil
}
