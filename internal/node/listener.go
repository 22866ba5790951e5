package node

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// drainTime is how long a listener that closes still accepts connections. Those
// that the kernel has completed are at hand at once.
const drainTime = 50 * time.Millisecond

// drainingListener accepts, before it closes, the connections that the kernel has
// already completed. It would otherwise reset them, with the requests on them.
type drainingListener struct {
	*net.TCPListener
	closing atomic.Bool
}

func newDrainingListener(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		return &drainingListener{TCPListener: tcp}
	}
	return l
}

// Accept implements net.Listener. It closes the listener when the time after
// Close is over.
func (l *drainingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil && l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
	}
	return c, err
}

// Close implements net.Listener. It returns at once; the goroutine that calls
// Accept ends the listener. A second call closes it at once.
func (l *drainingListener) Close() error {
	if l.closing.Swap(true) {
		return l.TCPListener.Close()
	}
	return l.SetDeadline(time.Now().Add(drainTime))
}
