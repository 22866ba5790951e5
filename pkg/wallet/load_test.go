package wallet

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// This file simulates the load of one workspace on a fleet of routers. The routers
// are partitioned from the log twice for more than eight seconds, may restart with
// empty wallets, and earn credit for the requests that they serve.

// Parameters of the simulation.
const (
	fleetSize        = 9
	halfRestartSize  = 5 // routers that restart when half of them do
	simulatedSeconds = 62.0
	timeStep         = 5 * time.Millisecond
	drawInterval     = 350 * time.Millisecond
	// drawLatency is the round-trip time of a draw, and firstByteLatency the time
	// from the reservation to the first byte.
	drawLatency      = 15 * time.Millisecond
	firstByteLatency = 120 * time.Millisecond
	// waitFraction is the fraction of its target time for which a request waits for
	// tokens.
	waitFraction     = 0.6
	retryInterval    = 100 * time.Millisecond // between two attempts to admit a waiting request
	callerRetryDelay = 350 * time.Millisecond // after which a refused caller tries again, once
	// largePrompt is the size in tokens from which a prompt counts as large.
	largePrompt = 14_000
	// allDowntime and halfDowntime are the seconds for which all or half of the
	// routers are down.
	allDowntime, halfDowntime = 0.8, 2.0
	seedCount                 = 64
)

var partitions = [][2]float64{{6.5, 14.6}, {23, 31.5}} // seconds

// requestClass describes one kind of request.
type requestClass struct {
	share                    float64 // fraction of all requests
	meanPrompt               float64 // tokens
	spread                   float64 // standard deviation of the logarithm of the prompt
	maxPrompt                float64 // tokens
	maxOutput, output        poplar.Tokens
	onTimeCredit, lateCredit float64
	targetTime               time.Duration
}

var requestMix = []requestClass{
	{share: 0.19, meanPrompt: 6610, spread: 1.1, maxPrompt: 54_600, maxOutput: 1122, output: 384, onTimeCredit: 2.8, lateCredit: 1.3, targetTime: 1500 * time.Millisecond},
	{share: 0.52, meanPrompt: 628, spread: 0.8, maxPrompt: 3310, maxOutput: 954, output: 292, onTimeCredit: 2.9, lateCredit: 0.35, targetTime: 500 * time.Millisecond},
	{share: 0.29, meanPrompt: 1800, spread: 1.0, maxPrompt: 6870, maxOutput: 90, output: 24, onTimeCredit: 0.59, lateCredit: 0.17, targetTime: 500 * time.Millisecond},
}

// scenario is a line of testdata/load.txt.
type scenario struct {
	name                    string
	rate, grantRatio        float64
	restartAll, restartHalf float64
	minCredit               float64
	minLargeCredit          float64
}

// credit is the credit that requests can earn and have earned.
type credit struct{ possible, earned float64 }

func (a *credit) add(b credit) {
	a.possible += b.possible
	a.earned += b.earned
}

func (a credit) ratio() float64 { return a.earned / a.possible }

// waitingRequest is a request that waits for tokens.
type waitingRequest struct {
	class       requestClass
	prompt      poplar.Tokens
	first       float64 // invariant: when its caller sent it for the first time
	sent        float64 // invariant: when its caller sent this attempt
	retryTime   float64 // invariant: when the router next tries to admit it
	router      int
	retried     bool
	awaitedDraw bool // true once this attempt has waited for a draw
}

func (a *waitingRequest) cost() poplar.Tokens { return a.prompt + a.class.maxOutput }

func (a *waitingRequest) size() float64 { return min(4, 0.3+0.7*float64(a.prompt)/a.class.meanPrompt) }

// runningRequest is a request that holds a reservation.
type runningRequest struct {
	wallet         *Wallet
	reserved, used poplar.Tokens
	ends           float64
}

// simulation is the state of a simulated scenario. Times are in seconds from its
// start.
type simulation struct {
	scenario        scenario
	random          *rand.Rand
	grants          map[poplar.Workspace]Grant
	budgets         *Budgets
	wallets         []*Wallet
	nextDraw        []float64 // time of the next draw by router
	lastIncarnation uint64
	elapsed         float64
	waiting         []waitingRequest
	running         []runningRequest
	total           credit
	large           credit
}

