package wallet

import (
	"encoding/json"
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

const testWorkspace = poplar.Workspace("ikeja")

// cluster is a log and some routers that lose messages, lend tokens, and are
// killed.
type cluster struct {
	budgets         *Budgets
	now             time.Time
	wallets         []*Wallet
	lastIncarnation uint64
	spent           poplar.Tokens // by all incarnations of all routers
	grant           poplar.Tokens
	delayed         []DrawRequest // draw requests that have not arrived yet
	open            []reservation
	clocks          map[int]clockError // by index of the router
}

// startPeriod is the number of incarnations between two starts. They are the times of the starts.
const startPeriod = 1000

// clockError is the error of the wall clock of a router, now and at its start.
type clockError struct {
	offset, atStart time.Duration
}

// apply returns the draw request as a router with this clock error sends it.
func (c clockError) apply(d DrawRequest) DrawRequest {
	d.UnlockStart += c.offset.Milliseconds()
	d.Started += c.atStart.Milliseconds()
	return d
}

// reservation is the reservation of a running request.
type reservation struct {
	wallet *Wallet
	tokens poplar.Tokens
}

func (c *cluster) restart(i int) {
	c.lastIncarnation += startPeriod
	c.restartAs(i, c.lastIncarnation)
}

// restartAs restarts router i with an incarnation, which may be below that of its last start if
// its wall clock was set back.
func (c *cluster) restartAs(i int, incarnation uint64) {
	holder := Holder{Name: poplar.Daemon(rune('a' + i)), Incarnation: incarnation}
	old := c.wallets[i]
	c.wallets[i] = NewWallet(holder, DefaultPolicy(), c.now)
	c.clocks[i] = clockError{offset: c.clocks[i].offset, atStart: c.clocks[i].offset}
	open := c.open[:0]
	for _, o := range c.open {
		if o.wallet != old {
			open = append(open, o)
		}
	}
	c.open = open
}

// draw makes a draw at router i. With outcome 0 it succeeds, with 1 the response is
// lost, with 2 the request is delayed, and else the request is lost.
func (c *cluster) draw(i, outcome int) {
	wallet := c.wallets[i]
	d, _ := wallet.NextDraw(map[poplar.Workspace]Grant{testWorkspace: {Tokens: c.grant, Bound: true}}, c.now)
	d = c.clocks[i].apply(jsonCopy(d))
	switch outcome {
	case 0:
		wallet.ApplyDraw(d, jsonCopy(c.budgets.HandleDraw(d, c.now.UnixMilli())), c.now)
	case 1:
		c.budgets.HandleDraw(d, c.now.UnixMilli())
	case 2:
		c.delayed = append(c.delayed, d)
	}
}

// jsonCopy returns v as it arrives at a peer.
func jsonCopy[T any](v T) T {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	var out T
	if err := json.Unmarshal(data, &out); err != nil {
		panic(err)
	}
	return out
}

// lend has router from lend tokens to router to, so that it has the given number of tokens ready.
func (c *cluster) lend(from, to int, tokens poplar.Tokens) {
	if loan, lacks := c.wallets[to].NextLoan(testWorkspace, c.wallets[from].life, tokens, c.now); lacks {
		c.wallets[to].ApplyLoan(testWorkspace, c.wallets[from].Lend(loan, c.now))
	}
}

// serve reserves tokens for a request at router i and counts all of them as spent,
// since the upstream uses them even if the router is killed.
func (c *cluster) serve(i int, tokens poplar.Tokens) bool {
	if !c.wallets[i].Reserve(testWorkspace, tokens, c.now) {
		return false
	}
	c.spent += tokens
	c.open = append(c.open, reservation{c.wallets[i], tokens})
	return true
}

// TestSpentNeverExceedsGrant checks that all routers together spend no more than the
// grant under random sequences of lost, duplicated and delayed messages, loans,
// hand-offs, kills before and after UnlockTime, partitions from the log, rising
// grants, and wall clocks that are set forward and back.
func TestSpentNeverExceedsGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{budgets: NewBudgets(), now: time.UnixMilli(1_000_000), grant: 10_000, wallets: make([]*Wallet, 3), clocks: map[int]clockError{}}
		c.budgets.Declare(map[poplar.Workspace]Grant{testWorkspace: {Tokens: c.grant, Bound: true}})
		for i := range c.wallets {
			c.restart(i)
		}
		router, starts := rapid.IntRange(0, len(c.wallets)-1), uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"draw": func(t *rapid.T) { c.draw(router.Draw(t, "router"), rapid.IntRange(0, 3).Draw(t, "fate")) },
			"talk": func(t *rapid.T) { c.draw(router.Draw(t, "router"), 0) },
			"late": func(t *rapid.T) {
				if len(c.delayed) == 0 {
					t.Skip("none")
				}
				c.budgets.HandleDraw(c.delayed[0], c.now.UnixMilli())
				c.delayed = c.delayed[1:]
			},
			"serve": func(t *rapid.T) {
				c.serve(router.Draw(t, "router"), poplar.Tokens(rapid.IntRange(1, 900).Draw(t, "tokens")))
			},
			"settle": func(t *rapid.T) {
				if len(c.open) == 0 {
					t.Skip("none")
				}
				o := c.open[0]
				c.open = c.open[1:]
				used := poplar.Tokens(rapid.IntRange(0, int(o.tokens)).Draw(t, "used"))
				o.wallet.Settle(testWorkspace, o.tokens, used)
				c.spent -= o.tokens - used
			},
			"kill": func(t *rapid.T) { c.restart(router.Draw(t, "router")) },
			"killAndSetBack": func(t *rapid.T) {
				i := router.Draw(t, "router")
				starts++ // no two starts are at the same time
				c.restartAs(i, rapid.Uint64Range(0, c.lastIncarnation/startPeriod).Draw(t, "start")*startPeriod+starts)
			},
			"step": func(t *rapid.T) {
				i := router.Draw(t, "router")
				e := c.clocks[i]
				e.offset = time.Duration(rapid.IntRange(-4000, 4000).Draw(t, "offset")) * time.Millisecond
				c.clocks[i] = e
			},
			"lend": func(t *rapid.T) {
				from, to := router.Draw(t, "from"), router.Draw(t, "to")
				if from == to {
					t.Skip("itself")
				}
				loan, lacks := c.wallets[to].NextLoan(testWorkspace, c.wallets[from].life, 800, c.now)
				if !lacks {
					return
				}
				response := c.wallets[from].Lend(loan, c.now)
				if rapid.Bool().Draw(t, "arrives") {
					c.wallets[to].ApplyLoan(testWorkspace, response)
				}
			},
			"stop": func(t *rapid.T) {
				from, to := router.Draw(t, "from"), router.Draw(t, "to")
				if from == to {
					t.Skip("itself")
				}
				if rapid.Bool().Draw(t, "log") {
					d := c.clocks[from].apply(jsonCopy(c.wallets[from].Close(c.now)))
					if rapid.Bool().Draw(t, "arrives") {
						c.budgets.HandleDraw(d, c.now.UnixMilli())
					}
				} else {
					h := c.wallets[from].HandOff(c.now)
					for range rapid.IntRange(0, 2).Draw(t, "times") {
						c.wallets[to].ReceiveHandOff(jsonCopy(h))
					}
				}
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				c.restart(from)
			},
			"raise": func(t *rapid.T) {
				c.grant += 500
				c.budgets.Declare(map[poplar.Workspace]Grant{testWorkspace: {Tokens: c.grant, Bound: true}})
			},
			"restore": func(*rapid.T) {
				restored := jsonCopy(c.budgets)
				budget, again := c.budgets.ByWorkspace[testWorkspace], restored.ByWorkspace[testWorkspace]
				if *budget.totals() != *again.totals() {
					t.Fatalf("sums %+v, restored %+v", *budget.totals(), *again.totals())
				}
			},
			"": func(t *rapid.T) {
				if c.spent > c.grant {
					t.Fatalf("spent %d of %d", c.spent, c.grant)
				}
			},
		})
	})
}

