package edge

import (
	"time"

	"poplarbend.example/poplar/internal/conf"
)

// Limits bound the resources that callers and upstreams can use.

// defaultLimits applies if Config.Limits is not set.
var defaultLimits = conf.Limits{
	Body: 4 << 20, Header: 32 << 10, Streams: 16384,
	Idle: 90 * time.Second, Read: 20 * time.Second, Write: 30 * time.Second,
}

// headerTimeout bounds the time for reading the headers of a request.
const headerTimeout = 5 * time.Second

// Bounds limits how long the router waits and how much it buffers. A zero field
// selects the default.
type Bounds struct {
	// MaxResponseBytes is the maximum size in bytes of a response that is not streamed.
	MaxResponseBytes int64 `json:"answer"`
	// MaxBufferedBytes is the maximum size in bytes of what is kept of all responses of
	// upstreams: of those that are not streamed, and of events that are not forwarded yet.
	MaxBufferedBytes int64 `json:"buffer"`
	// MaxRequestBytes is the same for the bodies of open requests. It is at least twice the
	// size that one body may have.
	MaxRequestBytes int64 `json:"requests"`
	// Stall is the longest silence allowed to an upstream. An upstream that still
	// renews its announcement may be silent for as long as the rank allows for a
	// first token, since it may have queued the request behind more urgent ones.
	Stall time.Duration `json:"stall"`
	// Wait is how long a retry waits for an attempt that is still running.
	Wait time.Duration `json:"wait"`
	// Grace is how long a keyed request continues after its caller disconnects,
	// so that a retry finds the complete response.
	Grace time.Duration `json:"grace"`
	// Notice is how long a draining daemon still accepts new work, so that the
	// load balancer can notice that it is not ready.
	Notice time.Duration `json:"notice"`
	// Settle is how long a response waits for its settlement.
	Settle time.Duration `json:"settle"`
}

func (b Bounds) withDefaults() Bounds {
	b.MaxResponseBytes = orDefault(b.MaxResponseBytes, 8<<20)
	b.MaxBufferedBytes = orDefault(b.MaxBufferedBytes, 64<<20)
	b.MaxRequestBytes = orDefault(b.MaxRequestBytes, 64<<20)
	b.Stall = orDefault(b.Stall, 10*time.Second)
	b.Wait = orDefault(b.Wait, 30*time.Second)
	b.Grace = orDefault(b.Grace, 5*time.Second)
	b.Notice = orDefault(b.Notice, 2*time.Second)
	b.Settle = orDefault(b.Settle, 5*time.Second)
	return b
}

func orDefault[N int64 | time.Duration](value, fallback N) N {
	if value == 0 {
		return fallback
	}
	return value
}
