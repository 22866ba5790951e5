package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fault"
)

// This file holds the caller of the demo.

// answer is what a caller got.
type answer struct {
	status  int
	body    []byte
	problem *poplar.Error // invariant: set for refusals
	events  int
	text    string        // of a stream
	total   poplar.Tokens // of the usage that a stream tells
	done    bool          // true when a stream ended as whole
}

// want returns an error unless the answer has the status.
func (a answer) want(status int) error {
	if a.status == status {
		return nil
	}
	return fmt.Errorf("want status %d, got %d: %s", status, a.status, a.body)
}

// get calls a route without a body.
func (s *story) get(ctx context.Context, address, path string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return answer{}, fmt.Errorf("get %s: %w", path, err)
	}
	return s.do(req)
}

// post calls the daemon of domains[at] as a caller, and returns as often as a
// refusal tells it to: under one key a request runs once, however often it is
// sent.
func (s *story) post(ctx context.Context, at int, path, credential, key, body string) (answer, error) {
	return s.insist(ctx, "http://"+s.fleet.settings[at].Listen.Callers+path, credential, key, body)
}

// insist sends a request until it is answered, or refused for good, for a bounded
// time.
func (s *story) insist(ctx context.Context, target, credential, key, body string) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTime)
	defer cancel()
	told := ""
	for {
		got, err := s.send(ctx, target, credential, key, body)
		if err != nil || got.problem == nil || got.problem.Retry().IsZero() {
			return got, err
		}
		if text := got.problem.Error(); text != told {
			told = text
			fmt.Fprintf(s.out, "refused, run %s, asking again: %s\n", got.problem.Run(), text)
		}
		select {
		case <-ctx.Done():
			return got, nil
		case <-time.After(max(time.Until(got.problem.Retry()), pollTime)):
		}
	}
}

// send sends a request once.
func (s *story) send(ctx context.Context, target, credential, key, body string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("post %s: %w", target, err)
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Content-Type", "application/json")
	return s.do(req)
}

// do sends a request and reads the whole answer.
func (s *story) do(req *http.Request) (answer, error) {
	resp, err := s.http.Do(req)
	if err != nil {
		return answer{}, fmt.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode}
	if a.body, err = io.ReadAll(resp.Body); err != nil {
		return a, fmt.Errorf("read answer: %w", err)
	}
	if resp.Header.Get("Content-Type") == fault.MediaType {
		a.problem = fault.Decode(a.body)
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return a, a.readEvents()
	}
	return a, nil
}

// chunk is one event of a streamed completion.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Total poplar.Tokens `json:"total_tokens"`
	} `json:"usage"`
}

// readEvents reads the events of a stream.
func (a *answer) readEvents() error {
	for line := range bytes.SplitSeq(a.body, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("event: error")) {
			return fmt.Errorf("the stream broke: %s", a.body)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		a.events++
		if bytes.Equal(data, []byte("[DONE]")) {
			a.done = true
			continue
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return fmt.Errorf("decode event: %w", err)
		}
		for _, choice := range c.Choices {
			a.text += choice.Delta.Content
		}
		if c.Usage != nil {
			a.total = c.Usage.Total
		}
	}
	return nil
}
