package ledger_test

import (
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarbend.example/poplar/pkg/ledger"
)

// restoredTwin applies the records of a machine, and is restored from its own snapshot after
// every third one. It guards against a state that does not survive its snapshot.
type restoredTwin struct {
	of      *ledger.Machine
	machine *ledger.Machine
	applied int
}

// applyToTwin applies to the twin the record that the machine of s has just applied, and
// compares their states.
func (s *domainSim) applyToTwin(t *rapid.T, r *ledger.Record) {
	if s.twin == nil || s.twin.of != s.machine {
		s.twin = &restoredTwin{of: s.machine}
		s.twin.restore(t, s.machine)
		return
	}
	must(t, s.twin.machine.Apply(r))
	if s.twin.applied++; s.twin.applied%3 == 0 {
		s.twin.restore(t, s.twin.machine)
		assert.DeepEqual(t, stateLines(s.twin.machine), stateLines(s.machine))
	}
}

func (w *restoredTwin) restore(t *rapid.T, from *ledger.Machine) {
	restored, err := ledger.Restore(from.Domain(), limits, from.Snapshot())
	must(t, err)
	w.machine = restored
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("%v", err)
	}
}
