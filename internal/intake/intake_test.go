package intake

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/pkg/route"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var zero = time.Unix(1000, 0)

func notice(life, seq uint64) poplar.Announcement {
	return poplar.Announcement{
		Stamp:  poplar.Stamp{Upstream: "e", Incarnation: life, Sequence: seq},
		Domain: "d", Address: "127.0.0.1:1", Kind: poplar.KindEngine, Slots: 1,
	}
}

func leave(life uint64) poplar.Leave {
	return poplar.Leave{Stamp: poplar.Stamp{Upstream: "e", Incarnation: life}}
}

func TestBookOrdersMessages(t *testing.T) {
	b := NewBook()
	steps := []struct {
		name string
		do   func() (bool, error)
		want bool
	}{
		{"first", func() (bool, error) { return b.Announce(notice(1, 1), zero) }, true},
		{"repeated", func() (bool, error) { return b.Announce(notice(1, 1), zero) }, false},
		{"renewed", func() (bool, error) { return b.Announce(notice(1, 3), zero) }, true},
		{"late", func() (bool, error) { return b.Announce(notice(1, 2), zero) }, false},
		{"load", func() (bool, error) { return b.Load(poplar.Load{Stamp: notice(1, 2).Stamp}) }, true},
		{"late load", func() (bool, error) { return b.Load(poplar.Load{Stamp: notice(1, 1).Stamp}) }, false},
		{"restarted", func() (bool, error) { return b.Announce(notice(2, 1), zero) }, true},
		{"load of the old life", func() (bool, error) { return b.Load(poplar.Load{Stamp: notice(1, 9).Stamp}) }, false},
		{"old life", func() (bool, error) { return b.Announce(notice(1, 9), zero) }, false},
		{"late leave of the old life", func() (bool, error) { return b.Leave(leave(1), zero) }, false},
		{"leave", func() (bool, error) { return b.Leave(leave(2), zero) }, true},
		{"renewal that crossed the leave", func() (bool, error) { return b.Announce(notice(2, 7), zero) }, false},
		{"next life", func() (bool, error) { return b.Announce(notice(3, 1), zero) }, true},
	}
	for _, s := range steps {
		got, err := s.do()
		assert.NilError(t, err, s.name)
		assert.Equal(t, got, s.want, s.name)
	}
	_, live := b.Entry("e", zero.Add(RenewWithin-1))
	assert.Assert(t, live)
	_, live = b.Entry("e", zero.Add(RenewWithin))
	assert.Assert(t, !live)
	assert.DeepEqual(t, b.Lapse(zero.Add(RenewWithin)), []poplar.Upstream{"e"})
}

func TestBookTellsGapsOfCacheEvents(t *testing.T) {
	b := NewBook()
	_, err := b.Announce(notice(1, 1), zero)
	assert.NilError(t, err)
	for _, c := range []struct {
		seq     uint64
		gap, ok bool
	}{{1, false, true}, {2, false, true}, {2, false, false}, {5, true, true}, {4, false, false}} {
		gap, ok, err := b.Cached(poplar.Cached{Stamp: notice(1, c.seq).Stamp})
		assert.NilError(t, err)
		assert.Equal(t, gap, c.gap, c.seq)
		assert.Equal(t, ok, c.ok, c.seq)
	}
}

// TestBookNeverRevivesALeaver delivers the messages of some lives in any order
// and any number of times: a life that has left gets no new work.
func TestBookNeverRevivesALeaver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		left := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			life := rapid.Uint64Range(1, 3).Draw(t, "life")
			if rapid.Bool().Draw(t, "leave") {
				_, err := b.Leave(leave(life), zero)
				assert.NilError(t, err)
				left = max(left, life)
			} else {
				_, err := b.Announce(notice(life, rapid.Uint64Range(1, 5).Draw(t, "seq")), zero)
				assert.NilError(t, err)
			}
			if e, ok := b.Entry("e", zero); ok {
				assert.Assert(t, e.Notice().Incarnation > left)
			}
		}
	})
}

