package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/roster"
)

// restart tells the router that an upstream has started again.
func (r *rig) restart(name poplar.Upstream) {
	var entries []roster.Entry
	for service, group := range r.proxy.view.Load().services {
		for _, u := range group {
			n := roster.Notice{
				Name: u.name, Service: service, Address: u.address, Domain: u.domain, Slots: u.slots,
				State: roster.StateReady, Born: u.born,
			}
			if u.name == name {
				n.Born++
			}
			entries = append(entries, roster.Entry{Notice: n})
		}
	}
	r.proxy.list(entries)
}

// TestCrashingRequestIsStopped sends a request that crashes each upstream that
// runs it. The third time it is refused, in any attempt of its caller; another
// request is not.
func TestCrashingRequestIsStopped(t *testing.T) {
	r := newRig(t, script{"a": {"reset", "reset", "ok"}})
	for n := range 2 {
		got := r.call(t.Context(), http.MethodPost, "unsafe", "k")
		assert.Equal(t, got.status, http.StatusBadGateway, "attempt %d", n)
		r.restart("a")
	}
	got := r.call(t.Context(), http.MethodPost, "unsafe", "k", "Id", "another")
	assert.Equal(t, got.status, http.StatusServiceUnavailable, "not run")
	assert.Equal(t, len(r.arrivals()), 2)
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "safe", "k").status, http.StatusOK)
	assert.Equal(t, len(r.proxy.suspects.unsent()), 2, "control daemons are told of both crashes")
}

// TestLostAnswersAreNoCrashes loses answers of an upstream that goes on.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	r := newRig(t, script{"a": {"reset"}})
	for range 5 {
		assert.Equal(t, r.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusBadGateway)
	}
	assert.Equal(t, len(r.arrivals()), 5)
}

// TestWholeAnswerClearsASuspect lets a request run to its end between two crashes
// that it happened to stand beside.
func TestWholeAnswerClearsASuspect(t *testing.T) {
	r := newRig(t, script{"a": {"reset", "ok", "reset", "ok"}})
	for _, want := range []int{http.StatusBadGateway, http.StatusOK, http.StatusBadGateway, http.StatusOK} {
		assert.Equal(t, r.call(t.Context(), http.MethodPost, "unsafe", "k").status, want)
		if want == http.StatusBadGateway {
			r.restart("a")
		}
		time.Sleep(2 * time.Millisecond) // records are ordered by time
	}
	assert.Equal(t, len(r.proxy.suspects.unsent()), 4, "two crashes, each cleared once")
	assert.Equal(t, r.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusOK)
	assert.Equal(t, len(r.proxy.suspects.unsent()), 0, "nothing stood against it any more")
}

// TestRoutersShareSuspects has one router learn from another what crashed.
func TestRoutersShareSuspects(t *testing.T) {
	one, other := newRig(t, script{"a": {"reset"}}), newRig(t, script{"b": {"reset"}})
	for _, r := range []*rig{one, other} {
		assert.Equal(t, r.call(t.Context(), http.MethodPost, "unsafe", "k").status, http.StatusBadGateway)
	}
	one.restart("a")
	other.restart("b")
	other.proxy.suspects.learn(one.proxy.suspects.unsent())
	got := other.call(t.Context(), http.MethodPost, "unsafe", "k")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(other.arrivals()), 1)
}
