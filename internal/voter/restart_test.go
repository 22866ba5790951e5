package voter

import (
	"fmt"
	"testing"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
)

// TestKilledFounderFoundsLog kills founders while the log is founded, and starts them with
// settings that no longer say that the fleet starts for the first time, as after any restart.
// They waited for a log that the others did not found without them, for good.
func TestKilledFounderFoundsLog(t *testing.T) {
	for _, c := range []struct {
		killed string
		wiped  bool
	}{{"a", false}, {"b", false}, {"c", false}, {"bc", false}, {"abc", false}, {"c", true}} {
		for _, after := range []time.Duration{0, 10, 30, 60, 90, 150} {
			t.Run(fmt.Sprintf("%s wiped %t after %d ms", c.killed, c.wiped, after), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				f.names, f.voterTarget, f.election, f.repair = []poplar.Daemon{"a", "b", "c"}, 3, 200*time.Millisecond, 300*time.Millisecond
				t.Cleanup(func() {
					for _, n := range f.names {
						f.stop(n)
					}
				})
				for _, n := range f.names {
					f.disks[n] = disk.NewMemory()
					f.start(n)
				}
				time.Sleep(after * time.Millisecond)
				for _, n := range c.killed {
					f.crash(poplar.Daemon(n))
					if c.wiped {
						f.disks[poplar.Daemon(n)] = disk.NewMemory()
					}
				}
				f.seeds = []poplar.Daemon{"c", "x"} // the settings may name others by then
				for _, n := range c.killed {
					f.startJoining(poplar.Daemon(n))
				}
				f.awaitVoters()
				f.propose("a", "one")
				f.assertApplied([]string{"one"}, f.names...)
			})
		}
	}
}
