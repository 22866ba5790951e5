package proxy

import (
	"maps"
	"slices"
	"time"

	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/plan"
)

// This file holds how a router follows the control daemons. It watches all of
// them: each upstream announces itself to one, and any of them may be cut off.

// Times of a watch.
const (
	// watchLimit bounds one call, so that a connection that went silent is
	// noticed.
	watchLimit = core.HoldTime + 700*time.Millisecond
	watchPause = 250 * time.Millisecond
	// forgetTime is how long a control daemon that does not answer is asked on.
	forgetTime = 40 * time.Second
	fetchLimit = 800 * time.Millisecond
)

// source is one control daemon that is watched.
type source struct {
	proxy   *Proxy
	address string
	last    core.Watch
	good    time.Time // invariant: when the last answer came, or the watch began
	lost    bool
}

// Seeds adds addresses of control daemons.
func (p *Proxy) Seeds(addresses []string) {
	p.sourceMu.Lock()
	defer p.sourceMu.Unlock()
	for _, a := range addresses {
		if a == "" || p.sources[a] != nil || p.ctx.Err() != nil {
			continue
		}
		s := &source{proxy: p, address: a, good: time.Now()}
		p.sources[a] = s
		p.start(s.loop)
	}
}

// asked returns all control daemons that are asked.
func (p *Proxy) asked() []string {
	p.sourceMu.Lock()
	defer p.sourceMu.Unlock()
	return slices.Collect(maps.Keys(p.sources))
}

// answering returns the control daemons that answered lately.
func (p *Proxy) answering() []string {
	p.sourceMu.Lock()
	defer p.sourceMu.Unlock()
	var list []string
	for a, s := range p.sources {
		if !s.lost {
			list = append(list, a)
		}
	}
	return list
}

func (s *source) loop() {
	for s.proxy.ctx.Err() == nil {
		if s.watch() {
			continue
		}
		if time.Since(s.good) > forgetTime && s.forget() {
			return
		}
		select {
		case <-s.proxy.ctx.Done():
		case <-time.After(watchPause):
		}
	}
}

// forget ends the watch of a daemon that is gone, unless it is the only one.
func (s *source) forget() bool {
	p := s.proxy
	p.sourceMu.Lock()
	defer p.sourceMu.Unlock()
	if len(p.sources) <= 1 {
		return false
	}
	delete(p.sources, s.address)
	return true
}

// watch makes one call and reports whether it was answered.
func (s *source) watch() bool {
	p := s.proxy
	w := s.last
	w.Address = p.settings.Address
	w.Hurry = s.lost || w.Life == 0
	if v := p.view.Load(); v.table != nil {
		w.Revision = v.table.Plan().Revision
	}
	seen, err := peer.CallWithin[core.Watch, core.Seen](p.ctx, watchLimit, p.pool, peer.Seed(s.address), core.OpWatch, w)
	if err != nil {
		s.lose(err)
		return false
	}
	s.regain(seen)
	if seen.Life != w.Life || seen.Roster != w.Roster {
		s.take(seen)
	}
	if len(seen.Records) > 0 {
		p.suspects.learn(seen.Records)
	}
	s.last = core.Watch{Life: seen.Life, Roster: seen.Roster, Poison: seen.Poison}
	if seen.Revision > w.Revision {
		s.fetch(seen)
	}
	p.Seeds(seen.Cores)
	return true
}

func (s *source) lose(err error) {
	p := s.proxy
	p.sourceMu.Lock()
	defer p.sourceMu.Unlock()
	if s.lost || p.ctx.Err() != nil {
		return
	}
	s.lost = true
	p.union.Drop(s.address)
	p.log.Warn("control lost", "at", s.address, "error", err)
}

func (s *source) regain(seen core.Seen) {
	now := time.Now()
	s.good = now
	if seen.Led {
		s.proxy.heard.Store(&now)
	}
	p := s.proxy
	p.sourceMu.Lock()
	defer p.sourceMu.Unlock()
	if s.lost {
		s.lost = false
		p.log.Info("control regained", "at", s.address, "led", seen.Led)
	}
	p.meet(seen.Routers, now)
}

// keepRouter is how long a router is known after a control daemon has named it.
// It exceeds the time in which a control daemon that started again knows few.
const keepRouter = 2 * time.Minute

// meet adds to the routers that are known. A control daemon that has just started
// names few of them, so that they are kept for a while.
func (p *Proxy) meet(addresses []string, now time.Time) {
	p.routerMu.Lock()
	defer p.routerMu.Unlock()
	if len(p.routers) == 0 && len(addresses) > 0 {
		p.slackFrom = now.Add(settleRouters)
	}
	for _, a := range addresses {
		p.routers[a] = now
	}
	for a, at := range p.routers {
		if now.Sub(at) > keepRouter {
			delete(p.routers, a)
		}
	}
	list := slices.Sorted(maps.Keys(p.routers))
	if !slices.Equal(list, p.view.Load().routers) {
		p.publish(func(v *view) { v.routers = list })
	}
}

// take merges the roster of the control daemon.
func (s *source) take(seen core.Seen) {
	p := s.proxy
	p.sourceMu.Lock()
	defer p.sourceMu.Unlock()
	p.union.Put(s.address, seen.Entries)
	p.list(p.union.Entries())
}

// fetch gets the configuration that the control daemon has.
func (s *source) fetch(seen core.Seen) {
	p := s.proxy
	f, err := peer.CallWithin[struct{}, core.Fetched](p.ctx, fetchLimit, p.pool, peer.Seed(s.address), core.OpFetch, struct{}{})
	if err == nil && len(f.Document) == 0 {
		return
	}
	if err != nil {
		p.log.Warn("configuration not fetched", "at", s.address, "revision", uint64(seen.Revision), "error", err)
		return
	}
	document, err := core.Unpack(f.Document)
	var next *plan.Plan
	if err == nil {
		next, err = p.settings.Read(document)
	}
	if err != nil {
		p.log.Error("configuration not readable", "at", s.address, "revision", uint64(f.Revision), "error", err)
		return
	}
	p.enact(next)
}
