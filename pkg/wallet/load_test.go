package wallet

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// TestLoadDuringPartitions simulates the load of one workspace on a fleet of routers,
// which are partitioned from the log twice for more than eight seconds and may
// restart with empty wallets. Each served request earns credit, less if it is late.

// Parameters of the simulation.
const (
	simulatedSeconds = 62.0
	timeStep         = 5 * time.Millisecond
	drawInterval     = 350 * time.Millisecond
	// drawIntervalPerRouter is the draw interval for each router of a large fleet.
	drawIntervalPerRouter = 3 * time.Millisecond
	maxLenders            = 24 // routers that a request asks for a loan
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
	rank                     int // 0 is the most urgent
}

var requestMix = []requestClass{
	{share: 0.19, meanPrompt: 6610, spread: 1.1, maxPrompt: 54_600, maxOutput: 1122, output: 384, onTimeCredit: 2.8, lateCredit: 1.3, targetTime: 1500 * time.Millisecond, rank: 2},
	{share: 0.52, meanPrompt: 628, spread: 0.8, maxPrompt: 3310, maxOutput: 954, output: 292, onTimeCredit: 2.9, lateCredit: 0.35, targetTime: 500 * time.Millisecond},
	{share: 0.29, meanPrompt: 1800, spread: 1.0, maxPrompt: 6870, maxOutput: 90, output: 24, onTimeCredit: 0.59, lateCredit: 0.17, targetTime: 500 * time.Millisecond, rank: 1},
}

// scenario is a line of testdata/load.txt.
type scenario struct {
	name                    string
	rate, grantRatio        float64 // requests per second; grant as a fraction of the requested tokens
	restartAll, restartHalf float64 // when all or half of the routers restart, in seconds; 0 for never
	minCredit               float64
	minLargeCredit          float64
	minUrgentCredit         float64
	routers, workspaces     int
	callers                 int     // number of callers, each of which sends to one router first; 0 for many
	part                    float64 // fraction of the routers that restart when not all do
}

// seeds returns the number of seeds, fewer for large fleets, which take longer.
func (sc *scenario) seeds() uint64 { return uint64(max(4, seedCount*9/(sc.routers*sc.workspaces))) }

// partRestartSize returns the number of routers that restart when not all of them do.
func (sc *scenario) partRestartSize() int { return int(sc.part*float64(sc.routers)) + 1 }

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

func (r *waitingRequest) cost() poplar.Tokens { return r.prompt + r.class.maxOutput }

// creditFactor returns the factor on the credit of the class, which grows with the
// prompt.
func (r *waitingRequest) creditFactor() float64 {
	return min(4, 0.3+0.7*float64(r.prompt)/r.class.meanPrompt)
}

// runningRequest is a request that holds a reservation.
type runningRequest struct {
	wallet         *Wallet
	rank           int
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
	callers         []int     // the first router of each caller
	lastIncarnation uint64
	elapsed         float64
	waiting         []waitingRequest
	running         []runningRequest
	total           credit
	large           credit
	urgent          credit
}

func newSimulation(sc scenario, seed uint64) *simulation {
	mean := 0.0
	for _, class := range requestMix {
		mean += class.share * (class.meanPrompt + float64(class.output))
	}
	grant := poplar.Tokens(sc.grantRatio * sc.rate * simulatedSeconds * mean)
	s := &simulation{
		scenario: sc, random: rand.New(rand.NewPCG(seed, 7)), budgets: NewBudgets(),
		grants:  map[poplar.Workspace]Grant{testWorkspace: {Tokens: grant, Bound: true}},
		wallets: make([]*Wallet, sc.routers), nextDraw: make([]float64, sc.routers),
	}
	for i := range sc.workspaces - 1 {
		s.grants[poplar.Workspace("other"+strconv.Itoa(i))] = Grant{}
	}
	for range sc.callers {
		s.callers = append(s.callers, s.random.IntN(sc.routers))
	}
	s.budgets.Declare(s.grants)
	s.startRouters(sc.routers)
	return s
}

func (s *simulation) now() time.Time {
	return time.UnixMilli(1_000_000).Add(time.Duration(s.elapsed * 1e9))
}

// startRouters starts the first routers with empty wallets.
func (s *simulation) startRouters(count int) {
	for i := range s.wallets[:count] {
		s.lastIncarnation++
		s.wallets[i] = NewWallet(Holder{Name: poplar.Daemon("r" + strconv.Itoa(i)), Incarnation: s.lastIncarnation}, DefaultPolicy(), s.now())
		s.nextDraw[i] = s.elapsed
	}
}

// within reports whether the time is in the span of the given length that begins
// at from. It returns false if from is 0.
func (s *simulation) within(from, length float64) bool {
	return from > 0 && s.elapsed >= from && s.elapsed < from+length
}

func (s *simulation) isDown(router int) bool {
	return s.within(s.scenario.restartAll, allDowntime) || router < s.scenario.partRestartSize() && s.within(s.scenario.restartHalf, halfDowntime)
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
	s.nextDraw[router] = s.elapsed + max(drawInterval, time.Duration(s.scenario.routers)*drawIntervalPerRouter).Seconds()
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
			s.startRouters(s.scenario.routers)
			s.running = nil
		}
		if s.scenario.restartHalf > 0 && s.within(s.scenario.restartHalf+halfDowntime, timeStep.Seconds()) {
			s.startRouters(s.scenario.partRestartSize())
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
		r.wallet.NoteUse(testWorkspace, r.rank, r.used, s.now())
	}
	s.running = running
}

