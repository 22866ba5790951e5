package quorum

import (
	"fmt"
	"hash/fnv"
	"io"

	"poplarbend.example/poplar"
)

// This file defines the messages between members and the persistent state.

// Member identifies one replica. The incarnation is created with the replica's
// data directory, so a replica whose disk is replaced is a different member.
type Member struct {
	Name        poplar.Daemon `json:"n,omitempty"`
	Incarnation uint64        `json:"i,omitempty"`
}

// String returns the name and the incarnation, for use in logs.
func (m Member) String() string { return fmt.Sprintf("%s#%x", m.Name, m.Incarnation) }

// hash returns a hash of the name and the incarnation. It is part of the random
// seed, so that members with the same Config.Seed draw different numbers.
func (m Member) hash() uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(m.Name))
	return h.Sum64() ^ m.Incarnation
}

// Kind is the kind of a log entry.
type Kind string

// The kinds of log entries.
const (
	// KindCommand is a command for the replicated state machine.
	KindCommand Kind = ""
	// KindEmpty is the entry without effect that a leader appends at the start
	// of its term.
	KindEmpty Kind = "empty"
	// KindMembers changes the membership.
	KindMembers Kind = "members"
)

// Entry is an entry of the log.
type Entry struct {
	Index poplar.Index `json:"at"`
	Term  poplar.Term  `json:"term"`
	Kind  Kind         `json:"kind,omitempty"`
	Data  []byte       `json:"data,omitempty"`
	// Members is set in entries of KindMembers only.
	Members *Membership `json:"set,omitempty"`
}

// size returns the approximate size of an entry in a message, in bytes.
func (e Entry) size() int { return len(e.Data) + 32 }

// HardState is the persistent election state of a member.
type HardState struct {
	Term poplar.Term `json:"term"`
	Vote Member      `json:"vote"`
	// Commit is a lower bound of the commit index. It lets a restarted member
	// apply entries that it knew to be committed before it contacts a leader.
	Commit poplar.Index `json:"done,omitempty"`
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   poplar.Index `json:"at"`
	Term    poplar.Term  `json:"term"`
	Members Membership   `json:"set"`
	Data    []byte       `json:"data,omitempty"`
}

// Type is the type of a message.
type Type string

// The message types.
const (
	TypePreVote      Type = "poll"   // asks whether the receiver would grant a vote
	TypePreVoteReply Type = "polled" // answer to TypePreVote
	TypeVote         Type = "vote"   // requests a vote
	TypeVoteReply    Type = "voted"
	TypeAppend       Type = "add" // append entries; a heartbeat when it has no entries
	TypeAppendReply  Type = "added"
	TypeChunk        Type = "chunk" // a part of a snapshot
	TypeChunkReply   Type = "chunked"
	TypeTimeoutNow   Type = "lead"  // asks the receiver to start an election at once (§3.10)
	TypeHello        Type = "hello" // exchanged while the log is created, see Hello
)

// Message is a message from one member to another. Fields that a message type
// does not use are zero.
type Message struct {
	Type Type        `json:"type"`
	From Member      `json:"from"`
	To   Member      `json:"to"`
	Term poplar.Term `json:"term,omitempty"`
	// Index and LogTerm identify the last entry of the candidate's log in
	// TypePreVote and TypeVote, and the entry before Entries in TypeAppend. In
	// TypeAppendReply, Index is the last entry that matches or, when Refused is
	// true, the entry that did not match.
	Index   poplar.Index `json:"at,omitempty"`
	LogTerm poplar.Term  `json:"last,omitempty"`
	// Hint is the last entry that may match when Refused is true.
	Hint    poplar.Index `json:"hint,omitempty"`
	Entries []Entry      `json:"list,omitempty"`
	// Commit is the commit index of the leader in TypeAppend.
	Commit  poplar.Index `json:"done,omitempty"`
	Refused bool         `json:"no,omitempty"`
	// Round is the number of the leader's heartbeat round. Replies echo it.
	Round uint64 `json:"round,omitempty"`
	// Transfer is true in TypeVote when the leader requested the election to
	// transfer its leadership.
	Transfer bool   `json:"handed,omitempty"`
	Chunk    *Chunk `json:"part,omitempty"`
	Hello    *Hello `json:"hello,omitempty"`
	// Cluster identifies the log. Messages of another log are dropped.
	Cluster uint64 `json:"log,omitempty"`
}

// Chunk is a part of a snapshot in TypeChunk. In TypeChunkReply, Offset is the
// number of bytes that the receiver has.
type Chunk struct {
	Index   poplar.Index `json:"at"`
	Term    poplar.Term  `json:"term,omitempty"`
	Members Membership   `json:"set,omitzero"`
	Offset  int          `json:"from"`
	Total   int          `json:"of,omitempty"`
	Data    []byte       `json:"data,omitempty"`
}

// Hello carries the sender's state while a log is created. The machine ignores
// it, since the code that runs the machine creates the log.
type Hello struct {
	// Founders is the initial membership that the sender has durably adopted,
	// if any.
	Founders []Member `json:"set,omitempty"`
	// Seen lists the members that the sender knows to have no log.
	Seen []Member `json:"seen,omitempty"`
	// Started is true once the sender knows that all founders have adopted the
	// initial membership.
	Started bool `json:"on,omitempty"`
	// Members are the daemons in the membership that the sender of a reply knows.
	// The receiver asks them for its admission as well.
	Members []poplar.Daemon `json:"members,omitempty"`
	// Reply is true in a reply, to which the receiver sends no reply.
	Reply bool `json:"re,omitempty"`
}
