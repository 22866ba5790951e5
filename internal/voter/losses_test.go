package voter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"poplarbend.example/poplar"
)

// courses is the number of courses of TestVotersReturnAfterLosses.
var courses = flag.Uint64("courses", 8, "random courses of losses")

// losses are the ways to lose a daemon, with the events by which it returns.
var losses = [][2]string{{"wipe", "start"}, {"power", "start"}, {"cut", "mend"}}

// drawCourse draws a course of events in the form of testdata/readmit.txt. Two daemons at a
// time are lost, at the same time or one after the other, until all five vote again. In the
// end two lose their disks and all the others lose power.
func drawCourse(rng *rand.Rand, names []poplar.Daemon) []string {
	var course []string
	add := func(verb string, name poplar.Daemon) {
		course = append(course, fmt.Sprintf("wait %d", rng.IntN(300)), fmt.Sprintf("%s %s", verb, name))
	}
	shuffled := func() []poplar.Daemon {
		order := slices.Clone(names)
		rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		return order
	}
	add("load", shuffled()[0])
	for range 3 {
		order := shuffled()
		if rng.IntN(2) == 0 {
			add("lead", order[rng.IntN(len(order))])
		}
		first, second := losses[rng.IntN(len(losses))], losses[rng.IntN(len(losses))]
		add(first[0], order[0])
		if rng.IntN(2) == 0 {
			add(second[0], order[1])
			add(first[1], order[0])
		} else {
			add(first[1], order[0])
			add(second[0], order[1])
		}
		add(second[1], order[1])
		course = append(course, "voters")
	}
	order := shuffled()
	add("wipe", order[0])
	course = append(course, "wipe "+string(order[1]))
	for _, name := range order[2:] {
		course = append(course, "power "+string(name))
	}
	for _, name := range shuffled() {
		add("start", name)
	}
	return append(course, "voters")
}

// TestVotersReturnAfterLosses plays random courses of losses, of two daemons at most at the
// same time, while entries are committed and disks differ. Each time all five must vote again:
// one that does not leaves too few voters at the next loss.
func TestVotersReturnAfterLosses(t *testing.T) {
	for seed := range *courses {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 45))
			f := newFleetOfFive(t, []string{"abc", "bce", "ade", "abcde"}[rng.IntN(4)])
			f.syncTime = map[poplar.Daemon]time.Duration{}
			for _, name := range f.names {
				f.syncTime[name] = time.Duration(rng.IntN(12)) * time.Millisecond
			}
			course := drawCourse(rng, f.names)
			defer func() {
				if t.Failed() {
					t.Logf("disks %v, course %q", f.syncTime, course)
				}
			}()
			for _, event := range course {
				f.run(event)
			}
			f.propose(f.leader(), "two")
			f.assertApplied([]string{"one", "two"}, f.names...)
		})
	}
}
