package peer

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarbend.example/poplar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts a peer listener and returns a pool that knows it as "b".
func serve(t *testing.T, serverToken, clientToken string, methods Methods) *Pool {
	t.Helper()
	s := httptest.NewServer(NewServer("b", serverToken, methods))
	pool := NewPool("a", clientToken, &Meter{})
	pool.Route([]Address{NewAddress("b", strings.TrimPrefix(s.URL, "http://"))})
	t.Cleanup(func() {
		pool.Close()
		s.Close()
	})
	return pool
}

func TestCallKeepsErrorsAcrossTheHop(t *testing.T) {
	retry := time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)
	var methods Methods
	methods[OpReserve] = Handle(func(_ context.Context, from poplar.Daemon, ask poplar.ReserveRequest) (poplar.Grant, error) {
		if ask.MaxTokens > 10 {
			return poplar.Grant{}, poplar.Failf(poplar.StepReserve, poplar.CodeBudget, "9 left").
				Ran(poplar.RunNo).After(retry)
		}
		return poplar.Grant{Verdict: poplar.VerdictRun, Router: from}, nil
	})
	pool := serve(t, "secret", "secret", methods)

	grant, err := Call[poplar.ReserveRequest, poplar.Grant](t.Context(), pool, "b", OpReserve, poplar.ReserveRequest{MaxTokens: 1})
	assert.NilError(t, err)
	assert.Equal(t, grant.Router, poplar.Daemon("a"))

	_, err = Call[poplar.ReserveRequest, poplar.Grant](t.Context(), pool, "b", OpReserve, poplar.ReserveRequest{MaxTokens: 11})
	var e *poplar.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Error(t, err, "reserve at b: budget: 9 left")
	assert.Equal(t, e.Run(), poplar.RunNo)
	assert.Assert(t, e.Retry().Equal(retry))
}

func TestRunStateOfFailedCalls(t *testing.T) {
	pool := serve(t, "secret", "wrong", Methods{})
	_, err := Call[int, int](t.Context(), pool, "b", OpStep, 1)
	assert.Equal(t, poplar.CodeOf(err), poplar.CodeUnreachable)

	_, err = Call[int, int](t.Context(), pool, "nobody", OpStep, 1)
	var e *poplar.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Run(), poplar.RunNo)

	pool.Route([]Address{NewAddress("dead", "127.0.0.1:1")})
	_, err = Call[int, int](t.Context(), pool, "dead", OpStep, 1)
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Run(), poplar.RunNo)
}

// silent is the reach of a daemon whose calls wait in vain for a connection.
type silent struct{ Everyone }

func (silent) Send(ctx context.Context, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}

// A deadline that passes before a connection stands leaves no doubt: the peer
// saw nothing.
func TestDeadlineBeforeTheConnectionIsNotRun(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	pool := serve(t, "", "", Methods{})
	_, err := Call[int, int](ended, pool, "b", OpStep, 1)
	assert.Equal(t, poplar.RunOf(err), poplar.RunNo, "the call began too late: %v", err)

	waiting := NewPoolOver(silent{}, "a", "", &Meter{})
	defer waiting.Close()
	waiting.Route([]Address{NewAddress("b", "127.0.0.1:1")})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = Call[int, int](ctx, waiting, "b", OpStep, 1)
	assert.Equal(t, poplar.RunOf(err), poplar.RunNo, "no connection was made: %v", err)
}

func TestLostAnswerIsUnknown(t *testing.T) {
	var methods Methods
	release := make(chan struct{})
	methods[OpSettle] = Handle(func(context.Context, poplar.Daemon, int) (int, error) {
		<-release
		return 0, nil
	})
	pool := serve(t, "", "", methods)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := Call[int, int](ctx, pool, "b", OpSettle, 1)
	close(release)
	var e *poplar.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Run(), poplar.RunUnknown)
}

func TestTrafficIsCountedByOperation(t *testing.T) {
	var methods Methods
	methods[OpSettle] = Handle(func(context.Context, poplar.Daemon, string) (string, error) { return "done", nil })
	meter := new(Meter)
	s := httptest.NewServer(NewServer("b", "", methods))
	defer s.Close()
	pool := NewPool("a", "", meter)
	defer pool.Close()
	pool.Route([]Address{NewAddress("b", s.Listener.Addr().String())})
	for range 2 {
		_, err := Call[string, string](t.Context(), pool, "b", OpSettle, "ask")
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, meter.Traffic(), map[string]Traffic{"settle": {Messages: 2, Sent: 2 * 5, Received: 2 * 6}})
	for op, name := range names {
		assert.Assert(t, name != "", "operation %d has no name", op)
	}
}

func TestOutboxDeliversInBatches(t *testing.T) {
	var got atomic.Int64
	var methods Methods
	methods[OpStep] = Handle(func(_ context.Context, _ poplar.Daemon, batch []int) (struct{}, error) {
		got.Add(int64(len(batch)))
		return struct{}{}, nil
	})
	pool := serve(t, "", "", methods)
	box := NewOutbox[int](pool, OpStep)
	defer box.Close()
	for i := range 300 {
		box.Send("b", i)
		box.Send("nobody", i)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got.Load() == 300 {
			return poll.Success()
		}
		return poll.Continue("%d of 300", got.Load())
	})
}

// TestCallsCarryOnlyWhatIsRead looks at the headers of a call and its answer.
func TestCallsCarryOnlyWhatIsRead(t *testing.T) {
	var m Methods
	m[OpSettle] = Handle(func(context.Context, poplar.Daemon, struct{}) (struct{}, error) { return struct{}{}, nil })
	inner := NewServer("b", "", m)
	var call, answer http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call = r.Header.Clone()
		inner.ServeHTTP(w, r)
		answer = w.Header()
	}))
	defer s.Close()
	pool := NewPool("a", "", nil)
	defer pool.Close()
	_, err := Call[struct{}, struct{}](t.Context(), pool, Seed(s.Listener.Addr().String()), OpSettle, struct{}{})
	assert.NilError(t, err)
	assert.DeepEqual(t, slices.Sorted(maps.Keys(call)), []string{"Content-Length", "Content-Type"})
	assert.Assert(t, answer["Date"] == nil)
}
