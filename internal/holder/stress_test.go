package holder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
)

// A stress test: ledger pairs in three domains with lost and duplicated messages,
// network cuts, crashes and takeovers at the same time, while many callers send
// the same keys to any domain. The checks hold for every order in which the
// goroutines run.

const (
	stressKeys    = 24
	stressCallers = 12
	stressBudget  = 4000
)

type stressTest struct {
	fleet *fleet
	pairs map[poplar.Domain][2]*node

	mu      sync.Mutex
	runs    map[poplar.Key]int // guarded by mu; dispatches that may have run
	answers map[poplar.Key]int // guarded by mu; settled attempts
	wait    sync.WaitGroup
}

func newStressTest(t *testing.T, seed uint64) *stressTest {
	f := newFleet(t, "d", "e", "h")
	s := &stressTest{fleet: f, pairs: map[poplar.Domain][2]*node{}, runs: map[poplar.Key]int{}, answers: map[poplar.Key]int{}}
	for _, domain := range f.domains {
		a, b := f.startPair(poplar.Daemon(domain+"1"), poplar.Daemon(domain+"2"), domain, stressBudget)
		s.pairs[domain] = [2]*node{a, b}
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	f.messageFate = func(string, string) int { // called under the fleet's lock
		return []int{deliverOnce, deliverOnce, deliverOnce, deliverOnce, deliverOnce, loseCall, loseReply, deliverTwice}[rng.IntN(8)]
	}
	return s
}

// runCaller sends 40 requests with random keys to random domains.
func (s *stressTest) runCaller(seed uint64) {
	defer s.wait.Done()
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := range 40 {
		key := rng.IntN(stressKeys)
		domain := s.fleet.domains[rng.IntN(len(s.fleet.domains))]
		s.call(domain, key, poplar.Daemon(fmt.Sprintf("r%d-%d", seed, i)))
	}
}

// call reserves, runs and settles as a router does. Even keys are idempotent.
func (s *stressTest) call(domain poplar.Domain, i int, router poplar.Daemon) {
	key := poplar.Key(fmt.Sprintf("key-%d", i))
	a := ask(key, router)
	a.Idempotent = i%2 == 0
	h := s.primary(domain)
	if h == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	grant, err := h.Reserve(ctx, a)
	if err != nil || grant.Verdict != poplar.VerdictRun {
		return
	}
	s.mu.Lock()
	s.runs[key]++
	s.mu.Unlock()
	for range 5 {
		if h = s.primary(domain); h == nil {
			continue
		}
		if h.Settle(ctx, completed(key, grant.Attempt, 7)) == nil {
			s.mu.Lock()
			s.answers[key]++
			s.mu.Unlock()
			return
		}
	}
}

func (s *stressTest) primary(domain poplar.Domain) *holder.Replica {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[f.primary[domain]].holder
}

// takeOver crashes the primary of domain and names its backup.
func (s *stressTest) takeOver(t *testing.T, domain poplar.Domain) {
	a, b := s.pairs[domain][0], s.pairs[domain][1]
	s.fleet.crash(a, 7)
	s.fleet.follow(b, s.fleet.pair(2, b, nil))
	_, err := s.fleet.start(a.name, domain)
	assert.NilError(t, err)
	pair := s.fleet.pair(3, b, a)
	s.fleet.follow(a, pair)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	assert.NilError(t, b.holder.Follow(ctx, holder.Update{Pair: pair, Domains: s.fleet.domains}))
}

// endFaults ends all faults and runs upkeep until the domains have merged their
// bills.
func (s *stressTest) endFaults(t *testing.T) {
	f := s.fleet
	f.mu.Lock()
	f.messageFate = nil
	clear(f.cut)
	f.mu.Unlock()
	ctx := context.Background()
	for range 3 {
		for _, domain := range f.domains {
			h := s.primary(domain)
			for c := range stressCallers {
				for i := range 40 {
					assert.NilError(t, h.RouterRemoved(ctx, poplar.Daemon(fmt.Sprintf("r%d-%d", c, i))))
				}
			}
		}
		f.clock.add(2 * time.Minute)
		for _, domain := range f.domains {
			assert.NilError(t, s.primary(domain).Upkeep(ctx))
		}
	}
}

func TestConcurrentFaults(t *testing.T) {
	for seed := range uint64(3) {
		s := newStressTest(t, seed)
		for c := range uint64(stressCallers) {
			s.wait.Add(1)
			go s.runCaller(c)
		}
		s.fleet.setCut("d", "e", true)
		s.takeOver(t, "h")
		s.fleet.setCut("d", "e", false)
		s.fleet.setCut("e", "h", true)
		s.takeOver(t, "d")
		s.wait.Wait()
		s.endFaults(t)
		s.check(t, seed)
		s.fleet.close()
	}
}

func (s *stressTest) check(t *testing.T, seed uint64) {
	ran := 0
	for i := range stressKeys {
		key := poplar.Key(fmt.Sprintf("key-%d", i))
		bills := 0
		for _, domain := range s.fleet.domains {
			bills += len(s.primary(domain).Bills(holder.Filter{Key: key}))
		}
		assert.Assert(t, bills <= 1, "P2, one bill for each request: seed %d: %s has %d bills", seed, key, bills)
		if s.answers[key] > 0 {
			assert.Equal(t, bills, 1, "P2, one bill for each settled request: seed %d: %s", seed, key)
		}
		if i%2 == 1 {
			assert.Assert(t, s.runs[key] <= 1, "P5, non-idempotent requests run once: seed %d: %s ran %d times", seed, key, s.runs[key])
		}
		ran += s.runs[key]
	}
	t.Logf("seed %d: %d runs, %d answers", seed, ran, len(s.answers))
	assert.Assert(t, ran > 0)
	for _, domain := range s.fleet.domains {
		h := s.primary(domain)
		b, _ := h.Share("b")
		assert.Assert(t, b.Available >= 0 && b.Settled+b.Open <= stressBudget, "P1, no more is spent than issued: %+v", b)
		// Return returns when all records are durable at the backup too, which
		// then has the same state.
		_ = h.Return(context.Background(), "b", 0)
		for _, n := range s.pairs[domain] {
			assert.Equal(t, n.holder.Status().Open, h.Status().Open)
		}
	}
}
