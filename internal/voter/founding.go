package voter

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/quorum"
)

// This file implements the founding of a log as a pure state machine.
//
// A log is founded once. Every founder in the configuration starts with a new
// folder and sends its incarnation to the others. When the founder whose name
// sorts first knows that all of them are new, it adopts the list of members;
// the others adopt it from each other, including one whose disk was replaced in
// the meantime. A founder runs the log only when all the listed daemons have
// adopted the list. A founder whose disk is replaced later therefore always
// meets one that has adopted it, unless all of them lost their disks, and never
// founds a second log.

// founder is the founding state machine of one member.
type founder struct {
	self         quorum.Member
	founderNames []poplar.Daemon // invariant: configured founders, sorted
	founding     founding        // invariant: durable before it is sent
	joinOnly     bool            // invariant: true for a member that never founds a log
	newMembers   map[poplar.Daemon]quorum.Member
	adopted      map[poplar.Daemon]bool // invariant: daemons that adopted the same list
	conflict     bool                   // invariant: set when a founder with a different list was met
}

func newFounder(self quorum.Member, names []poplar.Daemon, found founding) *founder {
	names = slices.Clone(names)
	slices.Sort(names)
	f := &founder{self: self, founderNames: slices.Compact(names), founding: found}
	f.newMembers = map[poplar.Daemon]quorum.Member{self.Name: self}
	f.adopted = map[poplar.Daemon]bool{}
	return f
}

// step handles a hello. It reports whether the founding has changed and must be
// made durable before the next hello is sent.
func (f *founder) step(from quorum.Member, hello quorum.Hello) bool {
	if f.founding.Started {
		return false
	}
	if f.joinOnly {
		return f.adoptStarted(hello)
	}
	if !slices.Contains(f.founderNames, from.Name) {
		return false
	}
	if hello.Founders == nil {
		f.newMembers[from.Name] = from
		return f.advance()
	}
	delete(f.newMembers, from.Name)
	switch {
	case f.founding.Founders == nil:
		f.founding = founding{Founders: hello.Founders, Started: hello.Started}
		f.adopted[from.Name] = true
		f.advance()
		return true
	case !slices.Equal(f.founding.Founders, hello.Founders):
		f.conflict = true
		return false
	}
	f.adopted[from.Name] = true
	f.founding.Started = hello.Started
	return f.advance() || hello.Started
}

// adoptStarted adopts the founding of a running log. A joining member needs it
// only to identify the log.
func (f *founder) adoptStarted(hello quorum.Hello) bool {
	if !hello.Started || f.founding.Started {
		return false
	}
	f.founding = founding{Founders: hello.Founders, Started: true}
	return true
}

// advance adopts the founders when all of them are new, and marks the log as
// started when all have adopted the list. It reports whether the founding has
// changed.
func (f *founder) advance() bool {
	changed := false
	if f.joinOnly {
		return false
	}
	if f.founding.Founders == nil && f.founderNames[0] == f.self.Name && len(f.newMembers) == len(f.founderNames) {
		for _, name := range f.founderNames {
			f.founding.Founders = append(f.founding.Founders, f.newMembers[name])
		}
		changed = true
	}
	if f.founding.Founders != nil && !f.founding.Started && f.allAdopted() {
		f.founding.Started = true
		changed = true
	}
	return changed
}

func (f *founder) allAdopted() bool {
	for _, m := range f.founding.Founders {
		if m != f.self && !f.adopted[m.Name] {
			return false
		}
	}
	return slices.Contains(f.founding.Founders, f.self)
}

// hello returns the hello that describes the member's founding.
func (f *founder) hello(reply bool) *quorum.Hello {
	return &quorum.Hello{Founders: f.founding.Founders, Started: f.founding.Started, Reply: reply}
}

// cluster returns the number that identifies the log.
func (f *founding) cluster() uint64 {
	hash := fnv.New32a()
	_ = json.NewEncoder(hash).Encode(f.Founders)
	return uint64(hash.Sum32())
}

// recovered returns the initial state of the machine. A founder starts with the
// founding membership; any other member starts with none and cannot vote before
// a leader has sent it the log.
func (im *image) recovered() quorum.RecoveredState {
	r := quorum.RecoveredState{Hard: im.Hard, Snapshot: im.Snapshot, Entries: im.Entries}
	if r.Snapshot.Index == 0 && slices.Contains(im.Found.Founders, im.Self) {
		r.Snapshot.Members = quorum.NewMembers(im.Found.Founders...)
	}
	return r
}
