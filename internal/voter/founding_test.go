package voter

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/quorum"
)

// TestFounding runs founders with lost hellos, restarts and replaced disks, also with settings
// that no longer say that the fleet starts for the first time. A
// second log may start only when every disk present at the start of the first
// one has been replaced.
func TestFounding(t *testing.T) {
	names := []poplar.Daemon{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var disks [3]founding
		var hosts [3]*founder
		incarnations := uint64(0)
		startFounder := func(i int, fresh, join bool) {
			self := quorum.Member{Name: names[i], Incarnation: incarnations + 1}
			if fresh {
				incarnations++
				disks[i] = founding{}
				if !join {
					disks[i].Names = names
				}
			} else {
				self = hosts[i].self
			}
			hosts[i] = newFounder(self, names, disks[i])
			hosts[i].joinOnly = join && !disks[i].founds(self)
		}
		for i := range hosts {
			startFounder(i, true, false)
		}
		deliverHello := func(from, to int) {
			if from != to && hosts[to].step(hosts[from].self, *hosts[from].hello(false)) {
				disks[to] = hosts[to].founding
			}
		}
		// startedWith maps each started log to the disks present when it
		// started.
		startedWith := map[string][]uint64{}
		t.Repeat(map[string]func(*rapid.T){
			"tell": func(t *rapid.T) {
				deliverHello(rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to"))
			},
			"restart": func(t *rapid.T) {
				startFounder(rapid.IntRange(0, 2).Draw(t, "host"), false, rapid.Bool().Draw(t, "join"))
			},
			"replace": func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "rare") == 0 {
					startFounder(rapid.IntRange(0, 2).Draw(t, "host"), true, rapid.Bool().Draw(t, "join"))
				}
			},
			"": func(t *rapid.T) {
				var present []uint64
				for _, h := range hosts {
					present = append(present, h.self.Incarnation)
				}
				for _, d := range disks {
					list := fmt.Sprint(d.Founders)
					if !d.Started || startedWith[list] != nil {
						continue
					}
					for other, disksAtStart := range startedWith {
						for i := range disksAtStart {
							assert.Assert(t, disksAtStart[i] != present[i], "%v is started although a disk of %v is still present", list, other)
						}
					}
					startedWith[list] = present
				}
			},
		})
		if incarnations == 3 {
			for i := range 36 {
				deliverHello(i/3%3, i%3)
			}
			for _, h := range hosts {
				assert.Assert(t, h.founding.Started)
			}
		}
	})
}

// TestFoundingWithLostDisk replaces a disk between adoption and start. The log
// starts, but the member on the new disk is not one of its voters.
func TestFoundingWithLostDisk(t *testing.T) {
	names := []poplar.Daemon{"a", "b"}
	a := newFounder(quorum.Member{Name: "a", Incarnation: 1}, names, founding{})
	b := newFounder(quorum.Member{Name: "b", Incarnation: 2}, names, founding{})
	assert.Assert(t, a.step(b.self, *b.hello(false)))
	assert.Assert(t, !a.founding.Started)
	b = newFounder(quorum.Member{Name: "b", Incarnation: 3}, names, founding{})
	assert.Assert(t, b.step(a.self, *a.hello(false)))
	assert.Assert(t, a.step(b.self, *b.hello(false)))
	assert.Assert(t, a.founding.Started)
	assert.Assert(t, b.step(a.self, *a.hello(false)))
	im := image{Self: b.self, Found: b.founding}
	assert.Equal(t, len(im.recovered().Snapshot.Members.Voters), 0)
	// A member of another log is detected as a conflict, and its list is not
	// adopted.
	foreign := quorum.Hello{Founders: []quorum.Member{{Name: "a", Incarnation: 9}}, Started: true}
	c := newFounder(b.self, names, founding{Founders: b.founding.Founders})
	assert.Assert(t, !c.step(quorum.Member{Name: "a", Incarnation: 9}, foreign))
	assert.Assert(t, c.conflict)
}

func TestNextRepair(t *testing.T) {
	a, b, old, fresh := quorum.Member{Name: "a", Incarnation: 1}, quorum.Member{Name: "b", Incarnation: 1}, quorum.Member{Name: "c", Incarnation: 1}, quorum.Member{Name: "c", Incarnation: 2}
	staleLearner := quorum.Member{Name: "c", Incarnation: 9}
	full := quorum.NewMembers(a, b, old)
	learning := quorum.Membership{Voters: full.Voters, Learners: []quorum.Member{fresh}}
	for name, c := range map[string]struct {
		set     quorum.Membership
		silent  []quorum.Member
		keepsUp bool
		want    string
	}{
		"old incarnation is not silent": {full, nil, false, ""},
		"learn":                         {full, []quorum.Member{old}, false, "learn c#2"},
		"still lags":                    {learning, []quorum.Member{old}, false, ""},
		"old incarnation returned":      {learning, nil, true, ""},
		"remove":                        {learning, []quorum.Member{old}, true, "remove c#1"},
		"promote":                       {quorum.Membership{Voters: []quorum.Member{a, b}, Learners: []quorum.Member{fresh}}, nil, true, "promote c#2"},
		"unknown daemon":                {quorum.NewMembers(a, b), nil, false, ""},
		"remove a stale learner": {
			quorum.Membership{Voters: full.Voters, Learners: []quorum.Member{staleLearner}},
			[]quorum.Member{old, staleLearner},
			false, "remove c#9",
		},
	} {
		change, due := nextRepair(membershipView{
			members: c.set, joiners: []quorum.Member{fresh},
			silent:  func(m quorum.Member) bool { return slices.Contains(c.silent, m) },
			keepsUp: func(quorum.Member) bool { return c.keepsUp },
		})
		got := ""
		if due {
			got = fmt.Sprintf("%s %v", change.Action, change.Member)
		}
		assert.Equal(t, got, c.want, name)
	}
}