// drawAll makes six rounds of draws at all routers.
func (c *cluster) drawAll() {
	for range 6 {
		for i := range c.wallets {
			c.draw(i, 0)
		}
	}
}

func newCluster(routers int, grant poplar.Tokens) *cluster {
	c := &cluster{budgets: NewBudgets(), now: time.UnixMilli(1_000_000), grant: grant, wallets: make([]*Wallet, routers), clocks: map[int]clockError{}}
	c.budgets.Declare(map[poplar.Workspace]Grant{testWorkspace: {Tokens: grant, Bound: true}})
	for i := range c.wallets {
		c.restart(i)
	}
	return c
}

// serveAll makes requests of one size at all routers and settles them at once. It
// returns the number of refused requests.
func (c *cluster) serveAll(times int, tokens poplar.Tokens) (refused int) {
	for range times {
		c.now = c.now.Add(100 * time.Millisecond)
		for i := range c.wallets {
			if c.serve(i, tokens) {
				c.wallets[i].Settle(testWorkspace, tokens, tokens)
			} else {
				refused++
			}
		}
	}
	return refused
}

// TestUnusedReserveIsRecoveredAfterKill kills all routers after a response of the
// log. The part of their reserves that was still locked must not be written off.
func TestUnusedReserveIsRecoveredAfterKill(t *testing.T) {
	for _, test := range []struct {
		name      string
		down      time.Duration
		recovered float64 // fraction of the reserve
	}{
		{"at once", 0, 1},
		{"after a quarter", UnlockTime / 4, 0.75},
		{"late", UnlockTime, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(3, 1_000_000)
			for range 20 {
				c.serveAll(2, 1000)
				c.drawAll()
			}
			c.now = c.now.Add(2 * time.Second)
			c.drawAll()
			var reserved, held poplar.Tokens
			for _, wallet := range c.wallets {
				b := wallet.balance(testWorkspace)
				reserved += b.confirmedReserve.tokens
				held += b.held()
			}
			assert.Assert(t, reserved > held/2, "reserve %d of %d", reserved, held)
			c.now = c.now.Add(test.down)
			for i := range c.wallets {
				c.restart(i)
			}
			c.drawAll()
			lost := c.budgets.ByWorkspace[testWorkspace].ClosedIssued - c.spent
			want := held - poplar.Tokens(float64(reserved)*test.recovered)
			assert.Assert(t, lost >= want && lost <= want+3, "lost %d, want %d", lost, want)
		})
	}
}

