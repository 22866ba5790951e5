// Package caller tells whether the caller of a request is still connected.
package caller

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of the caller's connection in the context of its requests.
type connKey struct{}

// ConnContext makes the connection known to Left. It is the ConnContext of an
// http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Left reports whether the caller of the request with the given context has closed its
// connection. It asks the kernel: net/http ends the context only once a goroutine has
// read the end of the connection, which is late while processor time is short. Without
// ConnContext it returns false, as it does while unread data precedes the end.
func Left(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return left || err != nil
}
