package demo

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fault"
)

// TestCallerReturnsAsToldToDo refuses a request with a time to return, whatever
// its run state, and then without one.
func TestCallerReturnsAsToldToDo(t *testing.T) {
	refusals := []*poplar.Error{
		poplar.Failf(poplar.StepReserve, poplar.CodeBusy, "no share yet").Ran(poplar.RunNo).After(time.Now().Add(10 * time.Millisecond)),
		poplar.Failf(poplar.StepReserve, poplar.CodeOpen, "still running").After(time.Now().Add(10 * time.Millisecond)),
		poplar.Failf(poplar.StepReserve, poplar.CodeBudget, "too little is left").Ran(poplar.RunNo),
	}
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fault.Write(w, refusals[calls])
		calls++
	}))
	defer server.Close()
	s := &story{out: io.Discard, http: server.Client()}
	got, err := s.insist(t.Context(), server.URL, "key", "k", "{}")
	assert.NilError(t, err)
	assert.Equal(t, got.problem.Code(), poplar.CodeBudget)
	assert.Equal(t, calls, 3)
}
