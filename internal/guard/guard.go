package guard

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"poplarbend.example/poplar/pkg/memory"
)

// This file holds the limits, and how a server uses them.

// Limits are the limits of a listener. A zero field selects the default.
type Limits struct {
	// HeadBytes is the most bytes of a head.
	HeadBytes int
	// HeadTime is the most time from the first byte of a head to its end.
	HeadTime time.Duration
	// BodyTime is the most time for a body, 0 where the handler bounds it. What is left of it
	// after the handler has HeadTime.
	BodyTime time.Duration
	// IdleTime is the most time without a request, and without progress of a response that
	// the client does not read.
	IdleTime time.Duration
}

// Defaults are the documented limits of callers.
var Defaults = Limits{HeadBytes: 16 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}

func (l Limits) withDefaults() Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = Defaults.HeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = Defaults.HeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = Defaults.IdleTime
	}
	return l
}

// mostHead bounds the size of a head whatever the limits say, in bytes.
const mostHead = 1 << 20

// Bounds of the connections of a listener, whatever the descriptors are.
const (
	leastConns = 16
	mostConns  = 1 << 20
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Apply makes a server tell the connections of a Listener, on which it must be served, about
// their requests. The times for heads and idle connections are those of the listener: those
// of the server count from the accept, and would end connections within the limits.
func Apply(s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout, s.ReadTimeout = 0, 0, 0
	s.MaxHeaderBytes = 2 * mostHead // the listener refuses smaller ones
	handler, ctx, state := s.Handler, s.ConnContext, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			c.headRead()
			if r.Body != nil && r.Body != http.NoBody {
				b := c.newBody(r.Body)
				r.Body = b
				defer b.abandon()
			}
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = func(parent context.Context, c net.Conn) context.Context {
		if ctx != nil {
			parent = ctx(parent, c)
		}
		return context.WithValue(parent, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, to http.ConnState) {
		if guarded, ok := c.(*Conn); ok && to == http.StateIdle {
			guarded.responseSent()
		}
		if state != nil {
			state(c, to)
		}
	}
}

// MaxConns returns the most connections of a listener that may take a part of the process's
// descriptors. The rest is for upstreams, peers, files and other listeners.
func MaxConns(part float64) int {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return mostConns
	}
	return min(max(int(part*float64(min(files.Cur, mostConns))), leastConns), mostConns)
}

// Settings configure a Listener.
type Settings struct {
	// Heads is the memory of the heads of all clients of the process, by host.
	Heads *memory.Limit
	// Bodies is the memory of bodies, by host, or nil where the handler counts it.
	Bodies *memory.Limit
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConns is the most connections, 0 for any number.
	MaxConns int
}
