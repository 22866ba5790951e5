package wallet

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// This file holds the tests of fleets of hundreds of routers.

// TestLargeFleetDrawsLittle plays 295 routers with 40 workspaces of which few are in
// use at any router. The reserves that the log renews in a second must not grow with
// routers times workspaces, and all routers must get what their requests need.
func TestLargeFleetDrawsLittle(t *testing.T) {
	const (
		routers = 295
		seconds = 10
		step    = 350 * time.Millisecond // period of draws
	)
	budgets, now := NewBudgets(), time.UnixMilli(1_000_000)
	grants := map[poplar.Workspace]Grant{}
	for i := range 40 {
		grants[poplar.Workspace("w"+strconv.Itoa(i))] = Grant{Tokens: 10_000_000, Bound: true}
	}
	budgets.Declare(grants)
	fleet := make([]*Wallet, routers)
	for i := range fleet {
		fleet[i] = NewWallet(Holder{Name: poplar.Daemon("r" + strconv.Itoa(i)), Incarnation: 1}, DefaultPolicy(), now)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	entries, refused, requests := 0, 0, 0
	warm := now.Add(seconds * time.Second)
	draw := func(w *Wallet) {
		if d, due := w.NextDraw(grants, now); due {
			w.ApplyDraw(d, budgets.HandleDraw(d, now.UnixMilli()), now)
			if now.After(warm) {
				entries += len(d.Entries)
			}
		}
	}
	for end := warm.Add(seconds * time.Second); now.Before(end); now = now.Add(step) {
		for i, w := range fleet {
			name := poplar.Workspace("w" + strconv.Itoa((i+rng.IntN(3))%40))
			ok := w.Reserve(name, 2000, now)
			draw(w)
			if !ok && !w.Reserve(name, 2000, now) {
				refused++
				continue
			}
			requests++
			w.Settle(name, 2000, 1500)
		}
	}
	// Renewals that a draw makes early because it is due anyway, and the draws of
	// the workspaces in use, come on top of the renewals that are due.
	assert.Assert(t, entries < 3*maxRenewals*seconds, "%d entries in %d s", entries, seconds)
	assert.Equal(t, refused, 0, "of %d requests", requests)
}

// BenchmarkDrawOfLargeFleet applies draws that name 40 workspaces of which 295
// routers hold tokens.
func BenchmarkDrawOfLargeFleet(b *testing.B) {
	const routers, workspaces = 295, 40
	budgets, grants, entries := NewBudgets(), map[poplar.Workspace]Grant{}, map[poplar.Workspace]DrawEntry{}
	for i := range workspaces {
		name := poplar.Workspace("w" + strconv.Itoa(i))
		grants[name], entries[name] = Grant{Tokens: 10_000_000, Bound: true}, DrawEntry{Reserve: 1000}
	}
	budgets.Declare(grants)
	at := int64(0)
	draw := func(router int) {
		at++
		holder := Holder{Name: poplar.Daemon("r" + strconv.Itoa(router)), Incarnation: 1}
		budgets.HandleDraw(DrawRequest{Holder: holder, Entries: entries, Number: uint64(at)}, at)
	}
	for i := range routers {
		draw(i)
	}
	for i := 0; b.Loop(); i++ {
		draw(i % routers)
	}
}
