package purse

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

// This file plays the load of one workspace at a fleet of routers that are twice
// cut off from the log for eight seconds, and may lose their memory, and counts
// what callers get.

// Figures of the load.
const (
	fleetSize = 9
	herdSize  = 5 // routers that lose their memory where half of them do
	dayLength = 62.0
	step      = 5 * time.Millisecond
	drawEvery = 350 * time.Millisecond
	// answerTime is the time of a draw, and serveTime that from the tokens to the
	// first byte.
	answerTime = 15 * time.Millisecond
	serveTime  = 120 * time.Millisecond
	// waitPart is the part of the aim for which a request waits for tokens.
	waitPart = 0.6
	lookTime = 100 * time.Millisecond // between two looks of a waiting request
	backTime = 350 * time.Millisecond // after which a refused caller returns, once
	// largePrompt is the size from which on a prompt is one of the largest.
	largePrompt = 14_000
	// allDown and halfDown are the seconds for which routers are down.
	allDown, halfDown = 0.8, 2.0
	loadSeeds         = 64
)

var cuts = [][2]float64{{6.5, 14.6}, {23, 31.5}} // seconds

// work is one kind of request.
type work struct {
	share         float64 // of all requests
	prompt        float64 // mean, in tokens
	spread        float64 // of the logarithm of the prompt
	most          float64 // tokens of a prompt
	mostOut, used poplar.Tokens
	worth, late   float64
	aim           time.Duration
}

var mix = []work{
	{share: 0.19, prompt: 6610, spread: 1.1, most: 54_600, mostOut: 1122, used: 384, worth: 2.8, late: 1.3, aim: 1500 * time.Millisecond},
	{share: 0.52, prompt: 628, spread: 0.8, most: 3310, mostOut: 954, used: 292, worth: 2.9, late: 0.35, aim: 500 * time.Millisecond},
	{share: 0.29, prompt: 1800, spread: 1.0, most: 6870, mostOut: 90, used: 24, worth: 0.59, late: 0.17, aim: 500 * time.Millisecond},
}

// loadDay is a line of testdata/load.txt.
type loadDay struct {
	name        string
	rate, grant float64
	all, half   float64
	least       float64
	large       float64
}

// tally is credit owed and earned.
type tally struct{ owed, earned float64 }

func (a *tally) add(b tally) {
	a.owed += b.owed
	a.earned += b.earned
}

func (a tally) part() float64 { return a.earned / a.owed }

// asker is a request that waits.
type asker struct {
	work     work
	prompt   poplar.Tokens
	first    float64 // invariant: when its caller first sent it
	sent     float64 // invariant: when this try was sent
	due      float64 // invariant: when the router looks next
	router   int
	returned bool
	drew     bool // true once this try has waited for a draw
}

func (a *asker) cost() poplar.Tokens { return a.prompt + a.work.mostOut }

func (a *asker) size() float64 { return min(4, 0.3+0.7*float64(a.prompt)/a.work.prompt) }

// served is a request that runs.
type served struct {
	wallet         *Wallet
	reserved, used poplar.Tokens
	ends           float64
}

// load is the state of a day. Times are in seconds from its start.
type load struct {
	day     loadDay
	random  *rand.Rand
	grants  map[poplar.Workspace]Grant
	book    *Book
	wallets []*Wallet
	nextAt  []float64 // draws
	lives   uint64
	at      float64
	waiting []asker
	open    []served
	whole   tally
	large   tally
}

func newLoad(day loadDay, seed uint64) *load {
	mean := 0.0
	for _, w := range mix {
		mean += w.share * (w.prompt + float64(w.used))
	}
	grant := poplar.Tokens(day.grant * day.rate * dayLength * mean)
	l := &load{
		day: day, random: rand.New(rand.NewPCG(seed, 7)), book: NewBook(),
		grants:  map[poplar.Workspace]Grant{space: {Tokens: grant, Bound: true}},
		wallets: make([]*Wallet, fleetSize), nextAt: make([]float64, fleetSize),
	}
	l.book.Declare(l.grants)
	l.boot(fleetSize)
	return l
}

func (l *load) now() time.Time { return time.UnixMilli(1_000_000).Add(time.Duration(l.at * 1e9)) }

// boot starts the first routers with empty memories.
func (l *load) boot(count int) {
	for i := range l.wallets[:count] {
		l.lives++
		l.wallets[i] = NewWallet(Holder{Name: poplar.Daemon(rune('a' + i)), Life: l.lives}, DefaultPolicy(), l.now())
		l.nextAt[i] = l.at
	}
}

// within reports whether the time is in a span that begins at from, if ever.
func (l *load) within(from, length float64) bool {
	return from > 0 && l.at >= from && l.at < from+length
}

func (l *load) down(router int) bool {
	return l.within(l.day.all, allDown) || router < herdSize && l.within(l.day.half, halfDown)
}

// separated reports whether the log is out of reach; an election follows a loss of
// power.
func (l *load) separated() bool {
	for _, c := range cuts {
		if l.within(c[0], c[1]-c[0]) {
			return true
		}
	}
	return l.within(l.day.all, allDown+1)
}

