package daemon

import (
	"context"
	"fmt"
	"io"
	stdnet "net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/internal/issuer"
	"poplarbend.example/poplar/internal/oper"
	"poplarbend.example/poplar/pkg/order"
)

// ports returns n free loopback addresses.
func ports(t *testing.T, n int) []string {
	var all []string
	for range n {
		l, err := stdnet.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		all = append(all, l.Addr().String())
	}
	return all
}

// pair starts a voter and a router of one domain and returns them with their
// operators' interfaces and the addresses of their upstreams' listeners.
func pair(t *testing.T) (daemons []*Daemon, clients []*oper.Client, upstreams []string) {
	dir, free := t.TempDir(), ports(t, 8)
	for i, data := range []string{`"data": "data",`, ""} {
		path := filepath.Join(dir, fmt.Sprint("d-", i, ".jsonc"))
		text := fmt.Sprintf(`{"name": "d-%d", "domain": "d", %s "peers": [%q, %q], "voters": {"d-0": %q}, "ledgers": {"d": ["d-0"]},
			"listen": {"peers": %q, "upstreams": %q, "operators": %q, "callers": %q}, "drain": "1s"}`,
			i, data, free[0], free[4], free[0], free[4*i], free[4*i+1], free[4*i+2], free[4*i+3])
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		settings, err := conf.Load(path)
		assert.NilError(t, err)
		d, err := New(settings, io.Discard)
		assert.NilError(t, err)
		assert.NilError(t, d.Start(context.Background()))
		c, err := oper.Dial(free[4*i+2], "")
		assert.NilError(t, err)
		daemons, clients, upstreams = append(daemons, d), append(clients, c), append(upstreams, free[4*i+1])
	}
	return daemons, clients, upstreams
}

// until waits for a condition of the running parts.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s: not yet", what)
	}, poll.WithTimeout(40*time.Second), poll.WithDelay(100*time.Millisecond))
}

// TestDaemonsOrderEngines places a model in the folder of a running domain: one
// daemon takes the lease and an engine loads it; every daemon's status shows the
// issuer, and a planned stop hands the lease over.
func TestDaemonsOrderEngines(t *testing.T) {
	daemons, clients, upstreams := pair(t)
	var engines []*fake.Engine
	for i := range 2 {
		e, err := fake.StartEngine(fake.Settings{
			Name: poplar.Upstream(fmt.Sprint("e", i)), Domain: "d", Announce: upstreams, Bare: true, Fenced: true, Memory: 10,
			Sizes: map[poplar.Model]float64{"a": 10},
		})
		assert.NilError(t, err)
		defer e.Kill()
		engines = append(engines, e)
	}
	lease := func(d *Daemon) poplar.Daemon {
		l := d.mirror.Lease(issuer.Topic("d"))
		if l.Release {
			return ""
		}
		return l.Holder
	}
	place := `{"domains": {"d": {}}, "models": {"a": {"tokens": 9, "size": 10, "version": "7", "least": 1}}, "upstreams": {"e*": {}}}`
	until(t, "the folder", func() bool {
		change := oper.Change{Number: 1, By: "t", Files: map[string]*string{"a.json": &place}}
		_, err := clients[0].Change(context.Background(), change)
		return err == nil
	})
	until(t, "the load", func() bool { return len(engines[0].Announcement().Loaded)+len(engines[1].Announcement().Loaded) == 1 })
	until(t, "the status", func() bool {
		s, err := clients[1].Status(context.Background(), oper.StatusQuery{})
		return err == nil && len(s.Issuers) == 1 && s.Issuers[0].Fence == 1 && s.Issuers[0].Contact != nil && len(s.Issuers[0].Orders) == 0
	})
	if lease(daemons[0]) == "d-0" {
		assert.NilError(t, daemons[1].Stop(context.Background()))
		assert.Equal(t, lease(daemons[0]), poplar.Daemon("d-0"), "a router's stop changes nothing")
		assert.NilError(t, daemons[0].Stop(context.Background()))
		return
	}
	assert.NilError(t, daemons[1].Stop(context.Background()))
	until(t, "the next issuer", func() bool { return lease(daemons[0]) == "d-0" })
	assert.NilError(t, daemons[0].Stop(context.Background()))
}

// TestEngineOfHidesWhatIsNotPlaced checks what the planner sees of an engine:
// models that are not placed take memory only, and what a rule does not allow
// is barred.
func TestEngineOfHidesWhatIsNotPlaced(t *testing.T) {
	policy, err := conf.Merge(map[string][]byte{"a.json": []byte(`{
		"models": {
			"a": {"tokens": 9, "size": 4, "most": 1},
			"b": {"tokens": 9, "size": 3, "most": 1},
			"c": {"tokens": 9, "size": 2},
		},
		"upstreams": {"e*": {"models": ["a", "c"], "fences": true}},
	}`)})
	assert.NilError(t, err)
	rule, _ := policy.Upstream("e1")
	got := engineOf(poplar.Announcement{
		Stamp: poplar.Stamp{Upstream: "e1"}, Domain: "d", Memory: 10, Slots: 4,
		Loaded: []poplar.Loaded{{Model: "a", Version: "1"}, {Model: "c"}, {Model: "dropped"}},
	}, rule, policy)
	assert.DeepEqual(t, got, order.Engine{
		Name: "e1", Domain: "d", Memory: 8, Slots: 4, Fenced: true,
		Loaded: []order.Loaded{{Model: "a", Version: "1"}, {Model: "dropped"}}, Forbidden: []poplar.Model{"b"},
	})
}
