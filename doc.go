// Package poplar holds the words and the interfaces of poplarbend, a router
// fleet for prepaid token budgets.
//
// The package imports nothing of the project. It defines identifiers, ranks,
// run states, typed errors, the messages of the reservation protocol, and the
// interfaces that the packages under pkg implement. A program that embeds one
// part of poplarbend needs this package and that part only.
//
// Two rules hold in every implementation:
//
//   - A state machine takes messages, the time and disk results as input and
//     returns messages, writes and replies. It starts no goroutine and reads
//     no clock.
//   - What is unknown counts as spent until proven otherwise.
package poplar
