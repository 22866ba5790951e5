package oper_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/fault"
	"poplarbend.example/poplar/internal/oper"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/order"
	"poplarbend.example/poplar/pkg/state"
)

const secret = "op-secret-0001"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"poplarbend": func() {
		serve := func(_ context.Context, s *conf.Settings) error {
			_, err := os.Stdout.WriteString("served " + string(s.Name) + "\n")
			return err
		}
		os.Exit(oper.Main(context.Background(), serve, nil, os.Args[1:], os.Stdout, os.Stderr))
	}})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			server := httptest.NewServer(lossy(oper.New(newFleet(), gate(), trace.NewVars(), logger(io.Discard))))
			env.Defer(server.Close)
			env.Setenv("POPLARBEND_TO", server.Listener.Addr().String())
			env.Setenv("POPLARBEND_SECRET", env.WorkDir+"/op.key")
			env.Setenv("POPLARBEND_BY", "amaka")
			return os.WriteFile(env.WorkDir+"/op.key", []byte(secret+"\n"), 0o600)
		},
	})
}

func gate() conf.Gate {
	gate, _ := conf.Secret{Hash: conf.HashKey(secret).String()}.Gate()
	return gate
}

// fleet is a daemon of one process over the real replicated state.
type fleet struct {
	mu       sync.Mutex
	state    *state.State
	index    poplar.Index
	files    map[string]string
	revision poplar.Revision
	by       string
	draining bool
	released string
}

var _ oper.Fleet = (*fleet)(nil)

func newFleet() *fleet { return &fleet{state: state.New(), files: map[string]string{}} }

func (f *fleet) propose(c state.Command) (state.Reply, error) {
	f.index++
	reply, err := state.Decode[state.Reply](f.state.Apply(f.index, state.Encode(c)))
	if err != nil {
		return reply, err
	}
	return reply, reply.Err()
}

func (f *fleet) Change(_ context.Context, c oper.Change) (oper.Applied, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	files, next := make(map[string]string), make(map[string]string)
	for name, body := range c.Files {
		files[name] = ""
		if body != nil {
			files[name] = *body
		}
	}
	var budgets []state.Declared
	merged := oper.Overlay(f.files, c.Files)
	if policy, err := conf.Merge(merged); err == nil {
		for _, b := range policy.Budgets() {
			budgets = append(budgets, state.Declared{Name: b.Name(), Workspace: b.Workspace(), Tokens: b.Tokens()})
		}
	}
	reply, err := f.propose(state.Command{Change: &state.Change{Number: c.Number, Files: files, Budgets: budgets, Operator: c.By}})
	if err != nil {
		return oper.Applied{}, err
	}
	if !reply.Duplicate {
		for name, body := range merged {
			next[name] = string(body)
		}
		f.files, f.revision, f.by = next, c.Number, c.By
	}
	return oper.Applied{Number: reply.Revision, By: reply.Operator, Again: reply.Duplicate}, nil
}

func (f *fleet) Topup(_ context.Context, t oper.Topup) (oper.Topped, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply, err := f.propose(state.Command{Topup: &state.Topup{ID: t.ID, Budget: t.Budget, Tokens: t.Tokens, Operator: t.By, At: t.At}})
	return oper.Topped{ID: t.ID, Budget: t.Budget, Granted: reply.Granted, Again: reply.Duplicate}, err
}

func (f *fleet) Files(context.Context) (oper.Files, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return oper.Files{Revision: f.revision, By: f.by, Files: f.files}, nil
}

func (f *fleet) Status(_ context.Context, q oper.StatusQuery) (oper.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ago := time.Now().Add(-2 * time.Second)
	domains := []oper.DomainStatus{
		{Domain: "yaba", Primary: "yaba-1", Backup: "yaba-2", Epoch: 4, Revision: f.revision, Open: 3, Share: oper.Share{Issued: 700}, Contact: &ago},
		{Domain: "lekki"},
	}
	if q.Budget == "main" {
		domains = domains[:1]
	}
	suspects := []oper.Suspect{{Print: "9f3c", Crashes: 2, Refused: f.released != "9f3c"}}
	issuers := []oper.IssuerStatus{{Domain: "yaba", Daemon: "yaba-3", Fence: 5, Contact: &ago, Orders: []order.Order{{
		Fence: 5, Number: 8, Upstream: "timing-2", Verb: order.VerbLoad, Model: "retime", Version: "3", Reason: order.ReasonDemand,
	}}}}
	return oper.Status{
		Daemon: "yaba-1", Domain: "yaba", Ready: true, Draining: f.draining, Revision: f.revision, Domains: domains,
		Issuers: issuers, Suspects: suspects,
	}, nil
}

