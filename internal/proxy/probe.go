package proxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"poplarbend.example/poplar/pkg/poison"
)

// A router probes upstreams whose responses broke off.

// crashProbe finds out whether an upstream whose response broke off has crashed.
// Otherwise only a router that happens to send it another request would notice, and
// that one may not know which requests were in flight.
type crashProbe struct {
	proxy    *Proxy
	upstream *upstream
}

// probeDelays are the times between the tries of a probe. Before the first one, all
// requests in flight at the crash have broken off. A process that crashes may accept
// connections for a moment longer than it keeps those that it has.
var probeDelays = [...]time.Duration{25 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}

// run reports a crash when the upstream refuses a connection.
func (c crashProbe) run() {
	dialer := net.Dialer{Timeout: connectTimeout}
	for _, delay := range probeDelays {
		if !sleep(c.proxy.ctx, delay) {
			return
		}
		conn, err := dialer.DialContext(c.proxy.ctx, "tcp4", c.upstream.address)
		if err == nil {
			conn.Close()
			continue
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.upstream.connectFailed(time.Now())
			c.proxy.reportCrash(c.upstream, poison.EvidenceRefused)
		}
		return
	}
}
