// Package memory bounds the memory that a process keeps of data whose size others decide,
// such as the answers of servers and the bodies of requests. Each item has an account, and
// all accounts of a Limit together hold at most a number of bytes. When they would hold
// more, the source with the most unfinished data loses its largest item, so that one source
// without measure does not take the memory of the others.
package memory
