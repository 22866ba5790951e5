package quorum

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzStep passes arbitrary messages to a follower and to a leader.
func FuzzStep(f *testing.F) {
	self, peer := Member{"a", 1}, Member{"b", 1}
	members := NewMembers(self, peer)
	for _, msg := range []Message{
		{Type: TypeAppend, From: peer, To: self, Term: 2, Entries: []Entry{{Index: 1, Term: 2}}},
		{Type: TypeAppendReply, From: peer, To: self, Term: 1, Index: 9, Hint: 3, Refused: true},
		{Type: TypeChunk, From: peer, To: self, Term: 2, Chunk: &Chunk{Index: 3, Term: 1, Members: members, Total: 2, Data: []byte("ab")}},
		{Type: TypeChunkReply, From: peer, To: self, Term: 1, Chunk: &Chunk{Offset: 9}},
		{Type: TypeVote, From: peer, To: self, Term: 3, Transfer: true},
		{Type: TypeVoteReply, From: peer, To: self, Term: 1},
		{Type: TypeTimeoutNow, From: peer, To: self},
	} {
		data, _ := json.Marshal([]Message{msg, msg})
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var messages []Message
		if json.Unmarshal(data, &messages) != nil {
			return
		}
		now := time.Unix(0, 0)
		for _, leading := range []bool{false, true} {
			m := New(Config{Self: self}, RecoveredState{Snapshot: Snapshot{Members: members}}, now)
			if leading {
				m.campaign(false)
				m.votes = map[Member]bool{self: true, peer: true}
				m.lead()
			}
			for _, msg := range messages {
				now = now.Add(time.Second)
				m.Step(msg, now)
				m.Tick(now)
				m.Persisted(m.Ready().Batch())
			}
		}
	})
}
