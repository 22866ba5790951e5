package daemon_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/internal/oper"
)

// This file holds cuts between failure domains.

// trialGrant is the budget of the workspace trial in the folder.
const trialGrant = poplar.Tokens(1500)

// In each position of a cut, the budget is topped up on the larger side while
// both sides spend it down, in part under equal keys. Nothing is overspent, and
// after the cut each request has one bill.
func TestCutDomainSpendsWithinItsShare(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ domains, cuts int }{{3, 3}, {4, 1}} {
		t.Run(fmt.Sprint(c.domains), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, c.domains, 2, false)
			granted := trialGrant
			var all []sent
			for d := range c.cuts {
				all = append(all, f.spendOverCut(d, &granted)...)
			}
			bills := f.billed(f.nodes[0], all)
			assert.Assert(t, spent(bills, trialMain) <= granted, "%d of %d", spent(bills, trialMain), granted)
			f.withinGrant(f.nodes[0], trialMain, granted)
			refused := 0
			byKey := map[string]sent{}
			for _, s := range all {
				byKey[s.key] = sent{key: s.key, answers: append(byKey[s.key].answers, s.answers...)}
				if s.last().err != nil && poplar.CodeOf(s.last().err) == poplar.CodeBudget {
					refused++
				}
			}
			for _, s := range byKey {
				if s.unrun() {
					assert.Equal(t, bills[s.key].Tokens, poplar.Tokens(0), "%s is billed and was refused as not run", s.key)
				}
			}
			t.Logf("%d of %d tokens are spent, %d of %d requests were refused for the budget", spent(bills, trialMain), granted, refused, len(all))
		})
	}
}

// spendOverCut cuts domain d off, tops the budget up on the other side, and
// spends on both sides until both refuse.
func (f *fleet) spendOverCut(d int, granted *poplar.Tokens) []sent {
	f.t.Helper()
	inside := f.domain(d)
	outside := f.others(inside...)
	f.cut(inside...)
	const topped = 500
	f.topup(outside[0], trialMain, topped)
	*granted += topped
	var mu sync.Mutex
	var all []sent
	var done sync.WaitGroup
	for side, nodes := range [][]*node{inside, outside} {
		for c := range 4 {
			done.Go(func() {
				for i := range 12 {
					key := fmt.Sprintf("cut-%d-%d-%d-%d", d, side, c, i)
					if i%3 == 0 {
						key = fmt.Sprintf("cut-%d-both-%d-%d", d, c, i) // asked for on both sides
					}
					s := f.persist(key, nodes, func(n *node) answer { return f.stream(n, trial, key, 10) })
					mu.Lock()
					all = append(all, s)
					mu.Unlock()
				}
			})
		}
	}
	done.Wait()
	f.withinGrant(inside[0], trialMain, *granted)
	f.withinGrant(outside[0], trialMain, *granted)
	f.heal()
	f.contacted(f.nodes[0])
	return all
}

// contacted waits until the daemon reaches the ledger of every domain.
func (f *fleet) contacted(from *node) {
	f.t.Helper()
	until(f.t, generous, "every domain is reached", func() error {
		s, err := from.client.Status(f.t.Context(), oper.StatusQuery{})
		if err != nil {
			return err
		}
		for _, d := range s.Domains {
			if d.Contact == nil {
				return fmt.Errorf("domain %s is away", d.Domain)
			}
		}
		return nil
	})
}

