package oper

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/fault"
)

// This file holds the HTTP interface on the operators' listener.

// Bounds of the interface.
const (
	// MostBills bounds a page of bills.
	MostBills    = 1000
	defaultBills = 100
	bodyBytes    = 64 << 10
	changeBytes  = 96 << 20
	mostName     = 128
	// decideTime bounds the wait for the log. It ends before the client's own
	// wait, so that the operator hears what the daemon knows.
	decideTime = 10 * time.Second
)

// server answers operators.
type server struct {
	fleet  Fleet
	gate   conf.Gate
	logger *log.Logger
}

// New returns the handler of the operators' listener. Every route needs the
// bearer credential that gate admits. vars answers /debug/vars.
func New(fleet Fleet, gate conf.Gate, vars http.Handler, logger *log.Logger) http.Handler {
	s := &server{fleet: fleet, gate: gate, logger: logger}
	r := mux.NewRouter()
	r.HandleFunc("/v1/changes", take(changeBytes, s.change)).Methods(http.MethodPost)
	r.HandleFunc("/v1/topups", take(bodyBytes, s.topup)).Methods(http.MethodPost)
	r.HandleFunc(forceRoute, take(bodyBytes, s.force)).Methods(http.MethodPost)
	r.HandleFunc("/v1/release", take(bodyBytes, s.release)).Methods(http.MethodPost)
	r.HandleFunc("/v1/drain", take(bodyBytes, s.drain)).Methods(http.MethodPost)
	r.HandleFunc("/v1/files", give(s.files)).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", give(s.status)).Methods(http.MethodGet)
	r.HandleFunc("/v1/why", give(s.why)).Methods(http.MethodGet)
	r.HandleFunc("/v1/bills", give(s.bills)).Methods(http.MethodGet)
	r.Handle("/debug/vars", vars).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(missing)
	r.MethodNotAllowedHandler = http.HandlerFunc(missing)
	return s.guard(r)
}

// guard lets requests with the operators' credential pass.
func (s *server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := r.Header.Values("Authorization")
		token := ""
		if len(given) == 1 {
			token, _ = strings.CutPrefix(given[0], "Bearer ")
		}
		if len(given) > 1 || !s.gate.Admits(token) {
			s.logger.Warn("operator refused", "from", r.RemoteAddr, "path", r.URL.Path)
			fault.Write(w, poplar.Failf(poplar.StepAuth, poplar.CodeAuth, "the operators' credential is missing or wrong").Ran(poplar.RunNo))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// missing answers unknown routes and methods.
func missing(w http.ResponseWriter, r *http.Request) {
	fault.Write(w, refuse(poplar.CodeMissing, "no route %s %s", r.Method, r.URL.Path))
}

// refuse returns an error of the parse step that certainly did not run.
func refuse(code poplar.Code, format string, args ...any) error {
	return poplar.Failf(poplar.StepParse, code, format, args...).Ran(poplar.RunNo)
}

// take returns a handler that decodes a body of at most bound bytes and encodes
// the answer of do.
func take[In, Out any](bound int64, do func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := decode(http.MaxBytesReader(w, r.Body, bound), &in); err != nil {
			fault.Write(w, err)
			return
		}
		out, err := do(r.Context(), in)
		answer(w, out, err)
	}
}

// give returns a handler without a body that encodes the answer of do.
func give[Out any](do func(*http.Request) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out, err := do(r)
		answer(w, out, err)
	}
}

// decode reads one JSON value with known fields only and nothing after it.
func decode(body io.Reader, into any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		return refuse(poplar.CodeInvalid, "data after the JSON value")
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refuse(poplar.CodeLarge, "the body has more than %d bytes", large.Limit)
	}
	return refuse(poplar.CodeInvalid, "decode body: %w", err)
}

