package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/member"
)

// FuzzStep passes arbitrary bytes to a machine. It must neither panic nor stop
// sending, and must reject malformed messages as invalid.
func FuzzStep(f *testing.F) {
	now := time.Unix(1_000_000, 0)
	machine := func(name poplar.Daemon, seeds ...string) *member.Machine {
		return member.New(member.Config{Name: name, Domain: "z", Address: string(name), Incarnation: 1, Seeds: seeds}, now)
	}
	a := machine("a", "b")
	a.Announce(poplar.Announcement{
		Stamp: poplar.Stamp{Upstream: "u", Incarnation: 1, Sequence: 1}, Domain: "z", Address: "x:1", Kind: poplar.KindEngine, Slots: 1,
	}, now)
	b := machine("b")
	at := now
	for i := range 40 {
		at = at.Add(member.RoundInterval)
		out := a.Tick(at)
		if i%20 == 0 {
			out = append(out, a.Leave(poplar.Leave{Stamp: poplar.Stamp{Upstream: "v", Incarnation: uint64(i + 1)}}, at)...)
		}
		for _, e := range append(out, b.Tick(at)...) {
			f.Add(e.Data)
			if e.To == "a" {
				answer, err := a.Step("b", e.Data, at)
				assert.NilError(f, err)
				out = append(out, answer...)
				continue
			}
			answer, err := b.Step("a", e.Data, at)
			assert.NilError(f, err)
			for _, r := range answer {
				f.Add(r.Data)
				_, err := a.Step("b", r.Data, at)
				assert.NilError(f, err)
			}
		}
	}
	f.Add([]byte{1, 63, 0, 0, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := machine("b", "a")
		m.Tick(now)
		for range 2 {
			if _, err := m.Step("x", data, now); err != nil {
				assert.Equal(t, poplar.CodeOf(err), poplar.CodeInvalid)
			}
		}
		assert.Assert(t, len(m.Tick(now.Add(2*time.Second))) > 0, "the machine stopped sending")
		for _, u := range m.View().Upstreams {
			assert.Assert(t, u.Due.After(now))
		}
	})
}
