// Package poison finds requests that crash upstreams.
//
// A request is identified by its fingerprint, which covers its content but not
// its idempotency key, so that a repetition has the same fingerprint. A
// fingerprint that was in flight when an upstream crashed becomes suspect. A
// suspect runs alone at an upstream, so that a second crash has only one
// possible cause. After a second crash the fingerprint is refused in the whole
// fleet until an operator releases it or Settings.RefuseDuration has passed.
//
// Registry stores the records of one daemon. Records can be merged in any order
// and any number of times, so daemons exchange them by gossip.
package poison
