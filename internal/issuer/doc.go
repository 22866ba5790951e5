// Package issuer runs the one issuer of orders to the engines of a failure
// domain.
//
// The daemons of a domain compete for a lease that the replicated log grants with
// a fencing number that grows with each holder. The holder sums the model demand
// that the domain's daemons report, plans with package order, and sends the
// orders to the engines over HTTP. It stops when its lease may have ended by its
// own clock. A candidate takes over after it has seen no renewal for a whole lease
// by its own clock. Clocks are never compared with each other; their rates need
// only agree within 1%.
package issuer
