// Package member implements the membership protocol of the fleet: it
// disseminates which daemons are alive and which upstreams have announced
// themselves to them.
//
// Machine is a pure state machine: it takes messages and the time, and returns
// the messages to send. It reads no clock and starts no goroutine, and it is
// not safe for concurrent use. View returns an immutable snapshot that routers
// may share.
//
// An upstream announces itself to any daemon, which becomes its owner. The
// owner keeps a versioned catalog of its upstreams and emits a heartbeat every
// cycle, which is a few rounds long. A heartbeat takes a few bytes and names a
// version of the catalog; it confirms that every upstream in that version was
// renewed recently. Within a domain, whose daemons form a ring, heartbeats spread
// by doubling: in round k of a cycle each daemon sends its updates to the daemon
// 2^k places further on the ring, so that each heartbeat reaches every daemon
// about once. Parts of a catalog (deltas) are sent only when a
// heartbeat names a version that the receiver lacks. A few owners of each
// domain are advertised to other domains.
//
// Every heartbeat carries its age, which is summed over the hops without
// comparing any clocks. A router therefore knows when each upstream was last
// renewed, and sends it no new work once 3 s have passed since then, even
// when messages are lost or delayed.
package member
