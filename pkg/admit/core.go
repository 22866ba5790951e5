package admit

import (
	"math"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/fair"
	"poplarbend.example/poplar/pkg/rank"
)

const (
	// rateWeight is the weight of one finished request in the measured rates.
	rateWeight = 0.05
	// minRetryDelay is the shortest delay after which a refused caller may retry.
	minRetryDelay = 250 * time.Millisecond
)

// Core holds the waiting and running requests of one daemon. It is not safe for
// concurrent use. The times passed to it must not decrease.
//
// After each call, no waiting request has room to start. No request is started after
// its latest start time, Waiter.StartBy.
type Core struct {
	scheduler *rank.Scheduler
	queues    [poplar.Ranks]*fair.Queue[*Waiter]
	open      [poplar.Ranks]int // invariant: >= 0; running requests
	limit     float64           // invariant: >= 1; maximum number of running requests, or Unlimited
	rates     [poplar.Ranks]rates
	headroom  headroom
	changed   []*Waiter // started or expired since the last Take
	counts    Counts
}

// NewCore returns an empty core that lets limit requests run concurrently. A limit
// below 1 counts as 1.
func NewCore(settings rank.Settings, limit float64) *Core {
	c := &Core{scheduler: rank.NewScheduler(settings), limit: max(limit, 1), headroom: newHeadroom(settings)}
	for i := range c.queues {
		c.queues[i] = fair.New[*Waiter]()
	}
	return c
}

// Set replaces the settings. Waiting requests keep their deadlines.
func (c *Core) Set(settings rank.Settings, now time.Time) {
	c.scheduler.SetSettings(settings)
	c.headroom.set(settings)
	c.dispatch(now)
}

// SetLimit sets the number of requests that may run concurrently, or Unlimited. A limit
// below 1 counts as 1.
func (c *Core) SetLimit(limit float64, now time.Time) {
	c.limit = max(limit, 1)
	c.dispatch(now)
}

// Admit decides whether a request starts, waits or is refused. rnd is a random
// number that spreads the retry times.
func (c *Core) Admit(r Request, now time.Time, rnd uint64) Decision {
	w := &Waiter{}
	return c.admit(w, r, now, rnd)
}

// admit is Admit for a waiter that the caller allocated.
func (c *Core) admit(w *Waiter, r Request, now time.Time, rnd uint64) Decision {
	*w = Waiter{request: r, entered: now}
	if c.unlimited() {
		c.startUnlimited(w, now)
		return Decision{action: Start, reason: w.reason, waiter: w}
	}
	w.startBy = c.startBy(r, now)
	if w.startBy.Before(now) {
		c.counts.Refused[r.rank]++
		return Decision{reason: ReasonDeadlineTooShort, retry: retryAt(w, 0, now, rnd)}
	}
	if c.startIfRoom(w, now) {
		return Decision{action: Start, reason: w.reason, waiter: w}
	}
	wait := c.predict(r)
	w.entry = c.queues[r.rank].Push(r.flow, r.cost, w)
	c.dispatch(now)
	c.dropChanged(w)
	if w.state == running {
		return Decision{action: Start, reason: w.reason, waiter: w}
	}
	if w.state == ended || now.Add(seconds(wait)).After(w.startBy) {
		c.remove(w, ReasonPredictedLate)
		return Decision{reason: ReasonPredictedLate, wait: wait, retry: retryAt(w, wait, now, rnd)}
	}
	w.reason = ReasonQueue
	return Decision{action: Queue, reason: ReasonQueue, wait: wait, waiter: w}
}

// unlimited reports whether any number of requests may run.
func (c *Core) unlimited() bool { return math.IsInf(c.limit, 1) }

// startUnlimited starts a request while there is no limit. It does not charge the flow:
// a flow owes nothing for slots that no other request wanted.
func (c *Core) startUnlimited(w *Waiter, now time.Time) {
	c.headroom.update(c.open, now)
	c.open[w.request.rank]++
	c.counts.Started[w.request.rank]++
	w.state, w.started, w.startBy, w.reason = running, now, now, ReasonRoom
}