// TestClockSetBackBetweenTwoStarts lets a partitioned router use its whole reserve,
// kills it, and sets its wall clock back before it restarts. None of the reserve may
// be issued a second time.
func TestClockSetBackBetweenTwoStarts(t *testing.T) {
	c := newCluster(2, 100_000)
	for range 20 {
		c.serveAll(2, 1000)
		c.drawAll()
	}
	c.now = c.now.Add(UnlockTime)
	for c.serve(0, 100) {
		continue
	}
	c.clocks[0] = clockError{offset: -UnlockTime}
	c.restart(0)
	c.drawAll()
	for range 100 {
		c.serve(0, 100)
		c.serve(1, 100)
		c.now = c.now.Add(UnlockTime)
		c.drawAll()
	}
	for i := range c.wallets {
		for c.serve(i, 100) {
			continue
		}
	}
	assert.Assert(t, c.spent <= c.grant, "spent %d of %d", c.spent, c.grant)
}

// TestBusyRouterKillLosesLittle kills the router that serves the whole load and
// restarts it half a second later. Apart from the reservations of its requests, at
// most the tokens that it uses in maxLost may be lost.
func TestBusyRouterKillLosesLittle(t *testing.T) {
	const (
		reserved, used = 2000, 1500
		perStep        = 5 // requests per step
		step           = 50 * time.Millisecond
		duration       = time.Second            // of a request
		drawInterval   = 350 * time.Millisecond // between two draws
		down           = 500 * time.Millisecond
		maxLost        = 1500 * time.Millisecond
	)
	c := newCluster(3, 10_000_000)
	c.drawAll()
	var ends []time.Time // of the open requests
	refused := 0
	for i := range 200 {
		c.now = c.now.Add(step)
		for len(ends) > 0 && !c.now.Before(ends[0]) {
			c.wallets[0].Settle(testWorkspace, reserved, used)
			ends = ends[1:]
		}
		for range perStep {
			if !c.wallets[0].Reserve(testWorkspace, reserved, c.now) {
				refused++
				continue
			}
			ends = append(ends, c.now.Add(duration))
		}
		if i%int(drawInterval/step) == 0 {
			c.drawAll()
		}
	}
	assert.Assert(t, refused <= 2*perStep*int(drawInterval/step), "%d requests were refused, more than those before the second draw", refused)
	spent := c.wallets[0].balance(testWorkspace).spent
	c.now = c.now.Add(down)
	c.restart(0)
	c.drawAll()
	lost := c.budgets.ByWorkspace[testWorkspace].ClosedIssued - spent - poplar.Tokens(len(ends)*reserved)
	rate := float64(perStep*used) / step.Seconds()
	assert.Assert(t, float64(lost) <= rate*maxLost.Seconds(), "%d tokens lost at %.0f a second", lost, rate)
}

