package conns

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// This file holds what makes an answer invalid or incomplete.

var (
	errStatus = errors.New("the answer has no valid status")
	errUnsent = errors.New("the answer ends with its connection before the request was written")
)

// ValidStatus reports whether a status may be that of a final response. RFC 9110, section 15,
// leaves those from 600 on without a meaning, and lets a client take them for server errors:
// they are not forwarded, since callers' libraries differ in what they make of them. A
// connection that switches protocols was not asked to.
func ValidStatus(status int) bool {
	return status >= http.StatusOK && status < 600
}

// interim reports whether a status is that of a response before the final one.
func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// closingBody is the body of an answer that ends with its connection. The kernel reports a
// reset once, and if a write has had it, the next read finds an end. So the end of the body
// is believed only once the upstream's VM has all of the request.
type closingBody struct {
	io.ReadCloser
	call *Call
}

// Read implements io.Reader.
func (b *closingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		written := <-b.call.written
		b.call.written <- written
		if written != nil || Unsent(b.call.conn.Conn) {
			err = errUnsent
		}
	}
	return n, err
}

// Unsent reports whether bytes written to a connection have not reached the other VM.
func Unsent(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	queued := 0
	err = raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && queued > 0
}
