package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/oper"
)

// This file holds the steps of the demo and what each must show.

const (
	wholeTime = 90 * time.Second
	waitTime  = 30 * time.Second
	pollTime  = 50 * time.Millisecond
	stopTime  = 30 * time.Second
)

// The requests of the demo.
const (
	keyEnugu   = "pbk-demo-enugu"
	keyTrial   = "pbk-demo-trial"
	cueKey     = "cue-41"
	claimKey   = "claim-17"
	claimCost  = poplar.Tokens(20)
	cueRequest = `{"model": "retime", "stream": true, "max_tokens": 24, "messages": [{"role": "user", "content": "re-time cue 41"}]}`
	bigRequest = `{"model": "retime", "max_tokens": 400, "messages": [{"role": "user", "content": "re-time the episode"}]}`
)

// story runs the steps and remembers what later ones compare.
type story struct {
	fleet *fleet
	out   io.Writer
	http  *http.Client
	cue   answer // the streamed answer
}

// Run runs the demo and prints each step to out. The error is that of the first
// step that did not hold; the folder with the log is kept then.
func Run(ctx context.Context, assemble Assemble, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, wholeTime)
	defer cancel()
	dir, err := os.MkdirTemp("", "poplarbend-demo-")
	if err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	f, err := newFleet(dir)
	if err != nil {
		return err
	}
	s := &story{fleet: f, out: out, http: &http.Client{}}
	err = errors.Join(s.tell(ctx, assemble), s.end(), s.quiet())
	if err != nil {
		return fmt.Errorf("%w\nthe daemons' log is in %s", err, f.log.Name())
	}
	fmt.Fprintln(out, "all of it was true")
	return os.RemoveAll(dir)
}

// tell runs the steps in their order up to the first that does not hold.
func (s *story) tell(ctx context.Context, assemble Assemble) error {
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"start three daemons in three failure domains", func(ctx context.Context) error { return s.fleet.start(ctx, assemble) }},
		{"apply the operators' folder", s.apply},
		{"every daemon is ready and has revision 1 in force", s.ready},
		{"start stand-ins: an engine in each domain and a plain service", s.announce},
		{"serve a stream at " + name(domains[0]), s.stream},
		{"the same request at " + name(domains[1]) + " gets the same answer", s.retry},
		{"a claim that is sent to two daemons runs once", s.claim},
		{"refuse an overspend, not run", s.overspend},
		{"each request is billed once", s.bills},
	}
	for _, step := range steps {
		fmt.Fprintf(s.out, "== %s\n", step.name)
		if err := step.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return nil
}

// end makes the planned stop.
func (s *story) end() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	defer s.fleet.log.Close()
	defer s.http.CloseIdleConnections()
	fmt.Fprintln(s.out, "== stop the daemons")
	if err := s.fleet.stop(ctx); err != nil {
		return fmt.Errorf("stop the daemons: %w", err)
	}
	return nil
}

// quiet wants no caller's key in the daemons' log.
func (s *story) quiet() error {
	text, err := os.ReadFile(s.fleet.log.Name())
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	for _, key := range []string{keyEnugu, keyTrial} {
		if bytes.Contains(text, []byte(key)) {
			return errors.New("the log holds a caller's key")
		}
	}
	return nil
}

// wait calls holds until it returns nil, for a bounded time.
func wait(ctx context.Context, holds func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, waitTime)
	defer cancel()
	for {
		err := holds(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not within %s: %w", waitTime, err)
		case <-time.After(pollTime):
		}
	}
}

// apply runs poplarbend apply, which is refused until the log has a leader.
func (s *story) apply(ctx context.Context) error {
	return wait(ctx, func(ctx context.Context) error {
		return s.command(ctx, "apply", filepath.Join(s.fleet.dir, "folder"), "--number", "1", "--by", "demo")
	})
}

// command runs a command of poplarbend against the first daemon and prints what
// it prints.
func (s *story) command(ctx context.Context, args ...string) error {
	var out, failed bytes.Buffer
	args = append(args, "--to", s.fleet.settings[0].Listen.Operators)
	if oper.Main(ctx, nil, nil, args, &out, &failed) != 0 {
		return errors.New(failed.String())
	}
	_, err := out.WriteTo(s.out)
	return err
}

// ready waits until every daemon has the revision and says that it is ready.
func (s *story) ready(ctx context.Context) error {
	return s.everywhere(ctx, func(ctx context.Context, status oper.Status, callers string) error {
		if status.Revision != 1 {
			return fmt.Errorf("revision %d is in force at %s", status.Revision, status.Daemon)
		}
		got, err := s.get(ctx, callers, "/healthz/ready")
		if err != nil {
			return err
		}
		return got.want(http.StatusNoContent)
	})
}

