package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// accepting runs a server until its listener is closed.
type accepting struct {
	server   *http.Server
	listener net.Listener
	ended    chan error
}

func (a *accepting) run() { a.ended <- a.server.Serve(a.listener) }

// TestAcceptedByKernelIsServed stops a server while connections with whole
// requests wait in the kernel. Each must be answered, and the port be closed
// afterwards.
func TestAcceptedByKernelIsServed(t *testing.T) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	const waiting = 50
	var conns []net.Conn
	for range waiting {
		c, err := net.Dial("tcp4", raw.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	listener := newDrainingListener(raw)
	assert.NilError(t, listener.Close(), "the stop comes before the first is accepted")
	a := &accepting{listener: listener, ended: make(chan error, 1), server: &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }),
	}}
	go a.run()
	for i, c := range conns {
		assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err, "connection %d", i)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "hi")
	}
	assert.ErrorIs(t, <-a.ended, net.ErrClosed)
	_, err = net.Dial("tcp4", raw.Addr().String())
	assert.Assert(t, err != nil, "the port is still open")
	assert.Assert(t, listener.Close() != nil)
}
