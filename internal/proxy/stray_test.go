package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/pkg/roster"
)

// strayUpstream sends a late copy of its first answer before the second one, on
// the same connection. The copy has the header fields in strayHeader.
type strayUpstream struct {
	listener    net.Listener
	strayHeader string
	runs        chan string // yields the id of each request
}

func (s *strayUpstream) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serve(c)
	}
}

func (s *strayUpstream) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Id")
		s.runs <- id
		if number > 1 {
			fmt.Fprintf(c, "HTTP/1.1 %sContent-Length: 5\r\n\r\nstray", s.strayHeader)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
}

// TestStrayAnswerReachesNoCaller sends late copies of an answer, with and without
// the id of their request, on a connection that is in use again. The next caller
// must get its own answer, and a stray refusal must not become one that says that
// its request was not run.
func TestStrayAnswerReachesNoCaller(t *testing.T) {
	for name, header := range map[string]string{
		"answer with an id":     "200 OK\r\nId: id-1\r\nSeal: s\r\n",
		"answer without an id":  "200 OK\r\nSeal: s\r\n",
		"refusal without an id": "503 Busy\r\nUnrun: 1\r\n",
		"failure without an id": "500 Failed\r\nSeal: s\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, script{"unused": {"ok"}})
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			s := &strayUpstream{listener: l, strayHeader: header, runs: make(chan string, 4)}
			go s.run()
			h.proxy.setUpstreams([]roster.Entry{{Announcement: roster.Announcement{
				Name: "u", Service: "s", Address: l.Addr().String(), Domain: "d", Slots: 8, State: roster.StateReady,
			}}})
			for _, id := range []string{"id-1", "id-2"} {
				got := h.call(t.Context(), http.MethodPost, "safe", "k", "Id", id)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, id)
				assert.Equal(t, <-s.runs, id)
			}
		})
	}
}
