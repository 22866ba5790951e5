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
// sorts first knows that none of them has adopted a list of members yet, it
// creates and adopts one; the others adopt it from each other, including a
// founder whose disk was replaced in the meantime. A founder runs the log only
// when all the listed daemons have adopted the list. A founder whose disk is
// replaced later therefore always receives the list from another one, unless all
// of them lost their disks, and never founds a second log.
//
// A founder that restarts before that may no longer be told that the fleet starts for the
// first time. Its disk tells: it holds the names of the founders from the first start on.
// A daemon on a disk without them only adopts a list that names it, so that the others
// need not wait for it, and never creates one.

// founder is the founding state machine of one member.
type founder struct {
	self         quorum.Member
	founderNames []poplar.Daemon                 // invariant: configured founders, sorted
	founding     founding                        // invariant: durable before it is sent
	joinOnly     bool                            // invariant: true for a member that never founds a log
	newMembers   map[poplar.Daemon]quorum.Member // invariant: founders not known to have adopted a list
	adopted      map[poplar.Daemon]bool          // invariant: daemons that adopted the same list
	conflict     bool                            // invariant: set when a founder with a different list was met
}

// newFounder returns the founding state machine of a member whose settings name the founders.
// The names on its disk, if there are any, go before those.
func newFounder(self quorum.Member, names []poplar.Daemon, found founding) *founder {
	if disk := found.names(); len(disk) > 0 {
		names = disk
	}
	names = slices.Clone(names)
	slices.Sort(names)
	f := &founder{self: self, founderNames: slices.Compact(names), founding: found}
	f.newMembers = map[poplar.Daemon]quorum.Member{self.Name: self}
	f.adopted = map[poplar.Daemon]bool{}
	return f
}

// names returns the names of the founders that the disk holds, if it holds any.
func (f *founding) names() []poplar.Daemon {
	if f.Founders == nil {
		return f.Names
	}
	var names []poplar.Daemon
	for _, m := range f.Founders {
		names = append(names, m.Name)
	}
	return names
}

// founds reports whether the disk belongs to a member that founds the log, whatever its
// settings say since.
func (f *founding) founds(self quorum.Member) bool {
	return f.Founders == nil && len(f.Names) > 0 || slices.Contains(f.Founders, self)
}

// step handles a hello. It reports whether the founding has changed and must be
// made durable before the next hello is sent.
func (f *founder) step(from quorum.Member, hello quorum.Hello) bool {
	if f.founding.Started {
		return false
	}
	if f.joinOnly {
		return f.adoptStarted(hello) || f.adoptListed(hello)
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

// adoptListed adopts a list that names this daemon, which then does not found but lets the
// others start.
func (f *founder) adoptListed(hello quorum.Hello) bool {
	named := slices.ContainsFunc(hello.Founders, func(m quorum.Member) bool { return m.Name == f.self.Name })
	if !named || f.founding.Founders != nil {
		return false
	}
	f.founding = founding{Founders: hello.Founders}
	return true
}

// advance creates and adopts the list of founders when all of them are new, and
// marks the log as started when all have adopted the list. It reports whether the founding has
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