func newSimulation(sc scenario, seed uint64) *simulation {
	mean := 0.0
	for _, w := range requestMix {
		mean += w.share * (w.meanPrompt + float64(w.output))
	}
	grant := poplar.Tokens(sc.grantRatio * sc.rate * simulatedSeconds * mean)
	s := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(seed, 7)), budgets: NewBudgets(),
		grants:  map[poplar.Workspace]Grant{testWorkspace: {Tokens: grant, Bound: true}},
		wallets: make([]*Wallet, fleetSize), nextDraw: make([]float64, fleetSize),
	}
	s.budgets.Declare(s.grants)
	s.startRouters(fleetSize)
	return s
}

func (s *simulation) now() time.Time {
	return time.UnixMilli(1_000_000).Add(time.Duration(s.elapsed * 1e9))
}

// startRouters starts the first routers with empty wallets.
func (s *simulation) startRouters(count int) {
	for i := range s.wallets[:count] {
		s.lastIncarnation++
		s.wallets[i] = NewWallet(Holder{Name: poplar.Daemon(rune('a' + i)), Incarnation: s.lastIncarnation}, DefaultPolicy(), s.now())
		s.nextDraw[i] = s.elapsed
	}
}

// within reports whether the time is in the span of the given length that begins
// at from. It returns false if from is 0.
func (s *simulation) within(from, length float64) bool {
	return from > 0 && s.elapsed >= from && s.elapsed < from+length
}

func (s *simulation) isDown(router int) bool {
	return s.within(s.scenario.restartAll, allDowntime) || router < halfRestartSize && s.within(s.scenario.restartHalf, halfDowntime)
}

// partitioned reports whether routers cannot reach the log. When all routers
// restart, the log is out of reach for another second for an election.
func (s *simulation) partitioned() bool {
	for _, c := range partitions {
		if s.within(c[0], c[1]-c[0]) {
			return true
		}
	}
	return s.within(s.scenario.restartAll, allDowntime+1)
}

func (s *simulation) draw(router int) {
	s.nextDraw[router] = s.elapsed + drawInterval.Seconds()
	w := s.wallets[router]
	d, due := w.NextDraw(s.grants, s.now())
	if due && !s.partitioned() {
		w.ApplyDraw(d, s.budgets.HandleDraw(d, s.now().UnixMilli()), s.now())
	}
}

// run simulates the scenario.
func (s *simulation) run() {
	arrivals := 0.0
	for ; s.elapsed < simulatedSeconds; s.elapsed += timeStep.Seconds() {
		if s.scenario.restartAll > 0 && s.within(s.scenario.restartAll+allDowntime, timeStep.Seconds()) {
			s.startRouters(fleetSize)
			s.running = nil
		}
		if s.scenario.restartHalf > 0 && s.within(s.scenario.restartHalf+halfDowntime, timeStep.Seconds()) {
			s.startRouters(halfRestartSize)
		}
		s.settle()
		for i := range s.wallets {
			if !s.isDown(i) && s.elapsed >= s.nextDraw[i] {
				s.draw(i)
			}
		}
		arrivals += s.random.ExpFloat64() * s.scenario.rate * timeStep.Seconds()
		for ; arrivals >= 1; arrivals-- {
			s.addRequest()
		}
		waiting := s.waiting
		s.waiting = nil
		for i := range waiting {
			if s.elapsed < waiting[i].retryTime || !s.tryAdmit(&waiting[i]) {
				s.waiting = append(s.waiting, waiting[i])
			}
		}
	}
}

func (s *simulation) settle() {
	running := s.running[:0]
	for _, r := range s.running {
		if s.elapsed < r.ends {
			running = append(running, r)
			continue
		}
		r.wallet.Settle(testWorkspace, r.reserved, r.used)
	}
	s.running = running
}

// addRequest adds a random request.
func (s *simulation) addRequest() {
	w, pick := requestMix[0], s.random.Float64()
	for _, w = range requestMix {
		if pick -= w.share; pick < 0 {
			break
		}
	}
	prompt := w.meanPrompt * math.Exp(w.spread*s.random.NormFloat64()-w.spread*w.spread/2)
	a := waitingRequest{
		class: w, prompt: poplar.Tokens(min(prompt, w.maxPrompt)), first: s.elapsed, sent: s.elapsed, retryTime: s.elapsed, router: s.random.IntN(fleetSize),
	}
	s.waiting = append(s.waiting, a)
	s.addCredit(&a, credit{possible: w.onTimeCredit * a.size()})
}

