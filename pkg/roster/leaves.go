package roster

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"poplarbend.example/poplar"
)

const (
	// leaveRetention is how long a leave is remembered. It exceeds the time for which an
	// announcement may be under way.
	leaveRetention = 5 * time.Minute
	// maxLeaves bounds the leaves that are remembered. The earliest are dropped first.
	maxLeaves = 1 << 14
	// pruneInterval is the least time between two looks for leaves to forget.
	pruneInterval = 10 * time.Second
)

// Leaves are the upstreams that have said that they leave, as far as that was acknowledged.
// They are part of the state of the replicated log, so they are deterministic: the same calls
// in the same order lead to the same state. They are not safe for concurrent use.
type Leaves struct {
	byName  map[poplar.Upstream]leave // invariant: not nil; the state of each is leaving or removed, and its start is known
	pruneAt int64                     // invariant: the time of the log, in milliseconds, at which to look for leaves to forget
}

// leavesImage is the form of Leaves in a snapshot.
type leavesImage struct {
	ByName  map[poplar.Upstream]leave `json:"list"`
	PruneAt int64                     `json:"prune"`
}

// leave is the last announcement of a run.
type leave struct {
	Announcement
	At int64 `json:"left"` // time of the log in milliseconds
}

// NewLeaves returns empty Leaves.
func NewLeaves() *Leaves { return &Leaves{byName: map[poplar.Upstream]leave{}} }

// Add remembers an announcement of an upstream that leaves, which arrived at the given time of
// the log in milliseconds. It reports false if the leave of that run, or of a later one, is
// known already.
func (l *Leaves) Add(a Announcement, at int64) bool {
	if known, ok := l.byName[a.Name]; a.State == StateReady || ok && known.ends(a) {
		return false
	}
	if a.StartedAt == 0 {
		a.StartedAt = at // a run with a later start is another one
	}
	l.byName[a.Name] = leave{Announcement: a, At: at}
	if at >= l.pruneAt || len(l.byName) > maxLeaves {
		l.prune(at)
	}
	return true
}

// prune forgets the leaves that no announcement can contradict any more.
func (l *Leaves) prune(now int64) {
	l.pruneAt = now + pruneInterval.Milliseconds()
	var first leave
	for name, known := range l.byName {
		switch {
		case known.expired(now):
			delete(l.byName, name)
		case first.Name == "" || cmp.Or(cmp.Compare(known.At, first.At), cmp.Compare(name, first.Name)) < 0:
			first = known
		}
	}
	if len(l.byName) > maxLeaves {
		delete(l.byName, first.Name)
	}
}

// Ended reports whether an announcement that arrives at the given time of the log is of a run
// that is known to have left, or of an earlier one.
func (l *Leaves) Ended(a Announcement, now int64) bool {
	known, ok := l.byName[a.Name]
	return ok && known.ends(a) && !known.expired(now)
}

func (l leave) expired(now int64) bool { return now-l.At > leaveRetention.Milliseconds() }

// ends reports whether a is of the run that left or of an earlier one.
func (l leave) ends(a Announcement) bool { return a.StartedAt <= l.StartedAt }

// All returns the announcements of the leaves, sorted by name.
func (l *Leaves) All() []Announcement {
	list := make([]Announcement, 0, len(l.byName))
	for _, name := range slices.Sorted(maps.Keys(l.byName)) {
		list = append(list, l.byName[name].Announcement)
	}
	return list
}

// MarshalJSON implements json.Marshaler.
func (l *Leaves) MarshalJSON() ([]byte, error) {
	return json.Marshal(leavesImage{ByName: l.byName, PruneAt: l.pruneAt})
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Leaves) UnmarshalJSON(data []byte) error {
	image := leavesImage{ByName: map[poplar.Upstream]leave{}}
	if err := json.Unmarshal(data, &image); err != nil {
		return err
	}
	l.byName, l.pruneAt = image.ByName, image.PruneAt
	return nil
}
