// Package quota distributes shares of budgets from the replicated log to the
// ledgers of the failure domains, and recalls unspent tokens.
//
// The primary of each ledger reports its usage and demand to the leader of the
// log. The leader decides with package share and proposes the issues to the log.
// Its answers to the reports contain the recalls, which request the return
// of unspent tokens. A primary makes a return durable before it reports it. All
// counters are cumulative, so a lost or repeated message has no effect on the
// totals.
package quota
