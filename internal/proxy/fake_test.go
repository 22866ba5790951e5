package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

// fakeUpstream is an upstream that follows its script.
type fakeUpstream struct {
	harness *harness
	name    string
	mu      sync.Mutex
	actions []string // invariant: guarded by mu
}

func (u *fakeUpstream) next() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	action := u.actions[0]
	if len(u.actions) > 1 {
		u.actions = u.actions[1:]
	}
	return action
}

// ServeHTTP implements http.Handler. The actions are:
//
//   - ok: a complete response
//   - fail: status 500
//   - full: refused as not run
//   - wait N: refused as not run, with a pause of N seconds
//   - other: status 421, as from another upstream at the same address
//   - reset: the connection is closed without a response
//   - mute: no response until the request is cancelled
//   - unsealed: a response without a seal
//   - endless: the first lines of an event that has no end
//   - flood: a response that has no end
//   - long N: a complete response of N bytes
//   - event N: a complete stream of one event of N bytes and a bit
//   - pause: a complete stream with a pause that is longer than the stall timeout
//   - stream N: the events up to N of 6; the response breaks off after event N,
//     or is complete if N is 6
//   - resumed ACTION: stream 3, and the action for a request that resumes it
//   - slow: a complete stream of slowEvents events, slowGap apart
//   - bare N: the same without a length or chunks; the connection is not reset
//   - cut FRAMING N: the events up to N and a part of the next one; the body ends
//     there as its framing says: length, chunks, or bare
//   - once ACTION: the action for the first request that arrives at any upstream,
//     and stream 6 for the others
//   - comment: a complete stream with a comment after its last event
func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.harness.mu.Lock()
	u.harness.remoteAddrs = append(u.harness.remoteAddrs, r.RemoteAddr)
	u.harness.arrived = append(u.harness.arrived, strings.TrimSpace(u.name+" "+r.Header.Get("After")))
	isFirst := len(u.harness.arrived) == 1
	u.harness.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", u.name)
	action, arg, _ := strings.Cut(u.next(), " ")
	if action == "resumed" && r.Header.Get("After") == "" {
		action, arg = "stream", "3"
	} else if action == "resumed" {
		action, arg, _ = strings.Cut(arg, " ")
	}
	if action == "once" && isFirst {
		action, arg, _ = strings.Cut(arg, " ")
	} else if action == "once" {
		action, arg = "stream", "6"
	}
	switch action {
	case "ok":
		fmt.Fprintf(w, "%s %s %s", u.name, r.Header.Get("Workspace"), body)
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(w, u.name)
	case "wait":
		w.Header().Set("Pause", arg)
		fallthrough
	case "full":
		w.Header().Del("Seal")
		w.Header().Set("Unrun", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "other":
		w.Header().Del("Seal")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case "reset":
		panic(http.ErrAbortHandler)
	case "mute":
		<-r.Context().Done()
		u.harness.cancelled <- r.Header.Get("Id")
	case "unsealed":
		w.Header().Del("Seal")
		fmt.Fprint(w, "nothing")
	case "endless":
		w.Header().Set("Content-Type", "text/event-stream")
		line := []byte(strings.Repeat("data: x\n", 512))
		for _, err := w.Write(line); err == nil; _, err = w.Write(line) {
		}
		u.harness.cancelled <- r.Header.Get("Id")
	case "flood":
		block := make([]byte, 32<<10)
		for _, err := w.Write(block); err == nil; _, err = w.Write(block) {
		}
	case "long":
		size, _ := strconv.Atoi(arg)
		fmt.Fprint(w, strings.Repeat("x", size))
	case "event":
		size, _ := strconv.Atoi(arg)
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", strings.Repeat("x", size))
	case "pause":
		fmt.Fprint(w, "id: 1\ndata: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			u.harness.cancelled <- r.Header.Get("Id")
		case <-time.After(minStallTimeout + 300*time.Millisecond):
			fmt.Fprint(w, "id: 2\ndata: 2\n\n")
		}
	case "stream":
		u.stream(w, r, arg)
	case "slow":
		for i := range slowEvents {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i+1, i+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(slowGap)
		}
	case "bare":
		u.bare(w, r, arg)
	case "cut":
		u.cut(w, r, arg)
	case "comment":
		fmt.Fprint(w, "id: 1\ndata: 1\n\n: end\n")
	}
}

// cut sends the events after the resume position up to the number in arg and a part of
// the next one, and ends the body as the framing in arg says.
func (u *fakeUpstream) cut(w http.ResponseWriter, r *http.Request, arg string) {
	framing, number, _ := strings.Cut(arg, " ")
	end, _ := strconv.Atoi(number)
	last, _ := strconv.Atoi(r.Header.Get("After"))
	var body strings.Builder
	for i := last + 1; i <= end; i++ {
		fmt.Fprintf(&body, "id: %d\ndata: %d\n\n", i, i)
	}
	fmt.Fprintf(&body, "id: %d\nda", end+1)
	w.Header().Set("Content-Type", "text/event-stream")
	switch framing {
	case "length":
		w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	case "chunks":
		_ = http.NewResponseController(w).Flush()
	case "bare":
		conn, out, err := http.NewResponseController(w).Hijack()
		assert.NilError(u.harness.t, err)
		defer conn.Close()
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\n\r\n%s", r.Header.Get("Id"), u.name, body.String())
		out.Flush()
		return
	}
	fmt.Fprint(w, body.String())
}

// bare sends a stream that has neither a length nor chunks and ends with its
// connection.
func (u *fakeUpstream) bare(w http.ResponseWriter, r *http.Request, arg string) {
	conn, out, err := http.NewResponseController(w).Hijack()
	assert.NilError(u.harness.t, err)
	defer conn.Close()
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Id"), u.name)
	end, _ := strconv.Atoi(arg)
	for i := range end {
		fmt.Fprintf(out, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
	if end < 6 {
		fmt.Fprint(out, "id: 99\nda")
	}
	out.Flush()
}

func (u *fakeUpstream) stream(w http.ResponseWriter, r *http.Request, arg string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("After"))
	end, _ := strconv.Atoi(arg)
	for i := last + 1; i <= end; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
	if end < 6 {
		fmt.Fprint(w, "id: 99\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
