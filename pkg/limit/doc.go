// Package limit adapts the number of requests that a router sends to each
// upstream at one time.
//
// Limit holds the concurrency limit of one upstream. It uses additive increase
// and multiplicative decrease, driven by the ratio of the measured to the
// predicted time to first token. A request that has waited for its first token
// longer than predicted counts as slow while it is still waiting, so that an
// upstream that becomes slow is detected at once. Limit is not safe for
// concurrent use and reads no clock. Eject is a pure function that decides which
// upstreams receive no new requests for some time; it never ejects more than a
// bounded share of a group. Fleet holds the limits of all upstreams and is safe
// for concurrent use.
package limit