// identity returns the header by which a service knows a request.
func identity(workspace, key string) string {
	sum := sha256.Sum256([]byte(workspace + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// Claims are sent to two daemons of different domains at once and again, while
// domains are cut in both directions or one and some answers are lost. None
// runs twice (P5), and one that every answer calls "not run" did not run (P4).
func TestClaimsRunOnceUnderCuts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2, false)
	all := make([]sent, 60)
	var done sync.WaitGroup
	for w := range 10 {
		done.Go(func() {
			for i := w; i < len(all); i += 10 {
				all[i] = f.claimTwice(i)
			}
		})
	}
	for d := range 3 {
		time.Sleep(time.Second)
		f.cut(f.domain(d)...)
		time.Sleep(time.Second)
		f.heal()
		f.wall.set(true, f.domain(d), f.others(f.domain(d)...)) // one way only
		time.Sleep(time.Second)
		f.heal()
	}
	done.Wait()
	ran := 0
	for _, s := range all {
		runs := f.desk.Runs(identity("enugu", s.key))
		ran += runs
		assert.Assert(t, runs <= 1, "%s ran %d times", s.key, runs)
		for _, a := range s.answers {
			assert.Assert(t, a.err != nil || runs == 1, "%s was answered and did not run", s.key)
		}
		assert.Assert(t, !s.unrun() || runs == 0, "%s ran and every answer says that it did not", s.key)
	}
	assert.Equal(t, f.desk.Total(), ran, "the service knows no other request")
	assert.Assert(t, ran > 0)
	f.contacted(f.nodes[0])
	f.billed(f.nodes[0], all)
	f.withinGrant(f.nodes[0], enuguMain, 400000)
}

// claimTwice sends one claim to two domains at once, and once more to a third.
// The service breaks the connection of each fifth one after it ran.
func (f *fleet) claimTwice(i int) sent {
	s := sent{key: fmt.Sprint("claim-", i)}
	var header []string
	if i%5 == 0 {
		header = []string{fake.HeaderLose, "1"}
	}
	var both [2]answer
	var done sync.WaitGroup
	for j := range both {
		done.Go(func() { both[j] = f.claim(f.nodes[(i+2*j)%len(f.nodes)], s.key, header...) })
	}
	done.Wait()
	s.answers = append(both[:], f.claim(f.nodes[(i+5)%len(f.nodes)], s.key, header...))
	return s
}

// A router without a disk restarts inside a domain that is cut off. It serves
// no revision below the one that the domain served (P8).
func TestRouterRestartsInACutDomain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3, false)
	inside := f.domain(0)
	router := inside[2]
	f.apply(f.nodes[3], 2, map[string]*string{"50-more.jsonc": text(`{}`)})
	f.inForce(2, inside...)
	f.cut(inside...)
	f.apply(f.nodes[3], 3, map[string]*string{"50-more.jsonc": text(`{"budgets": {}}`)})
	f.inForce(3, f.others(inside...)...)
	assert.NilError(t, f.stop(router))
	f.start(router)
	until(t, generous, "the router is ready", func() error {
		s, err := router.client.Status(t.Context(), oper.StatusQuery{})
		if err != nil {
			return err
		}
		if !s.Ready {
			return errors.New("not ready")
		}
		assert.Equal(t, s.Revision, poplar.Revision(2))
		return nil
	})
	_, err := router.client.Change(t.Context(), oper.Change{Number: 3, By: "ngozi", Files: map[string]*string{"x.jsonc": text(`{}`)}})
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeUnreachable, "a side without a majority accepts nothing")
	assert.Equal(t, poplar.RunOf(err), poplar.RunNo)
	a := f.persist("cut-off", []*node{router}, func(n *node) answer { return f.stream(n, enugu, "", 3) })
	assert.NilError(t, a.last().err, "the domain goes on serving")
	f.heal()
	f.inForce(3, inside...)
}

// A daemon that was cut off alone and silently for long learns on its return
// that it is late before it decides anything.
func TestIsolatedPrimaryReturns(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2, false)
	old, backup := f.pair("a", f.nodes[2])
	f.cut(old)
	f.apply(f.nodes[2], 2, map[string]*string{"50-more.jsonc": text(`{}`)})
	until(t, generous, "the backup has taken over", func() error {
		s, err := f.nodes[2].client.Status(t.Context(), oper.StatusQuery{})
		for _, d := range s.Domains {
			if d.Domain == "a" && d.Primary == backup.Name {
				return err
			}
		}
		return fmt.Errorf("%+v", s.Domains)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	a := send(ctx, old, http.MethodPost, claimPath, enugu, "late", `{"reel": 17}`)
	assert.Assert(t, a.err != nil, "the replaced primary acknowledges nothing")
	assert.Equal(t, f.desk.Runs(identity("enugu", "late")), 0)
	f.heal()
	f.inForce(2, f.nodes...)
	s := f.persist("late", []*node{old}, func(n *node) answer { return f.claim(n, "late") })
	assert.NilError(t, s.last().err)
	assert.Equal(t, f.desk.Runs(identity("enugu", "late")), 1)
	f.billed(old, []sent{s})
}