// startIfRoom starts a request that has room while none waits. It has the effect of
// queueing the request and dispatching it, without the memory of a queue entry.
func (c *Core) startIfRoom(w *Waiter, now time.Time) bool {
	for _, q := range c.queues {
		if q.Len() > 0 {
			return false
		}
	}
	r := w.request.rank
	var heads rank.HeadCosts
	heads[r] = c.work(r, w.request.cost)
	atFloor := c.atFloor()
	_, byFloor, ok := c.scheduler.Next(c.withRoom(heads, atFloor), atFloor)
	if !ok {
		return false
	}
	c.queues[r].Charge(w.request.flow, w.request.cost)
	c.recordStart(r, heads)
	c.start(w, byFloor, now)
	c.dropChanged(w)
	return true
}

// recordStart records at the scheduler that the first request of rank r starts.
func (c *Core) recordStart(r poplar.Rank, heads rank.HeadCosts) {
	capacity := heads[r]
	if !c.unlimited() {
		capacity *= c.limit / float64(c.total()+1)
	}
	c.scheduler.RecordStart(r, heads[r], capacity, heads)
}

// FirstToken records that a running request received its first token.
func (c *Core) FirstToken(w *Waiter, now time.Time) {
	if w.state != running || w.hasFirst {
		return
	}
	w.hasFirst = true
	r := &c.rates[w.request.rank]
	updateMean(&r.timeToFirst, now.Sub(w.started).Seconds())
}

// Release ends a running request and replaces its estimated cost by the actual cost,
// in tokens. It does nothing for a request that is not running.
func (c *Core) Release(w *Waiter, cost poplar.Tokens, now time.Time) {
	if w.state != running {
		return
	}
	w.state = ended
	r := w.request.rank
	c.headroom.update(c.open, now)
	c.open[r]--
	if cost > 0 {
		c.rates[r].update(w.request.cost, now.Sub(w.started).Seconds())
	}
	if w.charged {
		c.queues[r].Settle(w.request.flow, float64(cost)-w.request.cost)
	}
	if c.open[r] == 0 {
		c.queues[r].Reset()
	}
	c.dispatch(now)
}

// Cancel removes a waiting request, for example because its caller left or its
// deadline passed. It returns false if the request is already running.
func (c *Core) Cancel(w *Waiter, reason Reason, now time.Time) bool {
	if w.state == running {
		return false
	}
	if w.state == waiting {
		c.remove(w, reason)
		c.dispatch(now)
	}
	return true
}

// Take returns the waiters that were started or that expired since the last Take,
// except those that Admit itself returned.
func (c *Core) Take() []*Waiter {
	if len(c.changed) == 0 {
		return nil // keeps the memory
	}
	changed := c.changed
	c.changed = nil
	return changed
}

// startBy returns the latest time at which r can start and meet its deadline. The
// measured time to the first token counts only while other requests of the rank run,
// so that a rank whose upstreams were slow is tried again.
func (c *Core) startBy(r Request, now time.Time) time.Time {
	at := now.Add(c.scheduler.Settings()[r.rank].Deadline)
	first := r.prefill
	if c.open[r.rank] > 0 {
		first = max(first, c.rates[r.rank].timeToFirst)
	}
	by := at
	if !r.deadline.IsZero() && r.deadline.Before(at) {
		by = r.deadline
	}
	if !r.fallback.IsZero() && by.Add(-seconds(first)).Before(now) {
		by = at
		if r.fallback.Before(at) {
			by = r.fallback
		}
	}
	return by.Add(-seconds(first))
}

// dispatch starts the requests that have room, in the order of the ranks and queues.
func (c *Core) dispatch(now time.Time) {
	for {
		heads := c.heads(now)
		atFloor := c.atFloor()
		r, byFloor, ok := c.scheduler.Next(c.withRoom(heads, atFloor), atFloor)
		if !ok {
			return
		}
		w := c.queues[r].Pop().Item()
		c.recordStart(r, heads)
		c.start(w, byFloor, now)
	}
}

