// Package route chooses the upstream of a request by predicted wait.
//
// A Table is an immutable snapshot of the upstreams. Routers replace the whole
// table when an upstream arrives, leaves or reports. State that changes with
// every request, such as the requests in flight, is kept in one LocalState per
// upstream, which successive tables share and which is accessed atomically.
//
// Pick is deterministic: the same table, local states, request, time and random
// number give the same result. Its cost does not depend on the number of
// upstreams unless most of them are out of service.
package route
