// Package guard bounds what clients hold of a process before their requests are read: the
// size, the memory and the time of a head, the number of connections, and the time for which
// a response may stay unread.
package guard
