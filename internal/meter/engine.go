package meter

import (
	"slices"
	"sort"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/route"
)

// This file holds the fake engine in virtual time: slots, a prompt reader that
// works in chunks by priority, a prefix cache, late load reports and crashes.

const (
	engineSlots   = 16
	enginePrefill = 8000.0 // prompt tokens a second
	engineDecode  = 50.0   // generated tokens a second for each request
	chunkTokens   = 512.0  // prompt tokens read between two looks at the queue
)

// job is one request at an engine.
type job struct {
	rank    poplar.Rank
	unread  float64 // prompt tokens left to read
	output  float64
	blocks  []uint64
	poison  bool
	cached  int // blocks found in the cache
	slot    bool
	read    bool // the prompt is read
	serial  uint64
	ended   bool
	onFirst func()
	onDone  func()
	onCrash func()
}

// engine is one fake engine.
type engine struct {
	v       *virtual
	offer   route.Offer
	factor  float64 // times slower than nominal
	blind   bool    // true when ranks are ignored: first come, first served
	waiting lanes   // jobs without a slot
	unread  lanes   // jobs with a slot whose prompt is not read
	held    map[*job]bool
	running [poplar.Ranks]int
	reading bool
	down    bool
	boot    uint64
	crashes int
	seq     uint64
	serial  uint64
	cache   *blockCache
	onEvent func(e *engine, stored bool, blocks []uint64)
}

// newEngine returns an idle engine that serves the model m.
func newEngine(v *virtual, name poplar.Upstream, domain poplar.Domain, cacheBlocks int) *engine {
	offer := route.Offer{
		Name: name, Domain: domain, Models: []poplar.Model{"m"},
		Slots: engineSlots, PrefillRate: enginePrefill,
	}
	return &engine{v: v, offer: offer, factor: 1, boot: 1, held: map[*job]bool{}, cache: newBlockCache(cacheBlocks)}
}

// submit hands a job to the engine. It returns false when the engine is down.
func (e *engine) submit(j *job) bool {
	if e.down {
		return false
	}
	e.held[j] = true
	if j.poison {
		e.v.after(200*time.Millisecond, func() { e.crash(j) })
	}
	e.serial++
	j.serial = e.serial
	e.waiting.push(e.lane(j), j)
	e.fill()
	return true
}

// cancel drops a job whose caller left.
func (e *engine) cancel(j *job) { e.end(j) }

// crash loses all jobs, as when cause kills the process, and restarts.
func (e *engine) crash(cause *job) {
	if cause.ended || e.down {
		return
	}
	lost := make([]*job, 0, len(e.held))
	for j := range e.held {
		lost = append(lost, j)
		j.ended = true
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].serial < lost[j].serial })
	e.held = map[*job]bool{}
	e.waiting, e.unread, e.running = lanes{}, lanes{}, [poplar.Ranks]int{}
	e.down = true
	e.crashes++
	for _, j := range lost {
		j.onCrash()
	}
	e.v.after(30*time.Second, func() {
		e.down = false
		e.boot++
		e.cache = newBlockCache(e.cache.room)
	})
}

// report returns the load at this moment.
func (e *engine) report() route.Report {
	e.seq++
	r := route.Report{Seq: e.seq, At: e.v.now, Running: e.running}
	for j := range e.held {
		if !j.slot {
			r.Waiting[j.rank]++
		}
		if !j.read {
			r.PendingPrefill += poplar.Tokens(j.unread)
		}
	}
	return r
}

// lane returns the queue of a job: its rank, unless ranks are ignored.
func (e *engine) lane(j *job) poplar.Rank {
	if e.blind {
		return poplar.Urgent
	}
	return j.rank
}

// fill gives free slots to waiting jobs.
func (e *engine) fill() {
	for e.running[0]+e.running[1]+e.running[2] < e.offer.Slots {
		j := e.waiting.first()
		if j == nil {
			break
		}
		e.waiting.pop()
		j.slot = true
		e.running[j.rank]++
		j.cached = e.cache.match(j.blocks)
		j.unread = max(j.unread-float64(j.cached)*float64(route.BlockTokens), 1)
		e.unread.push(e.lane(j), j)
	}
	e.read()
}

// read reads the next chunk of the most urgent prompt.
func (e *engine) read() {
	j := e.unread.first()
	if e.reading || j == nil {
		return
	}
	e.reading = true
	chunk := min(j.unread, chunkTokens)
	e.v.after(seconds(chunk/e.offer.PrefillRate*e.factor), func() {
		e.reading = false
		j.unread -= chunk
		if j.unread <= 0 && !j.ended {
			j.read = true
			e.generate(j)
		}
		e.read()
	})
}

// generate delivers the first token and the rest of the answer.
func (e *engine) generate(j *job) {
	stored, evicted := e.cache.add(j.blocks)
	if e.onEvent != nil {
		e.onEvent(e, true, stored)
		e.onEvent(e, false, evicted)
	}
	j.onFirst()
	e.v.after(seconds(j.output/engineDecode*e.factor), func() {
		if !j.ended {
			e.end(j)
			j.onDone()
		}
	})
}

// end frees what j holds.
func (e *engine) end(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	delete(e.held, j)
	if j.slot {
		e.running[j.rank]--
	}
	e.fill()
}

// blockCache is a least recently used set of blocks.
type blockCache struct {
	room int
	tick uint64
	used map[uint64]uint64 // block to the tick of its last use
}

func newBlockCache(room int) *blockCache { return &blockCache{room: room, used: map[uint64]uint64{}} }

// match returns the number of leading blocks that are cached.
func (c *blockCache) match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.used[b]; !ok {
			return i
		}
		c.tick++
		c.used[b] = c.tick
	}
	return len(blocks)
}

// add caches the blocks and returns what was new and what had to go. A quarter
// goes at once when the cache is full.
func (c *blockCache) add(blocks []uint64) (stored, evicted []uint64) {
	for _, b := range blocks {
		if _, ok := c.used[b]; !ok {
			stored = append(stored, b)
		}
		c.tick++
		c.used[b] = c.tick
	}
	if len(c.used) <= c.room {
		return stored, nil
	}
	limit := c.tick - uint64(c.room)*3/4
	for b, at := range c.used {
		if at < limit {
			evicted = append(evicted, b)
			delete(c.used, b)
		}
	}
	slices.Sort(evicted)
	return stored, evicted
}

// lanes is a queue of jobs for each rank. Jobs that ended, or were read, are
// skipped when they come to the head.
type lanes [poplar.Ranks][]*job

func (l *lanes) push(rank poplar.Rank, j *job) { l[rank] = append(l[rank], j) }

// first returns the first job of the most urgent rank, or nil.
func (l *lanes) first() *job {
	for i := range l {
		for len(l[i]) > 0 && (l[i][0].ended || l[i][0].read) {
			l[i] = l[i][1:]
		}
		if len(l[i]) > 0 {
			return l[i][0]
		}
	}
	return nil
}

// pop drops the job that first returned.
func (l *lanes) pop() {
	for i := range l {
		if len(l[i]) > 0 {
			l[i] = l[i][1:]
			return
		}
	}
}
