package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar/pkg/memory"
)

// TestEndlessAnswersLeaveOthersWhole guards against an upstream whose answers have no end
// and take the memory for the answers of another one. All requests must get the answer of
// the sound upstream, and what the router holds must stay within its limit.
func TestEndlessAnswersLeaveOthersWhole(t *testing.T) {
	const limit, size, requests = 1 << 20, 100_000, 12
	for _, c := range []struct{ kind, endless, sound string }{
		{"safe", "flood", "long"},
		{"resumable", "endless", "event"},
	} {
		t.Run(c.kind, func(t *testing.T) {
			h := newHarnessWithMemory(t, script{"a": {c.endless}, "b": {fmt.Sprintf("%s %d", c.sound, size)}}, limit)
			watch := &memoryWatch{limit: h.proxy.answers, stop: make(chan struct{}), most: make(chan int64)}
			go watch.run()
			var done sync.WaitGroup
			for i := range requests {
				done.Go(func() {
					got := h.call(t.Context(), http.MethodPost, c.kind, "k", "Id", fmt.Sprint(i))
					assert.Check(t, got.err)
					assert.Check(t, got.status == http.StatusOK && strings.Count(got.body, "x") == size, "status %d, %d bytes", got.status, len(got.body))
				})
			}
			done.Wait()
			close(watch.stop)
			most := <-watch.most
			assert.Assert(t, most <= limit, "%d bytes", most)
			for end := time.Now().Add(testTimeout); h.proxy.answers.Used() > 0; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end), "%d bytes are not given back", h.proxy.answers.Used())
			}
		})
	}
}

// memoryWatch watches the memory that is held until it is stopped.
type memoryWatch struct {
	limit *memory.Limit
	stop  chan struct{}
	most  chan int64 // yields the most memory that was seen
}

func (w *memoryWatch) run() {
	most := int64(0)
	for {
		most = max(most, w.limit.Used())
		select {
		case <-w.stop:
			w.most <- most
			return
		case <-time.After(100 * time.Microsecond):
		}
	}
}

// TestLongAnswerIsWhole sends answers of all sizes around those of blocks through the
// router.
func TestLongAnswerIsWhole(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, 100_000, 3 << 20} {
		h := newHarness(t, script{"a": {fmt.Sprint("long ", size)}})
		for range 2 {
			got := h.call(t.Context(), http.MethodPost, "unsafe", "k")
			assert.NilError(t, got.err)
			assert.Equal(t, len(got.body), size)
			assert.Equal(t, strings.Count(got.body, "x"), size)
		}
		assert.Equal(t, h.proxy.answers.Used(), int64(0))
	}
}
