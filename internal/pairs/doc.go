// Package pairs maintains the ledger pair of a failure domain, its primary and
// its backup. It detects silent members and proposes to the log to replace them.
//
// Every proposal sets a pair for the next epoch. The log accepts the first
// proposal for an epoch and refuses the others, and it accepts only a daemon
// with every acknowledged record as primary. A wrong failure detection therefore
// costs time but never loses a record.
package pairs
