// Package daemon assembles a daemon from the other packages with fx: one
// module for each concern, in the order in which they start. They stop in the
// reverse order, so the callers' requests end before the ledger and the log
// do.
package daemon
