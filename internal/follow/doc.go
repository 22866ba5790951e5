// Package follow brings the replicated state from the voters of the log to
// every daemon.
//
// The voters apply the log to a Replica. The primary of each failure domain's
// ledger pulls what its domain must know from any voter, makes it durable,
// pushes it to its backup, and only then puts it in force. The other daemons
// of the domain pull from the primary. So a revision that any daemon of a
// domain has served is durable in that domain, and a daemon that restarts
// there without a disk, during a cut, does not serve a lower one.
package follow