// heard records what a desk tells.
type heard struct{ lines []string }

func (h *heard) UpstreamRenewed(n poplar.Announcement, _ time.Time) {
	h.lines = append(h.lines, fmt.Sprint("arrived ", n.Sequence))
}

func (h *heard) LoadReported(l poplar.Load, _ time.Time) {
	h.lines = append(h.lines, fmt.Sprint("load ", l.Running[0]))
}

func (h *heard) Cached(_ poplar.Cached, gap bool) {
	h.lines = append(h.lines, fmt.Sprint("cached ", gap))
}
func (h *heard) UpstreamGone(poplar.Upstream) { h.lines = append(h.lines, "gone") }

// hands is a clock that stands where it is put.
type hands struct{ now time.Time }

func (h *hands) Now() time.Time { return h.now }

func TestDeskAnswers(t *testing.T) {
	ears, clock := &heard{}, &hands{now: zero}
	gate, err := conf.Secret{Hash: conf.HashKey("key").String()}.Gate()
	assert.NilError(t, err)
	d := NewDesk(Config{Clock: clock, Watcher: ears, Gate: gate, Log: log.New(io.Discard)})
	good := `{"up":"e","life":1,"seq":1,"domain":"d","addr":"h:1","kind":"engine","slots":2}`
	cases := []struct {
		name, path, key, body string
		status                int
		detail                string
	}{
		{"good", "/v1/announce", "key", good, 204, ""},
		{"no key", "/v1/announce", "", good, 401, "shared key"},
		{"wrong key", "/v1/announce", "kez", good, 401, "shared key"},
		{"malformed", "/v1/announce", "key", `{"up":`, 400, "unexpected EOF"},
		{"wrong type", "/v1/announce", "key", `{"up":7}`, 400, "cannot unmarshal number"},
		{"two messages", "/v1/announce", "key", good + good, 400, "more than one"},
		{"no address", "/v1/announce", "key", `{"up":"e","life":1,"seq":2,"domain":"d","kind":"engine","slots":2}`, 400, "addr is empty"},
		{"bad address", "/v1/announce", "key", strings.Replace(good, "h:1", "h", 1), 400, "missing port"},
		{"bad kind", "/v1/announce", "key", strings.Replace(good, "engine", "oven", 1), 400, "kind"},
		{"negative load", "/v1/load", "key", `{"up":"e","life":1,"seq":1,"running":[-1,0,0]}`, 400, "negative"},
		{"load", "/v1/load", "key", `{"up":"e","life":1,"seq":1,"running":[4,0,0]}`, 204, ""},
		{"cache", "/v1/cache", "key", `{"up":"e","life":1,"seq":3,"stored":[1]}`, 204, ""},
		{"huge", "/v1/cache", "key", `{"stored":[` + strings.Repeat("1,", maxMessage) + `1]}`, 413, "too large"},
		{"unknown route", "/v1/none", "key", "{}", 404, "not a route"},
		{"leave", "/v1/leave", "key", `{"up":"e","life":1}`, 204, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, c.path, bytes.NewBufferString(c.body))
			r.Header.Set("Authorization", "Bearer "+c.key)
			w := httptest.NewRecorder()
			d.ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.status, w.Body)
			assert.Assert(t, strings.Contains(w.Body.String(), c.detail), w.Body)
		})
	}
	assert.DeepEqual(t, ears.lines, []string{"arrived 1", "load 4", "cached true", "gone"})
	_, err = d.Announce(notice(5, 1))
	assert.NilError(t, err)
	clock.now = zero.Add(RenewWithin)
	d.sweep(clock.now)
	assert.Equal(t, d.Len(), 0)
}

