package roster

import (
	"maps"
	"time"

	"poplarbend.example/poplar"
)

// Union merges the rosters of several control daemons, as a router does. It is
// not safe for concurrent use.
type Union struct {
	// sources contains the last list received from each control daemon.
	sources map[string]map[poplar.Upstream]Entry
	merged  map[poplar.Upstream]Entry
	// forgetAt holds the upstreams that have ended, and when to forget them.
	forgetAt map[poplar.Upstream]time.Time
}

// endedRetention is how long a Union remembers an upstream that has ended. It exceeds the time
// for which a control daemon lists it.
const endedRetention = retention + time.Minute

// NewUnion returns an empty union.
func NewUnion() *Union {
	return &Union{
		sources: map[string]map[poplar.Upstream]Entry{}, merged: map[poplar.Upstream]Entry{}, forgetAt: map[poplar.Upstream]time.Time{},
	}
}

// SetSource replaces the list of a source, which is a control daemon. An
// announcement that is older than the known one of its upstream does not change
// the merged list.
func (u *Union) SetSource(source string, entries []Entry) {
	u.sources[source] = make(map[poplar.Upstream]Entry, len(entries))
	u.UpdateSource(source, entries)
}

// UpdateSource merges the entries that have changed into the list of a source.
func (u *Union) UpdateSource(source string, entries []Entry) {
	list := u.sources[source]
	if list == nil {
		list = make(map[poplar.Upstream]Entry, len(entries))
		u.sources[source] = list
	}
	for _, e := range entries {
		list[e.Name] = e
		old, ok := u.merged[e.Name]
		if !ok || e.supersedes(old.Announcement) {
			if e.State == StateRemoved && e.Address == "" {
				e.Service, e.Address = old.Service, old.Address
			}
			u.merged[e.Name] = e
		}
	}
}

// RemoveSource removes the list of a source that no longer answers. Its entries
// stay in the merged list, but the source no longer counts in the decision
// whether they are silent.
func (u *Union) RemoveSource(source string) { delete(u.sources, source) }

// Sweep forgets upstreams that have ended some time ago: those that were removed, and those
// whose address a later one has. It is called every few seconds.
func (u *Union) Sweep(now time.Time) {
	latest := u.latestByAddress()
	for name, e := range u.merged {
		at, ended := u.forgetAt[name]
		switch {
		case latest[e.Address].Name == name && e.State != StateRemoved:
			delete(u.forgetAt, name)
		case !ended:
			u.forgetAt[name] = now.Add(endedRetention)
		case !now.Before(at):
			delete(u.forgetAt, name)
			delete(u.merged, name)
			for _, list := range u.sources {
				delete(list, name)
			}
		}
	}
}

// latestByAddress returns the upstreams that have not ended.
func (u *Union) latestByAddress() map[string]Entry {
	latest := map[string]Entry{}
	for _, e := range u.merged {
		if e.State == StateRemoved {
			continue
		}
		if other, ok := latest[e.Address]; !ok || e.StartedAt > other.StartedAt {
			latest[e.Address] = e
		}
	}
	return latest
}

// Entries returns the merged list without ended upstreams. An upstream is
// silent if a source reports it as silent and no source had recent contact. If
// several upstreams have the same address, only the one that started last is
// returned.
func (u *Union) Entries() []Entry {
	byAddress := u.latestByAddress()
	list := make([]Entry, 0, len(byAddress))
	for _, e := range byAddress {
		e.Silent = u.silent(e)
		list = append(list, e)
	}
	return list
}

func (u *Union) silent(e Entry) bool {
	silent := false
	for list := range maps.Values(u.sources) {
		s, ok := list[e.Name]
		if !ok || s.StartedAt != e.StartedAt {
			continue
		}
		if !s.Silent {
			return false
		}
		silent = true
	}
	return silent
}