// TestIdleRoutersHoldLittle starts fleets of several sizes without any demand. The
// tokens that they hold together must not grow with the number of routers.
func TestIdleRoutersHoldLittle(t *testing.T) {
	for _, routers := range []int{3, 12, 60, 390} {
		t.Run(strconv.Itoa(routers), func(t *testing.T) {
			c := newCluster(routers, 10_000_000)
			for range 10 {
				c.now = c.now.Add(time.Second)
				for i := range c.wallets {
					c.draw(i, 0)
				}
			}
			held := c.grant - c.budgets.ByWorkspace[testWorkspace].free()
			limit := (DefaultPolicy().IdleFraction*(1+idleReadyFraction) + surplusFraction) * float64(c.grant)
			assert.Assert(t, float64(held) <= limit, "idle routers hold %d of %d tokens", held, c.grant)
		})
	}
}

// TestLostTokensExhaustBudget kills a router that holds most of the budget. Its tokens
// are never issued again, so the budget counts as exhausted for requests that exceed
// the rest.
func TestLostTokensExhaustBudget(t *testing.T) {
	c := newCluster(2, 100_000)
	for range 40 {
		c.wallets[0].Reserve(testWorkspace, 10_000, c.now)
		c.draw(0, 0)
	}
	c.restart(0) // the tokens of the open requests are lost without being reported as spent
	c.drawAll()
	left := c.grant - c.budgets.ByWorkspace[testWorkspace].ClosedIssued
	assert.Assert(t, left < 20_000, "%d tokens left", left)
	for _, wallet := range c.wallets {
		assert.Assert(t, wallet.Exhausted(testWorkspace, left+1, c.grant, c.now))
		assert.Assert(t, !wallet.Exhausted(testWorkspace, left, c.grant, c.now), "the remaining tokens cover the request")
		assert.Assert(t, !wallet.Exhausted(testWorkspace, left+1, 2*c.grant, c.now), "the last response does not include the raised grant")
		assert.Assert(t, !wallet.Exhausted(testWorkspace, left+1, c.grant, c.now.Add(2*statusMaxAge)), "the last response is too old")
	}
}

