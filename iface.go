package poplar

import (
	"context"
	"io"
	"time"
)

// This file holds the interfaces to the outside: clock, files, journal,
// transport.

// Clock tells the time. Implementations keep the monotonic reading, so that
// differences survive jumps of the wall clock.
type Clock interface {
	Now() time.Time
}

// System is the clock of the machine.
type System struct{}

var _ Clock = System{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// File is one open file of a Files.
type File interface {
	io.Reader
	io.Writer
	io.Closer
	// Sync makes what was written durable. After a failed Sync the content is
	// unknown.
	Sync() error
}

// Files is a flat folder of files. A name has no separator. Creation, renaming
// and removal are durable only after SyncDir.
type Files interface {
	// Create opens name for writing and truncates it.
	Create(name string) (File, error)
	// Append opens name for writing at its end; the file must exist.
	Append(name string) (File, error)
	// Open opens name for reading. The error wraps fs.ErrNotExist when there is
	// no such file.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	Truncate(name string, size int64) error
	List() ([]string, error)
	SyncDir() error
}

// Journal is a durable sequence of records after a snapshot.
type Journal interface {
	// Append writes records in order. They are durable after the next Sync.
	Append(records ...[]byte) error
	// Sync makes all appended records durable. After a failed Append or Sync
	// every later call returns the same error, since the content is unknown.
	Sync() error
	// Compact makes snapshot durable and drops the records before it.
	Compact(snapshot []byte) error
	// Size returns the bytes of the records since the snapshot.
	Size() int64
	Close() error
}

// Sender delivers a message to a peer, at most once, in any order, or never.
// Send does not block on the network.
type Sender[M any] interface {
	Send(to Daemon, message M)
}

// Proposer appends a command to the replicated log.
type Proposer interface {
	// Propose returns the state machine's reply once the command is durable at
	// a majority and applied. The error has run state RunNo only when the
	// command certainly will not be applied; with RunUnknown the caller resends
	// the same command, which is idempotent by its number.
	Propose(ctx context.Context, command []byte) ([]byte, error)
}
