package edge

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// crashingStreamer is an engine that ends in the middle of its first answer.
type crashingStreamer struct {
	server *httptest.Server
	mode   crashMode
	once   sync.Once
	ended  chan struct{} // closed when its port is
}

// crashMode is how an engine ends.
type crashMode struct {
	framing string        // of the answer: chunks or bare
	reset   bool          // of the connection; otherwise it is closed
	linger  time.Duration // for which the port still accepts connections
}

// ServeHTTP implements http.Handler.
func (c *crashingStreamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/completions") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	events := tokenEvents(r.Header.Get(poplar.HeaderRequest), 0)
	if c.mode.framing == "chunks" {
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(events), events)
	} else {
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n\r\n%s", events)
	}
	out.Flush()
	time.Sleep(20 * time.Millisecond)
	c.once.Do(func() {
		if c.mode.linger == 0 {
			c.server.Listener.Close()
			close(c.ended)
			return
		}
		time.AfterFunc(c.mode.linger, func() {
			c.server.Listener.Close()
			close(c.ended)
		})
	})
	if c.mode.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// TestRequestThatCrashesInMidStreamIsRefused sends a request that crashes each engine after some
// tokens. It guards against a crash that is not noticed because of how the answer ends.
func TestRequestThatCrashesInMidStreamIsRefused(t *testing.T) {
	for _, mode := range []crashMode{
		{"chunks", true, 0},
		{"chunks", false, 0},
		{"bare", true, 0},
		{"bare", false, 0},
		{"chunks", true, 60 * time.Millisecond},
		{"bare", false, 60 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%s reset=%t after %v", mode.framing, mode.reset, mode.linger), func(t *testing.T) {
			h := newHarness(t, 100000)
			_, s := h.startDaemon("a")
			var engines []*crashingStreamer
			for i := range 5 {
				c := &crashingStreamer{mode: mode, ended: make(chan struct{})}
				c.server = httptest.NewServer(c)
				defer c.server.Close()
				n := testAnnouncement(c.server)
				n.Upstream, n.Resume = poplar.Upstream(fmt.Sprint("e", i)), false
				h.announce(withNextSequence(n))
				engines = append(engines, c)
			}
			poisonous := strings.Replace(completionBody(20), "hello", "poisonous", 1)
			for range 4 {
				readStream(h.postCompletion(s, poisonous).Body)
				time.Sleep(200 * time.Millisecond)
			}
			checkProblem(t, h.postCompletion(s, poisonous), "poison no")
			ended := 0
			for _, c := range engines {
				select {
				case <-c.ended:
					ended++
				default:
				}
			}
			assert.Equal(t, ended, 2)
		})
	}
}

// TestMessageThatCrashesInMidStreamIsRefused sends chats that are all different and share a message
// that crashes each engine after some tokens. It guards against a message that is cleared by the
// responses at which it crashes engines.
func TestMessageThatCrashesInMidStreamIsRefused(t *testing.T) {
	h := newHarness(t, 100000)
	_, s := h.startDaemon("a")
	var engines []*crashingStreamer
	for i := range 8 {
		c := &crashingStreamer{mode: crashMode{"chunks", true, 0}, ended: make(chan struct{})}
		c.server = httptest.NewServer(c)
		defer c.server.Close()
		n := testAnnouncement(c.server)
		n.Upstream, n.Resume = poplar.Upstream(fmt.Sprint("e", i)), false
		h.announce(withNextSequence(n))
		engines = append(engines, c)
	}
	for n := range 6 {
		body := fmt.Sprintf(`{"model":"small","messages":[{"role":"system","content":"poisonous"},{"role":"user","content":"%d"}],"max_tokens":20,"stream":true}`, n)
		response := h.request(s, "POST", "/v1/chat/completions", body)
		if n < 5 {
			readStream(response.Body)
			time.Sleep(200 * time.Millisecond) // crashes in quick succession count as one
			continue
		}
		checkProblem(t, response, "poison no")
	}
	ended := 0
	for _, c := range engines {
		select {
		case <-c.ended:
			ended++
		default:
		}
	}
	assert.Equal(t, ended, 3)
}