func TestRulesRestrictUpstreams(t *testing.T) {
	policy, err := conf.Merge(map[string][]byte{"a.jsonc": []byte(`{
		"domains": {"d": {}, "other": {}}, "models": {"m": {"tokens": 1}, "n": {"tokens": 1}}, "services": {"s": {}},
		"upstreams": {"e*": {"models": ["m"], "domains": ["d"]}},
	}`)})
	assert.NilError(t, err)
	r := NewRoster("d", route.DefaultSettings())
	inForce := func() *conf.Policy { return policy }
	r.Obey(inForce)
	d := NewDesk(Config{Clock: &hands{now: zero}, Watcher: r, Log: log.New(io.Discard), Policy: inForce})
	for i, c := range []struct {
		name   poplar.Upstream
		domain poplar.Domain
		err    string
	}{{"e1", "d", ""}, {"x", "d", "no rule allows"}, {"e2", "other", "in domain other"}} {
		n := notice(1, uint64(i+1))
		n.Upstream, n.Domain, n.Models, n.Services = c.name, c.domain, []poplar.Model{"m", "n"}, []poplar.Service{"s"}
		_, err := d.Announce(n)
		if c.err != "" {
			assert.ErrorContains(t, err, c.err)
			assert.Equal(t, poplar.CodeOf(err), poplar.CodeDenied)
			r.UpstreamRenewed(n, zero.Add(RenewWithin)) // as another router has spread it
			peer, _ := r.View().Peer(c.name)
			assert.Equal(t, len(peer.Notice().Models)+len(peer.Notice().Services), 0)
			continue
		}
		assert.NilError(t, err)
		peer, _ := r.View().Peer(c.name)
		assert.DeepEqual(t, peer.Notice().Models, []poplar.Model{"m"})
		assert.Equal(t, len(peer.Notice().Services), 0)
	}
}

func FuzzNotice(f *testing.F) {
	f.Add([]byte(`{"up":"e","life":1,"seq":1,"domain":"d","addr":"h:1","kind":"engine","slots":2}`))
	f.Add([]byte(`{"up":"e","life":-1}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		n, err := decode[poplar.Announcement](bytes.NewReader(body))
		if err != nil {
			return
		}
		b := NewBook()
		fresh, err := b.Announce(n, zero)
		assert.Equal(t, fresh, err == nil)
	})
}

func TestRosterFollowsTheDesk(t *testing.T) {
	clock := &hands{now: zero}
	r := NewRoster("d", route.DefaultSettings())
	d := NewDesk(Config{Clock: clock, Watcher: r, Log: log.New(io.Discard)})
	want := func(step string, known, eligible bool) {
		t.Helper()
		r.flush()
		c, ok := r.View().Table().Find("e")
		assert.Equal(t, ok, known, step)
		assert.Equal(t, ok && c.Eligible(clock.now), eligible, step)
	}
	say := func(_ bool, err error) {
		t.Helper()
		assert.NilError(t, err)
	}
	say(d.Announce(notice(1, 1)))
	want("announced", true, true)
	say(d.Load(poplar.Load{Stamp: notice(1, 1).Stamp, Running: [poplar.Ranks]int{0, 3, 0}}))
	want("loaded", true, true)
	c, _ := r.View().Table().Find("e")
	report := c.Report()
	assert.Equal(t, report.Outstanding(poplar.Bulk), 3)
	peer, _ := r.View().Peer("e")
	peer.LocalState().Start(poplar.Normal, 0, clock.now)
	moved := notice(1, 2)
	moved.Address = "127.0.0.1:2"
	say(d.Announce(moved))
	peer, _ = r.View().Peer("e")
	assert.Equal(t, peer.Notice().Address, moved.Address)
	say(d.Leave(leave(1)))
	want("left with a stream open", true, false)
	peer.LocalState().Finish(poplar.Normal, 0, clock.now)
	say(d.Announce(notice(2, 1)))
	want("restarted", true, true)
	clock.now = clock.now.Add(RenewWithin)
	want("silent, before any sweep", true, false)
	d.sweep(clock.now)
	r.dirty = true
	want("swept", false, false)
}
