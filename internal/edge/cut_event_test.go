package edge

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
)

// cutTokens is the number of tokens in the streams of cutStreamer.
const cutTokens = 3

// cutStreamer is an engine whose first stream ends inside an event. A later one that
// resumes it is complete.
type cutStreamer struct {
	framing string // of the first response: length, chunks or bare
	cut     string // its last bytes, after the tokens
	streams int    // invariant: number of streams; they follow one another
}

// ServeHTTP implements http.Handler.
func (c *cutStreamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/completions" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c.streams++
	id := r.Header.Get(poplar.HeaderRequest)
	if c.streams > 1 {
		from, err := strconv.Atoi(r.Header.Get(poplar.HeaderResume))
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		fmt.Fprint(w, tokenEvents(id, from)+finalEvents(id))
		return
	}
	body := tokenEvents(id, 0) + strings.NewReplacer("ID", id, ";", "\n", "LONG", strings.Repeat("x", maxEventBytes+10)).Replace(c.cut)
	switch c.framing {
	case "length":
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	case "chunks":
		_ = http.NewResponseController(w).Flush()
	case "bare":
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\n\r\n%s", body)
		out.Flush()
		return
	}
	fmt.Fprint(w, body)
}

// tokenEvents returns the events of the tokens after the given number.
func tokenEvents(id string, from int) string {
	var events strings.Builder
	for i := from + 1; i <= cutTokens; i++ {
		fmt.Fprintf(&events, "id: 1-%d\ndata: {\"id\":%q,\"choices\":[{\"text\":\"%d\",\"finish_reason\":null}]}\n\n", i, id, i)
	}
	return events.String()
}

func finalEvents(id string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", id)
}

// TestCutEventIsNoEndOfStream guards against a stream that ends inside an event and is
// completed for the caller all the same. It reads testdata/cut_events.txt.
func TestCutEventIsNoEndOfStream(t *testing.T) {
	file, err := os.Open("testdata/cut_events.txt")
	assert.NilError(t, err)
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		if line == "" || line[0] == '#' {
			continue
		}
		name, cut, _ := strings.Cut(line, "|")
		for _, framing := range []string{"length", "chunks", "bare"} {
			for _, resume := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s resume=%t", strings.TrimSpace(name), framing, resume), func(t *testing.T) {
					checkCutStream(t, &cutStreamer{framing: framing, cut: strings.TrimSpace(cut)}, resume)
				})
			}
		}
	}
}

// checkCutStream sends one request. The caller must get the whole response where it may be
// resumed, and otherwise the tokens and an error.
func checkCutStream(t *testing.T, engine *cutStreamer, resume bool) {
	h := newHarness(t, 1000)
	_, s := h.startDaemon("a")
	upstream := httptest.NewServer(engine)
	defer upstream.Close()
	n := testAnnouncement(upstream)
	n.Resume = resume
	h.announce(withNextSequence(n))
	got := readStream(h.postCompletion(s, completionBody(cutTokens)).Body)
	assert.NilError(t, got.err)
	assert.Equal(t, got.text, "123")
	assert.Equal(t, got.done, resume, "%+v", got)
	if resume {
		assert.Equal(t, engine.streams, 2)
		assert.Equal(t, got.usage.Completion, cutTokens)
	} else {
		assert.Equal(t, got.problem+" "+got.run, "upstream yes")
	}
	bills, tokens := h.ledger.bills()
	assert.Equal(t, bills, 1)
	assert.Equal(t, int(tokens), cutTokens+2)
	assert.Equal(t, h.ledger.open(), 0)
}

// cutCompletion is an engine that cuts the bodies of its first responses, which end with
// their connections.
type cutCompletion struct {
	cuts      int
	responses int // invariant: number of responses; they follow one another
}

// ServeHTTP implements http.Handler.
func (c *cutCompletion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/completions" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	c.responses++
	body := `{"choices":[{"text":"123","finish_reason":"stop"}],"usage":{"prompt_tokens":2,"completion_tokens":3}}`
	if c.responses <= c.cuts {
		body = body[:len(body)/2]
	}
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n%s", body)
	out.Flush()
}

// TestCutCompletionIsNoSuccess guards against a completion that is cut at the end of its
// connection and reaches the caller as whole, with a length.
func TestCutCompletionIsNoSuccess(t *testing.T) {
	for _, c := range []struct {
		name           string
		cuts           int
		status, billed int
	}{
		{"whole", 0, http.StatusOK, cutTokens + 2},
		{"run again", 1, http.StatusOK, cutTokens + 2},
		{"always cut", 100, http.StatusBadGateway, 0},
	} {
		for _, resume := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s resume=%t", c.name, resume), func(t *testing.T) {
				h := newHarness(t, 1000)
				_, s := h.startDaemon("a")
				engine := &cutCompletion{cuts: c.cuts}
				upstream := httptest.NewServer(engine)
				defer upstream.Close()
				n := testAnnouncement(upstream)
				n.Resume = resume
				h.announce(withNextSequence(n))
				response := h.postCompletion(s, strings.Replace(completionBody(cutTokens), "true", "false", 1))
				assert.Equal(t, response.StatusCode, c.status)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Assert(t, json.Valid(body), "%q", body)
				_, tokens := h.ledger.bills()
				assert.Equal(t, int(tokens), c.billed)
				assert.Equal(t, h.ledger.open(), 0)
			})
		}
	}
}
