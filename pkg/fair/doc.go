// Package fair shares a resource between workspaces by weight and, within a
// workspace, equally between its callers. The shares are shares of cost, and they
// hold under any arrival pattern.
//
// The queue is start-time fair queueing in two levels (Goyal, Vin and Cheng,
// Start-time fair queueing: a scheduling algorithm for integrated services
// packet switching networks, SIGCOMM 1996). The algorithm needs no cost to
// select the next entry, only to charge it afterwards. This suits costs that
// are estimated at admission and known at settlement.
//
// A workspace or caller without waiting entries whose start tag is not ahead
// of the virtual time uses no memory.
package fair
