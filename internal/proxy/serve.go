package proxy

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net/http"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conns"
	"poplarbend.example/poplar/pkg/place"
	"poplarbend.example/poplar/pkg/plan"
)

// This file holds the attempts of a request at upstreams.

// Times of attempts.
const (
	// connectLimit bounds the set-up of a connection; a lost packet is sent
	// again only after a second.
	connectLimit = 350 * time.Millisecond
	// soundTime is how recently a connection must have been used to carry a
	// request that may not be repeated.
	soundTime = 3 * time.Second
	// safeAims and safeLeast give the time after which a safe request that is
	// not answered is sent to another upstream, in aims and at least.
	safeAims  = 2
	safeLeast = 200 * time.Millisecond
	// stallAims and stallLeast give the same for a resumable stream without an
	// event.
	stallAims  = 3
	stallLeast = 1500 * time.Millisecond
	// mostBody bounds an answer that is held until it is whole, in bytes.
	mostBody = 8 << 20
	// mostRefusals is the number of upstreams that may refuse one request.
	mostRefusals = 3
)

// result is how an attempt ended.
type result uint8

const (
	// resultDone is an attempt whose answer was delivered whole.
	resultDone result = iota
	// resultUnsent is an attempt that did not reach the upstream.
	resultUnsent
	// resultUnrun is an attempt that the upstream refused.
	resultUnrun
	// resultBroken is an attempt that may have run and left no whole answer.
	resultBroken
	// resultFailed is an attempt that the upstream answered with a failure.
	resultFailed
	// resultEnded is an attempt that ended with the caller or the deadline.
	resultEnded
)

// serve sends the request to upstreams until one answer is delivered.
func (x *exchange) serve() *poplar.Error {
	refusals := 0
	for {
		u := x.pick()
		if u == nil {
			return x.exhausted("no upstream is left")
		}
		if x.sends > 0 && !x.p.repeat(x.target, time.Now()) {
			return x.exhausted("no repeat is left")
		}
		x.tried[u] = true
		x.by = u
		switch x.try(u) {
		case resultDone:
			return nil
		case resultEnded:
			return x.ended()
		case resultUnsent:
		case resultUnrun:
			if refusals++; refusals >= mostRefusals {
				return x.exhausted("upstreams refuse")
			}
		case resultBroken, resultFailed:
			if !x.route.Kind.Repeatable() || x.runs >= x.route.Tries {
				return x.exhausted("the upstream broke off")
			}
		}
		if !time.Now().Before(x.until) || x.ctx.Err() != nil {
			return x.ended()
		}
	}
}

// exhausted ends a request that is not sent again.
func (x *exchange) exhausted(why string) *poplar.Error {
	if x.held != nil && !x.begun {
		x.deliver(x.held)
		return nil
	}
	peer := ""
	if x.by != nil {
		peer = string(x.by.name)
	}
	if x.runs == 0 {
		return poplar.Failf(poplar.StepPick, poplar.CodeNone, "%s", why).At(peer).Ran(poplar.RunNo).After(time.Now().Add(retrySoon))
	}
	return poplar.Failf(poplar.StepStream, poplar.CodeUpstream, "%s", why).At(peer)
}

// ended ends a request whose caller has left or whose time is over.
func (x *exchange) ended() *poplar.Error {
	if x.r.Context().Err() != nil {
		return poplar.Failf(poplar.StepStream, poplar.CodeCancelled, "the caller has left")
	}
	if x.held != nil && !x.begun {
		x.deliver(x.held)
		return nil
	}
	run := poplar.RunUnknown
	if x.runs == 0 {
		run = poplar.RunNo
	}
	return poplar.Failf(poplar.StepStream, poplar.CodeTimeout, "the time is over").Ran(run).After(time.Now().Add(leastRetry))
}

// pick chooses the next upstream, or nil.
func (x *exchange) pick() *upstream {
	latest := x.p.view.Load() // the request may have begun long ago
	group := latest.services[x.target]
	now := time.Now()
	list := make([]place.Candidate, len(group))
	longs := latest.longs[x.target]
	long := place.Long(float64(x.env.Prompt))
	astray := x.astray(group, longs)
	most := latest.connections(x.target)
	for i, u := range group {
		list[i] = u.candidate(x.env.Parts, x.env.Prompt, x.p.settings.Domain, now)
		list[i].Closed = list[i].Closed || x.tried[u] || u.busy(most)
		list[i].Missing += astray[i]
		list[i].Misfit = x.env.Prompt > 0 && longs[u.name] != long
	}
	usual := usualFailures(list)
	for i := range list {
		list[i].Failures = max(0, list[i].Failures-usual)
	}
	i := x.p.model.Pick(list, maphash.String(seed, x.env.ID))
	if i < 0 {
		return nil
	}
	return group[i]
}

