package follow

import (
	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the snapshot of what is in force.

// View is one immutable snapshot of what a daemon has in force. Its maps and
// slices must not be changed.
type View struct {
	index    poplar.Index
	revision poplar.Revision
	files    map[string]string
	pairs    []state.Pair
	members  []state.Member
	own      state.Pair
	role     Role
	sure     bool
}

// Role is a daemon's part in the ledger of its failure domain.
type Role string

// The roles.
const (
	// RoleRouter holds no ledger.
	RoleRouter Role = "router"
	// RolePrimary decides on reservations.
	RolePrimary Role = "primary"
	// RoleBackup holds a copy.
	RoleBackup Role = "backup"
)

// Index returns the index of the last entry of the log that is in force.
func (v *View) Index() poplar.Index { return v.index }

// Revision returns the configuration revision in force.
func (v *View) Revision() poplar.Revision { return v.revision }

// Files returns the operators' files by name.
func (v *View) Files() map[string]string { return v.files }

// Pairs returns the ledger pairs of all domains.
func (v *View) Pairs() []state.Pair { return v.pairs }

// Members returns the daemons that have joined.
func (v *View) Members() []state.Member { return v.members }

// Own returns the ledger pair of the daemon's own domain.
func (v *View) Own() state.Pair { return v.own }

// Role returns the daemon's part in it.
func (v *View) Role() Role { return v.role }

// Sure reports whether the daemon has heard, since its start, from every other
// holder of its domain's ledger, so that what it has in force is not older than
// what the domain has served. A daemon that is not sure serves no caller.
func (v *View) Sure() bool { return v.sure }

// Pair returns the ledger pair of domain; its epoch is 0 when none is known.
func (v *View) Pair(domain poplar.Domain) state.Pair {
	for _, p := range v.pairs {
		if p.Domain == domain {
			return p
		}
	}
	return state.Pair{}
}
