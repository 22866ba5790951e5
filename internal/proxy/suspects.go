package proxy

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/poison"
)

// This file holds requests that crash upstreams: how a router tells that an
// upstream has crashed, and whom it tells.

const (
	// poisonRefuse is how long a request that crashed two upstreams is refused,
	// and poisonSuspect how long one crash counts, and how long a request is
	// refused that only ran beside another suspect. Callers send such requests
	// again within seconds.
	poisonRefuse  = 5 * time.Minute
	poisonSuspect = time.Minute
	// crashTime is the time between a broken answer and the evidence that its
	// upstream has ended, at most.
	crashTime = 2 * time.Second
	// tellLimit bounds the call that tells a control daemon, and tellPeriod is the
	// longest time until one is told.
	tellLimit  = 500 * time.Millisecond
	tellPeriod = time.Second
)

// suspects are the requests that were in flight at upstreams that crashed. A
// broken answer alone is no crash: the upstream must also refuse connections or
// have started again. It is safe for concurrent use.
type suspects struct {
	mu     sync.Mutex
	book   *poison.Book
	broken map[start][]broken // invariant: none is older than crashTime when one is added
	news   []poison.Record    // invariant: those that no control daemon was told of
}

// start names one start of an upstream.
type start struct {
	upstream poplar.Upstream
	born     int64
}

// broken is a request whose answer broke off.
type broken struct {
	print poison.Print
	at    time.Time
}

func newSuspects() *suspects {
	return &suspects{
		book:   poison.NewBook(poison.Settings{Refuse: poisonRefuse, Suspect: poisonSuspect}),
		broken: map[start][]broken{},
	}
}

// print returns the fingerprint of the request: its caller, method, path and body.
func (x *exchange) print() poison.Print {
	h := fnv.New64a()
	for _, part := range []string{x.env.Secret, x.r.Method, x.r.RequestURI} {
		var length [4]byte
		binary.LittleEndian.PutUint32(length[:], uint32(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(x.body)
	return poison.Print(h.Sum64())
}

// any reports whether a request may be suspect, so that prints are computed only
// then.
func (s *suspects) any() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Len() > 0
}

// refused reports whether a request crashed upstreams, and until when it is not
// run.
func (s *suspects) refused(p poison.Print, now time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict, until := s.book.Check(p, now)
	return until, verdict == poison.Refused
}

// broke notes that the answer of u to a request broke off.
func (s *suspects) broke(u *upstream, p poison.Print, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at, list := range s.broken {
		if now.Sub(list[len(list)-1].at) > crashTime {
			delete(s.broken, at)
		}
	}
	at := start{u.name, u.born}
	s.broken[at] = append(s.broken[at], broken{p, now})
}

// ended notes that a start of an upstream has ended, and returns the records of
// the requests that broke off shortly before.
func (s *suspects) ended(u *upstream, now time.Time) []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := start{u.name, u.born}
	var prints []poison.Print
	for _, b := range s.broken[at] {
		if now.Sub(b.at) <= crashTime {
			prints = append(prints, b.print)
		}
	}
	delete(s.broken, at)
	if len(prints) == 0 {
		return nil
	}
	return s.book.Crashed(u.name, uint64(u.born), prints, now)
}

// finished clears a request that ran to its end, and returns the record to tell if
// anything stood against it.
func (s *suspects) finished(p poison.Print, now time.Time) []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdict, _ := s.book.Check(p, now); verdict == poison.Clean {
		return nil
	}
	if r, known := s.book.Finished(p, true, now); known {
		return []poison.Record{r}
	}
	return nil
}

// learn takes the records of other routers.
func (s *suspects) learn(records []poison.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Learn(records)
}

// sweep forgets the records whose time is over.
func (s *suspects) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Sweep(now)
}

func (s *suspects) queue(records []poison.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.news = append(s.news, records...)
}

// unsent returns the records to tell, once.
func (s *suspects) unsent() []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.news
	s.news = nil
	return records
}

// crashed notes that a start of an upstream has ended, and tells of the requests
// that may have ended it.
func (p *Proxy) crashed(u *upstream) { p.tell(p.suspects.ended(u, time.Now())) }

// tell has the control daemons told of records; they pass them on to all routers.
func (p *Proxy) tell(records []poison.Record) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		p.log.Warn("suspect", "print", uint64(r.Print), "crashes", len(r.Crashes), "cleared", !r.Cleared.IsZero())
	}
	p.suspects.queue(records)
	select {
	case p.tellKick <- struct{}{}:
	default:
	}
}

// tellLoop tells the control daemons of records.
func (p *Proxy) tellLoop() { loops.Tick(p.ctx, tellPeriod, p.tellKick, p.tellOnce) }

func (p *Proxy) tellOnce(ctx context.Context) {
	records := p.suspects.unsent()
	if len(records) == 0 {
		return
	}
	for _, to := range p.answering() {
		_, err := peer.CallWithin[[]poison.Record, struct{}](ctx, tellLimit, p.pool, peer.Seed(to), core.OpPoison, records)
		if err != nil && ctx.Err() == nil {
			p.log.Info("suspects not told", "at", to, "error", err)
		}
	}
}

// checkPoison refuses a request that crashed upstreams before.
func (x *exchange) checkPoison() *poplar.Error {
	if !x.p.suspects.any() {
		return nil
	}
	until, refused := x.p.suspects.refused(x.print(), x.start)
	if !refused {
		return nil
	}
	return poplar.Failf(poplar.StepAdmit, poplar.CodePoison, "the request crashed upstreams before").Ran(poplar.RunNo).After(until)
}

// clear takes the suspicion off a request that ran to its end.
func (x *exchange) clear() {
	if x.p.suspects.any() {
		x.p.tell(x.p.suspects.finished(x.print(), time.Now()))
	}
}
