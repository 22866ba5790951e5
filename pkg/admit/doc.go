// Package admit decides whether a request starts, waits or is refused at one
// daemon.
//
// Core makes the decisions and has no locks or goroutines. It keeps a fair queue for
// each rank, starts requests while the daemon's share of the upstreams' capacity has
// room, and at once refuses requests whose first token is predicted to arrive after
// the deadline. Gate wraps Core for concurrent callers. Share sizes the daemon's
// share of the capacity, so that many daemons that see the same delayed reports do
// not together admit a multiple of the capacity.
package admit
