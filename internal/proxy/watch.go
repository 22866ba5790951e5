package proxy

import (
	"maps"
	"slices"
	"time"

	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/plan"
)

// A router watches all control daemons, because each upstream announces itself
// to only one of them and any of them may become unreachable.

// Timeouts and delays of watch calls.
const (
	// watchTimeout limits one call, so that a connection that stops responding
	// is detected.
	watchTimeout    = core.HoldTime + 700*time.Millisecond
	watchRetryDelay = 250 * time.Millisecond
	// removeAfter is how long a control daemon that does not answer is still
	// polled.
	removeAfter  = 40 * time.Second
	fetchTimeout = 800 * time.Millisecond
)

// watcher polls one control daemon.
type watcher struct {
	proxy       *Proxy
	address     string
	next        core.Watch
	lastContact time.Time // invariant: time of the last response, or the start of the watch
	lost        bool
}

// AddSeeds adds the addresses of control daemons and starts to watch them. Known
// addresses are ignored.
func (p *Proxy) AddSeeds(addresses []string) {
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	for _, a := range addresses {
		if a == "" || p.watchers[a] != nil || p.ctx.Err() != nil {
			continue
		}
		s := &watcher{proxy: p, address: a, lastContact: time.Now()}
		p.watchers[a] = s
		p.start(s.loop)
	}
}

// controlAddrs returns the addresses of all control daemons that are watched.
func (p *Proxy) controlAddrs() []string {
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	return slices.Collect(maps.Keys(p.watchers))
}

// reachableControlAddrs returns the addresses of the control daemons whose last
// call did not fail.
func (p *Proxy) reachableControlAddrs() []string {
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	var addrs []string
	for a, s := range p.watchers {
		if !s.lost {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

func (s *watcher) loop() {
	for s.proxy.ctx.Err() == nil {
		if s.poll() {
			continue
		}
		if time.Since(s.lastContact) > removeAfter && s.remove() {
			return
		}
		select {
		case <-s.proxy.ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

// remove stops the watch of a control daemon, unless it is the only one.
func (s *watcher) remove() bool {
	p := s.proxy
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	if len(p.watchers) <= 1 {
		return false
	}
	delete(p.watchers, s.address)
	return true
}

// poll makes one watch call and reports whether it was answered.
func (s *watcher) poll() bool {
	p := s.proxy
	req := s.next
	req.Address = p.settings.Address
	req.Hurry = s.lost || req.Life == 0
	if v := p.view.Load(); v.table != nil {
		req.Revision = v.table.Plan().Revision
	}
	resp, err := peer.CallWithin[core.Watch, core.Seen](p.ctx, watchTimeout, p.pool, peer.Seed(s.address), core.OpWatch, req)
	if err != nil {
		s.markLost(err)
		return false
	}
	s.markAnswered(resp)
	if resp.Life != req.Life || resp.Roster != req.Roster {
		s.mergeRoster(resp)
	}
	if len(resp.Records) > 0 {
		p.suspects.learn(resp.Records)
	}
	s.next = core.Watch{Life: resp.Life, Roster: resp.Roster, Poison: resp.Poison}
	if resp.Revision > req.Revision {
		s.fetchConfig(resp)
	}
	p.AddSeeds(resp.Cores)
	return true
}

func (s *watcher) markLost(err error) {
	p := s.proxy
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	if s.lost || p.ctx.Err() != nil {
		return
	}
	s.lost = true
	p.union.RemoveSource(s.address)
	p.log.Warn("control lost", "at", s.address, "error", err)
}

func (s *watcher) markAnswered(resp core.Seen) {
	now := time.Now()
	s.lastContact = now
	if resp.Led {
		s.proxy.lastContact.Store(&now)
	}
	p := s.proxy
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	if s.lost {
		s.lost = false
		p.log.Info("control regained", "at", s.address, "led", resp.Led)
	}
	p.addRouters(resp.Routers, now)
}

// routerRetention is how long a router remains known after a control daemon
// last listed it. It exceeds the time during which a restarted control daemon
// lists only some of the routers.
const routerRetention = 2 * time.Minute

// addRouters adds routers to the known ones and removes those that were not
// listed for routerRetention. They are retained because a control daemon that
// has just started lists only some of the routers.
func (p *Proxy) addRouters(addresses []string, now time.Time) {
	p.routerMu.Lock()
	defer p.routerMu.Unlock()
	if len(p.routers) == 0 && len(addresses) > 0 {
		p.slackStart = now.Add(routerSettleTime)
	}
	for _, a := range addresses {
		p.routers[a] = now
	}
	for a, at := range p.routers {
		if now.Sub(at) > routerRetention {
			delete(p.routers, a)
		}
	}
	known := slices.Sorted(maps.Keys(p.routers))
	if !slices.Equal(known, p.view.Load().routers) {
		p.updateView(func(v *view) { v.routers = known })
	}
}

// mergeRoster merges the roster of the control daemon into the upstreams of
// this router.
func (s *watcher) mergeRoster(resp core.Seen) {
	p := s.proxy
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	p.union.SetSource(s.address, resp.Entries)
	p.setUpstreams(p.union.Entries())
}

// fetchConfig fetches the current configuration from the control daemon and
// applies it.
func (s *watcher) fetchConfig(resp core.Seen) {
	p := s.proxy
	f, err := peer.CallWithin[struct{}, core.Fetched](p.ctx, fetchTimeout, p.pool, peer.Seed(s.address), core.OpFetch, struct{}{})
	if err == nil && len(f.Document) == 0 {
		return
	}
	if err != nil {
		p.log.Warn("configuration not fetched; the current one stays in use", "at", s.address, "revision", uint64(resp.Revision), "error", err)
		return
	}
	document, err := core.Unpack(f.Document)
	var next *plan.Plan
	if err == nil {
		next, err = p.settings.ParsePlan(document)
	}
	if err != nil {
		p.log.Error("configuration not valid; the current one stays in use", "at", s.address, "revision", uint64(f.Revision), "error", err)
		return
	}
	p.applyPlan(next)
}
