package voter

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
)

// join starts a member on a new disk that is not a founder and asks the others for the log.
func (f *fleet) join(name poplar.Daemon) {
	f.t.Helper()
	f.disks[name] = disk.NewMemory()
	f.startJoining(name)
}

// startJoining starts a member whose settings say that it joins a log.
func (f *fleet) startJoining(name poplar.Daemon) {
	f.t.Helper()
	config := f.config(name)
	config.Join = true
	v, err := Start(config)
	assert.NilError(f.t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.voters[name] = v
}

// newFleetWithLearner returns three voters a, b and c, and a learner d that can
// replace one of them.
func newFleetWithLearner(t *testing.T) *fleet {
	f := newFleet(t, "a", "b", "c")
	for _, n := range f.names {
		f.stop(n)
	}
	f.voterTarget = 3
	for _, n := range f.names {
		f.start(n)
	}
	f.propose(f.leader(), "one")
	f.join("d")
	t.Cleanup(func() { f.stop("d") })
	f.await("learner d is admitted", func() bool { return len(f.voter(f.leader()).Status().Members().Learners) == 1 })
	return f
}

// TestLearnerReplacesStoppedVoter adds a learner to a log of three voters and
// stops one of the voters, each in turn. The learner must replace the stopped
// voter, and no running voter may lose its place.
func TestLearnerReplacesStoppedVoter(t *testing.T) {
	for _, stopped := range []poplar.Daemon{"a", "b", "c"} {
		t.Run(string(stopped), func(t *testing.T) {
			f := newFleetWithLearner(t)
			f.stop(stopped)
			f.await("learner d replaces the voter", func() bool {
				set := f.voter("d").Status().Members()
				_, present := set.VoterNamed(stopped)
				return set.IsVoter(f.voter("d").Status().Self()) && !present && len(set.Voters) == 3
			})
			f.propose(f.leader(), "two")
		})
	}
}

// TestReplacedVoterRejoinsAsLearner reconnects a voter that was replaced while
// it was cut off. It must learn of its replacement and wait as a learner.
func TestReplacedVoterRejoinsAsLearner(t *testing.T) {
	f := newFleetWithLearner(t)
	leader := f.leader()
	var isolated poplar.Daemon
	for _, n := range f.names {
		if n != leader {
			isolated = n
		}
	}
	f.isolate(isolated, true)
	f.setCut("d", isolated, true)
	f.setCut(isolated, "d", true)
	f.await("learner d replaces the voter", func() bool {
		set := f.voter("d").Status().Members()
		return set.IsVoter(f.voter("d").Status().Self()) && len(set.Voters) == 3
	})
	f.isolate(isolated, false)
	f.setCut("d", isolated, false)
	f.setCut(isolated, "d", false)
	f.await("the replaced voter is a learner", func() bool {
		s := f.voter(isolated).Status()
		return s.Members().IsLearner(s.Self())
	})
	f.propose(f.leader(), "two")
}