func (s *simulation) addCredit(a *waitingRequest, t credit) {
	s.total.add(t)
	if a.prompt >= largePrompt {
		s.large.add(t)
	}
}

// tryAdmit tries to admit a request. It returns true when the request was admitted
// or has given up.
func (s *simulation) tryAdmit(a *waitingRequest) bool {
	if s.isDown(a.router) {
		a.retryTime = s.elapsed + retryInterval.Seconds()
		return false
	}
	w := s.wallets[a.router]
	if w.Reserve(testWorkspace, a.cost(), s.now()) {
		s.serve(a)
		return true
	}
	if !a.awaitedDraw && !s.partitioned() {
		a.awaitedDraw = true
		s.nextDraw[a.router] = min(s.nextDraw[a.router], s.elapsed+drawLatency.Seconds()/2)
		a.retryTime = s.elapsed + drawLatency.Seconds()
		return false
	}
	if s.borrow(a) {
		s.serve(a)
		return true
	}
	switch {
	case s.partitioned() && s.elapsed-a.sent+retryInterval.Seconds() < waitFraction*a.class.targetTime.Seconds():
		a.retryTime = s.elapsed + retryInterval.Seconds()
	case !a.retried:
		a.sent = s.elapsed + callerRetryDelay.Seconds()
		a.retryTime, a.retried, a.awaitedDraw = a.sent, true, false
		a.router = (a.router + 1 + s.random.IntN(fleetSize-1)) % fleetSize
	default:
		return true
	}
	return false
}

// borrow asks the other routers for loans until the request has its tokens.
func (s *simulation) borrow(a *waitingRequest) bool {
	w := s.wallets[a.router]
	for _, i := range s.random.Perm(fleetSize) {
		if i == a.router || s.isDown(i) {
			continue
		}
		if loan, lacks := w.NextLoan(testWorkspace, s.wallets[i].Holder(), a.cost(), s.now()); lacks {
			w.ApplyLoan(testWorkspace, s.wallets[i].Lend(loan, s.now()))
		}
		if w.Reserve(testWorkspace, a.cost(), s.now()) {
			return true
		}
	}
	return false
}

func (s *simulation) serve(a *waitingRequest) {
	earned := a.class.onTimeCredit
	if s.elapsed-a.first+firstByteLatency.Seconds() > a.class.targetTime.Seconds() {
		earned = a.class.lateCredit
	}
	s.addCredit(a, credit{earned: earned * a.size()})
	const perToken = 0.004 // seconds
	s.running = append(s.running, runningRequest{
		wallet: s.wallets[a.router], reserved: a.cost(), used: a.prompt + a.class.output,
		ends: s.elapsed + firstByteLatency.Seconds() + perToken*float64(a.class.output),
	})
}

// TestLoadDuringPartitions simulates each scenario with several seeds and checks the
// fraction of the credit that is earned, in total and for large prompts.
func TestLoadDuringPartitions(t *testing.T) {
	file, err := os.Open("testdata/load.txt")
	assert.NilError(t, err)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text := strings.TrimSpace(lines.Text()); text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		var sc scenario
		_, err := fmt.Sscan(lines.Text(), &sc.name, &sc.rate, &sc.grantRatio, &sc.restartAll, &sc.restartHalf, &sc.minCredit, &sc.minLargeCredit)
		assert.NilError(t, err, lines.Text())
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			var whole, large credit
			for seed := range uint64(seedCount) {
				s := newSimulation(sc, seed)
				s.run()
				whole.add(s.total)
				large.add(s.large)
			}
			t.Logf("credit %.3f, of large prompts %.3f", whole.ratio(), large.ratio())
			assert.Assert(t, whole.ratio() >= sc.minCredit, "callers get %.3f of the credit", whole.ratio())
			assert.Assert(t, large.ratio() >= sc.minLargeCredit, "callers with large prompts get %.3f of the credit", large.ratio())
		})
	}
}
