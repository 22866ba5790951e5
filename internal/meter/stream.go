package meter

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/internal/holder"
)

// This file holds the death of a router with streams open: callers retry at
// another router, and each gets one whole answer and one bill.

var _ = Add("stream", Stream)

const (
	deathStreams = 200
	deathTokens  = 150
	deathStep    = 20 * time.Millisecond // between tokens
	deathAfter   = 10                    // events read before the router dies
	deathWait    = 30 * time.Second
)

// severed is the ledger as a router reaches it until the router dies.
type severed struct {
	poplar.Ledger
	cut atomic.Bool
}

var errDead = errors.New("the router is dead")

func (s *severed) check() error {
	if !s.cut.Load() {
		return nil
	}
	return poplar.Fail(poplar.StepSettle, poplar.CodeUnreachable, errDead)
}

// Reserve implements poplar.Ledger.
func (s *severed) Reserve(ctx context.Context, ask poplar.ReserveRequest) (poplar.Grant, error) {
	if err := s.check(); err != nil {
		return poplar.Grant{}, err
	}
	return s.Ledger.Reserve(ctx, ask)
}

// Extend implements poplar.Ledger.
func (s *severed) Extend(ctx context.Context, extend poplar.Extend) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.Ledger.Extend(ctx, extend)
}

// Settle implements poplar.Ledger.
func (s *severed) Settle(ctx context.Context, settle poplar.Settlement) error {
	if err := s.check(); err != nil {
		return err
	}
	return s.Ledger.Settle(ctx, settle)
}

// orphan is one caller that loses its router and asks another one.
type orphan struct {
	scene *scene
	key   string
	open  *http.Response // invariant: the stream at the router that dies
	seen  string         // text that came before the death
	text  string         // of the answer after the retry
	whole bool
	first time.Duration // from the retry to its first token
	err   error
}

// scene is the measurement's stage.
type scene struct {
	first, second *way
	wait          sync.WaitGroup
}

// Stream opens streams at one router, kills it, and lets the callers retry at
// another one.
func Stream(ctx context.Context, out *Sheet) error {
	ctx, cancel := context.WithTimeout(ctx, deathWait)
	defer cancel()
	engine, err := fake.StartEngine(fake.Settings{
		Name: "engine", Domain: bed, Slots: 8 * deathStreams, Step: deathStep,
	})
	if err != nil {
		return err
	}
	defer engine.Kill()
	b, err := startRouter(ctx, "b", engine)
	if err != nil {
		return err
	}
	defer b.close()
	line := &severed{Ledger: b.holder}
	a, err := joinRouter(b.vault, line, "a", engine, 1)
	if err != nil {
		return err
	}
	s := &scene{first: newWay("a", a.address), second: newWay("b", b.address)}
	defer closeWays([]*way{s.first, s.second})
	defer a.kill()
	callers, err := s.begin(ctx)
	if err != nil {
		return err
	}
	// What the dead router still holds towards the engine stays open, as when
	// its VM is cut off: the harder case.
	line.cut.Store(true)
	a.server.Close()
	if err := b.holder.RouterRemoved(ctx, "a"); err != nil {
		return err
	}
	s.again(ctx, callers)
	return judge(out, callers, engine, b.holder)
}

// begin opens all streams and reads the start of each.
func (s *scene) begin(ctx context.Context) ([]*orphan, error) {
	callers := make([]*orphan, deathStreams)
	for i := range callers {
		callers[i] = &orphan{scene: s, key: fmt.Sprint("caller", i)}
		s.wait.Add(1)
		go callers[i].runStart(ctx)
	}
	s.wait.Wait()
	for _, c := range callers {
		if c.err != nil {
			return nil, c.err
		}
	}
	return callers, nil
}

// again lets every caller retry at once.
func (s *scene) again(ctx context.Context, callers []*orphan) {
	for _, c := range callers {
		c.open.Body.Close()
		s.wait.Add(1)
		go c.runAgain(ctx)
	}
	s.wait.Wait()
}

func (c *orphan) ask(ctx context.Context, w *way) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"small","prompt":%q,"max_tokens":%d,"stream":true}`, c.key, deathTokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+bedKey)
	r.Header.Set("Idempotency-Key", c.key)
	return w.client.Do(r)
}

func (c *orphan) runStart(ctx context.Context) {
	defer c.scene.wait.Done()
	c.open, c.err = c.ask(ctx, c.scene.first) //nolint:bodyclose // again does
	if c.err != nil {
		return
	}
	in := bufio.NewScanner(c.open.Body)
	for events := 0; events < deathAfter && in.Scan(); {
		if text, ok := token(in.Text()); ok {
			events++
			c.seen += text
		}
	}
	if c.seen == "" {
		c.err = fmt.Errorf("%w: status %d before the death", errNotWhole, c.open.StatusCode)
	}
}

func (c *orphan) runAgain(ctx context.Context) {
	defer c.scene.wait.Done()
	start := time.Now()
	answer, err := c.ask(ctx, c.scene.second)
	if err != nil {
		c.err = err
		return
	}
	defer answer.Body.Close()
	in := bufio.NewScanner(answer.Body)
	for in.Scan() {
		text, ok := token(in.Text())
		if ok && c.first == 0 {
			c.first = time.Since(start)
		}
		c.text += text
		c.whole = c.whole || in.Text() == "data: [DONE]"
	}
	c.err = in.Err()
}

// token returns the text of the event in a line, if it has any.
func token(line string) (string, bool) {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok || json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return "", false
	}
	return chunk.Choices[0].Text, chunk.Choices[0].Text != ""
}

// judge counts whole answers, generations and bills.
func judge(out *Sheet, callers []*orphan, engine *fake.Engine, h *holder.Replica) error {
	whole := 0
	times := hdrhistogram.New(1, histogramMost, histogramDigits)
	for _, c := range callers {
		if c.err != nil {
			return fmt.Errorf("%s: %w", c.key, c.err)
		}
		// The answer is of one generation, and goes on from what was seen.
		nonce, _, _ := strings.Cut(c.text, ":")
		one := strings.Count(c.text, nonce+":") == deathTokens && len(strings.Fields(c.text)) == deathTokens
		if c.whole && one && strings.HasPrefix(c.text, c.seen) {
			whole++
		}
		if err := times.RecordValue(int64(c.first)); err != nil {
			return fmt.Errorf("%s: %w", c.key, err)
		}
	}
	bills := h.Bills(holder.Filter{Budget: "b", Limit: 10 * deathStreams})
	var billed poplar.Tokens
	for _, bill := range bills {
		billed += bill.Tokens
	}
	prompt := 0
	for _, c := range callers {
		prompt += (len(c.key) + 2 + 3) / 4 // with its quotes, at four bytes a token
	}
	out.AtLeast("whole answers after the death", float64(whole), "of 200", deathStreams)
	out.AtMost("generations started", float64(engine.Started()), "of 200", deathStreams)
	out.AtMost("bills over one each", float64(len(bills)-deathStreams), "bills", 0)
	out.AtLeast("bills", float64(len(bills)), "of 200", deathStreams)
	out.AtMost("tokens billed over those generated", float64(int(billed)-prompt-deathStreams*deathTokens), "tokens", 0)
	out.Note("first token after the retry p50", micros(times.ValueAtQuantile(50))/1000, "ms")
	out.Note("first token after the retry p99", micros(times.ValueAtQuantile(99))/1000, "ms")
	return nil
}
