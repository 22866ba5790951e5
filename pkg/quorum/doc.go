// Package quorum implements a replicated log as a deterministic state machine.
//
// A Machine takes messages (Step), the time (Tick), commands (Propose) and disk
// results (Persisted), and returns messages, writes and committed entries
// (Ready). It reads no clock, starts no goroutine and does no I/O, and its
// random numbers come from a seed. The calling code persists the batches that
// Ready returns, in order, and reports them with Persisted. Messages that depend
// on durable state are deferred inside the machine until then.
//
// The protocol is a variant of Raft, as described in Diego Ongaro, "Consensus:
// Bridging Theory and Practice" (dissertation, Stanford 2014). Comments cite its
// sections. It differs from the dissertation in three points:
//   - Members are identified by name and incarnation, so a replica with a
//     replaced disk is a different member.
//   - Learners are part of the membership.
//   - The leader counts its own log towards a commit only once it is durable, so
//     that the leader writes to disk and sends to its peers in parallel.
//
// The Promela model models/log.pml covers elections, commit, membership change
// and step-down. Comments name its steps in brackets, such as [vote].
package quorum
