package state

import "poplarbend.example/poplar"

// This file implements the table of budgets. 81,000 budgets in 13 domains must
// fit into a few megabytes. Therefore each budget is a row with a small number,
// and each domain is a column of counters in pages, which exist only where the
// domain has a share.

// pageSize is the number of cells of a page. Budgets of a workspace are created
// together and used in the same domains, so small pages are mostly full.
const pageSize = 8

// row is one budget.
type row struct {
	name        poplar.Budget    // empty for a free row
	workspace   poplar.Workspace // the owner
	serial      poplar.Index     // index of the creation
	base        poplar.Tokens    // declared by the configuration
	extra       poplar.Tokens    // sum of top-ups; can be negative
	outstanding poplar.Tokens    // invariant: sum over domains of issued - returned
	deleted     bool             // marks a tombstone: issued tokens count as spent
}

// granted returns the grant. It is never negative: a top-up that would lower it
// below zero is refused, and after a lower declaration a negative sum counts as zero.
func (r *row) granted() poplar.Tokens { return max(0, r.base+r.extra) }

// available returns the tokens that can still be issued. It is 0 if the grant was
// lowered below the outstanding tokens.
func (r *row) available() poplar.Tokens {
	if r.deleted {
		return 0
	}
	return max(0, r.granted()-r.outstanding)
}

// pending returns the tokens that the ledgers must still return after the grant
// was lowered.
func (r *row) pending() poplar.Tokens {
	if r.deleted {
		return 0
	}
	return max(0, r.outstanding-r.granted())
}

// cell is the share of one budget in one domain.
type cell struct {
	issued    poplar.Tokens // invariant: never decreases
	returned  poplar.Tokens // invariant: never decreases, <= issued
	changedAt poplar.Index  // index of the last change to send to the domain
}

type page struct {
	cells  [pageSize]cell
	closed uint8 // bit i: the domain sent its final return for cell i of a deleted budget
}

// loss is the number of tokens that forced takeovers wrote off in one cell.
type loss struct {
	Lost  poplar.Tokens // issued - returned at the takeover, cumulative
	Found poplar.Tokens // invariant: never decreases, <= Lost
}

// column contains the counters of one domain.
type column struct {
	name   poplar.Domain
	pages  []*page // invariant: nil where the domain has no share
	losses map[int]loss
}

type table struct {
	rows    []row
	free    []int                 // free rows; the last one is reused first
	byName  map[poplar.Budget]int // row numbers
	columns []*column
	domains map[poplar.Domain]int // indexes into columns
}

func newTable() table {
	return table{byName: map[poplar.Budget]int{}, domains: map[poplar.Domain]int{}}
}

// ensureColumn returns the column of domain and creates it if missing.
func (t *table) ensureColumn(domain poplar.Domain) *column {
	if i, ok := t.domains[domain]; ok {
		return t.columns[i]
	}
	c := &column{name: domain, losses: map[int]loss{}}
	t.domains[domain] = len(t.columns)
	t.columns = append(t.columns, c)
	return c
}

// find returns the row number of the budget, or -1.
func (t *table) find(name poplar.Budget) int {
	if id, ok := t.byName[name]; ok {
		return id
	}
	return -1
}

// create adds a budget that is not in the table and returns its row number.
func (t *table) create(r row) int {
	id := len(t.rows)
	if n := len(t.free); n > 0 {
		id = t.free[n-1]
		t.free = t.free[:n-1]
		t.rows[id] = r
	} else {
		t.rows = append(t.rows, r)
	}
	t.byName[r.name] = id
	return id
}

// freeIfClosed frees the row of a deleted budget if every domain has closed it, and
// reports whether it did.
func (t *table) freeIfClosed(id int) bool {
	r := &t.rows[id]
	if !r.deleted {
		return false
	}
	for _, c := range t.columns {
		if x := c.lookup(id); x != nil && x.issued > 0 && !c.closed(id) {
			return false
		}
	}
	for _, c := range t.columns {
		c.clear(id)
	}
	delete(t.byName, r.name)
	t.rows[id] = row{}
	t.free = append(t.free, id)
	return true
}

// markChanged marks the budget as changed in every domain that has a share.
func (t *table) markChanged(id int, at poplar.Index) {
	for _, c := range t.columns {
		if x := c.lookup(id); x != nil && x.issued > 0 {
			x.changedAt = at
		}
	}
}

// lookup returns the cell, or nil if its page does not exist.
func (c *column) lookup(id int) *cell {
	p := id / pageSize
	if p >= len(c.pages) || c.pages[p] == nil {
		return nil
	}
	return &c.pages[p].cells[id%pageSize]
}

// ensureCell returns the cell and creates its page if missing.
func (c *column) ensureCell(id int) *cell {
	p := id / pageSize
	for p >= len(c.pages) {
		c.pages = append(c.pages, nil)
	}
	if c.pages[p] == nil {
		c.pages[p] = &page{}
	}
	return &c.pages[p].cells[id%pageSize]
}

func (c *column) closed(id int) bool {
	p := id / pageSize
	return p < len(c.pages) && c.pages[p] != nil && c.pages[p].closed&(1<<(id%pageSize)) != 0
}

// setClosed sets whether the domain has sent its final return of a deleted budget.
func (c *column) setClosed(id int, closed bool) {
	p := id / pageSize
	if p >= len(c.pages) || c.pages[p] == nil {
		return
	}
	bit := uint8(1) << (id % pageSize)
	c.pages[p].closed &^= bit
	if closed {
		c.pages[p].closed |= bit
	}
}

func (c *column) clear(id int) {
	if x := c.lookup(id); x != nil {
		*x = cell{}
		c.setClosed(id, false)
	}
	delete(c.losses, id)
}
