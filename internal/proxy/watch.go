package proxy

import (
	"maps"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/pace"
	"poplarbend.example/poplar/pkg/plan"
	"poplarbend.example/poplar/pkg/poison"
	"poplarbend.example/poplar/pkg/quorum"
)

// A router watches all control daemons, because each upstream announces itself
// to only one of them and any of them may become unreachable.

// Timeouts and delays of watch calls.
const (
	// watchTimeout limits one call, so that a connection that stops responding
	// is detected.
	watchTimeout    = core.MaxPollTime + 700*time.Millisecond
	watchRetryDelay = 250 * time.Millisecond
	// removeAfter is how long a control daemon that does not answer is still
	// polled.
	removeAfter  = 40 * time.Second
	fetchTimeout = 800 * time.Millisecond
	// fetchTurnWait is how long a watcher waits while another one fetches a
	// configuration. After that it fetches as well, since the other daemon may
	// have stopped responding.
	fetchTurnWait = 200 * time.Millisecond
	// unionSweepPeriod is the time between two looks for upstreams to forget.
	unionSweepPeriod = 15 * time.Second
)

// watcher polls one control daemon.
type watcher struct {
	proxy       *Proxy
	address     string
	next        core.Watch // base of the next call: the versions in the last response
	lastContact time.Time  // invariant: time of the last response, or the start of the watch
	lost        bool       // invariant: true if the last call failed; written only by loop, with Proxy.watcherMu held
	leads       bool       // invariant: true if the last response came from the leader of the log; written like lost
	routers     []string   // the last list of routers that the daemon sent
	told        uint64     // invariant: the incarnation of the daemon that knows what this router had to tell when it first answered
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
		w := &watcher{proxy: p, address: a, lastContact: time.Now()}
		p.watchers[a] = w
		p.start(w.loop)
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
	for a, w := range p.watchers {
		if !w.lost {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

// leaderAddr returns the address of the reachable control daemon that leads the
// log, or "" if none is known.
func (p *Proxy) leaderAddr() string {
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	for a, w := range p.watchers {
		if w.leads && !w.lost {
			return a
		}
	}
	return ""
}

// loop polls the control daemon until the router stops or the watch is removed.
func (w *watcher) loop() {
	for w.proxy.ctx.Err() == nil {
		answered := w.poll()
		if answered && w.proxy.confirmed.Load() {
			continue
		}
		if !answered && time.Since(w.lastContact) > removeAfter && w.remove() {
			return
		}
		select {
		case <-w.proxy.ctx.Done():
		case <-time.After(watchRetryDelay):
		}
	}
}

// remove stops the watch of a control daemon, unless it is the only one.
func (w *watcher) remove() bool {
	p := w.proxy
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	if len(p.watchers) <= 1 {
		return false
	}
	delete(p.watchers, w.address)
	return true
}

// poll makes one watch call and reports whether it was answered.
func (w *watcher) poll() bool {
	p := w.proxy
	req := w.next
	req.Address = p.settings.Address
	req.Delta = true
	req.Unconfirmed = !p.confirmed.Load()
	req.Immediate = w.lost || req.Incarnation == 0 || req.Unconfirmed
	req.Revision = p.view.Load().revision()
	resp, err := peer.CallWithin[core.Watch, core.WatchResponse](p.ctx, watchTimeout, p.pool, peer.Seed(w.address), core.OpWatch, req)
	if err != nil {
		w.markLost(err)
		return false
	}
	w.markAnswered(resp)
	if resp.Incarnation != w.told && w.tellKnown() {
		w.told = resp.Incarnation
	}
	if resp.Incarnation != req.Incarnation || resp.Roster != req.Roster {
		w.mergeRoster(resp)
	}
	if len(resp.Records) > 0 {
		p.suspects.learn(resp.Records)
	}
	if len(resp.Limits) > 0 {
		p.learnLimits(resp.Limits)
	}
	w.next = core.Watch{
		Incarnation: resp.Incarnation, Roster: resp.Roster, Poison: resp.Poison, RouterList: resp.RouterList, LimitList: resp.LimitList,
	}
	switch {
	case !p.confirmed.Load():
		w.confirm(resp)
	case resp.Revision > req.Revision:
		w.fetchConfig(resp)
	}
	p.AddSeeds(resp.ControlAddrs)
	return true
}

// mostTold bounds the records of crashes that a daemon which has restarted is told at once.
const mostTold = 256

// tellKnown tells a control daemon that has just started what routers had reported to it
// before, which it keeps in memory only: requests that crash upstreams and limits of
// upstreams. It reports whether the daemon has heard it.
func (w *watcher) tellKnown() bool {
	p, to := w.proxy, peer.Seed(w.address)
	var err error
	if records := p.suspects.all(mostTold); len(records) > 0 {
		_, err = peer.CallWithin[[]poison.Record, struct{}](p.ctx, reportTimeout, p.pool, to, core.OpPoison, records)
	}
	if limits := p.paces.limits(); err == nil && len(limits) > 0 {
		_, err = peer.CallWithin[[]pace.Limit, struct{}](p.ctx, reportTimeout, p.pool, to, core.OpLimits, limits)
	}
	if err != nil {
		p.log.Info("crashes and limits not told to control daemon", "at", w.address, "error", err)
	}
	return err == nil
}

// markLost records that a call failed. The control daemon no longer counts in the
// decision whether an upstream is silent, until it has sent its whole roster
// again.
func (w *watcher) markLost(err error) {
	p := w.proxy
	w.next = core.Watch{}
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	if w.lost || p.ctx.Err() != nil {
		return
	}
	w.lost = true
	p.union.RemoveSource(w.address)
	p.log.Warn("control lost", "at", w.address, "error", err)
}

// markAnswered records that a call was answered, and the routers in the response.
func (w *watcher) markAnswered(resp core.WatchResponse) {
	now := time.Now()
	w.lastContact = now
	if resp.FollowsLog {
		w.proxy.lastContact.Store(&now)
	}
	p := w.proxy
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	if w.lost {
		w.lost = false
		p.controlRegained.Store(true)
		p.log.Info("control regained", "at", w.address, "led", resp.FollowsLog)
	}
	w.leads = resp.Leads
	if resp.Incarnation != w.next.Incarnation || resp.RouterList != w.next.RouterList || resp.RouterList == 0 {
		w.routers = resp.Routers
	}
	p.addRouters(w.routers, now)
}

// routerRetention is how long a router remains known after a control daemon
// last listed it. It exceeds the time during which a control daemon that has just
// started lists only some of the routers.
const routerRetention = 2 * time.Minute

// addRouters adds routers to the known ones and removes those that were not
// listed for routerRetention.
func (p *Proxy) addRouters(addresses []string, now time.Time) {
	p.routerMu.Lock()
	defer p.routerMu.Unlock()
	if len(p.routers) == 0 && len(addresses) > 0 {
		p.slackStart = now.Add(routerSettleTime)
	}
	changed := false
	for _, a := range addresses {
		if _, known := p.routers[a]; !known {
			changed = true
		}
		p.routers[a] = now
	}
	for a, at := range p.routers {
		if now.Sub(at) > routerRetention {
			delete(p.routers, a)
			changed = true
		}
	}
	if changed {
		known := slices.Sorted(maps.Keys(p.routers))
		p.updateView(func(v *view) { v.routers = known })
	}
}

// mergeRoster merges the roster of the control daemon into the upstreams of
// this router.
func (w *watcher) mergeRoster(resp core.WatchResponse) {
	p := w.proxy
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	if resp.Delta {
		p.union.UpdateSource(w.address, resp.Entries)
	} else {
		p.union.SetSource(w.address, resp.Entries)
	}
	p.setUpstreams(p.union.Entries())
}

// sweepUpstreams forgets upstreams that have ended.
func (p *Proxy) sweepUpstreams(now time.Time) {
	p.watcherMu.Lock()
	defer p.watcherMu.Unlock()
	if now.Before(p.sweepUnionAt) {
		return
	}
	p.sweepUnionAt = now.Add(unionSweepPeriod)
	p.union.Sweep(now)
}

// confirm adds an answer to the decision on what a router that has just started
// serves, and applies the configuration once there is one.
func (w *watcher) confirm(resp core.WatchResponse) {
	p := w.proxy
	now := time.Now()
	p.watcherMu.Lock()
	p.confirmer.add(controlAnswer{
		address: w.address, member: resp.Member, former: resp.Member == quorum.Member{} && resp.FollowsLog, caughtUp: resp.CaughtUp, revision: resp.Revision, logged: max(resp.Revision, resp.Logged),
		lastTerm: resp.LastTerm, lastIndex: resp.Last, voters: resp.Voters, expiry: now.Add(answerAge),
	}, now)
	b := p.confirmer.decide(now)
	if b.address == "" && p.confirmer.logDue(now) {
		p.log.Warn("not confirmed", "reason", p.confirmer.waitReason(now), "answers", p.confirmer.descriptions(now))
	}
	p.watcherMu.Unlock()
	if b.address == "" {
		return
	}
	if b.revision > p.view.Load().revision() {
		p.fetchConfig(b.address, b.revision, b.logged)
	}
	if p.view.Load().revision() >= b.revision && !p.confirmed.Swap(true) {
		p.log.Info("confirmed", "revision", uint64(b.revision), "by", b.reason, "at", b.address, "committed", !b.logged)
	}
}

// fetchConfig fetches the configuration that the control daemon announced.
func (w *watcher) fetchConfig(resp core.WatchResponse) {
	w.proxy.fetchConfig(w.address, resp.Revision, false)
}

// fetchConfig fetches the current configuration from the control daemon at the address,
// or the newest in its log, and applies it unless it is older than the given revision. If
// that fails, the router continues with its own. All control daemons announce a change at
// the same time, so the watchers take turns and only the first one fetches and parses it.
func (p *Proxy) fetchConfig(address string, revision poplar.Revision, logged bool) {
	timer := time.NewTimer(fetchTurnWait)
	defer timer.Stop()
	select {
	case p.fetchTurn <- struct{}{}:
		defer func() { <-p.fetchTurn }()
	case <-timer.C:
	case <-p.ctx.Done():
		return
	}
	if p.view.Load().revision() >= revision {
		return
	}
	f, err := peer.CallWithin[core.Fetch, core.FetchResponse](p.ctx, fetchTimeout, p.pool, peer.Seed(address), core.OpFetch, core.Fetch{Logged: logged})
	if err == nil && len(f.Document) == 0 {
		return
	}
	if err != nil {
		p.log.Warn("configuration not fetched; the current one stays in use", "at", address, "revision", uint64(revision), "error", err)
		return
	}
	if f.Revision < revision {
		// The daemon has restarted since it announced the revision, or the entry that held
		// it was replaced. What it has in force may be older than what was acknowledged.
		p.log.Warn("configuration older than announced; the current one stays in use", "at", address, "announced", uint64(revision), "revision", uint64(f.Revision))
		return
	}
	document, err := core.Unpack(f.Document)
	var next *plan.Plan
	if err == nil {
		next, err = p.settings.ParsePlan(document)
	}
	if err != nil {
		p.log.Error("configuration not valid; the current one stays in use", "at", address, "revision", uint64(f.Revision), "error", err)
		return
	}
	p.applyPlan(next)
}
