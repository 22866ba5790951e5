package state

import (
	"slices"

	"poplarbend.example/poplar"
)

// This file implements deltas: the changes since a mark that a domain needs, in
// messages of bounded size.

// MaxDelta is the size in bytes beyond which no further item is added to a
// delta. A single file can exceed it.
const MaxDelta = 48 << 10

// stage is the kind of items that a pass is sending.
type stage uint8

const (
	stageFiles stage = iota
	stageMembers
	stageShares
)

// Mark is the position of a follower. A pass over all changes can take several
// deltas; within a pass the mark records where the next delta continues. The
// zero mark requests everything.
type Mark struct {
	// Index is the index that the last complete pass covers.
	Index poplar.Index `json:"index"`
	// Upto is the index at which the running pass began, or 0.
	Upto  poplar.Index `json:"upto,omitempty"`
	Stage stage        `json:"stage,omitempty"`
	// After is the last file or member sent in the current stage. Next is the
	// next row of the budget table.
	After string `json:"after,omitempty"`
	Next  int    `json:"next,omitempty"`
}

// FileItem is one changed file; an empty Content deletes it.
type FileItem struct {
	Name    string       `json:"name"`
	Content string       `json:"content,omitempty"`
	At      poplar.Index `json:"at"`
}

// ShareItem is a domain's share of one budget.
type ShareItem struct {
	Budget    poplar.Budget    `json:"budget"`
	Workspace poplar.Workspace `json:"space"`
	Serial    poplar.Index     `json:"serial"`
	Issued    poplar.Tokens    `json:"issued"`
	Returned  poplar.Tokens    `json:"returned,omitempty"`
	// Lost is the number of tokens that a forced takeover wrote off and Found
	// has not recovered. They count as spent by an earlier ledger of the domain.
	Lost    poplar.Tokens `json:"lost,omitempty"`
	Deleted bool          `json:"deleted,omitempty"`
	At      poplar.Index  `json:"at"`
}

// Delta is one message of a pass.
type Delta struct {
	// Domain is the domain that the delta is for. A follower of another domain
	// refuses it.
	Domain poplar.Domain `json:"domain"`
	// From is the mark that the delta starts from. A follower with another mark
	// ignores it.
	From Mark `json:"from"`
	// Mark is the mark after the delta.
	Mark Mark `json:"mark"`
	// Done is true in the last delta of a pass. The files of the pass take effect
	// only then, all at once, as Revision.
	Done     bool            `json:"done,omitempty"`
	Revision poplar.Revision `json:"revision,omitempty"`
	// ConfigAt is the index of the last configuration change. Tombstones up to
	// Floor may be pruned. Both are set in the last delta of a pass.
	ConfigAt poplar.Index `json:"config,omitempty"`
	Floor    poplar.Index `json:"floor,omitempty"`
	// Reset is true if the pass contains all files, because the follower is so
	// far behind that tombstones it needs have been pruned.
	Reset   bool         `json:"reset,omitempty"`
	Files   []FileItem   `json:"files,omitempty"`
	Pairs   []Pair       `json:"pairs,omitempty"`
	Leases  []LeaseItem  `json:"leases,omitempty"`
	Members []MemberItem `json:"members,omitempty"`
	Shares  []ShareItem  `json:"shares,omitempty"`

	size int
}

// Empty reports whether the delta does not advance the mark.
func (d *Delta) Empty() bool { return d.Mark == d.From }

// Delta returns the next changes after mark for domain. It is empty if the mark
// is up to date or ahead of this replica.
func (s *State) Delta(domain poplar.Domain, mark Mark) Delta {
	d := s.delta(mark, func(d *Delta, since poplar.Index) bool {
		return s.addShares(d, domain, since)
	})
	d.Domain = domain
	return d
}

// delta returns the next delta of a pass. shares adds the last stage; nil skips it.
func (f *fleetState) delta(mark Mark, shares func(*Delta, poplar.Index) bool) Delta {
	d := Delta{From: mark, Mark: mark}
	if mark.Index >= f.index || mark.Upto > f.index {
		return d
	}
	if mark.Upto == 0 {
		d.Mark.Upto = f.index
		f.addPairsAndLeases(&d)
	}
	since := mark.Index
	if since < f.floor {
		since, d.Reset = 0, true
	}
	if d.Mark.Stage == stageFiles && f.addFiles(&d, since) {
		d.Mark.Stage, d.Mark.After = stageMembers, ""
	}
	if d.Mark.Stage == stageMembers && f.addMembers(&d, since) {
		d.Mark.Stage, d.Mark.After = stageShares, ""
	}
	if d.Mark.Stage == stageShares && (shares == nil || shares(&d, mark.Index)) {
		f.finishPass(&d)
	}
	return d
}

