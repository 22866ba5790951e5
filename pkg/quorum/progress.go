package quorum

import (
	"time"

	"poplarbend.example/poplar"
)

// This file implements the replication state that a leader keeps for each peer.

// mode is the replication mode of a peer.
type mode uint8

const (
	// modeProbe sends one message and waits for the reply, since the last
	// matching entry is not known.
	modeProbe mode = iota
	// modePipeline sends without waiting for replies, up to the limit of unanswered
	// messages.
	modePipeline
	// modeSnapshot sends a snapshot in chunks.
	modeSnapshot
)

// progress is the replication state of one peer.
type progress struct {
	mode     mode
	match    poplar.Index   // invariant: the peer's log matches and is durable up to this index
	next     poplar.Index   // invariant: index of the next entry to send; greater than match
	inflight []poplar.Index // invariant: last entry of each unanswered message, ascending
	waiting  bool           // invariant: in modeProbe, a message is unanswered
	contact  time.Time      // invariant: time of the last reply in this term; before it, the time at which the leader added the peer
	round    uint64         // invariant: highest heartbeat round that the peer has answered
	snapshot *Snapshot      // invariant: set in modeSnapshot only
	offset   int            // invariant: bytes of snapshot that the peer has received
	resendAt time.Time      // invariant: time at which an unanswered chunk is sent again
	resent   bool           // invariant: a chunk was sent again, so the peer may have received less than offset

	roundEnd      poplar.Index // invariant: commit index at the start of the present round of catching up
	roundDeadline time.Time    // invariant: an election timeout after the start of the round
	roundInTime   bool         // invariant: the previous round ended before its deadline
}

// startRound starts a round of catching up, which ends when the peer has the entries up to
// commit.
func (p *progress) startRound(commit poplar.Index, deadline time.Time) {
	p.roundEnd, p.roundDeadline = commit, deadline
}

// keepsUp reports whether the peer lags by no more than what is committed in an election
// timeout (§4.2.1). All committed entries at one moment would be too much to ask: while
// entries are committed all the time, a peer whose disk is slower than those of a majority
// never has them.
func (p *progress) keepsUp(commit poplar.Index, now time.Time) bool {
	return p.match >= commit || p.roundInTime && now.Before(p.roundDeadline)
}

// acknowledge records that the peer's log matches and is durable up to index.
func (p *progress) acknowledge(index poplar.Index) {
	if index < p.match {
		return
	}
	p.match = index
	p.next = max(p.next, index+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	switch {
	case p.mode == modeProbe:
		p.startPipeline()
	case p.mode == modeSnapshot && index >= p.snapshot.Index:
		p.startPipeline()
	}
}

func (p *progress) startPipeline() {
	p.mode = modePipeline
	p.waiting = false
	p.snapshot = nil
	p.next = p.match + 1
}

// reject records that the entry at index did not match and that no entry after
// hint can match. It returns false when the reply is outdated.
func (p *progress) reject(index, hint poplar.Index) bool {
	if p.mode == modeSnapshot || index <= p.match || (p.mode == modeProbe && index != p.next-1) {
		return false
	}
	p.mode = modeProbe
	p.waiting = false
	p.inflight = nil
	p.next = max(min(index, hint+1), p.match+1)
	return true
}

// paused reports whether the leader must wait for a reply before it sends more
// entries.
func (p *progress) paused(maxInflight int) bool {
	switch p.mode {
	case modeProbe:
		return p.waiting
	case modePipeline:
		return len(p.inflight) >= maxInflight
	}
	return true
}

// recordSent records that a message with entries up to the index last was sent.
func (p *progress) recordSent(last poplar.Index) {
	if p.mode == modeProbe {
		p.waiting = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, last)
}
