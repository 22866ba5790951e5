package voter

import (
	"fmt"
	"slices"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/quorum"
)

// This file handles commands that the state machine cannot apply. An entry of the log
// comes again at each start of each member. If one ended the process, the log and all
// later changes would be lost with it. Such a command is refused instead, and the state
// stays as it was before it. Since Apply is deterministic, all members refuse it.
//
// A later version of the program may be able to apply the command, though. So a member
// takes a snapshot that covers a refused entry and never replays it.

// execute applies the command of an entry. If that panics, it restores the state before
// the entry and returns the refusal.
func (v *Voter) execute(e quorum.Entry) ([]byte, error) {
	var reply []byte
	cause := catch(func() error {
		reply = v.config.Applier.Apply(e.Index, e.Data)
		return nil
	})
	if cause == nil {
		return reply, nil
	}
	err := catch(func() error { return v.config.Applier.Restore(v.machine.Snapshot().Data, v.commandsBefore(e.Index)...) })
	if err != nil {
		v.failure = poplar.Failf(poplar.StepPropose, poplar.CodeInternal, "restore the state before entry %d: %w", e.Index, err)
		return nil, v.failure
	}
	v.refused = append(v.refused, e.Index)
	if v.config.Refused != nil {
		v.config.Refused(e.Index, cause)
	}
	return nil, poplar.Failf(poplar.StepPropose, poplar.CodeInvalid, "entry %d cannot be applied: %w", e.Index, cause).Ran(poplar.RunNo)
}

// commandsBefore returns the commands that were applied after the snapshot and before
// the entry at index.
func (v *Voter) commandsBefore(index poplar.Index) []Command {
	var list []Command
	for _, e := range v.machine.Entries() {
		if e.Index < index && e.Kind == quorum.KindCommand && !slices.Contains(v.refused, e.Index) {
			list = append(list, Command{Index: e.Index, Data: e.Data})
		}
	}
	return list
}

// forgetRefused drops the refused entries that the snapshot covers.
func (v *Voter) forgetRefused() {
	covered := v.machine.Snapshot().Index
	v.refused = slices.DeleteFunc(v.refused, func(index poplar.Index) bool { return index <= covered })
}

// catch calls f and returns its error, or its panic as an error.
func catch(f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	return f()
}
