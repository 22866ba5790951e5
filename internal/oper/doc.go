// Package oper is the operators' side of a daemon: the HTTP interface on the
// operators' listener, its client, and the commands of cmd/poplarbend.
//
// The interface stands over Fleet, which the daemon implements. Changes carry
// a number and top-ups an id chosen by the operator, so that sending one again
// after a lost answer has the effect of sending it once.
package oper
