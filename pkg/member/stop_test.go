package member_test

import (
	"testing"
	"time"
)

// The last daemon of a domain keeps ticking after Stop. The ring of live
// daemons is then empty, which must not make it panic.
func TestLastDaemonOfDomainStops(t *testing.T) {
	n := newNet(t, 2, 1, 0)
	n.advance(5 * time.Second)
	x := n.nodes[0]
	n.send(x, x.m.Stop(n.now))
	n.advance(5 * time.Second)
}