// answer writes out or the problem.
func answer(w http.ResponseWriter, out any, err error) {
	if err != nil {
		fault.Write(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		return // the operator left; there is nobody to tell
	}
}

// change checks a change against the files in force before it is proposed, so
// that a bad folder never gets a number. A number at or below the revision in
// force here can only be a resend or a lost race, which the log judges.
func (s *server) change(ctx context.Context, change Change) (Applied, error) {
	if err := checkName("by", change.By); err != nil {
		return Applied{}, err
	}
	if len(change.Files) == 0 {
		return Applied{}, refuse(poplar.CodeInvalid, "the change has no files")
	}
	held, err := s.fleet.Files(ctx)
	if err != nil {
		return Applied{}, err
	}
	if change.Number > held.Revision+1 {
		return Applied{}, poplar.Failf(poplar.StepParse, poplar.CodeStale,
			"revision %d is in force at this daemon, so the next number is %d", held.Revision, held.Revision+1).Ran(poplar.RunNo)
	}
	if change.Number == held.Revision+1 {
		if _, err := conf.Merge(Overlay(held.Files, change.Files)); err != nil {
			return Applied{}, refuse(poplar.CodeInvalid, "the folder has strays:\n%w", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, decideTime)
	defer cancel()
	applied, err := s.fleet.Change(ctx, change)
	s.note("change", err, "number", change.Number, "by", change.By, "files", len(change.Files))
	return applied, err
}

// Overlay returns the files in force with a change laid over them.
func Overlay(held map[string]string, change map[string]*string) map[string][]byte {
	files := make(map[string][]byte, len(held)+len(change))
	for name, body := range held {
		files[name] = []byte(body)
	}
	for name, body := range change {
		if body == nil {
			delete(files, name)
			continue
		}
		files[name] = []byte(*body)
	}
	return files
}

// topup checks and grants a top-up.
func (s *server) topup(ctx context.Context, topup Topup) (Topped, error) {
	for _, field := range [][2]string{{"id", topup.ID}, {"by", topup.By}, {"budget", string(topup.Budget)}} {
		if err := checkName(field[0], field[1]); err != nil {
			return Topped{}, err
		}
	}
	if topup.Tokens == 0 || topup.At.IsZero() {
		return Topped{}, refuse(poplar.CodeInvalid, "a top-up needs its tokens and its time")
	}
	ctx, cancel := context.WithTimeout(ctx, decideTime)
	defer cancel()
	topped, err := s.fleet.Topup(ctx, topup)
	s.note("topup", err, "id", topup.ID, "by", topup.By, "budget", topup.Budget, "tokens", topup.Tokens)
	return topped, err
}

// note logs what an operator did and how it went.
func (s *server) note(what string, err error, fields ...any) {
	if err != nil {
		s.logger.Warn(what+" refused", append(fields, "err", err)...)
		return
	}
	s.logger.Info(what, fields...)
}

// checkName refuses an empty or a very long name.
func checkName(field, text string) error {
	if text == "" || len(text) > mostName {
		return refuse(poplar.CodeInvalid, "%s must have 1 to %d bytes", field, mostName)
	}
	return nil
}

func (s *server) release(ctx context.Context, release Release) (nothing, error) {
	if err := checkName("print", release.Print); err != nil {
		return nothing{}, err
	}
	return nothing{}, s.fleet.Release(ctx, release.Print)
}

func (s *server) drain(ctx context.Context, _ nothing) (nothing, error) {
	s.logger.Info("drain asked for by an operator")
	return nothing{}, s.fleet.Drain(ctx)
}

func (s *server) files(r *http.Request) (Files, error) { return s.fleet.Files(r.Context()) }

func (s *server) status(r *http.Request) (Status, error) {
	return s.fleet.Status(r.Context(), StatusQuery{Budget: poplar.Budget(r.URL.Query().Get("budget"))})
}

func (s *server) why(r *http.Request) (Why, error) {
	q := r.URL.Query()
	for _, field := range []string{"workspace", "key"} {
		if q.Get(field) == "" {
			return Why{}, refuse(poplar.CodeInvalid, "%s is missing in the query", field)
		}
	}
	return s.fleet.Why(r.Context(), poplar.NewRequest(poplar.Workspace(q.Get("workspace")), poplar.Key(q.Get("key"))))
}

func (s *server) bills(r *http.Request) (Bills, error) {
	q := r.URL.Query()
	limit := defaultBills
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > MostBills {
			return Bills{}, refuse(poplar.CodeInvalid, "limit must be from 1 to %d, got %q", MostBills, text)
		}
		limit = n
	}
	return s.fleet.Bills(r.Context(), BillQuery{
		Workspace: poplar.Workspace(q.Get("workspace")),
		Budget:    poplar.Budget(q.Get("budget")),
		After:     q.Get("after"),
		Limit:     limit,
	})
}
