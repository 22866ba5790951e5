package follow

import (
	"context"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the messages between followers and their sources.

// Ask asks a source for what comes after a mark.
type Ask struct {
	Domain poplar.Domain `json:"domain"`
	Mark   state.Mark    `json:"mark"`
	// Shares is true when the asker holds its domain's ledger. Only a voter
	// can answer such an ask.
	Shares bool `json:"shares,omitempty"`
	// Wait is true when the source may hold the answer until there is news: a
	// delta, or a pair of another epoch than that of Pair.
	Wait bool `json:"wait,omitempty"`
	// Pair is the pair that the asker knows. A source that knows an older one
	// takes it.
	Pair state.Pair `json:"pair,omitzero"`
}

// Answer is a source's answer to an Ask.
type Answer struct {
	Delta state.Delta `json:"delta"`
	// Pair is the ledger pair of the asker's domain as the source knows it.
	Pair state.Pair `json:"pair"`
	// Index is how far the source itself has heard.
	Index poplar.Index `json:"index"`
	// Self is the source with the incarnation of its data folder, when it answers
	// for its own domain.
	Self state.Holder `json:"self,omitzero"`
	// Leaving is true when the source makes a planned stop.
	Leaving bool `json:"leaving,omitempty"`
}

// Keep is a primary's push to its backup.
type Keep struct {
	Epoch poplar.Epoch `json:"epoch"`
	// Snapshot, when set, replaces what the backup knows before Delta, unless
	// the backup is past Index.
	Snapshot []byte       `json:"whole,omitempty"`
	Index    poplar.Index `json:"index,omitempty"`
	Delta    state.Delta  `json:"delta"`
}

// Kept is the backup's answer: how far it has heard, durably.
type Kept struct {
	Mark state.Mark `json:"mark"`
	// Snapshot is set by a backup that is past the primary's snapshot.
	Snapshot []byte `json:"whole,omitempty"`
}

// Network reaches the other daemons.
type Network interface {
	Follow(ctx context.Context, to poplar.Daemon, ask Ask) (Answer, error)
	Keep(ctx context.Context, to poplar.Daemon, keep Keep) (Kept, error)
}