// announce starts the stand-ins and waits until each daemon knows an engine and
// the service.
func (s *story) announce(ctx context.Context) error {
	if err := s.fleet.standIn(); err != nil {
		return err
	}
	return s.everywhere(ctx, func(_ context.Context, status oper.Status, _ string) error {
		if len(status.Upstreams) < 2 {
			return fmt.Errorf("%s knows %d upstreams", status.Daemon, len(status.Upstreams))
		}
		return nil
	})
}

// everywhere waits until holds is true of every daemon's status.
func (s *story) everywhere(ctx context.Context, holds func(context.Context, oper.Status, string) error) error {
	for _, settings := range s.fleet.settings {
		client, err := oper.Dial(settings.Listen.Operators, "")
		if err != nil {
			return err
		}
		err = wait(ctx, func(ctx context.Context) error {
			status, err := client.Status(ctx, oper.StatusQuery{})
			if err != nil {
				return err
			}
			return holds(ctx, status, settings.Listen.Callers)
		})
		if err != nil {
			return fmt.Errorf("%s: %w", settings.Name, err)
		}
	}
	return nil
}

// stream asks for a stream and wants it whole, with its usage.
func (s *story) stream(ctx context.Context) error {
	var err error
	if s.cue, err = s.post(ctx, 0, "/v1/chat/completions", keyEnugu, cueKey, cueRequest); err != nil {
		return err
	}
	if err := s.cue.want(http.StatusOK); err != nil {
		return err
	}
	if !s.cue.done || s.cue.events < 2 || s.cue.total < 1 {
		return fmt.Errorf("the stream is not whole: %d events, done %v, %d tokens", s.cue.events, s.cue.done, s.cue.total)
	}
	fmt.Fprintf(s.out, "%d events, whole, %d tokens: %.40q...\n", s.cue.events, s.cue.total, s.cue.text)
	return nil
}

// retry sends the streamed request again, to a daemon of another domain.
func (s *story) retry(ctx context.Context) error {
	before := s.fleet.generated()
	again, err := s.post(ctx, 1, "/v1/chat/completions", keyEnugu, cueKey, cueRequest)
	if err != nil {
		return err
	}
	if err := again.want(http.StatusOK); err != nil {
		return err
	}
	if again.text != s.cue.text || !again.done {
		return fmt.Errorf("the answers differ: %q and %q", s.cue.text, again.text)
	}
	if more := s.fleet.generated() - before; more != 0 {
		return fmt.Errorf("the retry generated %d tokens", more)
	}
	return nil
}

// claim sends one non-idempotent call to two daemons.
func (s *story) claim(ctx context.Context) error {
	for _, at := range []int{0, 2} {
		got, err := s.post(ctx, at, "/svc/jobdesk/claims", keyEnugu, claimKey, `{"reel": 17}`)
		if err != nil {
			return err
		}
		if err := got.want(http.StatusOK); err != nil {
			return err
		}
		fmt.Fprintf(s.out, "%s: %s", name(domains[at]), got.body)
	}
	if runs := s.fleet.desk.Total(); runs != 1 {
		return fmt.Errorf("the claim ran %d times", runs)
	}
	return nil
}

// overspend asks for more than a budget holds and wants a true refusal.
func (s *story) overspend(ctx context.Context) error {
	before := s.fleet.generated()
	got, err := s.post(ctx, 0, "/v1/chat/completions", keyTrial, "episode-3", bigRequest)
	if err != nil {
		return err
	}
	if err := got.want(http.StatusPaymentRequired); err != nil {
		return err
	}
	if got.problem.Code() != poplar.CodeBudget || got.problem.Run() != poplar.RunNo {
		return fmt.Errorf("want code budget and run no, got %s", got.body)
	}
	if s.fleet.generated() != before {
		return errors.New("an engine ran the refused request")
	}
	fmt.Fprintf(s.out, "%s\n", got.body)
	return nil
}

// bills wants one bill for the stream and one for the claim, with their cost.
func (s *story) bills(ctx context.Context) error {
	client, err := oper.Dial(s.fleet.settings[0].Listen.Operators, "")
	if err != nil {
		return err
	}
	page, err := client.Bills(ctx, oper.BillQuery{Limit: oper.MostBills})
	if err != nil {
		return err
	}
	left := map[poplar.Key]poplar.Tokens{cueKey: s.cue.total, claimKey: claimCost}
	for _, bill := range page.Bills {
		want, ok := left[bill.Key]
		if !ok || bill.Tokens != want {
			return fmt.Errorf("request %s is billed %d tokens, want %d, once", bill.Key, bill.Tokens, want)
		}
		delete(left, bill.Key)
	}
	if len(left) > 0 {
		return fmt.Errorf("no bill for %v", left)
	}
	return s.command(ctx, "bills")
}
