// Package rank decides which rank of work is served next.
//
// The most urgent rank with waiting work is served first. However, each rank
// is guaranteed its floor, a share of all cost served while it has work
// waiting. A rank whose deficit against its floor covers a whole request is
// served before the others.
package rank
