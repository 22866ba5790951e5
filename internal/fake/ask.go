package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"poplarbend.example/poplar"
)

// This file holds the decoding of requests to the engine.

// CrashMark in a prompt crashes the engine that runs it.
const CrashMark = "#crash"

const (
	maxBody       = 8 << 20 // bytes
	bytesPerToken = 4
	defaultWant   = 16 // tokens
)

type body struct {
	Model    string          `json:"model"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	Most     int             `json:"max_tokens"`
	Stream   bool            `json:"stream"`
}

// ask is one decoded request.
type ask struct {
	id      string
	attempt poplar.Attempt
	rank    poplar.Rank
	resume  bool
	from    int // first token to send
	chat    bool
	prompt  string
	body    body
}

func (a ask) want() int {
	if a.body.Most > 0 {
		return a.body.Most
	}
	return defaultWant
}

// length returns the tokens that the answer to a has: up to twice the mean of
// the settings, and no more than was asked for.
func (s Settings) length(a ask) int {
	if s.Ends == 0 {
		return a.want()
	}
	drawn := 1 + int(xxhash.Sum64String(a.prompt)%uint64(2*s.Ends-1))
	return min(drawn, a.want())
}

// promptTokens is the engine's count of a prompt.
func promptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

func readAsk(r *http.Request) (ask, error) {
	a := ask{
		id:   r.Header.Get(poplar.HeaderRequest),
		chat: strings.HasSuffix(r.URL.Path, "/chat/completions"),
		rank: poplar.Normal,
	}
	if text := r.Header.Get(poplar.HeaderAttempt); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return a, fmt.Errorf("header %s: %w", poplar.HeaderAttempt, err)
		}
		a.attempt = poplar.Attempt(n)
	}
	if text := r.Header.Get(poplar.HeaderRank); text != "" {
		rank, err := poplar.ParseRank(text)
		if err != nil {
			return a, fmt.Errorf("header %s: %w", poplar.HeaderRank, err)
		}
		a.rank = rank
	}
	if text := r.Header.Get(poplar.HeaderResume); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return a, fmt.Errorf("header %s: %q is no token number", poplar.HeaderResume, text)
		}
		a.resume, a.from = true, n
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return a, fmt.Errorf("read body: %w", err)
	}
	if err := json.Unmarshal(data, &a.body); err != nil {
		return a, fmt.Errorf("decode body: %w", err)
	}
	a.prompt = a.body.text()
	return a, nil
}

// text returns the prompt as it stands in the request.
func (b body) text() string {
	if len(b.Messages) == 0 {
		return string(b.Prompt)
	}
	return string(b.Messages)
}
