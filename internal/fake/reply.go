package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the engine's handlers and the format of its answers.

// Usage is the count of tokens at the end of an answer.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	a, err := readAsk(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	known := e.shelf.serves(poplar.Model(a.body.Model))
	e.mu.Unlock()
	if !known {
		http.Error(w, "unknown model", http.StatusNotFound)
		return
	}
	if strings.Contains(a.prompt, CrashMark) {
		e.crash()
	}
	g, err := e.open(a, time.Now())
	if err != nil {
		refuse(w, err)
		return
	}
	defer func() { e.close(g, time.Now()) }()
	w.Header().Set(poplar.HeaderRequest, a.id)
	w.Header().Set(poplar.HeaderAttempt, strconv.FormatUint(uint64(a.attempt), 10))
	if a.body.Stream {
		e.stream(w, r, g, a)
		return
	}
	e.whole(w, r, g, a)
}

// crash ends the engine and the handler that calls it.
func (e *Engine) crash() {
	if e.set.Crash != nil {
		e.set.Crash()
	}
	e.host.cancel()
	// Close fails only for a listener that is closed already.
	_ = e.host.server.Close()
	panic(http.ErrAbortHandler)
}

func refuse(w http.ResponseWriter, err error) {
	status := http.StatusNotFound
	if errors.Is(err, errStale) {
		status = http.StatusConflict
	}
	http.Error(w, err.Error(), status)
}

// wait returns once g has more than sent tokens, is complete, or is lost to
// the reader.
func (e *Engine) wait(r *http.Request, g *generation, a ask, sent int) (made int, done, ok bool) {
	for {
		now, over, held := e.look(g, a.attempt)
		if !held {
			return now, over, false
		}
		if now > sent || over {
			return now, over, true
		}
		select {
		case <-g.wake:
		case <-r.Context().Done():
			return now, over, false
		case <-e.host.ctx.Done():
			return now, over, false
		}
	}
}

// stream sends the tokens from a.from on as events. Each event's id is the
// attempt and the count of tokens up to it.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, a ask) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	// A failed flush shows in the next write.
	_ = flush.Flush()
	var buf []byte
	for sent := a.from; ; {
		made, done, ok := e.wait(r, g, a, sent)
		if !ok {
			g.hint()
			panic(http.ErrAbortHandler)
		}
		buf = buf[:0]
		for ; sent < made; sent++ {
			buf = appendToken(buf, g, a, sent)
		}
		if done {
			buf = appendEnd(buf, g, a, sent)
		}
		if _, err := w.Write(buf); err != nil || flush.Flush() != nil {
			return
		}
		if done {
			return
		}
	}
}

func appendToken(buf []byte, g *generation, a ask, n int) []byte {
	buf = fmt.Appendf(buf, "id: %d-%d\ndata: ", a.attempt, n+1)
	if g.chat {
		return fmt.Appendf(buf, `{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`+"\n\n",
			g.id, g.model, g.token(n))
	}
	return fmt.Appendf(buf, `{"id":%q,"object":"text_completion","model":%q,"choices":[{"index":0,"text":%q,"finish_reason":null}]}`+"\n\n",
		g.id, g.model, g.token(n))
}

func appendEnd(buf []byte, g *generation, a ask, made int) []byte {
	buf = fmt.Appendf(buf, "id: %d-%d\n", a.attempt, made)
	object, delta := "text_completion", `"text":""`
	if g.chat {
		object, delta = "chat.completion.chunk", `"delta":{}`
	}
	return fmt.Appendf(buf, `data: {"id":%q,"object":%q,"model":%q,"choices":[{"index":0,%s,"finish_reason":"length"}],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\ndata: [DONE]\n\n",
		g.id, object, g.model, delta, g.prompt, made, g.prompt+made)
}

// whole sends the answer as one JSON object once it is complete.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, g *generation, a ask) {
	sent := 0
	for {
		made, done, ok := e.wait(r, g, a, sent)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		sent = made
		if done {
			break
		}
	}
	var text strings.Builder
	for n := range sent {
		text.WriteString(g.token(n))
	}
	w.Header().Set("Content-Type", "application/json")
	// A caller that left has nobody to tell.
	_ = json.NewEncoder(w).Encode(answer(g, text.String(), sent))
}

type choice struct {
	Index   int      `json:"index"`
	Text    string   `json:"text,omitempty"`
	Message *content `json:"message,omitempty"`
	Finish  string   `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type reply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

func answer(g *generation, text string, made int) reply {
	c := choice{Finish: "length"}
	object := "text_completion"
	if g.chat {
		object, c.Message = "chat.completion", &content{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	return reply{
		ID: g.id, Object: object, Model: g.model, Choices: []choice{c},
		Usage: Usage{Prompt: g.prompt, Completion: made, Total: g.prompt + made},
	}
}

// cancel stops a generation and answers what it had used.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var attempt uint64
	if text := r.Header.Get(poplar.HeaderAttempt); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		attempt = n
	}
	prompt, made, err := e.stop(r.Header.Get(poplar.HeaderRequest), poplar.Attempt(attempt))
	if err != nil {
		refuse(w, err)
		return
	}
	// A router that left has nobody to tell.
	_ = json.NewEncoder(w).Encode(Usage{Prompt: prompt, Completion: made, Total: prompt + made})
}
