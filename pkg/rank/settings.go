package rank

import (
	"fmt"
	"time"

	"poplarbend.example/poplar"
)

// Setting configures one rank.
type Setting struct {
	// Deadline is the time to the first token beyond which a request of the
	// rank is refused instead of queued.
	Deadline time.Duration `json:"deadline"`
	// Value is the relative value of a token that is served in time.
	Value float64 `json:"worth"`
	// Floor is the share of the capacity that is guaranteed to the rank while
	// it has work waiting, in [0, 1).
	Floor float64 `json:"floor"`
	// Reserve is the share of the capacity that less urgent ranks leave free for
	// the rank, even if it had no work recently, in [0, 1).
	Reserve float64 `json:"spare"`
}

// Settings is the configuration of all ranks.
type Settings [poplar.Ranks]Setting

// DefaultSettings returns the settings used when the operator sets none.
func DefaultSettings() Settings {
	return Settings{
		poplar.Urgent: {Deadline: 300 * time.Millisecond, Value: 100, Floor: 0, Reserve: 0.05},
		poplar.Normal: {Deadline: 3 * time.Second, Value: 10, Floor: 0.1},
		poplar.Bulk:   {Deadline: 60 * time.Second, Value: 1, Floor: 0.1},
	}
}

// Check returns an error that names the first setting out of range.
func (s Settings) Check() error {
	floors := 0.0
	for i, r := range s {
		name := poplar.Rank(i)
		switch {
		case r.Deadline <= 0:
			return fmt.Errorf("rank %s: deadline %s is not positive", name, r.Deadline)
		case r.Value <= 0:
			return fmt.Errorf("rank %s: worth %g is not positive", name, r.Value)
		case r.Floor < 0 || r.Floor >= 1:
			return fmt.Errorf("rank %s: floor %g is not in [0, 1)", name, r.Floor)
		case r.Reserve < 0 || r.Reserve >= 1:
			return fmt.Errorf("rank %s: spare %g is not in [0, 1)", name, r.Reserve)
		}
		floors += r.Floor
	}
	if floors >= 1 {
		return fmt.Errorf("the floors of the ranks sum to %g; they must leave room below 1", floors)
	}
	return nil
}
