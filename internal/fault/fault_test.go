package fault_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fault"
)

func TestWriteAndReadKeepEveryField(t *testing.T) {
	retry := time.Now().Add(90 * time.Second).UTC().Truncate(time.Second)
	for _, code := range []poplar.Code{poplar.CodeBudget, poplar.CodeBusy, poplar.CodeAuth, poplar.CodeConflict} {
		sent := poplar.Failf(poplar.StepAdmit, code, "queue is long").At("yaba-1").Ran(poplar.RunNo).After(retry)
		w := httptest.NewRecorder()
		fault.Write(w, fmt.Errorf("serve: %w", sent))
		resp := w.Result()
		assert.Equal(t, resp.StatusCode, fault.Status(code))
		assert.Assert(t, resp.Header.Get("Retry-After") == "90" || resp.Header.Get("Retry-After") == "89")
		got := fault.Read(resp)
		assert.Equal(t, got.Error(), sent.Error())
		assert.Equal(t, got.Run(), poplar.RunNo)
		assert.Assert(t, got.Retry().Equal(retry))
	}
}

func TestForeignErrorIsInternalAndHidden(t *testing.T) {
	p := fault.Describe(errors.New("key pb-123 leaked"))
	assert.Equal(t, p.Code, poplar.CodeInternal)
	assert.Equal(t, p.Run, poplar.RunUnknown)
	assert.Equal(t, p.Detail, "")
	assert.Equal(t, p.Status, http.StatusInternalServerError)
}

func TestReadOfOtherBodiesIsUnknown(t *testing.T) {
	for _, kind := range []string{"text/html", fault.MediaType} {
		w := httptest.NewRecorder()
		w.Header().Set("Content-Type", kind)
		w.WriteHeader(http.StatusBadGateway)
		fmt.Fprint(w, "<html>")
		got := fault.Read(w.Result())
		assert.Equal(t, got.Code(), poplar.CodeUpstream)
		assert.Equal(t, got.Run(), poplar.RunUnknown)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"code":"budget","run":"no","retry":"2026-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"run":"maybe"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		e := fault.Decode(body)
		again := fault.Decode(fault.Encode(e))
		assert.Equal(t, again.Code(), e.Code())
		assert.Equal(t, again.Run(), e.Run())
	})
}