// addRequest adds a random request.
func (s *simulation) addRequest() {
	class, pick := requestMix[0], s.random.Float64()
	for _, class = range requestMix {
		if pick -= class.share; pick < 0 {
			break
		}
	}
	prompt := class.meanPrompt * math.Exp(class.spread*s.random.NormFloat64()-class.spread*class.spread/2)
	r := waitingRequest{
		class: class, prompt: poplar.Tokens(min(prompt, class.maxPrompt)), first: s.elapsed, sent: s.elapsed, retryTime: s.elapsed, router: s.random.IntN(s.scenario.routers),
	}
	if len(s.callers) > 0 {
		r.router = s.callers[s.random.IntN(len(s.callers))]
	}
	s.waiting = append(s.waiting, r)
	s.addCredit(&r, credit{possible: class.onTimeCredit * r.creditFactor()})
}

func (s *simulation) addCredit(r *waitingRequest, c credit) {
	s.total.add(c)
	if r.prompt >= largePrompt {
		s.large.add(c)
	}
	if r.class.rank == 0 {
		s.urgent.add(c)
	}
}

// tryAdmit tries to admit a request. It returns true when the request was admitted
// or its caller has given up.
func (s *simulation) tryAdmit(r *waitingRequest) bool {
	if s.isDown(r.router) {
		r.retryTime = s.elapsed + retryInterval.Seconds()
		return false
	}
	w := s.wallets[r.router]
	if w.KeptFrom(testWorkspace, r.class.rank) {
		return s.refuse(r)
	}
	if w.Reserve(testWorkspace, r.cost(), s.now()) {
		s.serve(r)
		return true
	}
	if !r.awaitedDraw && !s.partitioned() {
		r.awaitedDraw = true
		s.nextDraw[r.router] = min(s.nextDraw[r.router], s.elapsed+drawLatency.Seconds()/2)
		r.retryTime = s.elapsed + drawLatency.Seconds()
		return false
	}
	if s.borrow(r) {
		s.serve(r)
		return true
	}
	switch {
	case s.partitioned() && s.elapsed-r.sent+retryInterval.Seconds() < waitFraction*r.class.targetTime.Seconds():
		r.retryTime = s.elapsed + retryInterval.Seconds()
		return false
	default:
		return s.refuse(r)
	}
}

// refuse refuses a request, whose caller tries once more at another router. It
// returns true when the caller has given up.
func (s *simulation) refuse(r *waitingRequest) bool {
	if r.retried {
		return true
	}
	r.sent = s.elapsed + callerRetryDelay.Seconds()
	r.retryTime, r.retried, r.awaitedDraw = r.sent, true, false
	r.router = (r.router + 1 + s.random.IntN(s.scenario.routers-1)) % s.scenario.routers
	return false
}

// borrow asks the other routers for loans until the request has its tokens.
func (s *simulation) borrow(r *waitingRequest) bool {
	w := s.wallets[r.router]
	asked := 0
	for _, i := range s.random.Perm(s.scenario.routers) {
		if i == r.router || s.isDown(i) {
			continue
		}
		if asked++; asked > maxLenders {
			return false
		}
		if loan, lacks := w.NextLoan(testWorkspace, s.wallets[i].life, r.cost(), s.now()); lacks {
			w.ApplyLoan(testWorkspace, s.wallets[i].Lend(loan, s.now()))
		}
		if w.Reserve(testWorkspace, r.cost(), s.now()) {
			return true
		}
	}
	return false
}

func (s *simulation) serve(r *waitingRequest) {
	earned := r.class.onTimeCredit
	if s.elapsed-r.first+firstByteLatency.Seconds() > r.class.targetTime.Seconds() {
		earned = r.class.lateCredit
	}
	s.addCredit(r, credit{earned: earned * r.creditFactor()})
	const perToken = 0.004 // seconds
	s.running = append(s.running, runningRequest{
		wallet: s.wallets[r.router], rank: r.class.rank, reserved: r.cost(), used: r.prompt + r.class.output,
		ends: s.elapsed + firstByteLatency.Seconds() + perToken*float64(r.class.output),
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
		_, err := fmt.Sscan(lines.Text(), &sc.name, &sc.rate, &sc.grantRatio, &sc.restartAll, &sc.restartHalf, &sc.minCredit, &sc.minLargeCredit,
			&sc.minUrgentCredit, &sc.routers, &sc.workspaces, &sc.callers, &sc.part)
		assert.NilError(t, err, lines.Text())
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			var total, large, urgent credit
			lost := 0.0
			for seed := range sc.seeds() {
				s := newSimulation(sc, seed)
				s.run()
				total.add(s.total)
				large.add(s.large)
				urgent.add(s.urgent)
				d := s.budgets.Breakdowns()[0]
				lost += float64(d.WrittenOff) / float64(d.Grant)
			}
			t.Logf("lost %.4f of the grant", lost/float64(sc.seeds()))
			t.Logf("credit %.3f, of large prompts %.3f, of urgent requests %.3f", total.ratio(), large.ratio(), urgent.ratio())
			assert.Assert(t, total.ratio() >= sc.minCredit, "callers get %.3f of the credit", total.ratio())
			assert.Assert(t, large.ratio() >= sc.minLargeCredit, "callers with large prompts get %.3f of the credit", large.ratio())
			assert.Assert(t, urgent.ratio() >= sc.minUrgentCredit, "callers with urgent requests get %.3f of the credit", urgent.ratio())
		})
	}
}