// TestRoutersServeDuringPartition partitions all routers from the log for eight
// seconds. The load stays the same, but two thirds of it move to one router.
func TestRoutersServeDuringPartition(t *testing.T) {
	c := newCluster(3, 2_000_000)
	for range 50 {
		c.serveAll(2, 1000)
		c.drawAll()
	}
	refused := 0
	for range 80 {
		c.now = c.now.Add(100 * time.Millisecond)
		for i, n := range []int{2, 1, 0} {
			for range n {
				refused += c.serveWithLoans(i, 1000)
			}
		}
	}
	assert.Equal(t, refused, 0)
	assert.Assert(t, c.spent <= c.grant)
}

// serveWithLoans serves a request at router i, with loans if needed, but without the
// log. It returns 1 if the request is refused.
func (c *cluster) serveWithLoans(i int, tokens poplar.Tokens) (refused int) {
	for from := range c.wallets {
		if c.serve(i, tokens) {
			c.wallets[i].Settle(testWorkspace, tokens, tokens)
			return 0
		}
		if from != i {
			c.lend(from, i, tokens)
		}
	}
	if c.serve(i, tokens) {
		c.wallets[i].Settle(testWorkspace, tokens, tokens)
		return 0
	}
	return 1
}

// TestLastTokensAreUsed spends a budget at one router until no tokens are left. The
// tokens of the idle routers must reach it.
func TestLastTokensAreUsed(t *testing.T) {
	c := newCluster(3, 100_000)
	c.drawAll()
	idle := 0
	for idle < 50 {
		c.now = c.now.Add(100 * time.Millisecond)
		if c.serve(0, 500) {
			c.wallets[0].Settle(testWorkspace, 500, 500)
			idle = 0
		} else {
			idle++
		}
		c.drawAll()
	}
	assert.Assert(t, c.spent >= c.grant*97/100, "spent %d of %d", c.spent, c.grant)
	assert.Assert(t, c.wallets[0].Exhausted(testWorkspace, 5000, c.grant, c.now))
}

// TestIncarnationBelowRecorded restarts a router with an incarnation below the one
// that the log has recorded, as happens when its clock was set back. The router must
// still get tokens.
func TestIncarnationBelowRecorded(t *testing.T) {
	c := newCluster(1, 100_000)
	c.lastIncarnation = 9
	c.restart(0)
	c.drawAll()
	c.lastIncarnation = 4
	c.restart(0)
	c.serve(0, 500)
	c.drawAll()
	assert.Assert(t, c.serve(0, 500))
}

// TestLateResponseBringsItsTokens applies the response to a draw after the next draw was
// made. Its tokens can be used, and the reserves of both draws stay locked.
func TestLateResponseBringsItsTokens(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	budgets := NewBudgets()
	grants := map[poplar.Workspace]Grant{testWorkspace: {Tokens: 1_000_000, Bound: true}}
	budgets.Declare(grants)
	w := NewWallet(Holder{Name: "r", Incarnation: 1}, DefaultPolicy(), now)
	assert.Assert(t, !w.Reserve(testWorkspace, 500, now))
	first, due := w.NextDraw(grants, now)
	assert.Assert(t, due)
	response := budgets.HandleDraw(first, now.UnixMilli())
	now = now.Add(time.Second)
	second, due := w.NextDraw(grants, now)
	assert.Assert(t, due)
	assert.Equal(t, second.Entries[testWorkspace].Issued, poplar.Tokens(0))
	w.ApplyDraw(first, response, now)
	assert.Assert(t, w.Reserve(testWorkspace, 500, now))
	locked := w.Snapshot(testWorkspace, now).Locked
	w.ApplyDraw(first, response, now)
	assert.Equal(t, w.Snapshot(testWorkspace, now).Locked, locked)
	again := budgets.HandleDraw(second, now.UnixMilli())
	assert.Equal(t, again.Statuses[testWorkspace].Issued, response.Statuses[testWorkspace].Issued, "a draw after a lost response gets nothing")
}
