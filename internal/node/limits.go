package node

import (
	"time"

	"poplarbend.example/poplar/internal/guard"
	"poplarbend.example/poplar/pkg/memory"
)

// This file holds what clients may hold of each listener.

const (
	// headPart is the part of the process's memory that the heads of all clients may take,
	// and defaultHeadMemory what they may take where the memory is not stated, in bytes.
	headPart          = 1.0 / 16
	defaultHeadMemory = 32 << 20
	// callerConns is the part of the process's descriptors that connections of callers, or of
	// operators and upstreams at a control daemon, may take, and sideConns the same for
	// readiness and for metrics. The rest is for upstreams, peers and files.
	callerConns = 0.5
	sideConns   = 1.0 / 16
	// peerHead bounds the head of a call of a peer, in bytes.
	peerHead = 64 << 10
	// controlIdle is how long connections of operators and upstreams may be idle. Upstreams
	// announce themselves once a second.
	controlIdle = time.Minute
	// controlBody is the time for a body at the control listener, of which the longest is a
	// configuration.
	controlBody = 10 * time.Second
	// controlBodies is the least memory of bodies at the control listener, in bytes: the
	// longest configuration must fit, and counts twice.
	controlBodies = 36 << 20
)

func headMemory(memory int64) int64 {
	if memory <= 0 {
		return defaultHeadMemory
	}
	return int64(headPart * float64(memory))
}

// sideLimits are the limits of the listeners for readiness and metrics.
func sideLimits() guard.Settings {
	return guard.Settings{MaxConns: guard.MaxConns(sideConns), Limits: func() guard.Limits { return guard.Defaults }}
}

// peerLimits are the limits of the listener for peers, which keep their connections.
func peerLimits() guard.Settings {
	limits := guard.Limits{HeadBytes: peerHead, HeadTime: headerTime, IdleTime: idleTime}
	return guard.Settings{Limits: func() guard.Limits { return limits }}
}

// controlLimits are the limits of the listener for operators and upstreams.
func (p *process) controlLimits() guard.Settings {
	limits := guard.Limits{BodyTime: controlBody, IdleTime: controlIdle}
	bodies := memory.NewLimit(max(int64(bodyPart*float64(p.settings.Memory)), controlBodies))
	p.vars.Func("bodies", func() any { return bodies.Used() })
	return guard.Settings{MaxConns: guard.MaxConns(callerConns), Bodies: bodies, Limits: func() guard.Limits { return limits }}
}

// callerLimits are the limits of the listener for callers: those of the configuration.
func (r *router) callerLimits() guard.Settings {
	most := guard.MaxConns(callerConns)
	if r.settings.Memory > 0 {
		most = min(most, max(int(2*callerPart*float64(r.settings.Memory)/callerMemory), 1))
	}
	return guard.Settings{MaxConns: most, Limits: func() guard.Limits {
		l := r.proxy.Limits()
		return guard.Limits{HeadBytes: l.HeaderBytes, HeadTime: l.HeaderTimeout, IdleTime: l.IdleTimeout}
	}}
}
