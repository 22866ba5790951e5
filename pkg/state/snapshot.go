package state

import (
	"fmt"

	"poplarbend.example/poplar"
)

// This file encodes and restores snapshots of State and Follower. Rows keep their
// numbers, and free rows are included, because marks refer to row numbers.

// factsImage is the stored form of fleetState. gob matches fields by name, so
// neither the fields of the images nor those of stored types may be renamed.
type factsImage struct {
	Index    poplar.Index
	Revision poplar.Revision
	ConfigAt poplar.Index
	Floor    poplar.Index
	Files    map[string]file
	Pairs    map[poplar.Domain]Pair
	Members  map[poplar.Daemon]MemberItem
	Leases   map[string]LeaseItem
}

func (f *fleetState) image() factsImage {
	return factsImage{
		Index: f.index, Revision: f.revision, ConfigAt: f.configAt, Floor: f.floor,
		Files: f.files, Pairs: f.pairs, Members: f.members, Leases: f.leases,
	}
}

func (i factsImage) restore() fleetState {
	f := newFleetState()
	f.index, f.revision, f.configAt, f.floor = i.Index, i.Revision, i.ConfigAt, i.Floor
	if i.Files != nil {
		f.files = i.Files
	}
	if i.Pairs != nil {
		f.pairs = i.Pairs
	}
	if i.Members != nil {
		f.members = i.Members
	}
	if i.Leases != nil {
		f.leases = i.Leases
	}
	return f
}

// rowsImage stores the rows by column, so that gob needs one or two bytes a value.
type rowsImage struct {
	Names   []poplar.Budget
	Spaces  []poplar.Workspace // each workspace once
	Space   []int              // indexes into Spaces
	Serial  []poplar.Index
	Base    []poplar.Tokens
	Extra   []poplar.Tokens
	Deleted []bool
}

// columnImage stores the cells with issued tokens.
type columnImage struct {
	Name     poplar.Domain
	ID       []int // invariant: ascending
	Issued   []poplar.Tokens
	Returned []poplar.Tokens
	At       []poplar.Index
	Closed   []bool
	Lost     map[int]loss
}

