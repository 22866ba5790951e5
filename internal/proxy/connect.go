package proxy

import (
	"errors"
	"syscall"
	"time"

	"poplarbend.example/poplar/internal/caller"
	"poplarbend.example/poplar/internal/conns"
	"poplarbend.example/poplar/pkg/poison"
)

// An attempt begins with a connection to its upstream. It gets none if nobody waits for the
// request any more.

const (
	// connectTimeout limits the set-up of a connection, unless most take long, see
	// dialTimes. TCP retransmits a lost packet only after one second.
	connectTimeout = 350 * time.Millisecond
	// maxConnIdle is the maximum idle time of a connection that carries a
	// request which must not be retried.
	maxConnIdle = 3 * time.Second
)

// connect returns a connection to u on which the request may be sent now, or the outcome
// of an attempt without one.
func (x *exchange) connect(u *upstream, now time.Time) (*conns.Conn, result) {
	if x.abandoned(now) {
		return nil, resultEnded
	}
	if !x.p.pacer(x.p.view.Load(), now).take(u) {
		return nil, resultNotSent // another request was faster
	}
	connectBy := now.Add(x.p.dials.timeout(now))
	if connectBy.After(x.deadline) {
		connectBy = x.deadline
	}
	conn, err := x.p.conns.Get(x.ctx, u.address, connectBy, x.connUsedSince(now))
	done := time.Now()
	switch {
	case err != nil && x.ctx.Err() != nil:
		return nil, resultEnded
	case err == nil && conn.Reused():
		return conn, resultDone
	}
	x.p.dials.note(done.Sub(now), err == nil, done)
	if err == nil {
		if x.abandoned(done) {
			x.p.conns.Put(conn)
			return nil, resultEnded
		}
		return conn, resultDone
	}
	x.unreached++
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused || !x.p.dials.overloaded(done) {
		u.connectFailed(done)
	}
	if refused {
		x.p.reportCrash(u, poison.EvidenceRefused)
	}
	x.p.log.Info("unreached", "id", x.env.ID, "upstream", string(u.name), "at", u.address, "error", err)
	return nil, resultNotSent
}

// abandoned reports whether nobody waits for the request any more. It is asked before each
// send and does not rely on the context, which ends late while processor time is short.
func (x *exchange) abandoned(now time.Time) bool {
	x.callerLeft = x.callerLeft || caller.Left(x.r.Context())
	return x.callerLeft || !now.Before(x.deadline)
}

// connUsedSince returns the time since which an idle connection must have been
// used to carry the request. The zero time allows any connection. A retry needs
// a new connection: the failure of the first attempt may have affected idle
// connections as well, and few attempts are left.
func (x *exchange) connUsedSince(now time.Time) time.Time {
	switch {
	case x.sends > 0:
		return now
	case !x.route.Kind.Repeatable():
		return now.Add(-maxConnIdle)
	}
	return time.Time{}
}