// finishPass ends the pass. If a file changed during the pass, the files sent may
// belong to two revisions, so the pass restarts.
func (f *fleetState) finishPass(d *Delta) {
	if f.configAt > d.Mark.Upto || f.floor > d.Mark.Upto {
		d.Mark = Mark{Index: d.From.Index}
		return
	}
	d.Done = true
	d.Revision, d.ConfigAt, d.Floor = f.revision, f.configAt, f.floor
	d.Mark = Mark{Index: d.Mark.Upto}
}

// addPairsAndLeases adds all changed pairs and leases, in the first delta of a pass.
func (f *fleetState) addPairsAndLeases(d *Delta) {
	for _, domain := range sortedKeys(f.pairs) {
		if p := f.pairs[domain]; p.At > d.From.Index {
			d.Pairs = append(d.Pairs, p)
		}
	}
	for _, topic := range sortedKeys(f.leases) {
		if l := f.leases[topic]; l.At > d.From.Index {
			d.Leases = append(d.Leases, l)
		}
	}
}

// addFiles adds changed files and reports whether the stage is complete.
func (f *fleetState) addFiles(d *Delta, since poplar.Index) bool {
	if f.configAt <= since {
		return true
	}
	for _, name := range namesAfter(sortedKeys(f.files), d.Mark.After) {
		x := f.files[name]
		if x.At <= since {
			continue
		}
		if !d.reserve(len(name) + len(x.Content)) {
			return false
		}
		d.Files = append(d.Files, FileItem{Name: name, Content: x.Content, At: x.At})
		d.Mark.After = name
	}
	return true
}

// addMembers adds changed members and reports whether the stage is complete.
func (f *fleetState) addMembers(d *Delta, since poplar.Index) bool {
	for _, name := range namesAfter(sortedKeys(f.members), poplar.Daemon(d.Mark.After)) {
		m := f.members[name]
		if m.At <= since {
			continue
		}
		size := len(name) + len(m.Member.Domain)
		for _, a := range m.Member.Addresses {
			size += len(a)
		}
		if !d.reserve(size) {
			return false
		}
		d.Members = append(d.Members, m)
		d.Mark.After = string(name)
	}
	return true
}

// addShares adds the changed shares of domain and reports whether the stage is
// complete.
func (s *State) addShares(d *Delta, domain poplar.Domain, since poplar.Index) bool {
	i, ok := s.table.domains[domain]
	if !ok {
		return true
	}
	c := s.table.columns[i]
	for id := max(0, d.Mark.Next); id < len(s.table.rows); id++ {
		x := c.lookup(id)
		if x == nil || x.changedAt <= since || s.table.rows[id].name == "" {
			continue
		}
		r := &s.table.rows[id]
		if !d.reserve(len(r.name) + len(r.workspace)) {
			d.Mark.Next = id
			return false
		}
		l := c.losses[id]
		d.Shares = append(d.Shares, ShareItem{
			Budget: r.name, Workspace: r.workspace, Serial: r.serial, Issued: x.issued,
			Returned: x.returned, Lost: l.Lost - l.Found, Deleted: r.deleted, At: x.changedAt,
		})
	}
	return true
}

// itemSize is the approximate size of an item without its strings, in bytes.
const itemSize = 120

// reserve accounts for an item with strings of the given total length and reports
// whether it fits. The first item always fits.
func (d *Delta) reserve(length int) bool {
	if d.size > 0 && d.size+length+itemSize > MaxDelta {
		return false
	}
	d.size += length + itemSize
	return true
}

// namesAfter returns the names that sort after last.
func namesAfter[T ~string](names []T, last T) []T {
	if last == "" {
		return names
	}
	i, found := slices.BinarySearch(names, last)
	if found {
		i++
	}
	return names[i:]
}
