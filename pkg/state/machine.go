package state

import (
	"fmt"

	"poplarbend.example/poplar"
)

// State is the replicated state. The zero value is not usable; call New.
type State struct {
	fleetState                 // configuration, ledger pairs, members, leases
	table         table        // budgets and their shares
	topupHistory  topupHistory // recent top-ups, for deduplication
	changeHistory []pastChange // invariant: ascending numbers, at most ChangeWindow
}

// New returns the empty state, at index 0 and revision 0.
func New() *State {
	return &State{fleetState: newFleetState(), table: newTable()}
}

// Apply applies the command at index and returns the encoded Reply. An index
// that is already applied changes nothing and is refused with CodeStale. Every
// replica refuses a command that does not decode with CodeInvalid.
func (s *State) Apply(index poplar.Index, command []byte) []byte {
	if index <= s.index {
		return Encode(refuse(poplar.CodeStale, "index %d is already applied", index))
	}
	s.index = index
	if len(command) == 0 {
		return nil
	}
	c, err := Decode[Command](command)
	if err != nil {
		return Encode(refuse(poplar.CodeInvalid, "%v", err))
	}
	return Encode(s.apply(c))
}

func (s *State) apply(c Command) Reply {
	switch {
	case c.Change != nil:
		return s.applyChange(*c.Change)
	case c.Topup != nil:
		return s.applyTopup(*c.Topup)
	case c.Issue != nil:
		return s.applyIssue(*c.Issue)
	case c.Return != nil:
		return s.applyReturn(*c.Return)
	case c.Ledger != nil:
		return s.applyLedger(*c.Ledger)
	case c.Ready != nil:
		return s.applyReady(*c.Ready)
	case c.Found != nil:
		return s.applyFound(*c.Found)
	case c.Member != nil:
		return s.applyMember(*c.Member)
	case c.Lease != nil:
		return s.applyLease(*c.Lease)
	}
	return refuse(poplar.CodeInvalid, "command is empty")
}

func refuse(code poplar.Code, format string, args ...any) Reply {
	return Reply{Code: code, Reason: fmt.Sprintf(format, args...)}
}
