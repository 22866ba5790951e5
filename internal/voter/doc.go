// Package voter runs one member of the replicated log: it drives a
// quorum.Machine, stores its state durably in a journal, sends and receives its
// messages, and applies committed entries to a state machine.
//
// A Voter has one goroutine that owns the machine and one that owns the disk.
// Entries that arrive during a sync of the disk share the next sync.
package voter