// start marks w as running.
func (c *Core) start(w *Waiter, byFloor bool, now time.Time) {
	c.headroom.update(c.open, now)
	c.open[w.request.rank]++
	c.counts.Started[w.request.rank]++
	w.state, w.charged = running, true
	w.started = now
	switch {
	case byFloor:
		w.reason = ReasonFloor
	case w.reason == ReasonQueue:
		w.reason = ReasonTurn
	default:
		w.reason = ReasonRoom
	}
	c.changed = append(c.changed, w)
}

// heads returns the work of the first request of each rank, after removing expired
// requests.
func (c *Core) heads(now time.Time) rank.HeadCosts {
	var heads rank.HeadCosts
	for i, q := range c.queues {
		e := q.Peek()
		for e != nil && now.After(e.Item().startBy) {
			c.remove(e.Item(), ReasonExpired)
			c.changed = append(c.changed, e.Item())
			e = q.Peek()
		}
		if e != nil {
			heads[i] = c.work(poplar.Rank(i), e.Cost())
		}
	}
	return heads
}

// withRoom returns the heads of the ranks that have room for one more request. A rank
// that is below its floor, and whose deficit covers its first request, may use the
// slots reserved for more urgent ranks.
func (c *Core) withRoom(heads rank.HeadCosts, atFloor rank.AtFloor) rank.HeadCosts {
	if c.unlimited() {
		return heads
	}
	total := c.total()
	for i := range heads {
		limit := c.limit
		if atFloor[i] || c.scheduler.Deficit(poplar.Rank(i)) < heads[i] {
			limit -= c.headroom.reserved(poplar.Rank(i), c.open, c.limit)
		}
		// A request may always run if no other request does.
		if float64(total)+0.5 > limit && total > 0 {
			heads[i] = 0
		}
	}
	return heads
}

// work converts a cost to slot seconds. Floors are fractions of the capacity, which
// is measured in slots and time, and a token of one rank may occupy a slot for longer
// than a token of another. A rank without measurements uses those of the first rank
// that has any. Before the first measurement the cost itself is returned.
func (c *Core) work(r poplar.Rank, cost float64) float64 {
	if s := c.rates[r].slotSeconds(cost); s > 0 {
		return s
	}
	for i := range c.rates {
		if s := c.rates[i].slotSeconds(cost); s > 0 {
			return s
		}
	}
	return cost
}

// atFloor returns the ranks whose running requests occupy at least their floor of the
// slots.
func (c *Core) atFloor() rank.AtFloor {
	var atFloor rank.AtFloor
	if c.unlimited() {
		return atFloor
	}
	for i, s := range c.scheduler.Settings() {
		atFloor[i] = float64(c.open[i]) >= math.Ceil(s.Floor*c.limit)
	}
	return atFloor
}

// predict returns the predicted time until a new request would start, in seconds.
func (c *Core) predict(r Request) float64 {
	slots := c.slots(r.rank)
	work := c.rates[r.rank].slotSeconds(c.queues[r.rank].CostAhead(r.flow) + r.cost/2)
	for i := poplar.Urgent; i < r.rank; i++ {
		work += c.rates[i].slotSeconds(c.queues[i].Cost())
	}
	return work / slots
}

// slots returns the number of requests of rank r that can run concurrently if the
// more urgent ranks keep their recent mean and the less urgent ranks with waiting
// requests use their floors.
func (c *Core) slots(r poplar.Rank) float64 {
	if c.unlimited() {
		return Unlimited
	}
	slots := c.limit
	settings := c.scheduler.Settings()
	for i := poplar.Urgent; i.Valid(); i++ {
		switch {
		case i < r:
			slots -= c.headroom.mean[i]
		case i > r && c.queues[i].Len() > 0:
			slots -= settings[i].Floor * c.limit
		}
	}
	return max(slots, settings[r].Floor*c.limit, 0.5)
}

// remove removes a waiting request without charging its flow.
func (c *Core) remove(w *Waiter, reason Reason) {
	if w.state != waiting {
		return
	}
	w.state = ended
	w.reason = reason
	c.queues[w.request.rank].Remove(w.entry)
	c.counts.Refused[w.request.rank]++
}

