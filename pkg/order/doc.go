// Package order decides which models, adapters and versions each engine loads,
// and in which role it serves. An engine is an upstream that accepts orders.
//
// Planner computes the orders of the single active issuer and does no I/O. Each
// order carries the fencing number of its issuer, so an engine that checks it
// refuses the orders of an older issuer. To an engine that ignores fencing
// numbers, an issuer sends nothing before the lease of its predecessor has
// ended. Loads are paced by the rate of the weight store. Separate thresholds
// for adding and removing engines, and minimum times between changes, keep two
// competing demands from thrashing one engine.
package order
