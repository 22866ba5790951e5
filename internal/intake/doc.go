// Package intake takes what upstreams say to a router: announcements and their
// renewals, load reports, cache events and leaves.
//
// A Book is the aggregate that orders these messages by life and sequence, so
// that late, repeated and crossed ones are harmless. A Desk serves a Book over
// HTTP and tells a Watcher what changed.
package intake