// usualFailures returns the failures that are usual at the service's upstreams.
func usualFailures(list []place.Candidate) float64 {
	if len(list) == 0 {
		return 0
	}
	all := make([]float64, len(list))
	for i := range list {
		all[i] = list[i].Failures
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// A part that is read again costs the upstream more than the time of this
// request: it pushes other parts out.
const (
	rereadWeight = 3.0
	mostExtra    = 2400.0 // tokens
)

// astray returns the tokens to add at each upstream of the group where the
// prompt's longest shared part is not at home: all routers know the same home.
func (x *exchange) astray(group []*upstream, longs map[poplar.Upstream]bool) []float64 {
	add := make([]float64, len(group))
	part, ok := x.anchor()
	if !ok {
		return add
	}
	list := make([]place.Home, len(group))
	for i, u := range group {
		list[i] = place.Home{Upstream: u.name, Long: longs[u.name], Usable: u.usable()}
	}
	tokens := float64(part.Tokens)
	most := min(rereadWeight*tokens, tokens+mostExtra)
	for i, before := range place.Homes(part.Name, list) {
		add[i] = float64(before) * most
	}
	return add
}

// anchor returns the longest part that other requests may share.
func (x *exchange) anchor() (poplar.Part, bool) {
	if len(x.env.Parts) < 2 {
		return poplar.Part{}, false
	}
	best := x.env.Parts[0]
	for _, part := range x.env.Parts[:len(x.env.Parts)-1] {
		if part.Tokens > best.Tokens {
			best = part
		}
	}
	return best, true
}

// try makes one attempt at u.
func (x *exchange) try(u *upstream) result {
	now := time.Now()
	limit := now.Add(connectLimit)
	if limit.After(x.until) {
		limit = x.until
	}
	conn, err := x.p.conns.Get(x.ctx, u.address, limit, x.recent(now))
	if err != nil {
		if x.ctx.Err() != nil {
			return resultEnded
		}
		u.unreached(time.Now())
		x.p.crashed(u)
		x.p.log.Info("unreached", "id", x.env.ID, "upstream", string(u.name), "at", u.address, "error", err)
		return resultUnsent
	}
	missing := x.env.Prompt - x.cached(u)
	u.begin(missing)
	defer u.end()
	x.sends++
	if x.begun {
		x.p.meters.resumed.Add(1)
	}
	x.runs++ // until the upstream says otherwise
	w := &attempt{x: x, u: u, unread: missing}
	defer w.read()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	w.watch = newStall(cancel, x.patience())
	defer w.watch.stop()
	w.call = x.p.conns.Send(ctx, conn, x.request(u))
	whole := false
	defer func() { w.call.Finish(whole) }()
	out := w.answer()
	whole = w.whole
	if out == resultBroken && x.ctx.Err() != nil {
		return resultEnded
	}
	switch out {
	case resultBroken:
		u.failed(time.Now())
		if !w.watch.fired() {
			x.p.suspects.broke(u, x.print(), time.Now())
		}
	case resultDone:
		x.clear()
	}
	if out != resultDone {
		x.p.log.Info("attempt", "id", x.env.ID, "upstream", string(u.name), "result", resultNames[out], "reused", conn.Reused(),
			"events", x.events, "error", w.err, "ms", time.Since(now).Milliseconds())
	}
	return out
}

// recent returns since when a connection must have been used to carry the request.
// A repeat gets a new one: what broke the first attempt may have broken idle
// connections as well, and few tries are left.
func (x *exchange) recent(now time.Time) time.Time {
	switch {
	case x.sends > 0:
		return now
	case !x.route.Kind.Repeatable():
		return now.Add(-soundTime)
	}
	return time.Time{}
}

var resultNames = [...]string{"done", "unsent", "refused", "broken", "failed", "ended"}

func (x *exchange) cached(u *upstream) poplar.Tokens {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.parts.cached(x.env.Parts)
}

// patience is the time without a byte after which a request that may be repeated
// goes to another upstream; 0 waits on.
func (x *exchange) patience() time.Duration {
	if x.runs >= x.route.Tries || len(x.view.services[x.target]) < 2 {
		return 0
	}
	switch x.route.Kind {
	case plan.KindSafe:
		return max(safeAims*x.route.Aim, safeLeast)
	case plan.KindResumable:
		return max(stallAims*x.route.Gap, stallLeast)
	}
	return 0
}

// request returns the request as it goes to u.
func (x *exchange) request(u *upstream) *conns.Request {
	h := conns.EndToEnd(x.r.Header)
	d := poplar.Dispatch{Upstream: u.name, Until: x.until, Urgent: x.route.Kind.Streams(), Urgency: x.urgency(), After: x.env.After}
	if x.last != "" {
		d.After = x.last
	}
	if x.holder != nil {
		d.Workspace = x.holder.Name
	}
	x.p.settings.Dialect.Dispatch(h, d, time.Now())
	return &conns.Request{Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body}
}

// mostRank is the rank of a route from which on all are equally urgent.
const mostRank = 2

// urgency returns the rank of the request: that of the workspace goes first,
// and that of the route orders the requests of one rank of workspaces.
func (x *exchange) urgency() int {
	rank := min(max(x.route.Rank, 0), mostRank)
	if x.holder != nil && x.holder.Rank != nil {
		rank += max(*x.holder.Rank, 0) * (mostRank + 1)
	}
	return min(rank, 9)
}

// attempt is one request at one upstream.
type attempt struct {
	x      *exchange
	u      *upstream
	call   *conns.Call
	watch  *stall
	unread poplar.Tokens
	began  bool // invariant: true once the first byte has come
	whole  bool // invariant: true once the answer was read to its end
	err    error
}

// read notes the first byte, once.
func (w *attempt) read() {
	if !w.began {
		w.began = true
		w.u.read(w.unread)
	}
}

// answer reads the answer and passes it on.
func (w *attempt) answer() result {
	x := w.x
	dialect := x.p.settings.Dialect
	resp, err := w.call.Answer(x.r.Method, func(resp *http.Response) bool {
		id := dialect.Head(resp).ID
		return id == "" || id == x.env.ID
	})
	if err != nil {
		w.err = err
		return resultBroken
	}
	defer resp.Body.Close()
	head := dialect.Head(resp)
	good := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	w.u.answered(head, resp.StatusCode >= http.StatusInternalServerError && !head.Unrun, time.Now())
	switch {
	case head.Other:
		w.u.moved.Store(true)
		fallthrough
	case head.Unrun:
		x.runs--
		_, w.err = io.Copy(io.Discard, resp.Body)
		w.whole = w.err == nil
		return resultUnrun
	case good && (!head.Sealed || resp.Header.Get("Content-Encoding") != ""):
		w.err = errUnsealed
		return resultBroken
	case good && x.route.Kind.Streams():
		return w.stream(resp)
	}
	return w.plain(resp, good)
}

var errUnsealed = errors.New("an answer that the upstream does not vouch for")

// plain reads a whole answer and delivers it.
func (w *attempt) plain(resp *http.Response, good bool) result {
	x := w.x
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostBody+1))
	if err != nil || len(body) > mostBody {
		w.err = err
		return resultBroken
	}
	w.read()
	w.whole = true
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body, by: w.u}
	if x.begun {
		return resultBroken // a resumed stream that the upstream refuses
	}
	again := resp.StatusCode >= http.StatusInternalServerError && x.route.Kind.Repeatable() && x.runs < x.route.Tries
	if again {
		x.held = a
		return resultFailed
	}
	if !good && x.held != nil {
		a = x.held
	}
	x.deliver(a)
	return resultDone
}

// deliver writes a whole answer.
func (x *exchange) deliver(a *answer) {
	x.by = a.by
	if x.first.IsZero() {
		x.first = time.Now()
	}
	x.copyHead(a.header)
	x.begin(a.status)
	x.w.Write(a.body)
}

// copyHead copies the upstream's headers into the answer.
func (x *exchange) copyHead(h http.Header) {
	out := x.w.Header()
	for name, values := range conns.EndToEnd(h) {
		out[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		out["Content-Type"] = nil // nothing is guessed from the body
	}
	if _, ok := h["Date"]; !ok {
		out["Date"] = nil
	}
}