func (f *fleet) Why(_ context.Context, r poplar.Request) (oper.Why, error) {
	if r.Key() != "claim-17" {
		return oper.Why{}, poplar.Failf(poplar.StepReserve, poplar.CodeMissing, "no record of %s", r).Ran(poplar.RunUnknown)
	}
	return oper.Why{Workspace: r.Workspace(), Key: r.Key(), Run: poplar.RunYes, Bill: &poplar.Bill{Tokens: 12, Budget: "main", Domain: "yaba", Outcome: poplar.OutcomeDone}}, nil
}

func (f *fleet) Bills(_ context.Context, q oper.BillQuery) (oper.Bills, error) {
	bills := oper.Bills{Bills: []poplar.Bill{{Workspace: "ikeja", Budget: "main", Key: "claim-17", Domain: "yaba", Tokens: 12, Outcome: poplar.OutcomeDone}}}
	if q.Limit == 1 && q.After == "" {
		bills.Next = "p2"
	}
	return bills, nil
}

func (f *fleet) Drain(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	return nil
}

func (f *fleet) Force(_ context.Context, force oper.Force) (oper.Forced, error) {
	if force.Epoch != 7 {
		return oper.Forced{}, poplar.Failf(poplar.StepPropose, poplar.CodeStale, "epoch 7 is in force").Ran(poplar.RunNo)
	}
	return oper.Forced{Domain: force.Domain, Primary: force.Primary, Epoch: 8}, nil
}

func (f *fleet) Release(_ context.Context, fingerprint string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = fingerprint
	return nil
}

// lossy loses the first answer to the operator named unlucky, and every answer
// to the one named cursed.
func lossy(next http.Handler) http.Handler {
	var once sync.Once
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		lost := bytes.Contains(body, []byte(`"by":"cursed"`))
		if bytes.Contains(body, []byte(`"by":"unlucky"`)) {
			once.Do(func() { lost = true })
		}
		if !lost {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.Close()
	})
}

func logger(w io.Writer) *log.Logger {
	logger, err := trace.New(w, "info", "yaba-1")
	if err != nil {
		panic(err)
	}
	return logger
}

func TestBadRequestsAreProblemsThatDidNotRun(t *testing.T) {
	var logs bytes.Buffer
	f := newFleet()
	h := oper.New(f, gate(), trace.NewVars(), logger(&logs))
	huge := `{"id":"` + strings.Repeat("x", 70<<10) + `"}`
	for _, c := range []struct {
		method, path, body string
		status             int
		code               poplar.Code
	}{
		{"POST", "/v1/changes", `{"number":1,"by":"a","files":{"a.json":"{\"spaces\":1}"}}`, 400, poplar.CodeInvalid},
		{"POST", "/v1/changes", `{"number":1,"by":"a","files":{}}`, 400, poplar.CodeInvalid},
		{"POST", "/v1/changes", `{"number":9,"by":"a","files":{"a.json":"{}"}}`, 409, poplar.CodeStale},
		{"POST", "/v1/changes", `{"number":-1,"by":"a"}`, 400, poplar.CodeInvalid},
		{"POST", "/v1/changes", `{"numbr":1}`, 400, poplar.CodeInvalid},
		{"POST", "/v1/changes", `{`, 400, poplar.CodeInvalid},
		{"POST", "/v1/topups", `{} {}`, 400, poplar.CodeInvalid},
		{"POST", "/v1/topups", `{"id":"a","by":"b","budget":"main","tokens":0}`, 400, poplar.CodeInvalid},
		{"POST", "/v1/topups", huge, 413, poplar.CodeLarge},
		{"GET", "/v1/bills?limit=5000", ``, 400, poplar.CodeInvalid},
		{"GET", "/v1/why", ``, 400, poplar.CodeInvalid},
		{"GET", "/v1/changes", ``, 404, poplar.CodeMissing},
		{"GET", "/nowhere", ``, 404, poplar.CodeMissing},
	} {
		r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		r.Header.Set("Authorization", "Bearer "+secret)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		var p struct {
			Code poplar.Code     `json:"code"`
			Run  poplar.RunState `json:"run"`
		}
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &p))
		assert.Check(t, w.Code == c.status && p.Code == c.code && p.Run == poplar.RunNo, "%s %s %.60s: %d %s", c.method, c.path, c.body, w.Code, w.Body)
	}
	assert.Equal(t, f.revision, poplar.Revision(0))
}