// dropChanged removes w from the waiters that Take returns.
func (c *Core) dropChanged(w *Waiter) {
	for i, other := range c.changed {
		if other == w {
			c.changed = append(c.changed[:i], c.changed[i+1:]...)
			return
		}
	}
}

func (c *Core) total() int {
	n := 0
	for _, open := range c.open {
		n += open
	}
	return n
}

// retryAt returns when a refused caller may retry: once the queue is predicted to be
// short enough. A random delay of up to half of that time is added, so that callers do
// not all retry at once.
func retryAt(w *Waiter, wait float64, now time.Time, rnd uint64) time.Time {
	delay := now.Add(seconds(wait)).Sub(w.startBy)
	delay = max(delay, minRetryDelay)
	spread := float64(rnd>>11) / (1 << 53) / 2
	return now.Add(delay + time.Duration(spread*float64(delay)))
}

// rates holds the measurements of one rank.
type rates struct {
	cost        float64 // moving mean of the estimated cost of a request
	duration    float64 // moving mean of the running time of a request, in seconds
	timeToFirst float64 // moving mean of the time to the first token, in seconds
}

func (r *rates) update(cost, duration float64) {
	updateMean(&r.cost, cost)
	updateMean(&r.duration, duration)
}

// slotSeconds returns the time for which requests of the given cost occupy one slot,
// or 0 before the first measurement.
func (r *rates) slotSeconds(cost float64) float64 {
	if r.cost <= 0 {
		return 0
	}
	return cost / r.cost * r.duration
}

// updateMean adds a sample to a moving mean. The first sample replaces a mean of 0.
func updateMean(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += rateWeight * (sample - *mean)
}

// headroom determines how many slots less urgent ranks leave free for more urgent
// ranks.
//
// The number of running requests of a rank is close to Poisson-distributed. The rank
// gets headroom for the mean plus z times the square root of the mean. z is chosen
// such that the probability of a shortage times the value of the urgent rank equals
// the value of the less urgent rank, which is the critical ratio of the newsvendor
// model (Arrow, Harris and Marschak, Optimal inventory policy, 1951).
type headroom struct {
	settings rank.Settings
	z        [poplar.Ranks][poplar.Ranks]float64 // [urgent][less urgent]
	mean     [poplar.Ranks]float64               // invariant: >= 0; moving mean of the running requests
	updated  time.Time
}

// meanTimeConstant is the time constant, in seconds, of the mean number of running
// requests.
const meanTimeConstant = 5.0

// maxUrgentShortage limits the probability of a shortage for the most urgent rank,
// however close the values of the ranks are. 95 % of its requests must be in time,
// and missing slots are not the only cause of delay.
const maxUrgentShortage = 0.02

func newHeadroom(settings rank.Settings) headroom {
	var h headroom
	h.set(settings)
	return h
}

func (h *headroom) set(settings rank.Settings) {
	h.settings = settings
	for i := range h.z {
		for j := i + 1; j < poplar.Ranks; j++ {
			ratio := min(settings[j].Value/settings[i].Value, 1)
			if poplar.Rank(i) == poplar.Urgent {
				ratio = min(ratio, maxUrgentShortage)
			}
			h.z[i][j] = max(math.Sqrt2*math.Erfinv(1-2*ratio), 0)
		}
	}
}

// update updates the means to now. It must be called before the number of running
// requests changes.
func (h *headroom) update(open [poplar.Ranks]int, now time.Time) {
	if !h.updated.IsZero() {
		decay := math.Exp(-now.Sub(h.updated).Seconds() / meanTimeConstant)
		for i := range h.mean {
			h.mean[i] = h.mean[i]*decay + float64(open[i])*(1-decay)
		}
	}
	h.updated = now
}

// reserved returns the number of slots that rank r leaves free for more urgent ranks.
func (h *headroom) reserved(r poplar.Rank, open [poplar.Ranks]int, limit float64) float64 {
	total := 0.0
	for i := poplar.Urgent; i < r; i++ {
		want := h.mean[i] + h.z[i][r]*math.Sqrt(h.mean[i])
		want = max(want, h.settings[i].Reserve*limit)
		total += max(want-float64(open[i]), 0)
	}
	return total
}
