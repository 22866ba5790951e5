package wallet

import (
	"maps"
	"time"

	"poplarbend.example/poplar"
)

// A wallet draws tokens from the log: it decides how many to ask for, to keep in reserve
// and to return, and applies the responses.

// NextDraw returns the next draw request. It returns false when no draw is due, and
// nothing needs to be sent.
func (w *Wallet) NextDraw(workspaces map[poplar.Workspace]Grant, now time.Time) (DrawRequest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answered := w.drawAnswered
	d := w.newDraw(now)
	renewAge := max(minRenewAge, time.Duration(w.routerCount*len(workspaces))*time.Second/maxRenewals)
	early := map[poplar.Workspace]DrawEntry{}
	policy := w.policy
	policy.ReadyTime = min(max(policy.ReadyTime, readyDraws*w.drawDelay), maxReadyTime)
	for name, grant := range workspaces {
		if !grant.Bound {
			continue
		}
		b := w.balance(name)
		b.addDemand(0, now)
		b.urgent.decay(now)
		entry, due := b.nextEntry(grant.Tokens, policy, w.routerCount, now)
		age := b.reserveAge(now)
		switch {
		case due, entry.Reserve > 0 && age > renewAge:
			d.Entries[name] = entry
		case entry.Reserve > 0 && age > time.Duration(earlyRenewal*float64(renewAge)):
			early[name] = entry
		}
	}
	if len(d.Entries) == 0 {
		w.drawAnswered = answered // nothing is sent
		return d, false
	}
	maps.Copy(d.Entries, early)
	for name, entry := range d.Entries {
		w.balances[name].addPendingReserve(entry.Reserve, w.unlockStart)
	}
	return d, true
}

// Waiting reports whether a request waits for tokens that the next draw asks for.
func (w *Wallet) Waiting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.balances {
		if b.largestWaiting > 0 || b.waiting > 0 {
			return true
		}
	}
	return false
}

// reserveAge returns the time for which the confirmed reserve has been unlocking.
func (b *balance) reserveAge(now time.Time) time.Duration {
	return now.Sub(b.confirmedReserve.unlockStart)
}

// newDraw returns a draw request without entries. If the previous draw was
// answered, the reserves unlock from now on, else from the last response. The
// caller must hold w.mu.
func (w *Wallet) newDraw(now time.Time) DrawRequest {
	w.unlockStart = w.lastResponse
	if w.drawAnswered {
		w.unlockStart = now
	}
	w.drawAnswered = false
	w.drawSent = now
	w.drawNumber++
	return DrawRequest{
		Holder: w.holder, Entries: map[poplar.Workspace]DrawEntry{}, Number: w.drawNumber,
		Started: w.started.UnixMilli(), UnlockStart: w.unlockStart.UnixMilli(),
		Uptime: now.Sub(w.started).Milliseconds(), UnlockStartLog: w.lastResponseLogTime + w.unlockStart.Sub(w.lastResponse).Milliseconds(),
	}
}

// addPendingReserve records the reserve named in a draw request, which may or may
// not reach the log.
func (b *balance) addPendingReserve(reserve poplar.Tokens, unlockStart time.Time) {
	if unlockStart.After(b.pendingReserve.unlockStart) {
		b.pendingReserve.unlockStart = unlockStart
	}
	b.pendingReserve.tokens = max(b.pendingReserve.tokens, reserve)
}

// Close closes the wallet and returns the draw request that returns its tokens to
// the log. The wallet reserves and lends nothing afterwards. Running requests keep
// their reservations.
func (w *Wallet) Close(now time.Time) DrawRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	d := w.newDraw(now)
	for name, b := range w.balances {
		b.returned += max(0, min(b.held()-b.open, b.issued-b.returned))
		d.Entries[name] = DrawEntry{Issued: b.issued, Returned: b.returned, Spent: b.spent, Open: b.open, NetBorrowed: b.borrowed - b.lent}
	}
	return d
}

// targets returns how many tokens the router should hold ready and in reserve.
func (b *balance) targets(grant poplar.Tokens, policy Policy, routers int) (ready, reserve poplar.Tokens) {
	idleTokens, largestFraction, part := 0.0, 1.0, 1.0
	if b.hasStatus && grant > 0 {
		freeFraction := min(1, max(0, float64(b.status.Free)/float64(grant)))
		largestFraction = minLargestFraction + (1-minLargestFraction)*freeFraction
		if routers > 0 {
			part = min(1, readyRouters/float64(routers))
			idleTokens = policy.IdleFraction * freeFraction * float64(grant) / float64(routers)
		}
	}
	idleReady := idleTokens * idleReadyFraction * part
	if b.largestEver > 0 {
		idleReady = min(idleReady, maxIdleReadyRequests*b.largestEver)
	}
	largest := largestFraction * b.recentLargest
	readyTarget := max(b.demandRate*policy.ReadyTime.Seconds()*policy.BurstFactor+part*largest, idleReady)
	reserveTarget := max(b.demandRate*UnlockTime.Seconds()*policy.BurstFactor+(1-part)*largest, idleTokens)
	if supply := b.supply(grant); supply < 1 {
		// Idle tokens here are needed by other routers.
		readyTarget = b.demandRate * policy.ReadyTime.Seconds() * max(supply, minHoldingFraction)
		reserveTarget *= max(supply-minHoldingFraction, 0)
	}
	return poplar.Tokens(readyTarget), poplar.Tokens(reserveTarget)
}