func TestCredentialIsNeededOnEveryRouteAndNeverLogged(t *testing.T) {
	var logs bytes.Buffer
	h := oper.New(newFleet(), gate(), trace.NewVars(), logger(&logs))
	for _, path := range []string{"/v1/status", "/v1/files", "/debug/vars", "/nowhere"} {
		for _, given := range [][]string{nil, {"Bearer wrong-secret-77"}, {"Bearer " + secret, "Bearer " + secret}, {"Basic " + secret}} {
			r := httptest.NewRequest(http.MethodGet, path, nil)
			r.Header["Authorization"] = given
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			assert.Equal(t, w.Code, http.StatusUnauthorized)
			assert.Assert(t, !strings.Contains(w.Body.String(), "secret-"))
		}
	}
	assert.Assert(t, logs.Len() > 0 && !strings.Contains(logs.String(), "secret-"))
}

// A first try loses its answer; what the daemon says to the later ones decides.
func TestARefusalAfterALostAnswerProvesNothingButAClash(t *testing.T) {
	for code, want := range map[poplar.Code]poplar.RunState{
		poplar.CodeUnreachable: poplar.RunUnknown,
		poplar.CodeStale:       poplar.RunUnknown,
		poplar.CodeConflict:    poplar.RunNo,
	} {
		var tries atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if tries.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			fault.Write(w, poplar.Failf(poplar.StepPropose, code, "refused").Ran(poplar.RunNo))
		}))
		defer server.Close()
		client, err := oper.Dial(server.Listener.Addr().String(), "")
		assert.NilError(t, err)
		_, err = client.Topup(t.Context(), oper.Topup{ID: "a", Budget: "main", Tokens: 1})
		var e *poplar.Error
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Run(), want, code)
	}
}

func TestATimeoutIsUnknownForAChangeAndNotForARead(t *testing.T) {
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-done:
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	defer close(done)
	client, err := oper.Dial(server.Listener.Addr().String(), "")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var e *poplar.Error
	_, err = client.Change(ctx, oper.Change{Number: 1})
	assert.Assert(t, errors.As(err, &e) && e.Run() == poplar.RunUnknown, "%v", err)
	_, err = client.Files(ctx)
	assert.Assert(t, errors.As(err, &e) && e.Run() == poplar.RunNo, "%v", err)
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	commands := oper.Command(nil, nil).Commands()
	for _, cmd := range commands {
		assert.Check(t, cmd.Short != "" && strings.Contains(cmd.Example, "poplarbend "+cmd.Name()), cmd.Name())
	}
	assert.Equal(t, len(commands), 14)
}

func FuzzServer(f *testing.F) {
	f.Add("/v1/changes", []byte(`{"number":1,"by":"a","files":{"a.json":"{}","b.json":null}}`))
	f.Add("/v1/topups", []byte(`{"id":"a","by":"b","budget":"main","tokens":5,"at":"2026-01-01T00:00:00Z"}`))
	f.Add("/v1/force", []byte(`{"domain":"yaba","primary":"yaba-3","epoch":7}`))
	f.Add("/v1/release", []byte(`{"print":"9f3c"}`))
	f.Add("/v1/drain", []byte(`{}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
		r.URL.Path = path
		r.Header.Set("Authorization", "Bearer "+secret)
		w := httptest.NewRecorder()
		oper.New(newFleet(), gate(), trace.NewVars(), logger(io.Discard)).ServeHTTP(w, r)
		var p struct {
			Code poplar.Code `json:"code"`
		}
		refused := w.Code != http.StatusOK && w.Code != http.StatusMovedPermanently
		assert.Assert(t, !refused || json.Unmarshal(w.Body.Bytes(), &p) == nil && p.Code != "", "%d %s", w.Code, w.Body)
		assert.Assert(t, p.Code != poplar.CodeInternal, "%s", w.Body)
	})
}
