package edge

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/internal/fake"
	meters "poplarbend.example/poplar/internal/trace"
)

// TestTimingsByRank checks the latency metrics by rank. A refused request
// counts in neither metric, a broken stream only for the first token, and a
// replayed response only as complete.
func TestTimingsByRank(t *testing.T) {
	h := newHarness(t, 2000)
	h.vars = meters.NewVars()
	e, s := h.startDaemon("a")
	engine := h.startEngine(fake.Settings{Name: "e", Step: time.Millisecond, NoResume: true})
	key := []string{"X-Rank", "bulk", "Idempotency-Key", "k"}
	for range 2 {
		assert.Assert(t, readStream(h.request(s, "POST", "/v1/completions", completionBody(20), key...).Body).done)
	}
	assert.Assert(t, readStream(h.postCompletion(s, completionBody(3)).Body).done)
	assert.Equal(t, h.postCompletion(s, `{"model":"big","prompt":"x"}`).StatusCode, 404)
	broken := h.postCompletion(s, completionBody(900))
	_, err := io.ReadFull(broken.Body, make([]byte, 200))
	assert.NilError(t, err)
	engine.Kill()
	assert.Assert(t, !readStream(broken.Body).done)
	eventually(t, "the requests to end", func() bool { return e.Open() == 0 })

	type times struct{ Count, Micros int64 }
	var got struct {
		Poplarbend struct{ First, Whole map[string]times }
	}
	page := httptest.NewRecorder()
	h.vars.ServeHTTP(page, nil)
	assert.NilError(t, json.Unmarshal(page.Body.Bytes(), &got))
	first, complete := got.Poplarbend.First, got.Poplarbend.Whole
	assert.DeepEqual(t, []int64{first["urgent"].Count, first["normal"].Count, first["bulk"].Count}, []int64{0, 2, 1})
	assert.DeepEqual(t, []int64{complete["urgent"].Count, complete["normal"].Count, complete["bulk"].Count}, []int64{0, 1, 2})
	assert.Assert(t, first["bulk"].Micros > 0 && complete["bulk"].Micros > first["bulk"].Micros, "%+v", got)
}
