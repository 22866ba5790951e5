package caller

import (
	"errors"
	"net"
	"syscall"
)

// Counter counts the bytes that pass connections.
type Counter interface {
	Received(bytes int)
	Sent(bytes int)
}

// Counted returns a listener whose connections are counted.
func Counted(l net.Listener, c Counter) net.Listener {
	return &countedListener{Listener: l, counter: c}
}

type countedListener struct {
	net.Listener
	counter Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return CountedConn(c, l.counter), nil
}

// CountedConn returns a connection that is counted. It has the methods of a TCP connection
// that Left and net/http use, but not those that pass bytes without Read and Write.
func CountedConn(c net.Conn, counter Counter) net.Conn {
	return &countedConn{Conn: c, counter: counter}
}

type countedConn struct {
	net.Conn
	counter Counter
}

var _ syscall.Conn = (*countedConn)(nil)

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.counter.Received(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.counter.Sent(n)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite ends the outgoing direction. net/http calls it before it closes a connection
// whose request was not read to its end, so that the response is not lost.
func (c *countedConn) CloseWrite() error {
	if s, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return s.CloseWrite()
	}
	return errors.ErrUnsupported
}
