// Package share decides how many tokens of a budget each failure domain holds.
//
// A domain that holds tokens can spend them without asking another domain, even
// while it is partitioned from the others. Tokens held by a domain that does not
// spend them cause false refusals elsewhere. While a budget is plentiful, the
// domains therefore hold most of it in proportion to their demand, which lets them
// serve through a long partition. Near the end of the budget the shares shrink and
// idle domains return tokens.
//
// The package only makes decisions. Plan is a pure function. Package state enforces
// that the shares never exceed the grant, whatever Plan decides.
package share
