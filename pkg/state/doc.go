// Package state implements the state machine of the replicated log. It covers
// configuration revisions, grants, issued and returned shares, ledger pairs and
// their epochs, members, and leases with fencing numbers.
//
// State is deterministic. It reads no clock and starts no goroutine; times
// arrive inside commands. A command can be applied again after its reply is
// lost: it is idempotent by its number, id, epoch or cumulative counter.
//
// Follower mirrors the part of a State that one failure domain needs. It accepts
// deltas in any order, any number of times, and never reverts.
//
// Neither type is safe for concurrent use; the owner serializes the calls.
package state