// supply returns the free tokens as a part of those below which they are scarce, at most 1.
func (b *balance) supply(grant poplar.Tokens) float64 {
	if !b.hasStatus {
		return 1
	}
	return min(1, max(0, float64(b.status.Free)/max(scarceFraction*float64(grant), 1)))
}

// nextEntry returns the entry for the next draw request, which says how many tokens
// to ask for, to reserve and to return, and whether a draw is due for another reason
// than the age of the reserve.
func (b *balance) nextEntry(grant poplar.Tokens, policy Policy, routers int, now time.Time) (DrawEntry, bool) {
	ready, reserve := b.targets(grant, policy, routers)
	need := max(b.largestWaiting, b.waiting, ready)
	have := max(b.held()-b.open, 0)
	surplus := have - reserve - 2*need
	if float64(surplus*poplar.Tokens(routers)) <= surplusFraction*b.supply(grant)*float64(grant) {
		surplus = 0
	}
	// The reserves reported earlier stay locked until this draw is answered, so
	// only ready tokens can be returned now.
	if extra := min(b.ready(now), surplus, b.issued-b.returned); extra > 0 {
		b.returned += extra
		surplus -= extra
		have -= extra
	}
	newReserve := max(have-need-surplus, 0)
	e := DrawEntry{
		Issued: b.issued, Returned: b.returned, Spent: b.spent, Open: b.open, NetBorrowed: b.borrowed - b.lent, Reserve: newReserve,
		Desired: max(need+reserve-have, 0),
		Urgent:  b.urgent.use(),
	}
	e.Needed = b.needed(e.Desired, have)
	due := !b.hasStatus || b.largestWaiting > 0 || b.waiting > 0 || e.Desired > (ready+reserve)/dueDivisor || (b.confirmedReserve.tokens > 0 && newReserve == 0) ||
		b.returned != b.reported.Returned || float64(b.spent-b.reported.Spent) > reportFraction*float64(grant) ||
		e.NetBorrowed != b.reported.NetBorrowed || b.urgent.fell(b.reported.Urgent) || b.kept
	return e, due
}

// needed returns the number of tokens without which a draw is of no use. The log issues
// them whole or not at all, and of the rest only a part that is small in a large fleet.
// So they cover all requests that wait, if that many tokens are free, and while more are
// free also what is desired, up to a share of the free tokens that matches the share of
// the router in all spending: a router that serves most requests of a workspace would
// otherwise have next to nothing when it loses contact with the log.
func (b *balance) needed(desired, have poplar.Tokens) poplar.Tokens {
	least := max(b.largestWaiting-have, 0)
	if !b.hasStatus {
		return least
	}
	if all := b.waiting - have; all <= b.status.Free {
		least = max(least, all)
	}
	plentiful := float64(b.status.Free) - scarceFraction*float64(b.status.Grant)
	if plentiful > 0 && b.status.Spent > 0 {
		share := min(1, float64(b.spent)/float64(b.status.Spent))
		least = max(least, min(desired, poplar.Tokens(share*maxNeededFraction*plentiful)))
	}
	return least
}

// applyLate applies the response to a draw request after which another one was made. The
// tokens that it issued can be used; which reserve the log assumes is not known. The
// caller must hold w.mu.
func (w *Wallet) applyLate(response DrawResponse, now time.Time) {
	for name, status := range response.Statuses {
		b := w.balance(name)
		b.issued = max(b.issued, status.Issued)
		if response.LogTime > w.lastResponseLogTime {
			b.status, b.statusTime, b.hasStatus = status, now, true
		}
	}
}

// ApplyDraw applies the response to a draw request. It may be late: another request may
// have been made meanwhile.
func (w *Wallet) ApplyDraw(d DrawRequest, response DrawResponse, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if response.Stale && response.LatestIncarnation > w.holder.Incarnation {
		// The clock was set back between two starts, so this incarnation is below
		// the recorded one. The log has accepted no draw of it, so it can change.
		w.holder.Incarnation = response.LatestIncarnation + 1
	}
	if response.Stale {
		return
	}
	if d.Number != w.drawNumber {
		w.applyLate(response, now)
		return
	}
	w.lastResponse, w.lastResponseLogTime, w.drawAnswered, w.routerCount = now, response.LogTime, true, response.RouterCount
	w.drawDelay = max(now.Sub(w.drawSent), time.Duration(drawDelayDecay*float64(w.drawDelay)))
	for name, status := range response.Statuses {
		b := w.balance(name)
		b.issued = max(b.issued, status.Issued)
		b.status, b.statusTime, b.hasStatus = status, w.lastResponse, true
		b.reported = d.Entries[name]
		b.confirmedReserve, b.pendingReserve = reportedReserve{tokens: b.reported.Reserve, unlockStart: w.unlockStart}, reportedReserve{}
		b.largestWaiting, b.kept = 0, false
	}
}