// stateImage is the stored form of State. Horizon belongs to the top-up history,
// and Past is the change history.
type stateImage struct {
	Facts   factsImage
	Rows    rowsImage
	Free    []int
	Columns []columnImage
	Topups  []pastTopup
	Horizon int64
	Past    []pastChange
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() []byte {
	i := stateImage{
		Facts: s.image(), Rows: s.table.image(), Free: s.table.free,
		Horizon: s.topupHistory.horizon, Past: s.changeHistory,
	}
	for _, c := range s.table.columns {
		i.Columns = append(i.Columns, c.image())
	}
	for _, key := range s.topupHistory.order {
		i.Topups = append(i.Topups, s.topupHistory.byID[key.id])
	}
	return encodeGob(i)
}

// Restore replaces the state by a snapshot. After an error the state is
// unchanged.
func (s *State) Restore(snapshot []byte) error {
	i, err := decodeGob[stateImage](snapshot)
	if err != nil {
		return err
	}
	next := New()
	next.fleetState = i.Facts.restore()
	if err := next.table.restore(i); err != nil {
		return fmt.Errorf("restore at index %d: %w", i.Facts.Index, err)
	}
	for _, p := range i.Topups {
		next.topupHistory.add(p)
	}
	next.topupHistory.horizon = i.Horizon
	next.changeHistory = i.Past
	*s = *next
	return nil
}

func (t *table) image() rowsImage {
	var i rowsImage
	spaces := map[poplar.Workspace]int{}
	for id := range t.rows {
		r := &t.rows[id]
		n, ok := spaces[r.workspace]
		if !ok {
			n = len(i.Spaces)
			spaces[r.workspace] = n
			i.Spaces = append(i.Spaces, r.workspace)
		}
		i.Names = append(i.Names, r.name)
		i.Space = append(i.Space, n)
		i.Serial = append(i.Serial, r.serial)
		i.Base = append(i.Base, r.base)
		i.Extra = append(i.Extra, r.extra)
		i.Deleted = append(i.Deleted, r.deleted)
	}
	return i
}

func (c *column) image() columnImage {
	i := columnImage{Name: c.name, Lost: c.losses}
	for id := range len(c.pages) * pageSize {
		x := c.lookup(id)
		if x == nil || x.issued == 0 {
			continue
		}
		i.ID = append(i.ID, id)
		i.Issued = append(i.Issued, x.issued)
		i.Returned = append(i.Returned, x.returned)
		i.At = append(i.At, x.changedAt)
		i.Closed = append(i.Closed, c.closed(id))
	}
	return i
}

func (t *table) restore(i stateImage) error {
	n := len(i.Rows.Names)
	for _, length := range []int{len(i.Rows.Space), len(i.Rows.Serial), len(i.Rows.Base), len(i.Rows.Extra), len(i.Rows.Deleted)} {
		if length != n {
			return fmt.Errorf("column has %d rows, want %d", length, n)
		}
	}
	t.rows = make([]row, n)
	for id, name := range i.Rows.Names {
		space := i.Rows.Space[id]
		if space < 0 || space >= len(i.Rows.Spaces) {
			return fmt.Errorf("row %d has workspace %d of %d", id, space, len(i.Rows.Spaces))
		}
		t.rows[id] = row{
			name: name, workspace: i.Rows.Spaces[space], serial: i.Rows.Serial[id],
			base: i.Rows.Base[id], extra: i.Rows.Extra[id], deleted: i.Rows.Deleted[id],
		}
		if name != "" {
			t.byName[name] = id
		}
	}
	t.free = i.Free
	if n-len(t.byName) != len(t.free) {
		return fmt.Errorf("%d free rows do not match %d rows with %d names", len(t.free), n, len(t.byName))
	}
	for _, id := range t.free {
		if id < 0 || id >= n || t.rows[id].name != "" {
			return fmt.Errorf("row %d is not free", id)
		}
	}
	for _, image := range i.Columns {
		if err := t.restoreColumn(image); err != nil {
			return fmt.Errorf("domain %s: %w", image.Name, err)
		}
	}
	return nil
}

func (t *table) restoreColumn(i columnImage) error {
	if len(t.columns) >= MaxDomains {
		return fmt.Errorf("more than %d domains", MaxDomains)
	}
	n := len(i.ID)
	if len(i.Issued) != n || len(i.Returned) != n || len(i.At) != n || len(i.Closed) != n {
		return fmt.Errorf("columns do not all have %d cells", n)
	}
	c := t.ensureColumn(i.Name)
	for k, id := range i.ID {
		if id < 0 || id >= len(t.rows) || i.Returned[k] < 0 || i.Returned[k] > i.Issued[k] {
			return fmt.Errorf("cell %d issued %d and returned %d", id, i.Issued[k], i.Returned[k])
		}
		*c.ensureCell(id) = cell{issued: i.Issued[k], returned: i.Returned[k], changedAt: i.At[k]}
		c.setClosed(id, i.Closed[k])
		t.rows[id].outstanding += i.Issued[k] - i.Returned[k]
	}
	if i.Lost != nil {
		c.losses = i.Lost
	}
	return nil
}

// followerImage is the stored form of Follower. Mark is the index that the last
// complete pass covers.
type followerImage struct {
	Facts  factsImage
	Domain poplar.Domain
	Mark   poplar.Index
	Shares map[poplar.Budget]ShareItem
}

// Snapshot returns the encoded follower. It leaves out a running pass, which
// restarts after Restore.
func (f *Follower) Snapshot() []byte {
	return encodeGob(followerImage{Facts: f.image(), Domain: f.domain, Mark: f.mark.Index, Shares: f.shares})
}

// Restore replaces the follower by a snapshot of the same domain. It refuses an
// older snapshot with poplar.CodeStale.
func (f *Follower) Restore(snapshot []byte) error {
	i, err := decodeGob[followerImage](snapshot)
	if err != nil {
		return err
	}
	if i.Domain != f.domain {
		return fmt.Errorf("snapshot belongs to domain %q, not %q", i.Domain, f.domain)
	}
	if i.Facts.Index < f.index || i.Facts.Revision < f.revision {
		return poplar.Failf(poplar.StepDisk, poplar.CodeStale, "snapshot has revision %d, but %d is in force", i.Facts.Revision, f.revision)
	}
	next := NewFollower(f.domain)
	next.fleetState = i.Facts.restore()
	next.mark.Index = i.Mark
	if i.Shares != nil {
		next.shares = i.Shares
	}
	*f = *next
	return nil
}
