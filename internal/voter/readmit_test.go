package voter

import (
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/quorum"
)

// newFleetOfFive returns five voters that start from the seeds, one letter each.
func newFleetOfFive(t *testing.T, seeds string) *fleet {
	f := newFleet(t)
	f.names, f.voterTarget = []poplar.Daemon{"a", "b", "c", "d", "e"}, 5
	// Elections that a busy machine causes would let another daemon lead.
	f.election, f.repair = 200*time.Millisecond, 300*time.Millisecond
	for _, s := range seeds {
		f.seeds = append(f.seeds, poplar.Daemon(s))
	}
	t.Cleanup(func() {
		for _, n := range f.names {
			f.stop(n)
		}
	})
	for _, n := range f.names {
		f.disks[n] = disk.NewMemory()
		f.start(n)
	}
	f.await("five voters", func() bool { return len(f.voter(f.leader()).Status().Members().Voters) == 5 })
	f.propose("a", "one")
	return f
}

// lead makes the given daemon the leader. Until it leads, the others reach only it, so
// that no other one has a majority.
func (f *fleet) lead(name poplar.Daemon) {
	f.t.Helper()
	f.mu.Lock()
	former := maps.Clone(f.cut)
	f.mu.Unlock()
	for _, a := range f.names {
		for _, b := range f.names {
			if a != name && b != name {
				f.setCut(a, b, true)
			}
		}
	}
	f.await("the lead of "+string(name), func() bool { return f.voter(name).leads() })
	f.mu.Lock()
	f.cut = former
	f.mu.Unlock()
}

// awaitMember waits until the daemon's present incarnation is a voter, or a learner
// or voter, as the daemon itself and the leader see it.
func (f *fleet) awaitMember(name poplar.Daemon, voter bool) {
	f.t.Helper()
	f.await(string(name)+" is a member", func() bool {
		s, seen := f.voter(name).Status(), f.voter(f.leader()).Status().Members()
		if voter {
			return s.Members().IsVoter(s.Self()) && seen.IsVoter(s.Self())
		}
		return seen.Has(s.Self())
	})
}

// awaitVoters waits until all daemons vote with their present disks, and no other one.
func (f *fleet) awaitVoters() {
	f.t.Helper()
	f.await("five voters", func() bool {
		members := f.voter(f.leader()).Status().Members()
		for _, n := range f.names {
			if !members.IsVoter(f.voter(n).Status().Self()) {
				return false
			}
		}
		return len(members.Voters) == len(f.names)
	})
}

// run executes one event of a script.
func (f *fleet) run(event string) {
	f.t.Helper()
	verb, arg, _ := strings.Cut(strings.TrimSpace(event), " ")
	name := poplar.Daemon(arg)
	switch verb {
	case "lead":
		f.lead(name)
	case "wipe":
		f.crash(name)
		f.disks[name] = disk.NewMemory()
	case "power":
		f.crash(name)
	case "start":
		f.start(name)
	case "slow":
		daemon, ms, _ := strings.Cut(arg, " ")
		f.syncTime = map[poplar.Daemon]time.Duration{poplar.Daemon(daemon): milliseconds(f.t, ms)}
	case "load":
		f.load(name)
	case "cut", "mend":
		f.isolate(name, verb == "cut")
	case "learner", "voter":
		f.awaitMember(name, verb == "voter")
	case "voters":
		f.awaitVoters()
	case "wait":
		time.Sleep(milliseconds(f.t, arg))
	default:
		f.t.Fatalf("unknown event %q", event)
	}
}

func milliseconds(t *testing.T, text string) time.Duration {
	t.Helper()
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return time.Duration(n) * time.Millisecond
}

// TestWipedVoterIsAdmitted takes disks of voters in the courses of
// testdata/readmit.txt. A leader that lost its disk was not admitted again while a
// daemon led that its settings did not name, so that the next loss of disks left too
// few voters for an election.
func TestWipedVoterIsAdmitted(t *testing.T) {
	data, err := os.ReadFile("testdata/readmit.txt")
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 3 || fields[0] == "#" {
			continue
		}
		t.Run(fields[0], func(t *testing.T) {
			f := newFleetOfFive(t, fields[1])
			for event := range strings.SplitSeq(strings.Join(fields[2:], " "), ";") {
				f.run(event)
			}
			f.awaitVoters()
			f.propose(f.leader(), "two")
			f.assertApplied([]string{"one", "two"}, f.names...)
		})
	}
}

// recorder is a sender that keeps the messages to each daemon.
type recorder struct {
	mu   sync.Mutex
	sent map[poplar.Daemon][]quorum.Message // invariant: guarded by mu
}

func (r *recorder) Send(to poplar.Daemon, msg quorum.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[to] = append(r.sent[to], msg)
}

func (r *recorder) to(name poplar.Daemon) []quorum.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sent[name])
}

// TestReplyNamesMembers starts a daemon on an empty disk that knows one seed. It must
// ask the daemons that the seed's reply names, and name them in its own replies only
// once it has them from the log.
func TestReplyNamesMembers(t *testing.T) {
	f := newFleet(t)
	f.disks["d"] = disk.NewMemory()
	f.seeds = []poplar.Daemon{"a"}
	sent := &recorder{sent: map[poplar.Daemon][]quorum.Message{}}
	config := f.config("d")
	config.Sender, config.Join = sent, true
	v, err := Start(config)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, v.Stop(t.Context())) }()
	a, e := quorum.Member{Name: "a", Incarnation: 1}, quorum.Member{Name: "e", Incarnation: 5}
	f.await("a question to the seed", func() bool { return len(sent.to("a")) > 0 })
	assert.Equal(t, len(sent.to("e")), 0)
	v.Receive(quorum.Message{Type: quorum.TypeHello, From: a, Hello: &quorum.Hello{
		Founders: []quorum.Member{a}, Started: true, Reply: true, Members: []poplar.Daemon{"a", "e"},
	}})
	f.await("a question to a daemon of the reply", func() bool { return len(sent.to("e")) > 0 })
	v.Receive(quorum.Message{Type: quorum.TypeHello, From: e, Hello: &quorum.Hello{}})
	f.await("a reply", func() bool {
		return slices.ContainsFunc(sent.to("e"), func(m quorum.Message) bool { return m.Hello.Reply && m.Hello.Members == nil })
	})
}
