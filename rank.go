package poplar

import "fmt"

// This file holds the ranks of work.

// Rank orders work by urgency. A lower value is more urgent.
type Rank uint8

// The three ranks. Their deadlines, floors and worth come from the
// configuration; their order does not.
const (
	Urgent Rank = iota
	Normal
	Bulk
)

// Ranks is the number of ranks.
const Ranks = 3

var rankNames = [Ranks]string{"urgent", "normal", "bulk"}

// Valid reports whether r is one of the three ranks.
func (r Rank) Valid() bool { return r < Ranks }

// String returns the name of the rank as it stands in settings and headers.
func (r Rank) String() string {
	if !r.Valid() {
		return fmt.Sprintf("rank(%d)", uint8(r))
	}
	return rankNames[r]
}

// ParseRank returns the rank with the given name.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, fmt.Errorf("rank %q is none of urgent, normal, bulk", name)
}

// MarshalText implements encoding.TextMarshaler.
func (r Rank) MarshalText() ([]byte, error) {
	if !r.Valid() {
		return nil, fmt.Errorf("rank %d is out of range", uint8(r))
	}
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rank) UnmarshalText(text []byte) error {
	parsed, err := ParseRank(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}