func (l *load) draw(router int) {
	l.nextAt[router] = l.at + drawEvery.Seconds()
	w := l.wallets[router]
	d, due := w.Draw(l.grants, l.now())
	if due && !l.separated() {
		w.Apply(d, l.book.Draw(d, l.now().UnixMilli()), l.now())
	}
}

// run plays the day.
func (l *load) run() {
	arrivals := 0.0
	for ; l.at < dayLength; l.at += step.Seconds() {
		if l.day.all > 0 && l.within(l.day.all+allDown, step.Seconds()) {
			l.boot(fleetSize)
			l.open = nil
		}
		if l.day.half > 0 && l.within(l.day.half+halfDown, step.Seconds()) {
			l.boot(herdSize)
		}
		l.settle()
		for i := range l.wallets {
			if !l.down(i) && l.at >= l.nextAt[i] {
				l.draw(i)
			}
		}
		arrivals += l.random.ExpFloat64() * l.day.rate * step.Seconds()
		for ; arrivals >= 1; arrivals-- {
			l.arrive()
		}
		waiting := l.waiting
		l.waiting = nil
		for i := range waiting {
			if l.at < waiting[i].due || !l.look(&waiting[i]) {
				l.waiting = append(l.waiting, waiting[i])
			}
		}
	}
}

func (l *load) settle() {
	kept := l.open[:0]
	for _, s := range l.open {
		if l.at < s.ends {
			kept = append(kept, s)
			continue
		}
		s.wallet.Settle(space, s.reserved, s.used)
	}
	l.open = kept
}

// arrive draws a request.
func (l *load) arrive() {
	w, draw := mix[0], l.random.Float64()
	for _, w = range mix {
		if draw -= w.share; draw < 0 {
			break
		}
	}
	prompt := w.prompt * math.Exp(w.spread*l.random.NormFloat64()-w.spread*w.spread/2)
	a := asker{
		work: w, prompt: poplar.Tokens(min(prompt, w.most)), first: l.at, sent: l.at, due: l.at, router: l.random.IntN(fleetSize),
	}
	l.waiting = append(l.waiting, a)
	l.count(&a, tally{owed: w.worth * a.size()})
}

func (l *load) count(a *asker, t tally) {
	l.whole.add(t)
	if a.prompt >= largePrompt {
		l.large.add(t)
	}
}

// look tries to admit a request and reports whether it is done with.
func (l *load) look(a *asker) bool {
	if l.down(a.router) {
		a.due = l.at + lookTime.Seconds()
		return false
	}
	w := l.wallets[a.router]
	if w.Reserve(space, a.cost(), l.now()) {
		l.serve(a)
		return true
	}
	if !a.drew && !l.separated() {
		a.drew = true
		l.nextAt[a.router] = min(l.nextAt[a.router], l.at+answerTime.Seconds()/2)
		a.due = l.at + answerTime.Seconds()
		return false
	}
	if l.borrow(a) {
		l.serve(a)
		return true
	}
	switch {
	case l.separated() && l.at-a.sent+lookTime.Seconds() < waitPart*a.work.aim.Seconds():
		a.due = l.at + lookTime.Seconds()
	case !a.returned:
		a.sent = l.at + backTime.Seconds()
		a.due, a.returned, a.drew = a.sent, true, false
		a.router = (a.router + 1 + l.random.IntN(fleetSize-1)) % fleetSize
	default:
		return true
	}
	return false
}

// borrow asks the other routers until the tokens are there.
func (l *load) borrow(a *asker) bool {
	w := l.wallets[a.router]
	for _, i := range l.random.Perm(fleetSize) {
		if i == a.router || l.down(i) {
			continue
		}
		if loan, lacks := w.Borrow(space, l.wallets[i].Holder(), a.cost(), l.now()); lacks {
			w.Borrowed(space, l.wallets[i].Lend(loan, l.now()))
		}
		if w.Reserve(space, a.cost(), l.now()) {
			return true
		}
	}
	return false
}

func (l *load) serve(a *asker) {
	worth := a.work.worth
	if l.at-a.first+serveTime.Seconds() > a.work.aim.Seconds() {
		worth = a.work.late
	}
	l.count(a, tally{earned: worth * a.size()})
	const perToken = 0.004 // seconds
	l.open = append(l.open, served{
		wallet: l.wallets[a.router], reserved: a.cost(), used: a.prompt + a.work.used,
		ends: l.at + serveTime.Seconds() + perToken*float64(a.work.used),
	})
}

// TestLoadThroughSeparations plays each day with several seeds.
func TestLoadThroughSeparations(t *testing.T) {
	file, err := os.Open("testdata/load.txt")
	assert.NilError(t, err)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text := strings.TrimSpace(lines.Text()); text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		var d loadDay
		_, err := fmt.Sscan(lines.Text(), &d.name, &d.rate, &d.grant, &d.all, &d.half, &d.least, &d.large)
		assert.NilError(t, err, lines.Text())
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			var whole, large tally
			for seed := range uint64(loadSeeds) {
				l := newLoad(d, seed)
				l.run()
				whole.add(l.whole)
				large.add(l.large)
			}
			t.Logf("credit %.3f, of the largest %.3f", whole.part(), large.part())
			assert.Assert(t, whole.part() >= d.least, "callers get %.3f", whole.part())
			assert.Assert(t, large.part() >= d.large, "callers with the largest prompts get %.3f", large.part())
		})
	}
}
