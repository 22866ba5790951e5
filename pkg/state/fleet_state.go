package state

import (
	"slices"

	"poplarbend.example/poplar"
)

// This file implements the part of the state that every daemon of the fleet
// needs. State and Follower embed it. Each item has the index of its last change.

// maxTombstones is the number of deleted files and departed members that are
// stored as tombstones. A follower that is further behind gets a full pass.
const maxTombstones = 4096

// Pair is the primary and the backup of a domain's ledger in an epoch.
type Pair struct {
	Domain   poplar.Domain `json:"domain"`
	Epoch    poplar.Epoch  `json:"epoch"`
	Primary  Holder        `json:"primary"`
	Backup   Holder        `json:"backup,omitzero"`
	Proposer poplar.Daemon `json:"proposer,omitempty"`
	// Sound lists the holders that store every acknowledged record. While the
	// backup is not in it, the primary acknowledges no records.
	Sound []Holder `json:"sound,omitempty"`
	// Forced is true if the epoch began with an empty ledger.
	Forced bool         `json:"forced,omitempty"`
	At     poplar.Index `json:"at"`
}

// Ready reports whether the primary and the backup, if any, are both in Sound.
func (p Pair) Ready() bool {
	return slices.Contains(p.Sound, p.Primary) && (p.Backup == Holder{} || slices.Contains(p.Sound, p.Backup))
}

// file is one configuration file. Empty content marks a deleted file.
type file struct {
	Content string
	At      poplar.Index
}

// MemberItem is a member with the index of its last change.
type MemberItem struct {
	Member Member       `json:"member"`
	At     poplar.Index `json:"at"`
}

// LeaseItem is a lease with the index of its last change.
type LeaseItem struct {
	Lease Lease        `json:"lease"`
	At    poplar.Index `json:"at"`
}

// fleetState is the state without budgets and shares.
type fleetState struct {
	index    poplar.Index // invariant: never decreases
	revision poplar.Revision
	configAt poplar.Index // index of the last configuration change
	floor    poplar.Index // tombstones up to this index may be pruned
	files    map[string]file
	pairs    map[poplar.Domain]Pair
	members  map[poplar.Daemon]MemberItem
	leases   map[string]LeaseItem
}

func newFleetState() fleetState {
	return fleetState{
		files:   map[string]file{},
		pairs:   map[poplar.Domain]Pair{},
		members: map[poplar.Daemon]MemberItem{},
		leases:  map[string]LeaseItem{},
	}
}

// Index returns the index of the last applied entry.
func (f *fleetState) Index() poplar.Index { return f.index }

// Revision returns the configuration revision in force.
func (f *fleetState) Revision() poplar.Revision { return f.revision }

// Files returns a new map of the configuration files by name.
func (f *fleetState) Files() map[string]string {
	out := make(map[string]string, len(f.files))
	for name, x := range f.files {
		if x.Content != "" {
			out[name] = x.Content
		}
	}
	return out
}

// Pair returns the ledger pair of domain. Its epoch is 0 if there is none.
func (f *fleetState) Pair(domain poplar.Domain) Pair { return f.pairs[domain] }

// Pairs returns the ledger pairs sorted by domain.
func (f *fleetState) Pairs() []Pair {
	out := make([]Pair, 0, len(f.pairs))
	for _, domain := range sortedKeys(f.pairs) {
		out = append(out, f.pairs[domain])
	}
	return out
}

// Members returns the daemons that have joined and not left, sorted by name.
func (f *fleetState) Members() []Member {
	out := make([]Member, 0, len(f.members))
	for _, name := range sortedKeys(f.members) {
		if m := f.members[name].Member; !m.Leave {
			out = append(out, m)
		}
	}
	return out
}

// Lease returns the lease of topic. Its fence is 0 if it was never taken.
func (f *fleetState) Lease(topic string) Lease { return f.leases[topic].Lease }

// prune deletes the oldest tombstones if there are more than maxTombstones.
func (f *fleetState) prune() {
	var tombstones []poplar.Index
	for _, x := range f.files {
		if x.Content == "" {
			tombstones = append(tombstones, x.At)
		}
	}
	for _, m := range f.members {
		if m.Member.Leave {
			tombstones = append(tombstones, m.At)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.Sort(tombstones)
	f.floor = tombstones[len(tombstones)-maxTombstones/2]
	for name, x := range f.files {
		if x.Content == "" && x.At <= f.floor {
			delete(f.files, name)
		}
	}
	for name, m := range f.members {
		if m.Member.Leave && m.At <= f.floor {
			delete(f.members, name)
		}
	}
}
