package member_test

import (
	"fmt"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/member"
)

// Two daemons of one domain: an upstream announces itself to one of them, and
// the other may give it work.
func Example() {
	now := time.Unix(1_000_000, 0)
	east := member.New(member.Config{Name: "east", Domain: "z", Address: "10.0.0.1:7", Incarnation: 1}, now)
	west := member.New(member.Config{Name: "west", Domain: "z", Address: "10.0.0.2:7", Incarnation: 1, Seeds: []string{"10.0.0.1:7"}}, now)
	machines := map[string]*member.Machine{"10.0.0.1:7": east, "10.0.0.2:7": west}
	deliver := func(from poplar.Daemon, out []member.Envelope) {
		for len(out) > 0 {
			answer, _ := machines[out[0].Address].Step(from, out[0].Data, now)
			out = append(out[1:], answer...)
		}
	}
	for i := range 20 {
		now = now.Add(member.RoundInterval)
		west.Announce(poplar.Announcement{
			Stamp:  poplar.Stamp{Upstream: "engine-1", Incarnation: 1, Sequence: uint64(i + 1)},
			Domain: "z", Address: "10.0.1.1:80", Kind: poplar.KindEngine, Slots: 8,
		}, now)
		deliver("west", west.Tick(now))
		deliver("east", east.Tick(now))
	}
	for _, u := range east.View().Upstreams {
		fmt.Println(u.Notice.Upstream, "at", u.Notice.Address, "by", u.Owner)
	}
	// Output:
	// engine-1 at 10.0.1.1:80 by west
}
