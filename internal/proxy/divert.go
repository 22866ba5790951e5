package proxy

import (
	"hash/fnv"
	"net"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/shed"
)

// A request is diverted by a refusal with a short time to retry: the caller's retry reaches
// another router. Callers retry once, so only what would be late here is diverted.

// divertDelay is the delay of the retry of a diverted request. The other router has
// headroom, so nothing is gained by a longer one.
const divertDelay = 10 * time.Millisecond

// Reasons for which requests are diverted, in metrics and log lines.
const (
	reasonLink        = "link"
	reasonConnections = "connections"
	reasonTokens      = "tokens"
)

// shedRequest returns what a decision of pkg/shed needs to know about the request.
func (x *exchange) shedRequest(now time.Time) shed.Request {
	return shed.Request{Target: x.route.FirstByteTarget, Left: x.deadline.Sub(now)}
}

// divert decides, before the request waits for anything, whether it is served here. It
// returns an error if it is not.
func (x *exchange) divert() *poplar.Error {
	l := x.p.link
	if l == nil {
		return nil
	}
	now := time.Now()
	r, size := x.shedRequest(now), x.body.Size()
	x.mayDivert = l.arrived(x.workspaceName(), x.requestKey, now)
	verdict, load, charge := l.decide(r, size, x.mayDivert, now)
	switch verdict {
	case shed.Divert:
		return x.diverted(reasonLink, "predicted delay of the link %s in, %s out, utilization %.2f",
			load.Delays[shed.In].Round(time.Millisecond), load.Delays[shed.Out].Round(time.Millisecond), load.Utilization)
	case shed.Refuse:
		x.p.metrics.linkRefusals.Add(1)
		return poplar.Failf(poplar.StepAdmit, poplar.CodeBusy, "backlog of the link %s, and no headroom at peer routers",
			load.Backlog.Round(time.Millisecond)).Ran(poplar.RunNo).After(shed.RetryAt(r, load, now))
	}
	x.charge, x.charged = charge, true
	return nil
}

// diverted returns the error for a request that is diverted. Nothing of it was sent.
func (x *exchange) diverted(reason, format string, args ...any) *poplar.Error {
	x.isDiverted = true
	x.p.link.divert(x.workspaceName(), x.requestKey())
	x.p.metrics.diverted.Add(reason, 1)
	return poplar.Failf(poplar.StepAdmit, poplar.CodeBusy, "diverted, "+reason+": "+format, args...).
		Ran(poplar.RunNo).After(time.Now().Add(divertDelay))
}

// requestKey identifies the request among the caller's attempts, by caller, key, path and
// body. It is 0 for a request that has nothing of its own.
func (x *exchange) requestKey() uint64 {
	if x.key == 0 && x.body.Size() > 0 {
		host, _, _ := net.SplitHostPort(x.r.RemoteAddr)
		h := fnv.New64a()
		h.Write([]byte(host))
		x.key = h.Sum64() ^ uint64(x.fingerprint())
	}
	return x.key
}

// workspaceName returns the name of the workspace, or "" without one.
func (x *exchange) workspaceName() poplar.Workspace {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// divertUnconnected returns the error that diverts a request for which no upstream is
// available, or nil if the reason is not that all connections of this router are in use.
func (x *exchange) divertUnconnected() *poplar.Error {
	now := time.Now()
	if x.p.link == nil || !x.mayDivert || x.sends > 0 || x.headerWritten || !x.connectionsUsed() || !x.p.link.headroom(x.shedRequest(now), now) {
		return nil
	}
	return x.diverted(reasonConnections, "all connections to upstreams of the service are in use")
}

// connectionsUsed reports whether an upstream that could take the request is not available
// only because this router has no connection left there.
func (x *exchange) connectionsUsed() bool {
	v := x.p.view.Load()
	limit := v.maxConnections(x.service)
	for _, u := range v.services[x.service] {
		if u.usable() && !x.tried[u] && u.open() >= limit {
			return true
		}
	}
	return false
}

// refundUnsent reverses the charge for the body of a request that was never sent.
func (x *exchange) refundUnsent() {
	if x.charged && x.sends == 0 {
		x.p.link.refund(x.charge)
	}
}
