package proxy

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/pace"
	"poplarbend.example/poplar/pkg/poison"
)

// forgetful is a control daemon that restarts without its memory.
type forgetful struct {
	incarnation     atomic.Uint64
	watches         atomic.Int64
	crashes, limits atomic.Int64 // records that it was told
}

func (f *forgetful) methods() peer.Methods {
	var m peer.Methods
	m[core.OpWatch] = peer.Handle(func(context.Context, poplar.Daemon, core.Watch) (core.WatchResponse, error) {
		f.watches.Add(1)
		time.Sleep(time.Millisecond)
		return core.WatchResponse{Incarnation: f.incarnation.Load(), FollowsLog: true}, nil
	})
	m[core.OpPoison] = peer.Handle(func(_ context.Context, _ poplar.Daemon, records []poison.Record) (struct{}, error) {
		f.crashes.Add(int64(len(records)))
		return struct{}{}, nil
	})
	m[core.OpLimits] = peer.Handle(func(_ context.Context, _ poplar.Daemon, records []pace.Limit) (struct{}, error) {
		f.limits.Add(int64(len(records)))
		return struct{}{}, nil
	})
	return m
}

// TestRestartedDaemonIsToldAgain restarts a control daemon, which knows nothing of the crashes and
// limits that routers reported. It guards against a request that crashes upstreams and is let
// through by routers that start later.
func TestRestartedDaemonIsToldAgain(t *testing.T) {
	h := newHarness(t, script{"a": {"ok"}})
	f := &forgetful{}
	f.incarnation.Store(1)
	server := httptest.NewServer(peer.NewServer("core", "", f.methods()))
	t.Cleanup(server.Close)
	h.proxy.AddSeeds([]string{strings.TrimPrefix(server.URL, "http://")})
	await(t, func() bool { return f.watches.Load() > 2 })
	now := time.Now()
	crash := poison.Crash{Upstream: "a", Incarnation: 1, At: now}
	h.proxy.suspects.learn([]poison.Record{{Fingerprint: 7, Crashes: []poison.Crash{crash}}})
	h.proxy.learnLimits([]pace.Limit{{Run: pace.Run{Upstream: "a"}, Number: 1, Rate: 5}})
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, f.crashes.Load()+f.limits.Load(), int64(0), "the daemon has told it and has not restarted")
	f.incarnation.Store(2)
	await(t, func() bool { return f.crashes.Load() == 1 && f.limits.Load() == 1 })
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, f.crashes.Load()+f.limits.Load(), int64(2), "it is told once")
}
