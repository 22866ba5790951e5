package meter

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/internal/holder"
)

// This file holds the end of a budget: what is refused or cut although the
// budget would cover all that is generated, by the portion of a request's
// highest cost that is reserved first.

var _ = Add("spent", Spent)

const (
	spentBudget  = poplar.Tokens(60_000)
	spentLoad    = 98   // percent of the budget is what all answers cost together
	spentMost    = 1000 // max_tokens of each request
	spentMean    = 100  // tokens of an answer
	spentPrompt  = 8    // tokens of a prompt, at four bytes a token
	spentCallers = 32   // side by side
)

// leased is one run to the end of a budget.
type leased struct {
	way     *way
	next    atomic.Int64 // invariant: requests handed out, at most total
	total   int64
	wait    sync.WaitGroup
	whole   atomic.Int64
	refused atomic.Int64
	cut     atomic.Int64
	odd     atomic.Int64 // answers of any other kind
}

// Spent runs into the end of a budget under several numbers. Every refusal and
// every cut is a false one.
func Spent(ctx context.Context, out *Sheet) error {
	for _, reserve := range []float64{1, 0.5, 0.25, 0.1, 0.02} {
		if err := spentAt(ctx, out, reserve); err != nil {
			return err
		}
	}
	return nil
}

func spentAt(ctx context.Context, out *Sheet, reserve float64) error {
	engine, err := fake.StartEngine(fake.Settings{
		Name: "engine", Domain: bed, Slots: 16 * spentCallers, Step: time.Millisecond, Ends: spentMean,
	})
	if err != nil {
		return err
	}
	defer engine.Kill()
	r, err := startPoor(ctx, "router", engine, spentBudget, reserve)
	if err != nil {
		return err
	}
	defer r.close()
	p := &leased{way: newWay("daemon", r.address)}
	p.total = int64(spentBudget) * spentLoad / 100 / (spentMean + spentPrompt)
	defer p.way.client.CloseIdleConnections()
	for range spentCallers {
		p.wait.Add(1)
		go p.runCaller(ctx)
	}
	p.wait.Wait()
	if n := p.odd.Load(); n > 0 {
		return fmt.Errorf("%w: %d answers are neither whole, refused nor cut", errNotWhole, n)
	}
	return p.report(out, r.holder, reserve)
}

func (p *leased) report(out *Sheet, h *holder.Replica, reserve float64) error {
	var billed poplar.Tokens
	for _, bill := range h.Bills(holder.Filter{Budget: "b", Limit: int(2 * p.total)}) {
		billed += bill.Tokens
	}
	name := fmt.Sprintf(" at reserve %g", reserve)
	out.Note("refused"+name, 100*float64(p.refused.Load())/float64(p.total), "%")
	out.Note("cut"+name, 100*float64(p.cut.Load())/float64(p.total), "%")
	out.AtMost("overspent"+name, float64(max(billed-spentBudget, 0)), "tokens", 0)
	return nil
}

func (p *leased) runCaller(ctx context.Context) {
	defer p.wait.Done()
	for n := p.next.Add(1); n <= p.total && ctx.Err() == nil; n = p.next.Add(1) {
		p.ask(ctx, n)
	}
}

func (p *leased) ask(ctx context.Context, n int64) {
	body := fmt.Sprintf(`{"model":"small","prompt":"Check cue %020d","max_tokens":%d,"stream":true}`, n, spentMost)
	answer, err := p.way.send(ctx, body)
	if err != nil {
		p.odd.Add(1)
		return
	}
	defer answer.Body.Close()
	switch answer.StatusCode {
	case http.StatusOK:
		p.read(answer)
	case http.StatusPaymentRequired:
		p.refused.Add(1)
	default:
		p.odd.Add(1)
	}
}

func (p *leased) read(answer *http.Response) {
	in := bufio.NewScanner(answer.Body)
	for in.Scan() {
		switch in.Text() {
		case "data: [DONE]":
			p.whole.Add(1)
			return
		case "event: error":
			p.cut.Add(1)
			return
		}
	}
	p.odd.Add(1)
}
